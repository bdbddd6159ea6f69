//! The state of one entry VM's reducer.

mod record;
mod request;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::event::Read;
use crate::id::{self, Call, Exchange, Key};
use crate::member;
use crate::message::Status;
use crate::settings::Settings;
use crate::ticket::{Table, Version};
use crate::token::{Instance, Keyring};

pub use record::{
    Load, PendingCancel, PendingOutcome, PendingSeal, Probe, Recovery, RemoteRequest,
    StreamRelease, Tombstone, WitnessRecord, WitnessedStream,
};
pub use request::{Outcome, Phase, Request};

/// Whether this process accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts new work.
    Running,
    /// It is shutting down. Callers that still use its address from an earlier response of
    /// `/v1/entries` are served until `serve_until`; requests in progress run to their end.
    Leaving {
        /// Time since this process started.
        serve_until: Duration,
    },
    /// All work has ended.
    Ended,
}

/// Why a process does not accept callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Unready {
    /// It is shutting down.
    Leaving,
    /// It has not caught up with the tickets since the start or the last late wake-up.
    TicketsUnread,
    /// A peer has had a newer ticket for too long.
    Behind,
    /// The list of VMs has not been read, or none of the VMs on it has sent a message yet.
    PeersUnheard,
}

/// Event counts, for metrics.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests admitted.
    pub accepted: u64,
    /// Requests that ended with a complete answer.
    pub answered: u64,
    /// Repeats of an id that were attached or replayed.
    pub repeated: u64,
    /// Requests forwarded to their owner.
    pub forwarded: u64,
    /// Attempts started.
    pub dispatched: u64,
    /// Requests taken over from a dead owner.
    pub recovered: u64,
    /// Attempts after the first of a call.
    pub retried: u64,
    /// Refusals by claim and reason.
    pub refused: BTreeMap<(&'static str, &'static str), u64>,
    /// Prefills started.
    pub prefills: u64,
    /// Prompt tokens of prefills whose result was not used.
    pub prefill_tokens_wasted: u64,
    /// Tokens appended to answers.
    pub tokens: u64,
    /// Cancels sent, including retries.
    pub cancels: u64,
    /// Tickets refused.
    pub tickets_refused: u64,
    /// Late wake-ups.
    pub woke_late: u64,
}

/// A snapshot of which not all parts have been received.
#[derive(Debug)]
pub struct PartialSnapshot {
    /// The sender.
    pub from: Instance,
    /// The sender's highest ticket.
    pub newest: id::Ticket,
    /// The received parts, by index.
    pub parts: BTreeMap<u32, Vec<Version>>,
}

/// Reads of the platform that are due or in flight.
#[derive(Debug, Default)]
pub struct Reads {
    /// Start times of the reads in flight, by slot.
    pub in_flight: BTreeMap<u8, Duration>,
    /// When the next read of the tickets is due.
    pub next_tickets_read_at: Duration,
    /// When the next read of the list of VMs is due.
    pub next_list_read_at: Duration,
    /// Whether the tickets are known to be up to date since the start or the last late wake-up.
    pub tickets_known: bool,
    /// Whether the list of VMs has been read since the start.
    pub list_known: bool,
    /// Whether this process has caught up with the platform since the start or the last late
    /// wake-up.
    pub platform_caught_up: bool,
    /// Whether a peer has reported its newest ticket since the start or the last late wake-up.
    pub peer_ticket_heard: bool,
    /// Number of consecutive failed reads.
    pub consecutive_failures: u32,
    /// Earliest time of the next pull of tickets from a peer.
    pub next_pull_at: Duration,
    /// The snapshot that is being received, if any.
    pub partial_snapshot: Option<PartialSnapshot>,
    /// Since when the platform or a peer has been known to have a newer ticket.
    pub behind_since: Option<Duration>,
}

impl Reads {
    /// Returns the slot of a read in `in_flight`; there is at most one read of each kind.
    pub fn slot(read: Read) -> u8 {
        match read {
            Read::Tickets { .. } => 0,
            Read::List => 1,
        }
    }
}

