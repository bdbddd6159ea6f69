//! The parts and requests that are quarantined, and when a request is let through.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Feature, Hold};
use crate::allocation::hash;

/// Time until a request is let through after what responses had gone on to before is quarantined.
const TRIAL_AFTER_FIRST: Duration = Duration::from_secs(3);
/// How much longer that time is with each generation.
const TRIAL_FACTOR: u32 = 4;
/// Generations by which what no response ever went on to is ahead.
const NEVER_BEGUN_LEAD: u32 = 2;
/// Longest time between two requests that are let through.
const TRIAL_AFTER_MAX: Duration = Duration::from_secs(3_600);
/// Maximum number of parts and requests; those that were quarantined the longest ago are forgotten.
const FEATURES_MAX: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Entry {
    generation: u32,
    is_active: bool,
    since: Duration,
    had_begun: bool,
}

impl Entry {
    /// Of two entries for one part, the one with the higher order holds.
    fn order(&self) -> (u32, bool) {
        (self.generation, !self.is_active)
    }

    /// Time between its quarantine, or the last request that was let through, and the next one.
    fn trial_after(&self) -> Duration {
        let lead = if self.had_begun { 0 } else { NEVER_BEGUN_LEAD };
        let steps = self.generation.saturating_sub(1).saturating_add(lead);
        let factor = TRIAL_FACTOR.saturating_pow(steps);
        TRIAL_AFTER_FIRST
            .saturating_mul(factor)
            .min(TRIAL_AFTER_MAX)
    }
}

/// The parts and requests that are or were quarantined.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    entries: BTreeMap<Feature, Entry>,
}

impl Quarantine {
    /// What is quarantined.
    pub fn active(&self) -> impl Iterator<Item = Feature> + '_ {
        let active = self.entries.iter().filter(|(_, entry)| entry.is_active);
        active.map(|(feature, _)| *feature)
    }

    /// Whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.active().next().is_none()
    }

    /// Whether something is quarantined.
    pub fn holds(&self, feature: Feature) -> bool {
        self.entries
            .get(&feature)
            .is_some_and(|entry| entry.is_active)
    }

    /// When its quarantine, or the latest trial, began.
    pub fn since(&self, feature: Feature) -> Option<Duration> {
        self.entries.get(&feature).map(|entry| entry.since)
    }

    /// The generation of its quarantine.
    pub fn generation(&self, feature: Feature) -> u32 {
        self.entries
            .get(&feature)
            .map_or(0, |entry| entry.generation)
    }

    /// Whether a request that has it may be let through.
    pub fn is_trial_due(&self, feature: Feature, now: Duration) -> bool {
        let entry = self.entries.get(&feature).filter(|entry| entry.is_active);
        entry.is_some_and(|entry| entry.since + entry.trial_after() <= now)
    }

    /// Quarantines a part or a request.
    pub fn hold(&mut self, feature: Feature, had_begun: bool, now: Duration) {
        let entry = Entry {
            generation: self.generation(feature) + 1,
            is_active: true,
            since: now,
            had_begun,
        };
        self.entries.insert(feature, entry);
        if self.entries.len() > FEATURES_MAX {
            self.remove_oldest();
        }
    }

    /// Begins the next generation of a quarantine, as a request is let through.
    pub fn start_trial(&mut self, feature: Feature, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&feature) {
            entry.generation += 1;
            entry.since = now;
        }
    }

    /// Releases a part or a request; returns whether it was quarantined.
    pub fn release(&mut self, feature: Feature) -> bool {
        let entry = self.entries.get_mut(&feature);
        entry.is_some_and(|entry| std::mem::replace(&mut entry.is_active, false))
    }

    /// Takes over what another VM knows of a quarantine; returns whether that is news.
    pub fn merge(&mut self, feature: Feature, hold: Hold, now: Duration) -> bool {
        let entry = Entry {
            generation: hold.generation,
            is_active: hold.is_active,
            since: now.saturating_sub(hold.age),
            had_begun: hold.had_begun,
        };
        let known = self.entries.get(&feature);
        if known.is_some_and(|known| known.order() >= entry.order()) {
            return false;
        }
        self.entries.insert(feature, entry);
        if self.entries.len() > FEATURES_MAX {
            self.remove_oldest();
        }
        true
    }

    fn remove_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.since);
        if let Some(feature) = oldest.map(|(feature, _)| *feature) {
            self.entries.remove(&feature);
        }
    }

    /// All that is or was quarantined.
    pub fn features(&self) -> impl Iterator<Item = Feature> + '_ {
        self.entries.keys().copied()
    }

    /// A quarantine, as other VMs are told of it.
    pub fn describe(&self, feature: Feature, now: Duration) -> Option<Hold> {
        let entry = self.entries.get(&feature)?;
        Some(Hold {
            generation: entry.generation,
            is_active: entry.is_active,
            age: now.saturating_sub(entry.since),
            had_begun: entry.had_begun,
        })
    }

    /// A number that differs between VMs that know different things, 0 if nothing is known.
    pub fn digest(&self) -> u64 {
        let entries = self.entries.iter();
        let digests = entries.map(|(feature, entry)| {
            let (generation, is_released) = entry.order();
            let state = (u64::from(generation) << 1) | u64::from(is_released);
            hash(&feature.key().to_le_bytes(), state)
        });
        digests.fold(0, |digest, entry| digest ^ entry)
    }
}
