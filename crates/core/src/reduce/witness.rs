//! The hand-over record between owner and witness: intents, outcomes and seals.

use std::sync::Arc;
use std::time::Duration;

use crate::event::Effect;
use crate::id::{Call, Exchange, Incarnation, Key};
use crate::message::{Answer, Message, Record};
use crate::refusal::{Reason, Refusal};
use crate::state::{PendingOutcome, PendingSeal, Phase, RemoteRequest, Witnessed};
use crate::timeline::{Kind, Note};
use crate::token::Seat;

use super::Step;

/// Interval at which an unacknowledged intent is sent again.
const INTENT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Step<'_> {
    /// As witness: clears an owner for dispatch unless the id is sealed or ended.
    pub(super) fn handle_intent(
        &mut self,
        from: Seat,
        key: Key,
        witness: Incarnation,
        expiry: Duration,
    ) {
        let granted = self.grant_intent(key, witness, expiry);
        if granted {
            self.record_event(Note::new(Kind::Witnessed).request(key));
        }
        self.send(from.vm, Message::IntentAck { key, granted });
    }

    fn grant_intent(&mut self, key: Key, witness: Incarnation, expiry: Duration) -> bool {
        if witness != self.state.seat.incarnation || self.is_expired(expiry) {
            return false;
        }
        match self.witness_record(key) {
            Some(witnessed) => witnessed.record == Record::Intent,
            None => self.store_witness_record(key, Record::Intent, expiry),
        }
    }

    /// Keeps a record; tells whether there was room.
    fn store_witness_record(&mut self, key: Key, record: Record, expiry: Duration) -> bool {
        let room = self.state.witnessed.len() < self.state.settings.witness_max;
        if room {
            self.state
                .witnessed
                .insert(key, Witnessed { record, expiry });
        }
        room
    }

    /// As owner: dispatches once the witness has the intent.
    pub(super) fn handle_intent_ack(&mut self, from: Seat, key: Key, granted: bool) {
        let Some(&call) = self.state.by_key.get(&key) else {
            return;
        };
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        let awaited =
            matches!(request.phase, Phase::AwaitingIntent { .. }) && request.witness == Some(from);
        if !awaited {
            return;
        }
        if !granted {
            self.fail_call(call, Refusal::not_run(Reason::Sealed));
            return;
        }
        request.phase = Phase::Queued;
        self.record_event(Note::new(Kind::IntentRecorded).request(key));
        self.try_dispatch(call);
    }

    /// As witness: takes the outcome of a call that it cleared.
    pub(super) fn handle_outcome(&mut self, from: Seat, key: Key, record: Record) {
        match self.state.witnessed.get_mut(&key) {
            Some(witnessed) if witnessed.record != Record::Sealed => witnessed.record = record,
            _ => {}
        }
        self.send(from.vm, Message::OutcomeAck { key });
    }

    /// As owner: owes the witness the outcome until it is acknowledged.
    pub(super) fn send_outcome(&mut self, key: Key, witness: Seat, record: Record) {
        let up = self.now.up;
        self.state.owed.insert(
            key,
            PendingOutcome {
                witness,
                record: record.clone(),
                since: up,
                sent: up,
            },
        );
        self.send(witness.vm, Message::Outcome { key, record });
    }

    pub(super) fn handle_outcome_ack(&mut self, key: Key) {
        self.state.owed.remove(&key);
    }

    /// Finds out from the witness what became of an id whose owner can't be asked.
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
        let wait = PendingSeal {
            exchange,
            id: remote.id.clone(),
            key,
            fingerprint: remote.arrival.fingerprint,
            conclusive,
            witness,
            expiry: token.expiry,
            since: self.now.up,
            sent: self.now.up,
        };
        if witness == self.state.seat {
            let record = self.seal_locally(key, witness.incarnation, token.expiry);
            self.answer_sealed(&wait, record);
            return;
        }
        let known = self
            .state
            .roster
            .get(witness.vm)
            .is_some_and(|member| member.seat() == witness);
        if !known {
            self.refuse(
                exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerUnreachable),
            );
            return;
        }
        self.send_seal(&wait);
        self.state.seals.insert(exchange, wait);
    }

    fn send_seal(&mut self, wait: &PendingSeal) {
        let message = Message::Seal {
            key: wait.key,
            witness: wait.witness.incarnation,
            expiry: wait.expiry,
        };
        self.send(wait.witness.vm, message);
    }

    /// As witness: seals an id that has no intent, and says what is held.
    pub(super) fn handle_seal(
        &mut self,
        from: Seat,
        key: Key,
        witness: Incarnation,
        expiry: Duration,
    ) {
        let record = self.seal_locally(key, witness, expiry);
        self.send(from.vm, Message::SealAck { key, record });
    }

    fn seal_locally(&mut self, key: Key, witness: Incarnation, expiry: Duration) -> Option<Record> {
        if witness != self.state.seat.incarnation {
            return None;
        }
        if let Some(witnessed) = self.witness_record(key) {
            return Some(witnessed.record);
        }
        // Past its life a record may have been dropped, so its absence proves nothing.
        if self.is_expired(expiry) || !self.store_witness_record(key, Record::Sealed, expiry) {
            return None;
        }
        self.record_event(Note::new(Kind::SealedHere).request(key));
        Some(Record::Sealed)
    }

    pub(super) fn handle_seal_ack(&mut self, from: Seat, key: Key, record: Option<Record>) {
        let waiting = self
            .state
            .seals
            .values()
            .filter(|wait| wait.key == key && wait.witness == from);
        let exchanges: Vec<Exchange> = waiting.map(|wait| wait.exchange).collect();
        for exchange in exchanges {
            if let Some(wait) = self.state.seals.remove(&exchange) {
                self.answer_sealed(&wait, record.clone());
            }
        }
    }

    /// Tells a caller what the witness's record proves.
    fn answer_sealed(&mut self, wait: &PendingSeal, record: Option<Record>) {
        let refusal = match record {
            Some(Record::Answered(answer)) => {
                self.give_witnessed_answer(wait, answer);
                return;
            }
            Some(Record::Sealed | Record::NeverRan) if wait.conclusive => {
                Refusal::not_run(Reason::Sealed)
            }
            Some(Record::Uncertain) => Refusal::unknown(Reason::RunnerLost),
            _ => Refusal::unknown(Reason::OwnerUnreachable),
        };
        self.refuse(wait.exchange, Some(wait.key), refusal);
    }

    /// Gives the answer that the witness has, if it has the whole of it.
    fn give_witnessed_answer(&mut self, wait: &PendingSeal, answer: Arc<Answer>) {
        let key = Some(wait.key);
        if answer.fingerprint != wait.fingerprint {
            self.refuse(wait.exchange, key, Refusal::unknown(Reason::IdReused));
        } else if answer.body.is_none() {
            self.refuse(wait.exchange, key, Refusal::unknown(Reason::AnswerDropped));
        } else {
            self.state.counters.repeated += 1;
            self.record_event(Note::new(Kind::Repeated).request(wait.key));
            self.emit(Effect::Give {
                exchange: wait.exchange,
                id: wait.id.clone(),
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
                Phase::AwaitingIntent { since } => Some((call, since)),
                _ => None,
            })
            .collect();
        for (call, since) in waiting {
            if up >= since + self.state.settings.intent_timeout {
                self.fail_call(
                    call,
                    Refusal::not_run(Reason::WitnessUnreachable).retry_after(Duration::ZERO),
                );
            } else if up >= since + INTENT_RETRY_INTERVAL {
                self.send_intent(call);
            }
        }
    }

    fn tick_seals(&mut self) {
        let up = self.now.up;
        let waits: Vec<PendingSeal> = self.state.seals.values().cloned().collect();
        for mut wait in waits {
            if up >= wait.since + self.state.settings.seal_timeout {
                self.state.seals.remove(&wait.exchange);
                self.refuse(
                    wait.exchange,
                    Some(wait.key),
                    Refusal::unknown(Reason::OwnerUnreachable),
                );
            } else if up >= wait.sent + self.state.settings.retry_interval {
                wait.sent = up;
                self.send_seal(&wait);
                self.state.seals.insert(wait.exchange, wait);
            }
        }
    }

    fn tick_outcomes(&mut self) {
        let up = self.now.up;
        let (interval, give_up) = (
            self.state.settings.retry_interval,
            self.state.settings.retry_for,
        );
        self.state.owed.retain(|_, owed| up < owed.since + give_up);
        let due: Vec<(Key, PendingOutcome)> = self
            .state
            .owed
            .iter()
            .filter(|(_, owed)| up >= owed.sent + interval)
            .map(|(key, owed)| (*key, owed.clone()))
            .collect();
        for (key, owed) in due {
            let record = owed.record.clone();
            let witness = owed.witness.vm;
            self.state
                .owed
                .insert(key, PendingOutcome { sent: up, ..owed });
            self.send(witness, Message::Outcome { key, record });
        }
    }
}
