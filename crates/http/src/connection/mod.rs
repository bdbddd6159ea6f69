//! What a server knows of one connection.

mod claim;
mod monitored;

use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, RawFd};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::{Duration, Instant};

use futures::task::AtomicWaker;
use socket2::SockRef;

use crate::memory::Cut;
use crate::socket;

pub(crate) use monitored::{Monitored, Tracked};

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

    /// For how long the client has left its response unread, if that is longer than a client at work does.
    pub(crate) fn unread_for(&self, now: Instant) -> Option<Duration> {
        let (since, _) = self.blocked.get()?;
        let unread = now.saturating_duration_since(since);
        (unread >= SLOW_AFTER && self.cut_reason().is_none()).then_some(unread)
    }

    /// What the client has not received, if it has not received all.
    pub(crate) fn unreceived(&self) -> Option<Unreceived> {
        let bytes = self.unreceived_bytes();
        let state = self.unreceived_state(bytes)?;
        let (request, since) = match self.phase.get() {
            Phase::Head => (None, self.since.get()),
            Phase::Exchange | Phase::Idle => {
                (self.handle.request().clone(), self.exchange_began_at.get())
            }
        };
        let age = since.elapsed();
        Some(Unreceived {
            request,
            state,
            age,
            bytes,
        })
    }

    /// Whether a request is being received or served, or the client has not received all of a response.
    pub(crate) fn has_unreceived(&self) -> bool {
        self.unreceived_state(self.unreceived_bytes()).is_some()
    }

    /// Bytes that the client's system has not acknowledged, or that wait to be written.
    fn unreceived_bytes(&self) -> u64 {
        self.undelivered() + self.unwritten.get() as u64
    }

    /// What a response waits for, if there is one of which so many bytes are not received.
    fn unreceived_state(&self, bytes: u64) -> Option<State> {
        let is_receiving = || self.handle.0.is_receiving.load(Ordering::Relaxed);
        match self.phase.get() {
            Phase::Head if self.has_head.get() => Some(State::Receiving),
            Phase::Exchange if is_receiving() => Some(State::Receiving),
            _ if bytes > 0 || self.blocked.get().is_some() => Some(State::Sending),
            Phase::Exchange => Some(State::Serving),
            Phase::Head | Phase::Idle => None,
        }
    }

    /// Whether the client's system has not acknowledged all bytes that were written.
    pub(crate) fn has_undelivered(&self) -> bool {
        self.undelivered() > 0
    }

    /// Bytes that were written and that the client's system has not acknowledged; none of a connection that is lost.
    fn undelivered(&self) -> u64 {
        socket::unacknowledged_bytes(self.socket())
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
}
