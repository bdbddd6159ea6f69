//! Crashes and their suspects, and the part or request that explains them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::candidate::{Candidate, Count, Culprit, Suspicion};
use super::{Circumstance, Crash, Feature, Recent, Suspect};
use crate::allocation::hash;
use crate::pool::Instance;

/// Crashes that no quarantined request explains, at which a part has to be suspect before those that one explains count for
/// it too.
const UNEXPLAINED_MIN: u32 = 2;
/// How long a crash waits for what other VMs know of it.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// How long a crash is remembered.
const LIFETIME: Duration = Duration::from_secs(300);
/// Maximum number of crashes; the oldest are forgotten.
const CRASHES_MAX: usize = 128;
/// Maximum number of suspects of a crash.
const SUSPECTS_MAX: usize = 512;
/// Maximum number of crashes that another VM is told at once, the latest ones.
const CRASHES_TOLD_MAX: usize = 32;

#[derive(Debug, Clone, Copy)]
struct Mark {
    circumstance: Circumstance,
    had_begun: bool,
    was_sound: bool,
}

#[derive(Debug, Clone)]
struct Observed {
    at: Duration,
    suspects: BTreeMap<Feature, Mark>,
}

/// The crashes that a VM knows of, and what is sound.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    crashes: BTreeMap<Instance, Observed>,
    /// When responses last went on for a moment.
    begun: Recent,
    /// When requests were last known to be sound.
    sound: Recent,
}

/// When a request with a feature last showed that it is sound, or may be.
#[derive(Debug, Clone, Copy)]
struct Clearance {
    begun_at: Option<Duration>,
    sound_at: Option<Duration>,
}

impl Evidence {
    /// Whether a process is known to have crashed.
    pub fn has_crashed(&self, instance: &Instance) -> bool {
        self.crashes.contains_key(instance)
    }

    /// When a response to a request with a feature last went on for a moment.
    pub fn begun_at(&self, feature: Feature) -> Option<Duration> {
        self.begun.get(feature)
    }

    /// When a request with a feature was last known to be sound.
    pub fn sound_at(&self, feature: Feature) -> Option<Duration> {
        self.sound.get(feature)
    }

    fn clearance(&self, feature: Feature) -> Clearance {
        Clearance {
            begun_at: self.begun.get(feature),
            sound_at: self.sound.get(feature),
        }
    }

    /// Adds a crash, or what another VM knows of it; returns whether anything is new.
    pub fn merge(&mut self, crash: Crash, now: Duration) -> bool {
        let at = now.saturating_sub(crash.age);
        let mut suspects = crash.suspects;
        if suspects.len() > SUSPECTS_MAX {
            // Those that were there at other crashes, and a choice of others that differs between crashes.
            let seed = hash(crash.instance.runner.as_bytes(), 0);
            suspects.sort_by_cached_key(|suspect| {
                let feature = suspect.feature;
                let choice = hash(&feature.key().to_le_bytes(), seed);
                (!self.is_suspect(feature), choice)
            });
        }
        let is_new = !self.crashes.contains_key(&crash.instance);
        let observed = self.crashes.entry(crash.instance);
        let observed = observed.or_insert_with(|| Observed {
            at,
            suspects: BTreeMap::new(),
        });
        observed.at = observed.at.min(at);
        let mut has_news = is_new;
        for suspect in suspects {
            has_news |= observed.add(suspect);
        }
        if self.crashes.len() > CRASHES_MAX {
            self.remove_oldest();
        }
        has_news
    }

