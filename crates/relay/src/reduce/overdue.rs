//! Calls whose time has come: waits that end, silent attempts, time limits.

use std::time::Duration;

use crate::breaker::Observation;
use crate::call::{Call, Phase};
use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::placement::Purpose;
use crate::pool::Runner;
use crate::refusal::Reason;

use super::Reducer;

/// Shortest silence after which a repeatable call is taken elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(90);
/// Silence in times of the usual answer, for the same.
const SILENCE_TIMES: f64 = 3.0;
/// Silence of a runner that reads a prompt, in times of the expected, after which it is given up.
const READING_SILENCE_TIMES: f64 = 2.0;
/// What is added to that.
const READING_SILENCE_MIN: Duration = Duration::from_millis(400);
/// Silence before the first event of a stream after which its runner is given up.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(800);
/// How long ago an engine may have been heard to count as alive.
const ALIVE: Duration = Duration::from_millis(400);
/// Pause of a call at a silent runner before it looks again for another one.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Sends of a model call that goes on elsewhere: one to read the prompt, one to generate.
const MODEL_SENDS: u32 = 2;
/// Share of the wanted pause between events after which a silent stream is given up.
const PAUSE_SHARE: f64 = 2.0;

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
            self.call_due(number);
        }
    }

    pub(super) fn call_due(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.deadline <= self.now {
            return self.give_final(number, Reason::TimedOut);
        }
        if call.phase.attempt().is_none() {
            return self.advance(number);
        }
        self.give_up_attempt(number);
    }

    /// Gives up a silent attempt and goes on elsewhere where that is allowed.
    pub(super) fn give_up_attempt(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some((attempt, runner)) = call.phase.attempt() else {
            return;
        };
        let runner = runner.clone();
        if call.prompt.is_some() && self.is_alive(&runner) {
            return self.be_patient(number, ALIVE);
        }
        let prefill = matches!(call.phase, Phase::Prefill { .. });
        let id = call.id.clone();
        self.observe_silence(&runner);
        // An answer may still come from a silent runner; none comes from nowhere.
        if !prefill && !self.can_move(number, &runner) {
            return self.be_patient(number, LOOK_INTERVAL);
        }
        self.log(
            Entry::new(Kind::GivenUp)
                .request(&id)
                .runner(&runner)
                .attempt(attempt)
                .outcome("silent"),
        );
        self.abandon(number);
        if prefill {
            self.after_no_run(number, &runner);
        } else {
            self.after_possible_run(number, &runner, Reason::RunnersFailed);
        }
    }

    /// Tells whether an engine was heard a short while ago: then it is busy, not dark.
    pub(super) fn is_alive(&self, runner: &id::Runner) -> bool {
        let last_seen_at = self
            .state
            .pool
            .get(runner)
            .and_then(|known| known.last_seen_at);
        last_seen_at.is_some_and(|at| at + ALIVE > self.now)
    }

    /// Counts a silence against a runner, once for each rest that follows.
    fn observe_silence(&mut self, runner: &id::Runner) {
        let known = self.state.pool.get(runner);
        if known.is_some_and(|known| !known.breaker.is_open(self.now)) {
            self.observe(runner, Observation::Silent);
        }
    }

    /// Tells whether a call can go on elsewhere at once; a decode runner with room is kept in mind.
    fn can_move(&mut self, number: id::Call, from: &id::Runner) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let (is_model, endpoint) = (call.prompt.is_some(), call.endpoint.clone());
        let dispatch_count = if is_model { MODEL_SENDS } else { 1 };
        if self.retries_left(&endpoint) < dispatch_count {
            return false;
        }
        let purpose = if is_model {
            Purpose::Decode
        } else {
            Purpose::Plain
        };
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

    /// Leaves an attempt more time.
    pub(super) fn be_patient(&mut self, number: id::Call, time: Duration) {
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
    let step = match &call.phase {
        Phase::Waiting { retry_at } => *retry_at <= now,
        Phase::Prefill {
            attempt_deadline, ..
        } => *attempt_deadline <= now,
        Phase::Run {
            attempt_deadline, ..
        } => attempt_deadline.is_some_and(|at| at <= now),
    };
    step || call.deadline <= now
}

/// Silence after which an attempt is taken elsewhere, if it may be. `reads` tells whether the
/// runner reads the prompt itself.
pub(super) fn silence(call: &Call, runner: &Runner, reads: bool) -> Option<Duration> {
    if !call.can_retry_after_attempt() {
        return None;
    }
    if let Some(prompt) = call.prompt {
        let prefill_tokens = if reads { prompt.tokens } else { 0 };
        let reading =
            runner.prefill_time_while_decoding(runner.load().prefill_tokens + prefill_tokens);
        return Some(FIRST_EVENT_SILENCE + reading_silence(reading));
    }
    let usual = runner
        .breaker
        .latency()
        .unwrap_or(call.route.target_latency / 4);
    Some(usual.mul_f64(SILENCE_TIMES).max(SILENCE_MIN))
}

/// Silence of a runner that is expected to read for so long after which it is given up.
pub(super) fn reading_silence(expected: Duration) -> Duration {
    expected.mul_f64(READING_SILENCE_TIMES) + READING_SILENCE_MIN
}

/// Silence between two events after which a stream is taken elsewhere.
pub(super) fn pause(call: &Call) -> Duration {
    call.route.target_event_gap.mul_f64(PAUSE_SHARE)
}
