//! Ends a task from outside at the cost of one flag per poll.
//!
//! A channel polled beside the task would cost as much as the task's own work for a token.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct Line {
    cut: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// The holder's end; dropping it ends the task.
#[derive(Debug, Default)]
pub struct Guard(Rc<Line>);

/// The task's end.
#[derive(Debug)]
pub struct Token(Rc<Line>);

impl Guard {
    /// Makes a line and its other end.
    pub fn new() -> (Self, Token) {
        let line = Rc::new(Line::default());
        (Self(line.clone()), Token(line))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.cut.set(true);
        let waker = self.0.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl Token {
    /// Runs a future to its end, or none where the holder's end was dropped first.
    pub async fn run_until_cancelled<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if self.0.cut.get() {
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
