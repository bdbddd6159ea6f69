//! The time line: typed notes of what a process decided, stamped for merging over processes.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::event::Failure;
use crate::id::{self, Key, Vm};
use crate::refusal::{Code, Reason};

/// A hybrid logical time: wall clock in microseconds, then a counter.
///
/// It never goes back in one process, and a message's receipt is later than its sending, whatever
/// the two clocks say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Microseconds since the Unix epoch.
    pub micros: u64,
    /// Order among stamps of the same microsecond.
    pub counter: u32,
}

/// The clock that gives stamps.
#[derive(Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Gives the stamp of a local event.
    pub fn stamp(&mut self, unix: Duration) -> Stamp {
        self.merge(unix, Stamp::default())
    }

    /// Takes over a stamp received from a peer.
    pub fn merge(&mut self, unix: Duration, seen: Stamp) -> Stamp {
        let wall = Stamp {
            micros: unix.as_micros() as u64,
            counter: 0,
        };
        let latest = self.last.max(seen);
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

/// What happened.
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
    /// A repeated id was attached to the running exchange or got the recorded answer.
    Repeated,
    /// A request waits for a runner.
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
    /// A prefill ended.
    Prefilled,
    /// The first token came.
    FirstToken,
    /// An attempt failed.
    AttemptFailed,
    /// A request ended with its answer.
    Answered,
    /// A request was refused.
    Refused,
    /// A request was passed to its owner.
    Forwarded,
    /// A request was taken over from a dead owner.
    Recovered,
    /// The caller of a request is gone.
    CallerGone,
    /// A cancel was sent to a runner.
    CancelSent,
    /// A cancel was acknowledged.
    Cancelled,
    /// A ticket came into force.
    TicketApplied,
    /// A ticket was refused.
    TicketRefused,
    /// A VM was found to answer.
    MemberUp,
    /// A VM was found not to answer.
    MemberDown,
    /// A VM is leaving.
    MemberLeaving,
    /// This process began to leave.
    LeaveStarted,
    /// This process woke late.
    WokeLate,
}

/// What a note is about, besides the request.
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

/// Further detail of a note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Detail {
    /// What a runner was asked for.
    Stage(&'static str),
    /// How an attempt failed.
    Failure(Failure),
    /// HTTP status of an answer.
    Status(u16),
    /// What a caller was told.
    Refusal(Code, Reason),
    /// For how long.
    Elapsed(Duration),
    /// What is wrong with a ticket.
    Faults(Arc<str>),
}

impl fmt::Display for Detail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stage(stage) => f.write_str(stage),
            Self::Failure(failure) => write!(f, "{failure}"),
            Self::Status(status) => write!(f, "{status}"),
            Self::Refusal(code, reason) => {
                let (code, reason): (&str, &str) = (code.into(), reason.into());
                write!(f, "{code} {reason}")
            }
            Self::Faults(faults) => f.write_str(faults),
            Self::Elapsed(time) => write!(f, "{} ms", time.as_millis()),
        }
    }
}

/// One thing that happened, before it is stamped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// What.
    pub kind: Kind,
    /// To which request, as the digest of its id.
    pub request: Option<Key>,
    /// At or by which runner, VM, or endpoint.
    pub subject: Option<Subject>,
    /// Under which ticket.
    pub ticket: Option<id::Ticket>,
    /// Further detail.
    pub detail: Option<Detail>,
}

impl Draft {
    /// A note with nothing but its kind.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            request: None,
            subject: None,
            ticket: None,
            detail: None,
        }
    }

    /// Adds the request.
    pub fn request(self, key: Key) -> Self {
        Self {
            request: Some(key),
            ..self
        }
    }

    /// Adds a runner.
    pub fn runner(self, runner: &id::Runner) -> Self {
        Self {
            subject: Some(Subject::Runner(runner.clone())),
            ..self
        }
    }

    /// Adds an endpoint.
    pub fn endpoint(self, endpoint: &id::Endpoint) -> Self {
        Self {
            subject: Some(Subject::Endpoint(endpoint.clone())),
            ..self
        }
    }

    /// Adds a VM.
    pub fn vm(self, vm: Vm) -> Self {
        Self {
            subject: Some(Subject::Vm(vm)),
            ..self
        }
    }

    /// Adds a ticket.
    pub fn ticket(self, ticket: id::Ticket) -> Self {
        Self {
            ticket: Some(ticket),
            ..self
        }
    }

    /// Adds a detail.
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
    /// When, comparable over processes.
    pub stamp: Stamp,
    /// Where.
    pub vm: Vm,
    /// What.
    pub kind: Kind,
    /// To which request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// At or by which runner, VM, or item.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// Under which ticket.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<u64>,
    /// Further detail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

/// A bounded store of notes; the oldest go first. Text is made only when somebody reads.
#[derive(Debug)]
pub struct Ring {
    vm: Vm,
    capacity: usize,
    notes: VecDeque<(Stamp, Draft)>,
    dropped: u64,
}

impl Ring {
    /// Makes an empty ring for this VM that holds up to `capacity` notes.
    pub fn new(vm: Vm, capacity: usize) -> Self {
        Self {
            vm,
            capacity,
            notes: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Adds a note.
    pub fn push(&mut self, stamp: Stamp, note: Draft) {
        if self.notes.len() >= self.capacity {
            self.notes.pop_front();
            self.dropped += 1;
        }
        self.notes.push_back((stamp, note));
    }

    /// Gives the entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.notes.iter().map(|(stamp, note)| Entry {
            stamp: *stamp,
            vm: self.vm,
            kind: note.kind,
            request: note.request.map(|key| key.to_string()),
            subject: note.subject.as_ref().map(Subject::to_string),
            ticket: note.ticket,
            detail: note.detail.as_ref().map(Detail::to_string),
        })
    }

    /// Number of notes that had to go.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
