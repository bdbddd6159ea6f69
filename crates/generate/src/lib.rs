//! Generates the Rust code of the schemas, which is checked in.
//!
//! This is a crate of its own because the `wire` crate doesn't compile while its code doesn't match
//! a changed schema. Building the product requires neither this crate nor the schema compiler.

use std::path::Path;

/// Compiles the schemas in `schema_dir` into `output_dir`.
///
/// # Errors
///
/// The error of the schema compiler, `capnp`, including that it is not installed.
pub fn generate(schema_dir: &Path, output_dir: &Path) -> Result<(), capnp::Error> {
    capnpc::CompilerCommand::new()
        .src_prefix(schema_dir)
        .file(schema_dir.join("peer.capnp"))
        .file(schema_dir.join("fleet.capnp"))
        .default_parent_module(vec!["generated".to_owned()])
        .output_path(output_dir)
        .run()
}
