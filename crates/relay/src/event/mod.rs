//! Inputs and outputs of the reducer.

mod effect;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::allocation::{Batch, Claim};
use crate::cap::{Answer, Ask, Failure};
use crate::id;
use crate::limit::{Asker, Statement};
use crate::manifest::Manifest;
use crate::member::View;
use crate::organisation::Credential;
use crate::origin::{self, Record};
use crate::overload::{Admission, Report as LoadReport};
use crate::pool::{Descriptor, Instance, Report};
use crate::settings::Settings;

pub use effect::{Directory, Dispatch, Effect, Ending, Operation, Sample};

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
    /// Tokens that the request names, of its prompt and of the longest output.
    pub stated_tokens: Option<u64>,
    /// Position of the last event that the caller has; a stream resumes after it.
    pub resume_after: Option<u64>,
    /// Id of the request that brought the first event of the stream, if the caller names one.
    pub resumes: Option<Arc<str>>,
    /// The parts of its prompt, in order; the last one belongs to the request or its session.
    pub parts: Arc<[id::Part]>,
    /// What the caller asks for.
    pub fingerprint: id::Fingerprint,
    /// The VM that delegates the request to this one, if it does not come from a caller.
    pub delegated_by: Option<id::Vm>,
    /// What the request says of who sends it.
    pub credential: Credential,
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
    /// The VM that was to run it shuts down, and has sent it to no runner.
    Leaving,
    /// The VM that was to run it refused it for the cap of its organisation; no other VM would run it.
    OverCap,
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
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
    /// A request was rejected by its head, since it needs a key of an organisation and has none that is valid.
    Rejected {
        /// Request id, given by the caller.
        request: Arc<str>,
    },
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
    /// The head of a stream states the load of its runner.
    LoadStated {
        /// The attempt.
        attempt: id::Attempt,
        /// The load.
        reported: Report,
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
        answer: origin::Answer,
    },
    /// A peer asks where a stream began by what the engines of an endpoint hold.
    EnginesAsked {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The last part of the stream's prompt.
        part: id::Part,
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
    /// The configuration service was asked for changes of the list, which came before this.
    ListChecked {
        /// Whether it has answered.
        is_confirmed: bool,
    },
    /// It was read which runners were listed lately, or could not be.
    HistoryRead {
        /// All versions of all entries, as far back as they are known; none if no history is to be had.
        entries: Option<Vec<Descriptor>>,
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
    /// A VM asks for the cost of requests, or reports what it has spent.
    CreditAsked {
        /// The message.
        ask: Ask,
    },
    /// A granter answers.
    CreditReceived {
        /// The answers.
        answers: Vec<Answer>,
    },
    /// A granter has taken a message; its answers come by themselves.
    CreditAskTaken {
        /// Address of the granter.
        address: SocketAddr,
        /// The message.
        ask: Ask,
    },
    /// A message could not be delivered to a granter, or was not acknowledged in time.
    CreditAskFailed {
        /// Address of the granter.
        address: SocketAddr,
        /// The message.
        ask: Ask,
        /// Why.
        failure: Failure,
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
    /// A VM tells what it sees of a plain endpoint that this one is the monitor of.
    LoadReported {
        /// What it sees.
        report: LoadReport,
    },
    /// The monitor of an endpoint answers a report.
    AdmissionAnswered {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// What to admit; none if the endpoint is not overloaded.
        admission: Option<Admission>,
    },
    /// The monitor of an endpoint tells without having been asked what to admit.
    AdmissionTold {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// What to admit; none if the endpoint is not overloaded.
        admission: Option<Admission>,
    },
    /// A report could not be delivered to the monitor of an endpoint, or was not answered in time.
    MonitorUnresponsive {
        /// Address of the monitor.
        address: SocketAddr,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// The process was asked to shut down.
    Leave {
        /// How long ago that was at most: a process that did not run for a while notices it late.
        noticed_after: Duration,
    },
}
