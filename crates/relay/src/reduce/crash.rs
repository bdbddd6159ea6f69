//! Crashes of runners. See [`crate::crash`].

use std::collections::BTreeSet;
use std::time::Duration;

use crate::crash::{shared_parts, Loss, BEGIN_MARGIN};
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Presence};
use crate::id;
use crate::pool::{Instance, Status};
use crate::state::InFlight;

use super::outcome::EndedAttempt;
use super::Reducer;

impl Reducer<'_> {
    /// Records the first event of an attempt.
    pub(super) fn record_begin(&mut self, attempt: id::Attempt) {
        let now = self.now;
        if let Some(in_flight) = self.state.in_flight.get_mut(&attempt) {
            in_flight.begun_at.get_or_insert(now);
        }
    }

    /// Records a lost attempt, and checks whether its runner has ended.
    pub(super) fn record_loss(&mut self, ended: &EndedAttempt) {
        let instance = &ended.in_flight.instance;
        let Some(address) = self.listed_address(instance) else {
            return;
        };
        let suspects = self.find_suspects(ended);
        if suspects.is_empty() {
            return;
        }
        let loss = self.state.losses.get_mut(instance);
        if let Some(loss) = loss {
            loss.suspects.extend(suspects);
            return;
        }
        let at = self.now;
        let instance = instance.clone();
        self.state
            .losses
            .insert(instance.clone(), Loss { at, suspects });
        self.emit(Effect::CheckRunner { instance, address });
    }

    /// The address of a runner that is listed as serving; one that leaves may end at any time.
    fn listed_address(&self, instance: &Instance) -> Option<std::net::SocketAddr> {
        let runner = self.state.pool.get(&instance.runner)?;
        let is_same = runner.descriptor.started_at_ms == instance.started_at_ms;
        let is_serving = runner.status == Status::Ready && is_same;
        is_serving.then_some(runner.descriptor.address)
    }

    /// The shared parts of the request of a lost attempt, unless its runner had begun to respond.
    fn find_suspects(&self, ended: &EndedAttempt) -> BTreeSet<id::Part> {
        if has_begun(&ended.in_flight, self.now) {
            return BTreeSet::new();
        }
        let call = self.state.calls.get(&ended.number);
        let parts = call.map(|call| shared_parts(&call.parts));
        parts.unwrap_or_default().iter().copied().collect()
    }

    pub(super) fn handle_runner_check(&mut self, instance: &Instance, presence: Presence) {
        let Some(loss) = self.state.losses.remove(instance) else {
            return;
        };
        if presence != Presence::Refused {
            return;
        }
        self.log(
            Entry::new(Kind::RunnerCrashed)
                .runner(&instance.runner)
                .age(self.now.saturating_sub(loss.at))
                .parts(loss.suspects),
        );
    }
}

/// Whether a response has gone on for a moment.
fn has_begun(in_flight: &InFlight, now: Duration) -> bool {
    in_flight
        .begun_at
        .is_some_and(|at| at + BEGIN_MARGIN <= now)
}
