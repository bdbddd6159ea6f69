//! Inputs and outputs of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::allocation::{Batch, Claim};
use crate::decision_log::Entry;
use crate::id;
use crate::limit::{Asker, Statement};
use crate::manifest::{Kind as RouteKind, Manifest};
use crate::member::{Descriptor as MemberDescriptor, View};
use crate::origin::{Answer, Question, Record};
use crate::pool::{Descriptor, Instance, Report};
use crate::refusal::Refusal;
use crate::settings::Settings;

/// Size of a model request, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens in the prompt.
    pub tokens: u64,
    /// Expected number of output tokens.
    pub output_tokens: u64,
}

/// A request that has been received completely.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The call that is created for it.
    pub call: id::Call,
    /// Request id, given by the caller.
    pub id: Arc<str>,
    /// Value of `Host`, in lower case.
    pub host: Arc<str>,
    /// Path, without the query.
    pub path: Arc<str>,
    /// How long the caller waits for the response.
    pub time_limit: Option<Duration>,
    /// Prompt and output size, for a model request.
    pub prompt: Option<Prompt>,
    /// Position of the last event that the caller has; a stream resumes after it.
    pub resume_after: Option<u64>,
    /// Id of the request that brought the first event of the stream, if the caller names one.
    pub resumes: Option<Arc<str>>,
    /// The parts of its prompt, in order; the last one belongs to the request alone.
    pub parts: Arc<[id::Part]>,
    /// What the caller asks for.
    pub fingerprint: id::Fingerprint,
    /// The VM that delegates the request to this one, if it does not come from a caller.
    pub delegated_by: Option<id::Vm>,
}

impl Arrival {
    /// Whether the caller goes on with a stream of which it has events already.
    pub fn is_resumption(&self) -> bool {
        let has_named = self.resumes.is_some();
        self.resume_after
            .is_some_and(|position| position > 0 || has_named)
    }
}

/// A KV cache held by a prefill runner for a decode runner to fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCache {
    /// The prefill runner.
    pub runner: id::Runner,
    /// Software version of the prefill runner. Only decode runners of the same one can read the cache.
    pub build: id::Build,
    /// Address of the prefill runner.
    pub address: SocketAddr,
    /// The prefill runner's handle of the cache.
    pub handle: Arc<str>,
    /// When the prefill finished.
    pub created_at: Duration,
}

/// How long a prefill runner keeps a KV cache, less the time to fetch it.
const KV_LIFETIME: Duration = Duration::from_millis(400);

impl KvCache {
    /// Whether the cache can still be fetched.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.created_at + KV_LIFETIME > now
    }
}

/// Why a runner states that it did not execute a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decline {
    /// It has no capacity, or the KV cache could not be fetched.
    Full,
    /// Another runner is listening at the address.
    Displaced,
    /// The VM that was to run it refused it; a runner may have got it.
    Refused,
    /// The VM that was to run it reaches no runner either.
    OutOfReach,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request was written.
    Unwritten,
    /// The runner states that it did not execute the request.
    Declined(Decline),
    /// The connection broke, or the bytes received were no valid response, after the request may
    /// have been written.
    Lost,
    /// The response carries the id of another request.
    Mismatched,
    /// The complete response was received; the driver holds it until it is forwarded or dropped.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The prompt was prefilled.
    Prefilled {
        /// The runner's handle of the KV cache.
        handle: Arc<str>,
    },
    /// The stream ended completely.
    Ended,
}

