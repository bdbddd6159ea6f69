//! Exchanges with callers: their requests, and the reducer's decisions on them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use hornbeamtiller_core::event::{Entry, Event};
use hornbeamtiller_core::id::Exchange;
use hornbeamtiller_core::refusal::Refusal;

use super::{Driver, ServiceResponse};
use crate::stream::{self, Signal};

/// A request as the caller sent it.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// Path and query below the endpoint's prefix; only set for plain services.
    pub subpath: String,
    /// Headers that are forwarded to a plain service or to the owner VM.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the caller asked for a token stream.
    pub streamed: bool,
}

/// The reducer's decision on how an exchange is answered.
#[derive(Debug)]
pub enum Decision {
    /// The entry addresses to use.
    Entries {
        /// Best first.
        entries: Vec<Entry>,
        /// How long the caller may cache them.
        max_age: Duration,
    },
    /// A plain service's complete response.
    Response {
        /// The response.
        response: Rc<ServiceResponse>,
        /// The request's id.
        id: Rc<str>,
        /// Whether this repeats an earlier response.
        replay: bool,
    },
    /// A model's answer, which may be incomplete.
    Stream {
        /// Its tokens.
        buffer: stream::SharedBuffer,
        /// The request's id.
        id: Rc<str>,
        /// Position of the last token that the caller already has.
        resume_after: u64,
    },
    /// A refusal.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// Addresses of entry VMs that accept callers.
        elsewhere: Vec<SocketAddr>,
    },
    /// Another VM owns the id; the request is forwarded to it.
    Forward {
        /// Caller address of the owner.
        address: SocketAddr,
    },
}

/// The driver's state of an exchange.
pub struct State {
    /// The request, for the call that the reducer may create for it.
    pub caller_request: Option<Rc<CallerRequest>>,
    /// Sender of the decision; `None` once it has been sent.
    pub decision: Option<oneshot::Sender<Decision>>,
    /// Notices to the exchange after the decision.
    pub signal: Rc<RefCell<Signal>>,
}

/// Keeps an exchange open while its caller is connected. Dropping it ends the exchange and reports
/// that to the reducer.
pub struct Guard {
    driver: Driver,
    exchange: Exchange,
}

impl std::fmt::Debug for Guard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Guard").field(&self.exchange).finish()
    }
}

impl Guard {
    /// The exchange's number.
    pub fn exchange(&self) -> Exchange {
        self.exchange
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.driver.0.exchanges.borrow_mut().remove(&self.exchange);
        self.driver.apply(Event::CallerDisconnected {
            exchange: self.exchange,
        });
    }
}

/// An open exchange: its guard, the decision to come, and notices after the decision.
pub type Handle = (Guard, oneshot::Receiver<Decision>, Rc<RefCell<Signal>>);

impl Driver {
    /// Opens an exchange.
    pub fn open_exchange(&self, caller_request: Option<Rc<CallerRequest>>) -> Handle {
        let exchange = self.0.next_exchange.get();
        self.0.next_exchange.set(exchange + 1);
        let (decision, receiver) = oneshot::channel();
        let signal = Rc::new(RefCell::new(Signal::default()));
        let state = State {
            caller_request,
            decision: Some(decision),
            signal: signal.clone(),
        };
        self.0.exchanges.borrow_mut().insert(exchange, state);
        (
            Guard {
                driver: self.clone(),
                exchange,
            },
            receiver,
            signal,
        )
    }

    /// Prepares an exchange for a second decision, after forwarding to the owner failed.
    pub fn reopen_decision(&self, exchange: Exchange) -> oneshot::Receiver<Decision> {
        let (decision, receiver) = oneshot::channel();
        if let Some(state) = self.0.exchanges.borrow_mut().get_mut(&exchange) {
            state.decision = Some(decision);
        }
        receiver
    }

    /// Sends an exchange its decision. After that, a refusal ends the response, and any other
    /// decision is ignored.
    pub(super) fn send_decision(&self, exchange: Exchange, decision: Decision) {
        let mut exchanges = self.0.exchanges.borrow_mut();
        let Some(state) = exchanges.get_mut(&exchange) else {
            return;
        };
        if let Some(sender) = state.decision.take() {
            _ = sender.send(decision);
        } else if let Decision::Refused { refusal, .. } = decision {
            state.signal.borrow_mut().refuse(refusal);
        }
    }

    /// Requests a keep-alive comment on every stream.
    pub fn keep_streams_alive(&self) {
        for state in self.0.exchanges.borrow().values() {
            state.signal.borrow_mut().request_keep_alive();
        }
    }
}
