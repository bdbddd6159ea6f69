//! Performs the reducer's effects.

use std::rc::Rc;

use bytes::Bytes;
use hornbeamtiller_core::event::{Effect, Event, Now};
use hornbeamtiller_core::id::{Call, Exchange};
use hornbeamtiller_core::message::Answer;
use hornbeamtiller_core::timeline::Kind;
use hornbeamtiller_http::cancel;

use super::{CallRecord, Decision, Driver, ServiceResponse};
use crate::{attempt, platform, stream};

impl Driver {
    pub(super) fn perform(&self, effect: Effect, now: Now) {
        match effect {
            Effect::Entries {
                exchange,
                entries,
                max_age,
            } => self.send_decision(exchange, Decision::Entries { entries, max_age }),
            Effect::RetainRequest {
                exchange,
                call,
                id,
                base,
            } => self.insert_call(exchange, call, &id, base),
            Effect::ReleaseCall { call } => _ = self.0.calls.borrow_mut().remove(&call),
            Effect::ReplayWitnessed {
                exchange,
                id,
                answer,
            } => self.replay_witnessed(exchange, &id, &answer),
            Effect::StoreAnswer { call } => self.store_response(call),
            Effect::Answer {
                exchange,
                call,
                replay,
            } => self.send_response(exchange, call, replay),
            Effect::Refuse {
                exchange,
                refusal,
                elsewhere,
            } => {
                self.send_decision(exchange, Decision::Refused { refusal, elsewhere });
            }
            Effect::Attach {
                exchange,
                call,
                resume_after,
            } => self.attach(exchange, call, resume_after),
            Effect::Forward {
                exchange, address, ..
            } => self.send_decision(exchange, Decision::Forward { address }),
            Effect::Dispatch { .. } => self.start_attempt(effect),
            Effect::AbortAttempt { attempt } => _ = self.0.attempts.borrow_mut().remove(&attempt),
            Effect::AppendToken { call } => self.append_token(call),
            Effect::CompleteStream { call } => {
                self.with_call(call, |record| record.buffer.borrow_mut().complete());
            }
            Effect::Cancel {
                cancel,
                address,
                request,
            } => {
                monoio::spawn(attempt::cancel_request(
                    self.clone(),
                    cancel,
                    address,
                    request,
                ));
            }
            Effect::Send {
                to,
                address,
                message,
            } => self.0.links.send(self, to, address, message),
            Effect::Read(read) => {
                monoio::spawn(platform::read(self.clone(), read));
            }
            Effect::AppendTimeline(draft) => self.record_timeline(draft, now),
            Effect::Exit => self.0.exited.set(true),
        }
    }

    fn insert_call(&self, exchange: Exchange, call: Call, id: &str, base: u64) {
        let mut exchanges = self.0.exchanges.borrow_mut();
        let Some(caller_request) = exchanges
            .get_mut(&exchange)
            .and_then(|state| state.caller_request.clone())
        else {
            return;
        };
        let accepted_at = self.now().up;
        let record = CallRecord {
            caller_request,
            id: id.into(),
            response: None,
            buffer: stream::Buffer::with_offset(base),
            accepted_at,
            last_token_at: accepted_at,
        };
        self.0.calls.borrow_mut().insert(call, record);
    }

    /// Sends a response that a witness has kept.
    fn replay_witnessed(&self, exchange: Exchange, id: &str, answer: &Answer) {
        let mut headers = http::HeaderMap::new();
        if let Ok(content_type) = http::HeaderValue::from_str(&answer.content_type) {
            headers.insert(http::header::CONTENT_TYPE, content_type);
        }
        let status = http::StatusCode::from_u16(answer.status).unwrap_or_default();
        let body = answer
            .body
            .as_deref()
            .map(Bytes::copy_from_slice)
            .unwrap_or_default();
        let response = Rc::new(ServiceResponse {
            status,
            headers,
            body,
        });
        self.send_decision(
            exchange,
            Decision::Response {
                response,
                id: id.into(),
                replay: true,
            },
        );
    }

    /// Sends a plain service's stored response.
    fn send_response(&self, exchange: Exchange, call: Call, replay: bool) {
        let found = self.with_call(call, |record| (record.response.clone(), record.id.clone()));
        if let Some((Some(response), id)) = found {
            self.send_decision(
                exchange,
                Decision::Response {
                    response,
                    id,
                    replay,
                },
            );
        }
    }

    /// Stores the response whose event is being reduced.
    fn store_response(&self, call: Call) {
        let Some(response) = self.0.current_response.take() else {
            return;
        };
        if let Some(record) = self.0.calls.borrow_mut().get_mut(&call) {
            record.response = Some(response);
        }
    }

    fn attach(&self, exchange: Exchange, call: Call, resume_after: u64) {
        let found = self.with_call(call, |record| (record.buffer.clone(), record.id.clone()));
        if let Some((buffer, id)) = found {
            self.send_decision(
                exchange,
                Decision::Stream {
                    buffer,
                    id,
                    resume_after,
                },
            );
        }
    }

    fn append_token(&self, call: Call) {
        let Some(token) = self.0.current_token.take() else {
            return;
        };
        let up = self.now().up;
        if let Some(record) = self.0.calls.borrow_mut().get_mut(&call) {
            self.0.metrics.observe_token(record, up);
            record.last_token_at = up;
            record.buffer.borrow_mut().append(token);
        }
    }

    fn start_attempt(&self, effect: Effect) {
        let Effect::Dispatch { attempt, call, .. } = &effect else {
            return;
        };
        let (attempt, call) = (*attempt, *call);
        let Some(job) = self
            .with_call(call, |record| attempt::Job::new(&effect, record))
            .flatten()
        else {
            return;
        };
        let (abort_guard, aborted) = cancel::Guard::new();
        self.0.attempts.borrow_mut().insert(attempt, abort_guard);
        monoio::spawn(attempt::run(self.clone(), job, aborted));
    }

    fn record_timeline(&self, draft: hornbeamtiller_core::timeline::Draft, now: Now) {
        if matches!(
            draft.kind,
            Kind::Started
                | Kind::MemberDown
                | Kind::LeaveStarted
                | Kind::WokeLate
                | Kind::TicketRefused
        ) {
            let subject = draft
                .subject
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default();
            log::info!(vm = self.0.settings.flags.vm; "{} {subject}", draft.kind);
        }
        let stamp = self.0.stamp_clock.borrow_mut().stamp(now.unix);
        self.0.timeline.borrow_mut().push(stamp, draft);
    }

    /// Records the start on the time line and applies the first tick.
    pub fn start(&self) {
        let now = self.now();
        self.record_timeline(
            hornbeamtiller_core::timeline::Draft::new(Kind::Started),
            now,
        );
        self.apply(Event::Tick);
    }
}
