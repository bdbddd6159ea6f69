//! The shell: feeds events to the reducer and performs its effects.

mod exchange;
mod perform;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_core::event::{Effect, Event, Now};
use hornbeamtiller_core::id::{Attempt, Call, Exchange};
use hornbeamtiller_core::reduce::reduce;
use hornbeamtiller_core::state::State;
use hornbeamtiller_core::timeline::{self, Stamp};
use hornbeamtiller_http::cancel;
use hornbeamtiller_http::client::Client;

pub use exchange::{Guard, Incoming, Verdict};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::Links;
use crate::settings::Settings;
use crate::stream;

/// Largest answer that goes to the witness, in bytes.
const SMALL_ANSWER_MAX: usize = 1024;

/// What is kept for a call.
#[derive(Debug)]
pub struct Kept {
    /// The request as the caller sent it.
    pub request: Rc<Incoming>,
    /// The id to echo.
    pub id: Rc<str>,
    /// A plain service's whole answer.
    pub answer: Option<Rc<Whole>>,
    /// A model's answer.
    pub record: stream::Shared,
    /// When it was accepted, since this process started.
    pub accepted: Duration,
    /// When its last token came, since this process started.
    pub latest: Duration,
}

/// A plain service's whole answer.
#[derive(Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers, without those of the connection.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// One process's shell. Clones are handles to the same one.
#[derive(Clone)]
pub struct Shell(Rc<Inner>);

impl std::fmt::Debug for Shell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Shell(..)")
    }
}

struct Inner {
    settings: Settings,
    clock: Clock,
    state: RefCell<State>,
    scratch: RefCell<Vec<Effect>>,
    next_exchange: Cell<Exchange>,
    slots: RefCell<HashMap<Exchange, exchange::Slot>>,
    kept: RefCell<HashMap<Call, Kept>>,
    attempts: RefCell<HashMap<Attempt, cancel::Guard>>,
    /// Data of the token whose event is being reduced.
    frame: RefCell<Option<Bytes>>,
    /// Answer of the plain service whose event is being reduced.
    answer: RefCell<Option<Rc<Whole>>>,
    client: Client,
    links: Links,
    stamps: RefCell<timeline::Clock>,
    timeline: RefCell<timeline::Ring>,
    metrics: Metrics,
    exited: Cell<bool>,
    /// Whether the process is to look as if it had ended.
    aborted: Cell<bool>,
}

impl Shell {
    /// Puts a shell around a reducer's state.
    pub fn open(settings: Settings, state: State, client: Client, metrics: Metrics) -> Self {
        let links = Links::open(settings.ring.clone(), state.instance);
        let timeline = timeline::Ring::new(state.instance.vm, settings.flags.timeline);
        Self(Rc::new(Inner {
            settings,
            clock: Clock::open(),
            state: RefCell::new(state),
            scratch: RefCell::default(),
            next_exchange: Cell::new(1),
            slots: RefCell::default(),
            kept: RefCell::default(),
            attempts: RefCell::default(),
            frame: RefCell::default(),
            answer: RefCell::default(),
            client,
            links,
            stamps: RefCell::default(),
            timeline: RefCell::new(timeline),
            metrics,
            exited: Cell::new(false),
            aborted: Cell::new(false),
        }))
    }

    /// Feeds one event and performs what comes of it.
    pub fn apply(&self, event: Event) {
        if self.0.aborted.get() {
            return;
        }
        let now = self.0.clock.now();
        let mut effects = std::mem::take(&mut *self.0.scratch.borrow_mut());
        reduce(&mut self.0.state.borrow_mut(), now, event, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect, now);
        }
        *self.0.scratch.borrow_mut() = effects;
    }

    /// Feeds a token together with the engine's data for it.
    pub fn apply_token(&self, attempt: Attempt, position: u64, data: Bytes) {
        self.0.frame.replace(Some(data));
        self.apply(Event::Token { attempt, position });
        self.0.frame.take();
    }

    /// Feeds a plain service's answer.
    pub fn apply_answer(&self, attempt: Attempt, whole: Whole) {
        let event = Event::Answered {
            attempt,
            status: whole.status.as_u16(),
            bytes: whole.body.len(),
            small: small(&whole),
        };
        self.0.answer.replace(Some(Rc::new(whole)));
        self.apply(event);
        self.0.answer.take();
    }

    /// Does nothing from now on and closes what this process has open towards others.
    pub fn abort(&self) {
        self.0.aborted.set(true);
        self.0.attempts.borrow_mut().clear();
        self.0.links.abort();
    }

    /// Reads the clocks.
    pub fn now(&self) -> Now {
        self.0.clock.now()
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// The metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    /// The client towards runners, the platform, and other entry VMs' caller listeners.
    pub fn client(&self) -> &Client {
        &self.0.client
    }

    /// Lets a function read the reducer's state.
    pub fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.0.state.borrow())
    }

    /// Lets a function read the time line.
    pub fn read_timeline<T>(&self, f: impl FnOnce(&timeline::Ring) -> T) -> T {
        f(&self.0.timeline.borrow())
    }

    /// Stamps a message to a peer.
    pub fn stamp(&self) -> Stamp {
        let unix = self.now().unix;
        self.0.stamps.borrow_mut().stamp(unix)
    }

    /// Takes over the stamp of a peer's message.
    pub fn merge_stamp(&self, seen: Stamp) {
        let unix = self.now().unix;
        self.0.stamps.borrow_mut().merge(unix, seen);
    }

    /// Tells whether all work has ended after a leave.
    pub fn exited(&self) -> bool {
        self.0.exited.get()
    }

    /// Links to the other entry VMs.
    pub fn links(&self) -> &Links {
        &self.0.links
    }

    /// Finds what is kept for a call.
    pub fn kept<T>(&self, call: Call, f: impl FnOnce(&Kept) -> T) -> Option<T> {
        self.0.kept.borrow().get(&call).map(f)
    }

    /// Takes an attempt off the list of those that can be abandoned.
    pub fn attempt_ended(&self, attempt: Attempt) {
        self.0.attempts.borrow_mut().remove(&attempt);
    }
}

/// Content type and body of an answer that a witness may keep.
fn small(whole: &Whole) -> Option<(Arc<str>, Arc<[u8]>)> {
    if whole.body.len() > SMALL_ANSWER_MAX {
        return None;
    }
    let kind = whole
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    Some((kind.unwrap_or_default().into(), whole.body[..].into()))
}
