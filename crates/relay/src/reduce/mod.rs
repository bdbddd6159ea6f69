//! The reducer: processes one event at a time.

mod arrive;
mod choose;
mod dispatch;
mod finish;
mod fleet;
mod leave;
mod load;
mod outcome;
mod source;
mod stream;
mod timeout;

use std::time::Duration;

use crate::decision_log::Entry;
use crate::event::{Effect, Event};
use crate::state::State;

/// Processes one event and appends the resulting effects. `now` is the time since the process
/// started.
pub fn reduce(state: &mut State, now: Duration, event: Event, effects: &mut Vec<Effect>) {
    let mut reducer = Reducer {
        state,
        now,
        effects,
    };
    match event {
        Event::Tick => reducer.tick(),
        Event::ManifestRead { manifest } => reducer.on_manifest_read(manifest),
        Event::PoolRead {
            descriptors,
            revision,
        } => reducer.on_pool_read(descriptors, revision),
        Event::RunnerUpdated { descriptor } => reducer.on_runner_updated(descriptor),
        Event::RunnerRemoved { runner, revision } => reducer.on_runner_removed(&runner, revision),
        Event::SourceReached { reached } => reducer.on_source_reached(reached),
        Event::Arrived(arrival) => reducer.on_arrived(arrival),
        Event::CallerDisconnected { call } => reducer.on_caller_disconnected(call),
        Event::StreamStarted { attempt } => reducer.on_stream_started(attempt),
        Event::StreamEvent { attempt, position } => reducer.on_stream_event(attempt, position),
        Event::AttemptEnded {
            attempt,
            outcome,
            reported,
        } => reducer.on_attempt_ended(attempt, outcome, reported),
        Event::ViewReceived { view } => reducer.on_view_received(view),
        Event::PeerUnresponsive { address } => reducer.on_peer_unresponsive(address),
        Event::SettingsReloaded { settings, seeds } => {
            reducer.on_settings_reloaded(settings, seeds)
        }
        Event::Leave => reducer.on_leave(),
    }
    reducer.publish_status();
    reducer.publish_load();
}

/// Context for processing one event.
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
