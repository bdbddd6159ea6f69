//! What a server knows of one connection, and the socket as `hyper` sees it.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::task::AtomicWaker;
use http::Version;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;

use crate::body::Truncated;
use crate::memory::Cut;

/// Bytes a second that a client has to take of a response for which it lets the server wait.
const READ_RATE_MIN: u64 = 4 << 10;
/// A client that has sent nothing for this time, within a request, is slow: one that is at work sends on at once, and a
/// packet that was lost is repeated after some 200 ms.
const SLOW_AFTER: Duration = Duration::from_millis(300);

/// How long a client's system may acknowledge nothing of what was written.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// Send buffer of a connection whose last response is being written, in bytes. The system may allow less.
const LAST_SEND_BUFFER_BYTES: usize = 1 << 20;
/// Bytes of input that are dropped at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// Connections that are looked at to find one that can make room.
const CANDIDATES_MAX: usize = 16;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It is new, or a part of a request head has come.
    Head,
    /// A request is served.
    Exchange,
    /// It waits for the next request.
    Idle,
}

/// What the response to a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The rest of the request.
    Receiving,
    /// The handler, or the source of the response's body.
    Serving,
    /// The client, which has not taken all bytes.
    Sending,
}

/// A response that a client has not received completely.
#[derive(Debug, Clone)]
pub struct Unreceived {
    /// The id of the request, if its handler has named it.
    pub request: Option<Arc<str>>,
    /// What the response waits for.
    pub state: State,
    /// Time since the request was read; of one whose head is incomplete, since its first byte.
    pub age: Duration,
    /// Bytes that the client's system has not acknowledged, or that wait in this process to be written.
    pub bytes: u64,
}

/// How urgently a connection is closed to make room for another one; a greater one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Claim {
    /// A response is being written.
    Responding,
    /// A request was served a moment ago; the next one may be on its way.
    InUse,
    /// A request is being received.
    Receiving(Part),
    /// A request that was sent ahead waits for its turn.
    Ahead,
    /// No request has come for a while.
    Idle,
    /// The client lets the server wait.
    Slow,
}

/// What has come of a request that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    /// Nothing yet: the connection is new.
    Nothing,
    /// A part of the head.
    Head,
    /// The head, and perhaps a part of the body.
    Body,
}

/// Number of connections whose requests have come as far, by [`Part`].
#[derive(Debug, Default)]
struct Crowd([usize; 3]);

impl Crowd {
    fn count(claims: impl Iterator<Item = Claim>) -> Self {
        let mut crowd = Self::default();
        for claim in claims {
            if let Claim::Receiving(part) = claim {
                crowd.0[part as usize] += 1;
            }
        }
        crowd
    }

    /// How many connections claim the same as one that is receiving a request, and what it is.
    fn rank(&self, claim: Claim) -> (Claim, usize, Claim) {
        match claim {
            Claim::Receiving(part) => {
                let count = self.0[part as usize];
                (Claim::Receiving(Part::Nothing), count, claim)
            }
            claim => (claim, 0, claim),
        }
    }
}

/// Closes a connection from anywhere in the process.
#[derive(Debug, Clone)]
pub struct Handle(Arc<Remote>);

#[derive(Debug, Default)]
struct Remote {
    is_cut: AtomicBool,
    /// Whether the body of a request is being received.
    is_receiving: AtomicBool,
    /// The id of the request that is served, or was served last.
    request: Mutex<Option<Arc<str>>>,
    waker: AtomicWaker,
}

impl Handle {
    /// Closes the connection, since its client leaves too much of its response unread.
    pub fn cut(&self) {
        self.0.is_cut.store(true, Ordering::Relaxed);
        self.0.waker.wake();
    }

    /// Marks whether the body of a request is being received.
    pub fn set_receiving(&self, is_receiving: bool) {
        self.0.is_receiving.store(is_receiving, Ordering::Relaxed);
    }

    /// Names the request that is served, for [`Unreceived`].
    pub fn set_request(&self, id: Arc<str>) {
        *self.request() = Some(id);
    }

    fn request(&self) -> MutexGuard<'_, Option<Arc<str>>> {
        self.0
            .request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The longest that a client may let the server wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For a complete request head.
    pub head: Duration,
    /// For the next request.
    pub idle: Duration,
    /// For taking a part of the response.
    pub unread: Duration,
}

