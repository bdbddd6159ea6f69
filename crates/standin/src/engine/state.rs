//! State of an engine: prefill queue, prefill results, streams, memory and counters.

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

/// Time for which a completed stream is kept to be resumed. Older ones are dropped when the next
/// stream completes.
const ENDED_STREAM_TTL: Duration = Duration::from_secs(30);
/// Number of cancelled request IDs to remember, so that a request that arrives after its
/// cancellation is refused.
const REMEMBERED_CANCELS_MAX: usize = 10_000;

/// A queued or running prefill.
pub struct Prefill {
    /// ID of the request.
    pub request_id: String,
    /// Length of the prompt and the output generated so far, in tokens.
    pub tokens: u64,
    /// Digests of the prompt's prefixes.
    pub prefixes: Vec<Digest>,
    /// Notified when the result is ready.
    pub done: oneshot::Sender<()>,
}

/// A finished prefill whose KV cache has not been imported yet.
pub struct PrefillResult {
    /// Length of the KV cache, in tokens.
    pub tokens: u64,
    /// Tokens that were computed, not found in the prefix cache.
    pub computed_tokens: u64,
    /// When it is discarded.
    pub expires_at: Instant,
}

/// A stream of generated tokens.
pub struct Stream {
    /// Digest of the prompt, written into each token's text.
    pub prompt_digest: u32,
    /// Whether tokens are sent as chat completion chunks.
    pub chat: bool,
    /// Number of tokens emitted before this stream began; its first frame has the next position.
    pub emitted_before: u64,
    /// Encoded events of the tokens generated so far.
    pub frames: Vec<Bytes>,
    /// Position of the last token.
    pub last_position: u64,
    /// Memory pieces allocated to it.
    pub pieces: u64,
    /// Whether it was cancelled or lost in a crash.
    pub broken: bool,
    /// Wakers of the responses that wait for the next token.
    pub wakers: Vec<Waker>,
}

impl Stream {
    /// Returns whether all tokens have been generated.
    pub fn is_done(&self) -> bool {
        self.emitted_before + self.frames.len() as u64 >= self.last_position
    }
}

/// A load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: u64,
    /// Prefills in the queue.
    pub queued: u64,
    /// Prompt tokens of the queued prefills.
    pub queued_tokens: u64,
    /// Free memory pieces.
    pub free_pieces: u64,
}

/// An order to load a model or to change role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token; an engine that enforces fencing refuses one below that of its last order.
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
    fault_switch: FaultSwitch,
    cache: RefCell<Cache>,
    /// Waiting prefills by priority and sequence number; the lowest goes first.
    queue: RefCell<BTreeMap<(u8, u64), Prefill>>,
    last_sequence: Cell<u64>,
    queue_signal: RefCell<Option<oneshot::Sender<()>>>,
    results: RefCell<HashMap<String, PrefillResult>>,
    streams: RefCell<BTreeMap<String, Shared<Stream>>>,
    batch_signal: RefCell<Option<oneshot::Sender<()>>>,
    /// Completed streams and when they completed, kept for [`ENDED_STREAM_TTL`] to be resumed.
    ended: RefCell<HashMap<String, (Instant, Shared<Stream>)>>,
    /// Slots reserved for streams whose KV cache is being imported.
    imports: Cell<u64>,
    pieces_held: Cell<u64>,
    /// IDs of cancelled requests, with the order in which they came.
    cancelled: RefCell<(HashSet<String>, VecDeque<String>)>,
    /// When the link has finished all transfers scheduled so far.
    link_free_at: Cell<Option<Instant>>,
    counters: RefCell<observed::Runner>,
    load_reports: RefCell<VecDeque<(Instant, Load)>>,
    fence: Cell<u64>,
    /// Incremented at each crash, so that work begun before the crash is discarded.
    epoch: Cell<u64>,
}

/// State shared by the parts of an engine; clones refer to the same state.
#[derive(Clone)]
pub struct State(Rc<Inner>);

impl State {
    /// Creates the state of an idle engine.
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

    /// Returns the engine's settings.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Returns the fault switch.
    pub fn fault_switch(&self) -> &FaultSwitch {
        &self.0.fault_switch
    }

    /// Returns the number of crashes so far.
    pub fn epoch(&self) -> u64 {
        self.0.epoch.get()
    }

    /// Applies `f` to the counters.
    pub fn update_counters(&self, f: impl FnOnce(&mut observed::Runner)) {
        f(&mut self.0.counters.borrow_mut());
    }

