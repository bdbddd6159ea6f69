//! The driver: feeds events to the reducer and performs its effects.

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
use hornbeamtiller_http::client::Client;
use hornbeamtiller_http::lifeline::Lifeline;

pub use exchange::{CallerRequest, Decision, Guard};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::Links;
use crate::settings::Settings;
use crate::stream;

/// Largest answer that goes to the witness, in bytes.
const SMALL_RESPONSE_MAX_BYTES: usize = 1024;

/// What is kept for a call.
#[derive(Debug)]
pub struct CallRecord {
    /// The request as the caller sent it.
    pub caller_request: Rc<CallerRequest>,
    /// The id to echo.
    pub id: Rc<str>,
    /// A plain service's response answer.
    pub response: Option<Rc<ServiceResponse>>,
    /// A model's answer.
    pub buffer: stream::SharedBuffer,
    /// When it was accepted, since this process started.
    pub accepted_at: Duration,
    /// When its last token came, since this process started.
    pub last_token_at: Duration,
}

/// A plain service's response answer.
#[derive(Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers, without those of the connection.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// One process's driver. Clones are handles to the same one.
#[derive(Clone)]
pub struct Driver(Rc<Inner>);

impl std::fmt::Debug for Driver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Driver(..)")
    }
}

struct Inner {
    settings: Settings,
    clock: Clock,
    state: RefCell<State>,
    effect_buffer: RefCell<Vec<Effect>>,
    next_exchange: Cell<Exchange>,
    exchanges: RefCell<HashMap<Exchange, exchange::State>>,
    calls: RefCell<HashMap<Call, CallRecord>>,
    attempts: RefCell<HashMap<Attempt, Lifeline>>,
    /// Data of the token whose event is being reduced.
    current_token: RefCell<Option<Bytes>>,
    /// Answer of the plain service whose event is being reduced.
    current_response: RefCell<Option<Rc<ServiceResponse>>>,
    client: Client,
    links: Links,
    stamp_clock: RefCell<timeline::Clock>,
    timeline: RefCell<timeline::Ring>,
    metrics: Metrics,
    exited: Cell<bool>,
    /// Whether the process is to look as if it had ended.
    aborted: Cell<bool>,
}

impl Driver {
    /// Puts a driver around a reducer's state.
    pub fn new(settings: Settings, state: State, client: Client, metrics: Metrics) -> Self {
        let links = Links::new(settings.ring.clone(), state.seat);
        let timeline = timeline::Ring::new(state.seat.vm, settings.flags.timeline);
        Self(Rc::new(Inner {
            settings,
            clock: Clock::start(),
            state: RefCell::new(state),
            effect_buffer: RefCell::default(),
            next_exchange: Cell::new(1),
            exchanges: RefCell::default(),
            calls: RefCell::default(),
            attempts: RefCell::default(),
            current_token: RefCell::default(),
            current_response: RefCell::default(),
            client,
            links,
            stamp_clock: RefCell::default(),
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
        let mut effects = std::mem::take(&mut *self.0.effect_buffer.borrow_mut());
        reduce(&mut self.0.state.borrow_mut(), now, event, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect, now);
        }
        *self.0.effect_buffer.borrow_mut() = effects;
    }

    /// Feeds a token together with the engine's data for it.
    pub fn apply_token(&self, attempt: Attempt, position: u64, data: Bytes) {
        self.0.current_token.replace(Some(data));
        self.apply(Event::Token { attempt, position });
        self.0.current_token.take();
    }

    /// Feeds a plain service's answer.
    pub fn apply_response(&self, attempt: Attempt, response: ServiceResponse) {
        let event = Event::Answered {
            attempt,
            status: response.status.as_u16(),
            bytes: response.body.len(),
            small: small_response(&response),
        };
        self.0.current_response.replace(Some(Rc::new(response)));
        self.apply(event);
        self.0.current_response.take();
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
    pub fn with_state<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.0.state.borrow())
    }

    /// Lets a function read the time line.
    pub fn with_timeline<T>(&self, f: impl FnOnce(&timeline::Ring) -> T) -> T {
        f(&self.0.timeline.borrow())
    }

    /// Stamps a message to a peer.
    pub fn stamp(&self) -> Stamp {
        let unix = self.now().unix;
        self.0.stamp_clock.borrow_mut().stamp(unix)
    }

    /// Takes over the stamp of a peer's message.
    pub fn merge_stamp(&self, seen: Stamp) {
        let unix = self.now().unix;
        self.0.stamp_clock.borrow_mut().merge(unix, seen);
    }

    /// Tells whether all work has ended after a leave.
    pub fn has_exited(&self) -> bool {
        self.0.exited.get()
    }

    /// Links to the other entry VMs.
    pub fn links(&self) -> &Links {
        &self.0.links
    }

    /// Finds what is kept for a call.
    pub fn with_call<T>(&self, call: Call, f: impl FnOnce(&CallRecord) -> T) -> Option<T> {
        self.0.calls.borrow().get(&call).map(f)
    }

    /// Takes an attempt off the list of those that can be abandoned.
    pub fn remove_attempt(&self, attempt: Attempt) {
        self.0.attempts.borrow_mut().remove(&attempt);
    }
}

/// Content type and body of an answer that a witness may keep.
fn small_response(response: &ServiceResponse) -> Option<(Arc<str>, Arc<[u8]>)> {
    if response.body.len() > SMALL_RESPONSE_MAX_BYTES {
        return None;
    }
    let kind = response
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    Some((kind.unwrap_or_default().into(), response.body[..].into()))
}
