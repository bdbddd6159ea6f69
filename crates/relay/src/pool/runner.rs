//! Runners as they are observed in traffic.

use std::time::Duration;

use crate::breaker::Breaker;
use crate::departure;
use crate::duration::{self, Scale as _};
use crate::id;
use crate::revision;
use crate::speed;

use super::Descriptor;

/// Load as reported by the runner itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that are executing.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// How long work takes on its machine now, in percent of the usual, if it says so.
    pub slowdown: Option<u16>,
}

/// Load in flight at a runner, as counted by the VMs that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// KV memory that the requests are expected to use, in tokens.
    pub tokens: u64,
    /// Tokens still to prefill there.
    pub prefill_tokens: u64,
}

impl Load {
    /// Adds another load, up to the largest numbers: callers and peers may name any.
    pub fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
    }

    /// Subtracts another load, down to zero.
    pub fn sub(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }
}

/// Whether a runner accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It accepts new requests.
    Ready,
    /// It is draining, or its entry was removed.
    Leaving {
        /// When this process learned of it.
        started_at: Duration,
    },
}

/// A runner and its state.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Its entry in the list.
    pub descriptor: Descriptor,
    /// Whether it accepts new requests.
    pub status: Status,
    /// Revision of the news by which it is leaving, or was.
    pub left_at: id::Revision,
    /// Until when an entry that says that it is ready is taken for one of a copy from which the configuration service was
    /// restored.
    pub doubted_until: Option<Duration>,
    /// Its circuit breaker and traffic statistics.
    pub breaker: Breaker,
    /// Load that this VM has in flight there.
    pub local_load: Load,
    /// Load that other VMs have in flight there, as last reported by them.
    pub peer_load: Load,
    /// Observed prefill rate in tokens per millisecond, if any prefill was observed.
    pub prefill_tokens_per_ms: Option<f64>,
    /// How long work takes at its process.
    pub speed: speed::Estimate,
    /// The load that it last reported, and when the report was received.
    pub reported: Option<(Report, Duration)>,
    /// When it last declined a request for lack of capacity.
    pub last_full_at: Option<Duration>,
    /// When this VM last received a stream event, a response or a decline from it.
    pub last_seen_at: Option<Duration>,
    /// When this VM last had a connection to it that was made to see whether it is reached.
    pub connected_at: Option<Duration>,
    /// Until when it has asked this VM for no requests.
    pub rests_until: Duration,
    /// Until when it gets no prefills, because its KV caches expired too soon.
    pub kv_cooldown_until: Duration,
    /// Whether another runner responded at its address.
    pub displaced: bool,
    /// Whether it names a limit and this VM has no permit for a request to it. Engines get requests by
    /// grants.
    pub is_held_back: bool,
}

/// Assumed prefill rate in tokens per millisecond, until one was observed.
const PREFILL_TOKENS_PER_MS_DEFAULT: f64 = 40.0;
/// How many times longer a prefill takes at a decode runner than at a prefill runner.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;
/// Weight of one prefill in the moving average of the rate.
const PREFILL_RATE_WEIGHT: f64 = 0.2;

impl Runner {
    /// When it was last known to be reached.
    pub fn reached_at(&self) -> Option<Duration> {
        self.last_seen_at.max(self.connected_at)
    }

    /// When a connection to it last failed or broke, if it was not reached since.
    pub fn unreached_since(&self) -> Option<Duration> {
        let failed_at = self.breaker.failed_at();
        failed_at.filter(|failed_at| self.reached_at().is_none_or(|at| at < *failed_at))
    }

    /// Whether it has asked this VM for no requests for now.
    pub fn is_resting(&self, now: Duration) -> bool {
        self.rests_until > now
    }

    /// Total known load in flight.
    pub fn load(&self) -> Load {
        let mut load = self.local_load;
        load.add(self.peer_load);
        load
    }

    /// Expected time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let prefill_tokens_per_ms = self
            .prefill_tokens_per_ms
            .unwrap_or(PREFILL_TOKENS_PER_MS_DEFAULT);
        duration::from_seconds(tokens as f64 / prefill_tokens_per_ms / 1e3)
    }

    /// Expected time to prefill this many tokens at a runner that also generates streams.
    pub fn prefill_time_while_decoding(&self, tokens: u64) -> Duration {
        self.prefill_time(tokens).scale(DECODE_PREFILL_SLOWDOWN)
    }

    /// Records how long a prefill of this many tokens took.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        // An empty prompt says nothing of the rate.
        if tokens == 0 {
            return;
        }
        let millis = (took.as_secs_f64() * 1e3).max(1.0);
        let prefill_tokens_per_ms = tokens as f64 / millis;
        let old = self.prefill_tokens_per_ms.unwrap_or(prefill_tokens_per_ms);
        self.prefill_tokens_per_ms =
            Some(old + PREFILL_RATE_WEIGHT * (prefill_tokens_per_ms - old));
    }

    /// Whether an entry of the same process may be older than what is known: it says that the runner is ready, was read in
    /// a later era of the configuration service, and the runner was leaving in an earlier one.
    pub(super) fn is_doubtful(&self, entry: &Descriptor) -> bool {
        let era = revision::era(entry.revision);
        let is_first = era > revision::era(self.descriptor.revision);
        let was_leaving = self.status != Status::Ready && revision::era(self.left_at) < era;
        is_first && was_leaving && !entry.draining
    }

    pub(super) fn new(descriptor: Descriptor, status: Status) -> Self {
        Self {
            descriptor,
            status,
            left_at: 0,
            doubted_until: None,
            breaker: Breaker::default(),
            local_load: Load::default(),
            peer_load: Load::default(),
            prefill_tokens_per_ms: None,
            speed: speed::Estimate::default(),
            reported: None,
            last_full_at: None,
            last_seen_at: None,
            connected_at: None,
            rests_until: Duration::ZERO,
            kv_cooldown_until: Duration::ZERO,
            displaced: false,
            is_held_back: false,
        }
    }
}

/// The status of a runner by its entry, and by its own word.
pub(super) fn status(
    descriptor: &Descriptor,
    departures: &departure::Table,
    now: Duration,
) -> Status {
    let said_at = departures.said_at(&descriptor.instance());
    match said_at {
        Some(started_at) => Status::Leaving { started_at },
        None if descriptor.draining => Status::Leaving { started_at: now },
        None => Status::Ready,
    }
}
