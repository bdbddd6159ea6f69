//! Exchanges with callers: what came in, and the word that goes back.

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
    /// Path and query below the endpoint, for plain services.
    pub subpath: String,
    /// Headers that pass on to a plain service.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the caller wants tokens as they come.
    pub streamed: bool,
}

/// The first word to an exchange.
#[derive(Debug)]
pub enum Decision {
    /// The addresses to use.
    Entries {
        /// Best first.
        entries: Vec<Entry>,
        /// How long to keep them.
        keep: Duration,
    },
    /// A plain service's answer.
    Response {
        /// The answer.
        response: Rc<ServiceResponse>,
        /// The request's id.
        id: Rc<str>,
        /// Whether it was given before.
        replay: bool,
    },
    /// A model's answer, which may still grow.
    Stream {
        /// The answer.
        buffer: stream::SharedBuffer,
        /// The request's id.
        id: Rc<str>,
        /// Position after which the caller wants it.
        after: u64,
    },
    /// A refusal.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// Addresses that take callers.
        elsewhere: Vec<SocketAddr>,
    },
    /// Another VM owns the id.
    Forward {
        /// Where callers reach it.
        address: SocketAddr,
    },
}

/// What the driver holds for an exchange.
pub struct State {
    /// The request, until a call keeps it.
    pub caller_request: Option<Rc<CallerRequest>>,
    /// Takes the first word.
    pub decision: Option<oneshot::Sender<Decision>>,
    /// Takes a word after the first.
    pub signal: Rc<RefCell<Signal>>,
}

/// Stands for an exchange as long as its caller is there; dropping it tells the reducer.
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
    /// The exchange.
    pub fn exchange(&self) -> Exchange {
        self.exchange
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.driver.0.exchanges.borrow_mut().remove(&self.exchange);
        self.driver.apply(Event::CallerGone {
            exchange: self.exchange,
        });
    }
}

/// An exchange under way: its guard, its first word to come, and later words.
pub type Handle = (Guard, oneshot::Receiver<Decision>, Rc<RefCell<Signal>>);

impl Driver {
    /// Begins an exchange.
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

    /// Waits for another word where the first was to go to another VM, which did not take it.
    pub fn reopen_decision(&self, exchange: Exchange) -> oneshot::Receiver<Decision> {
        let (decision, receiver) = oneshot::channel();
        if let Some(state) = self.0.exchanges.borrow_mut().get_mut(&exchange) {
            state.decision = Some(decision);
        }
        receiver
    }

    /// Gives an exchange its first word.
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

    /// Has a comment written on every stream that is silent.
    pub fn keep_streams_alive(&self) {
        for state in self.0.exchanges.borrow().values() {
            state.signal.borrow_mut().request_keep_alive();
        }
    }
}
