//! Graceful shutdown: no new callers, and requests in progress are completed.
//!
//! Attempts start only if they are expected to end [`EXIT_MARGIN`] before the grace period does. Those that have started and
//! take longer, or whose responses arrive late since this process or a link lags behind, have until [`CUT_MARGIN`] before its
//! end.

use std::time::Duration;

use crate::call::{Call, Phase};
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::Effect;
use crate::id;
use crate::leave::Leave;
use crate::manifest::Kind as RouteKind;
use crate::refusal::Reason;

use super::Reducer;

/// Callers cache a response of the directory for this many times its TTL.
const DIRECTORY_TTL_FACTOR: u32 = 3;
/// Time for requests still arriving after the last cached response has expired.
const LATE_ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// How long before the end of the grace period the work ends that is accepted; what waits then is refused.
const EXIT_MARGIN: Duration = Duration::from_millis(900);
/// How long before the end of the grace period responses in progress are cut. The rest is for what clients have still to
/// receive, and for the exit.
const CUT_MARGIN: Duration = Duration::from_millis(500);

/// How long after the signal calls arrive that are accepted if they are only expected to end in time. Callers that come
/// later have been told to go elsewhere.
const ARRIVAL_TIME: Duration = Duration::from_millis(2_500);

/// Weight of a stream that took less time than expected in the expected time of the next.
const SHORTER_STREAM_WEIGHT: f64 = 0.02;

/// Whether a runner may still complete the response, with no further attempt.
fn has_response_in_progress(call: &Call) -> bool {
    matches!(call.phase, Phase::Run { .. }) || call.standby.is_some()
}

impl Reducer<'_> {
    pub(super) fn start_leaving(&mut self, noticed_after: Duration) {
        if self.state.leave.is_some() {
            return;
        }
        self.state.leave = Some(Leave {
            asked_at: self.now.saturating_sub(noticed_after),
            noticed_at: self.now,
            is_time_over: false,
        });
        self.hand_over_origins();
        let calls = self.state.calls.len();
        self.log(Entry::new(Kind::Leaving).outcome(format!("{calls} calls under way")));
    }

    pub(super) fn tick_leave(&mut self) {
        let Some(leave) = self.state.leave else {
            return;
        };
        let work_end = self.work_end(&leave);
        let grace_period = self.state.settings.grace_period;
        let cut_at = leave.noticed_at + grace_period.saturating_sub(CUT_MARGIN);
        let directory_ttl = self.state.settings.directory_ttl;
        let directory_expiry = directory_ttl * DIRECTORY_TTL_FACTOR + LATE_ARRIVAL_TIME;
        let elapsed = self.now.saturating_sub(leave.noticed_at);
        if self.now >= work_end {
            self.refuse_calls(|call| !has_response_in_progress(call));
        }
        let may_exit = elapsed >= directory_expiry || self.now >= work_end;
        let is_done = self.state.calls.is_empty() && may_exit;
        // A process that did not run for a while has not read yet what its runners have sent.
        let is_time_over = self.now >= cut_at;
        let is_cut_due = is_time_over && leave.is_time_over;
        self.state.leave = Some(Leave {
            is_time_over,
            ..leave
        });
        if !is_cut_due && !is_done {
            return;
        }
        self.state.exited = true;
        let calls = self.state.calls.len();
        self.refuse_calls(|_| true);
        self.log(
            Entry::new(Kind::Left)
                .outcome(format!("{calls} calls under way"))
                .age(elapsed),
        );
        self.emit(Effect::Exit);
    }

    /// Ends calls with a refusal, or by aborting their streams.
    fn refuse_calls(&mut self, is_refused: impl Fn(&Call) -> bool) {
        let calls = self.state.calls.iter();
        let refused = calls.filter(|(_, call)| is_refused(call));
        let numbers: Vec<id::Call> = refused.map(|(number, _)| *number).collect();
        for number in numbers {
            self.fail_call(number, Reason::Leaving);
        }
    }

    /// When accepted work has ended. A process that noticed late that it was asked to leave may be killed before it exits by
    /// itself, so this counts from the earliest time at which it may have been asked.
    fn work_end(&self, leave: &Leave) -> Duration {
        leave.asked_at + self.state.settings.grace_period.saturating_sub(EXIT_MARGIN)
    }

    /// Whether a call may start its next attempt now: that of a stream that has begun, until the accepted work has ended; any
    /// other only if it is expected to end before this process exits.
    pub(super) fn may_start_attempt(&self, call: &Call) -> bool {
        let leave = self.state.leave;
        let is_over = leave.is_some_and(|leave| self.now >= self.work_end(&leave));
        !is_over && (call.progress.head_forwarded || self.can_end_before_exit(call))
    }

    /// Whether a call that starts its next attempt now is expected to end before this process exits; for a call that
    /// arrives late, whether it ends by then at the latest.
    fn can_end_before_exit(&self, call: &Call) -> bool {
        let Some(leave) = self.state.leave else {
            return true;
        };
        let work_end = self.work_end(&leave);
        if call.arrived_at > leave.asked_at + ARRIVAL_TIME {
            return call.deadline <= work_end && !self.state.exited;
        }
        let expected = match call.route.kind {
            RouteKind::Streaming => self.state.stream_time,
            RouteKind::Idempotent | RouteKind::NonIdempotent => Some(call.route.target_latency),
        };
        let can_end = expected.is_some_and(|expected| self.now + expected <= work_end);
        can_end && !self.state.exited
    }

    /// Records how long a complete stream took, from its request to its end.
    pub(super) fn record_stream_time(&mut self, took: Duration) {
        let expected = self.state.stream_time.unwrap_or(took);
        let shorter = expected.saturating_sub(took).scale(SHORTER_STREAM_WEIGHT);
        self.state.stream_time = Some(took.max(expected - shorter));
    }
}
