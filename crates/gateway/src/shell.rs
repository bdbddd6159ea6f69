//! The shell around the reducer: it feeds events in and performs what comes out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use hornbeamtiller_http::body::{Channel, Sender, Truncated};
use hornbeamtiller_http::cancel;
use hornbeamtiller_http::client::{Client, Reuse};
use hornbeamtiller_relay::event::{Dispatch, Effect, Event, Kv};
use hornbeamtiller_relay::id::{Attempt, Call};
use hornbeamtiller_relay::member::View;
use hornbeamtiller_relay::reduce::reduce;
use hornbeamtiller_relay::refusal::Refusal;
use hornbeamtiller_relay::state::State;
use http::response;

use crate::dialect::{Dialect, Kept};
use crate::metrics::Metrics;
use crate::peer::Links;
use crate::{attempt, log_line};

/// Time for a runner to take the order that frees a KV cache.
const FREE_TIMEOUT: Duration = Duration::from_millis(400);

/// What a caller's exchange gets.
#[derive(Debug)]
pub enum Reply {
    /// A runner's whole answer.
    Whole(response::Parts, Bytes),
    /// A stream that has begun.
    Stream(response::Parts, Channel),
    /// A final answer of this process.
    Refused(Refusal),
}

/// What comes with an event and may be passed on by its effects.
#[derive(Debug)]
pub enum Payload {
    /// Nothing.
    Empty,
    /// A runner's whole answer.
    Answer(response::Parts, Bytes),
    /// The head of a stream.
    Head(response::Parts),
    /// A piece of a stream, as it came.
    Piece(Bytes),
}

struct Slot {
    kept: Rc<Kept>,
    reply: Option<oneshot::Sender<Reply>>,
    feed: Option<Sender>,
}

/// The shell of one process; clones share it.
pub struct Shell<D>(Rc<Inner<D>>);

impl<D> Clone for Shell<D> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

struct Inner<D> {
    dialect: D,
    state: RefCell<State>,
    started: Instant,
    client: Client,
    slots: RefCell<HashMap<Call, Slot>>,
    attempts: RefCell<HashMap<Attempt, cancel::Guard>>,
    links: Links,
    metrics: Metrics,
    last_call: Cell<Call>,
    exited: Cell<bool>,
}

