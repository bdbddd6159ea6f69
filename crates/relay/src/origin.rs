//! Which software version began a stream.
//!
//! What runners of two software versions write does not fit together, so a stream may go on only at the
//! version that began it. Its caller may go on with it at any VM, which has to learn that version: the VM
//! that forwards the first event records it, and tells it to a few others, those that rank highest for the
//! stream (rendezvous hashing), or to all of a small fleet. A VM that does not know the stream asks those, by its own view of the
//! fleet. Nothing is agreed upon. Where no VM knows the version, as after the loss of all VMs, the stream
//! goes on if no other version can have begun it, or if the engines that still hold its prompt are all of
//! one version; see [`crate::cache_index`]. Else its caller loses the rest of the stream.

use std::net::SocketAddr;
use std::time::Duration;

use crate::allocation::hash;
use crate::cache_index::Holding;
use crate::expiry;
use crate::id;

/// Number of VMs that are told the origin of a stream, in a large fleet.
pub const REPLICAS: usize = 3;
/// Number of other VMs up to which all of them are told: as one that is left after a loss then knows every stream.
const REPLICAS_MAX: usize = 7;
/// Number of VMs that are asked at a time. The VM that began the stream may rank among them, and it is not
/// one of the replicas.
pub const ASKED: usize = REPLICAS + 1;
/// Number of times that as many VMs are asked, each time those that rank next.
pub const ROUNDS: u32 = 2;
/// How long the VMs of one round have to answer.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a VM that is asking the engines is asked for what it has found.
pub const PENDING_INTERVAL: Duration = Duration::from_millis(50);
/// How long a search waits for the configuration service.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a search waits for what engines hold.
const ENGINES_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of streams whose origin is kept.
const STREAMS_MAX: usize = 1 << 16;

/// Number that no stream has.
pub const NO_STREAM: id::Stream = 0;

/// Number of the stream whose first event a request brought; never [`NO_STREAM`].
pub fn stream(request: &str) -> id::Stream {
    hash(request.as_bytes(), 0).max(1)
}

/// Key of a runner or an endpoint, for the rank of VMs that have a duty for it.
pub fn name_key(name: &str) -> u64 {
    stream(name)
}

/// Number of VMs that are told the origin of a stream, of so many others.
pub fn replicas(others: usize) -> usize {
    if others <= REPLICAS_MAX {
        others
    } else {
        REPLICAS
    }
}

/// Rank of a VM for a key, such as a stream; the VMs that rank highest for a stream are told its origin.
pub fn rank(vm: &id::Vm, key: u64) -> u64 {
    hash(vm.as_bytes(), key)
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Software version of the runner.
    pub build: id::Build,
}

/// The origin of one stream, as recorded and told to other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The stream; [`NO_STREAM`] if the record is of its session alone.
    pub stream: id::Stream,
    /// The last part of its prompt, by which its session is known (see [`crate::session`]); none if it has no prompt.
    pub session: Option<id::Part>,
    /// Where it began.
    pub origin: Origin,
    /// How long the caller may still go on with it.
    pub lifetime: Duration,
}

impl Record {
    /// Number by which the VMs that are told are ranked.
    pub fn key(&self) -> u64 {
        match (self.stream, self.session) {
            (NO_STREAM, Some(session)) => session,
            (stream, _) => stream,
        }
    }
}

/// What a VM is asked to find the origin by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// The stream, by what VMs were told; none if the caller does not name it.
    Stream(Option<id::Stream>),
    /// The last part of its prompt, by what engines hold.
    Part(id::Part),
    /// The last part of the prompts of its session, by what VMs were told.
    Session(id::Part),
}

/// A question for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// What to find it by.
    pub key: Key,
    /// The endpoint at which it is to go on.
    pub endpoint: id::Endpoint,
}

/// What a VM answers to a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It knows the origin.
    Known(Origin),
    /// It does not know the origin, but only one software version can have begun the stream: it has known
    /// all runners of the endpoint for as long as the stream may have existed.
    Sole(id::Build),
    /// It does not know the origin, and several software versions can have begun the stream.
    Mixed,
    /// It knows nothing of use.
    Unknown,
    /// It is asking the engines.
    Pending,
    /// The engines that hold the prompt are all of one software version.
    Held(Holding),
    /// It did not respond in time.
    Unresponsive,
}

/// What told which software version began a stream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// This VM knew it.
    Local,
    /// Another VM knew it.
    Peer,
    /// Only one software version can have begun the stream, by the list of this or another VM.
    SoleBuild,
    /// The engines that hold its prompt are all of one software version.
    Engines,
    /// Nothing; several software versions can have begun the stream.
    Unknown,
    /// Nothing; a VM that may know it was not reached.
    Unreachable,
}

