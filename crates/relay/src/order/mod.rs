//! The order in which calls that wait for capacity get it, and which of them are refused.
//!
//! Streams that have begun go first, then calls that can still meet their target, then late ones, which get only
//! what the others leave. Within these, calls are ordered by priority; within a priority, organisations share
//! capacity equally by work (start-time fair queueing); and within an organisation, calls with the least time left
//! go first, cheap ones ahead of expensive ones that have about as much time left.
//!
//! Nothing starves: while calls of a less urgent priority wait, that priority gets at least a fixed part of the work
//! that more urgent ones get ([`MINIMUM_SHARE`]); no organisation waits for more than one call of each other
//! organisation beyond its equal share; and the time left of an expensive call runs out while it waits, until cheap
//! calls that have come later are behind it.
//!
//! A call that can't get capacity before its VM gives it up, by the work ahead of it and the rate at which capacity
//! becomes free, is refused at once.
//!
//! With one priority, no organisations and no call left over from an earlier pass, calls go by the time left alone.

mod credit;
mod history;
mod queue;
mod share;
mod throughput;

use std::time::Duration;

use crate::id;
use share::Shares;
use throughput::Throughput;

pub use credit::MINIMUM_SHARE;
pub use history::History;
pub use queue::{arrange, Queue};

/// Work of a call, in tokens: those to prefill and those to hold.
pub type Work = u64;

/// Priority of an ask that states none: a middle one.
pub const PRIORITY_DEFAULT: u8 = 5;

/// How soon a call needs capacity; the order of the variants is the order of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Its stream has started, and pauses until it goes on.
    Started,
    /// It meets its target latency if it gets the capacity within this time.
    InTime(Duration),
    /// It can't meet its target latency any more.
    Late,
}

impl Urgency {
    /// The urgency after some time.
    pub fn after(self, age: Duration) -> Self {
        match self {
            Self::InTime(slack) => slack.checked_sub(age).map_or(Self::Late, Self::InTime),
            other => other,
        }
    }

    /// The urgency of a call that needs some time before its response begins.
    fn less(self, need: Duration) -> Self {
        self.after(need)
    }
}

/// A call that waits, as far as its place in the order depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Number of the call at its VM.
    pub call: id::Call,
    /// The VM.
    pub vm: &'a id::Vm,
    /// How soon it needs capacity.
    pub urgency: Urgency,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its organisation, if it has one.
    pub organisation: Option<&'a id::Organisation>,
    /// Time that it needs with its capacity before its response begins: the queue for prefill, and prefill.
    pub need: Duration,
    /// Its work.
    pub work: Work,
    /// How long its VM waits for capacity; none if that is not known, and it is not refused then.
    pub patience: Option<Duration>,
}

/// A call that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Its index in the entries of the queue.
    pub index: usize,
    /// When there is capacity for it, if it comes again.
    pub retry_after: Duration,
}