    fn remove_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        let oldest = oldest.map(|(instance, _)| instance.clone());
        if let Some(instance) = oldest {
            self.crashes.remove(&instance);
        }
    }

    /// Forgets crashes of long ago.
    pub fn expire(&mut self, now: Duration) {
        self.crashes.retain(|_, crash| crash.at + LIFETIME > now);
    }

    /// Whether a suspect was there at a crash that nothing has cleared it of.
    fn is_suspect(&self, feature: Feature) -> bool {
        let clearance = self.clearance(feature);
        let mut crashes = self.crashes.values();
        crashes.any(|crash| crash.suspects(feature, clearance).is_some())
    }

    /// Records that a response to a request with a feature went on for a moment, so that it is less suspect. Returns the
    /// crashes at which that makes it less suspect.
    pub fn record_begun(&mut self, feature: Feature, at: Duration) -> Count {
        if !self.is_suspect(feature) {
            self.begun.insert(feature, at);
            return Count::default();
        }
        let before = self.tally(feature).strong.total();
        self.begun.insert(feature, at);
        before.less(self.tally(feature).strong.total())
    }

    /// Records that a request with a feature is sound; returns the crashes of which that clears it.
    pub fn clear(&mut self, feature: Feature, at: Duration) -> Count {
        if !self.is_suspect(feature) {
            self.begun.insert(feature, at);
            self.sound.insert(feature, at);
            return Count::default();
        }
        let before = self.count(feature);
        self.begun.insert(feature, at);
        self.sound.insert(feature, at);
        before.less(self.count(feature))
    }

    /// The crashes at which a feature was there and of which nothing has cleared it.
    pub fn count(&self, feature: Feature) -> Count {
        self.tally(feature).all.total()
    }

    /// The crashes at which a feature was there.
    fn tally(&self, feature: Feature) -> Candidate {
        let mut crashes: Vec<&Observed> = self.crashes.values().collect();
        crashes.retain(|crash| crash.suspects.contains_key(&feature));
        crashes.sort_by_key(|crash| crash.at);
        let mut candidates = self.count_crashes(&crashes, |counted| counted == feature);
        candidates.remove(&feature).unwrap_or_default()
    }

    /// The part or request that explains most of the crashes that nothing quarantined explains, if any explains
    /// enough of them. `is_partial` is whether this VM may not know what is sound.
    pub fn find_culprit(
        &self,
        now: Duration,
        is_quarantined: impl Fn(Feature) -> bool,
        is_partial: bool,
    ) -> Option<Culprit> {
        let explanation = |crash: &Observed| {
            let mut explanations = crash.suspects.keys().copied();
            let is_part = |feature: &Feature| !feature.is_request() && is_quarantined(*feature);
            let part = explanations.clone().find(is_part);
            part.or_else(|| explanations.find(|feature| is_quarantined(*feature)))
        };
        let is_settled = |crash: &&Observed| crash.at + SETTLING_TIME <= now;
        let settled = self.crashes.values().filter(is_settled);
        let mut crashes: Vec<(&Observed, Option<Feature>)> = settled
            .filter(|crash| !crash.suspects.is_empty())
            .map(|crash| (crash, explanation(crash)))
            .filter(|(_, explanation)| explanation.is_none_or(Feature::is_request))
            .collect();
        crashes.sort_by_key(|(crash, _)| crash.at);
        let unexplained = crashes.iter().filter(|(_, by)| by.is_none());
        let unexplained: Vec<&Observed> = unexplained.map(|(crash, _)| *crash).collect();
        if unexplained.is_empty() {
            return None;
        }
        let all: Vec<&Observed> = crashes.into_iter().map(|(crash, _)| crash).collect();
        let [unexplained_at, all_at] = [&unexplained, &all].map(|crashes| list_times(crashes));
        let candidates = self.count_crashes(&unexplained, |_| true);
        // Where no request explains any, the parts are counted already.
        let of_parts = if all.len() > unexplained.len() {
            self.count_crashes(&all, |feature| !feature.is_request())
        } else {
            BTreeMap::new()
        };
        let culprits = candidates.iter().flat_map(|(feature, candidate)| {
            let feature = *feature;
            // Requests with a part that crashes runners come again too, each of which explains its own crashes.
            let is_wider = candidate.all.crashes() >= UNEXPLAINED_MIN;
            let wider = of_parts.get(&feature).filter(|_| is_wider);
            let own = candidate.culprit(feature, &candidates, &unexplained_at, is_partial);
            let wider =
                wider.and_then(|wider| wider.culprit(feature, &of_parts, &all_at, is_partial));
            [own, wider]
        });
        culprits.flatten().max_by_key(Culprit::order)
    }

    /// What was there at these crashes, the earliest first, and nothing has cleared since.
    fn count_crashes(
        &self,
        crashes: &[&Observed],
        is_counted: impl Fn(Feature) -> bool,
    ) -> BTreeMap<Feature, Candidate> {
        let mut candidates: BTreeMap<Feature, Candidate> = BTreeMap::new();
        for crash in crashes {
            for (feature, mark) in &crash.suspects {
                if !is_counted(*feature) {
                    continue;
                }
                let clearance = self.clearance(*feature);
                let Some(suspicion) = crash.suspects(*feature, clearance) else {
                    continue;
                };
                let candidate = candidates.entry(*feature).or_default();
                candidate.had_begun |= mark.had_begun || clearance.begun_at.is_some();
                candidate.was_sound |= mark.was_sound || clearance.sound_at.is_some();
                candidate.count(crash.at, mark.circumstance, suspicion);
            }
        }
        candidates
    }

    /// A crash as other VMs are told of it; none if nothing is suspect.
    pub fn describe(&self, instance: &Instance, now: Duration) -> Option<Crash> {
        let observed = self.crashes.get(instance)?;
        let suspects = observed.suspects.iter().map(|(feature, mark)| Suspect {
            feature: *feature,
            circumstance: mark.circumstance,
            had_begun: mark.had_begun || self.begun.get(*feature).is_some(),
            was_sound: mark.was_sound || self.sound.get(*feature).is_some(),
        });
        let crash = Crash {
            instance: instance.clone(),
            age: now.saturating_sub(observed.at),
            suspects: suspects.collect(),
        };
        (!crash.suspects.is_empty()).then_some(crash)
    }

    /// The latest crashes, as other VMs are told of them.
    pub fn describe_all(&self, now: Duration) -> Vec<Crash> {
        let mut latest: Vec<(&Instance, &Observed)> = self.crashes.iter().collect();
        latest.sort_by_key(|(_, crash)| Reverse(crash.at));
        latest.truncate(CRASHES_TOLD_MAX);
        let crashes = latest.into_iter();
        crashes
            .filter_map(|(instance, _)| self.describe(instance, now))
            .collect()
    }
}