/// What a server knows of one connection.
#[derive(Debug)]
pub(crate) struct Control {
    /// Its socket, open for as long as the connection is registered.
    socket: RawFd,
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// Whether bytes of a handler's response may still be written.
    is_responding: Cell<bool>,
    /// Whether a part of a request head has come.
    has_head: Cell<bool>,
    last_read_at: Cell<Instant>,
    /// When the client began to let the server wait with its response, and the bytes that it has taken since then.
    blocked: Cell<Option<(Instant, u64)>>,
    /// Whether a body that ends with the connection has come to its end, which is not written yet.
    ends_after_flush: Cell<bool>,
    /// Bytes that were written, and those of them that the client's system had acknowledged at some time; since then it has
    /// acknowledged no more.
    written: Cell<u64>,
    acknowledged: Cell<(u64, Instant)>,
    /// Bytes that `hyper` wanted to write when it wrote last, and that the system did not take.
    unwritten: Cell<usize>,
    /// When the last request was read.
    exchange_began_at: Cell<Instant>,
    /// Wakes the reader once the response is written.
    reader: RefCell<Option<Waker>>,
    /// Number of this turn of the connection's task.
    turn: Cell<u64>,
    /// The turn in which the last exchange ended.
    ended_in: Cell<u64>,
    /// Requests in a row that the client sent before it can have seen the response to the one before.
    ahead: Cell<u32>,
    /// Whether a request that was sent ahead waits for its turn.
    is_delayed: Cell<bool>,
    cut: Cell<Option<Cut>>,
    handle: Handle,
}