/// Whether anything listens at the address of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// A connection was established.
    Listening,
    /// The connection was refused, so the process has ended.
    Refused,
    /// Nothing was learnt in time.
    Unknown,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// A manifest was read, from the configuration service or from a peer.
    ManifestRead {
        /// The manifest.
        manifest: Arc<Manifest>,
    },
    /// The complete list of runners was read.
    PoolRead {
        /// The entries of the list.
        descriptors: Vec<Descriptor>,
        /// Revision of the list.
        revision: id::Revision,
    },
    /// An entry of the list was added or changed.
    RunnerUpdated {
        /// The entry.
        descriptor: Descriptor,
    },
    /// An entry of the list was removed.
    RunnerRemoved {
        /// The runner.
        runner: id::Runner,
        /// Revision of the removal.
        revision: id::Revision,
    },
    /// The configuration service became reachable or unreachable.
    SourceReached {
        /// Whether it is reachable.
        reached: bool,
    },
    /// A request was received completely.
    Arrived(Arrival),
    /// The caller of a call closed its connection.
    CallerDisconnected {
        /// The call.
        call: id::Call,
    },
    /// The head of a stream was received from a runner.
    StreamStarted {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// A complete event of a stream was received.
    StreamEvent {
        /// The attempt.
        attempt: id::Attempt,
        /// Position of the event, if it carries one.
        position: Option<u64>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: id::Attempt,
        /// How it ended.
        outcome: Outcome,
        /// The load reported by the runner, if any.
        reported: Option<Report>,
    },
    /// A view of the fleet was received from a peer.
    ViewReceived {
        /// The view.
        view: Box<View>,
    },
    /// A VM claims capacity of engines that this VM allocates.
    ClaimReceived {
        /// The claim.
        claim: Claim,
    },
    /// An allocator grants capacity to calls of this VM.
    GrantsReceived {
        /// The grants.
        batch: Batch,
    },
    /// An allocator has received a claim.
    ClaimAcknowledged {
        /// Address of the allocator.
        address: SocketAddr,
    },
    /// A claim could not be delivered to an allocator, or was not acknowledged in time.
    AllocatorUnresponsive {
        /// Address of the allocator.
        address: SocketAddr,
    },
    /// A VM tells which software versions began streams.
    OriginsReceived {
        /// The streams.
        records: Vec<Record>,
    },
    /// Records of origins could not be delivered to a peer, or were not acknowledged in time.
    OriginsUndelivered {
        /// Address of the peer.
        address: SocketAddr,
        /// The records.
        records: Vec<Record>,
        /// Whether another peer had not taken them before.
        is_retold: bool,
    },
    /// A peer answers, or does not, where a stream began.
    OriginAnswered {
        /// The call that is to go on with the stream.
        call: id::Call,
        /// Address of the peer.
        address: SocketAddr,
        /// The answer.
        answer: Answer,
    },
    /// A peer asks where a stream began by what the engines of an endpoint hold.
    EnginesAsked {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// An engine lists the parts of prompts that it holds, or does not in time.
    PartsListed {
        /// The endpoint of the engine.
        endpoint: id::Endpoint,
        /// The process that was asked.
        engine: Instance,
        /// The parts; none if there was no answer that can be used.
        parts: Option<Vec<id::Part>>,
    },
    /// A response of a runner says something of its limit.
    LimitStated {
        /// The attempt.
        attempt: id::Attempt,
        /// What it says.
        statement: Statement,
    },
    /// A response of a runner that declines a request asks for no further ones for a time.
    RestAsked {
        /// The attempt.
        attempt: id::Attempt,
        /// The time.
        time: Duration,
    },
    /// A response of a runner says that it leaves.
    DepartureStated {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// A VM to which a request was delegated tells that the runner which ran it leaves.
    DepartureTold {
        /// The runner.
        instance: Instance,
    },
    /// A VM asks for a permit for a request to a runner.
    PermitAsked {
        /// The runner.
        instance: Instance,
        /// The VM.
        asker: Asker,
    },
    /// This VM gets a permit for a request to a runner.
    PermitReceived {
        /// The runner.
        instance: Instance,
    },
    /// A VM gives back a permit that it did not use.
    PermitReturned {
        /// The runner.
        instance: Instance,
    },
    /// It was checked whether the process of a runner has ended.
    RunnerChecked {
        /// The process.
        instance: Instance,
        /// What was found.
        presence: Presence,
    },
    /// A view could not be delivered to a peer, or was not acknowledged in time.
    PeerUnresponsive {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The settings were reloaded.
    SettingsReloaded {
        /// The new settings.
        settings: Settings,
        /// Addresses used to discover peers.
        seeds: Vec<SocketAddr>,
    },
    /// The process was asked to shut down.
    Leave,
}

/// The operation that an attempt runs at a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// One request whose response is forwarded once it is complete.
    Plain,
    /// Prefill the prompt and keep its KV cache.
    Prefill,
    /// Generate a stream.
    Generate {
        /// The KV cache to fetch; if absent, the runner prefills the prompt itself.
        kv: Option<KvCache>,
        /// Position of the last event that the caller has, after which the runner resumes the
        /// stream; if absent, the stream starts from the beginning.
        resume_after: Option<u64>,
    },
    /// Have another VM run the request, as this one reaches no runner for it.
    Delegate {
        /// Position of the last event that the caller has.
        resume_after: Option<u64>,
    },
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: id::Attempt,
    /// The call.
    pub call: id::Call,
    /// The runner that is to respond; a response of another one at its address is not accepted. The VM, if the
    /// request is delegated.
    pub runner: id::Runner,
    /// Address of the runner.
    pub address: SocketAddr,
    /// This VM.
    pub vm: id::Vm,
    /// The operation.
    pub operation: Operation,
    /// Time limit for the runner.
    pub time_limit: Duration,
    /// Whether the request was sent to this address before. A connection that was used then may still bring an
    /// earlier answer.
    pub is_repeat: bool,
}

/// How a call ended, as counted in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// A response that reports no failure of the runner was forwarded.
    Answered,
    /// A failure response of a runner was forwarded.
    Failed,
    /// A complete stream was forwarded.
    StreamEnded,
    /// A stream was aborted.
    StreamCut,
    /// Refused by this process as not executed.
    NotRun,
    /// Refused by this process as possibly executed.
    Unknown,
    /// The caller disconnected first.
    CallerGone,
}

/// A duration to record in a histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// From the arrival of a request to its end.
    Call {
        /// Kind of the route.
        kind: RouteKind,
        /// How it ended.
        ending: Ending,
        /// The duration.
        took: Duration,
    },
    /// From the arrival of a request to the first event of its stream.
    FirstEvent {
        /// The duration.
        took: Duration,
    },
}

