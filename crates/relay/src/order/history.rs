//! What the order remembers from one pass to the next, and when refused calls are to come again.

use std::time::Duration;

use super::credit::Credits;
use super::{Entry, Shares, Throughput, Work};
use crate::allocation::hash;
use crate::backlog::{self, Backlog};
use crate::duration::Scale as _;

/// Shortest time after which a refused call is to come again.
const RETURN_AFTER_MIN: Duration = Duration::from_millis(200);
/// Part of that time by which it is spread, so that calls beyond the upper bound don't come together.
const RETURN_SPREAD: f64 = 0.3;

/// What is remembered of the calls that were served and refused. It starts empty: all organisations are equal then.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub(super) shares: Shares,
    pub(super) in_time: Credits,
    pub(super) late: Credits,
    pub(super) throughput: Throughput,
    /// The calls that were refused.
    backlog: Backlog,
}

impl History {
    /// Whether calls were left without capacity by the last pass.
    pub fn is_pressed(&self) -> bool {
        self.throughput.is_pressed()
    }

    /// When a refused call is to come again: once the work ahead of it, and that of the calls which have been given
    /// an earlier time, has found capacity.
    pub(super) fn return_after(
        &mut self,
        entry: &Entry<'_>,
        ahead: Work,
        rate: f64,
        now: Duration,
    ) -> Duration {
        let time = |work: Work| backlog::time(work as f64, rate);
        let delay = self.backlog.push(time(ahead), time(entry.work), now);
        let uniform = hash(entry.vm.as_bytes(), entry.call) as f64 / u64::MAX as f64;
        let spread = 1.0 + RETURN_SPREAD * (uniform - 0.5);
        delay.scale(spread).max(RETURN_AFTER_MIN)
    }
}