/// The origins of streams that a VM knows.
#[derive(Debug)]
pub struct Table {
    /// None if different origins of a stream were told, so that none can be relied on.
    origins: expiry::Map<Option<Origin>>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            origins: expiry::Map::new(STREAMS_MAX),
        }
    }
}

impl Table {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// The origin of a stream, if it is known.
    pub fn get(&self, stream: id::Stream, now: Duration) -> Option<&Origin> {
        self.origins.get(stream, now)?.as_ref()
    }

    /// Whether different origins of a stream were told.
    pub fn is_contradictory(&self, stream: id::Stream, now: Duration) -> bool {
        matches!(self.origins.get(stream, now), Some(None))
    }

    /// All records, with the lifetime that is left.
    pub fn records(&self, now: Duration) -> Vec<Record> {
        let known = self.origins.iter(now);
        let records = known.filter_map(|(stream, origin, expires_at)| {
            Some(Record {
                stream,
                session: None,
                origin: origin.clone()?,
                lifetime: expires_at.saturating_sub(now),
            })
        });
        records.collect()
    }

    /// Adds the origin of a stream, or extends the lifetime of an earlier one.
    pub fn insert(&mut self, record: Record, now: Duration) {
        let mut origin = Some(record.origin);
        let mut expires_at = now + record.lifetime;
        if let Some((known, known_until)) = self.origins.remove(record.stream) {
            expires_at = expires_at.max(known_until);
            origin = origin.filter(|new| known.as_ref() == Some(new));
        }
        self.origins.insert(record.stream, origin, expires_at);
    }

    /// Drops the records that have expired.
    pub fn evict(&mut self, now: Duration) {
        self.origins.evict(now);
    }
}

/// Who is asked for the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The VMs that may have been told it.
    Vms,
    /// The configuration service, for runners that this VM has not heard of.
    Source {
        /// Until when it has to answer.
        until: Duration,
    },
    /// The VMs that may know the session of a request that begins a stream.
    Session,
    /// A VM that asks the engines.
    Engines {
        /// Until when it has to find out.
        until: Duration,
    },
}

/// The search of a call for the origin of its stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Search {
    /// The stream; none if the caller does not name it.
    pub stream: Option<id::Stream>,
    /// Who is asked.
    pub stage: Stage,
    /// Number of times that VMs were asked.
    pub rounds: u32,
    /// The VMs of this round that have not answered.
    pub awaited: Vec<SocketAddr>,
    /// All VMs that were asked.
    pub asked: Vec<id::Vm>,
    /// Until when the answers of this round are awaited.
    pub deadline: Duration,
    /// The only software version that can have begun the stream, by the answers.
    pub sole: Option<id::Build>,
    /// Whether several software versions can have begun the stream, by the answers.
    pub is_mixed: bool,
    /// Whether a VM did not answer in time.
    pub has_unresponsive: bool,
}

impl Search {
    /// Creates a search that has asked no VM yet.
    pub fn new(stream: Option<id::Stream>) -> Self {
        Self {
            stream,
            stage: Stage::Vms,
            rounds: 0,
            awaited: Vec::new(),
            asked: Vec::new(),
            deadline: Duration::ZERO,
            sole: None,
            is_mixed: false,
            has_unresponsive: false,
        }
    }

    /// Goes on with the configuration service, if it has not done so yet; returns until when that is awaited.
    pub fn ask_source(&mut self, now: Duration) -> Duration {
        if let Stage::Source { until } = self.stage {
            return until;
        }
        let until = now + SOURCE_TIMEOUT;
        self.stage = Stage::Source { until };
        self.awaited.clear();
        until
    }

    /// Goes on with the engines, if it has not done so yet; returns until when they are asked.
    pub fn ask_engines(&mut self, now: Duration) -> Duration {
        if let Stage::Engines { until } = self.stage {
            return until;
        }
        let until = now + ENGINES_TIMEOUT;
        self.stage = Stage::Engines { until };
        self.asked.clear();
        self.awaited.clear();
        until
    }

    /// Takes into account an answer that does not name the origin.
    pub fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Known(_) | Answer::Held(_) | Answer::Unknown | Answer::Pending => {}
            Answer::Mixed => self.is_mixed = true,
            Answer::Unresponsive => self.has_unresponsive = true,
            Answer::Sole(build) => {
                self.is_mixed |= self.sole.as_ref().is_some_and(|sole| *sole != build);
                self.sole = Some(build);
            }
        }
    }
}
