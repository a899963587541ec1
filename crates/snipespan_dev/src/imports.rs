//! The rule for imports: one a line, in three groups separated by a blank line: the standard
//! library, other crates, this crate.

use std::cmp::Ordering;

/// A violation of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Line number, from 1.
    pub line: usize,
    /// Description of the violation.
    pub message: &'static str,
}

/// Groups of imports, in the required order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Local,
}

/// Returns all violations in a source text.
pub fn check_imports(text: &str) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut previous: Option<(Group, usize)> = None;
    for (index, line) in text.lines().enumerate() {
        let Some(path) = parse_import(line) else { continue };
        let line = index + 1;
        if path.contains('{') || path.contains(" , ") {
            violations.push(Violation { line, message: "several imports in one `use`" });
        }
        let group = classify_import(path);
        if let Some((previous_group, previous_line)) = previous {
            violations.extend(check_order(previous_group, previous_line, group, line));
        }
        previous = Some((group, line));
    }
    violations
}

/// Returns the path of a top-level import; `None` if the line is not one.
fn parse_import(line: &str) -> Option<&str> {
    let is_indented = line.starts_with(char::is_whitespace);
    let line = line.strip_prefix("pub ").unwrap_or(line);
    line.strip_prefix("use ").filter(|_| !is_indented)
}

/// Returns the group to which the import of `path` belongs.
fn classify_import(path: &str) -> Group {
    match path.split("::").next() {
        Some("std" | "core" | "alloc") => Group::Std,
        Some("crate" | "self" | "super") => Group::Local,
        _ => Group::External,
    }
}

/// Checks an import against the one before it in the file.
fn check_order(
    previous_group: Group,
    previous_line: usize,
    group: Group,
    line: usize,
) -> Option<Violation> {
    let is_adjacent = line == previous_line + 1;
    match group.cmp(&previous_group) {
        Ordering::Less => Some(Violation {
            line,
            message: "the import belongs to a group before that of the previous import; the order \
                      is standard library, other crates, this crate",
        }),
        Ordering::Greater if is_adjacent => {
            Some(Violation { line, message: "missing blank line between two groups of imports" })
        }
        _ => None,
    }
}
