//! Retention and eviction of the records of ended calls.

use crate::event::Effect;
use crate::id::{Call, Key};
use crate::refusal::{Reason, Refusal};
use crate::state::{Outcome, Phase};

use super::{Reducer, EXPIRY_SLACK};

impl Reducer<'_> {
    /// Keeps the record of an ended call for repeats of its id, and evicts the oldest answers when
    /// their size exceeds the limit.
    ///
    /// No record is needed for a call that may be repeated and whose id was not supplied by the
    /// caller.
    pub(super) fn keep_record(&mut self, call: Call) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        if request.repeatable && !request.id_from_caller && !request.is_model() {
            self.drop_record(call);
            return;
        }
        self.state.answer_bytes += request.answer_bytes;
        self.state.kept_answers.push_back(call);
        while self.state.answer_bytes > self.state.settings.answer_bytes_max {
            let Some(oldest) = self.state.kept_answers.pop_front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    /// Evicts a kept answer. The rest of the call's record stays.
    fn drop_answer(&mut self, call: Call) {
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        self.state.answer_bytes -= request.answer_bytes;
        request.answer_bytes = 0;
        if matches!(request.phase, Phase::Done(Outcome::Answered { .. })) {
            request.phase = Phase::Done(Outcome::Refused(Refusal::unknown(Reason::AnswerDropped)));
        }
        self.emit(Effect::ReleaseCall { call });
    }

    /// Removes a call's record and everything that is kept for it.
    pub(super) fn drop_record(&mut self, call: Call) {
        let Some(request) = self.state.requests.remove(&call) else {
            return;
        };
        self.state.by_key.remove(&request.key);
        if request.is_done() {
            self.state.answer_bytes -= request.answer_bytes.min(self.state.answer_bytes);
        }
        self.emit(Effect::ReleaseCall { call });
    }

    /// Removes expired records. Calls in progress stay.
    pub(super) fn sweep(&mut self) {
        let unix = self.now.unix;
        let is_past = |expiry: std::time::Duration| unix > expiry + EXPIRY_SLACK;
        let calls: Vec<Call> = self
            .state
            .requests
            .iter()
            .filter(|(_, request)| !request.is_active() && is_past(request.expiry))
            .map(|(call, _)| *call)
            .collect();
        calls.into_iter().for_each(|call| self.drop_record(call));
        let requests = &self.state.requests;
        self.state
            .kept_answers
            .retain(|call| requests.contains_key(call));
        self.state
            .tombstones
            .retain(|_, tombstone| !is_past(tombstone.expiry));
        self.state
            .witnessed_streams
            .retain(|_, witnessed| !is_past(witnessed.expiry));
        self.state
            .witness_records
            .retain(|_, witnessed| !is_past(witnessed.expiry));
    }

    /// Returns whether a witness record has expired.
    pub(super) fn is_expired(&self, expiry: std::time::Duration) -> bool {
        self.now.unix >= expiry
    }

    /// Returns the record that this process holds as witness for an id.
    pub(super) fn witness_record(&self, key: Key) -> Option<crate::state::WitnessRecord> {
        self.state.witness_records.get(&key).cloned()
    }
}
