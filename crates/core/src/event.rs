//! The reducer's input events and output effects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id;
use crate::message::{Answer, Message};
use crate::refusal::Refusal;
use crate::timeline::Draft;

/// The time of an event, on two clocks that are monotonic within a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Since the process started.
    pub up: Duration,
    /// Since the Unix epoch: wall clock at process start, plus `up`.
    pub unix: Duration,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Prefill and decode at model engines.
    Model {
        /// Estimated length of the prompt, in tokens.
        prompt_tokens: u64,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
    },
    /// One HTTP exchange with a plain service.
    Service {
        /// HTTP method.
        method: String,
        /// Path and query, relative to the endpoint.
        path: String,
    },
}

/// A completely received request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The exchange that carries it.
    pub exchange: id::Exchange,
    /// The `Idempotency-Key`, if the caller sent one.
    pub id: Option<String>,
    /// The endpoint it names.
    pub endpoint: id::Endpoint,
    /// What it asks for.
    pub work: Work,
    /// The organisation whose limit it counts against.
    pub organisation: id::Organisation,
    /// Digest of method, path and body.
    pub fingerprint: id::Fingerprint,
    /// Whether another entry VM forwarded it.
    pub forwarded: bool,
    /// Position of the last token that the caller has; a stream resumes after it.
    pub resume_after: u64,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No byte of the request was written.
    NotWritten,
    /// The connection was lost after some or all of the request may have been written.
    Lost,
    /// The runner sent nothing for the endpoint's idle timeout.
    TimedOut,
    /// The runner refused for lack of capacity, without running anything.
    Full,
    /// The runner rejected the request as such.
    Rejected,
    /// The KV cache to import no longer exists.
    KvGone,
    /// The response exceeds the size limit.
    TooLarge,
}

/// A KV cache that a prefill runner keeps for import by a decode runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCache {
    /// Name of the cache at the engine that holds it.
    pub handle: String,
    /// Where that engine listens.
    pub address: SocketAddr,
}

/// An entry of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The VM.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// An input of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The driver's periodic timer fired.
    Tick,
    /// A caller asked which entry VMs to use.
    EntriesRequested {
        /// The exchange.
        exchange: id::Exchange,
        /// The availability zone that the caller says is nearest to it.
        zone: Option<id::Zone>,
    },
    /// A request was received completely.
    Arrived(Arrival),
    /// The caller of an exchange closed the connection, or timed out.
    CallerDisconnected {
        /// The exchange.
        exchange: id::Exchange,
    },
    /// The peer that a request was forwarded to did not accept it.
    ForwardFailed {
        /// The exchange.
        exchange: id::Exchange,
    },
    /// A plain service's response was received completely.
    Answered {
        /// The attempt.
        attempt: id::Attempt,
        /// HTTP status.
        status: u16,
        /// Size of the body, in bytes.
        bytes: usize,
        /// The `Content-Type` and the body, if the body is small enough to store at the witness.
        small: Option<(Arc<str>, Arc<[u8]>)>,
    },
    /// A prefill completed.
    Prefilled {
        /// The attempt.
        attempt: id::Attempt,
        /// Its result.
        kv: KvCache,
    },
    /// A decode runner sent a token.
    Token {
        /// The attempt.
        attempt: id::Attempt,
        /// Position in the complete answer, from 1.
        position: u64,
    },
    /// A decode runner completed the answer.
    Finished {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// An attempt ended without a result.
    Failed {
        /// The attempt.
        attempt: id::Attempt,
        /// How it failed.
        failure: Failure,
    },
    /// A cancel request to an engine ended.
    CancelEnded {
        /// Number of the cancel.
        cancel: u64,
        /// Whether the engine acknowledged it.
        acknowledged: bool,
    },
    /// A peer's message was received.
    Received {
        /// The sender, as authenticated by the connection's handshake.
        from: crate::token::Instance,
        /// The message.
        message: Message,
    },
    /// Tickets were read from the platform.
    TicketsRead {
        /// The tickets' JSON, as published by the platform.
        tickets: Vec<Arc<str>>,
        /// The highest ticket number that the platform has.
        newest: id::Ticket,
    },
    /// The platform's VM list was read.
    ListRead {
        /// The list.
        vms: Vec<Listing>,
    },
    /// A read of the platform failed.
    ReadFailed {
        /// Which one.
        read: Read,
    },
    /// The operator or a signal asked this process to leave the fleet.
    Leave,
}

