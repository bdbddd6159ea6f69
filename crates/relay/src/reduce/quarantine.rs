//! Parts of prompts that are quarantined: no runner is sent a request with one, but for a trial at times.

use std::time::Duration;

use crate::call::Phase;
use crate::crash::{shared_parts, Culprit};
use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::origin;
use crate::refusal::Reason;

use super::fleet::MAJORITY;
use super::Reducer;

/// How long a process that has just started waits for a VM that serves already to tell what it knows.
const INTRODUCTION_TIME: Duration = Duration::from_secs(1);
/// How long a process takes to learn which parts are sound.
const LEARNING_TIME: Duration = Duration::from_secs(10);

impl Reducer<'_> {
    /// Quarantines the parts that explain the crashes so far.
    pub(super) fn quarantine_culprits(&mut self) {
        while let Some(culprit) = self.find_culprit() {
            let Culprit {
                part,
                crashes,
                was_sound,
                ..
            } = culprit;
            self.state.quarantine.hold(part, was_sound, self.now);
            self.state.untold.parts.insert(part);
            self.enforce_quarantine(part, &format!("{crashes} crashes"));
        }
    }

    fn find_culprit(&self) -> Option<Culprit> {
        let quarantine = &self.state.quarantine;
        let evidence = &self.state.evidence;
        let is_quarantined = |part| quarantine.holds(part);
        evidence.find_culprit(self.now, is_quarantined, self.is_uninformed())
    }

    /// Whether this VM has not run for long enough to know which parts are sound, or reaches less than half of
    /// the fleet.
    fn is_uninformed(&self) -> bool {
        self.now < LEARNING_TIME || self.reached_share() < MAJORITY
    }

    /// Ends the calls with a part that has just been quarantined and that no runner may be running.
    pub(super) fn enforce_quarantine(&mut self, part: id::Part, cause: &str) {
        self.log_quarantine(Kind::PartQuarantined, part, cause);
        let calls = self.state.calls.iter();
        let held: Vec<id::Call> = calls
            .filter(|(_, call)| !matches!(call.phase, Phase::Run { .. }))
            .filter(|(_, call)| shared_parts(&call.parts).contains(&part))
            .map(|(number, _)| *number)
            .collect();
        for number in held {
            if self.is_quarantined(number) {
                self.abort_attempt(number);
                self.fall_back(number, Reason::PromptQuarantined);
            }
        }
    }

    /// Whether a call has a part that is quarantined, and is not the one that is let through.
    pub(super) fn is_quarantined(&self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        !call.is_trial && self.held_parts(&call.parts).next().is_some()
    }

    fn held_parts<'a>(&'a self, parts: &'a [id::Part]) -> impl Iterator<Item = id::Part> + 'a {
        let quarantine = &self.state.quarantine;
        let shared = shared_parts(parts).iter().copied();
        shared.filter(|part| quarantine.holds(*part))
    }

    /// Lets a new call through if a trial of its quarantined part is due at this VM.
    pub(super) fn start_trial(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let mut held = self.held_parts(&call.parts);
        let (Some(part), None) = (held.next(), held.next()) else {
            return;
        };
        drop(held);
        let is_due = self.state.quarantine.is_trial_due(part, self.now);
        if !is_due || !self.is_trial_here(part) {
            return;
        }
        let entry = Entry::new(Kind::PartTried).request(&call.id).parts([part]);
        self.state.quarantine.start_trial(part, self.now);
        self.state.untold.parts.insert(part);
        let generation = self.state.quarantine.generation(part);
        self.log(entry.version(generation.into()));
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.is_trial = true;
        }
    }

    /// Whether this VM lets requests with a part through: by its own view of the fleet, one VM does.
    fn is_trial_here(&self, part: id::Part) -> bool {
        let local = origin::rank(&self.state.local.vm, part);
        let mut others = self
            .state
            .members
            .iter()
            .filter(|member| member.is_serving());
        self.state.is_ready()
            && others.all(|member| origin::rank(&member.descriptor.vm, part) < local)
    }

    pub(super) fn log_release(&mut self, part: id::Part, cause: &str) {
        self.log_quarantine(Kind::PartReleased, part, cause);
    }

    fn log_quarantine(&mut self, kind: Kind, part: id::Part, cause: &str) {
        let generation = self.state.quarantine.generation(part);
        let entry = Entry::new(kind).parts([part]).version(generation.into());
        self.log(entry.outcome(cause));
    }

    /// Whether this VM has heard which parts are quarantined, or nobody can tell.
    pub(super) fn is_introduced(&self) -> bool {
        let local_address = self.state.local.peer_address;
        let mut seeds = self.state.seeds.iter();
        self.state.introduced
            || self.now >= INTRODUCTION_TIME
            || seeds.all(|seed| *seed == local_address)
    }
}
