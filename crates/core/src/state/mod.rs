//! The state of one entry VM's decisions.

mod record;
mod request;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::event::Read;
use crate::id::{self, Call, Exchange, Key};
use crate::member::Roster;
use crate::message::Standing;
use crate::settings::Settings;
use crate::ticket::{Table, Version};
use crate::token::{Ring, Seat};

pub use record::{
    Load, PendingCancel, PendingOutcome, PendingSeal, Probe, Recovery, RemoteRequest,
    StreamRelease, Tombstone, Witnessed, WitnessedStream,
};
pub use request::{Outcome, Phase, Request};

/// Whether this process takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It does.
    Running,
    /// It leaves: callers with a kept answer are served until `serve_until`, running work ends.
    Leaving {
        /// Since this process started.
        serve_until: Duration,
    },
    /// All work has ended.
    Ended,
}

/// Why a process takes no callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Unready {
    /// It leaves.
    Leaving,
    /// The tickets were not read to their end since the start or the last late wake-up.
    TicketsUnread,
    /// A peer has known a newer ticket for too long.
    Behind,
    /// The list was not read, or none of the VMs on it has been heard from yet.
    PeersUnheard,
}

/// Counts of what happened, for metrics.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Repeats of an id that were attached or replayed.
    pub repeated: u64,
    /// Requests passed on to their owner.
    pub forwarded: u64,
    /// Attempts begun.
    pub dispatched: u64,
    /// Requests taken over from a dead owner.
    pub recovered: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Refusals by code and reason.
    pub refused: BTreeMap<(&'static str, &'static str), u64>,
    /// Prefills begun.
    pub prefills: u64,
    /// Tokens of prefills whose result was not used.
    pub prefill_tokens_wasted: u64,
    /// Tokens passed to callers.
    pub tokens: u64,
    /// Cancels sent.
    pub cancels: u64,
    /// Tickets refused.
    pub tickets_refused: u64,
    /// Late wake-ups.
    pub woke_late: u64,
}

/// A snapshot of which not all parts have come.
#[derive(Debug)]
pub struct Gathering {
    /// Who sends it.
    pub from: Seat,
    /// The sender's highest ticket.
    pub newest: id::Ticket,
    /// The parts that have come.
    pub parts: BTreeMap<u32, Vec<Version>>,
}

/// Reads of the platform that are due or under way.
#[derive(Debug, Default)]
pub struct Reads {
    /// Reads without an answer yet, with when they began.
    pub in_flight: BTreeMap<u8, Duration>,
    /// When to read the tickets next.
    pub next_tickets_read: Duration,
    /// When to read the list next.
    pub next_list_read: Duration,
    /// Whether the tickets were read to their end since the start or the last late wake-up.
    pub tickets_known: bool,
    /// Whether the list was read since the start.
    pub list_known: bool,
    /// Whether the tickets were read to the service's end since the start or the last late wake-up.
    pub service_caught_up: bool,
    /// Failed reads in a row.
    pub consecutive_failures: u32,
    /// When a peer may be asked for tickets next.
    pub next_pull: Duration,
    /// Parts of a snapshot, with its sender and its highest ticket.
    pub gathering: Option<Gathering>,
    /// Since when a peer is known to have a newer ticket.
    pub behind_since: Option<Duration>,
}

impl Reads {
    /// Slot of a read in `under_way`; one of each kind at a time.
    pub fn slot(read: Read) -> u8 {
        match read {
            Read::Tickets { .. } => 0,
            Read::List => 1,
        }
    }
}

