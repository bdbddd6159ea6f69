//! What an engine holds: queue, results, streams, memory, and counters.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use serde::{Deserialize, Serialize};

use super::cache::{Cache, Digest};
use super::{FaultSwitch, Settings, Shared, PIECE_TOKENS};
use crate::observed;

/// How long an ended stream can be resumed.
const ENDED_STREAM_TTL: Duration = Duration::from_secs(30);
/// Cancels remembered, so that a request that comes after its cancel is refused.
const MAX_REMEMBERED_CANCELS: usize = 10_000;

/// A prefill that waits or runs.
pub struct Prefill {
    /// Name of the request.
    pub request_id: String,
    /// Length of the prompt with what was generated, in tokens.
    pub tokens: u64,
    /// Digests of its prefixes.
    pub prefixes: Vec<Digest>,
    /// Takes the result.
    pub done: oneshot::Sender<()>,
}

/// A finished prefill whose KV cache waits for import.
pub struct PrefillResult {
    /// Length, in tokens.
    pub tokens: u64,
    /// Tokens computed for it.
    pub computed_tokens: u64,
    /// When it goes.
    pub expires_at: Instant,
}

/// A stream that generates.
pub struct Stream {
    /// Digest of the prompt, in each token's text.
    pub prompt_digest: u32,
    /// Whether tokens have the shape of chat.
    pub chat: bool,
    /// Position of the first frame.
    pub emitted_before: u64,
    /// The tokens so far.
    pub frames: Vec<Bytes>,
    /// Position of the last token.
    pub last_position: u64,
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
        self.emitted_before + self.frames.len() as u64 >= self.last_position
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

/// An order to load a state or to change role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// Role to take.
    #[serde(default)]
    pub role: Option<String>,
    /// State or adapter to load.
    #[serde(default)]
    pub load: Option<String>,
}

struct Inner {
    settings: Settings,
    fault_switch: FaultSwitch,
    cache: RefCell<Cache>,
    queue: RefCell<BTreeMap<(u8, u64), Prefill>>,
    last_sequence: Cell<u64>,
    queue_signal: RefCell<Option<oneshot::Sender<()>>>,
    results: RefCell<HashMap<String, PrefillResult>>,
    streams: RefCell<BTreeMap<String, Shared<Stream>>>,
    batch_signal: RefCell<Option<oneshot::Sender<()>>>,
    /// Streams that have ended, kept for a while for whoever resumes them.
    ended: RefCell<HashMap<String, (Instant, Shared<Stream>)>>,
    imports: Cell<u64>,
    pieces_held: Cell<u64>,
    cancelled: RefCell<(HashSet<String>, VecDeque<String>)>,
    link_free_at: Cell<Option<Instant>>,
    counters: RefCell<observed::Runner>,
    load_reports: RefCell<VecDeque<(Instant, Load)>>,
    fence: Cell<u64>,
    /// Changes at each crash, so that tasks of the time before give up.
    epoch: Cell<u64>,
}

/// The parts of an engine share this; clones are handles.
#[derive(Clone)]
pub struct State(Rc<Inner>);

impl State {
    /// An idle engine.
    pub fn new(settings: Settings) -> Self {
        let cache = RefCell::new(Cache::new(settings.cache_blocks));
        let counters = observed::Runner {
            id: settings.name.clone(),
            endpoint: settings.endpoint.clone(),
            ..Default::default()
        };
        Self(Rc::new(Inner {
            settings,
            fault_switch: FaultSwitch::default(),
            cache,
            queue: RefCell::default(),
            last_sequence: Cell::new(0),
            queue_signal: RefCell::default(),
            results: RefCell::default(),
            streams: RefCell::default(),
            batch_signal: RefCell::default(),
            ended: RefCell::default(),
            imports: Cell::new(0),
            pieces_held: Cell::new(0),
            cancelled: RefCell::default(),
            link_free_at: Cell::new(None),
            counters: RefCell::new(counters),
            load_reports: RefCell::default(),
            fence: Cell::new(0),
            epoch: Cell::new(0),
        }))
    }

    /// How it performs.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Its fault switch.
    pub fn fault_switch(&self) -> &FaultSwitch {
        &self.0.fault_switch
    }

    /// Changes at each crash.
    pub fn epoch(&self) -> u64 {
        self.0.epoch.get()
    }

    /// Lets a function change the counters.
    pub fn update_counters(&self, f: impl FnOnce(&mut observed::Runner)) {
        f(&mut self.0.counters.borrow_mut());
    }

