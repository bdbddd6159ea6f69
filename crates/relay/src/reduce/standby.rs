//! Silent streams: the attempt at a silent runner stays connected while another runner is prepared.
//!
//! Whichever attempt delivers first goes on. The other one is aborted at that moment, before anything
//! is forwarded, so that the caller never gets events of two runs. If the replacement can't be had or
//! fails, the call goes back to the attempt on standby.

use crate::arrivals::Arrival;
use crate::breaker::Observation;
use crate::call::{Execution, Phase, Standby};
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, KvCache, Outcome};
use crate::id;
use crate::refusal::Reason;

use super::outcome::{EndedAttempt, FAILURE_STATUS};
use super::timeout::MOVE_RETRY_INTERVAL;
use super::Reducer;

impl Reducer<'_> {
    /// Puts the run of a stream on standby and prepares another runner.
    pub(super) fn replace_silent_run(&mut self, number: id::Call) {
        // The runner may have it, so it counts even if it turns out not to have arrived.
        self.settle_attempt(number, Arrival::Other);
        let now = self.now;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let Some(standby) = Standby::from_phase(&call.phase, call.kv.take()) else {
            return;
        };
        call.execution = Execution::MayHaveRun;
        call.kv_unavailable = false;
        call.mark_tried(&standby.runner);
        call.phase = Phase::Waiting { retry_at: now };
        let entry = Entry::new(Kind::StandsBy)
            .request(&call.id)
            .runner(&standby.runner)
            .attempt(standby.attempt)
            .age(now.saturating_sub(standby.started_at));
        call.standby = Some(standby);
        self.log(entry);
        self.advance(number);
    }

    /// Goes back to the attempt on standby, as no other one can go on; ends the call if there is none.
    pub(super) fn fall_back(&mut self, number: id::Call, reason: Reason) {
        if !self.restore_standby(number) {
            self.fail_call(number, reason);
        }
    }

    /// Makes the attempt on standby the current one; returns whether there is one.
    fn restore_standby(&mut self, number: id::Call) -> bool {
        let retry_at = self.now + MOVE_RETRY_INTERVAL;
        if !self.has_standby(number) {
            return false;
        }
        // What was prefilled for the replacement.
        self.free_kv(number);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return false;
        };
        let Some(standby) = call.standby.take() else {
            return false;
        };
        call.kv = standby.kv;
        call.reserved_decode = None;
        call.phase = Phase::Run {
            attempt: standby.attempt,
            runner: standby.runner,
            started_at: standby.started_at,
            attempt_deadline: call.can_retry_after_attempt().then_some(retry_at),
        };
        self.release_retries(number, None);
        true
    }

    /// Aborts the other attempt of a call, now that this one delivers.
    pub(super) fn keep_attempt(&mut self, number: id::Call, attempt: id::Attempt) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some(standby) = &call.standby else {
            return;
        };
        if standby.attempt == attempt {
            self.resume_standby(number);
        } else {
            self.drop_standby(number);
        }
    }

    /// Aborts the replacement of the attempt on standby, and goes on with that.
    pub(super) fn resume_standby(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if matches!(call.phase, Phase::Run { .. }) {
            call.execution_count += 1;
        }
        if let Some((attempt, runner)) = call.phase.attempt() {
            let entry = Entry::new(Kind::GivenUp)
                .request(&call.id)
                .runner(runner)
                .attempt(attempt)
                .outcome("overtaken");
            self.log(entry);
        }
        self.abort_attempt(number);
        self.restore_standby(number);
    }

    /// Aborts the attempt on standby, as its replacement delivers.
    fn drop_standby(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let Some(standby) = &call.standby else {
            return;
        };
        call.execution_count += 1;
        if call.progress.head_forwarded {
            self.state.counters.resumed += 1;
        }
        let entry = Entry::new(Kind::GivenUp)
            .request(&call.id)
            .runner(&standby.runner)
            .attempt(standby.attempt)
            .outcome("silent");
        self.log(entry);
        self.abort_standby(number);
    }

    /// Aborts the attempt on standby, if there is one.
    pub(super) fn abort_standby(&mut self, number: id::Call) {
        let call = self.state.calls.get_mut(&number);
        let Some(standby) = call.and_then(|call| call.standby.take()) else {
            return;
        };
        let attempt = standby.attempt;
        self.release_attempt(attempt);
        self.emit(Effect::AbortAttempt { attempt });
        self.emit_free(standby.kv);
    }

    /// Frees the KV cache of a call at its prefill runner, as no run of the call will fetch it.
    pub(super) fn free_kv(&mut self, number: id::Call) {
        let call = self.state.calls.get_mut(&number);
        let kv = call.and_then(|call| call.kv.take());
        self.emit_free(kv);
    }

    /// Records that the runner of a call has fetched its KV cache.
    pub(super) fn mark_kv_fetched(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.kv = None;
        }
    }

    fn emit_free(&mut self, kv: Option<KvCache>) {
        if let Some(kv) = kv {
            self.emit(Effect::FreeKv { kv });
        }
    }

    /// Whether an outcome of the attempt on standby is the caller's answer.
    pub(super) fn is_answer(&self, number: id::Call, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Ended => true,
            Outcome::Answered { status } => {
                let call = self.state.calls.get(&number);
                let has_head = call.is_some_and(|call| call.progress.head_forwarded);
                *status < FAILURE_STATUS && !has_head
            }
            _ => false,
        }
    }

    /// Goes on with the replacement alone, after the attempt on standby has failed.
    pub(super) fn handle_standby_failure(&mut self, ended: &EndedAttempt, outcome: &Outcome) {
        self.log_failure(ended, &format!("{outcome:?}"));
        let mut may_have_run = true;
        match outcome {
            Outcome::Declined(decline) => {
                self.record_decline(&ended.runner, *decline);
                may_have_run = false;
            }
            Outcome::Unwritten => {
                self.observe(&ended.runner, Observation::Broken);
                may_have_run = false;
            }
            Outcome::Answered { .. } => self.observe(&ended.runner, Observation::Failed),
            _ => self.observe(&ended.runner, Observation::Broken),
        }
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return;
        };
        call.execution_count += u32::from(may_have_run);
        let standby = call.standby.take();
        self.emit_free(standby.and_then(|standby| standby.kv));
    }
}
