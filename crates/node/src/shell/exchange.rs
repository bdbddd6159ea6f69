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

use super::{Shell, Whole};
use crate::stream::{self, Signal};

/// A request as the caller sent it.
#[derive(Debug)]
pub struct Incoming {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// Path and query below the endpoint, for plain services.
    pub below: String,
    /// Headers that pass on to a plain service.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the caller wants tokens as they come.
    pub streamed: bool,
}

/// The first word to an exchange.
#[derive(Debug)]
pub enum Verdict {
    /// The addresses to use.
    Entries {
        /// Best first.
        entries: Vec<Entry>,
        /// How long to keep them.
        max_age: Duration,
    },
    /// A plain service's answer.
    Whole {
        /// The answer.
        whole: Rc<Whole>,
        /// The request's id.
        id: Rc<str>,
        /// Whether it was given before.
        replay: bool,
    },
    /// A model's answer, which may still grow.
    Stream {
        /// The answer.
        record: stream::Shared,
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

/// What the shell holds for an exchange.
pub struct Slot {
    /// The request, until a call keeps it.
    pub request: Option<Rc<Incoming>>,
    /// Takes the first word.
    pub verdict: Option<oneshot::Sender<Verdict>>,
    /// Takes a word after the first.
    pub signal: Rc<RefCell<Signal>>,
}

/// Stands for an exchange as long as its caller is there; dropping it tells the reducer.
pub struct Guard {
    shell: Shell,
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
        self.shell.0.slots.borrow_mut().remove(&self.exchange);
        self.shell.apply(Event::CallerDisconnected {
            exchange: self.exchange,
        });
    }
}

/// An exchange under way: its guard, its first word to come, and later words.
pub type Begun = (Guard, oneshot::Receiver<Verdict>, Rc<RefCell<Signal>>);

impl Shell {
    /// Begins an exchange.
    pub fn begin(&self, request: Option<Rc<Incoming>>) -> Begun {
        let exchange = self.0.next_exchange.get();
        self.0.next_exchange.set(exchange + 1);
        let (verdict, receiver) = oneshot::channel();
        let signal = Rc::new(RefCell::new(Signal::default()));
        let slot = Slot {
            request,
            verdict: Some(verdict),
            signal: signal.clone(),
        };
        self.0.slots.borrow_mut().insert(exchange, slot);
        (
            Guard {
                shell: self.clone(),
                exchange,
            },
            receiver,
            signal,
        )
    }

    /// Waits for another word where the first was to go to another VM, which did not take it.
    pub fn begin_again(&self, exchange: Exchange) -> oneshot::Receiver<Verdict> {
        let (verdict, receiver) = oneshot::channel();
        if let Some(slot) = self.0.slots.borrow_mut().get_mut(&exchange) {
            slot.verdict = Some(verdict);
        }
        receiver
    }

    /// Gives an exchange its first word.
    pub(super) fn tell(&self, exchange: Exchange, verdict: Verdict) {
        let mut slots = self.0.slots.borrow_mut();
        let Some(slot) = slots.get_mut(&exchange) else {
            return;
        };
        if let Some(sender) = slot.verdict.take() {
            _ = sender.send(verdict);
        } else if let Verdict::Refused { refusal, .. } = verdict {
            slot.signal.borrow_mut().refuse(refusal);
        }
    }

    /// Has a comment written on every stream that is silent.
    pub fn probe_streams(&self) {
        for slot in self.0.slots.borrow().values() {
            slot.signal.borrow_mut().comment();
        }
    }
}
