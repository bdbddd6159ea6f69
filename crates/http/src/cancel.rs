//! Cancellation of a task from outside, at the cost of one flag check per poll.
//!
//! Selecting over a channel would cost about as much per streamed token as the task's own work.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct State {
    cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Cancels the task of the paired [`Token`] when dropped.
#[derive(Debug, Default)]
pub struct Guard(Rc<State>);

/// Tells a task that its [`Guard`] was dropped.
#[derive(Debug)]
pub struct Token(Rc<State>);

impl Guard {
    /// Creates a guard and its token.
    pub fn new() -> (Self, Token) {
        let state = Rc::new(State::default());
        (Self(state.clone()), Token(state))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.cancelled.set(true);
        let waker = self.0.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl Token {
    /// Runs a future to completion, or returns `None` if the [`Guard`] is dropped first.
    pub async fn run_until_cancelled<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if self.0.cancelled.get() {
                return Poll::Ready(None);
            }
            let mut waker = self.0.waker.borrow_mut();
            if !waker
                .as_ref()
                .is_some_and(|waker| waker.will_wake(cx.waker()))
            {
                *waker = Some(cx.waker().clone());
            }
            drop(waker);
            future.as_mut().poll(cx).map(Some)
        })
        .await
    }
}
