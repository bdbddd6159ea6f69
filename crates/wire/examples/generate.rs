//! Writes the code for the peer schema into the folder given as first argument.
//!
//! Contributors run this after a change of `schema/peer.capnp`; the build itself does not.

use std::path::PathBuf;

fn main() {
    let folder = std::env::args()
        .nth(1)
        .map(PathBuf::from)
        .expect("usage: generate FOLDER");
    let here = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    capnpc::CompilerCommand::new()
        .src_prefix(here.join("schema"))
        .file(here.join("schema/peer.capnp"))
        .default_parent_module(vec!["generated".to_owned()])
        .output_path(folder)
        .run()
        .expect("the schema compiles");
}
