//! Retries: held in the budget of an endpoint before an attempt, and spent once it has arrived.

use crate::arrivals::{Arrival, Step};
use crate::budget::{Share, Usage};
use crate::decision_log::{Entry, Kind};
use crate::event::{Decline, Outcome};
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
        let (now, share) = (self.now, self.share());
        let Some(retries) = self.budget(&endpoint).try_hold(now, share, missing) else {
            self.record_denied_retry(number);
            return false;
        };
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.arrivals.hold(retries);
        }
        true
    }

    /// Whether the budget allows a call to continue elsewhere once its attempt has ended or is aborted.
    pub(super) fn can_retry_elsewhere(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let missing = call.arrivals.missing_after_abort(call.next_step(false));
        let endpoint = call.endpoint.clone();
        let (now, share) = (self.now, self.share());
        self.budget(&endpoint).allows(now, share, missing)
    }

    /// Counts the attempt of a call that is in flight or has just ended, if it isn't counted yet.
    pub(super) fn settle_attempt(&mut self, number: id::Call, arrival: Arrival) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let Some(retry) = call.arrivals.settle(arrival) else {
            return;
        };
        let endpoint = call.endpoint.clone();
        let now = self.now;
        self.state.counters.retried += 1;
        self.budget(&endpoint).spend(now, retry);
    }

    /// Gives back the held retries that the next attempt of a call doesn't need; all if there is none.
    pub(super) fn release_retries(&mut self, number: id::Call, next: Option<Step>) {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let surplus = call.arrivals.release_surplus(next);
        let endpoint = call.endpoint.clone();
        for retry in surplus {
            self.budget(&endpoint).release(retry);
        }
    }

    fn share(&self) -> Share {
        self.state.retry_share(self.now)
    }

    /// Counts that a call was denied a retry, and logs it once in a row of denials.
    pub(super) fn record_denied_retry(&mut self, number: id::Call) {
        self.state.counters.retries_denied += 1;
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let endpoint = call.endpoint.clone();
        let (now, share) = (self.now, self.share());
        let Usage {
            available,
            spent,
            held,
        } = self.budget(&endpoint).usage(now, share);
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
                .endpoint(&endpoint)
                .outcome(format!("{available:.2} left, {spent} spent, {held} held")),
        );
    }
}

/// How an attempt with this outcome arrived.
pub(super) fn arrival_of(outcome: &Outcome) -> Arrival {
    match outcome {
        Outcome::Unwritten | Outcome::Declined(Decline::OutOfReach | Decline::Leaving) => {
            Arrival::None
        }
        Outcome::Prefilled { .. } => Arrival::Prefilled,
        Outcome::Declined(_)
        | Outcome::Lost
        | Outcome::Mismatched
        | Outcome::Answered { .. }
        | Outcome::Ended => Arrival::Other,
    }
}
