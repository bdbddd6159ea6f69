//! Streams forwarded to callers: each event once, in order, from one attempt at a time.

use std::time::Duration;

use crate::arrivals::Arrival;
use crate::call::Phase;
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Sample};
use crate::id;

use super::timeout::event_timeout;
use super::Reducer;

impl Reducer<'_> {
    /// Forwards a stream's head, unless an earlier attempt's head was forwarded.
    pub(super) fn handle_stream_start(&mut self, attempt: id::Attempt) {
        let now = self.now;
        let Some(&number) = self.state.by_attempt.get(&attempt) else {
            return;
        };
        self.keep_attempt(number, attempt);
        self.settle_attempt(number, Arrival::Other);
        self.mark_kv_fetched(number);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if !std::mem::replace(&mut call.progress.head_forwarded, true) {
            let took = now.saturating_sub(call.arrived_at);
            let id = call.id.clone();
            self.log(
                Entry::new(Kind::FirstEvent)
                    .request(&id)
                    .attempt(attempt)
                    .age(took),
            );
            self.emit(Effect::ForwardHead { call: number });
            self.emit(Effect::Measure(Sample::FirstEvent { took }));
        }
    }

    /// Forwards an event, unless the caller has it already.
    pub(super) fn handle_stream_event(&mut self, attempt: id::Attempt, position: Option<u64>) {
        let now = self.now;
        let Some(&number) = self.state.by_attempt.get(&attempt) else {
            return;
        };
        self.keep_attempt(number, attempt);
        self.discharge_prefill(attempt);
        self.record_progress(number, attempt);
        self.mark_seen(attempt);
        self.record_event_time(attempt);
        // Capacity for a move that is not needed any more.
        self.drop_grant(number);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let timeout = event_timeout(call);
        let can_resume = call.can_retry_after_attempt();
        if let Phase::Run {
            attempt_deadline, ..
        } = &mut call.phase
        {
            *attempt_deadline = can_resume.then_some(now + timeout);
        }
        let gap = now.saturating_sub(call.progress.last_event_at);
        let has_started = call.progress.last_event_at > Duration::ZERO;
        let is_pause = has_started && gap > call.route.target_event_gap;
        let is_first_pause = is_pause && !std::mem::replace(&mut call.progress.has_paused, true);
        call.progress.last_event_at = now;
        let id = call.id.clone();
        let is_duplicate = matches!(
            (position, call.progress.last_position),
            (Some(new), Some(last)) if new <= last
        );
        if is_duplicate {
            return;
        }
        call.progress.last_position = position.or(call.progress.last_position);
        if call.build.is_none() {
            let in_flight = self.state.in_flight.get(&attempt);
            call.build = in_flight.and_then(|in_flight| in_flight.build.clone());
            call.is_bound_elsewhere = call.build.is_none();
        }
        if is_first_pause {
            let entry = Entry::new(Kind::Paused).request(&id).attempt(attempt);
            self.log(entry.age(gap));
        }
        self.record_origin(number);
        self.emit(Effect::ForwardEvent { call: number });
    }

    /// Records that the runner of an attempt is alive.
    fn mark_seen(&mut self, attempt: id::Attempt) {
        let now = self.now;
        let charges = self.state.charges.get(&attempt);
        let Some((runner, _)) = charges.and_then(|charges| charges.first()) else {
            return;
        };
        if let Some(known) = self.state.pool.get_mut(runner) {
            known.last_seen_at = Some(now);
            known.breaker.end_silence();
        }
    }
}
