//! What follows an attempt that came to nothing; final answers of this process; the end of calls.

use std::time::Duration;

use rand::Rng as _;

use crate::call::{Execution, Phase};
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Ending, Sample};
use crate::id;
use crate::refusal::{Claim, Reason, Refusal};

use super::Reducer;

/// Base of the advice when to come back.
const RETRY_BASE: Duration = Duration::from_millis(120);

impl Reducer<'_> {
    /// Goes on after an attempt of which nothing ran.
    pub(super) fn continue_after_no_run(&mut self, number: id::Call, runner: &id::Runner) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.tried.push(runner.clone());
            call.phase = Phase::Waiting { retry_at: self.now };
            if call.disconnected {
                return self.end_call(number);
            }
        }
        self.advance(number);
    }

    /// Goes on after an attempt that may have run, where the route allows that.
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
        call.kv = None;
        call.tried.push(runner.clone());
        call.phase = Phase::Waiting { retry_at: now };
        if call.disconnected {
            return self.end_call(number);
        }
        if !call.can_retry() {
            return self.fail_call(number, reason);
        }
        if call.progress.head_forwarded {
            self.state.counters.resumed += 1;
        }
        self.advance(number);
    }

    /// Gives a call its final answer from this process.
    pub(super) fn fail_call(&mut self, number: id::Call, reason: Reason) {
        let in_progress = self
            .state
            .calls
            .get(&number)
            .is_some_and(|call| matches!(call.phase, Phase::Run { .. }));
        self.cancel_attempt(number);
        let jitter = self.state.rng.random_range(0.8..1.4);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if in_progress {
            call.execution = Execution::MayHaveRun;
        }
        let id = call.id.clone();
        let elapsed = self.now.saturating_sub(call.arrived_at);
        if call.progress.head_forwarded {
            self.state.counters.streams_cut += 1;
            self.log(
                Entry::new(Kind::StreamCut)
                    .request(&id)
                    .outcome(reason)
                    .age(elapsed),
            );
            self.emit(Effect::AbortStream { call: number });
            self.record_duration(number, Ending::StreamCut);
        } else {
            let refusal = Refusal::for_call(call.execution, reason, RETRY_BASE.mul_f64(jitter));
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

    /// Adds the time of a call that ends to the distributions.
    pub(super) fn record_duration(&mut self, number: id::Call, ending: Ending) {
        if let Some(call) = self.state.calls.get(&number) {
            let (kind, took) = (call.route.kind, self.now.saturating_sub(call.arrived_at));
            self.emit(Effect::Measure(Sample::Call { kind, ending, took }));
        }
    }

    /// Ends the attempt under way, if there is one.
    pub(super) fn cancel_attempt(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, _)) = call.phase.attempt() else {
            return;
        };
        self.release_attempt(attempt);
        self.emit(Effect::CancelAttempt { attempt });
    }

    /// Takes an attempt out of the books.
    pub(super) fn release_attempt(&mut self, attempt: id::Attempt) {
        self.state.by_attempt.remove(&attempt);
        self.discharge(attempt);
    }

    /// Drops a call and all that is kept for it.
    pub(super) fn end_call(&mut self, number: id::Call) {
        self.cancel_attempt(number);
        let Some(call) = self.state.calls.remove(&number) else {
            return;
        };
        if let Some(kv) = call.kv {
            self.emit(Effect::FreeKv { kv });
        }
        self.emit(Effect::ReleaseCall { call: number });
    }
}
