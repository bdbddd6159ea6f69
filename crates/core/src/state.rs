//! The state of one entry VM's decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::event::{Arrival, Kv, Read, Work};
use crate::id::{self, Call, Exchange, Fingerprint, Key};
use crate::member::Roster;
use crate::message::{Answer, Hold, Record, Standing};
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::ticket::{Table, Version};
use crate::token::{Ring, Seat, Token};

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With its whole answer.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// With a refusal.
    Refused(Refusal),
}

/// Where a call stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a runner.
    Queued,
    /// Waits for the witness's acknowledgement; nothing was dispatched.
    AwaitingIntent {
        /// When the intent was sent.
        since: Duration,
    },
    /// At a plain service.
    Plain {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
    },
    /// At a prefill runner, with a decode slot held.
    Prefill {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// The decode runner whose slot is held.
        decode: id::Runner,
        /// Number that the attempt there will have.
        next: id::Attempt,
    },
    /// At a decode runner.
    Decode {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// The KV cache it imports; none for a stream taken over.
        kv: Option<Kv>,
    },
    /// Cancelled because its caller is gone; goes on if the caller returns.
    Parked,
    /// Ended.
    Done(End),
}

/// A request that this VM owns.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id, presented or minted.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// Whether the caller presented the id and so may come back with it.
    pub presented: bool,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
    /// What a repeat must have in common with it.
    pub fingerprint: Fingerprint,
    /// The organisation it is counted under.
    pub organisation: id::Organisation,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What it asks for.
    pub work: Work,
    /// Whether it may run again when its outcome is not known.
    pub repeatable: bool,
    /// The process that has to acknowledge the intent.
    pub witness: Option<Seat>,
    /// The exchange that gets the answer.
    pub exchange: Option<Exchange>,
    /// Position after which that exchange wants the stream.
    pub after: u64,
    /// Whether that exchange follows the stream already.
    pub attached: bool,
    /// Where it stands.
    pub phase: Phase,
    /// Attempts begun.
    pub attempts: u32,
    /// Runners that failed it.
    pub tried: Vec<id::Runner>,
    /// When it was accepted, since this process started.
    pub accepted: Duration,
    /// When its caller went, since this process started.
    pub caller_gone: Option<Duration>,
    /// Tokens of the answer so far.
    pub emitted: u64,
    /// Tokens of the answer that only the caller has, as a process that is gone passed them on.
    pub base: u64,
    /// The stream at a decode engine that the witness knows of.
    pub hold: Option<Hold>,
    /// A second process that knows of the stream, in case the witness dies together with this one.
    pub backup: Option<Seat>,
    /// Size of the kept answer.
    pub answer_bytes: usize,
    /// The answer as the witness is to keep it.
    pub answer: Option<Arc<Answer>>,
}

impl Request {
    /// Tells whether it asks for model engines.
    pub fn is_model(&self) -> bool {
        matches!(self.work, Work::Model { .. })
    }

    /// Tells whether it has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// Tells whether it counts against limits and keeps a leaving process alive.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Done(_) | Phase::Parked)
    }

    /// The attempt under way.
    pub fn attempt(&self) -> Option<id::Attempt> {
        match &self.phase {
            Phase::Plain { attempt, .. }
            | Phase::Prefill { attempt, .. }
            | Phase::Decode { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}

/// A claim that outlives its call: no dispatch will happen under this id.
#[derive(Debug, Clone, Copy)]
pub struct Tombstone {
    /// What was told.
    pub refusal: Refusal,
    /// What a repeat must have in common.
    pub fingerprint: Fingerprint,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
}

/// What this process holds as witness about one id.
#[derive(Debug, Clone)]
pub struct Witnessed {
    /// The record.
    pub record: Record,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
}

/// A caller that waits for a witness's word about an id of an unreachable owner.
#[derive(Debug, Clone)]
pub struct SealWait {
    /// The exchange.
    pub exchange: Exchange,
    /// The id.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// What the request must have in common with the first under its id.
    pub fingerprint: Fingerprint,
    /// Whether a seal proves that the call never ran.
    pub conclusive: bool,
    /// The owner that the token names.
    pub owner: Seat,
    /// The witness that the token names.
    pub witness: Seat,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
    /// When the first seal was sent.
    pub since: Duration,
    /// When the last seal was sent.
    pub sent: Duration,
}

/// An outcome that the witness has not acknowledged.
#[derive(Debug, Clone)]
pub struct Owed {
    /// The witness.
    pub witness: Seat,
    /// The record.
    pub record: Record,
    /// When the call ended.
    pub since: Duration,
    /// When it was last sent.
    pub sent: Duration,
}

/// A cancel that the engine has not acknowledged.
#[derive(Debug, Clone)]
pub struct PendingCancel {
    /// Where the engine listens.
    pub address: std::net::SocketAddr,
    /// Name of the request at the engine.
    pub request: String,
    /// When the cancel was decided.
    pub since: Duration,
    /// When to send it again, unless an order is under way.
    pub again: Option<Duration>,
}

/// What this process knows of a runner's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Attempts of this process under way.
    pub running: u32,
    /// Until when it gets no attempt, after it was full or lost.
    pub rest_until: Duration,
}

/// A probe under way.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// The member in question.
    pub target: id::Vm,
    /// When it was sent.
    pub sent: Duration,
    /// Whether others were asked to help.
    pub indirect: bool,
    /// For whom it is sent, and under which number of theirs.
    pub helping: Option<(id::Vm, u64)>,
}