impl Control {
    pub(crate) fn new(socket: RawFd) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            socket,
            phase: Cell::new(Phase::Head),
            has_head: Cell::new(false),
            is_responding: Cell::new(false),
            since: Cell::new(now),
            last_read_at: Cell::new(now),
            blocked: Cell::new(None),
            ends_after_flush: Cell::new(false),
            written: Cell::new(0),
            acknowledged: Cell::new((0, now)),
            unwritten: Cell::new(0),
            exchange_began_at: Cell::new(now),
            reader: RefCell::default(),
            turn: Cell::new(1),
            ended_in: Cell::new(0),
            ahead: Cell::new(0),
            is_delayed: Cell::new(false),
            cut: Cell::new(None),
            handle: Handle(Arc::default()),
        })
    }

    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Has the task of the connection woken when it is closed from elsewhere.
    pub(crate) fn register(&self, waker: &Waker) {
        self.handle.0.waker.register(waker);
    }

    pub(crate) fn wake(&self) {
        self.handle.0.waker.wake();
    }

    /// Has the connection closed.
    pub(crate) fn cut(&self, cut: Cut) {
        self.cut.set(Some(cut));
        self.wake();
    }

    /// Why the connection is to be closed, if it is.
    pub(crate) fn cut_reason(&self) -> Option<Cut> {
        let is_cut = self.handle.0.is_cut.load(Ordering::Relaxed);
        self.cut.get().or(is_cut.then_some(Cut::Unread))
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Begins a turn of the connection's task.
    pub(crate) fn begin_turn(&self) {
        self.turn.set(self.turn.get() + 1);
    }

    /// Begins a request; returns how many in a row, this one included, were sent ahead of responses.
    pub(crate) fn begin_exchange(&self) -> u32 {
        self.enter(Phase::Exchange);
        self.exchange_began_at.set(self.since.get());
        self.handle.request().take();
        self.is_responding.set(true);
        let is_ahead = self.ended_in.get() == self.turn.get();
        let ahead = if is_ahead { self.ahead.get() + 1 } else { 0 };
        self.ahead.set(ahead);
        ahead
    }

    /// Marks whether a request that was sent ahead waits for its turn.
    pub(crate) fn set_delayed(&self, is_delayed: bool) {
        self.is_delayed.set(is_delayed);
    }

    /// Whether bytes of a handler's response may still be written: from the arrival of its request until all that there is
    /// has been written after the end of its body.
    pub(crate) fn is_responding(&self) -> bool {
        self.is_responding.get()
    }

    fn end_exchange(&self) {
        self.has_head.set(false);
        self.ended_in.set(self.turn.get());
        self.enter(Phase::Idle);
    }

    /// Which timeout has passed, if any.
    pub(crate) fn overdue(&self, now: Instant, timeouts: &Timeouts) -> Option<Cut> {
        if let Some((since, taken)) = self.blocked.get() {
            if now.saturating_duration_since(since) < timeouts.unread {
                return None;
            }
            let least = timeouts.unread.as_secs_f64() * READ_RATE_MIN as f64;
            if (taken as f64) < least {
                return Some(Cut::Unread);
            }
            self.blocked.set(Some((now, 0)));
            return None;
        }
        let waited = now.saturating_duration_since(self.since.get());
        match self.phase.get() {
            Phase::Head if waited >= timeouts.head => Some(Cut::SlowHead),
            Phase::Idle if waited >= timeouts.idle && !self.has_unread() => Some(Cut::Idle),
            _ => None,
        }
    }

    /// Whether the client's system has acknowledged nothing for too long. To be called regularly.
    pub(crate) fn is_unacknowledged(&self, now: Instant) -> bool {
        let undelivered = self.undelivered();
        let acknowledged = self.written.get().saturating_sub(undelivered);
        let (last, since) = self.acknowledged.get();
        if undelivered == 0 || acknowledged != last {
            self.acknowledged.set((acknowledged, now));
            return false;
        }
        now.saturating_duration_since(since) >= UNACKNOWLEDGED_TIMEOUT
    }

    /// How urgently, and for how long already, the connection should make room for another one; none while its request
    /// is served.
    fn claim(&self, now: Instant) -> Option<(Claim, Duration)> {
        if self.cut_reason().is_some() {
            return None;
        }
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let (claim, waited) = match (self.blocked.get(), self.phase.get()) {
            (Some((since, _)), _) => (Claim::Responding, elapsed(since)),
            (None, Phase::Idle) => {
                let waited = elapsed(self.since.get());
                let is_idle = waited >= SLOW_AFTER;
                return Some((if is_idle { Claim::Idle } else { Claim::InUse }, waited));
            }
            (None, Phase::Head) => {
                let has_head = self.has_head.get();
                let part = if has_head { Part::Head } else { Part::Nothing };
                (Claim::Receiving(part), elapsed(self.since.get()))
            }
            (None, Phase::Exchange) if self.is_delayed.get() => {
                let is_received = !self.has_undelivered();
                let claim = if is_received {
                    Claim::Ahead
                } else {
                    Claim::Responding
                };
                return Some((claim, elapsed(self.since.get())));
            }
            (None, Phase::Exchange) => {
                if !self.handle.0.is_receiving.load(Ordering::Relaxed) {
                    return None;
                }
                let waited = elapsed(self.last_read_at.get());
                (Claim::Receiving(Part::Body), waited)
            }
        };
        if waited >= SLOW_AFTER {
            return Some((Claim::Slow, waited));
        }
        Some((claim, waited))
    }

    /// For how long the client has left its response unread, if that is longer than a client at work does.
    pub(crate) fn unread_for(&self, now: Instant) -> Option<Duration> {
        let (since, _) = self.blocked.get()?;
        let unread = now.saturating_duration_since(since);
        (unread >= SLOW_AFTER && self.cut_reason().is_none()).then_some(unread)
    }

    /// What the client has not received, if a request is being received or served, or the client has not received all of
    /// a response.
    pub(crate) fn unreceived(&self) -> Option<Unreceived> {
        let bytes = self.undelivered() + self.unwritten.get() as u64;
        let (state, since) = match self.phase.get() {
            Phase::Head if self.has_head.get() => (State::Receiving, &self.since),
            Phase::Exchange if self.handle.0.is_receiving.load(Ordering::Relaxed) => {
                (State::Receiving, &self.exchange_began_at)
            }
            _ if bytes > 0 || self.blocked.get().is_some() => {
                (State::Sending, &self.exchange_began_at)
            }
            Phase::Exchange => (State::Serving, &self.exchange_began_at),
            Phase::Head | Phase::Idle => return None,
        };
        let request = match self.phase.get() {
            Phase::Head => None,
            Phase::Exchange | Phase::Idle => self.handle.request().clone(),
        };
        let age = since.get().elapsed();
        Some(Unreceived {
            request,
            state,
            age,
            bytes,
        })
    }

    /// Whether the client's system has not acknowledged all bytes that were written.
    pub(crate) fn has_undelivered(&self) -> bool {
        self.undelivered() > 0
    }

    /// Bytes that were written and that the client's system has not acknowledged; none of a connection that is lost.
    fn undelivered(&self) -> u64 {
        let mut bytes: libc::c_int = 0;
        // SAFETY: The socket is closed only after the connection is no longer registered, and the call writes one `c_int`.
        let failed = unsafe { libc::ioctl(self.socket, libc::TIOCOUTQ, &mut bytes) } != 0;
        let bytes = if failed { 0 } else { bytes };
        u64::try_from(bytes).unwrap_or(0)
    }

    /// Lets the system hold as much of the response as it may, so that the client can receive it after this process has
    /// ended.
    pub(crate) fn extend_send_buffer(&self) {
        if let Err(error) =
            SockRef::from(&self.socket()).set_send_buffer_size(LAST_SEND_BUFFER_BYTES)
        {
            log::info!(error:% = error; "send_buffer_not_extended");
        }
    }

    /// Lets the close of the connection reset it, whoever closes it, or not any more.
    fn set_reset_on_close(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.socket()).set_linger(linger) {
            log::info!(error:% = error; "linger_not_set");
        }
    }

    /// Drops what the client has sent.
    pub(crate) fn discard_input(&self) {
        let mut buffer = [MaybeUninit::uninit(); DISCARD_BYTES];
        // The socket does not block; an error shows in what is written.
        _ = SockRef::from(&self.socket()).recv(&mut buffer);
    }

    fn socket(&self) -> BorrowedFd<'_> {
        // SAFETY: The socket is closed only after the connection is no longer registered.
        unsafe { BorrowedFd::borrow_raw(self.socket) }
    }

    /// Whether the system has received bytes that were not read. Then the process is slow, not the client.
    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.socket()).peek(&mut byte), Ok(1..))
    }

    /// Whether the process leaves unread what the client sends, until the client has taken a response or waited its turn.
    fn keeps_unread(&self) -> bool {
        self.blocked.get().is_some() || self.is_delayed.get()
    }

    /// The connection that should make room for another one; all are registered. Of those that are receiving requests,
    /// the most common kind makes room, so that a burst of one kind displaces no other.
    pub(crate) fn pick<'a>(controls: impl Iterator<Item = &'a Rc<Self>>) -> Option<&'a Rc<Self>> {
        let now = Instant::now();
        let claims = controls.filter_map(|control| Some((control.claim(now)?, control)));
        let mut claims: Vec<_> = claims.collect();
        let crowd = Crowd::count(claims.iter().map(|((claim, _), _)| *claim));
        claims.sort_by_key(|((claim, waited), _)| (crowd.rank(*claim), *waited));
        let candidates = claims.into_iter().rev().map(|(_, control)| control);
        let mut candidates = candidates.take(CANDIDATES_MAX);
        candidates.find(|control| control.keeps_unread() || !control.has_unread())
    }
}

