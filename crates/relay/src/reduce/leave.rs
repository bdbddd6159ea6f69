//! Graceful shutdown: no new callers, and requests in progress are completed.

use std::time::Duration;

use crate::decision_log::{Entry, Kind};
use crate::event::Effect;

use super::Reducer;

/// Callers cache a response of the directory for this many times its TTL.
const DIRECTORY_TTL_FACTOR: u32 = 3;
/// Time for requests still arriving after the last cached response has expired.
const LATE_ARRIVAL_TIME: Duration = Duration::from_millis(500);
/// How long before it would be killed the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(900);

impl Reducer<'_> {
    pub(super) fn start_leaving(&mut self) {
        if self.state.leaving_since.is_some() {
            return;
        }
        self.state.leaving_since = Some(self.now);
        let calls = self.state.calls.len();
        self.log(Entry::new(Kind::Leaving).outcome(format!("{calls} calls under way")));
    }

    pub(super) fn tick_leave(&mut self) {
        let Some(started_at) = self.state.leaving_since else {
            return;
        };
        let settings = &self.state.settings;
        let directory_expiry = settings.directory_ttl * DIRECTORY_TTL_FACTOR + LATE_ARRIVAL_TIME;
        let elapsed = self.now.saturating_sub(started_at);
        let is_idle = self.state.calls.is_empty() && elapsed >= directory_expiry;
        if !is_idle && elapsed < settings.grace_period.saturating_sub(EXIT_MARGIN) {
            return;
        }
        self.state.exited = true;
        let calls = self.state.calls.len();
        self.log(
            Entry::new(Kind::Left)
                .outcome(format!("{calls} calls under way"))
                .age(elapsed),
        );
        self.emit(Effect::Exit);
    }
}
