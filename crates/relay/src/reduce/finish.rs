//! Continuation after failed attempts, refusals by this process, and the end of calls.

use std::time::Duration;

use rand::Rng as _;

use crate::arrivals::Arrival;
use crate::call::{Execution, Phase};
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::{Effect, Ending, Sample};
use crate::id;
use crate::refusal::{Claim, Reason, Refusal};

use super::Reducer;

/// Base of the retry delay advised to callers, before jitter.
const RETRY_AFTER_BASE: Duration = Duration::from_millis(120);

impl Reducer<'_> {
    /// Continues after an attempt that was not executed.
    pub(super) fn continue_after_no_run(&mut self, number: id::Call, runner: &id::Runner) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.mark_tried(runner);
            call.phase = Phase::Waiting { retry_at: self.now };
            if call.disconnected {
                return self.end_call(number);
            }
        }
        self.advance(number);
    }

    /// Continues after an attempt that may have been executed, if the route allows it.
    pub(super) fn continue_after_possible_run(
        &mut self,
        number: id::Call,
        runner: &id::Runner,
        reason: Reason,
    ) {
        let now = self.now;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.execution = Execution::MayHaveRun;
        call.execution_count += 1;
        call.mark_tried(runner);
        call.phase = Phase::Waiting { retry_at: now };
        if call.disconnected {
            return self.end_call(number);
        }
        self.free_kv(number);
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if !call.can_retry() {
            return self.fall_back(number, reason);
        }
        if call.progress.head_forwarded && call.standby.is_none() {
            self.state.counters.resumed += 1;
        }
        self.advance(number);
    }

    /// Ends a call with a refusal, or by aborting its stream if that has started.
    pub(super) fn fail_call(&mut self, number: id::Call, reason: Reason) {
        self.fail_call_until(number, reason, None);
    }

    /// The same, with the time after which the caller is to come again, if that is known.
    pub(super) fn fail_call_until(
        &mut self,
        number: id::Call,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let in_progress = self
            .state
            .calls
            .get(&number)
            .is_some_and(|call| matches!(call.phase, Phase::Run { .. }));
        let connected = self
            .state
            .calls
            .get(&number)
            .is_some_and(|call| call.phase.attempt().is_some());
        self.abort_attempt(number);
        self.abort_standby(number);
        if reason == Reason::Overloaded {
            self.count_overload(number);
        }
        let retry_after = match (retry_after, reason) {
            (Some(retry_after), _) => retry_after,
            (None, Reason::Limited) => self.return_after(number),
            (None, Reason::Resting) => self.rest_return_after(number),
            (None, Reason::OverCap) => self.cap_return_after(number),
            (None, Reason::Overloaded) => self.overload_return_after(number),
            _ => RETRY_AFTER_BASE.scale(self.state.rng.random_range(0.8..1.4)),
        };
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if in_progress {
            call.execution = Execution::MayHaveRun;
        }
        let is_unsent = call.delegated_by.is_some() && !call.arrivals.has_arrived();
        let reason = match reason {
            Reason::Leaving if is_unsent => Reason::LeavingUnsent,
            reason => reason,
        };
        let id = call.id.clone();
        let elapsed = self.now.saturating_sub(call.arrived_at);
        if call.progress.head_forwarded {
            self.state.counters.streams_cut += 1;
            self.log(
                Entry::new(Kind::StreamCut)
                    .request(&id)
                    .outcome(reason)
                    .connected(connected)
                    .age(elapsed),
            );
            self.emit(Effect::AbortStream { call: number });
            self.record_duration(number, Ending::StreamCut);
        } else {
            let refusal = Refusal::for_call(call.execution, reason, retry_after);
            self.count_refusal(refusal);
            let ending = match refusal.claim {
                Claim::NotRun => Ending::NotRun,
                _ => Ending::Unknown,
            };
            self.record_duration(number, ending);
            let outcome = format!("{} {}", refusal.claim, refusal.reason);
            self.log(
                Entry::new(Kind::Refused)
                    .request(&id)
                    .outcome(outcome)
                    .age(elapsed),
            );
            self.emit(Effect::Refuse {
                call: number,
                refusal,
            });
        }
        self.end_call(number);
    }

    /// Records the duration of a call that ends.
    pub(super) fn record_duration(&mut self, number: id::Call, ending: Ending) {
        if let Some(call) = self.state.calls.get(&number) {
            let (kind, took) = (call.route.kind, self.now.saturating_sub(call.arrived_at));
            self.emit(Effect::Measure(Sample::Call { kind, ending, took }));
        }
    }

    /// Aborts the attempt of the phase, if there is one.
    pub(super) fn abort_attempt(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, _)) = call.phase.attempt() else {
            return;
        };
        self.settle_attempt(number, Arrival::Other);
        self.record_abandoned(number, attempt);
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: self.now };
        }
        self.release_attempt(attempt);
        self.emit(Effect::AbortAttempt { attempt });
    }

    /// Removes an attempt that is no longer in flight, with its load.
    pub(super) fn release_attempt(&mut self, attempt: id::Attempt) {
        self.state.by_attempt.remove(&attempt);
        self.state.in_flight.remove(&attempt);
        self.discharge(attempt);
    }

    /// Ends a call and releases everything held for it.
    pub(super) fn end_call(&mut self, number: id::Call) {
        self.abort_attempt(number);
        self.abort_standby(number);
        self.drop_grant(number);
        self.release_retries(number, None);
        self.release_charge(number);
        self.free_kv(number);
        if self.state.calls.remove(&number).is_none() {
            return;
        }
        self.emit(Effect::ReleaseCall { call: number });
    }
}
