//! The time line: a typed log of a process's decisions, with stamps by which the logs of several
//! processes can be merged.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::event::Failure;
use crate::id::{self, Key, Vm};
use crate::refusal::{Claim, Reason};

/// A hybrid logical clock's timestamp: wall clock in microseconds, then a counter.
///
/// Stamps never go back within a process, and the receipt of a message is stamped later than its
/// sending, even if the two wall clocks disagree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Microseconds since the Unix epoch.
    pub micros: u64,
    /// Order among stamps of the same microsecond.
    pub counter: u32,
}

/// A hybrid logical clock.
#[derive(Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns the stamp of a local event.
    pub fn stamp(&mut self, unix: Duration) -> Stamp {
        self.merge(unix, Stamp::default())
    }

    /// Returns the stamp of an event caused by a peer's message, later than the message's stamp.
    pub fn merge(&mut self, unix: Duration, received: Stamp) -> Stamp {
        let wall = Stamp {
            micros: unix.as_micros() as u64,
            counter: 0,
        };
        let latest = self.last.max(received);
        self.last = if wall > latest {
            wall
        } else {
            Stamp {
                micros: latest.micros,
                counter: latest.counter.saturating_add(1),
            }
        };
        self.last
    }
}

/// Kind of an entry.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// A request was accepted.
    Accepted,
    /// A repeated request was attached to the running call or got the recorded answer.
    Repeated,
    /// A request was queued for a runner.
    Queued,
    /// An intent was sent to the witness.
    IntentSent,
    /// The witness acknowledged the intent.
    IntentRecorded,
    /// This process recorded an intent as witness.
    Witnessed,
    /// This process sealed an id as witness.
    SealedHere,
    /// An attempt was dispatched to a runner.
    Dispatched,
    /// A prefill completed.
    Prefilled,
    /// The first token was received.
    FirstToken,
    /// An attempt failed.
    AttemptFailed,
    /// A request ended with its complete answer.
    Answered,
    /// A request was refused.
    Refused,
    /// A request was forwarded to its owner.
    Forwarded,
    /// A request was taken over from a dead owner.
    Recovered,
    /// The caller of a request disconnected.
    CallerGone,
    /// A cancel was sent to a runner.
    CancelSent,
    /// A cancel was acknowledged.
    Cancelled,
    /// A ticket was applied.
    TicketApplied,
    /// A ticket failed its check and was skipped.
    TicketRefused,
    /// A VM was found reachable and ready for callers.
    MemberUp,
    /// A VM was found unreachable.
    MemberDown,
    /// A VM is leaving the fleet.
    MemberLeaving,
    /// This process began to leave the fleet.
    LeaveStarted,
    /// This process was stalled: its timer fired too late.
    WokeLate,
}

/// What an entry is about, besides the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A runner.
    Runner(id::Runner),
    /// An endpoint.
    Endpoint(id::Endpoint),
    /// A VM.
    Vm(Vm),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runner(name) | Self::Endpoint(name) => f.write_str(name),
            Self::Vm(vm) => write!(f, "vm {vm}"),
        }
    }
}

/// Further detail of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Detail {
    /// The operation that a runner was asked for.
    Operation(&'static str),
    /// How an attempt failed.
    Failure(Failure),
    /// HTTP status of a response.
    Status(u16),
    /// Claim and reason of a refusal.
    Refusal(Claim, Reason),
    /// Time between two ticks of a process that was stalled.
    Elapsed(Duration),
    /// What is wrong with a ticket.
    Faults(Arc<str>),
}

impl fmt::Display for Detail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operation(operation) => f.write_str(operation),
            Self::Failure(failure) => write!(f, "{failure}"),
            Self::Status(status) => write!(f, "{status}"),
            Self::Refusal(claim, reason) => {
                let (claim, reason): (&str, &str) = (claim.into(), reason.into());
                write!(f, "{claim} {reason}")
            }
            Self::Faults(faults) => f.write_str(faults),
            Self::Elapsed(elapsed) => write!(f, "{} ms", elapsed.as_millis()),
        }
    }
}

/// An entry without its stamp.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// What happened.
    pub kind: Kind,
    /// Digest of the id of the request concerned.
    pub request: Option<Key>,
    /// The runner, VM, or endpoint concerned.
    pub subject: Option<Subject>,
    /// The ticket concerned.
    pub ticket: Option<id::Ticket>,
    /// Further detail.
    pub detail: Option<Detail>,
}

impl Draft {
    /// Creates a draft with nothing but its kind.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            request: None,
            subject: None,
            ticket: None,
            detail: None,
        }
    }

    /// Sets the request.
    pub fn request(self, key: Key) -> Self {
        Self {
            request: Some(key),
            ..self
        }
    }

    /// Sets the subject to a runner.
    pub fn runner(self, runner: &id::Runner) -> Self {
        Self {
            subject: Some(Subject::Runner(runner.clone())),
            ..self
        }
    }

    /// Sets the subject to an endpoint.
    pub fn endpoint(self, endpoint: &id::Endpoint) -> Self {
        Self {
            subject: Some(Subject::Endpoint(endpoint.clone())),
            ..self
        }
    }

    /// Sets the subject to a VM.
    pub fn vm(self, vm: Vm) -> Self {
        Self {
            subject: Some(Subject::Vm(vm)),
            ..self
        }
    }

    /// Sets the ticket.
    pub fn ticket(self, ticket: id::Ticket) -> Self {
        Self {
            ticket: Some(ticket),
            ..self
        }
    }

    /// Sets the detail.
    pub fn detail(self, detail: Detail) -> Self {
        Self {
            detail: Some(detail),
            ..self
        }
    }
}

/// One entry of a time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, comparable across processes.
    pub stamp: Stamp,
    /// The VM that wrote the entry.
    pub vm: Vm,
    /// What happened.
    pub kind: Kind,
    /// The request concerned: digest of its id, in hex.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// The runner, VM, or endpoint concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// The ticket concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<u64>,
    /// Further detail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

/// A ring buffer of entries. Drafts are formatted as text only when the entries are read.
#[derive(Debug)]
pub struct Ring {
    vm: Vm,
    capacity: usize,
    drafts: VecDeque<(Stamp, Draft)>,
    dropped: u64,
}

impl Ring {
    /// Creates an empty ring buffer for `vm` that holds up to `capacity` entries.
    pub fn new(vm: Vm, capacity: usize) -> Self {
        Self {
            vm,
            capacity,
            drafts: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Adds an entry; drops the oldest one if the buffer is full.
    pub fn push(&mut self, stamp: Stamp, draft: Draft) {
        if self.drafts.len() >= self.capacity {
            self.drafts.pop_front();
            self.dropped += 1;
        }
        self.drafts.push_back((stamp, draft));
    }

    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.drafts.iter().map(|(stamp, draft)| Entry {
            stamp: *stamp,
            vm: self.vm,
            kind: draft.kind,
            request: draft.request.map(|key| key.to_string()),
            subject: draft.subject.as_ref().map(Subject::to_string),
            ticket: draft.ticket,
            detail: draft.detail.as_ref().map(Detail::to_string),
        })
    }

    /// Returns the number of entries dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
