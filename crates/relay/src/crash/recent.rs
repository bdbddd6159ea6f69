//! When responses last went on, by the parts and requests seen lately.

use std::collections::HashMap;
use std::time::Duration;

use super::Feature;

/// Number of parts, and of requests, from which on the less recent ones are forgotten.
const FEATURES_MAX: usize = 4_096;

/// The parts and requests seen lately: a bounded number of each, as requests are far more numerous than parts.
#[derive(Debug, Clone, Default)]
pub struct Recent {
    parts: Table,
    requests: Table,
}

#[derive(Debug, Clone, Default)]
struct Table {
    newer: HashMap<Feature, Duration>,
    older: HashMap<Feature, Duration>,
}

impl Recent {
    /// When a response to a request with this feature last went on.
    pub fn get(&self, feature: Feature) -> Option<Duration> {
        let table = match feature {
            Feature::Part(_) => &self.parts,
            Feature::Request(_) => &self.requests,
        };
        table.get(feature)
    }

    /// Records that a response to a request with this feature went on.
    pub fn insert(&mut self, feature: Feature, at: Duration) {
        let table = match feature {
            Feature::Part(_) => &mut self.parts,
            Feature::Request(_) => &mut self.requests,
        };
        table.insert(feature, at);
    }
}

impl Table {
    fn get(&self, feature: Feature) -> Option<Duration> {
        let newer = self.newer.get(&feature);
        newer.or_else(|| self.older.get(&feature)).copied()
    }

    fn insert(&mut self, feature: Feature, at: Duration) {
        let at = self.get(feature).map_or(at, |known| known.max(at));
        self.newer.insert(feature, at);
        if self.newer.len() >= FEATURES_MAX {
            self.older = std::mem::take(&mut self.newer);
        }
    }
}
