//! Runners that say that they leave. See [`crate::departure`].

use crate::decision_log::{Entry, Kind};
use crate::departure::Record;
use crate::id;
use crate::pool::Instance;

use super::Reducer;

impl Reducer<'_> {
    pub(super) fn handle_departure_statement(&mut self, attempt: id::Attempt) {
        let Some(in_flight) = self.state.in_flight.get(&attempt) else {
            return;
        };
        // What another VM answers says nothing of that VM.
        if !in_flight.is_delegated {
            let instance = in_flight.instance.clone();
            self.record_departure(&instance, Some(attempt));
        }
    }

    /// Takes over what another VM knows.
    pub(super) fn handle_departures(&mut self, records: Vec<Record>) {
        let now = self.now;
        for record in records {
            if self.state.pool.departures.merge(&record, now) {
                let said_at = now.saturating_sub(record.age);
                self.state.pool.mark_departing(&record.instance, said_at);
                self.announce_departure(&record.instance, None);
            }
        }
    }

    /// Treats a process as leaving from now on; `attempt` is the one whose response says so.
    pub(super) fn record_departure(&mut self, instance: &Instance, attempt: Option<id::Attempt>) {
        if self.state.pool.mark_departing(instance, self.now) {
            self.announce_departure(instance, attempt);
        }
    }

    /// Logs that a process leaves, and has other VMs told.
    fn announce_departure(&mut self, instance: &Instance, attempt: Option<id::Attempt>) {
        let entry = Entry::new(Kind::RunnerDeparts).runner(&instance.runner);
        let said_at = self.state.pool.departures.said_at(instance);
        let age = self.now.saturating_sub(said_at.unwrap_or(self.now));
        let entry = entry.version(instance.started_at_ms).age(age);
        self.log(match attempt {
            Some(attempt) => entry.attempt(attempt).outcome("its own response"),
            None => entry.outcome("told by a peer"),
        });
        self.state.counters.runners_departing += 1;
        self.state.untold.departures.insert(instance.clone());
    }

    pub(super) fn tick_departures(&mut self) {
        self.state.pool.departures.expire(self.now);
    }
}
