//! Limits that runners name. See [`crate::limit`].

use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::limit::Statement;

use super::Reducer;

impl Reducer<'_> {
    pub(super) fn handle_limit_statement(&mut self, attempt: id::Attempt, statement: Statement) {
        let Some(in_flight) = self.state.in_flight.get(&attempt) else {
            return;
        };
        let (instance, sent_at) = (in_flight.instance.clone(), in_flight.sent_at);
        let limits = &mut self.state.limits;
        if !limits.record(&instance, statement, sent_at, self.now) {
            return;
        }
        let outcome = match self.state.limits.rate(&instance) {
            Some(rate) => format!("{rate} a second"),
            None => "none".to_owned(),
        };
        self.log(
            Entry::new(Kind::LimitNamed)
                .runner(&instance.runner)
                .attempt(attempt)
                .outcome(outcome),
        );
    }

    /// Forgets the limits of processes that are not listed any more.
    pub(super) fn tick_limits(&mut self) {
        let pool = &self.state.pool;
        self.state.limits.retain(|instance| {
            let runner = pool.get(&instance.runner);
            runner.is_some_and(|runner| runner.descriptor.instance() == *instance)
        });
    }
}
