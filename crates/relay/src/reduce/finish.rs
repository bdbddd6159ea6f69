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
    pub(super) fn after_no_run(&mut self, number: id::Call, runner: &id::Runner) {
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
    pub(super) fn after_possible_run(
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
            return self.give_final(number, reason);
        }
        if call.progress.head_forwarded {
            self.state.counters.resumed += 1;
        }
        self.advance(number);
    }

    /// Gives a call its final answer from this process.
    pub(super) fn give_final(&mut self, number: id::Call, reason: Reason) {
        let in_progress = self
            .state
            .calls
            .get(&number)
            .is_some_and(|call| matches!(call.phase, Phase::Run { .. }));
        self.abandon(number);
        let jitter = self.state.rng.random_range(0.8..1.4);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if in_progress {
            call.execution = Execution::MayHaveRun;
        }
        let id = call.id.clone();
        let lasted = self.now.saturating_sub(call.arrived_at);
        if call.progress.head_forwarded {
            self.state.counters.streams_cut += 1;
            self.log(
                Entry::new(Kind::StreamCut)
                    .request(&id)
                    .outcome(reason)
                    .age(lasted),
            );
            self.emit(Effect::AbortStream { call: number });
            self.measure(number, Ending::StreamCut);
        } else {
            let refusal = Refusal::of_call(call.execution, reason, RETRY_BASE.mul_f64(jitter));
            self.count_refusal(refusal);
            let ending = match refusal.claim {
                Claim::NotRun => Ending::NotRun,
                _ => Ending::Unknown,
            };
            self.measure(number, ending);
            let outcome = format!("{} {}", refusal.claim, refusal.reason);
            self.log(
                Entry::new(Kind::Refused)
                    .request(&id)
                    .outcome(outcome)
                    .age(lasted),
            );
            self.emit(Effect::Refuse {
                call: number,
                refusal,
            });
        }
        self.end_call(number);
    }

    /// Adds the time of a call that ends to the distributions.
    pub(super) fn measure(&mut self, number: id::Call, ending: Ending) {
        if let Some(call) = self.state.calls.get(&number) {
            let (kind, took) = (call.route.kind, self.now.saturating_sub(call.arrived_at));
            self.emit(Effect::Measure(Sample::Call { kind, ending, took }));
        }
    }

    /// Ends the attempt under way, if there is one.
    pub(super) fn abandon(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, _)) = call.phase.attempt() else {
            return;
        };
        self.release(attempt);
        self.emit(Effect::CancelAttempt { attempt });
    }

    /// Takes an attempt out of the books.
    pub(super) fn release(&mut self, attempt: id::Attempt) {
        self.state.by_attempt.remove(&attempt);
        self.discharge(attempt);
    }

    /// Drops a call and all that is kept for it.
    pub(super) fn end_call(&mut self, number: id::Call) {
        self.abandon(number);
        let Some(call) = self.state.calls.remove(&number) else {
            return;
        };
        if let Some(kv) = call.kv {
            self.emit(Effect::FreeKv { kv });
        }
        self.emit(Effect::ReleaseCall { call: number });
    }
}