/// All that one process knows.
#[derive(Debug)]
pub struct State {
    /// Bounds and intervals.
    pub settings: Settings,
    /// This boot of this VM.
    pub seat: Seat,
    /// Keys of tokens.
    pub ring: Ring,
    /// Source of random choices; seeded, so that runs repeat.
    pub rng: SmallRng,
    /// Whether new work is taken.
    pub lifecycle: Lifecycle,
    /// What this process last said of itself.
    pub announced_status: Standing,
    /// Order of this process's statements about itself.
    pub descriptor_version: u64,
    /// Configuration in force.
    pub table: Table,
    /// Highest ticket number that anyone was heard to know.
    pub newest_known_ticket: id::Ticket,
    /// Reads of the platform.
    pub reads: Reads,
    /// The other VMs.
    pub roster: Roster,
    /// Probes under way, by number.
    pub probes: BTreeMap<u64, Probe>,
    /// When the next probe is due.
    pub next_probe_at: Duration,
    /// Statements to pass on, with the number of times left.
    pub gossip: VecDeque<(id::Vm, u32)>,
    /// Requests that this VM owns.
    pub requests: BTreeMap<Call, Request>,
    /// Those of them that count against limits; scans go over these only.
    pub active: BTreeSet<Call>,
    /// Requests by id.
    pub by_key: HashMap<Key, Call>,
    /// Requests by exchange.
    pub by_exchange: HashMap<Exchange, Call>,
    /// Requests by attempt.
    pub by_attempt: HashMap<id::Attempt, Call>,
    /// Claims that outlive their calls.
    pub tombstones: BTreeMap<Key, Tombstone>,
    /// Requests that wait, by endpoint, priority and order of arrival.
    pub queues: BTreeMap<id::Endpoint, BTreeMap<(u8, Call), ()>>,
    /// Requests in progress by organisation.
    pub organisations: HashMap<id::Organisation, u32>,
    /// Load of runners by endpoint and name.
    pub loads: HashMap<(id::Endpoint, id::Runner), Load>,
    /// Ended requests whose answer is kept, oldest first.
    pub kept_answers: VecDeque<Call>,
    /// Sum of the kept answers' sizes.
    pub answer_bytes: usize,
    /// Records held as witness.
    pub witnessed: BTreeMap<Key, Witnessed>,
    /// Callers that wait for a witness's word.
    pub pending_seals: BTreeMap<Exchange, PendingSeal>,
    /// Requests on their way to their owner.
    pub forwarded: HashMap<Exchange, RemoteRequest>,
    /// Requests that wait for their owner's return or death.
    pub recoveries: BTreeMap<Exchange, Recovery>,
    /// Streams known as witness.
    pub holds: BTreeMap<Key, WitnessedStream>,
    /// Outcomes not yet acknowledged.
    pub pending_outcomes: BTreeMap<Key, PendingOutcome>,
    /// Cancels not yet acknowledged.
    pub cancels: BTreeMap<u64, PendingCancel>,
    /// Last number given to a call, attempt, probe or cancel.
    pub last_number: u64,
    /// Time of the last tick.
    pub last_tick: Option<Duration>,
    /// When records past their life are dropped next.
    pub next_sweep_at: Duration,
    /// Counts.
    pub counters: Counters,
}

impl State {
    /// Makes the state of a process that has just started.
    pub fn open(settings: Settings, seat: Seat, ring: Ring, seed: u64) -> Self {
        Self {
            settings,
            seat,
            ring,
            rng: SmallRng::seed_from_u64(seed),
            lifecycle: Lifecycle::Running,
            announced_status: Standing::Joining,
            descriptor_version: 1,
            table: Table::default(),
            newest_known_ticket: 0,
            reads: Reads::default(),
            roster: Roster::default(),
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
            organisations: HashMap::new(),
            loads: HashMap::new(),
            kept_answers: VecDeque::new(),
            answer_bytes: 0,
            witnessed: BTreeMap::new(),
            pending_seals: BTreeMap::new(),
            forwarded: HashMap::new(),
            recoveries: BTreeMap::new(),
            holds: BTreeMap::new(),
            pending_outcomes: BTreeMap::new(),
            cancels: BTreeMap::new(),
            last_number: 0,
            last_tick: None,
            next_sweep_at: Duration::ZERO,
            counters: Counters::default(),
        }
    }

    /// Gives the next number for a call, attempt, probe or cancel.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Tells whether a witness can be named, or there is nobody who could be one.
    fn knows_peers(&self, up: Duration) -> bool {
        if up >= self.settings.peers_wait {
            return true;
        }
        let heard = self.roster.iter().any(|member| member.heard);
        self.reads.list_known && (heard || self.roster.is_empty())
    }

    /// Why this process takes no callers, if it does not.
    pub fn not_ready(&self, up: Duration) -> Option<Unready> {
        let behind_for = self
            .reads
            .behind_since
            .map(|since| up.saturating_sub(since));
        if self.lifecycle != Lifecycle::Running {
            Some(Unready::Leaving)
        } else if !self.reads.tickets_known {
            Some(Unready::TicketsUnread)
        } else if behind_for.is_some_and(|behind| behind > self.settings.behind_max) {
            Some(Unready::Behind)
        } else if !self.knows_peers(up) {
            Some(Unready::PeersUnheard)
        } else {
            None
        }
    }

    /// Lists the requests that have not ended.
    pub fn active_requests(&self) -> impl Iterator<Item = (Call, &Request)> {
        self.active
            .iter()
            .filter_map(|call| Some((*call, self.requests.get(call)?)))
    }
}
