//! Benchmarks. Each prints a summary; those that state bounds fail if a bound is violated.

mod control;
mod fleet;
mod once;
mod overhead;
pub mod report;

use crate::cli::{BenchCommand, BenchFlags};
use crate::error::Result;

/// Runs one benchmark.
///
/// # Errors
///
/// [`crate::error::Error::Bound`] if a bound is violated, or the error of a component that failed
/// to start or to respond.
pub fn run(flags: &BenchFlags) -> Result<()> {
    match &flags.command {
        BenchCommand::Overhead(flags) => overhead::run(flags),
        BenchCommand::Control(flags) => control::run(flags),
        BenchCommand::Fleet(flags) => fleet::run(flags),
        BenchCommand::Once(flags) => once::run(flags),
    }
}
