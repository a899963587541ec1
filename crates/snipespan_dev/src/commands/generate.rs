//! Writes the generated code and pages, or checks that they are current.

use std::fs;
use std::path::PathBuf;

use eyre::Result;
use eyre::bail;

use crate::files::repository_root;
use crate::result_codes;
use crate::schemas;

/// A generated file.
#[derive(Debug)]
pub struct GeneratedFile {
    /// Path relative to the root of the repository.
    pub path: PathBuf,
    /// Content that the file must have.
    pub text: String,
}

/// Writes each generated file that is not current; with `check_only`, only compares the files.
///
/// # Errors
/// When a file cannot be generated or written or, with `check_only`, a file is not current.
pub fn run(check_only: bool) -> Result<()> {
    let mut files = schemas::generate_modules(&repository_root())?;
    files.push(result_codes::generate_page());
    let mut stale = Vec::new();
    for file in files {
        let path = repository_root().join(&file.path);
        if fs::read_to_string(&path).is_ok_and(|text| text == file.text) {
            continue;
        }
        match check_only {
            true => stale.push(file.path),
            false => fs::write(path, file.text)?,
        }
    }
    if !stale.is_empty() {
        bail!(
            "generated files are not current, run `cargo run -p snipespan_dev -- generate`: \
             {stale:?}"
        );
    }
    Ok(())
}
