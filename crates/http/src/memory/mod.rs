//! The memory that a process holds for others: callers, runners, peers and the store.
//!
//! A [`Budget`] bounds it. Whoever holds bytes for others takes a [`Guard`] first, which gives them back when dropped.
//! Request bodies that are not complete yet are kept in the budget itself, so that they can be dropped in favour of
//! work that has begun.

mod incoming;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use strum::{EnumCount as _, IntoEnumIterator as _};

use incoming::Entry;

pub use incoming::Incoming;
pub(crate) use incoming::{grow, grown_capacity};

/// Parts into which the capacity is divided for the ceilings.
const PARTS: usize = 8;
/// Least time between two sets of log lines on what was closed or found no room.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Size up to which a body, a head or the events of a stream are small, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// How long a request or a response waits for memory. Clients that leave responses unread are cut meanwhile.
const WAIT_TIME: Duration = Duration::from_millis(300);
const WAIT_INTERVAL: Duration = Duration::from_millis(15);

/// What memory is held for.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Holder {
    /// A request body that is not complete.
    Incoming,
    /// A request that is complete, or the head of one.
    Request,
    /// A response of a runner, until the client has taken it.
    Response,
    /// Events of a stream that the client has not taken.
    Stream,
    /// Responses of the store.
    Control,
}

impl Holder {
    /// How much of the capacity, in eighths, may be in use when a holder of `bytes` takes some. What a lower ceiling
    /// leaves is kept for those with a higher one: for what is small, the store, and then work that has begun. A small body
    /// may take as much as the head of its request: all of both belong to one call, and the body can be dropped.
    fn ceiling_parts(self, bytes: usize) -> usize {
        match self {
            Self::Control => PARTS,
            _ if bytes <= SMALL_BYTES => PARTS,
            Self::Incoming => 5,
            Self::Request | Self::Response | Self::Stream => 6,
        }
    }
}

/// Why this process closed a connection of a client.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Cut {
    /// A request head was not complete in time.
    SlowHead,
    /// No request came for the idle timeout.
    Idle,
    /// The client did not read its response.
    Unread,
    /// The connection made room for a new one.
    Displaced,
}

/// Bytes in use. Atomic because a [`Guard`] lives in [`Bytes`], which may be sent to other threads.
#[derive(Debug)]
struct Counts {
    capacity: usize,
    used: AtomicUsize,
    by_holder: [AtomicUsize; Holder::COUNT],
}

impl Counts {
    /// Takes bytes for a holder that has `held` already.
    fn take(&self, holder: Holder, held: usize, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let ceiling = self.ceiling(holder, held + bytes);
        let take = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= ceiling);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if taken.is_ok() {
            self.by_holder[holder as usize].fetch_add(bytes, Ordering::Relaxed);
        }
        taken.is_ok()
    }

    fn give_back(&self, holder: Holder, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.by_holder[holder as usize].fetch_sub(bytes, Ordering::Relaxed);
    }

    fn ceiling(&self, holder: Holder, bytes: usize) -> usize {
        self.capacity / PARTS * holder.ceiling_parts(bytes)
    }
}

/// Bytes taken from a [`Budget`], given back when dropped.
#[derive(Debug)]
pub struct Guard {
    counts: Arc<Counts>,
    holder: Holder,
    bytes: usize,
}

impl Guard {
    /// Number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives a part of the bytes back; with more bytes than are held, nothing.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.counts.give_back(self.holder, surplus);
        self.bytes -= surplus;
    }

    /// Changes what the bytes are held for. No ceiling applies: they are in use already.
    fn transfer(&mut self, holder: Holder) {
        self.counts.by_holder[self.holder as usize].fetch_sub(self.bytes, Ordering::Relaxed);
        self.counts.by_holder[holder as usize].fetch_add(self.bytes, Ordering::Relaxed);
        self.holder = holder;
    }

    /// Ties the guard to bytes: it is dropped with the last clone of the result.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Owned {
            bytes,
            _guard: self,
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.counts.give_back(self.holder, self.bytes);
    }
}

struct Owned {
    bytes: Bytes,
    _guard: Guard,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Counts of what did not find room, since the process started.
#[derive(Debug, Default)]
struct Refusals {
    by_holder: [AtomicU64; Holder::COUNT],
    evicted: AtomicU64,
    cuts: [AtomicU64; Cut::COUNT],
}

/// The bytes that a process may hold for others; clones share them.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    counts: Arc<Counts>,
    refusals: Refusals,
    incoming: RefCell<HashMap<u64, Rc<Entry>>>,
    last_id: Cell<u64>,
    is_short: Cell<bool>,
    /// When counts were last logged, and which.
    logged: RefCell<(Instant, Vec<u64>)>,
}

/// No memory is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left")]
pub struct Exhausted;

impl Budget {
    /// Creates a budget, in bytes.
    pub fn new(capacity: usize) -> Self {
        Self(Rc::new(Inner {
            counts: Arc::new(Counts {
                capacity,
                used: AtomicUsize::default(),
                by_holder: Default::default(),
            }),
            refusals: Refusals::default(),
            incoming: RefCell::default(),
            last_id: Cell::new(0),
            is_short: Cell::new(false),
            logged: RefCell::new((Instant::now(), Vec::new())),
        }))
    }

    /// Creates a budget that is never exhausted.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// The bytes that may be in use.
    pub fn capacity(&self) -> usize {
        self.0.counts.capacity
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        self.0.counts.used.load(Ordering::Relaxed)
    }

