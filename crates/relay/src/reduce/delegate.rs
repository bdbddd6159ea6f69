//! Delegation: a VM that reaches no runner for a call has another VM run it.
//!
//! To the call it is an attempt like one at a runner: it counts the attempts and the retries, and the other VM runs
//! it once at most. A call that was delegated is not delegated again.

use rand::seq::IteratorRandom as _;

use crate::arrivals::Step;
use crate::call::Phase;
use crate::decision_log::{Entry, Kind};
use crate::event::{Dispatch, Operation};
use crate::id;
use crate::member::{Descriptor, Member};
use crate::pool::Instance;
use crate::refusal::Reason;
use crate::state::InFlight;

use super::survey::{is_reaching, REACHING_TIME};
use super::Reducer;

/// Maximum number of VMs that are asked to run one call, without those that reach no runner either.
const DELEGATIONS_MAX: u32 = 3;
/// Maximum number of VMs that are asked to run one call and reach no runner either.
const OUT_OF_REACH_MAX: u32 = 8;

impl Reducer<'_> {
    /// Has another VM run a call that needs runners which this one does not reach; returns whether the call is taken
    /// care of.
    pub(super) fn advance_out_of_reach(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        if !call.is_bound_elsewhere && !self.is_out_of_reach(call) {
            return false;
        }
        if call.delegated_by.is_some() {
            // The VM that delegated it finds another one sooner. It counts what reached a runner.
            let reason = if call.arrivals.has_arrived() {
                Reason::RunnersFailed
            } else {
                Reason::OutOfReach
            };
            self.fall_back(number, reason);
            return true;
        }
        let is_bound_elsewhere = call.is_bound_elsewhere;
        let is_delegated = self.delegate(number);
        if is_bound_elsewhere && !is_delegated {
            // The runners that this one reaches may be of another software version.
            self.fall_back(number, Reason::OutOfReach);
        }
        is_bound_elsewhere || is_delegated
    }

    /// Has another VM run a call, if one can; returns whether one was asked.
    pub(super) fn delegate(&mut self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        let is_own = call.is_some_and(|call| call.delegated_by.is_none());
        if !is_own || !self.is_fresh(number) {
            return false;
        }
        let Some(delegate) = self.pick_delegate(number) else {
            return false;
        };
        self.drop_grant(number);
        self.free_kv(number);
        self.release_retries(number, Some(Step::Run));
        self.return_charge(number);
        self.start_delegated(number, &delegate);
        true
    }

    /// Whether another VM can run a call that needs runners which this one does not reach.
    pub(super) fn can_delegate(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let is_own = call.delegated_by.is_none() && call.standby.is_none();
        is_own
            && self.is_fresh(number)
            && self.is_out_of_reach(call)
            && self.pick_delegate(number).is_some()
    }

    /// Whether a call has reached no runner from here: another VM would count its arrivals anew, and does not know
    /// which runners have ended under it.
    fn is_fresh(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        let is_new = call.is_some_and(|call| call.delegations > 0 || !call.arrivals.has_arrived());
        is_new && !self.has_crashes(number)
    }

    /// Picks a VM that reaches the endpoint of a call, or may: one that serves before one that shuts down, which refuses
    /// what it can't end; then one that has said or shown that it does; then one in this availability zone.
    fn pick_delegate(&mut self, number: id::Call) -> Option<Descriptor> {
        let call = self.state.calls.get(&number)?;
        let asked_enough = call.delegations >= DELEGATIONS_MAX + call.delegates_out_of_reach
            || call.delegates_out_of_reach >= OUT_OF_REACH_MAX;
        if asked_enough || call.standby.is_some() {
            return None;
        }
        let zone = &self.state.settings.zone;
        let now = self.now;
        let preference = |member: &Member| {
            let is_elsewhere = member.descriptor.zone != *zone;
            let is_reaching = is_reaching(member, &call.endpoint, now);
            (!member.is_serving(), !is_reaching, is_elsewhere)
        };
        let reaches = |member: &&Member| {
            let is_tried = call.tried.contains(&member.descriptor.vm);
            let is_up = member.is_serving() || member.is_leaving();
            is_up && !is_tried && !member.unreached.contains(&call.endpoint)
        };
        let candidates: Vec<&Member> = self.state.members.iter().filter(reaches).collect();
        let best = candidates.iter().map(|member| preference(member)).min()?;
        let preferred = candidates.into_iter();
        let preferred = preferred.filter(|member| preference(member) == best);
        let picked = preferred.choose(&mut self.state.rng)?;
        Some(picked.descriptor.clone())
    }

    fn start_delegated(&mut self, number: id::Call, delegate: &Descriptor) {
        self.state.last_attempt += 1;
        self.state.counters.delegated += 1;
        let (attempt, now) = (self.state.last_attempt, self.now);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.retry_denied = false;
        call.delegations += 1;
        let charge = call.arrivals.start(Step::Run);
        call.phase = Phase::Run {
            attempt,
            runner: delegate.vm.clone(),
            started_at: now,
            attempt_deadline: None,
        };
        let operation = Operation::Delegate {
            resume_after: call.progress.last_position,
        };
        let time_limit = call.remaining(now);
        let identity = call.identity.clone();
        let member = self.state.members.get(&delegate.vm);
        let reached_ago =
            member.and_then(|member| member.reached_ago(&call.endpoint, REACHING_TIME, now));
        let entry = Entry::new(Kind::Delegated)
            .request(&call.id)
            .attempt(attempt)
            .endpoint(&call.endpoint)
            .charge(charge)
            .connected(reached_ago.is_some())
            .age(reached_ago.unwrap_or_default())
            .outcome(&delegate.vm);
        self.log(entry);
        let instance = Instance {
            runner: delegate.vm.clone(),
            started_at_ms: delegate.incarnation,
        };
        let in_flight = InFlight {
            is_delegated: true,
            ..InFlight::new(instance, None, now)
        };
        self.send_attempt(
            in_flight,
            Dispatch {
                attempt,
                vm: self.state.local.vm.clone(),
                call: number,
                runner: delegate.vm.clone(),
                address: delegate.caller_address,
                operation,
                time_limit,
                is_repeat: false,
                identity,
            },
        );
    }

    /// Whether a VM runs the current attempt of a call for this one.
    pub(super) fn is_delegated(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        let attempt = call.and_then(|call| call.phase.attempt());
        let in_flight = attempt.and_then(|(attempt, _)| self.state.in_flight.get(&attempt));
        in_flight.is_some_and(|in_flight| in_flight.is_delegated)
    }

    /// Goes on with the calls that a VM runs which has just been found to be down.
    pub(super) fn take_back(&mut self, vm: &id::Vm) {
        let calls = self.state.calls.iter();
        let lost: Vec<id::Call> = calls
            .filter(|(number, call)| {
                let runner = call.phase.attempt().map(|(_, runner)| runner);
                runner == Some(vm) && self.is_delegated(**number)
            })
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            self.abort_attempt(number);
            self.continue_after_possible_run(number, vm, Reason::RunnersFailed);
        }
    }
}
