//! Retries: held in the budget of an endpoint before an attempt, and spent once it has arrived.

use crate::arrivals::{Arrival, Step};
use crate::budget::Usage;
use crate::decision_log::{Entry, Kind};
use crate::event::Outcome;
use crate::id;

use super::Reducer;

impl Reducer<'_> {
    /// Holds the retries that the next attempt of a call may cost; returns whether there were enough.
    pub(super) fn hold_retries(&mut self, number: id::Call) -> bool {
        let has_kv = self.has_kv(number);
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let missing = call.arrivals.missing(call.next_step(has_kv));
        if missing == 0 {
            return true;
        }
        let endpoint = call.endpoint.clone();
        let (now, vms) = (self.now, self.slack_vms());
        if !self.budget(&endpoint).try_hold(now, vms, missing) {
            self.state.counters.retries_denied += 1;
            self.log_denied_retry(number, &endpoint);
            return false;
        }
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.arrivals.hold(missing);
        }
        true
    }

    /// Whether the budget allows a call to continue elsewhere once its attempt is aborted.
    pub(super) fn can_retry_after_abort(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let missing = call.arrivals.missing_after_abort(call.next_step(false));
        let endpoint = call.endpoint.clone();
        let (now, vms) = (self.now, self.slack_vms());
        self.budget(&endpoint).remaining(now, vms) >= missing
    }

    /// Counts the attempt of a call that is in flight or has just ended, if it isn't counted yet.
    pub(super) fn settle_attempt(&mut self, number: id::Call, arrival: Arrival) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if !call.arrivals.settle(arrival) {
            return;
        }
        let endpoint = call.endpoint.clone();
        let now = self.now;
        self.state.counters.retried += 1;
        self.budget(&endpoint).spend_held(now);
    }

    /// Gives back the held retries that the next attempt of a call doesn't need; all if there is none.
    pub(super) fn release_retries(&mut self, number: id::Call, next: Option<Step>) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let surplus = call.arrivals.release_surplus(next);
        let endpoint = call.endpoint.clone();
        if surplus > 0 {
            self.budget(&endpoint).release_held(surplus);
        }
    }

    /// Number of VMs that share the slack.
    fn slack_vms(&self) -> usize {
        self.state.members.peak_size.max(1)
    }

    /// Logs that a call was denied a retry, once in a row of denials.
    fn log_denied_retry(&mut self, number: id::Call, endpoint: &id::Endpoint) {
        let (now, vms) = (self.now, self.slack_vms());
        let Usage { allowed, spent } = self.budget(endpoint).usage(now, vms);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if std::mem::replace(&mut call.retry_denied, true) {
            return;
        }
        let id = call.id.clone();
        self.log(
            Entry::new(Kind::RetryDenied)
                .request(&id)
                .endpoint(endpoint)
                .outcome(format!("{spent} of {allowed} spent, {vms} VMs")),
        );
    }
}

/// How an attempt with this outcome arrived.
pub(super) fn arrival_of(outcome: &Outcome) -> Arrival {
    match outcome {
        Outcome::Unwritten => Arrival::None,
        Outcome::Prefilled { .. } => Arrival::Prefilled,
        Outcome::Declined(_)
        | Outcome::Lost
        | Outcome::Mismatched
        | Outcome::Answered { .. }
        | Outcome::Ended => Arrival::Other,
    }
}
