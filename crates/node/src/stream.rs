//! Buffer of a model answer's tokens, read by every exchange that streams the answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hornbeamtiller_core::refusal::Refusal;
use hornbeamtiller_http::body::{Source, Truncated};
use hornbeamtiller_http::sse;

use crate::caller::render;
use crate::driver::Guard;

/// All tokens that this process has received for one call.
#[derive(Debug, Default)]
pub struct Buffer {
    /// Number of tokens before the first one here, which another process relayed.
    offset: u64,
    /// The engine's event data, one per token.
    tokens: Vec<Bytes>,
    complete: bool,
    wakers: Vec<Waker>,
}

/// A buffer shared by the attempt that fills it and the exchanges that read it.
pub type SharedBuffer = Rc<RefCell<Buffer>>;

impl Buffer {
    /// Creates an empty buffer for an answer whose first `offset` tokens the caller already has.
    pub fn with_offset(offset: u64) -> SharedBuffer {
        Rc::new(RefCell::new(Self {
            offset,
            ..Self::default()
        }))
    }

    /// Appends the next token.
    pub fn append(&mut self, data: Bytes) {
        self.tokens.push(data);
        self.wake();
    }

    /// Marks the answer as complete.
    pub fn complete(&mut self) {
        self.complete = true;
        self.wake();
    }

    /// The engine's event data of each token so far.
    pub fn tokens(&self) -> &[Bytes] {
        &self.tokens
    }

    /// Waits until the answer is complete.
    pub fn poll_complete(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.complete {
            return Poll::Ready(());
        }
        self.register_waker(cx);
        Poll::Pending
    }

    fn register_waker(&mut self, cx: &Context<'_>) {
        if !self.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            self.wakers.push(cx.waker().clone());
        }
    }

    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}

/// Notices to an exchange after the reducer's decision on it.
#[derive(Debug, Default)]
pub struct Signal {
    refusal: Option<Refusal>,
    keep_alive_due: bool,
    waker: Option<Waker>,
}

impl Signal {
    /// Ends the response with a refusal.
    pub fn refuse(&mut self, refusal: Refusal) {
        self.refusal = Some(refusal);
        self.wake();
    }

    /// Requests a keep-alive comment, to be written once no token is due.
    pub fn request_keep_alive(&mut self) {
        self.keep_alive_due = true;
        self.wake();
    }

    /// Waits for a refusal and takes it.
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

/// The body of a streamed response.
#[derive(Debug)]
pub struct Follower {
    buffer: SharedBuffer,
    signal: Rc<RefCell<Signal>>,
    position: usize,
    ended: bool,
    _guard: Guard,
}

impl Follower {
    /// Follows a buffer, starting after position `after`.
    pub fn new(
        buffer: SharedBuffer,
        signal: Rc<RefCell<Signal>>,
        resume_after: u64,
        guard: Guard,
    ) -> Self {
        Self {
            buffer,
            signal,
            position: resume_after as usize,
            ended: false,
            _guard: guard,
        }
    }

    /// Takes all available tokens as one chunk.
    fn take_tokens(&mut self, buffer: &Buffer) -> Option<Bytes> {
        let before = buffer.offset as usize;
        let start = self
            .position
            .saturating_sub(before)
            .min(buffer.tokens.len());
        let unsent = &buffer.tokens[start..];
        let first = unsent.first()?;
        let mut out = Vec::with_capacity(unsent.len() * (first.len() + 24));
        for data in unsent {
            self.position += 1;
            render::write_event(&mut out, self.position as u64, data);
        }
        Some(out.into())
    }
}

impl Source for Follower {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let buffer = self.buffer.clone();
        let mut buffer = buffer.borrow_mut();
        if let Some(chunk) = self.take_tokens(&buffer) {
            return Poll::Ready(Some(Ok(chunk)));
        }
        if buffer.complete {
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
        if std::mem::take(&mut signal.keep_alive_due) {
            return Poll::Ready(Some(Ok(sse::encode_comment("waiting"))));
        }
        buffer.register_waker(cx);
        Poll::Pending
    }
}
