//! Crashes and their suspects, and the part or request that explains them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::{Circumstance, Crash, Feature, Recent, Suspect};
use crate::allocation::hash;
use crate::pool::Instance;

/// Crashes at which a part or a request has to be suspect before it is quarantined.
const CRASHES_MIN: u32 = 3;
/// The same if responses had gone on for a moment, before or at these crashes, or where what most others know may be missing.
const CRASHES_MIN_DOUBTFUL: u32 = 5;
/// Share of the crashes of its time that a suspect has to explain; where runners crash for other reasons, each
/// is there at a few of them.
const SHARE_MIN: f64 = 0.5;
/// The same for one that explains as many crashes as a doubtful one has to.
const SHARE_MIN_MANY: f64 = 0.25;
/// Share of the crashes that a part explains from which on a later part is the likelier cause.
const RIVAL_SHARE_MIN: f64 = 0.75;
/// Crashes that no quarantined request explains, at which a part has to be suspect before those that one explains count for
/// it too.
const UNEXPLAINED_MIN: u32 = 2;
/// Crashes closer to each other count as one: what ends several runners at a moment is not what they were sent.
/// A request that was never responded to is at several runners at once only if it was sent again and again, so
/// its crashes all count.
const CRASH_SPACING: Duration = Duration::from_millis(100);
/// The same for what responses had gone on to before: where several runners end within a second for other reasons, what
/// is sent on from one to the next is at each of them.
const CRASH_SPACING_BEGUN: Duration = Duration::from_millis(300);
/// The time of a request begins this long before its first crash and ends as long after its last: a request is
/// sent again within moments to where runners crash one after the other.
const REQUEST_MARGIN: Duration = Duration::from_secs(1);
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

/// A part or a request that explains crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Culprit {
    /// What it is.
    pub feature: Feature,
    /// Crashes that it explains.
    pub crashes: u32,
    /// Whether responses to requests with it had gone on for a moment before.
    pub had_begun: bool,
    circumstance: Circumstance,
    /// The share of the crashes of its time that it explains.
    share: f64,
}

/// Crashes at which a part or a request was there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Crashes.
    pub crashes: u32,
    /// The same, of which those that follow each other closely count as one.
    pub moments: u32,
}

impl Count {
    /// Whether there is none.
    pub fn is_zero(self) -> bool {
        self.crashes == 0
    }

    fn less(self, other: Self) -> Self {
        Self {
            crashes: self.crashes.saturating_sub(other.crashes),
            moments: self.moments.saturating_sub(other.moments),
        }
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} crashes at {} moments", self.crashes, self.moments)
    }
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
            let own = candidate.culprit(feature, &candidates, &unexplained, is_partial);
            let wider = wider.and_then(|wider| wider.culprit(feature, &of_parts, &all, is_partial));
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

/// How suspect something is that was there at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Suspicion {
    /// The response had only just begun, if at all, and none has gone on since.
    Strong,
    /// It had gone on for a moment, or another one has since. That counts against what was never sound.
    Weak,
}

/// Crashes at which something was there, the earliest first.
#[derive(Debug, Clone, Default)]
struct Tally {
    times: Vec<Duration>,
    position: u32,
    /// The longest time that a runner had had it before it crashed.
    held: Duration,
}

impl Tally {
    fn count(&mut self, at: Duration, circumstance: Circumstance) {
        self.times.push(at);
        self.position = self.position.max(circumstance.position);
        self.held = self.held.max(circumstance.held);
    }

    fn crashes(&self) -> u32 {
        self.times.len() as u32
    }

    /// Number of crashes, of which those that are closer to the one counted before count as one.
    fn moments(&self, spacing: Duration) -> u32 {
        let mut moments = 0;
        let mut next_at = Duration::ZERO;
        for at in &self.times {
            if moments == 0 || next_at <= *at {
                moments += 1;
                next_at = *at + spacing;
            }
        }
        moments
    }

    fn total(&self) -> Count {
        Count {
            crashes: self.crashes(),
            moments: self.moments(CRASH_SPACING),
        }
    }

    /// Whether this is the tally of a later part that explains nearly as much. Of a few crashes a VM may know only what others
    /// than the sender of that part had there, which an earlier part is in too.
    fn is_rival_of(&self, earlier: &Self) -> bool {
        let explained = f64::from(self.crashes()) / f64::from(earlier.crashes().max(1));
        self.position > earlier.position && explained >= RIVAL_SHARE_MIN
    }

