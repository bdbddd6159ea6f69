//! Messages between entry VMs. All are one-way; a reply is a message of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id::{Fingerprint, Incarnation, Key, Ticket, Vm, Zone};
use crate::ticket::Version;

/// What a VM publishes about itself; other VMs pass it on by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// The VM.
    pub vm: Vm,
    /// The incarnation that is described.
    pub incarnation: Incarnation,
    /// Orders the descriptors of one incarnation; only the VM itself increments it.
    pub version: u64,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Its membership status.
    pub status: Status,
}

/// Membership status of a VM; at equal versions the later variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It is reachable but has not applied the newest ticket yet.
    Joining,
    /// It is reachable and accepts callers.
    Up,
    /// It did not acknowledge a probe; it can refute this with a higher version.
    Suspect,
    /// It is shutting down: callers are no longer directed to it, and it exits once its running
    /// work has ended.
    Leaving,
    /// It is unreachable or has exited.
    Down,
}

/// A plain service's answer, as the witness stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Fingerprint that a repeat of the request must match.
    pub fingerprint: Fingerprint,
    /// The `Content-Type`; empty if the answer had none.
    pub content_type: Arc<str>,
    /// The body, if it is small enough to be stored.
    pub body: Option<Arc<[u8]>>,
}

/// What a witness has recorded about an id.
#[derive(Debug, Clone, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Record {
    /// No intent was recorded, and none will be acknowledged.
    Sealed,
    /// The owner was permitted to dispatch; no outcome is known.
    Intent,
    /// The owner has the complete answer.
    Answered(Arc<Answer>),
    /// The owner stopped before the first byte was written to a runner.
    NeverRan,
    /// The owner can't find out whether the call ran.
    Uncertain,
}

/// A running stream at a decode engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Name of the request at that engine.
    pub request: String,
}

/// A message between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Checks whether the receiver is alive.
    Probe {
        /// Number that the acknowledgement repeats.
        number: u64,
        /// The highest ticket that the sender has applied.
        ticket: Ticket,
    },
    /// Acknowledges a probe.
    ProbeAck {
        /// Number of the probe.
        number: u64,
        /// The highest ticket that the probed VM has applied.
        ticket: Ticket,
    },
    /// Asks the receiver to probe a third VM on the sender's behalf.
    IndirectProbe {
        /// Number for the acknowledgement to the sender.
        number: u64,
        /// The VM to probe.
        target: Vm,
    },
    /// Asks for the tickets after a number.
    TicketQuery {
        /// The number.
        after: Ticket,
    },
    /// Tickets in the order of their numbers.
    Tickets {
        /// Their JSON, as published by the platform.
        texts: Vec<Arc<str>>,
    },
    /// One part of the ticket table, for a receiver that is too far behind for single tickets.
    Snapshot {
        /// The highest ticket that the sender has applied.
        newest: Ticket,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// The items of this part.
        versions: Vec<Version>,
    },
    /// Descriptors of VMs, spread by gossip.
    Descriptors {
        /// The descriptors.
        descriptors: Vec<Descriptor>,
    },
    /// Asks the witness to record that the owner is about to dispatch.
    Intent {
        /// Digest of the request id.
        key: Key,
        /// Boot of the witness that the id's token names.
        witness: Incarnation,
        /// Expiry of the id, since the Unix epoch.
        expiry: Duration,
    },
    /// Acknowledges an intent.
    IntentAck {
        /// Digest of the request id.
        key: Key,
        /// Whether the owner may dispatch.
        granted: bool,
    },
    /// Reports to the witness how a dispatched call ended.
    Outcome {
        /// Digest of the request id.
        key: Key,
        /// How it ended.
        record: Record,
    },
    /// Acknowledges an outcome.
    OutcomeAck {
        /// Digest of the request id.
        key: Key,
    },
    /// Asks the witness to seal an id whose owner is unreachable.
    Seal {
        /// Digest of the request id.
        key: Key,
        /// Boot of the witness that the id's token names.
        witness: Incarnation,
        /// Expiry of the id, since the Unix epoch.
        expiry: Duration,
    },
    /// Reports to the witness which stream a call has, so that it can be resumed or cancelled if
    /// the sender dies.
    StreamRecord {
        /// Digest of the request id.
        key: Key,
        /// Expiry of the id, since the Unix epoch.
        expiry: Duration,
        /// The stream; `None` once it has ended.
        stream: Option<StreamRecord>,
    },
    /// Asks the witness for the stream of a call whose owner is dead.
    StreamQuery {
        /// Digest of the request id.
        key: Key,
    },
    /// Answers a stream query.
    StreamReply {
        /// Digest of the request id.
        key: Key,
        /// The stream, if one is known.
        stream: Option<StreamRecord>,
    },
    /// Answers a seal request.
    SealAck {
        /// Digest of the request id.
        key: Key,
        /// The witness's record after the seal; `None` if this incarnation of the witness can't
        /// know.
        record: Option<Record>,
    },
}

impl Message {
    /// Returns whether it must be sent without delay because a process or caller may be waiting for
    /// it. Other messages are batched with the next urgent one, or sent after a short delay.
    pub fn is_urgent(&self) -> bool {
        !matches!(
            self,
            Self::Outcome { .. } | Self::OutcomeAck { .. } | Self::StreamRecord { .. }
        )
    }
}
