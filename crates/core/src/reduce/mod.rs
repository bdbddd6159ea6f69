//! The reducer: every decision of an entry VM, one event at a time.

mod arrival;
mod attempt;
mod cancel;
mod dispatch;
mod entries;
mod fleet;
mod leave;
mod record;
mod recover;
mod spread;
mod tickets;
mod witness;

use std::time::Duration;

use crate::event::{Effect, Event, Now};
use crate::message::Message;
use crate::state::{Lifecycle, State};
use crate::timeline::{Detail, Draft, Kind};

/// How long records stay after the end of their id's life, so that clocks may differ.
const EXPIRY_SLACK: Duration = Duration::from_secs(60);
/// Interval of dropping records past their life.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Takes one event and appends what is to be done.
pub fn reduce(state: &mut State, now: Now, event: Event, effects: &mut Vec<Effect>) {
    let mut step = Step {
        state,
        now,
        effects,
    };
    match event {
        Event::Tick => step.tick(),
        Event::EntriesRequested { exchange, zone } => step.entries_asked(exchange, zone),
        Event::Arrived(arrival) => step.arrived(arrival),
        Event::CallerDisconnected { exchange } => step.caller_gone(exchange),
        Event::ForwardFailed { exchange } => step.forward_failed(exchange),
        Event::Answered {
            attempt,
            status,
            bytes,
            small,
        } => step.answered(attempt, status, bytes, small),
        Event::Prefilled { attempt, kv } => step.prefilled(attempt, kv),
        Event::Token { attempt, position } => step.token(attempt, position),
        Event::Finished { attempt } => step.finished(attempt),
        Event::Failed { attempt, failure } => step.failed(attempt, failure),
        Event::CancelEnded {
            cancel,
            acknowledged,
        } => step.cancel_ended(cancel, acknowledged),
        Event::Received { from, message } => step.received(from, message),
        Event::TicketsRead { tickets, newest } => step.tickets_read(&tickets, newest),
        Event::ListRead { vms } => step.list_read(vms),
        Event::ReadFailed { read } => step.read_failed(read),
        Event::Leave => step.leave(),
    }
}

/// One event's work: the state, the time, and the effects so far.
struct Step<'a> {
    state: &'a mut State,
    now: Now,
    effects: &'a mut Vec<Effect>,
}

impl Step<'_> {
    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn note(&mut self, note: Draft) {
        self.emit(Effect::AppendTimeline(note));
    }

    fn send(&mut self, to: crate::id::Vm, message: Message) {
        let Some(member) = self.state.members.get(to) else {
            return;
        };
        let address = member.descriptor.peer_address;
        self.emit(Effect::Send {
            to,
            address,
            message,
        });
    }

    fn tick(&mut self) {
        self.check_late();
        if self.state.lifecycle == Lifecycle::Ended {
            return;
        }
        self.tick_reads();
        self.tick_fleet();
        self.tick_witness();
        self.tick_recoveries();
        self.tick_holds();
        self.tick_cancels();
        self.tick_queue();
        self.tick_parked();
        if self.now.up >= self.state.sweep_at {
            self.state.sweep_at = self.now.up + SWEEP_INTERVAL;
            self.sweep();
        }
        self.tick_leave();
    }

    /// Finds out whether this process was paused: what it believes of others is old then, so it
    /// rejoins and reads the tickets again before it takes new work.
    fn check_late(&mut self) {
        let last = self.state.last_tick.replace(self.now.up);
        let gap = last.map_or(Duration::ZERO, |last| self.now.up.saturating_sub(last));
        if gap <= self.state.settings.stall_threshold {
            return;
        }
        self.state.counters.woke_late += 1;
        self.note(Draft::new(Kind::WokeLate).detail(Detail::Elapsed(gap)));
        self.restart_reads();
        self.restart_probes();
    }

    fn received(&mut self, from: crate::token::Instance, message: Message) {
        self.state.members.record_contact(from, self.now.up);
        match message {
            Message::Probe { number, ticket } => self.probed(from, number, ticket),
            Message::ProbeAck { number, ticket } => self.probe_acknowledged(from, number, ticket),
            Message::IndirectProbe { number, target } => self.probe_for(from, number, target),
            Message::TicketQuery { after } => self.tickets_asked(from, after),
            Message::Tickets { texts } => self.take_tickets(&texts),
            Message::Snapshot {
                newest,
                part,
                parts,
                versions,
            } => {
                self.snapshot_told(from, newest, part, parts, versions);
            }
            Message::Descriptors { descriptors } => self.learn_cards(from, descriptors),
            Message::Intent {
                key,
                witness,
                expiry,
            } => self.intent_asked(from, key, witness, expiry),
            Message::IntentAck { key, granted } => self.intent_acknowledged(from, key, granted),
            Message::Outcome { key, record } => self.outcome_told(from, key, record),
            Message::OutcomeAck { key } => self.outcome_acknowledged(key),
            Message::StreamRecord {
                key,
                expiry,
                stream,
            } => self.hold_told(from, key, expiry, stream),
            Message::StreamQuery { key } => self.hold_asked(from, key),
            Message::StreamReply { key, stream } => self.hold_answered(key, &stream),
            Message::Seal {
                key,
                witness,
                expiry,
            } => self.seal_asked(from, key, witness, expiry),
            Message::SealAck { key, record } => self.seal_acknowledged(from, key, record),
        }
    }
}