    /// The share of the crashes of its time at which it was there.
    fn share(&self, crashes: &[&Observed], margin: Duration) -> f64 {
        let (Some(first_at), Some(last_at)) = (self.times.first(), self.times.last()) else {
            return 0.0;
        };
        let time = first_at.saturating_sub(margin)..=*last_at + margin;
        let all = crashes.iter().filter(|crash| time.contains(&crash.at));
        f64::from(self.crashes()) / all.count().max(1) as f64
    }
}

/// What was there at crashes.
#[derive(Debug, Clone, Default)]
struct Candidate {
    had_begun: bool,
    was_sound: bool,
    /// The crashes at which it was strongly suspect.
    strong: Tally,
    /// All of them.
    all: Tally,
}

impl Candidate {
    fn count(&mut self, at: Duration, circumstance: Circumstance, suspicion: Suspicion) {
        self.all.count(at, circumstance);
        if suspicion == Suspicion::Strong {
            self.strong.count(at, circumstance);
        }
    }

    /// What it is found to explain, if that is enough: by strong suspicion, or by any if it was never sound. A later part
    /// that explains nearly as much goes before it, and is waited for.
    fn culprit(
        &self,
        feature: Feature,
        candidates: &BTreeMap<Feature, Self>,
        crashes: &[&Observed],
        is_partial: bool,
    ) -> Option<Culprit> {
        let has_rival = |tally: fn(&Self) -> &Tally| {
            let parts = candidates.iter().filter(|(other, _)| !other.is_request());
            let mut rivals = parts.map(|(_, candidate)| tally(candidate));
            !feature.is_request() && rivals.any(|rival| rival.is_rival_of(tally(self)))
        };
        let strong = self.describe(&self.strong, self.had_begun, feature, crashes);
        if strong.is_certain(is_partial) && !has_rival(|candidate| &candidate.strong) {
            return Some(strong);
        }
        let any = self.describe(&self.all, false, feature, crashes);
        let is_certain = any.crashes >= CRASHES_MIN_DOUBTFUL && any.share >= SHARE_MIN;
        let may_be_sound = self.was_sound || is_partial;
        let is_culprit = is_certain && !may_be_sound && !has_rival(|candidate| &candidate.all);
        is_culprit.then_some(any)
    }

    fn describe(
        &self,
        tally: &Tally,
        had_begun: bool,
        feature: Feature,
        crashes: &[&Observed],
    ) -> Culprit {
        let margin = match feature {
            Feature::Part(_) => Duration::ZERO,
            Feature::Request(_) => REQUEST_MARGIN,
        };
        let crashes_counted = match (feature.is_request(), had_begun) {
            (true, false) => tally.crashes(),
            (false, false) => tally.moments(CRASH_SPACING),
            (_, true) => tally.moments(CRASH_SPACING_BEGUN),
        };
        Culprit {
            feature,
            crashes: crashes_counted,
            had_begun,
            circumstance: Circumstance {
                position: tally.position,
                held: tally.held,
                is_late: false,
            },
            share: tally.share(crashes, margin),
        }
    }
}

impl Culprit {
    /// The likelier of two culprits has the higher order: what explains more, a request before a part that it
    /// has, of requests the one that runners had had the shortest, of parts the later one.
    fn order(&self) -> impl Ord {
        let Circumstance { position, held, .. } = self.circumstance;
        let is_request = self.feature.is_request();
        let shortest = Reverse(if is_request { held } else { Duration::ZERO });
        let clearness = (!self.had_begun, self.crashes, is_request);
        (clearness, shortest, position, self.feature)
    }

    fn is_certain(&self, is_partial: bool) -> bool {
        let min = match (self.had_begun, is_partial) {
            (false, false) => CRASHES_MIN,
            (true, false) | (false, true) => CRASHES_MIN_DOUBTFUL,
            (true, true) => return false,
        };
        let share_min = if self.crashes < CRASHES_MIN_DOUBTFUL {
            SHARE_MIN
        } else {
            SHARE_MIN_MANY
        };
        self.crashes >= min && self.share >= share_min
    }
}
