//! The clocks of a process.

use std::time::{Duration, Instant, SystemTime};

use hornbeamtiller_core::event::Now;

/// Time since the start, and the wall clock carried on from the start.
///
/// The wall clock is read once, so that a correction of it can't make time go back and bring
/// expired ids to life.
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

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        let up = self.started_at.elapsed();
        Now {
            up,
            unix: self.unix_at_start + up,
        }
    }
}