    /// The bytes in use by each holder.
    pub fn used_by_holder(&self) -> impl Iterator<Item = (&'static str, usize)> + '_ {
        Holder::iter().map(|holder| {
            let used = &self.0.counts.by_holder[holder as usize];
            (holder.into(), used.load(Ordering::Relaxed))
        })
    }

    /// How often each holder found no room.
    pub fn refused_by_holder(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Holder::iter().map(|holder| {
            let refused = &self.0.refusals.by_holder[holder as usize];
            (holder.into(), refused.load(Ordering::Relaxed))
        })
    }

    /// Number of incomplete bodies that were dropped in favour of others.
    pub fn evicted(&self) -> u64 {
        self.0.refusals.evicted.load(Ordering::Relaxed)
    }

    /// Number of connections of clients that were closed, by reason.
    pub fn cuts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Cut::iter().map(|cut| {
            let count = &self.0.refusals.cuts[cut as usize];
            (cut.into(), count.load(Ordering::Relaxed))
        })
    }

    /// Logs, at most once in a while, what was closed or found no room since the last time.
    pub(crate) fn log_changes(&self) {
        let last = &self.0.logged;
        if last.borrow().0.elapsed() < LOG_INTERVAL {
            return;
        }
        let counts: Vec<(&str, &str, u64)> = self
            .cuts()
            .map(|(reason, count)| ("connections_cut", reason, count))
            .chain(
                self.refused_by_holder()
                    .map(|(holder, count)| ("memory_exhausted", holder, count)),
            )
            .chain([("bodies_evicted", "incoming", self.evicted())])
            .collect();
        let (logged_at, logged) = &mut *last.borrow_mut();
        *logged_at = Instant::now();
        logged.resize(counts.len(), 0);
        for ((message, outcome, count), before) in counts.into_iter().zip(logged) {
            if count > *before {
                log::info!(outcome, count = count - *before; "{message}");
                *before = count;
            }
        }
    }

    /// Counts a connection that is closed.
    pub(crate) fn count_cut(&self, cut: Cut) {
        self.0.refusals.cuts[cut as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Creates a guard that has no bytes yet.
    pub fn empty_guard(&self, holder: Holder) -> Guard {
        Guard {
            counts: self.0.counts.clone(),
            holder,
            bytes: 0,
        }
    }

    /// Takes bytes. If there is no room, incomplete bodies are dropped: for another incomplete body only stalled ones.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if that gives no room either.
    pub fn take(&self, holder: Holder, bytes: usize) -> Result<Guard, Exhausted> {
        let mut guard = self.empty_guard(holder);
        self.resize(&mut guard, bytes)?;
        Ok(guard)
    }

    /// Changes the number of bytes of a guard, as [`Budget::take`] does.
    ///
    /// # Errors
    ///
    /// [`Exhausted`]; the guard keeps its bytes.
    pub fn resize(&self, guard: &mut Guard, bytes: usize) -> Result<(), Exhausted> {
        if bytes <= guard.bytes {
            guard.shrink(bytes);
            return Ok(());
        }
        if !self.make_room(guard.holder, guard.bytes, bytes - guard.bytes) {
            self.0.refusals.by_holder[guard.holder as usize].fetch_add(1, Ordering::Relaxed);
            return Err(Exhausted);
        }
        guard.bytes = bytes;
        Ok(())
    }

    /// Changes the number of bytes of a guard, as [`Budget::resize`] does, and waits for a while for room.
    ///
    /// # Errors
    ///
    /// [`Exhausted`]; the guard keeps its bytes.
    pub async fn wait_to_resize(&self, guard: &mut Guard, bytes: usize) -> Result<(), Exhausted> {
        let started_at = Instant::now();
        while bytes > guard.bytes && started_at.elapsed() < WAIT_TIME {
            if self.make_room(guard.holder, guard.bytes, bytes - guard.bytes) {
                guard.bytes = bytes;
                return Ok(());
            }
            self.0.is_short.set(true);
            monoio::time::sleep(WAIT_INTERVAL).await;
        }
        self.resize(guard, bytes)
    }

    /// Whether something has waited for memory since the last call.
    pub(crate) fn take_shortage(&self) -> bool {
        self.0.is_short.take()
    }

    fn make_room(&self, holder: Holder, held: usize, bytes: usize) -> bool {
        let counts = &self.0.counts;
        while !counts.take(holder, held, bytes) {
            let is_hopeless = bytes > counts.ceiling(holder, held + bytes);
            if is_hopeless || !self.evict(holder == Holder::Incoming) {
                return false;
            }
        }
        true
    }

    /// Drops the incomplete body with the greatest weight, of the stalled ones or of all. Returns whether there was one.
    fn evict(&self, only_stalled: bool) -> bool {
        let now = Instant::now();
        let incoming = self.0.incoming.borrow();
        let candidates = incoming
            .values()
            .filter(|entry| entry.content.borrow().is_some())
            .filter(|entry| !only_stalled || entry.is_stalled(now));
        let heaviest = candidates.max_by(|a, b| a.weight(now).total_cmp(&b.weight(now)));
        let Some(entry) = heaviest else {
            return false;
        };
        entry.content.replace(None);
        self.0.refusals.evicted.fetch_add(1, Ordering::Relaxed);
        if let Some(waker) = entry.waker.borrow_mut().take() {
            waker.wake();
        }
        true
    }
}