/// A request whose id another process owns.
#[derive(Debug, Clone)]
pub struct Foreign {
    /// The request.
    pub arrival: Arrival,
    /// The id.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// What the id's token says.
    pub token: Token,
    /// When it arrived, since this process started.
    pub since: Duration,
}

/// A request that may be repeated and whose owner did not take it: waits until the owner answers
/// or counts as dead.
#[derive(Debug, Clone)]
pub struct Recovery {
    /// The request.
    pub foreign: Foreign,
    /// When the next step is due.
    pub due: Duration,
    /// When the witness was first asked for the stream.
    pub asked: Option<Duration>,
    /// What the witness said.
    pub told: Option<Option<Hold>>,
}

/// A stream that this process knows of as witness.
#[derive(Debug, Clone)]
pub struct WitnessedHold {
    /// The process whose stream it is.
    pub owner: Seat,
    /// The stream.
    pub hold: Hold,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
    /// Since when that process counts as dead.
    pub dead_since: Option<Duration>,
}

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
    pub under_way: BTreeMap<u8, Duration>,
    /// When to read the tickets next.
    pub tickets_at: Duration,
    /// When to read the list next.
    pub list_at: Duration,
    /// Whether the tickets were read to their end since the start or the last late wake-up.
    pub tickets_known: bool,
    /// Whether the list was read since the start.
    pub list_read: bool,
    /// Whether the tickets were read to the service's end since the start or the last late wake-up.
    pub service_end: bool,
    /// Failed reads in a row.
    pub failures: u32,
    /// When a peer may be asked for tickets next.
    pub ask_at: Duration,
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
    pub announced: Standing,
    /// Order of this process's statements about itself.
    pub version: u64,
    /// Configuration in force.
    pub table: Table,
    /// Highest ticket number that anyone was heard to know.
    pub ticket_heard: id::Ticket,
    /// Reads of the platform.
    pub reads: Reads,
    /// The other VMs.
    pub roster: Roster,
    /// Probes under way, by number.
    pub probes: BTreeMap<u64, Probe>,
    /// When the next probe is due.
    pub probe_at: Duration,
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
    pub queue: BTreeMap<id::Endpoint, BTreeMap<(u8, Call), ()>>,
    /// Requests in progress by organisation.
    pub organisations: HashMap<id::Organisation, u32>,
    /// Load of runners by endpoint and name.
    pub loads: HashMap<(id::Endpoint, id::Runner), Load>,
    /// Ended requests whose answer is kept, oldest first.
    pub answers: VecDeque<Call>,
    /// Sum of the kept answers' sizes.
    pub answer_bytes: usize,
    /// Records held as witness.
    pub witnessed: BTreeMap<Key, Witnessed>,
    /// Callers that wait for a witness's word.
    pub seals: BTreeMap<Exchange, SealWait>,
    /// Requests on their way to their owner.
    pub forwarded: HashMap<Exchange, Foreign>,
    /// Requests that wait for their owner's return or death.
    pub recoveries: BTreeMap<Exchange, Recovery>,
    /// Streams known as witness.
    pub holds: BTreeMap<Key, WitnessedHold>,
    /// Outcomes not yet acknowledged.
    pub owed: BTreeMap<Key, Owed>,
    /// Cancels not yet acknowledged.
    pub cancels: BTreeMap<u64, PendingCancel>,
    /// Last number given to a call, attempt, probe or cancel.
    pub last_number: u64,
    /// Time of the last tick.
    pub last_tick: Option<Duration>,
    /// When records past their life are dropped next.
    pub sweep_at: Duration,
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
            announced: Standing::Joining,
            version: 1,
            table: Table::default(),
            ticket_heard: 0,
            reads: Reads::default(),
            roster: Roster::default(),
            probes: BTreeMap::new(),
            probe_at: Duration::ZERO,
            gossip: VecDeque::new(),
            requests: BTreeMap::new(),
            active: BTreeSet::new(),
            by_key: HashMap::new(),
            by_exchange: HashMap::new(),
            by_attempt: HashMap::new(),
            tombstones: BTreeMap::new(),
            queue: BTreeMap::new(),
            organisations: HashMap::new(),
            loads: HashMap::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            witnessed: BTreeMap::new(),
            seals: BTreeMap::new(),
            forwarded: HashMap::new(),
            recoveries: BTreeMap::new(),
            holds: BTreeMap::new(),
            owed: BTreeMap::new(),
            cancels: BTreeMap::new(),
            last_number: 0,
            last_tick: None,
            sweep_at: Duration::ZERO,
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
        self.reads.list_read && (heard || self.roster.is_empty())
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
