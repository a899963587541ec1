//! Paths in the repository.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use eyre::Result;

/// Returns the path of the root of the repository.
pub fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the sorted paths of the Rust sources under `crates/`, without the generated ones.
///
/// # Errors
/// When a folder cannot be read.
pub fn find_rust_sources(root: &Path) -> Result<Vec<PathBuf>> {
    let mut sources = Vec::new();
    let mut folders = vec![root.join("crates")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let is_generated = path.ends_with("generated");
            if path.is_dir() && !is_generated {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                sources.push(path);
            }
        }
    }
    sources.sort();
    Ok(sources)
}
