//! Checks the imports of every source file under `crates/`.

use std::fs;

use eyre::Result;
use eyre::bail;

use crate::files::find_rust_sources;
use crate::files::repository_root;
use crate::imports::check_imports;

/// Prints each violation of the rule for imports, with its file and line.
///
/// # Errors
/// When a file cannot be read or there is a violation.
pub fn run() -> Result<()> {
    let mut count = 0;
    for path in find_rust_sources(&repository_root())? {
        for violation in check_imports(&fs::read_to_string(&path)?) {
            println!("{}:{}: {}", path.display(), violation.line, violation.message);
            count += 1;
        }
    }
    if count > 0 {
        bail!("{count} violations: imports must be one a line, in three groups");
    }
    Ok(())
}
