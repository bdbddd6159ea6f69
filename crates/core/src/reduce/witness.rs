//! The protocol between owner and witness: intents, outcomes and seals.

use std::sync::Arc;
use std::time::Duration;

use crate::event::Effect;
use crate::id::{Call, Exchange, Incarnation, Key};
use crate::message::{Answer, Message, Record};
use crate::refusal::{Reason, Refusal};
use crate::state::{PendingOutcome, PendingSeal, Phase, RemoteRequest, WitnessRecord};
use crate::timeline::{Draft, Kind};
use crate::token::Instance;

use super::Reducer;

/// Time after which an unacknowledged intent is resent, on every tick from then on.
const INTENT_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Reducer<'_> {
    /// As witness: grants an intent unless the id is sealed or has expired, the call has ended, the
    /// intent is addressed to another incarnation, or there is no capacity for the record.
    pub(super) fn handle_intent(
        &mut self,
        from: Instance,
        key: Key,
        witness: Incarnation,
        expiry: Duration,
    ) {
        let granted = self.grant_intent(key, witness, expiry);
        if granted {
            self.record_event(Draft::new(Kind::Witnessed).request(key));
        }
        self.send(from.vm, Message::IntentAck { key, granted });
    }

    fn grant_intent(&mut self, key: Key, witness: Incarnation, expiry: Duration) -> bool {
        if witness != self.state.instance.incarnation || self.is_expired(expiry) {
            return false;
        }
        match self.witness_record(key) {
            Some(witnessed) => witnessed.record == Record::Intent,
            None => self.store_witness_record(key, Record::Intent, expiry),
        }
    }

    /// Stores a record; returns whether there was capacity for it.
    fn store_witness_record(&mut self, key: Key, record: Record, expiry: Duration) -> bool {
        let has_capacity = self.state.witness_records.len() < self.state.settings.witness_max;
        if has_capacity {
            self.state
                .witness_records
                .insert(key, WitnessRecord { record, expiry });
        }
        has_capacity
    }

    /// As owner: dispatches the call once the witness has recorded the intent.
    pub(super) fn handle_intent_ack(&mut self, from: Instance, key: Key, granted: bool) {
        let Some(&call) = self.state.by_key.get(&key) else {
            return;
        };
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        let is_awaited =
            matches!(request.phase, Phase::AwaitingIntent { .. }) && request.witness == Some(from);
        if !is_awaited {
            return;
        }
        if !granted {
            self.fail_call(call, Refusal::not_run(Reason::Sealed));
            return;
        }
        request.phase = Phase::Queued;
        self.record_event(Draft::new(Kind::IntentRecorded).request(key));
        self.try_dispatch(call);
    }

    /// As witness: records the outcome of a call whose intent it granted.
    pub(super) fn handle_outcome(&mut self, from: Instance, key: Key, record: Record) {
        match self.state.witness_records.get_mut(&key) {
            Some(witnessed) if witnessed.record != Record::Sealed => witnessed.record = record,
            _ => {}
        }
        self.send(from.vm, Message::OutcomeAck { key });
    }

    /// As owner: sends the outcome to the witness and retries it until it is acknowledged or
    /// `Settings::retry_window` has passed.
    pub(super) fn send_outcome(&mut self, key: Key, witness: Instance, record: Record) {
        let up = self.now.up;
        self.state.pending_outcomes.insert(
            key,
            PendingOutcome {
                witness,
                record: record.clone(),
                ended_at: up,
                last_sent_at: up,
            },
        );
        self.send(witness.vm, Message::Outcome { key, record });
    }

    pub(super) fn handle_outcome_ack(&mut self, key: Key) {
        self.state.pending_outcomes.remove(&key);
    }

    /// Asks the witness for the outcome of a call whose owner can't be reached, and to seal the id
    /// if it has no record.
    pub(super) fn request_seal(&mut self, remote: &RemoteRequest) {
        let (exchange, key, token) = (remote.arrival.exchange, remote.key, remote.token);
        let conclusive = self.is_seal_conclusive(&remote.arrival, &token);
        let Some(witness) = token.witness else {
            self.refuse(
                exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerUnreachable),
            );
            return;
        };
        let pending = PendingSeal {
            exchange,
            id: remote.id.clone(),
            key,
            fingerprint: remote.arrival.fingerprint,
            conclusive,
            witness,
            expiry: token.expiry,
            started_at: self.now.up,
            last_sent_at: self.now.up,
        };
        if witness == self.state.instance {
            let record = self.seal_locally(key, witness.incarnation, token.expiry);
            self.answer_sealed(&pending, record);
            return;
        }
        let is_known = self
            .state
            .members
            .get(witness.vm)
            .is_some_and(|member| member.instance() == witness);
        if !is_known {
            self.refuse(
                exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerUnreachable),
            );
            return;
        }
        self.send_seal(&pending);
        self.state.pending_seals.insert(exchange, pending);
    }

    fn send_seal(&mut self, pending: &PendingSeal) {
        let message = Message::Seal {
            key: pending.key,
            witness: pending.witness.incarnation,
            expiry: pending.expiry,
        };
        self.send(pending.witness.vm, message);
    }

    /// As witness: seals an id that has no record, and replies with the record that it holds.
    pub(super) fn handle_seal(
        &mut self,
        from: Instance,
        key: Key,
        witness: Incarnation,
        expiry: Duration,
    ) {
        let record = self.seal_locally(key, witness, expiry);
        self.send(from.vm, Message::SealAck { key, record });
    }

    fn seal_locally(&mut self, key: Key, witness: Incarnation, expiry: Duration) -> Option<Record> {
        if witness != self.state.instance.incarnation {
            return None;
        }
        if let Some(witnessed) = self.witness_record(key) {
            return Some(witnessed.record);
        }
        // The record of an expired id may have been removed, so its absence proves nothing.
        if self.is_expired(expiry) || !self.store_witness_record(key, Record::Sealed, expiry) {
            return None;
        }
        self.record_event(Draft::new(Kind::SealedHere).request(key));
        Some(Record::Sealed)
    }

    pub(super) fn handle_seal_ack(&mut self, from: Instance, key: Key, record: Option<Record>) {
        let acknowledged = self
            .state
            .pending_seals
            .values()
            .filter(|pending| pending.key == key && pending.witness == from);
        let exchanges: Vec<Exchange> = acknowledged.map(|pending| pending.exchange).collect();
        for exchange in exchanges {
            if let Some(pending) = self.state.pending_seals.remove(&exchange) {
                self.answer_sealed(&pending, record.clone());
            }
        }
    }

    /// Answers a caller according to the witness's record.
    fn answer_sealed(&mut self, pending: &PendingSeal, record: Option<Record>) {
        let refusal = match record {
            Some(Record::Answered(answer)) => {
                self.replay_witnessed_answer(pending, answer);
                return;
            }
            Some(Record::Sealed | Record::NeverRan) if pending.conclusive => {
                Refusal::not_run(Reason::Sealed)
            }
            Some(Record::Uncertain) => Refusal::unknown(Reason::RunnerLost),
            _ => Refusal::unknown(Reason::OwnerUnreachable),
        };
        self.refuse(pending.exchange, Some(pending.key), refusal);
    }

    /// Responds with the answer that the witness has, if it has the body.
    fn replay_witnessed_answer(&mut self, pending: &PendingSeal, answer: Arc<Answer>) {
        let key = Some(pending.key);
        if answer.fingerprint != pending.fingerprint {
            self.refuse(pending.exchange, key, Refusal::unknown(Reason::IdReused));
        } else if answer.body.is_none() {
            self.refuse(
                pending.exchange,
                key,
                Refusal::unknown(Reason::AnswerDropped),
            );
        } else {
            self.state.counters.repeated += 1;
            self.record_event(Draft::new(Kind::Repeated).request(pending.key));
            self.emit(Effect::ReplayWitnessed {
                exchange: pending.exchange,
                id: pending.id.clone(),
                answer,
            });
        }
    }

    pub(super) fn tick_witness(&mut self) {
        self.tick_intents();
        self.tick_seals();
        self.tick_outcomes();
    }

    fn tick_intents(&mut self) {
        let up = self.now.up;
        let waiting: Vec<(Call, Duration)> = self
            .state
            .active_requests()
            .filter_map(|(call, request)| match request.phase {
                Phase::AwaitingIntent { sent_at } => Some((call, sent_at)),
                _ => None,
            })
            .collect();
        for (call, sent_at) in waiting {
            if up >= sent_at + self.state.settings.intent_timeout {
                self.fail_call(
                    call,
                    Refusal::not_run(Reason::WitnessUnreachable).retry_after(Duration::ZERO),
                );
            } else if up >= sent_at + INTENT_RETRY_DELAY {
                self.send_intent(call);
            }
        }
    }

    fn tick_seals(&mut self) {
        let up = self.now.up;
        let pending_seals: Vec<PendingSeal> = self.state.pending_seals.values().cloned().collect();
        for mut pending in pending_seals {
            if up >= pending.started_at + self.state.settings.seal_timeout {
                self.state.pending_seals.remove(&pending.exchange);
                self.refuse(
                    pending.exchange,
                    Some(pending.key),
                    Refusal::unknown(Reason::OwnerUnreachable),
                );
            } else if up >= pending.last_sent_at + self.state.settings.retry_interval {
                pending.last_sent_at = up;
                self.send_seal(&pending);
                self.state.pending_seals.insert(pending.exchange, pending);
            }
        }
    }

    fn tick_outcomes(&mut self) {
        let up = self.now.up;
        let (interval, window) = (
            self.state.settings.retry_interval,
            self.state.settings.retry_window,
        );
        self.state
            .pending_outcomes
            .retain(|_, outcome| up < outcome.ended_at + window);
        let due: Vec<(Key, PendingOutcome)> = self
            .state
            .pending_outcomes
            .iter()
            .filter(|(_, outcome)| up >= outcome.last_sent_at + interval)
            .map(|(key, outcome)| (*key, outcome.clone()))
            .collect();
        for (key, outcome) in due {
            let record = outcome.record.clone();
            let witness = outcome.witness.vm;
            self.state.pending_outcomes.insert(
                key,
                PendingOutcome {
                    last_sent_at: up,
                    ..outcome
                },
            );
            self.send(witness, Message::Outcome { key, record });
        }
    }
}
