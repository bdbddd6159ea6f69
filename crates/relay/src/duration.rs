//! Durations from figures that are computed, which may be out of range.
//!
//! The conversions of the standard library panic on a figure that is negative, too large or no number, and the process
//! has one thread. These replace such a figure; clippy rejects the others.

use std::time::Duration;

/// Stands for all times that are longer; adding it to a time of the process does not overflow.
pub const LONGEST: Duration = Duration::from_secs(1_000_000_000);

/// This many seconds; zero if the figure is negative or no number, and at most [`LONGEST`].
pub fn from_seconds(seconds: f64) -> Duration {
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) => duration.min(LONGEST),
        Err(_) if seconds > 0.0 => LONGEST,
        Err(_) => Duration::ZERO,
    }
}

/// Multiplication by a computed factor.
pub trait Scale {
    /// The product; zero if the factor is negative or no number, and at most [`LONGEST`].
    fn scale(self, factor: f64) -> Duration;
}

impl Scale for Duration {
    fn scale(self, factor: f64) -> Duration {
        from_seconds(self.as_secs_f64() * factor)
    }
}
