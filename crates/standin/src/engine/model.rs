//! What an engine holds: queue, results, streams, memory, and counts.

use std::cell::{Cell as Plain, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use serde::{Deserialize, Serialize};

use super::cache::{Cache, Digest};
use super::{Cell, Faults, Settings, PIECE_TOKENS};
use crate::observed;

/// How long an ended stream can be resumed.
const ENDED_LIFE: Duration = Duration::from_secs(30);
/// Cancels remembered, so that a request that comes after its cancel is refused.
const CANCELS_REMEMBERED: usize = 10_000;

/// A prefill that waits or runs.
pub struct Prefill {
    /// Name of the request.
    pub request: String,
    /// Length of the prompt with what was generated, in tokens.
    pub tokens: u64,
    /// Digests of its prefixes.
    pub prefixes: Vec<Digest>,
    /// Takes the result.
    pub done: oneshot::Sender<()>,
}

/// A finished prefill whose KV cache waits for import.
pub struct Held {
    /// Length, in tokens.
    pub tokens: u64,
    /// Tokens computed for it.
    pub computed: u64,
    /// When it goes.
    pub until: Instant,
}

/// A stream that generates.
pub struct Stream {
    /// Digest of the prompt, in each token's text.
    pub digest: u32,
    /// Whether tokens have the shape of chat.
    pub chat: bool,
    /// Position of the first frame.
    pub from: u64,
    /// The tokens so far.
    pub frames: Vec<Bytes>,
    /// Position of the last token.
    pub last: u64,
    /// Pieces it holds.
    pub pieces: u64,
    /// Whether it was cancelled or lost.
    pub broken: bool,
    /// Who waits for the next token.
    pub wakers: Vec<Waker>,
}

impl Stream {
    /// Tells whether all its tokens are there.
    pub fn is_done(&self) -> bool {
        self.from + self.frames.len() as u64 >= self.last
    }
}

/// A load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: u64,
    /// Prefills that wait or run.
    pub queued: u64,
    /// Prompt tokens of those.
    pub queued_tokens: u64,
    /// Free pieces of memory.
    pub free_pieces: u64,
}

/// An order to load a model or to change role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// Role to take.
    #[serde(default)]
    pub role: Option<String>,
    /// Model or adapter to load.
    #[serde(default)]
    pub load: Option<String>,
}

struct Inner {
    settings: Settings,
    faults: Faults,
    cache: RefCell<Cache>,
    queue: RefCell<BTreeMap<(u8, u64), Prefill>>,
    sequence: Plain<u64>,
    queue_wake: RefCell<Option<oneshot::Sender<()>>>,
    held: RefCell<HashMap<String, Held>>,
    streams: RefCell<BTreeMap<String, Cell<Stream>>>,
    batch_wake: RefCell<Option<oneshot::Sender<()>>>,
    /// Streams that have ended, kept for a while for whoever resumes them.
    ended: RefCell<HashMap<String, (Instant, Cell<Stream>)>>,
    importing: Plain<u64>,
    pieces_held: Plain<u64>,
    cancelled: RefCell<(HashSet<String>, VecDeque<String>)>,
    link_free: Plain<Option<Instant>>,
    counts: RefCell<observed::Runner>,
    reports: RefCell<VecDeque<(Instant, Load)>>,
    fence: Plain<u64>,
    /// Changes at each crash, so that tasks of the time before give up.
    epoch: Plain<u64>,
}

/// The parts of an engine share this; clones are handles.
#[derive(Clone)]
pub struct Model(Rc<Inner>);

