//! Writes the code for the peer schema into the folder given as first argument.
//!
//! Contributors run this after a change of `crates/wire/schema/peer.capnp`.

use std::path::{Path, PathBuf};

fn main() {
    let output_dir = std::env::args()
        .nth(1)
        .map(PathBuf::from)
        .expect("usage: generate FOLDER");
    let schema_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/schema");
    hornbeamtiller_generate::generate(&schema_dir, &output_dir).expect("the schema compiles");
}
