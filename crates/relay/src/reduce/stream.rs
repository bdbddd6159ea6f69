//! Streams on their way to callers: each event once, in order, from one run at a time.

use crate::call::Step;
use crate::event::{Effect, Sample};
use crate::id;

use super::overdue::pause;
use super::Reducer;

impl Reducer<'_> {
    /// The head of a stream has come; the caller gets the first one only.
    pub(super) fn began(&mut self, attempt: id::Attempt) {
        let now = self.now;
        let Some(&number) = self.state.by_attempt.get(&attempt) else {
            return;
        };
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        // The runner has taken the KV cache.
        call.kv = None;
        if !std::mem::replace(&mut call.progress.head_passed, true) {
            let took = now.saturating_sub(call.began);
            self.emit(Effect::PassHead { call: number });
            self.emit(Effect::Measure(Sample::FirstEvent { took }));
        }
    }

    /// An event has come; one that the caller has already is left out.
    pub(super) fn piece(&mut self, attempt: id::Attempt, position: Option<u64>) {
        let now = self.now;
        let Some(&number) = self.state.by_attempt.get(&attempt) else {
            return;
        };
        self.charge_read(attempt);
        self.heard(attempt);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let silence = pause(call);
        let may_go_on = call.may_run_again_after_this();
        if let Step::Run { give_up, .. } = &mut call.step {
            *give_up = may_go_on.then_some(now + silence);
        }
        call.progress.last_at = now;
        let repeated =
            matches!((position, call.progress.last), (Some(new), Some(last)) if new <= last);
        if repeated {
            return;
        }
        call.progress.last = position.or(call.progress.last);
        self.emit(Effect::PassPiece { call: number });
    }

    /// Notes that the runner of an attempt is alive.
    fn heard(&mut self, attempt: id::Attempt) {
        let now = self.now;
        let charges = self.state.charges.get(&attempt);
        let Some((runner, _)) = charges.and_then(|charges| charges.first()) else {
            return;
        };
        if let Some(known) = self.state.pool.get_mut(runner) {
            known.heard_at = Some(now);
        }
    }
}
