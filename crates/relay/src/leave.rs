//! The graceful shutdown of this process, as its state knows it.

use std::time::Duration;

/// A shutdown in progress. Times are those of the reducer's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leave {
    /// The earliest time at which this process may have been asked to leave; before that it was known not to be.
    pub asked_at: Duration,
    /// When it noticed that.
    pub noticed_at: Duration,
    /// Whether the time for responses in progress was over at the last tick.
    pub is_time_over: bool,
}
