//! Output of benchmark summaries, and the check of their bounds.

use std::io::IsTerminal as _;
use std::time::Duration;

use error_stack::Report;
use serde::Serialize;

use crate::error::{Error, Result};

/// Prints a summary to standard output, as one line of JSON or as one `name: value` per line.
pub fn print<T: Serialize>(json: bool, summary: &T) {
    if json {
        println!("{}", serde_json::to_string(summary).unwrap_or_default());
        return;
    }
    let value = serde_json::to_value(summary).unwrap_or_default();
    let Some(fields) = value.as_object() else {
        return;
    };
    for (name, value) in fields {
        println!("  {name}: {value}");
    }
    println!();
}

/// Prints a progress message if standard error is a terminal.
pub fn print_progress(message: &str) {
    if std::io::stderr().is_terminal() {
        eprintln!("{message}");
    }
}

/// Collects the bounds that a benchmark violated.
#[derive(Debug, Default)]
pub struct Bounds {
    violations: Vec<String>,
}

impl Bounds {
    /// Records a violation if `value` is over `bound` or is NaN.
    pub fn check_at_most(&mut self, name: &str, value: f64, bound: f64) {
        if value.is_nan() || value > bound {
            self.violations
                .push(format!("{name} is {value:.3}, over {bound}"));
        }
    }

    /// Returns an error if any bound was violated.
    ///
    /// # Errors
    ///
    /// [`Error::Bound`] with all violations.
    pub fn into_result(self) -> Result<()> {
        if self.violations.is_empty() {
            Ok(())
        } else {
            Err(Report::new(Error::Bound(self.violations.join("; "))))
        }
    }
}

/// Returns the sample nearest to the quantile `fraction` (0 to 1), or zero if there are no samples.
pub fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    if sorted.is_empty() {
        return Duration::ZERO;
    }
    let index = ((sorted.len() - 1) as f64 * fraction).round() as usize;
    sorted[index]
}

/// Converts a duration to microseconds.
pub fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
