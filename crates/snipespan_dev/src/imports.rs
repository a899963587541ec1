//! The rule for imports: one a line, in three groups divided by a blank line: the standard
//! library, other crates, this crate.

use std::cmp::Ordering;

/// A place that breaks the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: &'static str,
}

/// The groups, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Local,
}

/// All places of a source text that break the rule.
pub fn check_imports(text: &str) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut previous: Option<(Group, usize)> = None;
    for (index, line) in text.lines().enumerate() {
        let Some(path) = parse_import(line) else { continue };
        let line = index + 1;
        if path.contains('{') || path.contains(" , ") {
            violations.push(Violation { line, message: "several imports in one" });
        }
        let group = classify_import(path);
        if let Some((previous_group, previous_line)) = previous {
            violations.extend(check_order(previous_group, previous_line, group, line));
        }
        previous = Some((group, line));
    }
    violations
}

/// The path of a top-level import.
fn parse_import(line: &str) -> Option<&str> {
    let is_indented = line.starts_with(char::is_whitespace);
    let line = line.strip_prefix("pub ").unwrap_or(line);
    line.strip_prefix("use ").filter(|_| !is_indented)
}

fn classify_import(path: &str) -> Group {
    match path.split("::").next() {
        Some("std" | "core" | "alloc") => Group::Std,
        Some("crate" | "self" | "super") => Group::Local,
        _ => Group::External,
    }
}

fn check_order(
    previous_group: Group,
    previous_line: usize,
    group: Group,
    line: usize,
) -> Option<Violation> {
    let is_adjacent = line == previous_line + 1;
    match group.cmp(&previous_group) {
        Ordering::Less => Some(Violation { line, message: "a group is out of order" }),
        Ordering::Greater if is_adjacent => {
            Some(Violation { line, message: "no blank line between groups" })
        }
        _ => None,
    }
}
