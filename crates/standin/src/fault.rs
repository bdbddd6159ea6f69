//! Faults that can be injected into a stand-in.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures::channel::oneshot;
use serde::{Deserialize, Serialize};

/// A way in which a stand-in fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Works normally.
    #[default]
    None,
    /// Refuses requests with 503 Service Unavailable.
    Refuse,
    /// Accepts requests but makes no progress on them.
    Stall,
    /// Stops listening, closes its connections and, at an engine, loses its state.
    Crash,
    /// Does the work, but closes the connection instead of responding.
    DropAnswer,
    /// Does the work, but sends nothing back while the fault is set.
    Silent,
}

/// The current fault of one stand-in; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Switch(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    fault: Cell<Fault>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Switch {
    /// Returns the current fault.
    pub fn get(&self) -> Fault {
        self.0.fault.get()
    }

    /// Sets the current fault.
    pub fn set(&self, fault: Fault) {
        self.0.fault.set(fault);
        self.0
            .waiters
            .borrow_mut()
            .drain(..)
            .for_each(|waiter| _ = waiter.send(()));
    }

    /// Waits while `fault` is the current one.
    pub async fn wait_while(&self, fault: Fault) {
        while self.get() == fault {
            let (sender, changed) = oneshot::channel();
            self.0.waiters.borrow_mut().push(sender);
            _ = changed.await;
        }
    }
}
