//! Generates the page of result codes from the table in `snipespan_core`.

use std::fmt::Write;
use std::path::PathBuf;

use snipespan_core::result_code::RESULT_CODES;

use crate::commands::generate::GeneratedFile;

const INTRODUCTION: &str = "# Result codes

Generated from `crates/snipespan_core/src/result_code.rs` by `cargo run -p snipespan_dev -- generate`.

The class says whether the request ran: *not run* means that it did not run and will not,
*failed* that it ran wholly or in part, *unknown* that this is not known. Callers find number and
name in the JSON error body and the number in the header `snipespan-result-code`; operators find
the number in the metadata entry of that name. Durations in `Retry-After` are whole seconds.

| number | name | class | HTTP | gRPC | retry | meaning |
|---|---|---|---|---|---|---|
";

/// Returns the page of result codes as the table requires it.
pub fn generate_page() -> GeneratedFile {
    let mut text = String::from(INTRODUCTION);
    for row in RESULT_CODES {
        let _ = writeln!(
            text,
            "| {} | `{}` | {} | {} | {} | {} | {} |",
            row.number,
            row.name,
            row.class,
            row.http_status,
            row.grpc_status,
            row.retry,
            row.meaning,
        );
    }
    GeneratedFile { path: PathBuf::from("docs/RESULT_CODES.md"), text }
}
