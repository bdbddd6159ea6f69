//! Timeouts: calls that wait, attempts at unresponsive runners, and deadlines.

use std::time::Duration;

use crate::breaker::Observation;
use crate::call::{Call, Phase};
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::id;
use crate::placement::Purpose;
use crate::pool::Runner;
use crate::refusal::Reason;

use super::dispatch::ARRIVALS_MAX;
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
/// Time without the first event after which another runner is prepared for a stream, on top of the timeout
/// of the prefills still to be done at its runner.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(800);
/// An engine counts as alive for this long after anything was received from it.
const LIVENESS_WINDOW: Duration = Duration::from_millis(400);
/// Interval at which a call at an unresponsive runner looks for another one.
pub(super) const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two events after which another runner is prepared, as a fraction of the time that
/// callers wait for an event; the rest is for the prefill and the first event there.
const EVENT_TIMEOUT_FRACTION: f64 = 0.5;
/// A tick that is this much later than the one before shows that the process did not run.
const TICK_GAP_MAX: Duration = Duration::from_millis(200);

impl Reducer<'_> {
    /// Postpones the deadlines of attempts by the time in which this process did not run: what their runners
    /// sent meanwhile has not been read.
    pub(super) fn discount_stall(&mut self) {
        let now = self.now;
        let Some(last) = self.state.last_tick_at.replace(now) else {
            return;
        };
        if now.saturating_sub(last) <= TICK_GAP_MAX {
            return;
        }
        // The next gap counts in any case, or a process that is always slow would never find a runner silent.
        self.state.last_tick_at = None;
        for call in self.state.calls.values_mut() {
            postpone_deadline(call, last, now);
        }
    }

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
        match call.phase {
            Phase::Admission { .. } => self.time_out_ask(number),
            Phase::Waiting { .. } => self.advance(number),
            Phase::Prefill { .. } | Phase::Run { .. } => self.time_out_attempt(number),
        }
    }

    /// Handles an attempt whose runner is silent: the call goes on at another runner if one can take
    /// it, and stays otherwise, since the runner may still respond.
    pub(super) fn time_out_attempt(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((_, runner)) = call.phase.attempt() else {
            return;
        };
        let runner = runner.clone();
        if self.is_delegated(number) {
            return self.clear_deadline(number);
        }
        let is_prefill = matches!(call.phase, Phase::Prefill { .. });
        let is_model = call.prompt.is_some();
        let has_standby = call.standby.is_some();
        let can_replace = call.can_retry_after_attempt();
        if (is_model || !can_replace) && self.is_alive(&runner) {
            return self.extend_deadline(number, LIVENESS_WINDOW);
        }
        self.record_timeout(&runner);
        if !is_prefill && !can_replace {
            return self.clear_deadline(number);
        }
        if self.can_delegate(number) && self.may_start_another(number) {
            self.give_up_silent(number);
            return if is_prefill {
                self.continue_after_no_run(number, &runner)
            } else {
                self.continue_after_possible_run(number, &runner, Reason::RunnersFailed)
            };
        }
        let can_move = if is_prefill {
            self.can_move_prefill(number, &runner)
        } else {
            self.can_move(number, &runner)
        };
        match (can_move, is_prefill, is_model) {
            (false, _, _) => self.extend_deadline(number, MOVE_RETRY_INTERVAL),
            (true, true, _) => {
                self.give_up_silent(number);
                self.continue_after_no_run(number, &runner);
            }
            (true, false, true) if !has_standby => self.replace_silent_run(number),
            // The call has one standby at most: its first run.
            (true, false, _) => {
                self.give_up_silent(number);
                self.continue_after_possible_run(number, &runner, Reason::RunnersFailed);
            }
        }
    }

    /// Aborts the attempt at a silent runner.
    fn give_up_silent(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, runner)) = call.phase.attempt() else {
            return;
        };
        let entry = Entry::new(Kind::GivenUp)
            .request(&call.id)
            .runner(runner)
            .attempt(attempt)
            .outcome("silent");
        self.log(entry);
        self.abort_attempt(number);
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

    /// Whether another attempt may follow the one in flight: there is a retry and an arrival left for
    /// it, and time before this process exits.
    fn may_start_another(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let has_arrivals = call.arrivals.counted() + 1 < ARRIVALS_MAX;
        has_arrivals && self.may_start_attempt(call) && self.can_retry_elsewhere(number)
    }

    /// Whether a prefill can move to another runner now, and the run after it has its capacity: that
    /// reserved for it, or other capacity if its decode runner can't be used any more. It moves to its decode
    /// runner only if no prefill runner is about to accept it.
    fn can_move_prefill(&mut self, number: id::Call, from: &id::Runner) -> bool {
        let call = self.state.calls.get(&number);
        let reserved = call.and_then(|call| call.reserved_decode.as_ref());
        let decode = reserved.and_then(|name| self.find_usable(name, Purpose::Decode));
        match decode {
            Some(decode) => {
                !self.awaits_prefill_runner(number, &decode) && self.may_start_another(number)
            }
            None => self.can_move(number, from),
        }
    }

    /// Whether a call can move to another runner now; reserves the decode runner for a model call.
    fn can_move(&mut self, number: id::Call, from: &id::Runner) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let is_model = call.prompt.is_some();
        if !self.may_start_another(number) {
            return false;
        }
        if !self.has_room_elsewhere(number, Some(from)) {
            return false;
        }
        if is_model && self.pick_prefill(number).is_none() {
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
            Phase::Admission { .. } | Phase::Waiting { .. } => {}
            Phase::Prefill {
                attempt_deadline, ..
            } => *attempt_deadline = later,
            Phase::Run {
                attempt_deadline, ..
            } => *attempt_deadline = Some(later),
        }
    }

    /// Lets an attempt run until the deadline of its call.
    fn clear_deadline(&mut self, number: id::Call) {
        let call = self.state.calls.get_mut(&number);
        if let Some(Phase::Run {
            attempt_deadline, ..
        }) = call.map(|call| &mut call.phase)
        {
            *attempt_deadline = None;
        }
    }
}

