//! Outcomes of attempts.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use crate::breaker::Observation;
use crate::call::{Execution, Phase};
use crate::decision_log::{Entry, Kind};
use crate::event::{Decline, Effect, Ending, KvCache, Outcome};
use crate::id;
use crate::pool::Report;
use crate::refusal::Reason;
use crate::state::InFlight;

use super::retry::arrival_of;
use super::Reducer;

/// Lowest HTTP status that is a failure of the runner.
pub(super) const FAILURE_STATUS: u16 = 500;
/// HTTP statuses with which a runner reports that it has executed the request.
const SUCCESS_STATUSES: Range<u16> = 200..300;
/// Statuses under [`FAILURE_STATUS`] which say that nothing was run.
const NOT_RUN_STATUSES: [u16; 3] = [408, 421, 429];
/// HTTP status with which a runner reports that its time limit has passed.
const TIMEOUT_STATUS: u16 = 504;

/// Fraction of an engine's KV memory in use below which it should have capacity for one more
/// request.
const SPARE_MEMORY_FRACTION: f64 = 0.75;
/// How long a prefill runner gets no prefills after its KV cache has expired too soon.
const KV_COOLDOWN: Duration = Duration::from_millis(1_500);

/// An attempt that has just ended.
pub(super) struct EndedAttempt {
    pub(super) number: id::Call,
    pub(super) attempt: id::Attempt,
    pub(super) runner: id::Runner,
    pub(super) in_flight: InFlight,
    pub(super) id: Arc<str>,
    is_prefill: bool,
    is_standby: bool,
    pub(super) took: Duration,
}

