//! Writes the code for the peer schema into the folder given as first argument.
//!
//! Contributors run this after a change of `crates/wire/schema/peer.capnp`.

use std::path::{Path, PathBuf};

fn main() {
    let folder = std::env::args()
        .nth(1)
        .map(PathBuf::from)
        .expect("usage: generate FOLDER");
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/schema");
    hornbeamtiller_generate::generate(&schema, &folder).expect("the schema compiles");
}
