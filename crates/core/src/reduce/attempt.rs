//! What became of attempts, and the end of calls.

use std::sync::Arc;
use std::time::Duration;

use crate::event::{Effect, Failure, KvCache};
use crate::id::{Attempt, Call, Endpoint, Organisation, Runner};
use crate::message::{Answer, Record};
use crate::refusal::{Code, Reason, Refusal};
use crate::state::{End, Phase, Request};
use crate::timeline::{Detail, Draft, Kind};

use super::dispatch::claim;
use super::Step;

/// How long a runner that was full gets no attempt.
const FULL_REST: Duration = Duration::from_millis(50);
/// How long a runner that was lost gets no attempt.
const LOST_REST: Duration = Duration::from_secs(1);

/// `Content-Type` and body of an answer that is small.
type Small = (Arc<str>, Arc<[u8]>);

impl Step<'_> {
    fn call_of(&self, attempt: Attempt) -> Option<Call> {
        let call = *self.state.by_attempt.get(&attempt)?;
        let request = self.state.requests.get(&call)?;
        (request.attempt() == Some(attempt)).then_some(call)
    }

    /// Takes a call out of its attempt and gives back what it held.
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
                self.release(&endpoint, runner);
            }
            Phase::Prefill {
                attempt,
                runner,
                decode,
                ..
            } => {
                self.state.by_attempt.remove(attempt);
                self.release(&endpoint, runner);
                self.release(&endpoint, decode);
            }
            _ => {}
        }
        Some(phase)
    }

    pub(super) fn answered(
        &mut self,
        attempt: Attempt,
        status: u16,
        bytes: usize,
        small: Option<Small>,
    ) {
        let Some(call) = self.call_of(attempt) else {
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
        self.finish(call, End::Answered { status });
    }

    pub(super) fn prefilled(&mut self, attempt: Attempt, kv: KvCache) {
        let Some(call) = self.call_of(attempt) else {
            return;
        };
        let Some(Phase::Prefill {
            runner,
            decode,
            next,
            ..
        }) = self.state.requests.get(&call).map(|r| r.phase.clone())
        else {
            return;
        };
        self.state.by_attempt.remove(&attempt);
        let request = &self.state.requests[&call];
        let (endpoint, key) = (request.endpoint.clone(), request.key);
        self.release(&endpoint, &runner);
        self.note(Draft::new(Kind::Prefilled).request(key).runner(&runner));
        let item = self.state.table.endpoint(&endpoint);
        let held = item
            .and_then(|item| item.runners.iter().find(|r| r.id == decode))
            .cloned();
        match held {
            Some(held) => self.start_decode(call, &held, kv, next),
            None => {
                self.release(&endpoint, &decode);
                self.waste(call);
                self.enqueue(call);
            }
        }
        self.drain_queue(&endpoint);
    }

    /// Counts a prefill whose result was not used.
    fn waste(&mut self, call: Call) {
        if let Some(Request {
            work: crate::event::Work::Model { prompt_tokens, .. },
            ..
        }) = self.state.requests.get(&call)
        {
            self.state.counters.prefill_tokens_wasted += *prompt_tokens;
        }
    }

    /// Passes a token on if it is the next one; a repeat is dropped, and a gap ends the attempt.
    pub(super) fn token(&mut self, attempt: Attempt, position: u64) {
        let Some(call) = self.call_of(attempt) else {
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
            self.effects.push(Effect::Abort { attempt });
            self.failed(attempt, Failure::Lost);
            return;
        }
        request.emitted = position;
        let (key, exchange, after) = (request.key, request.exchange, request.after);
        let attach = exchange.filter(|_| !request.attached);
        request.attached = request.attached || attach.is_some();
        self.state.counters.tokens += 1;
        self.effects.push(Effect::AppendToken { call });
        if position == 1 {
            self.note(Draft::new(Kind::FirstToken).request(key));
        }
        if let Some(exchange) = attach {
            self.emit(Effect::Attach {
                exchange,
                call,
                after,
            });
        }
    }

    pub(super) fn finished(&mut self, attempt: Attempt) {
        let Some(call) = self.call_of(attempt) else {
            return;
        };
        self.end_attempt(call);
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let attach = request.exchange.filter(|_| !request.attached);
        let after = request.after;
        self.emit(Effect::CompleteStream { call });
        if let Some(exchange) = attach {
            self.emit(Effect::Attach {
                exchange,
                call,
                after,
            });
        }
        self.finish(call, End::Answered { status: 200 });
    }

    pub(super) fn failed(&mut self, attempt: Attempt, failure: Failure) {
        let Some(call) = self.call_of(attempt) else {
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
        if failure == Failure::Full {
            request.attempts = request.attempts.saturating_sub(1);
        } else {
            request.tried.push(runner.clone());
        }
        let (key, endpoint) = (request.key, request.endpoint.clone());
        self.note(
            Draft::new(Kind::AttemptFailed)
                .request(key)
                .runner(&runner)
                .detail(Detail::Failure(failure)),
        );
        self.rest_after(&endpoint, &runner, failure);
        match phase {
            Phase::Plain { .. } => self.plain_failed(call, failure),
            Phase::Prefill { .. } => self.model_failed(call, attempt, &runner, failure, false),
            Phase::Decode { kv: Some(kv), .. }
                if failure == Failure::Full && self.redirect_decode(call, kv.clone()) => {}
            _ => self.model_failed(call, attempt, &runner, failure, true),
        }
        self.drain_queue(&endpoint);
    }

    fn rest_after(&mut self, endpoint: &Endpoint, runner: &Runner, failure: Failure) {
        match failure {
            Failure::Full => self.rest(endpoint, runner, FULL_REST),
            Failure::NotWritten | Failure::Lost | Failure::TimedOut => {
                self.rest(endpoint, runner, LOST_REST)
            }
            Failure::Rejected | Failure::KvGone | Failure::TooLarge => {}
        }
    }

    fn plain_failed(&mut self, call: Call, failure: Failure) {
        let request = &self.state.requests[&call];
        let spent = request.attempts >= self.state.settings.attempts_max;
        let safe = request.repeatable || failure == Failure::NotWritten;
        let final_failure = failure == Failure::TooLarge;
        if safe && !spent && !final_failure {
            self.try_dispatch(call);
            return;
        }
        let refusal = match failure {
            Failure::NotWritten => claim(
                Refusal::not_run(Reason::NoRunner),
                request.repeatable && request.attempts > 1,
            ),
            Failure::TimedOut => Refusal::unknown(Reason::RunnerTimeout),
            Failure::TooLarge => Refusal::unknown(Reason::AnswerTooLarge),
            _ => Refusal::unknown(Reason::RunnerLost),
        };
        self.fail(call, refusal);
    }

    fn model_failed(
        &mut self,
        call: Call,
        attempt: Attempt,
        runner: &Runner,
        failure: Failure,
        decoding: bool,
    ) {
        if matches!(failure, Failure::Lost | Failure::TimedOut) {
            self.cancel_at(call, attempt, runner);
        }
        if decoding {
            self.waste(call);
        }
        self.drop_hold(call);
        let request = &self.state.requests[&call];
        let spent =
            request.attempts >= self.state.settings.attempts_max && failure != Failure::Full;
        if request.base > 0 {
            // What the caller has of the answer is not known here, so that it can't be continued.
            self.fail(call, Refusal::unknown(Reason::RunnerLost));
        } else if failure == Failure::Rejected {
            self.fail(
                call,
                claim(Refusal::not_run(Reason::RunnerRefused), request.emitted > 0),
            );
        } else if spent {
            let begun = failure != Failure::NotWritten || decoding || request.emitted > 0;
            self.fail(call, claim(Refusal::not_run(Reason::NoRunner), begun));
        } else {
            self.enqueue(call);
        }
    }

    /// Ends a call without its answer.
    pub(super) fn fail(&mut self, call: Call, refusal: Refusal) {
        self.finish(call, End::Refused(refusal));
    }

    /// Ends a call: tells its caller and its witness, and keeps the record for repeats.
    fn finish(&mut self, call: Call, end: End) {
        self.unqueue(call);
        self.drop_hold(call);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.phase = Phase::Done(end);
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
        match end {
            End::Answered { status } => {
                self.state.counters.answered += 1;
                self.note(
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
            End::Refused(refusal) => {
                if let Some(exchange) = exchange {
                    self.refuse(exchange, Some(key), refusal);
                }
            }
        }
        if let Some(witness) = witness {
            self.owe_outcome(key, witness, record_of(end, answer));
        }
        self.keep_record(call);
        self.drain_queue(&endpoint);
    }

    /// Counts a call against limits.
    pub(super) fn activate(&mut self, call: Call, organisation: Organisation) {
        self.state.active.insert(call);
        *self.state.organisations.entry(organisation).or_default() += 1;
    }

    /// Counts a call against limits no longer.
    pub(super) fn deactivate(&mut self, call: Call, organisation: &Organisation) {
        if !self.state.active.remove(&call) {
            return;
        }
        if let Some(running) = self.state.organisations.get_mut(organisation) {
            *running -= 1;
            if *running == 0 {
                self.state.organisations.remove(organisation);
            }
        }
    }
}

fn record_of(end: End, answer: Option<Arc<Answer>>) -> Record {
    match (end, answer) {
        (End::Answered { .. }, Some(answer)) => Record::Answered(answer),
        (End::Refused(refusal), _) if refusal.code == Code::NotRun => Record::NeverRan,
        _ => Record::Uncertain,
    }
}
