//! Messages between entry VMs. Each goes one way; answers are messages of their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id::{Fingerprint, Incarnation, Key, Ticket, Vm, Zone};
use crate::ticket::Version;

/// What a VM says of itself, and others pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// The VM.
    pub vm: Vm,
    /// Its boot.
    pub incarnation: Incarnation,
    /// Order among statements about one boot; only the VM itself raises it.
    pub version: u64,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// What is said of it.
    pub status: Status,
}

/// What is said of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It answers but does not know the newest ticket yet.
    Joining,
    /// It answers and takes callers.
    Up,
    /// It did not answer a probe; it may refute.
    Suspect,
    /// It takes no new callers and ends when its work has.
    Leaving,
    /// It does not answer, or has ended.
    Down,
}

/// A plain service's answer as a witness keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// What a repeat must have in common with the request.
    pub fingerprint: Fingerprint,
    /// The `Content-Type`; empty where there was none.
    pub content_type: Arc<str>,
    /// The body, if it is small.
    pub body: Option<Arc<[u8]>>,
}

/// What a witness holds about an id.
#[derive(Debug, Clone, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Record {
    /// No intent came and none will be acknowledged.
    Sealed,
    /// The owner was cleared for dispatch; no outcome is known.
    Intent,
    /// The owner has the whole answer.
    Answered(Arc<Answer>),
    /// The owner gave up before the first byte was written.
    NeverRan,
    /// The owner knows that it can't know.
    Uncertain,
}

/// A stream at a decode engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Name of the request there.
    pub request: String,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks for a sign of life.
    Probe {
        /// Matches the answer.
        number: u64,
        /// The sender's highest ticket.
        ticket: Ticket,
    },
    /// Answers a probe.
    ProbeAck {
        /// Number of the probe.
        number: u64,
        /// The sender's highest ticket.
        ticket: Ticket,
    },
    /// Asks the receiver to probe a third VM.
    IndirectProbe {
        /// Number to answer with.
        number: u64,
        /// The VM in question.
        target: Vm,
    },
    /// Asks for tickets after a number.
    TicketQuery {
        /// The number.
        after: Ticket,
    },
    /// Tickets as they came, in order.
    Tickets {
        /// Their JSON.
        texts: Vec<Arc<str>>,
    },
    /// A part of the whole state, for a receiver that is far behind.
    Snapshot {
        /// The sender's highest ticket.
        newest: Ticket,
        /// Which part this is, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// The items.
        versions: Vec<Version>,
    },
    /// Statements about VMs.
    Descriptors {
        /// The statements.
        descriptors: Vec<Descriptor>,
    },
    /// Asks the witness to record that the owner is about to dispatch.
    Intent {
        /// The id.
        key: Key,
        /// Boot of the witness that the token names.
        witness: Incarnation,
        /// End of the id's life, since the Unix epoch.
        expiry: Duration,
    },
    /// Answers an intent.
    IntentAck {
        /// The id.
        key: Key,
        /// Whether the owner may dispatch.
        granted: bool,
    },
    /// Tells the witness how a dispatched call ended.
    Outcome {
        /// The id.
        key: Key,
        /// How it ended.
        record: Record,
    },
    /// Acknowledges an outcome.
    OutcomeAck {
        /// The id.
        key: Key,
    },
    /// Asks the witness to seal an id whose owner can't be reached.
    Seal {
        /// The id.
        key: Key,
        /// Boot of the witness that the token names.
        witness: Incarnation,
        /// End of the id's life, since the Unix epoch.
        expiry: Duration,
    },
    /// Tells the witness which stream a call has, so that it can be resumed or cancelled if the
    /// sender dies.
    StreamRecord {
        /// The id.
        key: Key,
        /// End of the id's life, since the Unix epoch.
        expiry: Duration,
        /// The stream; none once it has ended.
        stream: Option<StreamRecord>,
    },
    /// Asks the witness which stream a call of a dead owner has.
    StreamQuery {
        /// The id.
        key: Key,
    },
    /// Answers that.
    StreamReply {
        /// The id.
        key: Key,
        /// The stream, if one is known.
        stream: Option<StreamRecord>,
    },
    /// Answers a seal; absent when this boot of the witness can't know.
    SealAck {
        /// The id.
        key: Key,
        /// What the witness holds after the seal.
        record: Option<Record>,
    },
}

impl Message {
    /// Tells whether somebody waits for it; other messages go with the next one that is urgent, or
    /// after a short while.
    pub fn is_urgent(&self) -> bool {
        !matches!(
            self,
            Self::Outcome { .. } | Self::OutcomeAck { .. } | Self::StreamRecord { .. }
        )
    }
}