    /// The prefix cache.
    pub fn cache(&self) -> std::cell::RefMut<'_, Cache> {
        self.0.cache.borrow_mut()
    }

    /// Pieces for so many tokens.
    pub fn pieces_needed(tokens: u64) -> u64 {
        tokens.div_ceil(PIECE_TOKENS)
    }

    /// Takes pieces, if there are enough.
    pub fn allocate_pieces(&self, pieces: u64) -> bool {
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
    pub fn enqueue(&self, priority: u8, prefill: Prefill) {
        let sequence = self.0.last_sequence.get() + 1;
        self.0.last_sequence.set(sequence);
        self.0
            .queue
            .borrow_mut()
            .insert((priority, sequence), prefill);
        notify(&self.0.queue_signal);
    }

    /// Takes the prefill that goes next, once there is one.
    pub async fn next_prefill(&self) -> Prefill {
        loop {
            if let Some((_, prefill)) = self.0.queue.borrow_mut().pop_first() {
                return prefill;
            }
            wait_for(&self.0.queue_signal).await;
        }
    }

    /// Keeps a prefill's result for its import.
    pub fn store_result(&self, request_id: String, tokens: u64, computed_tokens: u64) {
        self.discard_result(&request_id);
        let expires_at = Instant::now() + self.0.settings.result_ttl;
        self.0.results.borrow_mut().insert(
            request_id,
            PrefillResult {
                tokens,
                computed_tokens,
                expires_at,
            },
        );
    }

    /// Takes a result for its import.
    pub fn take_result(&self, handle: &str) -> Option<PrefillResult> {
        self.drop_expired_results();
        let result = self.0.results.borrow_mut().remove(handle)?;
        self.free_pieces(Self::pieces_needed(result.tokens));
        Some(result)
    }

    /// Drops results that were not imported in time.
    pub fn drop_expired_results(&self) {
        let now = Instant::now();
        let old: Vec<String> = {
            let results = self.0.results.borrow();
            results
                .iter()
                .filter(|(_, result)| result.expires_at <= now)
                .map(|(handle, _)| handle.clone())
                .collect()
        };
        for handle in old {
            self.discard_result(&handle);
        }
    }

    fn discard_result(&self, handle: &str) -> bool {
        let Some(result) = self.0.results.borrow_mut().remove(handle) else {
            return false;
        };
        self.free_pieces(Self::pieces_needed(result.tokens));
        self.update_counters(|counters| counters.prefill_tokens_wasted += result.computed_tokens);
        true
    }

    /// Time at which this engine's link has moved so many tokens' cache, after all before it.
    pub fn schedule_transfer(&self, tokens: u64) -> Instant {
        let now = Instant::now();
        let start = self.0.link_free_at.get().map_or(now, |free| free.max(now));
        let end = start + self.0.settings.link_per_token.saturating_mul(tokens as u32);
        self.0.link_free_at.set(Some(end));
        end
    }

    /// Takes a slot of the batch and pieces for a stream that is about to import its cache.
    pub fn reserve(&self, tokens: u64) -> Option<Reservation> {
        let used = self.0.streams.borrow().len() as u64 + self.0.imports.get();
        if used >= self.0.settings.slots as u64
            || !self.allocate_pieces(Self::pieces_needed(tokens))
        {
            self.update_counters(|counters| counters.refused += 1);
            return None;
        }
        self.0.imports.set(self.0.imports.get() + 1);
        let epoch = self.epoch();
        Some(Reservation {
            state: self.clone(),
            tokens,
            epoch,
        })
    }

    /// Gives back what [`State::reserve`] took.
    fn release(&self, tokens: u64) {
        self.0.imports.set(self.0.imports.get().saturating_sub(1));
        self.free_pieces(Self::pieces_needed(tokens));
    }

    /// Turns a reservation into a stream.
    pub fn start_stream(
        &self,
        reservation: Reservation,
        request_id: String,
        stream: Shared<Stream>,
    ) {
        let pieces = stream.borrow().pieces;
        drop(reservation);
        // What the reservation gave back is free still, as nothing runs in between.
        self.allocate_pieces(pieces);
        self.remove_stream(&request_id);
        self.0.streams.borrow_mut().insert(request_id, stream);
        notify(&self.0.batch_signal);
    }

    /// The streams of the batch, once there are any.
    pub async fn batch(&self) -> Vec<(String, Shared<Stream>)> {
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
            wait_for(&self.0.batch_signal).await;
        }
    }

    /// Ends a stream and frees its memory.
    pub fn remove_stream(&self, request_id: &str) -> Option<Shared<Stream>> {
        let stream = self.0.streams.borrow_mut().remove(request_id)?;
        let pieces = std::mem::take(&mut stream.borrow_mut().pieces);
        self.free_pieces(pieces);
        Some(stream)
    }

    /// Ends a stream that has all its tokens.
    pub fn complete_stream(&self, request_id: &str) {
        if let Some(stream) = self.remove_stream(request_id) {
            let mut ended = self.0.ended.borrow_mut();
            ended.retain(|_, (at, _)| at.elapsed() < ENDED_STREAM_TTL);
            ended.insert(request_id.to_owned(), (Instant::now(), stream));
        }
    }

    /// Gives a stream another name; whoever follows it under the old one no longer holds it.
    pub fn rename_stream(&self, previous: &str, name: &str) -> Option<Shared<Stream>> {
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
    pub fn cancel(&self, request_id: &str) {
        self.update_counters(|counters| counters.cancels += 1);
        let mut cancelled = self.0.cancelled.borrow_mut();
        let (set, order) = &mut *cancelled;
        if set.insert(request_id.to_owned()) {
            order.push_back(request_id.to_owned());
        }
        if order.len() > MAX_REMEMBERED_CANCELS {
            if let Some(oldest) = order.pop_front() {
                set.remove(&oldest);
            }
        }
        drop(cancelled);
        self.remove_queued(request_id);
        self.discard_result(request_id);
        self.0.ended.borrow_mut().remove(request_id);
        if let Some(stream) = self.remove_stream(request_id) {
            let mut stream = stream.borrow_mut();
            stream.broken = true;
            stream.wakers.drain(..).for_each(Waker::wake);
        }
    }

    fn remove_queued(&self, request_id: &str) {
        let mut queue = self.0.queue.borrow_mut();
        let found = queue
            .iter()
            .find(|(_, prefill)| prefill.request_id == request_id)
            .map(|(place, _)| *place);
        if let Some(prefill) = found.and_then(|place| queue.remove(&place)) {
            self.free_pieces(Self::pieces_needed(prefill.tokens));
        }
    }

    /// Tells whether a request was cancelled before.
    pub fn is_cancelled(&self, request_id: &str) -> bool {
        self.0.cancelled.borrow().0.contains(request_id)
    }

    /// Takes an order unless its fencing number is old and that matters to this engine.
    pub fn apply_order(&self, order: &Order) -> bool {
        if self.0.settings.enforces_fencing && order.fence < self.0.fence.get() {
            return false;
        }
        self.0.fence.set(order.fence);
        self.update_counters(|counters| counters.orders.push(order.fence));
        true
    }

    /// The newest report that is old enough to be published.
    pub fn load_report(&self) -> Load {
        let reports = self.0.load_reports.borrow();
        let lag = self.0.settings.report_delay;
        reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }

    /// Notes the load as it is now, for a later report.
    pub fn record_load(&self) {
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
        let mut reports = self.0.load_reports.borrow_mut();
        reports.push_back((Instant::now(), load));
        while reports.len() > 64 {
            reports.pop_front();
        }
    }

    /// Loses all state, as a crash does.
    pub fn reset(&self) {
        self.0.epoch.set(self.0.epoch.get() + 1);
        self.0.queue.borrow_mut().clear();
        self.0.results.borrow_mut().clear();
        let streams = std::mem::take(&mut *self.0.streams.borrow_mut());
        for stream in streams.into_values() {
            let mut stream = stream.borrow_mut();
            stream.broken = true;
            stream.wakers.drain(..).for_each(Waker::wake);
        }
        self.0.ended.borrow_mut().clear();
        self.0.imports.set(0);
        self.0.pieces_held.set(0);
        self.0.cache.borrow_mut().clear();
        self.0.fence.set(0);
    }

    /// What it saw.
    pub fn observed(&self) -> observed::Runner {
        self.drop_expired_results();
        let counters = self.0.counters.borrow().clone();
        observed::Runner {
            streams_open: self.0.streams.borrow().len() as u64,
            pieces_held: self.0.pieces_held.get(),
            ..counters
        }
    }
}

fn notify(slot: &RefCell<Option<oneshot::Sender<()>>>) {
    let sender = slot.borrow_mut().take();
    if let Some(sender) = sender {
        _ = sender.send(());
    }
}

async fn wait_for(slot: &RefCell<Option<oneshot::Sender<()>>>) {
    let (sender, woken) = oneshot::channel();
    *slot.borrow_mut() = Some(sender);
    _ = woken.await;
}

/// A slot and pieces held for an import; dropping it, also with its request, gives them back.
pub struct Reservation {
    state: State,
    tokens: u64,
    epoch: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.epoch == self.state.epoch() {
            self.state.release(self.tokens);
        }
    }
}

/// Time between tokens of a batch of this size.
pub fn token_interval(settings: &Settings, streams: usize) -> Duration {
    settings.interval_base + settings.interval_per_stream * streams as u32
}
