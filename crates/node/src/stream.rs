//! The tokens of a model answer, kept for every exchange that follows it.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hornbeamtiller_core::refusal::Refusal;
use hornbeamtiller_http::body::{Source, Truncated};
use hornbeamtiller_http::sse;

use crate::caller::render;
use crate::shell::Guard;

/// All that was generated for one call.
#[derive(Debug, Default)]
pub struct Record {
    /// Tokens before the first frame, which another process passed on.
    base: u64,
    /// The engine's data of each token.
    frames: Vec<Bytes>,
    complete: bool,
    wakers: Vec<Waker>,
}

/// A record shared by the attempt that fills it and the exchanges that follow it.
pub type Shared = Rc<RefCell<Record>>;

impl Record {
    /// An empty record of an answer whose first tokens the caller has already.
    pub fn after(base: u64) -> Shared {
        Rc::new(RefCell::new(Self {
            base,
            ..Self::default()
        }))
    }

    /// Adds the next token.
    pub fn append(&mut self, data: Bytes) {
        self.frames.push(data);
        self.wake();
    }

    /// Ends the record as whole.
    pub fn complete(&mut self) {
        self.complete = true;
        self.wake();
    }

    /// The engine's data of each token so far.
    pub fn frames(&self) -> &[Bytes] {
        &self.frames
    }

    /// Waits until the answer is whole.
    pub fn poll_complete(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.complete {
            return Poll::Ready(());
        }
        self.watch(cx);
        Poll::Pending
    }

    fn watch(&mut self, cx: &Context<'_>) {
        if !self.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            self.wakers.push(cx.waker().clone());
        }
    }

    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}

/// Word to an exchange whose reply has begun.
#[derive(Debug, Default)]
pub struct Signal {
    refusal: Option<Refusal>,
    comment_due: bool,
    waker: Option<Waker>,
}

impl Signal {
    /// Ends the reply with a refusal.
    pub fn refuse(&mut self, refusal: Refusal) {
        self.refusal = Some(refusal);
        self.wake();
    }

    /// Has a comment written if nothing else is.
    pub fn comment(&mut self) {
        self.comment_due = true;
        self.wake();
    }

    /// Takes the refusal, if there is one.
    pub fn poll_refusal(&mut self, cx: &Context<'_>) -> Poll<Refusal> {
        if let Some(refusal) = self.refusal.take() {
            return Poll::Ready(refusal);
        }
        if !self
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()))
        {
            self.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The body of a streamed reply.
#[derive(Debug)]
pub struct Follower {
    record: Shared,
    signal: Rc<RefCell<Signal>>,
    position: usize,
    ended: bool,
    _guard: Guard,
}

impl Follower {
    /// Follows a record from after a position.
    pub fn new(record: Shared, signal: Rc<RefCell<Signal>>, after: u64, guard: Guard) -> Self {
        Self {
            record,
            signal,
            position: after as usize,
            ended: false,
            _guard: guard,
        }
    }

    /// Takes all tokens that are there, as one chunk.
    fn take_frames(&mut self, record: &Record) -> Option<Bytes> {
        let before = record.base as usize;
        let start = self
            .position
            .saturating_sub(before)
            .min(record.frames.len());
        let fresh = &record.frames[start..];
        let first = fresh.first()?;
        let mut out = Vec::with_capacity(fresh.len() * (first.len() + 24));
        for data in fresh {
            self.position += 1;
            render::event(&mut out, self.position as u64, data);
        }
        Some(out.into())
    }
}

impl Source for Follower {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let record = self.record.clone();
        let mut record = record.borrow_mut();
        if let Some(chunk) = self.take_frames(&record) {
            return Poll::Ready(Some(Ok(chunk)));
        }
        if record.complete {
            self.ended = true;
            return Poll::Ready(Some(Ok(sse::encode_data("[DONE]"))));
        }
        let mut signal = self.signal.borrow_mut();
        if let Poll::Ready(refusal) = signal.poll_refusal(cx) {
            self.ended = true;
            return Poll::Ready(Some(Ok(sse::encode_data(&render::refusal_json(
                &refusal,
                &[],
            )))));
        }
        if std::mem::take(&mut signal.comment_due) {
            return Poll::Ready(Some(Ok(sse::encode_comment("waiting"))));
        }
        record.watch(cx);
        Poll::Pending
    }
}
