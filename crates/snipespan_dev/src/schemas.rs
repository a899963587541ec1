//! Generates code from the schema files, without an installed `protoc`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use eyre::Result;

use crate::commands::generate::GeneratedFile;

/// A schema file and the module generated from it.
struct Schema {
    /// Folder of the crate, relative to the root of the repository.
    folder: &'static str,
    /// Name of the schema file in the folder `proto` of the crate.
    file: &'static str,
    /// Name of the generated file in the folder `src/generated` of the crate.
    module: &'static str,
}

const SCHEMAS: [Schema; 2] = [
    Schema {
        folder: "crates/snipespan_admin",
        file: "admin.proto",
        module: "snipespan.admin.v1.rs",
    },
    Schema {
        folder: "crates/snipespan_platform",
        file: "platform.proto",
        module: "snipespan.platform.v1.rs",
    },
];

/// Returns the generated modules as the schema files require them.
///
/// # Errors
/// When a schema is not valid, or a file cannot be written or read.
pub fn generate_modules(root: &Path) -> Result<Vec<GeneratedFile>> {
    SCHEMAS.iter().map(|schema| generate_module(root, schema)).collect()
}

fn generate_module(root: &Path, schema: &Schema) -> Result<GeneratedFile> {
    let folder = root.join(schema.folder).join("proto");
    let descriptors = protox::compile([schema.file], [folder])?;
    let out = std::env::temp_dir().join(format!("snipespan_dev.{}", std::process::id()));
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure().out_dir(&out).compile_fds(descriptors)?;
    let code = fs::read_to_string(out.join(schema.module))?;
    fs::remove_dir_all(&out)?;
    let path = PathBuf::from(schema.folder).join("src/generated").join(schema.module);
    Ok(GeneratedFile { path, text: code })
}
