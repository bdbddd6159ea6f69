//! Request bodies that are not complete. The budget keeps them, so that it can drop them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use super::{Budget, Exhausted, Guard, Holder, SMALL_BYTES};

/// A body of which nothing has been received for this time may be dropped for another one. A sender whose packet was
/// lost needs some 200 ms to repeat it.
const STALLED_AFTER: Duration = Duration::from_millis(300);
/// Size of the first buffer of a body without a declared length, in bytes.
const FIRST_BYTES: usize = 16 << 10;

/// A request body that is not complete.
#[derive(Debug)]
pub(super) struct Entry {
    /// `None` once it was evicted, or is complete.
    pub(super) content: RefCell<Option<Content>>,
    received: Cell<usize>,
    started_at: Instant,
    progressed_at: Cell<Instant>,
    pub(super) waker: RefCell<Option<Waker>>,
}

#[derive(Debug)]
pub(super) struct Content {
    buffer: BytesMut,
    guard: Guard,
}

impl Entry {
    /// How much is gained by dropping it: the bytes that it holds, times the time for which it has been stalled and in
    /// progress.
    pub(super) fn weight(&self, now: Instant) -> f64 {
        let content = self.content.borrow();
        let bytes = content.as_ref().map_or(0, |content| content.guard.bytes);
        let stalled = now.saturating_duration_since(self.progressed_at.get());
        let age = now.saturating_duration_since(self.started_at);
        bytes as f64 * (stalled + age).as_secs_f64()
    }

    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progressed_at.get()) >= STALLED_AFTER
    }
}

impl Budget {
    /// Takes room for a body that is to be received: all of its `declared` length, or a small buffer.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room for it.
    pub fn receive(&self, declared: Option<usize>) -> Result<Incoming, Exhausted> {
        let guard = self.take(Holder::Incoming, declared.unwrap_or(FIRST_BYTES))?;
        Ok(self.begin_body(guard))
    }

    /// Takes room for a body as [`Budget::receive`] does; a small one waits for a while for it.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room for it.
    pub async fn wait_to_receive(&self, declared: Option<usize>) -> Result<Incoming, Exhausted> {
        let bytes = declared.unwrap_or(FIRST_BYTES);
        if bytes > SMALL_BYTES {
            return self.receive(declared);
        }
        let mut guard = self.empty_guard(Holder::Incoming);
        self.wait_to_resize(&mut guard, bytes).await?;
        Ok(self.begin_body(guard))
    }

    /// Keeps a body for which there is room, until it is complete or dropped.
    fn begin_body(&self, guard: Guard) -> Incoming {
        let now = Instant::now();
        let entry = Rc::new(Entry {
            content: RefCell::new(Some(Content {
                // Pages that nothing is written to cost no memory.
                buffer: BytesMut::with_capacity(guard.bytes),
                guard,
            })),
            received: Cell::new(0),
            started_at: now,
            progressed_at: Cell::new(now),
            waker: RefCell::default(),
        });
        let id = self.0.last_id.get() + 1;
        self.0.last_id.set(id);
        self.0.incoming.borrow_mut().insert(id, entry.clone());
        Incoming {
            budget: self.clone(),
            id,
            entry,
        }
    }
}

/// A request body while it is received. The budget may drop its content at any time.
#[derive(Debug)]
pub struct Incoming {
    budget: Budget,
    id: u64,
    entry: Rc<Entry>,
}

/// How much the buffer of a body grows at a time. Most bodies are small, and a large one is copied only a few times.
const GROWTH_FACTOR: usize = 4;

/// The capacity that the buffer of a body of at most `bytes_max` is to have once it holds `length` bytes.
pub(crate) fn grown_capacity(buffer: &BytesMut, length: usize, bytes_max: usize) -> usize {
    (buffer.capacity() * GROWTH_FACTOR)
        .min(bytes_max)
        .max(length)
}

/// Moves the content of a buffer to a larger one.
pub(crate) fn grow(buffer: &mut BytesMut, capacity: usize) {
    let mut grown = BytesMut::with_capacity(capacity);
    grown.extend_from_slice(buffer);
    *buffer = grown;
}

impl Incoming {
    /// Number of bytes received.
    pub fn received(&self) -> usize {
        self.entry.received.get()
    }

    /// Becomes ready once the content was dropped.
    pub fn poll_evicted(&self, cx: &Context<'_>) -> Poll<Exhausted> {
        if self.entry.content.borrow().is_none() {
            return Poll::Ready(Exhausted);
        }
        let mut waker = self.entry.waker.borrow_mut();
        if !waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()))
        {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Appends received bytes of a body that has at most `bytes_max`.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room for them, or the content was dropped.
    pub fn push(&self, chunk: &[u8], bytes_max: usize) -> Result<(), Exhausted> {
        // The content stays with the entry unless the buffer has to grow, which may evict any body but this one.
        let Some(mut content) = self.entry.content.take() else {
            return Err(Exhausted);
        };
        let length = content.buffer.len() + chunk.len();
        if length > content.buffer.capacity() {
            let capacity = grown_capacity(&content.buffer, length, bytes_max);
            self.budget.resize(&mut content.guard, capacity)?;
            grow(&mut content.buffer, capacity);
        }
        content.buffer.extend_from_slice(chunk);
        self.entry.received.set(content.buffer.len());
        self.entry.progressed_at.set(Instant::now());
        self.entry.content.replace(Some(content));
        Ok(())
    }

    /// Returns the complete body, whose memory is held until its last clone is dropped.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the content was dropped.
    pub fn finish(self) -> Result<Bytes, Exhausted> {
        let mut content = self.entry.content.take().ok_or(Exhausted)?;
        content.guard.transfer(Holder::Request);
        let length = content.buffer.len();
        if content.buffer.capacity() > length * 2 {
            // Gives unused capacity back; the body of a request may wait for long.
            let body = Bytes::copy_from_slice(&content.buffer);
            content.guard.shrink(length);
            return Ok(content.guard.attach(body));
        }
        Ok(content.guard.attach(content.buffer.freeze()))
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        self.budget.0.incoming.borrow_mut().remove(&self.id);
    }
}
