//! Counts over a sliding window.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Rate;

/// Length of the window. All VMs together count a hundred requests in it, and what is admitted follows a burst of load
/// about as fast as the queues fill.
const WINDOW: Duration = Duration::from_millis(200);
/// Length of the parts in which the window moves on.
const STEP: Duration = Duration::from_millis(25);

/// Counts by key in the last moment.
#[derive(Debug, Clone)]
pub struct Window<K> {
    /// Start of each step in which something was counted, and the counts.
    steps: VecDeque<(Duration, BTreeMap<K, u32>)>,
}

impl<K> Default for Window<K> {
    fn default() -> Self {
        Self {
            steps: VecDeque::new(),
        }
    }
}

impl<K: Ord + Copy> Window<K> {
    /// Counts one.
    pub fn count(&mut self, key: K, now: Duration) {
        self.prune(now);
        match self.steps.back_mut() {
            Some((start, counts)) if *start + STEP > now => *counts.entry(key).or_default() += 1,
            _ => self.steps.push_back((now, BTreeMap::from([(key, 1)]))),
        }
    }

    /// How many were counted per second, by key.
    pub fn rates(&mut self, now: Duration) -> BTreeMap<K, Rate> {
        self.prune(now);
        let mut rates: BTreeMap<K, Rate> = BTreeMap::new();
        for (key, count) in self.steps.iter().flat_map(|(_, counts)| counts) {
            *rates.entry(*key).or_default() += f64::from(*count) / WINDOW.as_secs_f64();
        }
        rates
    }

    /// How many were counted per second.
    pub fn rate(&mut self, now: Duration) -> Rate {
        self.rates(now).values().sum()
    }

    fn prune(&mut self, now: Duration) {
        let is_old = |step: &(Duration, BTreeMap<K, u32>)| step.0 + WINDOW <= now;
        while self.steps.front().is_some_and(is_old) {
            self.steps.pop_front();
        }
    }
}
