//! When callers that were refused are to come back: one after the other, as their work can be done.

use std::time::Duration;

/// Longest delay after which a refused caller is to come back.
pub const RETURN_AFTER_MAX: Duration = Duration::from_secs(5);

/// The callers that were refused and told when to come back.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backlog {
    /// When the work of the last one is expected to be done.
    until: Duration,
}

impl Backlog {
    /// Adds a caller whose work takes `own`, and before which `ahead` is needed for others. Returns the delay after which
    /// it is to come back, which is after those that were told before.
    pub fn push(&mut self, ahead: Duration, own: Duration, now: Duration) -> Duration {
        let until = self.until.max(now + ahead) + own;
        self.until = until.min(now + RETURN_AFTER_MAX);
        self.until.saturating_sub(now)
    }
}

/// Time that work takes at a rate a second, up to [`RETURN_AFTER_MAX`].
pub fn time(work: f64, rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(work / rate);
    time.map_or(RETURN_AFTER_MAX, |time| time.min(RETURN_AFTER_MAX))
}
