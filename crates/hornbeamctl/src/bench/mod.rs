//! Measurements: each prints its figures and fails where a stated bound is broken.

mod control;
mod fleet;
mod once;
mod overhead;
mod report;

use crate::cli::{BenchCommand, BenchFlags};
use crate::error::Result;

/// Runs one kind of measurement.
///
/// # Errors
///
/// [`crate::error::Error::Bound`] where a stated bound is broken, and failures to start.
pub fn run(flags: &BenchFlags) -> Result<()> {
    match &flags.command {
        BenchCommand::Overhead(flags) => overhead::run(flags),
        BenchCommand::Control(flags) => control::run(flags),
        BenchCommand::Fleet(flags) => fleet::run(flags),
        BenchCommand::Once(flags) => once::run(flags),
    }
}
