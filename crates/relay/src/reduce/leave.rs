//! The end of this process: no new callers, all work to its end.

use std::time::Duration;

use crate::decision_log::{Entry, Kind};
use crate::event::Effect;

use super::Reducer;

/// Callers keep an answer of the directory this many times as long as it says.
const DIRECTORY_KEPT_TIMES: u32 = 3;
/// Time for requests on their way when the last kept answer has run out.
const LAST_ARRIVALS: Duration = Duration::from_millis(500);
/// How long before the process is killed it ends by itself.
const GRACE_LEAD: Duration = Duration::from_millis(900);

impl Reducer<'_> {
    pub(super) fn leave(&mut self) {
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
        let kept = settings.directory_ttl * DIRECTORY_KEPT_TIMES + LAST_ARRIVALS;
        let lasted = self.now.saturating_sub(started_at);
        let idle = self.state.calls.is_empty() && lasted >= kept;
        if !idle && lasted < settings.grace_period.saturating_sub(GRACE_LEAD) {
            return;
        }
        self.state.exited = true;
        let calls = self.state.calls.len();
        self.log(
            Entry::new(Kind::Left)
                .outcome(format!("{calls} calls under way"))
                .age(lasted),
        );
        self.emit(Effect::Exit);
    }
}