impl Observed {
    fn add(&mut self, suspect: Suspect) -> bool {
        let is_known = self.suspects.contains_key(&suspect.feature);
        if !is_known && self.suspects.len() >= SUSPECTS_MAX {
            return false;
        }
        let mark = Mark {
            circumstance: suspect.circumstance,
            had_begun: suspect.had_begun,
            was_sound: suspect.was_sound,
        };
        let known = self.suspects.entry(suspect.feature).or_insert(mark);
        let is_news = !is_known
            || known.circumstance.merge(suspect.circumstance)
            || (suspect.had_begun && !known.had_begun)
            || (suspect.was_sound && !known.was_sound);
        known.had_begun |= suspect.had_begun;
        known.was_sound |= suspect.was_sound;
        is_news
    }

    /// How suspect something is that was there, unless a sound request has cleared it since.
    fn suspects(&self, feature: Feature, clearance: Clearance) -> Option<Suspicion> {
        let mark = self.suspects.get(&feature)?;
        let is_before = |at: Option<Duration>| at.is_none_or(|at| at < self.at);
        let is_strong = !mark.circumstance.is_late && is_before(clearance.begun_at);
        is_before(clearance.sound_at).then_some(match is_strong {
            true => Suspicion::Strong,
            false => Suspicion::Weak,
        })
    }
}

/// When crashes were.
fn list_times(crashes: &[&Observed]) -> Vec<Duration> {
    crashes.iter().map(|crash| crash.at).collect()
}
