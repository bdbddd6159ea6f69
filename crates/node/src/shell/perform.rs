//! What each effect means in sockets and memory.

use std::rc::Rc;

use bytes::Bytes;
use hornbeamtiller_core::event::{Effect, Event, Now};
use hornbeamtiller_core::id::{Call, Exchange};
use hornbeamtiller_core::message::Answer;
use hornbeamtiller_core::timeline::Kind;
use hornbeamtiller_http::cancel;

use super::{Kept, Shell, Verdict, Whole};
use crate::{attempt, platform, stream};

impl Shell {
    pub(super) fn perform(&self, effect: Effect, now: Now) {
        match effect {
            Effect::Entries {
                exchange,
                entries,
                max_age,
            } => self.tell(exchange, Verdict::Entries { entries, max_age }),
            Effect::RetainRequest {
                exchange,
                call,
                id,
                base,
            } => self.keep(exchange, call, &id, base),
            Effect::ReleaseCall { call } => _ = self.0.kept.borrow_mut().remove(&call),
            Effect::ReplayWitnessed {
                exchange,
                id,
                answer,
            } => self.give(exchange, &id, &answer),
            Effect::StoreAnswer { call } => self.store_answer(call),
            Effect::Answer {
                exchange,
                call,
                replay,
            } => self.answer(exchange, call, replay),
            Effect::Refuse {
                exchange,
                refusal,
                elsewhere,
            } => {
                self.tell(exchange, Verdict::Refused { refusal, elsewhere });
            }
            Effect::Attach {
                exchange,
                call,
                after,
            } => self.attach(exchange, call, after),
            Effect::Forward {
                exchange, address, ..
            } => self.tell(exchange, Verdict::Forward { address }),
            Effect::Dispatch { .. } => self.dispatch(effect),
            Effect::Abort { attempt } => _ = self.0.attempts.borrow_mut().remove(&attempt),
            Effect::AppendToken { call } => self.append(call),
            Effect::CompleteStream { call } => {
                self.kept(call, |kept| kept.record.borrow_mut().complete());
            }
            Effect::Cancel {
                cancel,
                address,
                request,
            } => {
                monoio::spawn(attempt::cancel(self.clone(), cancel, address, request));
            }
            Effect::Send {
                to,
                address,
                message,
            } => self.0.links.send(self, to, address, message),
            Effect::Read(read) => {
                monoio::spawn(platform::read(self.clone(), read));
            }
            Effect::AppendTimeline(note) => self.note(note, now),
            Effect::Exit => self.0.exited.set(true),
        }
    }

    fn keep(&self, exchange: Exchange, call: Call, id: &str, base: u64) {
        let mut slots = self.0.slots.borrow_mut();
        let Some(request) = slots
            .get_mut(&exchange)
            .and_then(|slot| slot.request.clone())
        else {
            return;
        };
        let accepted = self.now().up;
        let kept = Kept {
            request,
            id: id.into(),
            answer: None,
            record: stream::Record::after(base),
            accepted,
            latest: accepted,
        };
        self.0.kept.borrow_mut().insert(call, kept);
    }

    /// Gives an answer that a witness has kept.
    fn give(&self, exchange: Exchange, id: &str, answer: &Answer) {
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
        let whole = Rc::new(Whole {
            status,
            headers,
            body,
        });
        self.tell(
            exchange,
            Verdict::Whole {
                whole,
                id: id.into(),
                replay: true,
            },
        );
    }

    /// Gives a plain service's answer.
    fn answer(&self, exchange: Exchange, call: Call, replay: bool) {
        let found = self.kept(call, |kept| (kept.answer.clone(), kept.id.clone()));
        if let Some((Some(whole), id)) = found {
            self.tell(exchange, Verdict::Whole { whole, id, replay });
        }
    }

    /// Keeps the answer whose event is being reduced, if it is this call's.
    fn store_answer(&self, call: Call) {
        let Some(whole) = self.0.answer.take() else {
            return;
        };
        if let Some(kept) = self.0.kept.borrow_mut().get_mut(&call) {
            kept.answer = Some(whole);
        }
    }

    fn attach(&self, exchange: Exchange, call: Call, after: u64) {
        let found = self.kept(call, |kept| (kept.record.clone(), kept.id.clone()));
        if let Some((record, id)) = found {
            self.tell(exchange, Verdict::Stream { record, id, after });
        }
    }

    fn append(&self, call: Call) {
        let Some(frame) = self.0.frame.take() else {
            return;
        };
        let up = self.now().up;
        if let Some(kept) = self.0.kept.borrow_mut().get_mut(&call) {
            self.0.metrics.token(kept, up);
            kept.latest = up;
            kept.record.borrow_mut().append(frame);
        }
    }

    fn dispatch(&self, effect: Effect) {
        let Effect::Dispatch { attempt, call, .. } = &effect else {
            return;
        };
        let (attempt, call) = (*attempt, *call);
        let Some(job) = self
            .kept(call, |kept| attempt::Job::new(&effect, kept))
            .flatten()
        else {
            return;
        };
        let (abandon, abandoned) = cancel::Guard::new();
        self.0.attempts.borrow_mut().insert(attempt, abandon);
        monoio::spawn(attempt::run(self.clone(), job, abandoned));
    }

    fn note(&self, note: hornbeamtiller_core::timeline::Draft, now: Now) {
        if matches!(
            note.kind,
            Kind::Started
                | Kind::MemberDown
                | Kind::LeaveStarted
                | Kind::WokeLate
                | Kind::TicketRefused
        ) {
            let subject = note
                .subject
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default();
            log::info!(vm = self.0.settings.flags.vm; "{} {subject}", note.kind);
        }
        let stamp = self.0.stamps.borrow_mut().stamp(now.unix);
        self.0.timeline.borrow_mut().push(stamp, note);
    }

    /// Begins the life of the process.
    pub fn start(&self) {
        let now = self.now();
        self.note(
            hornbeamtiller_core::timeline::Draft::new(Kind::Started),
            now,
        );
        self.apply(Event::Tick);
    }
}
