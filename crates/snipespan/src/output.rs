//! Output as tables for people or JSON for programs.

use clap::ArgMatches;
use serde_json::Value;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    Text,
    /// JSON for programs.
    Json,
}

impl Format {
    /// Returns the format that the arguments select.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Text,
        }
    }

    /// Prints `value` as JSON, or `rows` as a table under `titles`.
    ///
    /// Each row must have at least as many cells as there are titles.
    pub fn print(self, value: &Value, titles: &[&str], rows: &[Vec<String>]) {
        match self {
            Self::Json => println!("{value:#}"),
            Self::Text => print!("{}", format_table(titles, rows)),
        }
    }
}

/// Formats a table whose columns are as wide as their widest cell, two spaces apart.
fn format_table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let titles: Vec<String> = titles.iter().map(|title| (*title).to_owned()).collect();
    let table_rows = || std::iter::once(&titles).chain(rows);
    let width =
        |column: usize| table_rows().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    let mut text = String::new();
    for row in table_rows() {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
