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

use crate::event::{Effect, Event};
use crate::note::Note;
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
        Event::PoolRead { cards, revision } => step.pool_read(cards, revision),
        Event::CardSet { card } => step.card_set(card),
        Event::CardEnded { runner, revision } => step.card_ended(&runner, revision),
        Event::SourceReached { reached } => step.source_reached(reached),
        Event::Arrived(arrival) => step.arrived(arrival),
        Event::CallerGone { call } => step.caller_gone(call),
        Event::Began { attempt } => step.began(attempt),
        Event::Piece { attempt, position } => step.piece(attempt, position),
        Event::Closed {
            attempt,
            outcome,
            told,
        } => step.closed(attempt, outcome, told),
        Event::PeerTold { view } => step.peer_told(view),
        Event::PeerSilent { address } => step.peer_silent(address),
        Event::SettingsRead { settings, seeds } => step.settings_read(settings, seeds),
        Event::Leave => step.leave(),
    }
    step.announce();
    step.tell_load();
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

    fn note(&mut self, note: Note) {
        self.emit(Effect::Note(note));
    }

    fn tick(&mut self) {
        if self.state.left {
            return;
        }
        self.tick_calls();
        self.tick_fleet();
        self.tick_pool();
        self.tick_load();
        self.tick_leave();
    }
}
