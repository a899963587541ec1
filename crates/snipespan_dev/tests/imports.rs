//! Tests of the rule for imports.

use rstest::rstest;
use snipespan_dev::imports::check_imports;

#[rstest]
#[case::three_groups("use std::fs;\n\nuse eyre::Result;\n\nuse crate::a;\n", &[])]
#[case::braces("use std::{fs, io};\n", &[1])]
#[case::no_blank_line("use std::fs;\nuse eyre::Result;\n", &[2])]
#[case::out_of_order("use eyre::Result;\n\nuse std::fs;\n", &[3])]
#[case::public("pub use crate::a::{b, c};\n", &[1])]
fn check_imports_lines(#[case] text: &str, #[case] lines: &[usize]) {
    let violation_lines: Vec<usize> =
        check_imports(text).iter().map(|violation| violation.line).collect();
    assert_eq!(violation_lines, lines);
}
