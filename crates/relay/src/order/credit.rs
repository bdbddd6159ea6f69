//! The minimum share of the less urgent priorities.

use std::collections::BTreeMap;

use super::Work;

/// Part of the work of more urgent calls that each less urgent priority gets in addition while its calls wait.
pub const MINIMUM_SHARE: f64 = 1.0 / 16.0;
/// Work that each priority with waiting calls may get ahead of more urgent ones.
#[derive(Debug, Clone, Default)]
pub(super) struct Credits {
    credits: BTreeMap<u8, f64>,
}

impl Credits {
    /// Whether a priority has credit for this work.
    pub(super) fn covers(&self, priority: u8, work: Work) -> bool {
        let credit = self.credits.get(&priority);
        credit.is_some_and(|credit| *credit >= work as f64)
    }

    /// Counts work of one priority. `waiting` are the priorities with waiting calls, and the work of their first one.
    pub(super) fn count(&mut self, priority: u8, work: Work, waiting: &[(u8, Work)]) {
        if let Some(credit) = self.credits.get_mut(&priority) {
            *credit = (*credit - work as f64).max(0.0);
        }
        let less_urgent = waiting.iter().filter(|(other, _)| *other > priority);
        for (other, first) in less_urgent {
            let credit = self.credits.entry(*other).or_default();
            // A call that is due and finds no capacity earns no more: others of its priority would get it at once later.
            if *credit < *first as f64 {
                *credit += work as f64 * MINIMUM_SHARE;
            }
        }
    }

    /// Forgets the credit of priorities without waiting calls.
    pub(super) fn retain(&mut self, is_waiting: impl Fn(u8) -> bool) {
        self.credits.retain(|priority, _| is_waiting(*priority));
    }
}
