//! Writes the committed code of the schemas.
//!
//! This stands apart from the `wire` crate, which can't be built while its code does not fit a
//! changed schema. The build of the product needs neither this crate nor the schema compiler.

use std::path::Path;

/// Compiles the schemas of the schema folder into the output folder.
///
/// # Errors
///
/// The schema compiler's error, also where it is not installed.
pub fn generate(schema_dir: &Path, output_dir: &Path) -> Result<(), capnp::Error> {
    capnpc::CompilerCommand::new()
        .src_prefix(schema_dir)
        .file(schema_dir.join("peer.capnp"))
        .file(schema_dir.join("fleet.capnp"))
        .default_parent_module(vec!["generated".to_owned()])
        .output_path(output_dir)
        .run()
}