/// A socket that tells its [`Control`] what happens, and from which nothing is read while a response is left unread.
pub(crate) struct Monitored<T> {
    inner: T,
    control: Rc<Control>,
}

impl<T> Monitored<T> {
    pub(crate) fn new(inner: T, control: Rc<Control>) -> Self {
        Self { inner, control }
    }
}

impl<T: Read + Unpin> Read for Monitored<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.control.blocked.get().is_some() {
            self.control.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let control = &self.control;
        control.last_read_at.set(Instant::now());
        control.has_head.set(true);
        if control.phase.get() == Phase::Idle {
            control.enter(Phase::Head);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for Monitored<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        let taken = match &written {
            Poll::Ready(Ok(bytes)) => *bytes,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.control.unwritten.set(buf.len() - taken);
        let before = self.control.written.get();
        self.control.written.set(before + taken as u64);
        let blocked = &self.control.blocked;
        match (&written, blocked.get()) {
            (Poll::Pending, None) => blocked.set(Some((Instant::now(), 0))),
            (Poll::Ready(Ok(bytes)), Some((since, taken))) => {
                blocked.set(Some((since, taken + *bytes as u64)));
            }
            _ => {}
        }
        written
    }

    /// `hyper` flushes once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        if self.control.ends_after_flush.take() {
            self.control.set_reset_on_close(false);
        }
        if self.control.phase.get() != Phase::Exchange {
            self.control.is_responding.set(false);
        }
        if self.control.blocked.take().is_some() {
            if let Some(waker) = self.control.reader.take() {
                waker.wake();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// The body of a response, whose end is the end of its exchange.
pub(crate) struct Tracked<B> {
    body: B,
    control: Rc<Control>,
    /// Whether the body has neither a length nor chunks and ends with the connection.
    ends_with_connection: bool,
}

impl<B: Body> Tracked<B> {
    /// Has the connection reset if it ends before a body whose end is its own, as the client could not tell that.
    pub(crate) fn new(body: B, control: Rc<Control>, version: Version) -> Self {
        let ends_with_connection = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        if ends_with_connection {
            control.set_reset_on_close(true);
        }
        Self {
            body,
            control,
            ends_with_connection,
        }
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.control.end_exchange();
    }
}

impl<B: Body<Data = Bytes, Error = Truncated> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let next = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if next.is_none() && self.ends_with_connection {
            self.control.ends_after_flush.set(true);
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
