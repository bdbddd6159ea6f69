//! The reducer: makes every decision of an entry VM, one event at a time.
//!
//! Each module adds methods to `Reducer`, which exists for one event.

mod arrival;
mod attempt;
mod cancel;
mod dispatch;
mod entries;
mod leave;
mod membership;
mod platform;
mod recover;
mod retention;
mod ticket_sync;
mod witness;

use std::time::Duration;

use crate::event::{Effect, Event, Now};
use crate::message::Message;
use crate::state::{Lifecycle, State};
use crate::timeline::{Detail, Draft, Kind};

/// Time for which records are kept after their id has expired, to allow for clock skew between VMs.
const EXPIRY_SLACK: Duration = Duration::from_secs(60);
/// Interval between removals of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Applies one event to the state and appends the resulting effects.
pub fn reduce(state: &mut State, now: Now, event: Event, effects: &mut Vec<Effect>) {
    let mut reducer = Reducer {
        state,
        now,
        effects,
    };
    match event {
        Event::Tick => reducer.tick(),
        Event::EntriesRequested { exchange, zone } => reducer.handle_entries_query(exchange, zone),
        Event::Arrived(arrival) => reducer.handle_arrival(arrival),
        Event::CallerDisconnected { exchange } => reducer.handle_disconnect(exchange),
        Event::ForwardFailed { exchange } => reducer.handle_forward_failure(exchange),
        Event::Answered {
            attempt,
            status,
            bytes,
            small,
        } => reducer.handle_answer(attempt, status, bytes, small),
        Event::Prefilled { attempt, kv } => reducer.handle_prefill(attempt, kv),
        Event::Token { attempt, position } => reducer.handle_token(attempt, position),
        Event::Finished { attempt } => reducer.handle_finish(attempt),
        Event::Failed { attempt, failure } => reducer.handle_failure(attempt, failure),
        Event::CancelEnded {
            cancel,
            acknowledged,
        } => reducer.handle_cancel_result(cancel, acknowledged),
        Event::Received { from, message } => reducer.handle_message(from, message),
        Event::TicketsRead { tickets, newest } => reducer.handle_tickets(&tickets, newest),
        Event::ListRead { vms } => reducer.handle_list(vms),
        Event::ReadFailed { read } => reducer.handle_read_failure(read),
        Event::Leave => reducer.start_leaving(),
    }
}

/// The context in which one event is handled: the state, the time, and the effects so far.
struct Reducer<'a> {
    state: &'a mut State,
    now: Now,
    effects: &'a mut Vec<Effect>,
}

impl Reducer<'_> {
    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn record_event(&mut self, draft: Draft) {
        self.emit(Effect::AppendTimeline(draft));
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
        self.detect_late_wakeup();
        if self.state.lifecycle == Lifecycle::Ended {
            return;
        }
        self.tick_reads();
        self.tick_membership();
        self.tick_witness();
        self.tick_recoveries();
        self.tick_witnessed_streams();
        self.tick_cancels();
        self.tick_queue();
        self.tick_disconnected();
        if self.now.up >= self.state.next_sweep_at {
            self.state.next_sweep_at = self.now.up + SWEEP_INTERVAL;
            self.sweep();
        }
        self.tick_leave();
    }

    /// Detects that this process was stalled and woke late. Its view of the other VMs is stale then, so it
    /// restarts the probes and suspicion timeouts, and reads the tickets again before it accepts
    /// new work.
    fn detect_late_wakeup(&mut self) {
        let last_tick = self.state.last_tick_at.replace(self.now.up);
        let gap = last_tick.map_or(Duration::ZERO, |last_tick| {
            self.now.up.saturating_sub(last_tick)
        });
        if gap <= self.state.settings.stall_threshold {
            return;
        }
        self.state.counters.woke_late += 1;
        self.record_event(Draft::new(Kind::WokeLate).detail(Detail::Elapsed(gap)));
        self.restart_reads();
        self.restart_probes();
    }

    fn handle_message(&mut self, from: crate::token::Instance, message: Message) {
        self.state.members.record_seen(from, self.now.up);
        match message {
            Message::Probe { number, ticket } => self.handle_probe(from, number, ticket),
            Message::ProbeAck { number, ticket } => self.handle_probe_ack(from, number, ticket),
            Message::IndirectProbe { number, target } => {
                self.handle_indirect_probe(from, number, target)
            }
            Message::TicketQuery { after } => self.handle_ticket_query(from, after),
            Message::Tickets { texts } => self.apply_tickets(&texts),
            Message::Snapshot {
                newest,
                part,
                parts,
                versions,
            } => {
                self.handle_snapshot_part(from, newest, part, parts, versions);
            }
            Message::Descriptors { descriptors } => self.handle_descriptors(from, descriptors),
            Message::Intent {
                key,
                witness,
                expiry,
            } => self.handle_intent(from, key, witness, expiry),
            Message::IntentAck { key, granted } => self.handle_intent_ack(from, key, granted),
            Message::Outcome { key, record } => self.handle_outcome(from, key, record),
            Message::OutcomeAck { key } => self.handle_outcome_ack(key),
            Message::StreamRecord {
                key,
                expiry,
                stream,
            } => self.handle_stream_record(from, key, expiry, stream),
            Message::StreamQuery { key } => self.handle_stream_query(from, key),
            Message::StreamReply { key, stream } => self.handle_stream_reply(key, &stream),
            Message::Seal {
                key,
                witness,
                expiry,
            } => self.handle_seal(from, key, witness, expiry),
            Message::SealAck { key, record } => self.handle_seal_ack(from, key, record),
        }
    }
}