impl<D: Dialect> Shell<D> {
    /// Makes the shell of a process.
    pub fn open(dialect: D, state: State, client: Client, metrics: Metrics) -> Self {
        Self(Rc::new(Inner {
            dialect,
            state: RefCell::new(state),
            started: Instant::now(),
            client,
            slots: RefCell::default(),
            attempts: RefCell::default(),
            links: Links::default(),
            metrics,
            last_call: Cell::new(0),
            exited: Cell::new(false),
        }))
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// What callers and runners speak.
    pub fn dialect(&self) -> &D {
        &self.0.dialect
    }

    /// The client for runners.
    pub fn client(&self) -> &Client {
        &self.0.client
    }

    /// The connections to peers.
    pub(crate) fn links(&self) -> &Links {
        &self.0.links
    }

    /// Counts and distributions.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    /// Whether all work has ended.
    pub fn exited(&self) -> bool {
        self.0.exited.get()
    }

    /// Looks at the state.
    pub fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.0.state.borrow())
    }

    /// Takes an event.
    pub fn apply(&self, event: Event) {
        self.apply_with(event, Payload::Empty);
    }

    /// Takes an event with what its effects may pass on.
    pub fn apply_with(&self, event: Event, mut payload: Payload) {
        let mut effects = Vec::new();
        reduce(
            &mut self.0.state.borrow_mut(),
            self.now(),
            event,
            &mut effects,
        );
        for effect in effects {
            self.perform(effect, &mut payload);
        }
    }

    /// Makes room for a call and gives its number and the end at which its reply comes.
    pub fn begin(&self, kept: Kept) -> (Call, oneshot::Receiver<Reply>) {
        let call = self.0.last_call.get() + 1;
        self.0.last_call.set(call);
        let (reply, receiver) = oneshot::channel();
        let slot = Slot {
            kept: Rc::new(kept),
            reply: Some(reply),
            feed: None,
        };
        self.0.slots.borrow_mut().insert(call, slot);
        (call, receiver)
    }

    /// Forgets an attempt whose task has ended.
    pub(crate) fn attempt_ended(&self, attempt: Attempt) {
        let line = self.0.attempts.borrow_mut().remove(&attempt);
        drop(line);
    }

    /// Closes all connections to runners and peers.
    pub fn abort(&self) {
        let attempts = std::mem::take(&mut *self.0.attempts.borrow_mut());
        drop(attempts);
        self.0.links.close();
    }

    fn perform(&self, effect: Effect, payload: &mut Payload) {
        match effect {
            Effect::Dispatch(dispatch) => self.dispatch(dispatch),
            Effect::CancelAttempt { attempt } => self.attempt_ended(attempt),
            Effect::ForwardResponse { call } => {
                if let Payload::Answer(head, body) = std::mem::replace(payload, Payload::Empty) {
                    self.reply(call, Reply::Whole(head, body));
                }
            }
            Effect::ForwardHead { call } => {
                if let Payload::Head(head) = std::mem::replace(payload, Payload::Empty) {
                    self.open_stream(call, head);
                }
            }
            Effect::ForwardEvent { call } => {
                if let Payload::Piece(piece) = std::mem::replace(payload, Payload::Empty) {
                    self.feed(call, Ok(piece));
                }
            }
            Effect::EndStream { call } => self.end_feed(call),
            Effect::AbortStream { call } => self.feed(call, Err(Truncated)),
            Effect::Refuse { call, refusal } => self.reply(call, Reply::Refused(refusal)),
            Effect::ReleaseCall { call } => {
                let slot = self.0.slots.borrow_mut().remove(&call);
                drop(slot);
            }
            Effect::FreeKv { kv } => self.free(kv),
            Effect::PublishView { address, view } => self.tell(address, view),
            Effect::Log(entry) => log_line::write(&entry),
            Effect::Measure(sample) => self.0.metrics.add(sample),
            Effect::Exit => self.0.exited.set(true),
        }
    }

    fn dispatch(&self, dispatch: Dispatch) {
        let slots = self.0.slots.borrow();
        let Some(slot) = slots.get(&dispatch.call) else {
            return;
        };
        let kept = slot.kept.clone();
        drop(slots);
        let (guard, token) = cancel::Guard::new();
        self.0.attempts.borrow_mut().insert(dispatch.attempt, guard);
        let shell = self.clone();
        monoio::spawn(async move {
            let attempt = dispatch.attempt;
            _ = token
                .run_until_cancelled(attempt::run(shell.clone(), kept, dispatch))
                .await;
            shell.attempt_ended(attempt);
        });
    }

    fn reply(&self, call: Call, reply: Reply) {
        let sender = {
            let mut slots = self.0.slots.borrow_mut();
            slots.get_mut(&call).and_then(|slot| slot.reply.take())
        };
        if let Some(sender) = sender {
            // A caller that has left is told of by its guard.
            _ = sender.send(reply);
        }
    }

    fn open_stream(&self, call: Call, head: response::Parts) {
        let (feed, channel) = Channel::new();
        if let Some(slot) = self.0.slots.borrow_mut().get_mut(&call) {
            slot.feed = Some(feed);
        }
        self.reply(call, Reply::Stream(head, channel));
    }

    fn feed(&self, call: Call, piece: Result<Bytes, Truncated>) {
        let slots = self.0.slots.borrow();
        if let Some(feed) = slots.get(&call).and_then(|slot| slot.feed.as_ref()) {
            _ = feed.unbounded_send(piece);
        }
    }

    fn end_feed(&self, call: Call) {
        let feed = {
            let mut slots = self.0.slots.borrow_mut();
            slots.get_mut(&call).and_then(|slot| slot.feed.take())
        };
        drop(feed);
    }

    /// Frees a KV cache; it lapses soon by itself, so one try will do.
    fn free(&self, kv: Kv) {
        let client = self.0.client.clone();
        let request = self.0.dialect.free(&kv);
        monoio::spawn(async move {
            let sent = client
                .send_once(kv.address, request, Reuse::Allowed, FREE_TIMEOUT)
                .await;
            let freed = match sent {
                Ok(answer) => answer.collect(1 << 10, FREE_TIMEOUT).await.map(|_| ()),
                Err(error) => Err(error),
            };
            if let Err(error) = freed {
                log::info!(runner = &*kv.runner, error:% = error; "kv_not_freed");
            }
        });
    }

    fn tell(&self, address: std::net::SocketAddr, view: View) {
        self.0.links.tell(self, address, view);
    }
}