/// Postpones the deadline of a call's attempt by the time since `last_tick_at`, or since the deadline was set if
/// that was later.
fn postpone_deadline(call: &mut Call, last_tick_at: Duration, now: Duration) {
    let silent_since = last_tick_at.max(call.progress.last_event_at);
    match &mut call.phase {
        Phase::Admission { .. } | Phase::Waiting { .. } => {}
        Phase::Prefill {
            started_at,
            attempt_deadline,
            ..
        } => *attempt_deadline += now.saturating_sub(silent_since.max(*started_at)),
        Phase::Run {
            started_at,
            attempt_deadline,
            ..
        } => {
            let time = now.saturating_sub(silent_since.max(*started_at));
            *attempt_deadline = attempt_deadline.map(|at| at + time);
        }
    }
}

pub(super) fn is_due(call: &Call, now: Duration) -> bool {
    let is_phase_due = match &call.phase {
        Phase::Admission { until } => *until <= now,
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

/// Time without a response after which the runner of an attempt counts as silent. `needs_prefill` is
/// whether the runner prefills the prompt itself.
pub(super) fn response_timeout(call: &Call, runner: &Runner, needs_prefill: bool) -> Duration {
    if let Some(prompt) = call.prompt {
        let prefill_tokens = if needs_prefill { prompt.tokens } else { 0 };
        let expected = runner.prefill_time_while_decoding(
            runner.load().prefill_tokens.saturating_add(prefill_tokens),
        );
        return FIRST_EVENT_TIMEOUT + prefill_timeout(expected);
    }
    let latency = runner
        .breaker
        .latency()
        .unwrap_or(call.route.target_latency / 4);
    let timeout = latency
        .scale(RESPONSE_TIMEOUT_FACTOR)
        .max(RESPONSE_TIMEOUT_MIN);
    // Without a retry there is no hurry, and the response may be slow rather than missing.
    if call.can_retry_after_attempt() {
        timeout
    } else {
        timeout.max(call.route.target_latency)
    }
}

/// Timeout of a prefill that is expected to take this long.
pub(super) fn prefill_timeout(expected: Duration) -> Duration {
    expected.scale(PREFILL_TIMEOUT_FACTOR) + PREFILL_TIMEOUT_MARGIN
}

/// Time between two events after which another runner is prepared for a stream. The stream is late
/// already; a move serves only to keep its caller from leaving.
pub(super) fn event_timeout(call: &Call) -> Duration {
    call.route.event_patience.scale(EVENT_TIMEOUT_FRACTION)
}
