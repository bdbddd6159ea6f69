//! The reducer: one event at a time.

mod arrive;
mod choose;
mod dispatch;
mod finish;
mod fleet;
mod leave;
mod load;
mod outcome;
mod overdue;
mod source;
mod stream;

use std::time::Duration;

use crate::decision_log::Entry;
use crate::event::{Effect, Event};
use crate::state::State;

/// Takes one event and appends what is to be done. `now` is the time since the process started.
pub fn reduce(state: &mut State, now: Duration, event: Event, effects: &mut Vec<Effect>) {
    let mut step = Reducer {
        state,
        now,
        effects,
    };
    match event {
        Event::Tick => step.tick(),
        Event::ManifestRead { manifest } => step.manifest_read(manifest),
        Event::PoolRead {
            descriptors,
            revision,
        } => step.pool_read(descriptors, revision),
        Event::RunnerUpdated { descriptor } => step.runner_updated(descriptor),
        Event::RunnerRemoved { runner, revision } => step.runner_removed(&runner, revision),
        Event::SourceReached { reached } => step.source_reached(reached),
        Event::Arrived(arrival) => step.arrived(arrival),
        Event::CallerDisconnected { call } => step.caller_disconnected(call),
        Event::StreamStarted { attempt } => step.stream_started(attempt),
        Event::StreamEvent { attempt, position } => step.stream_event(attempt, position),
        Event::AttemptEnded {
            attempt,
            outcome,
            reported,
        } => step.attempt_ended(attempt, outcome, reported),
        Event::ViewReceived { view } => step.view_received(view),
        Event::PeerUnresponsive { address } => step.peer_unresponsive(address),
        Event::SettingsReloaded { settings, seeds } => step.settings_reloaded(settings, seeds),
        Event::Leave => step.leave(),
    }
    step.publish_status();
    step.publish_load();
}

/// One event's work: the state, the time, and the effects so far.
struct Reducer<'a> {
    state: &'a mut State,
    now: Duration,
    effects: &'a mut Vec<Effect>,
}

impl Reducer<'_> {
    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn log(&mut self, entry: Entry) {
        self.emit(Effect::Log(entry));
    }

    fn tick(&mut self) {
        if self.state.exited {
            return;
        }
        self.tick_calls();
        self.tick_fleet();
        self.tick_pool();
        self.tick_load();
        self.tick_leave();
    }
}
