//! What was there at crashes, how much of them it explains, and whether that is enough.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::{Circumstance, Feature};

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

    pub(super) fn less(self, other: Self) -> Self {
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

/// How suspect something is that was there at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// The response had only just begun, if at all, and none has gone on since.
    Strong,
    /// It had gone on for a moment, or another one has since. That counts against what was never sound.
    Weak,
}

/// Crashes at which something was there, the earliest first.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
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

    pub(super) fn crashes(&self) -> u32 {
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

    pub(super) fn total(&self) -> Count {
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
    fn share(&self, crashes_at: &[Duration], margin: Duration) -> f64 {
        let (Some(first_at), Some(last_at)) = (self.times.first(), self.times.last()) else {
            return 0.0;
        };
        let time = first_at.saturating_sub(margin)..=*last_at + margin;
        let all = crashes_at.iter().filter(|at| time.contains(at));
        f64::from(self.crashes()) / all.count().max(1) as f64
    }
}

/// What was there at crashes.
#[derive(Debug, Clone, Default)]
pub(super) struct Candidate {
    pub(super) had_begun: bool,
    pub(super) was_sound: bool,
    /// The crashes at which it was strongly suspect.
    pub(super) strong: Tally,
    /// All of them.
    pub(super) all: Tally,
}

impl Candidate {
    pub(super) fn count(&mut self, at: Duration, circumstance: Circumstance, suspicion: Suspicion) {
        self.all.count(at, circumstance);
        if suspicion == Suspicion::Strong {
            self.strong.count(at, circumstance);
        }
    }

    /// What it is found to explain, if that is enough: by strong suspicion, or by any if it was never sound. A later part
    /// that explains nearly as much goes before it, and is waited for.
    pub(super) fn culprit(
        &self,
        feature: Feature,
        candidates: &BTreeMap<Feature, Self>,
        crashes_at: &[Duration],
        is_partial: bool,
    ) -> Option<Culprit> {
        let has_rival = |tally: fn(&Self) -> &Tally| {
            let parts = candidates.iter().filter(|(other, _)| !other.is_request());
            let mut rivals = parts.map(|(_, candidate)| tally(candidate));
            !feature.is_request() && rivals.any(|rival| rival.is_rival_of(tally(self)))
        };
        let strong = self.describe(&self.strong, self.had_begun, feature, crashes_at);
        if strong.is_certain(is_partial) && !has_rival(|candidate| &candidate.strong) {
            return Some(strong);
        }
        let any = self.describe(&self.all, false, feature, crashes_at);
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
        crashes_at: &[Duration],
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
            share: tally.share(crashes_at, margin),
        }
    }
}

impl Culprit {
    /// The likelier of two culprits has the higher order: what explains more, a request before a part that it
    /// has, of requests the one that runners had had the shortest, of parts the later one.
    pub(super) fn order(&self) -> impl Ord {
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
