//! Graceful shutdown: callers are no longer directed here, and requests in progress run to their
//! end.

use crate::event::Effect;
use crate::state::Lifecycle;
use crate::timeline::{Draft, Kind};

use super::Reducer;

impl Reducer<'_> {
    pub(super) fn start_leaving(&mut self) {
        if self.state.lifecycle != Lifecycle::Running {
            return;
        }
        let serve_until = self.now.up + self.state.settings.entries_max_age;
        self.state.lifecycle = Lifecycle::Leaving { serve_until };
        self.record_event(Draft::new(Kind::LeaveStarted));
        self.announce();
    }

    /// Ends the process once callers no longer use its address from an earlier response of
    /// `/v1/entries` and no work is in progress or unacknowledged.
    pub(super) fn tick_leave(&mut self) {
        let Lifecycle::Leaving { serve_until } = self.state.lifecycle else {
            return;
        };
        let idle = self.state.active.is_empty()
            && self.state.pending_seals.is_empty()
            && self.state.forwarded.is_empty()
            && self.state.recoveries.is_empty()
            && self.state.pending_outcomes.is_empty()
            && self.state.pending_cancels.is_empty();
        if idle && self.now.up >= serve_until {
            self.state.lifecycle = Lifecycle::Ended;
            self.emit(Effect::Exit);
        }
    }
}
