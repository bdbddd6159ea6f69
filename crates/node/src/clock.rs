//! The clocks of a process.

use std::time::{Duration, Instant, SystemTime};

use hornbeamtiller_core::event::Now;

/// A monotonic clock, and a wall clock derived from it.
///
/// The system's wall clock is read once, at the start, so that a later adjustment of it can't move
/// time backwards and make expired ids valid again.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Starts the clock now.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Instant::now(),
            unix_at_start,
        }
    }

    /// Returns the current time of both clocks.
    pub fn now(&self) -> Now {
        let up = self.started_at.elapsed();
        Now {
            up,
            unix: self.unix_at_start + up,
        }
    }
}
