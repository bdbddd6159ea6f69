//! What goes into the reducer and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision_log::Entry;
use crate::id;
use crate::manifest::{Kind as RouteKind, Manifest};
use crate::member::{Descriptor as MemberDescriptor, View};
use crate::pool::{Descriptor, Report};
use crate::refusal::Refusal;
use crate::settings::Settings;

/// Size of a model request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that the answer is expected to have.
    pub output_tokens: u64,
}

/// A request that was read whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The call that it becomes.
    pub call: id::Call,
    /// Its own id.
    pub id: Arc<str>,
    /// The host that it names, in lower case.
    pub host: Arc<str>,
    /// Its path, without the query.
    pub path: Arc<str>,
    /// How long its caller waits.
    pub time_limit: Option<Duration>,
    /// Its size, where it is for a model.
    pub prompt: Option<Prompt>,
    /// Position after which the caller wants the stream.
    pub resume_after: Option<u64>,
}

/// A KV cache that a prefill runner keeps for a decode runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kv {
    /// The prefill runner.
    pub runner: id::Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name for the cache.
    pub handle: Arc<str>,
    /// When it was made.
    pub created_at: Duration,
}

/// How long a prefill runner keeps a KV cache, less the time to fetch it.
const KV_LIFETIME: Duration = Duration::from_millis(400);

impl Kv {
    /// Tells whether the cache can still be fetched.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.created_at + KV_LIFETIME > now
    }
}

/// Why a runner says that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decline {
    /// It has no room, or the KV cache can't be had.
    Full,
    /// Another runner listens at the address.
    Displaced,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Not one byte of the request was written.
    Unwritten,
    /// The runner says that it did not run the request.
    Declined(Decline),
    /// The connection broke, or bytes came that are no answer, after the request may have been
    /// written.
    Lost,
    /// The answer names another request.
    Mismatched,
    /// The whole answer has come; it is kept until it is passed on or dropped.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The prompt has been read.
    Prefilled {
        /// The runner's name for the KV cache.
        handle: Arc<str>,
    },
    /// The stream has ended as whole.
    Ended,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time went on.
    Tick,
    /// A manifest was read, from the service or from a peer.
    ManifestRead {
        /// The manifest.
        manifest: Arc<Manifest>,
    },
    /// The whole list of runners was read.
    PoolRead {
        /// Its entries.
        descriptors: Vec<Descriptor>,
        /// Position of the list in its history.
        revision: id::Revision,
    },
    /// An entry of the list was written.
    RunnerUpdated {
        /// The entry.
        descriptor: Descriptor,
    },
    /// An entry of the list has ended.
    RunnerRemoved {
        /// The runner.
        runner: id::Runner,
        /// Position of its end.
        revision: id::Revision,
    },
    /// The configuration service was reached, or was lost.
    SourceReached {
        /// Whether it was reached.
        reached: bool,
    },
    /// A request was read whole.
    Arrived(Arrival),
    /// The caller of a call closed its connection.
    CallerDisconnected {
        /// The call.
        call: id::Call,
    },
    /// The head of a stream came from a runner.
    StreamStarted {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// An event of a stream came whole.
    StreamEvent {
        /// The attempt.
        attempt: id::Attempt,
        /// Its position, where it names one.
        position: Option<u64>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: id::Attempt,
        /// How.
        outcome: Outcome,
        /// What the runner told of its load.
        reported: Option<Report>,
    },
    /// A peer sent its view of the fleet.
    ViewReceived {
        /// What it sent.
        view: View,
    },
    /// A peer did not answer.
    PeerUnresponsive {
        /// Where it was asked.
        address: SocketAddr,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// Bounds and intervals.
        settings: Settings,
        /// Addresses at which to look for peers.
        seeds: Vec<SocketAddr>,
    },
    /// The process was asked to leave.
    Leave,
}

/// What an attempt asks of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// One exchange whose answer is passed on whole.
    Plain,
    /// Read the prompt and keep its KV cache.
    Prefill,
    /// Generate a stream.
    Generate {
        /// The cache to import; without one the runner reads the prompt itself.
        kv: Option<Kv>,
        /// Position after which to go on, where it differs from what the caller asked for.
        resume_after: Option<u64>,
    },
}

/// An attempt to begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: id::Attempt,
    /// The call.
    pub call: id::Call,
    /// The runner, which must be the one that answers.
    pub runner: id::Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is asked.
    pub operation: Operation,
    /// Time that the runner may take.
    pub time_limit: Duration,
}

/// How a call ended, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// A runner's answer was passed on.
    Answered,
    /// A runner's failure was passed on.
    Failed,
    /// A stream was passed on whole.
    StreamEnded,
    /// A stream was cut.
    StreamCut,
    /// This process said that it did not run.
    NotRun,
    /// This process said that it may have run.
    Unknown,
    /// The caller left first.
    CallerGone,
}

/// A time to be added to a distribution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// From a request's arrival to its end.
    Call {
        /// Kind of its route.
        kind: RouteKind,
        /// How it ended.
        ending: Ending,
        /// The time.
        took: Duration,
    },
    /// From a request's arrival to the first event of its stream.
    FirstEvent {
        /// The time.
        took: Duration,
    },
}

/// Something for the shell to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Begins an attempt.
    Dispatch(Dispatch),
    /// Ends an attempt and closes its connection.
    CancelAttempt {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Gives the caller the answer of this event.
    ForwardResponse {
        /// The call.
        call: id::Call,
    },
    /// Gives the caller the head of the stream that began with this event.
    ForwardHead {
        /// The call.
        call: id::Call,
    },
    /// Gives the caller the piece of this event.
    ForwardEvent {
        /// The call.
        call: id::Call,
    },
    /// Ends the caller's stream as whole.
    EndStream {
        /// The call.
        call: id::Call,
    },
    /// Cuts the caller's stream, so that it can't be taken for whole.
    AbortStream {
        /// The call.
        call: id::Call,
    },
    /// Gives the caller a final answer of this process.
    Refuse {
        /// The call.
        call: id::Call,
        /// The answer.
        refusal: Refusal,
    },
    /// Frees all that the shell keeps for a call.
    ReleaseCall {
        /// The call.
        call: id::Call,
    },
    /// Has a prefill runner free a KV cache that will not be used.
    FreeKv {
        /// The cache.
        kv: Kv,
    },
    /// Sends this process's view of the fleet to a peer.
    PublishView {
        /// The peer.
        address: SocketAddr,
        /// What to send.
        view: View,
    },
    /// Says what was decided, and on what grounds.
    Log(Entry),
    /// Adds a time to the distributions.
    Measure(Sample),
    /// All work has ended; the process may go.
    Exit,
}

/// What the directory answers: VMs that take callers, nearest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    /// The VMs.
    pub members: Vec<MemberDescriptor>,
    /// How long the answer may be kept.
    pub ttl: Duration,
}
