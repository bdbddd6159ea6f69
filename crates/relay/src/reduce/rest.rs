//! Runners that decline a request and ask for no further ones for a time. That binds this VM alone: others may go on.

use std::time::Duration;

use rand::Rng as _;

use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::id;
use crate::placement::Purpose;
use crate::pool::Runner;
use crate::refusal::Reason;

use super::Reducer;

/// Longest time for which a runner is taken at its word, as long as the protocol can say.
const REST_MAX: Duration = Duration::from_secs(3_600);
/// Random factor of the delay after which a call that was refused for that is to come back.
const RETURN_JITTER: std::ops::Range<f64> = 1.0..1.4;

impl Reducer<'_> {
    /// Sends a runner nothing for a time; a shorter one does not end an earlier one.
    pub(super) fn handle_rest(&mut self, attempt: id::Attempt, time: Duration) {
        let Some(in_flight) = self.state.in_flight.get(&attempt) else {
            return;
        };
        let instance = in_flight.instance.clone();
        if self.state.pool.find(&instance).is_none() {
            return;
        }
        let time = time.min(REST_MAX);
        let Some(runner) = self.state.pool.get_mut(&instance.runner) else {
            return;
        };
        runner.rests_until = runner.rests_until.max(self.now + time);
        let entry = Entry::new(Kind::RestAsked).runner(&instance.runner);
        self.log(entry.attempt(attempt).age(time));
    }

    /// Has another VM run a call of which all runners rest, or refuses it; returns whether it is taken care of.
    pub(super) fn advance_resting(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        // A refusal would cut a stream that has started, so that waits.
        if call.progress.head_forwarded || self.rest_end(&call.endpoint).is_none() {
            return false;
        }
        if !self.delegate(number) {
            self.fall_back(number, Reason::Resting);
        }
        true
    }

    /// When the first runner of an endpoint may be asked again, if all of a stage rest.
    fn rest_end(&self, endpoint: &id::Endpoint) -> Option<Duration> {
        let stages = self.needed_stages(endpoint).iter();
        stages
            .filter_map(|purpose| self.stage_rest_end(endpoint, *purpose))
            .max()
    }

    fn stage_rest_end(&self, endpoint: &id::Endpoint, purpose: Purpose) -> Option<Duration> {
        let ends = self.ready_runners(endpoint, purpose);
        let end = ends.map(|runner: &Runner| runner.rests_until).min()?;
        Some(end).filter(|end| *end > self.now)
    }

    /// When a call that is refused since all runners rest is to come back.
    pub(super) fn rest_return_after(&mut self, number: id::Call) -> Duration {
        let call = self.state.calls.get(&number);
        let endpoint = call.map(|call| call.endpoint.clone());
        let end = endpoint.and_then(|endpoint| self.rest_end(&endpoint));
        let left = end.unwrap_or(self.now).saturating_sub(self.now);
        left.scale(self.state.rng.random_range(RETURN_JITTER))
    }
}
