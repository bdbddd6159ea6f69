//! Outputs of the reducer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::allocation::{Batch, Claim};
use crate::cap::{Answer, Ask};
use crate::decision_log::Entry;
use crate::id;
use crate::limit::Asker;
use crate::manifest::Kind as RouteKind;
use crate::member::{Descriptor as MemberDescriptor, View};
use crate::organisation::Identity;
use crate::origin::{Question, Record};
use crate::overload::{Admission, Report};
use crate::pool::Instance;
use crate::refusal::Refusal;

use super::KvCache;

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
#[derive(Debug, Clone, PartialEq)]
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
    /// Who sent the request.
    pub identity: Identity,
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
    /// Asks the configuration service for the changes of the list that this VM has not heard of.
    CheckList,
    /// Reads from the configuration service which runners were listed lately.
    ReadHistory,
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
    /// Asks a granter for the cost of requests, and reports what this VM has spent.
    AskCredit {
        /// Address of the granter.
        address: SocketAddr,
        /// The message.
        ask: Ask,
    },
    /// Answers a VM that asked for the cost of requests.
    SendCredit {
        /// Address of the VM.
        address: SocketAddr,
        /// The answers.
        answers: Vec<Answer>,
    },
    /// Tells the monitor of a plain endpoint what this VM sees of it; the answer is what to admit.
    ReportLoad {
        /// Address of the monitor.
        address: SocketAddr,
        /// What this VM sees.
        report: Report,
    },
    /// Tells a VM what to admit to a plain endpoint.
    TellAdmission {
        /// Address of the VM.
        address: SocketAddr,
        /// The endpoint.
        endpoint: id::Endpoint,
        /// What to admit; none if the endpoint is not overloaded.
        admission: Option<Admission>,
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