/// A read of the platform's configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Read {
    /// Tickets above a number; a long poll if there is none yet.
    Tickets {
        /// The number.
        after: id::Ticket,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// The list of VMs.
    List,
}

/// The operation that an attempt runs at a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// One HTTP exchange with a plain service.
    Plain {
        /// Whether a pooled connection may be used.
        reuse: bool,
    },
    /// Computes the KV cache of the prompt and of the tokens generated so far.
    Prefill,
    /// Takes over a stream that an engine runs for a process that has died.
    Resume {
        /// Name of the stream at the engine until now.
        previous: String,
        /// Number of tokens that the caller's answer already has.
        from: u64,
    },
    /// Imports a KV cache and generates tokens.
    Decode {
        /// The cache.
        kv: KvCache,
        /// Number of tokens that the caller's answer already has.
        from: u64,
    },
}

/// An entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The VM.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Entry token for the ids of requests sent to it.
    pub token: String,
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Responds to a caller with the entry VMs to use, best first.
    Entries {
        /// The exchange that is responded to.
        exchange: id::Exchange,
        /// The entry VMs.
        entries: Vec<Entry>,
        /// How long the caller may cache the response.
        max_age: Duration,
    },
    /// Retains the exchange's request for a new call.
    RetainRequest {
        /// The exchange that carries the request.
        exchange: id::Exchange,
        /// The call.
        call: id::Call,
        /// The request id to echo to the caller.
        id: String,
        /// Number of tokens that the caller already has from another process.
        base: u64,
    },
    /// Releases everything retained for a call.
    ReleaseCall {
        /// The call.
        call: id::Call,
    },
    /// Stores the plain service's response that came with the current event as the call's answer.
    StoreAnswer {
        /// The call.
        call: id::Call,
    },
    /// Responds with the answer that a witness has recorded.
    ReplayWitnessed {
        /// The exchange that is responded to.
        exchange: id::Exchange,
        /// The request's id.
        id: String,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Responds with a call's complete stored answer.
    Answer {
        /// The exchange that is responded to.
        exchange: id::Exchange,
        /// The call.
        call: id::Call,
        /// Whether it is a replay of an earlier response.
        replay: bool,
    },
    /// Refuses a request; if its stream has begun, ends the stream with the refusal.
    Refuse {
        /// The exchange that is responded to.
        exchange: id::Exchange,
        /// The refusal.
        refusal: Refusal,
        /// Addresses of other entry VMs that accept callers, if going there can help.
        elsewhere: Vec<SocketAddr>,
    },
    /// Attaches an exchange to a call's stream of tokens.
    Attach {
        /// The exchange.
        exchange: id::Exchange,
        /// The call.
        call: id::Call,
        /// Position of the last token that the caller has.
        resume_after: u64,
    },
    /// Forwards a request to the VM that owns its id.
    Forward {
        /// The exchange.
        exchange: id::Exchange,
        /// The owner.
        vm: id::Vm,
        /// Where callers reach it.
        address: SocketAddr,
    },
    /// Starts an attempt.
    Dispatch {
        /// The attempt.
        attempt: id::Attempt,
        /// The call.
        call: id::Call,
        /// Where the runner listens.
        address: SocketAddr,
        /// The operation.
        operation: Operation,
        /// Name of the request at the engine.
        request: String,
        /// Priority at the engine; lower values are scheduled first.
        priority: u8,
        /// Idle timeout: how long the runner may send nothing.
        timeout: Duration,
    },
    /// Aborts an attempt and closes its connection.
    AbortAttempt {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Appends the token that came with the current event to the call's answer.
    AppendToken {
        /// The call.
        call: id::Call,
    },
    /// Ends the call's stream of tokens; the answer is complete.
    CompleteStream {
        /// The call.
        call: id::Call,
    },
    /// Asks an engine to cancel a request and free its memory.
    Cancel {
        /// Number of the cancel.
        cancel: u64,
        /// Where the engine listens.
        address: SocketAddr,
        /// Name of the request at the engine.
        request: String,
    },
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: id::Vm,
        /// Where peers reach it.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Reads the platform's configuration service.
    Read(Read),
    /// Appends an entry to the time line.
    AppendTimeline(Draft),
    /// Exits the process; all its work has ended.
    Exit,
}