    /// Borrows the prefix cache.
    pub fn cache(&self) -> std::cell::RefMut<'_, Cache> {
        self.0.cache.borrow_mut()
    }

    /// Returns the number of memory pieces that `tokens` need.
    pub fn pieces_needed(tokens: u64) -> u64 {
        tokens.div_ceil(PIECE_TOKENS)
    }

    /// Allocates memory pieces; returns false, with nothing allocated, if too few are free.
    pub fn allocate_pieces(&self, pieces: u64) -> bool {
        let total = self.0.pieces_held.get() + pieces;
        let fits = total <= self.0.settings.pieces;
        if fits {
            self.0.pieces_held.set(total);
        }
        fits
    }

    /// Frees memory pieces.
    pub fn free_pieces(&self, pieces: u64) {
        self.0
            .pieces_held
            .set(self.0.pieces_held.get().saturating_sub(pieces));
    }

    /// Queues a prefill; a lower `priority` value goes first.
    pub fn enqueue(&self, priority: u8, prefill: Prefill) {
        let sequence = self.0.last_sequence.get() + 1;
        self.0.last_sequence.set(sequence);
        self.0
            .queue
            .borrow_mut()
            .insert((priority, sequence), prefill);
        notify(&self.0.queue_signal);
    }

    /// Removes the next prefill from the queue, waiting until there is one.
    pub async fn next_prefill(&self) -> Prefill {
        loop {
            if let Some((_, prefill)) = self.0.queue.borrow_mut().pop_first() {
                return prefill;
            }
            wait_for(&self.0.queue_signal).await;
        }
    }

    /// Stores a prefill's result until it is imported or expires.
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

    /// Removes a result that is being imported and frees its memory.
    pub fn take_result(&self, handle: &str) -> Option<PrefillResult> {
        self.drop_expired_results();
        let result = self.0.results.borrow_mut().remove(handle)?;
        self.free_pieces(Self::pieces_needed(result.tokens));
        Some(result)
    }

    /// Discards results that were not imported in time.
    pub fn drop_expired_results(&self) {
        let now = Instant::now();
        let expired: Vec<String> = {
            let results = self.0.results.borrow();
            results
                .iter()
                .filter(|(_, result)| result.expires_at <= now)
                .map(|(handle, _)| handle.clone())
                .collect()
        };
        for handle in expired {
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

    /// Schedules the transfer of a KV cache of `tokens` over this engine's link, after all earlier
    /// transfers, and returns the time of its completion.
    pub fn schedule_transfer(&self, tokens: u64) -> Instant {
        let now = Instant::now();
        let start = self.0.link_free_at.get().map_or(now, |free| free.max(now));
        let end = start + self.0.settings.link_per_token.saturating_mul(tokens as u32);
        self.0.link_free_at.set(Some(end));
        end
    }

    /// Reserves a batch slot and memory for a stream that is about to import its KV cache. Counts a
    /// refusal and returns `None` if either is lacking.
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

    /// Releases what [`State::reserve`] reserved.
    fn release(&self, tokens: u64) {
        self.0.imports.set(self.0.imports.get().saturating_sub(1));
        self.free_pieces(Self::pieces_needed(tokens));
    }

    /// Replaces a reservation by the stream that it was made for.
    pub fn start_stream(
        &self,
        reservation: Reservation,
        request_id: String,
        stream: Shared<Stream>,
    ) {
        let pieces = stream.borrow().pieces;
        drop(reservation);
        // This can't fail: the reservation has just freed the pieces, and no other task has run
        // since.
        self.allocate_pieces(pieces);
        self.remove_stream(&request_id);
        self.0.streams.borrow_mut().insert(request_id, stream);
        notify(&self.0.batch_signal);
    }

    /// Returns the streams of the batch, waiting until there is at least one.
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

    /// Removes a stream from the batch and frees its memory.
    pub fn remove_stream(&self, request_id: &str) -> Option<Shared<Stream>> {
        let stream = self.0.streams.borrow_mut().remove(request_id)?;
        let pieces = std::mem::take(&mut stream.borrow_mut().pieces);
        self.free_pieces(pieces);
        Some(stream)
    }

    /// Moves a stream that has all its tokens from the batch to the completed ones.
    pub fn complete_stream(&self, request_id: &str) {
        if let Some(stream) = self.remove_stream(request_id) {
            let mut ended = self.0.ended.borrow_mut();
            ended.retain(|_, (at, _)| at.elapsed() < ENDED_STREAM_TTL);
            ended.insert(request_id.to_owned(), (Instant::now(), stream));
        }
    }

    /// Moves a stream to another request ID, so that cancelling the previous request no longer ends
    /// it.
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

    /// Cancels a request: frees all that it holds and refuses what arrives for it later.
    pub fn cancel(&self, request_id: &str) {
        self.update_counters(|counters| counters.cancels += 1);
        let mut cancelled = self.0.cancelled.borrow_mut();
        let (set, order) = &mut *cancelled;
        if set.insert(request_id.to_owned()) {
            order.push_back(request_id.to_owned());
        }
        if order.len() > REMEMBERED_CANCELS_MAX {
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
            .map(|(key, _)| *key);
        if let Some(prefill) = found.and_then(|key| queue.remove(&key)) {
            self.free_pieces(Self::pieces_needed(prefill.tokens));
        }
    }

    /// Returns whether a request was cancelled.
    pub fn is_cancelled(&self, request_id: &str) -> bool {
        self.0.cancelled.borrow().0.contains(request_id)
    }

    /// Applies an order; returns false if the engine enforces fencing and the order's token is old.
    pub fn apply_order(&self, order: &Order) -> bool {
        if self.0.settings.enforces_fencing && order.fence < self.0.fence.get() {
            return false;
        }
        self.0.fence.set(order.fence);
        self.update_counters(|counters| counters.orders.push(order.fence));
        true
    }

    /// Returns the newest load report that is at least `report_delay` old, or an all-zero one if
    /// there is none.
    pub fn load_report(&self) -> Load {
        let reports = self.0.load_reports.borrow();
        let delay = self.0.settings.report_delay;
        reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= delay)
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }

    /// Records the current load for a later report.
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

    /// Clears the queue, results, streams, memory, prefix cache and fencing token, as a crash does.
    /// Counters, load reports, cache events, cancelled request IDs and the schedule of the link stay.
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

    /// Returns the counters, with the streams and memory currently held.
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

/// A batch slot and memory reserved for an import. Dropping it releases them, also when the request
/// is abandoned.
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

/// Returns the time between two tokens in a batch of `streams` streams.
pub fn token_interval(settings: &Settings, streams: usize) -> Duration {
    settings.interval_base + settings.interval_per_stream * streams as u32
}
