//! Attempts as they end.

use std::sync::Arc;
use std::time::Duration;

use crate::breaker::Observation;
use crate::call::{Execution, Phase};
use crate::decision_log::{Entry, Kind};
use crate::event::{Decline, Effect, Ending, Kv, Outcome};
use crate::id;
use crate::pool::Report;
use crate::refusal::Reason;

use super::Reducer;

/// Status from which on an answer is a failure of the runner.
const FAILURE_STATUS: u16 = 500;
/// A runner's answer at the end of the time that it was given.
const TIMEOUT_STATUS: u16 = 504;

/// Share of an engine's memory up to which it is taken to have room for one more.
const ROOMY_SHARE: f64 = 0.75;
/// How long a prefill runner whose KV cache had lapsed is left alone.
const KV_REST: Duration = Duration::from_millis(1_500);

/// An attempt that has just ended.
struct Ended {
    number: id::Call,
    attempt: id::Attempt,
    runner: id::Runner,
    id: Arc<str>,
    prefill: bool,
    took: Duration,
}

impl Reducer<'_> {
    pub(super) fn attempt_ended(
        &mut self,
        attempt: id::Attempt,
        outcome: Outcome,
        reported: Option<Report>,
    ) {
        let Some(ended) = self.ended(attempt) else {
            return;
        };
        let ahead = self.prefill_tokens_at(&ended.runner);
        self.release(attempt);
        self.record_report(&ended.runner, reported);
        if !matches!(outcome, Outcome::Unwritten | Outcome::Lost) {
            if let Some(known) = self.state.pool.get_mut(&ended.runner) {
                known.last_seen_at = Some(self.now);
            }
        }
        match outcome {
            Outcome::Answered { status } => self.answered(&ended, status),
            Outcome::Prefilled { handle } => self.prefilled(&ended, handle, ahead),
            Outcome::Ended => self.stream_ended(&ended),
            failure => self.failed(&ended, &failure),
        }
    }

    fn ended(&self, attempt: id::Attempt) -> Option<Ended> {
        let number = *self.state.by_attempt.get(&attempt)?;
        let call = self.state.calls.get(&number)?;
        let (prefill, started_at, runner) = match &call.phase {
            Phase::Waiting { .. } => return None,
            Phase::Prefill {
                started_at, runner, ..
            } => (true, *started_at, runner),
            Phase::Run {
                started_at, runner, ..
            } => (false, *started_at, runner),
        };
        Some(Ended {
            number,
            attempt,
            runner: runner.clone(),
            id: call.id.clone(),
            prefill,
            took: self.now.saturating_sub(started_at),
        })
    }

    fn record_report(&mut self, runner: &id::Runner, reported: Option<Report>) {
        let now = self.now;
        if let (Some(reported), Some(known)) = (reported, self.state.pool.get_mut(runner)) {
            known.reported = Some((reported, now));
        }
    }

    /// Takes a runner's whole answer, or asks another one if it is a failure and may be repeated.
    fn answered(&mut self, ended: &Ended, status: u16) {
        let failed = status >= FAILURE_STATUS;
        self.observe(
            &ended.runner,
            if failed {
                Observation::Failed
            } else {
                Observation::Good
            },
        );
        if !failed {
            self.took(ended);
        }
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return;
        };
        call.execution = Execution::MayHaveRun;
        let repeat = failed && status != TIMEOUT_STATUS && call.can_retry_after_attempt();
        let time = call.remaining(self.now) > ended.took;
        if repeat && time && !call.disconnected {
            self.log_failure(ended, &format!("status {status}"));
            return self.after_possible_run(ended.number, &ended.runner, Reason::RunnersFailed);
        }
        self.state.counters.answered += 1;
        self.log(
            Entry::new(Kind::Answered)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .outcome(status)
                .age(ended.took),
        );
        self.emit(Effect::ForwardResponse { call: ended.number });
        let ending = if failed {
            Ending::Failed
        } else {
            Ending::Answered
        };
        self.measure(ended.number, ending);
        self.done(ended.number);
    }

    /// Prompt tokens that a runner has yet to read.
    fn prefill_tokens_at(&self, runner: &id::Runner) -> u64 {
        let runner = self.state.pool.get(runner);
        runner.map_or(0, |runner| runner.load().prefill_tokens)
    }

    fn prefilled(&mut self, ended: &Ended, handle: Arc<str>, ahead: u64) {
        self.observe(&ended.runner, Observation::Good);
        let tokens = self.prompt_tokens(ended.number);
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            // What is still to be read came later or shares its time; half of it is a fair part.
            let behind = ahead.saturating_sub(tokens) / 2;
            known.record_prefill(tokens + behind, ended.took);
        }
        let address = self
            .state
            .pool
            .get(&ended.runner)
            .map(|known| known.descriptor.address);
        let Some(address) = address else {
            return self.after_no_run(ended.number, &ended.runner);
        };
        let created_at = self.now;
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            call.kv = Some(Kv {
                runner: ended.runner.clone(),
                address,
                handle,
                created_at,
            });
            call.phase = Phase::Waiting {
                retry_at: created_at,
            };
        }
        self.advance(ended.number);
    }

    fn stream_ended(&mut self, ended: &Ended) {
        self.observe(&ended.runner, Observation::Good);
        self.state.counters.streams_ended += 1;
        self.log(
            Entry::new(Kind::StreamEnded)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .age(ended.took),
        );
        self.emit(Effect::EndStream { call: ended.number });
        self.measure(ended.number, Ending::StreamEnded);
        self.done(ended.number);
    }

    /// Ends a call whose attempt is out of the books already.
    fn done(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: self.now };
            call.kv = None;
        }
        self.end_call(number);
    }

    fn failed(&mut self, ended: &Ended, outcome: &Outcome) {
        self.log_failure(ended, &format!("{outcome:?}"));
        match outcome {
            Outcome::Unwritten => {
                self.observe(&ended.runner, Observation::Broken);
                self.not_sent(ended);
            }
            Outcome::Declined(decline) => self.declined(ended, *decline),
            Outcome::Lost | Outcome::Mismatched => {
                self.observe(&ended.runner, Observation::Broken);
                if ended.prefill {
                    self.after_no_run(ended.number, &ended.runner);
                } else {
                    self.after_possible_run(ended.number, &ended.runner, Reason::RunnersFailed);
                }
            }
            Outcome::Answered { .. } | Outcome::Prefilled { .. } | Outcome::Ended => {}
        }
    }

    /// A request that did not reach a runner costs nothing of the allowance.
    fn not_sent(&mut self, ended: &Ended) {
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            if ended.prefill {
                call.prefills = call.prefills.saturating_sub(1);
            } else {
                call.dispatch_count = call.dispatch_count.saturating_sub(1);
            }
        }
        self.after_no_run(ended.number, &ended.runner);
    }

    fn declined(&mut self, ended: &Ended, decline: Decline) {
        let now = self.now;
        if decline == Decline::Full && self.blame_kv(ended) {
            return self.after_no_run(ended.number, &ended.runner);
        }
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            match decline {
                Decline::Full => known.last_full_at = Some(now),
                Decline::Displaced => known.displaced = true,
            }
        }
        self.after_no_run(ended.number, &ended.runner);
    }

    /// Where a decode runner that should have room refuses a call with a KV cache, the cache is
    /// taken to have lapsed: the decode runner reads the prompt itself then, and the prefill runner
    /// is left alone for a while. Tells whether that is so.
    fn blame_kv(&mut self, ended: &Ended) -> bool {
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return false;
        };
        let engine = self.state.manifest.as_ref().and_then(|manifest| {
            let endpoint = manifest.endpoints.get(&call.endpoint)?;
            endpoint.engine
        });
        let used = self
            .state
            .pool
            .get(&ended.runner)
            .map(|known| known.load().tokens);
        let (Some(engine), Some(used), false) = (engine, used, ended.prefill) else {
            return false;
        };
        let roomy = (used as f64) < engine.kv_capacity_tokens as f64 * ROOMY_SHARE;
        let Some(kv) = call.kv.take().filter(|_| roomy) else {
            return false;
        };
        call.kv_unavailable = true;
        if let Some(known) = self.state.pool.get_mut(&kv.runner) {
            known.kv_cooldown_until = self.now + KV_REST;
            self.log(
                Entry::new(Kind::RunnerRests)
                    .runner(&kv.runner)
                    .outcome("kv caches lapse")
                    .age(KV_REST),
            );
        }
        true
    }

    fn log_failure(&mut self, ended: &Ended, outcome: &str) {
        self.log(
            Entry::new(Kind::AttemptFailed)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .outcome(outcome)
                .age(ended.took),
        );
    }

    fn took(&mut self, ended: &Ended) {
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            known.breaker.record_latency(ended.took);
        }
    }
}
