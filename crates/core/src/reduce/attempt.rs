//! Results of attempts, and completion of calls.

use std::sync::Arc;
use std::time::Duration;

use crate::event::{Effect, Failure, KvCache};
use crate::id::{Attempt, Call, Endpoint, Organisation, Runner};
use crate::message::{Answer, Record};
use crate::refusal::{Claim, Reason, Refusal};
use crate::state::{Outcome, Phase, Request};
use crate::timeline::{Detail, Draft, Kind};

use super::dispatch::weaken_if_run;
use super::Reducer;

/// How long a runner gets no attempts after it refused one for lack of capacity.
const FULL_COOLDOWN: Duration = Duration::from_millis(50);
/// How long a runner gets no attempts after one could not be written, was lost, or timed out.
const LOST_COOLDOWN: Duration = Duration::from_secs(1);

/// `Content-Type` and body of an answer that is small enough for the witness to keep.
type SmallAnswer = (Arc<str>, Arc<[u8]>);

impl Reducer<'_> {
    fn find_call(&self, attempt: Attempt) -> Option<Call> {
        let call = *self.state.by_attempt.get(&attempt)?;
        let request = self.state.requests.get(&call)?;
        (request.attempt() == Some(attempt)).then_some(call)
    }

    /// Detaches a call from its attempt and releases the slots that were reserved for it. Returns
    /// the phase that the call was in.
    fn end_attempt(&mut self, call: Call) -> Option<Phase> {
        let request = self.state.requests.get_mut(&call)?;
        let phase = std::mem::replace(&mut request.phase, Phase::Queued);
        let endpoint = request.endpoint.clone();
        match &phase {
            Phase::Plain { attempt, runner }
            | Phase::Decode {
                attempt, runner, ..
            } => {
                self.state.by_attempt.remove(attempt);
                self.release_slot(&endpoint, runner);
            }
            Phase::Prefill {
                attempt,
                runner,
                decode_runner,
                ..
            } => {
                self.state.by_attempt.remove(attempt);
                self.release_slot(&endpoint, runner);
                self.release_slot(&endpoint, decode_runner);
            }
            _ => {}
        }
        Some(phase)
    }

    pub(super) fn handle_answer(
        &mut self,
        attempt: Attempt,
        status: u16,
        bytes: usize,
        small: Option<SmallAnswer>,
    ) {
        let Some(call) = self.find_call(attempt) else {
            return;
        };
        self.end_attempt(call);
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.answer_bytes = bytes;
            let (content_type, body) = small.map_or(("".into(), None), |(content_type, body)| {
                (content_type, Some(body))
            });
            let fingerprint = request.fingerprint;
            request.answer = Some(Arc::new(Answer {
                status,
                fingerprint,
                content_type,
                body,
            }));
        }
        self.emit(Effect::StoreAnswer { call });
        self.finish_call(call, Outcome::Answered { status });
    }

    pub(super) fn handle_prefill(&mut self, attempt: Attempt, kv: KvCache) {
        let Some(call) = self.find_call(attempt) else {
            return;
        };
        let Some(Phase::Prefill {
            runner,
            decode_runner,
            decode_attempt,
            ..
        }) = self.state.requests.get(&call).map(|r| r.phase.clone())
        else {
            return;
        };
        self.state.by_attempt.remove(&attempt);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.may_have_run = true;
        let (endpoint, key) = (request.endpoint.clone(), request.key);
        self.release_slot(&endpoint, &runner);
        self.record_event(Draft::new(Kind::Prefilled).request(key).runner(&runner));
        let item = self.state.table.endpoint(&endpoint);
        let reserved = item
            .and_then(|item| item.runners.iter().find(|r| r.id == decode_runner))
            .cloned();
        match reserved {
            Some(reserved) => self.start_decode(call, &reserved, kv, decode_attempt),
            None => {
                self.release_slot(&endpoint, &decode_runner);
                self.count_wasted_prefill(call);
                self.enqueue(call);
            }
        }
        self.drain_queue(&endpoint);
    }

    /// Counts the prompt tokens of a prefill whose result was not used.
    fn count_wasted_prefill(&mut self, call: Call) {
        if let Some(Request {
            work: crate::event::Work::Model { prompt_tokens, .. },
            ..
        }) = self.state.requests.get(&call)
        {
            self.state.counters.prefill_tokens_wasted += *prompt_tokens;
        }
    }

    /// Appends a token if it is the next one. A duplicate is ignored; a gap ends the attempt, since
    /// tokens were lost.
    pub(super) fn handle_token(&mut self, attempt: Attempt, position: u64) {
        let Some(call) = self.find_call(attempt) else {
            return;
        };
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        let expected = request.emitted + 1;
        if position < expected {
            return;
        }
        if position > expected {
            self.effects.push(Effect::AbortAttempt { attempt });
            self.handle_failure(attempt, Failure::Lost);
            return;
        }
        request.emitted = position;
        let (key, exchange, resume_after) = (request.key, request.exchange, request.resume_after);
        let attach = exchange.filter(|_| !request.attached);
        request.attached = request.attached || attach.is_some();
        self.state.counters.tokens += 1;
        self.effects.push(Effect::AppendToken { call });
        if position == 1 {
            self.record_event(Draft::new(Kind::FirstToken).request(key));
        }
        if let Some(exchange) = attach {
            self.emit(Effect::Attach {
                exchange,
                call,
                resume_after,
            });
        }
    }

    pub(super) fn handle_finish(&mut self, attempt: Attempt) {
        let Some(call) = self.find_call(attempt) else {
            return;
        };
        self.end_attempt(call);
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let attach = request.exchange.filter(|_| !request.attached);
        let resume_after = request.resume_after;
        self.emit(Effect::CompleteStream { call });
        if let Some(exchange) = attach {
            self.emit(Effect::Attach {
                exchange,
                call,
                resume_after,
            });
        }
        self.finish_call(call, Outcome::Answered { status: 200 });
    }

    pub(super) fn handle_failure(&mut self, attempt: Attempt, failure: Failure) {
        let Some(call) = self.find_call(attempt) else {
            return;
        };
        let Some(phase) = self.end_attempt(call) else {
            return;
        };
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        let runner = match &phase {
            Phase::Plain { runner, .. }
            | Phase::Prefill { runner, .. }
            | Phase::Decode { runner, .. } => runner.clone(),
            _ => return,
        };
        request.may_have_run |= may_have_run(failure);
        let was_counted = !matches!(phase, Phase::Decode { kv: Some(_), .. });
        if failure != Failure::Full {
            request.failed_runners.push(runner.clone());
        } else if was_counted {
            request.attempts = request.attempts.saturating_sub(1);
        }
        let (key, endpoint) = (request.key, request.endpoint.clone());
        self.record_event(
            Draft::new(Kind::AttemptFailed)
                .request(key)
                .runner(&runner)
                .detail(Detail::Failure(failure)),
        );
        self.cool_down_after(&endpoint, &runner, failure);
        match phase {
            Phase::Plain { .. } => self.handle_plain_failure(call, failure),
            Phase::Prefill { .. } => {
                self.handle_model_failure(call, attempt, &runner, failure, false)
            }
            Phase::Decode { kv: Some(kv), .. }
                if failure == Failure::Full && self.redirect_decode(call, kv.clone()) => {}
            _ => self.handle_model_failure(call, attempt, &runner, failure, true),
        }
        self.drain_queue(&endpoint);
    }

    fn cool_down_after(&mut self, endpoint: &Endpoint, runner: &Runner, failure: Failure) {
        match failure {
            Failure::Full => self.cool_down(endpoint, runner, FULL_COOLDOWN),
            Failure::NotWritten | Failure::Lost | Failure::TimedOut => {
                self.cool_down(endpoint, runner, LOST_COOLDOWN)
            }
            Failure::Rejected | Failure::KvGone | Failure::TooLarge => {}
        }
    }

    fn handle_plain_failure(&mut self, call: Call, failure: Failure) {
        let request = &self.state.requests[&call];
        let is_exhausted = request.attempts >= self.state.settings.attempts_max;
        let is_safe = request.repeatable || failure == Failure::NotWritten;
        let is_final = failure == Failure::TooLarge;
        if is_safe && !is_exhausted && !is_final {
            self.try_dispatch(call);
            return;
        }
        let refusal = match failure {
            Failure::NotWritten => {
                weaken_if_run(Refusal::not_run(Reason::NoRunner), request.may_have_run)
            }
            Failure::TimedOut => Refusal::unknown(Reason::RunnerTimeout),
            Failure::TooLarge => Refusal::unknown(Reason::AnswerTooLarge),
            _ => Refusal::unknown(Reason::RunnerLost),
        };
        self.fail_call(call, refusal);
    }

    fn handle_model_failure(
        &mut self,
        call: Call,
        attempt: Attempt,
        runner: &Runner,
        failure: Failure,
        is_decode: bool,
    ) {
        if matches!(failure, Failure::Lost | Failure::TimedOut) {
            self.cancel_attempt(call, attempt, runner);
        }
        if is_decode {
            self.count_wasted_prefill(call);
        }
        self.clear_stream(call);
        let request = &self.state.requests[&call];
        let is_exhausted =
            request.attempts >= self.state.settings.attempts_max && failure != Failure::Full;
        if request.base > 0 {
            // The caller has tokens from an earlier process that are not known here, so the answer
            // can't be continued on another runner.
            self.fail_call(call, Refusal::unknown(Reason::RunnerLost));
        } else if failure == Failure::Rejected {
            self.fail_call(
                call,
                weaken_if_run(
                    Refusal::not_run(Reason::RunnerRefused),
                    request.may_have_run,
                ),
            );
        } else if is_exhausted {
            let refusal = Refusal::not_run(Reason::NoRunner);
            self.fail_call(call, weaken_if_run(refusal, request.may_have_run));
        } else {
            self.enqueue(call);
        }
    }

    /// Ends a call with a refusal.
    pub(super) fn fail_call(&mut self, call: Call, refusal: Refusal) {
        let request = self.state.requests.get(&call);
        let refusal = match request.filter(|request| request.id_from_caller) {
            Some(request) => self.weaken_if_leaving(refusal, &request.endpoint, &request.work),
            None => refusal,
        };
        self.finish_call(call, Outcome::Refused(refusal));
    }

    /// Ends a call: responds to its caller, reports the outcome to its witness, and keeps the
    /// record for repeats of the id.
    fn finish_call(&mut self, call: Call, outcome: Outcome) {
        self.dequeue(call);
        self.clear_stream(call);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.phase = Phase::Done(outcome);
        let (exchange, key, endpoint) = (
            request.exchange.take(),
            request.key,
            request.endpoint.clone(),
        );
        let (organisation, is_model) = (request.organisation.clone(), request.is_model());
        let needs_witness = !request.repeatable;
        let witness = request.witness.filter(|_| needs_witness);
        let answer = request.answer.take();
        self.deactivate(call, &organisation);
        if let Some(exchange) = exchange {
            self.state.by_exchange.remove(&exchange);
        }
        match outcome {
            Outcome::Answered { status } => {
                self.state.counters.answered += 1;
                self.record_event(
                    Draft::new(Kind::Answered)
                        .request(key)
                        .detail(Detail::Status(status)),
                );
                if let Some(exchange) = exchange.filter(|_| !is_model) {
                    self.emit(Effect::Answer {
                        exchange,
                        call,
                        replay: false,
                    });
                }
            }
            Outcome::Refused(refusal) => {
                if let Some(exchange) = exchange {
                    self.refuse(exchange, Some(key), refusal);
                }
            }
        }
        if let Some(witness) = witness {
            self.send_outcome(key, witness, outcome_record(outcome, answer));
        }
        self.keep_record(call);
        self.drain_queue(&endpoint);
    }

    /// Marks a call as active, so that it counts against the limits.
    pub(super) fn activate(&mut self, call: Call, organisation: Organisation) {
        self.state.active.insert(call);
        *self
            .state
            .active_by_organisation
            .entry(organisation)
            .or_default() += 1;
    }

    /// Marks a call as inactive, so that it no longer counts against the limits.
    pub(super) fn deactivate(&mut self, call: Call, organisation: &Organisation) {
        if !self.state.active.remove(&call) {
            return;
        }
        if let Some(running) = self.state.active_by_organisation.get_mut(organisation) {
            *running -= 1;
            if *running == 0 {
                self.state.active_by_organisation.remove(organisation);
            }
        }
    }
}

/// Whether an attempt that ended with this failure may have been executed, at least in part.
fn may_have_run(failure: Failure) -> bool {
    match failure {
        Failure::NotWritten | Failure::Full | Failure::KvGone | Failure::Rejected => false,
        Failure::Lost | Failure::TimedOut | Failure::TooLarge => true,
    }
}

fn outcome_record(outcome: Outcome, answer: Option<Arc<Answer>>) -> Record {
    match (outcome, answer) {
        (Outcome::Answered { .. }, Some(answer)) => Record::Answered(answer),
        (Outcome::Refused(refusal), _) if refusal.claim == Claim::NotRun => Record::NeverRan,
        _ => Record::Uncertain,
    }
}