/// An output of the reducer, to be performed by the driver.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Starts an attempt.
    Dispatch(Dispatch),
    /// Aborts an attempt and closes its connection.
    AbortAttempt {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Forwards the response that came with this event.
    ForwardResponse {
        /// The call.
        call: id::Call,
    },
    /// Forwards the stream head that came with this event.
    ForwardHead {
        /// The call.
        call: id::Call,
    },
    /// Forwards the stream event that came with this event.
    ForwardEvent {
        /// The call.
        call: id::Call,
    },
    /// Ends the caller's stream as complete.
    EndStream {
        /// The call.
        call: id::Call,
    },
    /// Aborts the caller's stream, so that it can't be mistaken for a complete one.
    AbortStream {
        /// The call.
        call: id::Call,
    },
    /// Responds to the caller with a refusal.
    Refuse {
        /// The call.
        call: id::Call,
        /// The refusal.
        refusal: Refusal,
    },
    /// Releases everything that the driver holds for a call.
    ReleaseCall {
        /// The call.
        call: id::Call,
    },
    /// Asks a prefill runner to free a KV cache that will not be used.
    FreeKv {
        /// The cache.
        kv: KvCache,
    },
    /// Sends this process's view of the fleet to a peer.
    PublishView {
        /// Address of the peer.
        address: SocketAddr,
        /// The view.
        view: View,
    },
    /// Sends a claim to an allocator.
    SendClaim {
        /// Address of the allocator.
        address: SocketAddr,
        /// The claim.
        claim: Claim,
    },
    /// Sends grants to a VM.
    SendGrants {
        /// Address of the VM.
        address: SocketAddr,
        /// The grants.
        batch: Batch,
    },
    /// Tells a peer which software versions began streams.
    TellOrigins {
        /// Address of the peer.
        address: SocketAddr,
        /// The streams.
        records: Vec<Record>,
        /// Whether another peer has not taken them before.
        is_retold: bool,
    },
    /// Asks a peer where a stream began.
    AskOrigin {
        /// Address of the peer.
        address: SocketAddr,
        /// The call that is to go on with the stream.
        call: id::Call,
        /// The question.
        question: Question,
    },
    /// Asks an engine which parts of prompts it holds.
    ListParts {
        /// The endpoint of the engine.
        endpoint: id::Endpoint,
        /// The process.
        engine: Instance,
        /// Its address.
        address: SocketAddr,
    },
    /// Asks a peer for a permit for a request to a runner.
    AskPermit {
        /// Address of the peer.
        address: SocketAddr,
        /// The runner.
        instance: Instance,
        /// This VM.
        asker: Asker,
    },
    /// Sends a permit for a request to a runner.
    SendPermit {
        /// Address of the VM.
        address: SocketAddr,
        /// The runner.
        instance: Instance,
    },
    /// Gives back a permit that was not used.
    ReturnPermit {
        /// Address of the VM that issues permits for the runner.
        address: SocketAddr,
        /// The runner.
        instance: Instance,
    },
    /// Checks whether the process of a runner has ended.
    CheckRunner {
        /// The process.
        instance: Instance,
        /// Its address.
        address: SocketAddr,
    },
    /// Writes an entry of the decision log.
    Log(Entry),
    /// Records a duration in a histogram.
    Measure(Sample),
    /// All work is done; the process may exit.
    Exit,
}

/// Response of the directory: the VMs that accept callers, nearest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    /// The VMs.
    pub members: Vec<MemberDescriptor>,
    /// How long callers may cache the response.
    pub ttl: Duration,
}
