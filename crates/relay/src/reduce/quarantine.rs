//! Parts of prompts, and requests, that are quarantined: no runner is sent them, but for a trial at times.

use std::time::Duration;

use crate::call::{Call, Phase};
use crate::crash::{Culprit, Feature};
use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::member::Member;
use crate::refusal::Reason;

use super::fleet::MAJORITY;
use super::Reducer;

/// How long a process that has just started waits for a VM that serves already to tell what it knows.
const INTRODUCTION_TIME: Duration = Duration::from_secs(1);
/// How long a process takes to learn what is sound.
const LEARNING_TIME: Duration = Duration::from_secs(10);

impl Reducer<'_> {
    /// Quarantines what explains the crashes so far.
    pub(super) fn quarantine_culprits(&mut self) {
        while let Some(culprit) = self.find_culprit() {
            let Culprit {
                feature,
                crashes,
                had_begun,
                ..
            } = culprit;
            self.state.quarantine.hold(feature, had_begun, self.now);
            self.state.untold.features.insert(feature);
            self.enforce_quarantine(feature, &format!("{crashes} crashes"));
        }
    }

    fn find_culprit(&self) -> Option<Culprit> {
        let quarantine = &self.state.quarantine;
        let evidence = &self.state.evidence;
        let is_quarantined = |feature| quarantine.holds(feature);
        evidence.find_culprit(self.now, is_quarantined, self.is_uninformed())
    }

    /// Whether this VM has not run for long enough to know what is sound, or reaches less than half of
    /// the fleet.
    fn is_uninformed(&self) -> bool {
        self.now < LEARNING_TIME || self.reached_share() < MAJORITY
    }

    /// Ends the calls with what has just been quarantined and that no runner may be running.
    pub(super) fn enforce_quarantine(&mut self, feature: Feature, cause: &str) {
        let kind = match feature {
            Feature::Part(_) => Kind::PartQuarantined,
            Feature::Request(_) => Kind::RequestQuarantined,
        };
        self.log_quarantine(kind, feature, cause);
        let calls = self.state.calls.iter();
        let held: Vec<id::Call> = calls
            .filter(|(_, call)| !matches!(call.phase, Phase::Run { .. }))
            .filter(|(_, call)| call.features().any(|has| has == feature))
            .map(|(number, _)| *number)
            .collect();
        for number in held {
            if let Some(reason) = self.find_quarantine(number) {
                self.abort_attempt(number);
                self.fall_back(number, reason);
            }
        }
    }

    /// Why no runner may be sent a call, if something of it is quarantined and it is not the one that is let
    /// through.
    pub(super) fn find_quarantine(&self, number: id::Call) -> Option<Reason> {
        let call = self.state.calls.get(&number)?;
        if call.is_trial {
            return None;
        }
        self.held_features(call)
            .next()
            .map(|feature| match feature {
                Feature::Part(_) => Reason::PromptQuarantined,
                Feature::Request(_) => Reason::RequestQuarantined,
            })
    }

    fn held_features<'a>(&'a self, call: &'a Call) -> impl Iterator<Item = Feature> + 'a {
        let quarantine = &self.state.quarantine;
        call.features().filter(|feature| quarantine.holds(*feature))
    }

    /// Lets a new call through if a trial of what is quarantined of it is due at this VM.
    pub(super) fn start_trial(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let mut held = self.held_features(call);
        let (Some(feature), None) = (held.next(), held.next()) else {
            return;
        };
        drop(held);
        let is_due = self.state.quarantine.is_trial_due(feature, self.now);
        if !is_due || !self.is_trial_here(feature) {
            return;
        }
        let kind = match feature {
            Feature::Part(_) => Kind::PartTried,
            Feature::Request(_) => Kind::RequestTried,
        };
        let entry = Entry::new(kind).request(&call.id).features([feature]);
        self.state.quarantine.start_trial(feature, self.now);
        self.state.untold.features.insert(feature);
        let generation = self.state.quarantine.generation(feature);
        self.log(entry.version(generation.into()));
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.is_trial = true;
        }
    }

    /// Whether this VM lets requests through: by its own view of the fleet, one VM does for each part or request.
    fn is_trial_here(&self, feature: Feature) -> bool {
        let highest = self.highest_ranked(feature.key(), Member::is_serving, true);
        let is_local = highest.is_some_and(|highest| highest.vm == self.state.local.vm);
        self.state.is_ready() && is_local
    }

    pub(super) fn log_release(&mut self, feature: Feature, cause: &str) {
        let kind = match feature {
            Feature::Part(_) => Kind::PartReleased,
            Feature::Request(_) => Kind::RequestReleased,
        };
        self.log_quarantine(kind, feature, cause);
    }

    fn log_quarantine(&mut self, kind: Kind, feature: Feature, cause: &str) {
        let quarantine = &self.state.quarantine;
        let generation = quarantine.generation(feature);
        let since = quarantine.since(feature).unwrap_or(self.now);
        let entry = Entry::new(kind)
            .features([feature])
            .version(generation.into())
            .age(self.now.saturating_sub(since));
        self.log(entry.outcome(cause));
    }

    /// Whether this VM has heard what is quarantined, or nobody can tell.
    pub(super) fn is_introduced(&self) -> bool {
        let local_address = self.state.local.peer_address;
        let mut seeds = self.state.seeds.iter();
        self.state.introduced
            || self.now >= INTRODUCTION_TIME
            || seeds.all(|seed| *seed == local_address)
    }
}
