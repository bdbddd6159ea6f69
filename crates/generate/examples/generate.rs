//! Generates the code of the schemas into the directory given as the first argument.
//!
//! Run this after changing a schema in `crates/wire/schema`.

use std::path::{Path, PathBuf};

fn main() {
    let output_dir = std::env::args()
        .nth(1)
        .map(PathBuf::from)
        .expect("usage: generate OUTPUT_DIR");
    let schema_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/schema");
    hornbeamtiller_generate::generate(&schema_dir, &output_dir)
        .expect("failed to compile the schemas");
}
