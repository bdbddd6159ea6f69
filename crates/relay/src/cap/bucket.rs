//! A token bucket.

use std::time::Duration;

/// Part of its depth that a bucket has at first: its predecessor may just have granted all it had, and the overage
/// of the platform's rule is of this size.
const START_PART: f64 = 0.25;

/// What a granter may grant for one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    filled_at: Duration,
}

impl Bucket {
    /// Creates the bucket of a VM that has just become a granter.
    pub fn new(depth: f64, now: Duration) -> Self {
        Self {
            level: depth * START_PART,
            filled_at: now,
        }
    }

    /// What it has.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds what has accrued since it was last filled.
    pub fn fill(&mut self, rate: f64, depth: f64, now: Duration) {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + rate * time).min(depth);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes a cost, if it is there; one above the depth is taken from a full bucket. Returns what is missing if not.
    ///
    /// # Errors
    ///
    /// What is missing.
    pub fn take(&mut self, cost: f64, depth: f64) -> Result<(), f64> {
        let needed = cost.min(depth);
        if self.level < needed {
            return Err(needed - self.level);
        }
        self.level -= cost;
        Ok(())
    }

    /// Counts what was spent without an ask; a negative number was granted and not used. The level stays above
    /// `-debt_max`, since what was spent more than a window ago does not matter any more.
    pub fn record(&mut self, spent: f64, depth: f64, debt_max: f64) {
        self.level = (self.level - spent).clamp(-debt_max, depth);
    }

    /// Lowers the level to that of a new granter, since another VM may have granted meanwhile.
    pub fn restart(&mut self, depth: f64, now: Duration) {
        self.level = self.level.min(depth * START_PART);
        self.filled_at = now;
    }
}