impl Reducer<'_> {
    pub(super) fn handle_attempt_end(
        &mut self,
        attempt: id::Attempt,
        outcome: Outcome,
        reported: Option<Report>,
    ) {
        let Some(ended) = self.find_ended_attempt(attempt) else {
            return;
        };
        let is_answer = self.is_answer(ended.number, &outcome);
        if ended.is_standby && is_answer {
            self.resume_standby(ended.number);
        }
        if outcome == Outcome::Lost {
            self.record_loss(&ended);
        }
        let queued_tokens = self.prefill_tokens_at(&ended.runner);
        // An attempt on standby is counted already.
        if !ended.is_standby {
            self.settle_attempt(ended.number, arrival_of(&outcome));
        }
        self.release_attempt(attempt);
        self.record_report(&ended.runner, reported);
        self.record_sight(&ended, &outcome, reported);
        if !matches!(outcome, Outcome::Unwritten | Outcome::Lost) {
            if let Some(known) = self.state.pool.get_mut(&ended.runner) {
                known.last_seen_at = Some(self.now);
                if outcome == Outcome::Declined(Decline::Full) {
                    known.breaker.end_silence();
                }
            }
        }
        self.record_delegated(&ended, &outcome);
        if ended.is_standby && !is_answer {
            return self.handle_standby_failure(&ended, &outcome);
        }
        match outcome {
            Outcome::Answered { status } => self.handle_answer(&ended, status, reported),
            Outcome::Prefilled { handle } => self.handle_prefill(&ended, handle, queued_tokens),
            Outcome::Ended => self.handle_stream_end(&ended),
            failure => self.handle_failure(&ended, &failure),
        }
    }

    /// Records what the end of an attempt at another VM shows of what that VM reaches.
    fn record_delegated(&mut self, ended: &EndedAttempt, outcome: &Outcome) {
        if !ended.in_flight.is_delegated {
            return;
        }
        let decline = match outcome {
            Outcome::Answered { .. } | Outcome::Ended => None,
            Outcome::Declined(decline) => Some(*decline),
            _ => return,
        };
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return;
        };
        call.delegates_out_of_reach += u32::from(decline == Some(Decline::OutOfReach));
        let endpoint = call.endpoint.clone();
        self.record_delegate(&ended.runner, &endpoint, decline);
    }

    fn find_ended_attempt(&self, attempt: id::Attempt) -> Option<EndedAttempt> {
        let number = *self.state.by_attempt.get(&attempt)?;
        let call = self.state.calls.get(&number)?;
        let standby = call.standby.as_ref();
        let standby = standby.filter(|standby| standby.attempt == attempt);
        let (is_prefill, started_at, runner) = match (standby, &call.phase) {
            (Some(standby), _) => (false, standby.started_at, &standby.runner),
            (None, Phase::Admission { .. } | Phase::Waiting { .. }) => return None,
            (
                None,
                Phase::Prefill {
                    started_at, runner, ..
                },
            ) => (true, *started_at, runner),
            (
                None,
                Phase::Run {
                    started_at, runner, ..
                },
            ) => (false, *started_at, runner),
        };
        let in_flight = self.state.in_flight.get(&attempt)?;
        Some(EndedAttempt {
            number,
            attempt,
            runner: runner.clone(),
            in_flight: in_flight.clone(),
            id: call.id.clone(),
            is_prefill,
            is_standby: standby.is_some(),
            took: self.now.saturating_sub(started_at),
        })
    }

    fn record_report(&mut self, runner: &id::Runner, reported: Option<Report>) {
        let now = self.now;
        if let (Some(reported), Some(known)) = (reported, self.state.pool.get_mut(runner)) {
            known.reported = Some((reported, now));
        }
        self.record_slowdown(runner, reported);
    }

    /// Forwards a complete response, or retries if it is a failure, the request is retryable, the
    /// budget allows it and there is time for another attempt as long as this one.
    fn handle_answer(&mut self, ended: &EndedAttempt, status: u16, reported: Option<Report>) {
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
            self.record_latency(ended);
            self.record_plain_time(ended, reported);
        }
        // Another status may be given without a look at what the request asks for.
        if SUCCESS_STATUSES.contains(&status) {
            self.clear_features(ended.number);
        } else if !failed && !NOT_RUN_STATUSES.contains(&status) {
            self.clear_request(ended.number);
        }
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            call.execution = Execution::MayHaveRun;
        }
        if self.must_continue_after(ended, status) {
            self.log_failure(ended, &format!("status {status}"));
            return self.continue_after_possible_run(
                ended.number,
                &ended.runner,
                Reason::RunnersFailed,
            );
        }
        self.forward_answer(ended, status);
    }

    /// Whether a call goes on at another runner, or ends, instead of its response being forwarded.
    fn must_continue_after(&mut self, ended: &EndedAttempt, status: u16) -> bool {
        let Some(call) = self.state.calls.get(&ended.number) else {
            return false;
        };
        // A stream that has started can only be continued by another attempt.
        if call.progress.head_forwarded {
            return true;
        }
        if status >= FAILURE_STATUS && call.standby.is_some() {
            return true;
        }
        let is_retryable = status >= FAILURE_STATUS
            && status != TIMEOUT_STATUS
            && call.can_retry_after_attempt()
            && !call.disconnected;
        if !is_retryable || call.remaining(self.now) <= ended.took {
            return false;
        }
        if !self.has_room_elsewhere(ended.number, Some(&ended.runner)) {
            return false;
        }
        let is_allowed = self.can_retry_elsewhere(ended.number);
        if !is_allowed {
            self.record_denied_retry(ended.number);
        }
        is_allowed
    }

    fn forward_answer(&mut self, ended: &EndedAttempt, status: u16) {
        self.state.counters.answered += 1;
        self.log(
            Entry::new(Kind::Answered)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .outcome(status)
                .age(ended.took),
        );
        if SUCCESS_STATUSES.contains(&status) {
            self.mark_kv_fetched(ended.number);
        }
        self.emit(Effect::ForwardResponse { call: ended.number });
        let ending = if status >= FAILURE_STATUS {
            Ending::Failed
        } else {
            Ending::Answered
        };
        self.record_duration(ended.number, ending);
        self.finish_call(ended.number);
    }

    /// Tokens that a runner still has to prefill.
    fn prefill_tokens_at(&self, runner: &id::Runner) -> u64 {
        let runner = self.state.pool.get(runner);
        runner.map_or(0, |runner| runner.load().prefill_tokens)
    }

    fn handle_prefill(&mut self, ended: &EndedAttempt, handle: Arc<str>, queued_tokens: u64) {
        self.observe(&ended.runner, Observation::Good);
        let tokens = self.prompt_tokens(ended.number);
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            // Other tokens still queued arrived later or shared the runner's time; half of them are
            // counted as prefilled in this time.
            let shared = queued_tokens.saturating_sub(tokens) / 2;
            known.record_prefill(tokens.saturating_add(shared), ended.took);
        }
        self.record_prefill_time(ended, tokens);
        let address = self
            .state
            .pool
            .get(&ended.runner)
            .map(|known| known.descriptor.address);
        let (Some(address), Some(build)) = (address, ended.in_flight.build.clone()) else {
            return self.continue_after_no_run(ended.number, &ended.runner);
        };
        let created_at = self.now;
        if let Some(call) = self.state.calls.get_mut(&ended.number) {
            call.kv = Some(KvCache {
                runner: ended.runner.clone(),
                build,
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

    fn handle_stream_end(&mut self, ended: &EndedAttempt) {
        self.observe(&ended.runner, Observation::Good);
        self.clear_features(ended.number);
        self.state.counters.streams_ended += 1;
        if let Some(call) = self.state.calls.get(&ended.number) {
            let took = self.now.saturating_sub(call.arrived_at);
            self.record_stream_time(took);
        }
        self.log(
            Entry::new(Kind::StreamEnded)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .age(ended.took),
        );
        self.mark_kv_fetched(ended.number);
        self.emit(Effect::EndStream { call: ended.number });
        self.record_duration(ended.number, Ending::StreamEnded);
        self.finish_call(ended.number);
    }

    /// Ends a call whose attempt has been released already.
    fn finish_call(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: self.now };
        }
        self.end_call(number);
    }

    fn handle_failure(&mut self, ended: &EndedAttempt, outcome: &Outcome) {
        self.log_failure(ended, &format!("{outcome:?}"));
        match outcome {
            Outcome::Unwritten => {
                self.observe(&ended.runner, Observation::Broken);
                self.record_unreached_by(ended);
                self.record_unreached(&ended.in_flight.instance);
                self.continue_after_no_run(ended.number, &ended.runner);
            }
            Outcome::Declined(decline) => self.handle_decline(ended, *decline),
            Outcome::Lost | Outcome::Mismatched => {
                self.observe(&ended.runner, Observation::Broken);
                if ended.is_prefill {
                    self.continue_after_no_run(ended.number, &ended.runner);
                } else {
                    self.continue_after_possible_run(
                        ended.number,
                        &ended.runner,
                        Reason::RunnersFailed,
                    );
                }
            }
            Outcome::Answered { .. } | Outcome::Prefilled { .. } | Outcome::Ended => {}
        }
    }

    /// Records that a call did not reach its runner, and looks whether this VM reaches any.
    fn record_unreached_by(&mut self, ended: &EndedAttempt) {
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return;
        };
        if ended.in_flight.is_delegated {
            return;
        }
        call.unreached.push(ended.runner.clone());
        let endpoint = call.endpoint.clone();
        self.verify_reach(&endpoint);
    }

    fn handle_decline(&mut self, ended: &EndedAttempt, decline: Decline) {
        if decline == Decline::Full && self.detect_expired_kv(ended) {
            return self.continue_after_no_run(ended.number, &ended.runner);
        }
        self.record_decline(&ended.runner, decline);
        if decline == Decline::Displaced {
            self.record_displaced(&ended.in_flight.instance);
        }
        if decline == Decline::OverCap {
            return self.refuse_delegated(ended.number);
        }
        self.continue_after_no_run(ended.number, &ended.runner);
    }

    /// Refuses a call that another VM was to run and refused for its organisation's cap.
    fn refuse_delegated(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: self.now };
        }
        self.fall_back(number, Reason::OverCap);
    }

    pub(super) fn record_decline(&mut self, runner: &id::Runner, decline: Decline) {
        let now = self.now;
        if let Some(known) = self.state.pool.get_mut(runner) {
            match decline {
                Decline::Full => known.last_full_at = Some(now),
                Decline::Displaced => known.displaced = true,
                Decline::Refused | Decline::OutOfReach | Decline::Leaving | Decline::OverCap => {}
            }
        }
    }

    /// If a decode runner that should have capacity declines a call with a KV cache, the cache is
    /// assumed to have expired: the decode runner is then to prefill the prompt itself, and the
    /// prefill runner gets no prefills for a while. Returns whether this is the case.
    fn detect_expired_kv(&mut self, ended: &EndedAttempt) -> bool {
        let Some(call) = self.state.calls.get_mut(&ended.number) else {
            return false;
        };
        let engine = self.state.manifest.as_ref().and_then(|manifest| {
            let endpoint = manifest.endpoints.get(&call.endpoint)?;
            endpoint.engine
        });
        let allocated = self.state.allocator.load_at(&ended.runner).tokens;
        let used = self
            .state
            .pool
            .get(&ended.runner)
            .map(|known| known.load().tokens.max(allocated));
        let (Some(engine), Some(used), false) = (engine, used, ended.is_prefill) else {
            return false;
        };
        let has_capacity = (used as f64) < engine.kv_capacity_tokens as f64 * SPARE_MEMORY_FRACTION;
        if !has_capacity {
            return false;
        }
        let Some(kv) = call.kv.take() else {
            return false;
        };
        call.kv_unavailable = true;
        if let Some(known) = self.state.pool.get_mut(&kv.runner) {
            known.kv_cooldown_until = self.now + KV_COOLDOWN;
            self.log(
                Entry::new(Kind::RunnerRests)
                    .runner(&kv.runner)
                    .outcome("kv caches lapse")
                    .age(KV_COOLDOWN),
            );
        }
        true
    }

    pub(super) fn log_failure(&mut self, ended: &EndedAttempt, outcome: &str) {
        self.log(
            Entry::new(Kind::AttemptFailed)
                .request(&ended.id)
                .runner(&ended.runner)
                .attempt(ended.attempt)
                .outcome(outcome)
                .age(ended.took),
        );
    }

    fn record_latency(&mut self, ended: &EndedAttempt) {
        if let Some(known) = self.state.pool.get_mut(&ended.runner) {
            known.breaker.record_latency(ended.took);
        }
    }
}