/// The complete state of one process. Durations that are points in time count from its start.
#[derive(Debug)]
pub struct State {
    /// Limits and intervals.
    pub settings: Settings,
    /// This incarnation of this VM.
    pub instance: Instance,
    /// Keys that sign and verify tokens.
    pub keyring: Keyring,
    /// Source of random choices; seeded, so that runs are reproducible.
    pub rng: SmallRng,
    /// Whether new work is accepted.
    pub lifecycle: Lifecycle,
    /// Status that this process last published of itself.
    pub announced_status: Status,
    /// Version of this process's own descriptor.
    pub descriptor_version: u64,
    /// Configuration in force.
    pub table: Table,
    /// Highest ticket number that the platform or a peer has reported.
    pub newest_known_ticket: id::Ticket,
    /// Reads of the platform.
    pub reads: Reads,
    /// The other VMs.
    pub members: member::Table,
    /// Probes in flight, by number.
    pub probes: BTreeMap<u64, Probe>,
    /// When the next probe is due.
    pub next_probe_at: Duration,
    /// Descriptors to gossip, with the number of transmissions left.
    pub gossip: VecDeque<(id::Vm, u32)>,
    /// Requests that this VM owns or has taken over.
    pub requests: BTreeMap<Call, Request>,
    /// The active ones among them, which count against the limits; periodic scans are limited to
    /// these.
    pub active: BTreeSet<Call>,
    /// Calls by id.
    pub by_key: HashMap<Key, Call>,
    /// Calls by exchange.
    pub by_exchange: HashMap<Exchange, Call>,
    /// Calls by attempt.
    pub by_attempt: HashMap<id::Attempt, Call>,
    /// Refusals that hold until their ids expire.
    pub tombstones: BTreeMap<Key, Tombstone>,
    /// Queued calls by endpoint, in order of priority and arrival.
    pub queues: BTreeMap<id::Endpoint, BTreeMap<(u8, Call), ()>>,
    /// Number of active calls by organisation.
    pub active_by_organisation: HashMap<id::Organisation, u32>,
    /// Load of runners by endpoint and name.
    pub loads: HashMap<(id::Endpoint, id::Runner), Load>,
    /// Ended calls whose answer is kept, oldest first.
    pub kept_answers: VecDeque<Call>,
    /// Total size of the kept answers, in bytes.
    pub answer_bytes: usize,
    /// Records held as witness.
    pub witness_records: BTreeMap<Key, WitnessRecord>,
    /// Callers that wait for a witness to seal an id.
    pub pending_seals: BTreeMap<Exchange, PendingSeal>,
    /// Requests that are being forwarded to their owner.
    pub forwarded: HashMap<Exchange, RemoteRequest>,
    /// Requests that wait for their owner to return or to be considered dead.
    pub recoveries: BTreeMap<Exchange, Recovery>,
    /// Streams recorded as witness.
    pub witnessed_streams: BTreeMap<Key, WitnessedStream>,
    /// Outcomes that the witness has not acknowledged.
    pub pending_outcomes: BTreeMap<Key, PendingOutcome>,
    /// Cancels that the engine has not acknowledged.
    pub pending_cancels: BTreeMap<u64, PendingCancel>,
    /// Last number assigned to a call, attempt, probe or cancel.
    pub last_number: u64,
    /// Time of the last tick.
    pub last_tick_at: Option<Duration>,
    /// When the next removal of expired records is due.
    pub next_sweep_at: Duration,
    /// Event counts.
    pub counters: Counters,
}

impl State {
    /// Creates the state of a process that has just started.
    pub fn new(settings: Settings, instance: Instance, keyring: Keyring, seed: u64) -> Self {
        Self {
            settings,
            instance,
            keyring,
            rng: SmallRng::seed_from_u64(seed),
            lifecycle: Lifecycle::Running,
            announced_status: Status::Joining,
            descriptor_version: 1,
            table: Table::default(),
            newest_known_ticket: 0,
            reads: Reads::default(),
            members: member::Table::default(),
            probes: BTreeMap::new(),
            next_probe_at: Duration::ZERO,
            gossip: VecDeque::new(),
            requests: BTreeMap::new(),
            active: BTreeSet::new(),
            by_key: HashMap::new(),
            by_exchange: HashMap::new(),
            by_attempt: HashMap::new(),
            tombstones: BTreeMap::new(),
            queues: BTreeMap::new(),
            active_by_organisation: HashMap::new(),
            loads: HashMap::new(),
            kept_answers: VecDeque::new(),
            answer_bytes: 0,
            witness_records: BTreeMap::new(),
            pending_seals: BTreeMap::new(),
            forwarded: HashMap::new(),
            recoveries: BTreeMap::new(),
            witnessed_streams: BTreeMap::new(),
            pending_outcomes: BTreeMap::new(),
            pending_cancels: BTreeMap::new(),
            last_number: 0,
            last_tick_at: None,
            next_sweep_at: Duration::ZERO,
            counters: Counters::default(),
        }
    }

    /// Returns the next number for a call, attempt, probe or cancel.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns whether a witness can be assigned, no other VM exists that could be one, or the wait
    /// for a peer is over.
    fn knows_peers(&self, up: Duration) -> bool {
        let any_seen = self.members.iter().any(|member| member.seen_directly);
        self.has_no_peer(up) || (self.reads.list_known && any_seen)
    }

    /// Whether the list of VMs names no other, or none has been heard for so long that this process
    /// continues without any.
    pub fn has_no_peer(&self, up: Duration) -> bool {
        up >= self.settings.peer_wait || (self.reads.list_known && self.members.is_empty())
    }

    /// Returns why this process does not accept callers, or `None` if it does.
    pub fn unready_reason(&self, up: Duration) -> Option<Unready> {
        let behind_for = self
            .reads
            .behind_since
            .map(|behind_since| up.saturating_sub(behind_since));
        if self.lifecycle != Lifecycle::Running {
            Some(Unready::Leaving)
        } else if !self.reads.tickets_known {
            Some(Unready::TicketsUnread)
        } else if behind_for.is_some_and(|behind| behind > self.settings.ticket_lag_max) {
            Some(Unready::Behind)
        } else if !self.knows_peers(up) {
            Some(Unready::PeersUnheard)
        } else {
            None
        }
    }

    /// Iterates over the active calls.
    pub fn active_requests(&self) -> impl Iterator<Item = (Call, &Request)> {
        self.active
            .iter()
            .filter_map(|call| Some((*call, self.requests.get(call)?)))
    }
}
