//! Timeouts: calls that wait, attempts at unresponsive runners, and deadlines.

use std::time::Duration;

use crate::breaker::Observation;
use crate::call::{Call, Phase};
use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::placement::Purpose;
use crate::pool::Runner;
use crate::refusal::Reason;

use super::Reducer;

/// Shortest time without a response after which a retryable plain call moves to another runner.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(90);
/// Time without a response after which it moves, as a multiple of the runner's average latency.
const RESPONSE_TIMEOUT_FACTOR: f64 = 3.0;
/// Time without a response after which a prefill is cancelled, as a multiple of its expected
/// duration.
const PREFILL_TIMEOUT_FACTOR: f64 = 2.0;
/// Time added to that.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Time without the first event after which a stream's attempt is cancelled, on top of the timeout
/// of the prefills still to be done at its runner.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(800);
/// An engine counts as alive for this long after anything was received from it.
const LIVENESS_WINDOW: Duration = Duration::from_millis(400);
/// Interval at which a call at an unresponsive runner looks for another one.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two events after which a stream's attempt is cancelled, as a multiple of the target
/// gap.
const EVENT_TIMEOUT_FACTOR: f64 = 2.0;

impl Reducer<'_> {
    pub(super) fn tick_calls(&mut self) {
        let due: Vec<id::Call> = self
            .state
            .calls
            .iter()
            .filter(|(_, call)| is_due(call, self.now))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.handle_due_call(number);
        }
    }

    pub(super) fn handle_due_call(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.deadline <= self.now {
            return self.fail_call(number, Reason::TimedOut);
        }
        if call.phase.attempt().is_none() {
            return self.advance(number);
        }
        self.time_out_attempt(number);
    }

    /// Cancels an attempt that timed out and continues at another runner, if that is allowed.
    pub(super) fn time_out_attempt(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, runner)) = call.phase.attempt() else {
            return;
        };
        let runner = runner.clone();
        if call.prompt.is_some() && self.is_alive(&runner) {
            return self.extend_deadline(number, LIVENESS_WINDOW);
        }
        let prefill = matches!(call.phase, Phase::Prefill { .. });
        let id = call.id.clone();
        self.record_timeout(&runner);
        // An unresponsive runner may still respond, so it is kept until another one can take the
        // call.
        if !prefill && !self.can_move(number, &runner) {
            return self.extend_deadline(number, MOVE_RETRY_INTERVAL);
        }
        self.log(
            Entry::new(Kind::GivenUp)
                .request(&id)
                .runner(&runner)
                .attempt(attempt)
                .outcome("silent"),
        );
        self.abort_attempt(number);
        if prefill {
            self.continue_after_no_run(number, &runner);
        } else {
            self.continue_after_possible_run(number, &runner, Reason::RunnersFailed);
        }
    }

    /// Whether an engine was seen recently; then it is busy rather than unresponsive.
    pub(super) fn is_alive(&self, runner: &id::Runner) -> bool {
        let last_seen_at = self
            .state
            .pool
            .get(runner)
            .and_then(|known| known.last_seen_at);
        last_seen_at.is_some_and(|at| at + LIVENESS_WINDOW > self.now)
    }

    /// Records a timeout at a runner, unless its breaker is open already, so that calls that time
    /// out together count as one.
    fn record_timeout(&mut self, runner: &id::Runner) {
        let known = self.state.pool.get(runner);
        if known.is_some_and(|known| !known.breaker.is_open(self.now)) {
            self.observe(runner, Observation::Silent);
        }
    }

    /// Whether a call can move to another runner now; reserves the decode runner for a model call.
    fn can_move(&mut self, number: id::Call, from: &id::Runner) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let is_model = call.prompt.is_some();
        if !self.can_retry_elsewhere(number) {
            return false;
        }
        let purpose = if is_model {
            Purpose::Decode
        } else {
            Purpose::Plain
        };
        if is_model && self.state.policy.allocators {
            return self.is_granted_elsewhere(number, from);
        }
        if is_model && !self.may_claim_capacity(number) {
            return false;
        }
        let next = self
            .pick(number, purpose)
            .map(|runner| runner.descriptor.runner);
        let elsewhere = next.filter(|runner| runner != from);
        let found = elsewhere.is_some();
        if let Some(call) = self.state.calls.get_mut(&number).filter(|_| is_model) {
            call.reserved_decode = elsewhere;
        }
        found
    }

    /// Postpones the deadline of an attempt.
    pub(super) fn extend_deadline(&mut self, number: id::Call, time: Duration) {
        let later = self.now + time;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        match &mut call.phase {
            Phase::Waiting { .. } => {}
            Phase::Prefill {
                attempt_deadline, ..
            } => *attempt_deadline = later,
            Phase::Run {
                attempt_deadline, ..
            } => *attempt_deadline = Some(later),
        }
    }
}

pub(super) fn is_due(call: &Call, now: Duration) -> bool {
    let is_phase_due = match &call.phase {
        Phase::Waiting { retry_at } => *retry_at <= now,
        Phase::Prefill {
            attempt_deadline, ..
        } => *attempt_deadline <= now,
        Phase::Run {
            attempt_deadline, ..
        } => attempt_deadline.is_some_and(|at| at <= now),
    };
    is_phase_due || call.deadline <= now
}

/// Time without a response after which an attempt moves to another runner; none if it must not.
/// `needs_prefill` is whether the runner prefills the prompt itself.
pub(super) fn response_timeout(
    call: &Call,
    runner: &Runner,
    needs_prefill: bool,
) -> Option<Duration> {
    if !call.can_retry_after_attempt() {
        return None;
    }
    if let Some(prompt) = call.prompt {
        let prefill_tokens = if needs_prefill { prompt.tokens } else { 0 };
        let expected =
            runner.prefill_time_while_decoding(runner.load().prefill_tokens + prefill_tokens);
        return Some(FIRST_EVENT_TIMEOUT + prefill_timeout(expected));
    }
    let latency = runner
        .breaker
        .latency()
        .unwrap_or(call.route.target_latency / 4);
    Some(
        latency
            .mul_f64(RESPONSE_TIMEOUT_FACTOR)
            .max(RESPONSE_TIMEOUT_MIN),
    )
}

/// Timeout of a prefill that is expected to take this long.
pub(super) fn prefill_timeout(expected: Duration) -> Duration {
    expected.mul_f64(PREFILL_TIMEOUT_FACTOR) + PREFILL_TIMEOUT_MARGIN
}

/// Time between two events after which a stream moves to another runner.
pub(super) fn event_timeout(call: &Call) -> Duration {
    call.route.target_event_gap.mul_f64(EVENT_TIMEOUT_FACTOR)
}