impl Model {
    /// An idle engine.
    pub fn open(settings: Settings) -> Self {
        let cache = RefCell::new(Cache::new(settings.cache_blocks));
        let counts = observed::Runner {
            id: settings.name.clone(),
            endpoint: settings.endpoint.clone(),
            ..Default::default()
        };
        Self(Rc::new(Inner {
            settings,
            faults: Faults::default(),
            cache,
            queue: RefCell::default(),
            sequence: Plain::new(0),
            queue_wake: RefCell::default(),
            held: RefCell::default(),
            streams: RefCell::default(),
            batch_wake: RefCell::default(),
            ended: RefCell::default(),
            importing: Plain::new(0),
            pieces_held: Plain::new(0),
            cancelled: RefCell::default(),
            link_free: Plain::new(None),
            counts: RefCell::new(counts),
            reports: RefCell::default(),
            fence: Plain::new(0),
            epoch: Plain::new(0),
        }))
    }

    /// How it performs.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Its fault switch.
    pub fn switch(&self) -> &Faults {
        &self.0.faults
    }

    /// Changes at each crash.
    pub fn epoch(&self) -> u64 {
        self.0.epoch.get()
    }

    /// Lets a function change the counts.
    pub fn count(&self, f: impl FnOnce(&mut observed::Runner)) {
        f(&mut self.0.counts.borrow_mut());
    }

