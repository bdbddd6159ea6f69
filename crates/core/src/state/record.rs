//! What is kept beside requests: claims, witness records, and what is under way between processes.

use std::time::Duration;

use crate::event::Arrival;
use crate::id::{self, Exchange, Fingerprint, Key};
use crate::message::{Hold, Record};
use crate::refusal::Refusal;
use crate::token::{Seat, Token};

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
pub struct PendingSeal {
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
    /// The witness that the token names.
    pub witness: Seat,
    /// End of the id's life, since the Unix epoch.
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
    pub witness: Seat,
    /// The record.
    pub record: Record,
    /// When the call ended.
    pub ended_at: Duration,
    /// When it was last sent.
    pub last_sent_at: Duration,
}

/// Word to those who know of a stream that it is no more; due once the engine has said so.
#[derive(Debug, Clone)]
pub struct StreamRelease {
    /// The id.
    pub key: Key,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
    /// The witness and the second process.
    pub recipients: [Option<Seat>; 2],
}

/// A cancel that the engine has not acknowledged.
#[derive(Debug, Clone)]
pub struct PendingCancel {
    /// Where the engine listens.
    pub address: std::net::SocketAddr,
    /// Name of the request at the engine.
    pub request: String,
    /// When the cancel was decided.
    pub started_at: Duration,
    /// Who is to be told once it is acknowledged.
    pub release: Option<StreamRelease>,
    /// When to send it again, unless an order is under way.
    pub retry_at: Option<Duration>,
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
    pub sent_at: Duration,
    /// Whether others were asked to help.
    pub indirect: bool,
    /// For whom it is sent, and under which number of theirs.
    pub requester: Option<(id::Vm, u64)>,
}

/// A request whose id another process owns.
#[derive(Debug, Clone)]
pub struct RemoteRequest {
    /// The request.
    pub arrival: Arrival,
    /// The id.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// What the id's token says.
    pub token: Token,
    /// When it arrived, since this process started.
    pub arrived_at: Duration,
}

/// A request that may be repeated and whose owner did not take it: waits until the owner answers
/// or counts as dead.
#[derive(Debug, Clone)]
pub struct Recovery {
    /// The request.
    pub remote: RemoteRequest,
    /// When the next step is due.
    pub next_step_at: Duration,
    /// When the witness was first asked for the stream.
    pub queried_at: Option<Duration>,
    /// What the witness said.
    pub reply: Option<Option<Hold>>,
}

/// A stream that this process knows of as witness.
#[derive(Debug, Clone)]
pub struct WitnessedStream {
    /// The process whose stream it is.
    pub owner: Seat,
    /// The stream.
    pub hold: Hold,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
    /// Since when that process counts as dead.
    pub dead_since: Option<Duration>,
}
