//! Tests of the check of imports. They guard against a check that misses a violation of the rule,
//! reports it on the wrong line, or reports one in a text that keeps the rule.

use rstest::rstest;
use snipespan_dev::imports::check_imports;

#[rstest]
#[case::three_groups("use std::fs;\n\nuse eyre::Result;\n\nuse crate::a;\n", &[])]
#[case::braces("use std::{fs, io};\n", &[1])]
#[case::no_blank_line("use std::fs;\nuse eyre::Result;\n", &[2])]
#[case::out_of_order("use eyre::Result;\n\nuse std::fs;\n", &[3])]
#[case::public("pub use crate::a::{b, c};\n", &[1])]
fn check_imports_lines(#[case] text: &str, #[case] expected_lines: &[usize]) {
    let violation_lines: Vec<usize> =
        check_imports(text).iter().map(|violation| violation.line).collect();
    assert_eq!(violation_lines, expected_lines);
}
