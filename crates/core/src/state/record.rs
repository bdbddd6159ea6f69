//! State besides the requests themselves: refusals that hold until their ids expire, witness
//! records, and exchanges with other processes that are in progress.

use std::time::Duration;

use crate::event::Arrival;
use crate::id::{self, Exchange, Fingerprint, Key};
use crate::message::{Record, StreamRecord};
use crate::refusal::Refusal;
use crate::token::{Instance, Token};

/// A refusal at admission that holds until its id expires: no dispatch will happen under this id.
#[derive(Debug, Clone, Copy)]
pub struct Tombstone {
    /// The refusal.
    pub refusal: Refusal,
    /// Fingerprint that a repeat of the id must match.
    pub fingerprint: Fingerprint,
    /// When the id expires, since the Unix epoch.
    pub expiry: Duration,
}

/// What this process holds as witness for one id.
#[derive(Debug, Clone)]
pub struct WitnessRecord {
    /// The record.
    pub record: Record,
    /// When the id expires, since the Unix epoch.
    pub expiry: Duration,
}

/// A caller that waits for the witness to seal an id whose owner is unreachable.
#[derive(Debug, Clone)]
pub struct PendingSeal {
    /// The exchange.
    pub exchange: Exchange,
    /// The id.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// Fingerprint that the witness's answer must match.
    pub fingerprint: Fingerprint,
    /// Whether a seal proves that the call never ran.
    pub conclusive: bool,
    /// The witness that the token names.
    pub witness: Instance,
    /// When the id expires, since the Unix epoch.
    pub expiry: Duration,
    /// When the first seal was sent.
    pub started_at: Duration,
    /// When the last seal was sent.
    pub last_sent_at: Duration,
}

/// An outcome that the witness has not acknowledged.
#[derive(Debug, Clone)]
pub struct PendingOutcome {
    /// The witness.
    pub witness: Instance,
    /// The record.
    pub record: Record,
    /// When the call ended.
    pub ended_at: Duration,
    /// When the outcome was last sent.
    pub last_sent_at: Duration,
}

/// A notification to the witnesses of a stream that it has ended; sent once the engine has
/// acknowledged the cancel.
#[derive(Debug, Clone)]
pub struct StreamRelease {
    /// Digest of the id.
    pub key: Key,
    /// When the id expires, since the Unix epoch.
    pub expiry: Duration,
    /// The witness and the backup witness.
    pub recipients: [Option<Instance>; 2],
}

/// A cancel that the engine has not acknowledged.
#[derive(Debug, Clone)]
pub struct PendingCancel {
    /// Address of the engine.
    pub address: std::net::SocketAddr,
    /// Name of the request at the engine.
    pub request: String,
    /// When the first cancel was sent.
    pub started_at: Duration,
    /// Notification to send once the cancel is acknowledged.
    pub release: Option<StreamRelease>,
    /// When to send it again; `None` while a cancel is in flight.
    pub retry_at: Option<Duration>,
}

/// What this process knows of a runner's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Attempts of this process that occupy a slot, including reserved ones.
    pub running: u32,
    /// Until when the runner gets no attempts, after it was full or lost.
    pub cooldown_until: Duration,
}

/// A probe in flight.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// The member that is probed.
    pub target: id::Vm,
    /// When it was sent.
    pub sent_at: Duration,
    /// Whether indirect probes have been requested.
    pub indirect: bool,
    /// The VM on whose behalf it is sent and its number there, for an indirect probe.
    pub requester: Option<(id::Vm, u64)>,
}

/// A request whose id is owned by another process.
#[derive(Debug, Clone)]
pub struct RemoteRequest {
    /// The request.
    pub arrival: Arrival,
    /// The id.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// The token in the id.
    pub token: Token,
    /// When it arrived, since this process started.
    pub arrived_at: Duration,
}

/// A request that may be repeated and that its owner did not accept. It waits until the owner
/// responds or is considered dead.
#[derive(Debug, Clone)]
pub struct Recovery {
    /// The request.
    pub remote: RemoteRequest,
    /// When the next step is due.
    pub next_step_at: Duration,
    /// When the witness was first queried for the stream.
    pub queried_at: Option<Duration>,
    /// The witness's reply, once received: the stream, if there is one.
    pub reply: Option<Option<StreamRecord>>,
}

/// A stream recorded as witness.
#[derive(Debug, Clone)]
pub struct WitnessedStream {
    /// The process whose call the stream belongs to.
    pub owner: Instance,
    /// The stream.
    pub stream: StreamRecord,
    /// When the id expires, since the Unix epoch.
    pub expiry: Duration,
    /// Since when that process has been considered dead.
    pub dead_since: Option<Duration>,
}
