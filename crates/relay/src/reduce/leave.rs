//! Graceful shutdown: no new callers, and requests in progress are completed.

use std::time::Duration;

use crate::call::Call;
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::Effect;
use crate::id;
use crate::manifest::Kind as RouteKind;
use crate::refusal::Reason;

use super::Reducer;

/// Callers cache a response of the directory for this many times its TTL.
const DIRECTORY_TTL_FACTOR: u32 = 3;
/// Time for requests still arriving after the last cached response has expired.
const LATE_ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// How long before it would be killed the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(900);

/// How long after the signal calls arrive that are accepted if they are only expected to end in time. Callers that come
/// later have been told to go elsewhere.
const ARRIVAL_TIME: Duration = Duration::from_millis(2_500);

/// Weight of a stream that took less time than expected in the expected time of the next.
const SHORTER_STREAM_WEIGHT: f64 = 0.02;

impl Reducer<'_> {
    pub(super) fn start_leaving(&mut self, noticed_after: Duration) {
        if self.state.leaving_since.is_some() {
            return;
        }
        self.state.leaving_since = Some(self.now);
        self.state.leave_asked_at = Some(self.now.saturating_sub(noticed_after));
        self.hand_over_origins();
        let calls = self.state.calls.len();
        self.log(Entry::new(Kind::Leaving).outcome(format!("{calls} calls under way")));
    }

    pub(super) fn tick_leave(&mut self) {
        let (Some(started_at), Some(exit_at)) = (self.state.leaving_since, self.exit_at()) else {
            return;
        };
        let directory_ttl = self.state.settings.directory_ttl;
        let directory_expiry = directory_ttl * DIRECTORY_TTL_FACTOR + LATE_ARRIVAL_TIME;
        let elapsed = self.now.saturating_sub(started_at);
        let is_idle = self.state.calls.is_empty() && elapsed >= directory_expiry;
        if !is_idle && self.now < exit_at {
            return;
        }
        self.state.exited = true;
        let calls = self.state.calls.len();
        let numbers: Vec<id::Call> = self.state.calls.keys().copied().collect();
        for number in numbers {
            self.fail_call(number, Reason::Leaving);
        }
        self.log(
            Entry::new(Kind::Left)
                .outcome(format!("{calls} calls under way"))
                .age(elapsed),
        );
        self.emit(Effect::Exit);
    }

    /// When this process exits at the latest, if it is shutting down.
    fn exit_at(&self) -> Option<Duration> {
        Some(self.state.leaving_since? + self.leave_time())
    }

    /// How long after it was asked to shut down this process exits at the latest.
    fn leave_time(&self) -> Duration {
        let grace_period = self.state.settings.grace_period;
        grace_period.saturating_sub(EXIT_MARGIN)
    }

    /// Whether a call that starts its next attempt now is expected to end before this process exits; for a call that
    /// arrives late, whether it ends by then at the latest. A process that noticed late that it was asked to leave may be
    /// killed before it exits by itself, so this counts from the earliest time at which it may have been asked.
    pub(super) fn can_end_before_exit(&self, call: &Call) -> bool {
        let Some(asked_at) = self.state.leave_asked_at else {
            return true;
        };
        let exit_at = asked_at + self.leave_time();
        if call.arrived_at > asked_at + ARRIVAL_TIME {
            return call.deadline <= exit_at && !self.state.exited;
        }
        let expected = match call.route.kind {
            RouteKind::Streaming => self.state.stream_time,
            RouteKind::Idempotent | RouteKind::NonIdempotent => Some(call.route.target_latency),
        };
        let can_end = expected.is_some_and(|expected| self.now + expected <= exit_at);
        can_end && !self.state.exited
    }

    /// Records how long a complete stream took, from its request to its end.
    pub(super) fn record_stream_time(&mut self, took: Duration) {
        let expected = self.state.stream_time.unwrap_or(took);
        let shorter = expected.saturating_sub(took).scale(SHORTER_STREAM_WEIGHT);
        self.state.stream_time = Some(took.max(expected - shorter));
    }
}
