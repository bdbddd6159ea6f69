//! The driver: applies events to the sans-I/O reducer and performs the effects that it returns.

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

pub use exchange::{CallerRequest, Decision, Guard};

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::Links;
use crate::settings::Settings;
use crate::stream;

/// Maximum size of a response body that is sent to the witness, in bytes.
const SMALL_RESPONSE_BYTES_MAX: usize = 1024;

/// What this process keeps for a call.
#[derive(Debug)]
pub struct CallRecord {
    /// The request as the caller sent it.
    pub caller_request: Rc<CallerRequest>,
    /// The request's id, echoed in the response.
    pub id: Rc<str>,
    /// A plain service's complete response.
    pub response: Option<Rc<ServiceResponse>>,
    /// The tokens of a model's answer.
    pub buffer: stream::SharedBuffer,
    /// When the call was accepted, as time since this process started.
    pub accepted_at: Duration,
    /// When the last token arrived, as time since this process started; `accepted_at` before the
    /// first token.
    pub last_token_at: Duration,
}

/// A plain service's complete response.
#[derive(Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Headers as received; the connection headers are left out when the response is rendered.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Handle to the driver of a process. Clones share one driver.
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
    attempts: RefCell<HashMap<Attempt, cancel::Guard>>,
    /// The engine's data for the [`Event::Token`] that is being reduced.
    current_token: RefCell<Option<Bytes>>,
    /// The service's response for the [`Event::Answered`] that is being reduced.
    current_response: RefCell<Option<Rc<ServiceResponse>>>,
    client: Client,
    links: Links,
    stamp_clock: RefCell<timeline::Clock>,
    timeline: RefCell<timeline::Ring>,
    metrics: Metrics,
    exited: Cell<bool>,
    /// Whether events are ignored, as if the process had been killed.
    aborted: Cell<bool>,
}

impl Driver {
    /// Creates a driver for a reducer's state.
    pub fn new(settings: Settings, state: State, client: Client, metrics: Metrics) -> Self {
        let links = Links::new(settings.keyring.clone(), state.instance);
        let timeline = timeline::Ring::new(state.instance.vm, settings.flags.timeline);
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

    /// Applies an event to the reducer and performs the resulting effects.
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

    /// Applies an [`Event::Token`], with the engine's data for the token.
    pub fn apply_token(&self, attempt: Attempt, position: u64, data: Bytes) {
        self.0.current_token.replace(Some(data));
        self.apply(Event::Token { attempt, position });
        self.0.current_token.take();
    }

    /// Applies an [`Event::Answered`], with the service's response.
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

    /// Ignores all further events, aborts all attempts and closes the links to peers.
    pub fn abort(&self) {
        self.0.aborted.set(true);
        self.0.attempts.borrow_mut().clear();
        self.0.links.close();
    }

    /// Returns the current time.
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

    /// The client for runners, the platform, and the caller listeners of other entry VMs.
    pub fn client(&self) -> &Client {
        &self.0.client
    }

    /// Calls a function with the reducer's state.
    pub fn with_state<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.0.state.borrow())
    }

    /// Calls a function with the time line.
    pub fn with_timeline<T>(&self, f: impl FnOnce(&timeline::Ring) -> T) -> T {
        f(&self.0.timeline.borrow())
    }

    /// Returns a stamp for a message to a peer.
    pub fn stamp(&self) -> Stamp {
        let unix = self.now().unix;
        self.0.stamp_clock.borrow_mut().stamp(unix)
    }

    /// Merges the stamp of a peer's message into the clock.
    pub fn merge_stamp(&self, seen: Stamp) {
        let unix = self.now().unix;
        self.0.stamp_clock.borrow_mut().merge(unix, seen);
    }

    /// Returns whether all work has ended after a leave.
    pub fn has_exited(&self) -> bool {
        self.0.exited.get()
    }

    /// The links to other entry VMs.
    pub fn links(&self) -> &Links {
        &self.0.links
    }

    /// Calls a function with the record of a call, if there is one.
    pub fn with_call<T>(&self, call: Call, f: impl FnOnce(&CallRecord) -> T) -> Option<T> {
        self.0.calls.borrow().get(&call).map(f)
    }

    /// Removes an attempt that has ended from those that can be aborted.
    pub fn remove_attempt(&self, attempt: Attempt) {
        self.0.attempts.borrow_mut().remove(&attempt);
    }
}

/// Content type and body of a response, if it is small enough to be kept by a witness.
fn small_response(response: &ServiceResponse) -> Option<(Arc<str>, Arc<[u8]>)> {
    if response.body.len() > SMALL_RESPONSE_BYTES_MAX {
        return None;
    }
    let content_type = response
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|content_type| content_type.to_str().ok());
    Some((
        content_type.unwrap_or_default().into(),
        response.body[..].into(),
    ))
}
