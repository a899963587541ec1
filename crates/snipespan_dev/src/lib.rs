//! Maintenance tasks of the repository: generated code and pages, and checks that no other tool
//! has.

pub mod args;
pub mod commands;
pub mod files;
pub mod imports;
pub mod result_codes;
pub mod schemas;
