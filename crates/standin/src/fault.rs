//! Faults that a stand-in can be ordered to have.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures::channel::oneshot;
use serde::{Deserialize, Serialize};

/// A way of failing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// Answers that there is no room.
    Refuse,
    /// Takes requests and makes no progress on them.
    Stall,
    /// Is not there, and has lost all it held.
    Crash,
    /// Does the work and cuts the connection in place of the answer.
    DropAnswer,
    /// Does the work, and nothing ever comes back.
    Silent,
}

/// The fault of one stand-in, shared by its parts.
#[derive(Debug, Clone, Default)]
pub struct Switch(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    fault: Cell<Fault>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Switch {
    /// The fault in force.
    pub fn get(&self) -> Fault {
        self.0.fault.get()
    }

    /// Puts a fault in force.
    pub fn set(&self, fault: Fault) {
        self.0.fault.set(fault);
        self.0
            .waiters
            .borrow_mut()
            .drain(..)
            .for_each(|waiter| _ = waiter.send(()));
    }

    /// Waits as long as a fault is in force.
    pub async fn wait_while(&self, fault: Fault) {
        while self.get() == fault {
            let (sender, changed) = oneshot::channel();
            self.0.waiters.borrow_mut().push(sender);
            _ = changed.await;
        }
    }
}
