//! Output of measurements, and the check of their bounds.

use std::io::IsTerminal as _;
use std::time::Duration;

use error_stack::Report;
use serde::Serialize;

use crate::error::{Error, Result};

/// Writes figures: one JSON object a line, or the same as readable text.
pub fn print<T: Serialize>(json: bool, figures: &T) {
    if json {
        println!("{}", serde_json::to_string(figures).unwrap_or_default());
        return;
    }
    let value = serde_json::to_value(figures).unwrap_or_default();
    let Some(fields) = value.as_object() else {
        return;
    };
    for (name, value) in fields {
        println!("  {name}: {value}");
    }
    println!();
}

/// Shows progress where somebody looks.
pub fn print_progress(message: &str) {
    if std::io::stderr().is_terminal() {
        eprintln!("{message}");
    }
}

/// Collects broken bounds.
#[derive(Debug, Default)]
pub struct Bounds {
    violations: Vec<String>,
}

impl Bounds {
    /// Notes a value over its bound.
    pub fn check_at_most(&mut self, name: &str, value: f64, bound: f64) {
        if value.is_nan() || value > bound {
            self.violations
                .push(format!("{name} is {value:.3}, over {bound}"));
        }
    }

    /// Ends the measurement.
    ///
    /// # Errors
    ///
    /// [`Error::Bound`] with all broken bounds.
    pub fn into_result(self) -> Result<()> {
        if self.violations.is_empty() {
            Ok(())
        } else {
            Err(Report::new(Error::Bound(self.violations.join("; "))))
        }
    }
}

/// The value below which a share of the sorted samples lies.
pub fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    if sorted.is_empty() {
        return Duration::ZERO;
    }
    let index = ((sorted.len() - 1) as f64 * fraction).round() as usize;
    sorted[index]
}

/// Microseconds, for output.
pub fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Milliseconds, for output.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