    /// The prefix cache.
    pub fn cache(&self) -> std::cell::RefMut<'_, Cache> {
        self.0.cache.borrow_mut()
    }

    /// Pieces for so many tokens.
    pub fn pieces_for(tokens: u64) -> u64 {
        tokens.div_ceil(PIECE_TOKENS)
    }

    /// Takes pieces, if there are enough.
    pub fn take_pieces(&self, pieces: u64) -> bool {
        let held = self.0.pieces_held.get() + pieces;
        let fits = held <= self.0.settings.pieces;
        if fits {
            self.0.pieces_held.set(held);
        }
        fits
    }

    /// Gives pieces back.
    pub fn free_pieces(&self, pieces: u64) {
        self.0
            .pieces_held
            .set(self.0.pieces_held.get().saturating_sub(pieces));
    }

    /// Queues a prefill.
    pub fn queue(&self, priority: u8, prefill: Prefill) {
        let sequence = self.0.sequence.get() + 1;
        self.0.sequence.set(sequence);
        self.0
            .queue
            .borrow_mut()
            .insert((priority, sequence), prefill);
        wake(&self.0.queue_wake);
    }

    /// Takes the prefill that goes next, once there is one.
    pub async fn next_prefill(&self) -> Prefill {
        loop {
            if let Some((_, prefill)) = self.0.queue.borrow_mut().pop_first() {
                return prefill;
            }
            wait(&self.0.queue_wake).await;
        }
    }

    /// Keeps a prefill's result for its import.
    pub fn hold(&self, request: String, tokens: u64, computed: u64) {
        self.waste(&request);
        let until = Instant::now() + self.0.settings.result_life;
        self.0.held.borrow_mut().insert(
            request,
            Held {
                tokens,
                computed,
                until,
            },
        );
    }

    /// Takes a result for its import.
    pub fn take_held(&self, handle: &str) -> Option<Held> {
        self.drop_old_results();
        let held = self.0.held.borrow_mut().remove(handle)?;
        self.free_pieces(Self::pieces_for(held.tokens));
        Some(held)
    }

    /// Drops results that were not imported in time.
    pub fn drop_old_results(&self) {
        let now = Instant::now();
        let old: Vec<String> = {
            let held = self.0.held.borrow();
            held.iter()
                .filter(|(_, held)| held.until <= now)
                .map(|(handle, _)| handle.clone())
                .collect()
        };
        for handle in old {
            self.waste(&handle);
        }
    }

    fn waste(&self, handle: &str) -> bool {
        let Some(held) = self.0.held.borrow_mut().remove(handle) else {
            return false;
        };
        self.free_pieces(Self::pieces_for(held.tokens));
        self.count(|counts| counts.prefill_tokens_wasted += held.computed);
        true
    }

    /// Time at which this engine's link has moved so many tokens' cache, after all before it.
    pub fn link_slot(&self, tokens: u64) -> Instant {
        let now = Instant::now();
        let start = self.0.link_free.get().map_or(now, |free| free.max(now));
        let end = start + self.0.settings.link_per_token.saturating_mul(tokens as u32);
        self.0.link_free.set(Some(end));
        end
    }

    /// Takes a slot of the batch and pieces for a stream that is about to import its cache.
    pub fn reserve(&self, tokens: u64) -> Option<Reservation> {
        let used = self.0.streams.borrow().len() as u64 + self.0.importing.get();
        if used >= self.0.settings.slots as u64 || !self.take_pieces(Self::pieces_for(tokens)) {
            self.count(|counts| counts.refused += 1);
            return None;
        }
        self.0.importing.set(self.0.importing.get() + 1);
        let epoch = self.epoch();
        Some(Reservation {
            model: self.clone(),
            tokens,
            epoch,
        })
    }

    /// Gives back what [`Model::reserve`] took.
    fn unreserve(&self, tokens: u64) {
        self.0
            .importing
            .set(self.0.importing.get().saturating_sub(1));
        self.free_pieces(Self::pieces_for(tokens));
    }

    /// Turns a reservation into a stream.
    pub fn start(&self, reservation: Reservation, request: String, stream: Cell<Stream>) {
        let pieces = stream.borrow().pieces;
        drop(reservation);
        // What the reservation gave back is free still, as nothing runs in between.
        self.take_pieces(pieces);
        self.end(&request);
        self.0.streams.borrow_mut().insert(request, stream);
        wake(&self.0.batch_wake);
    }

    /// The streams of the batch, once there are any.
    pub async fn batch(&self) -> Vec<(String, Cell<Stream>)> {
        loop {
            let streams: Vec<_> = self
                .0
                .streams
                .borrow()
                .iter()
                .map(|(name, stream)| (name.clone(), stream.clone()))
                .collect();
            if !streams.is_empty() {
                return streams;
            }
            wait(&self.0.batch_wake).await;
        }
    }

    /// Ends a stream and frees its memory.
    pub fn end(&self, request: &str) -> Option<Cell<Stream>> {
        let stream = self.0.streams.borrow_mut().remove(request)?;
        let pieces = std::mem::take(&mut stream.borrow_mut().pieces);
        self.free_pieces(pieces);
        Some(stream)
    }

    /// Ends a stream that has all its tokens.
    pub fn finish(&self, request: &str) {
        if let Some(stream) = self.end(request) {
            let mut ended = self.0.ended.borrow_mut();
            ended.retain(|_, (at, _)| at.elapsed() < ENDED_LIFE);
            ended.insert(request.to_owned(), (Instant::now(), stream));
        }
    }

    /// Gives a stream another name; whoever follows it under the old one no longer holds it.
    pub fn rename(&self, previous: &str, name: &str) -> Option<Cell<Stream>> {
        let running = self.0.streams.borrow_mut().remove(previous);
        if let Some(stream) = running {
            self.0
                .streams
                .borrow_mut()
                .insert(name.to_owned(), stream.clone());
            return Some(stream);
        }
        let (at, stream) = self.0.ended.borrow_mut().remove(previous)?;
        self.0
            .ended
            .borrow_mut()
            .insert(name.to_owned(), (at, stream.clone()));
        Some(stream)
    }

    /// Drops all that a request holds, and whatever of it is still to come.
    pub fn cancel(&self, request: &str) {
        self.count(|counts| counts.cancels += 1);
        let mut cancelled = self.0.cancelled.borrow_mut();
        let (set, order) = &mut *cancelled;
        if set.insert(request.to_owned()) {
            order.push_back(request.to_owned());
        }
        if order.len() > CANCELS_REMEMBERED {
            if let Some(oldest) = order.pop_front() {
                set.remove(&oldest);
            }
        }
        drop(cancelled);
        self.drop_queued(request);
        self.waste(request);
        self.0.ended.borrow_mut().remove(request);
        if let Some(stream) = self.end(request) {
            let mut stream = stream.borrow_mut();
            stream.broken = true;
            stream.wakers.drain(..).for_each(Waker::wake);
        }
    }

    fn drop_queued(&self, request: &str) {
        let mut queue = self.0.queue.borrow_mut();
        let found = queue
            .iter()
            .find(|(_, prefill)| prefill.request == request)
            .map(|(place, _)| *place);
        if let Some(prefill) = found.and_then(|place| queue.remove(&place)) {
            self.free_pieces(Self::pieces_for(prefill.tokens));
        }
    }

    /// Tells whether a request was cancelled before.
    pub fn is_cancelled(&self, request: &str) -> bool {
        self.0.cancelled.borrow().0.contains(request)
    }

    /// Takes an order unless its fencing number is old and that matters to this engine.
    pub fn order(&self, order: &Order) -> bool {
        if self.0.settings.honours_fencing && order.fence < self.0.fence.get() {
            return false;
        }
        self.0.fence.set(order.fence);
        self.count(|counts| counts.orders.push(order.fence));
        true
    }

    /// The newest report that is old enough to be published.
    pub fn load_report(&self) -> Load {
        let reports = self.0.reports.borrow();
        let lag = self.0.settings.report_lag;
        reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }

    /// Notes the load as it is now, for a later report.
    pub fn note_load(&self) {
        let queue = self.0.queue.borrow();
        let load = Load {
            running: self.0.streams.borrow().len() as u64,
            queued: queue.len() as u64,
            queued_tokens: queue.values().map(|prefill| prefill.tokens).sum(),
            free_pieces: self
                .0
                .settings
                .pieces
                .saturating_sub(self.0.pieces_held.get()),
        };
        let mut reports = self.0.reports.borrow_mut();
        reports.push_back((Instant::now(), load));
        while reports.len() > 64 {
            reports.pop_front();
        }
    }

    /// Loses all state, as a crash does.
    pub fn lose_everything(&self) {
        self.0.epoch.set(self.0.epoch.get() + 1);
        self.0.queue.borrow_mut().clear();
        self.0.held.borrow_mut().clear();
        let streams = std::mem::take(&mut *self.0.streams.borrow_mut());
        for stream in streams.into_values() {
            let mut stream = stream.borrow_mut();
            stream.broken = true;
            stream.wakers.drain(..).for_each(Waker::wake);
        }
        self.0.ended.borrow_mut().clear();
        self.0.importing.set(0);
        self.0.pieces_held.set(0);
        self.0.cache.borrow_mut().clear();
        self.0.fence.set(0);
    }

    /// What it saw.
    pub fn observed(&self) -> observed::Runner {
        self.drop_old_results();
        let counts = self.0.counts.borrow().clone();
        observed::Runner {
            streams_open: self.0.streams.borrow().len() as u64,
            pieces_held: self.0.pieces_held.get(),
            ..counts
        }
    }
}

fn wake(slot: &RefCell<Option<oneshot::Sender<()>>>) {
    let sender = slot.borrow_mut().take();
    if let Some(sender) = sender {
        _ = sender.send(());
    }
}

async fn wait(slot: &RefCell<Option<oneshot::Sender<()>>>) {
    let (sender, woken) = oneshot::channel();
    *slot.borrow_mut() = Some(sender);
    _ = woken.await;
}

/// A slot and pieces held for an import; dropping it, also with its request, gives them back.
pub struct Reservation {
    model: Model,
    tokens: u64,
    epoch: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.epoch == self.model.epoch() {
            self.model.unreserve(self.tokens);
        }
    }
}

/// Time between tokens of a batch of this size.
pub fn interval(settings: &Settings, streams: usize) -> Duration {
    settings.interval_base + settings.interval_per_stream * streams as u32
}
