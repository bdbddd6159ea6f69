//! The reducer: makes every decision of an entry VM, one event at a time.

mod allocate;
mod arrive;
mod build;
mod cap;
mod choose;
mod claim;
mod crash;
mod delegate;
mod departure;
mod dispatch;
mod finish;
mod fleet;
mod leave;
mod limit;
mod listing;
mod load;
mod news;
mod origin;
mod outcome;
mod overload;
mod quarantine;
mod reach;
mod rest;
mod retry;
mod session;
mod source;
mod speed;
mod standby;
mod stream;
mod survey;
mod timeout;

use std::time::Duration;

use crate::decision_log::Entry;
use crate::event::{Effect, Event};
use crate::state::State;

/// Applies one event to the state and appends the resulting effects. `now` is the time since the
/// process started.
pub fn reduce(state: &mut State, now: Duration, event: Event, effects: &mut Vec<Effect>) {
    let mut reducer = Reducer {
        state,
        now,
        effects,
    };
    match event {
        Event::Tick => reducer.tick(),
        Event::ManifestRead { manifest } => reducer.handle_manifest(manifest),
        Event::PoolRead {
            descriptors,
            revision,
        } => reducer.handle_pool(descriptors, revision),
        Event::RunnerUpdated { descriptor } => reducer.handle_runner_update(descriptor),
        Event::RunnerRemoved { runner, revision } => {
            reducer.handle_runner_removal(&runner, revision)
        }
        Event::SourceReached { reached } => reducer.handle_source_reached(reached),
        Event::Arrived(arrival) => reducer.handle_arrival(arrival),
        Event::Rejected { request } => reducer.handle_rejection(&request),
        Event::CallerDisconnected { call } => reducer.handle_disconnect(call),
        Event::StreamStarted { attempt } => reducer.handle_stream_start(attempt),
        Event::StreamEvent { attempt, position } => reducer.handle_stream_event(attempt, position),
        Event::LoadStated { attempt, reported } => reducer.handle_load_statement(attempt, reported),
        Event::AttemptEnded {
            attempt,
            outcome,
            reported,
        } => reducer.handle_attempt_end(attempt, outcome, reported),
        Event::ViewReceived { view } => reducer.handle_view(*view),
        Event::PeerUnresponsive { address } => reducer.handle_unresponsive_peer(address),
        Event::ClaimReceived { claim } => reducer.handle_claim(claim),
        Event::GrantsReceived { batch } => reducer.handle_grants(batch),
        Event::ClaimAcknowledged { address } => reducer.handle_claim_acknowledgement(address),
        Event::AllocatorUnresponsive { address } => reducer.handle_unresponsive_allocator(address),
        Event::OriginsReceived { records } => reducer.handle_origins(records),
        Event::OriginsUndelivered {
            address,
            records,
            is_retold,
        } => reducer.handle_undelivered_origins(address, records, is_retold),
        Event::OriginAnswered {
            call,
            address,
            answer,
        } => reducer.handle_origin_answer(call, address, answer),
        Event::EnginesAsked { endpoint, part } => reducer.handle_engine_question(&endpoint, part),
        Event::PartsListed {
            endpoint,
            engine,
            parts,
        } => reducer.handle_listed_parts(&endpoint, &engine, parts),
        Event::ListChecked { is_confirmed } => reducer.handle_list_check(is_confirmed),
        Event::HistoryRead { entries } => reducer.handle_history(entries),
        Event::LimitStated { attempt, statement } => {
            reducer.handle_limit_statement(attempt, statement)
        }
        Event::RestAsked { attempt, time } => reducer.handle_rest(attempt, time),
        Event::DepartureStated { attempt } => reducer.handle_departure_statement(attempt),
        Event::DepartureTold { instance } => reducer.record_departure(&instance, None),
        Event::PermitAsked { instance, asker } => reducer.handle_permit_ask(instance, asker),
        Event::PermitReceived { instance } => reducer.handle_permit(instance),
        Event::PermitReturned { instance } => reducer.handle_returned_permit(&instance),
        Event::CreditAsked { ask } => reducer.handle_credit_ask(ask),
        Event::CreditReceived { answers } => reducer.handle_credit(answers),
        Event::CreditAskTaken { address, ask } => reducer.handle_taken_ask(address, &ask),
        Event::CreditAskFailed {
            address,
            ask,
            failure,
        } => reducer.handle_failed_ask(address, &ask, failure),
        Event::RunnerChecked { instance, presence } => {
            reducer.handle_runner_check(&instance, presence)
        }
        Event::SettingsReloaded { settings, seeds } => reducer.handle_settings(settings, seeds),
        Event::LoadReported { report } => reducer.handle_load_report(report),
        Event::AdmissionAnswered {
            endpoint,
            admission,
        } => reducer.handle_admission(&endpoint, admission),
        Event::AdmissionTold {
            endpoint,
            admission,
        } => reducer.handle_told_admission(&endpoint, admission),
        Event::MonitorUnresponsive { address, endpoint } => {
            reducer.handle_unresponsive_monitor(address, &endpoint)
        }
        Event::Leave { noticed_after } => reducer.start_leaving(noticed_after),
    }
    reducer.publish_status();
    if reducer.state.policy.allocators {
        reducer.send_claims();
    } else {
        reducer.publish_load();
    }
}

/// The context in which one event is handled: the state, the time, and the effects so far.
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
        self.discount_stall();
        self.tick_calls();
        self.tick_reach();
        self.tick_fleet();
        self.tick_pool();
        self.tick_load();
        self.tick_allocator();
        self.tick_origins();
        self.tick_listing();
        self.tick_crashes();
        self.tick_limits();
        self.tick_caps();
        self.tick_overload();
        self.tick_departures();
        self.tell_news();
        self.tick_leave();
    }
}
