//! What goes into the reducer and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id;
use crate::message::{Answer, Message};
use crate::refusal::Refusal;
use crate::timeline::Draft;

/// The time of an event, on clocks that never go back in one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Since the process started.
    pub up: Duration,
    /// Since the Unix epoch: the wall clock at the start, plus `up`.
    pub unix: Duration,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Prefill and decode at model engines.
    Model {
        /// Estimated length of the prompt, in tokens.
        prompt_tokens: u64,
        /// Largest number of tokens to generate.
        max_tokens: u64,
    },
    /// One exchange with a plain service.
    Service {
        /// HTTP method.
        method: String,
        /// Path and query below the endpoint.
        path: String,
    },
}

/// A whole request as it came from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The exchange it came on.
    pub exchange: id::Exchange,
    /// The `Idempotency-Key`, where the caller gave one.
    pub id: Option<String>,
    /// The endpoint it names.
    pub endpoint: id::Endpoint,
    /// What it asks for.
    pub work: Work,
    /// The organisation it is counted under.
    pub organisation: id::Organisation,
    /// Digest of method, path and body.
    pub fingerprint: id::Fingerprint,
    /// Whether another entry VM passed it on.
    pub forwarded: bool,
    /// Position after which the caller wants a stream.
    pub after: u64,
}

/// How far an attempt got before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// Not one byte of the request was written.
    NotWritten,
    /// The connection was lost after the request was, or may have been, written.
    Lost,
    /// Nothing came for as long as the endpoint allows.
    TimedOut,
    /// The runner refused for lack of room, without doing anything.
    Full,
    /// The runner refused the request itself.
    Rejected,
    /// The KV cache to import is no longer there.
    KvGone,
    /// The answer is over the bound.
    TooLarge,
}

/// A KV cache that a prefill runner holds for import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCache {
    /// The engine's name for it.
    pub handle: String,
    /// Where the engine that holds it listens.
    pub address: SocketAddr,
}

/// A VM on the platform's list.
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
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time went on.
    Tick,
    /// A caller asks which addresses to use.
    EntriesRequested {
        /// The exchange.
        exchange: id::Exchange,
        /// The availability zone that the caller says it is nearest to.
        zone: Option<id::Zone>,
    },
    /// A whole request came in.
    Arrived(Arrival),
    /// The caller of an exchange closed it, or was silent past all bounds.
    CallerDisconnected {
        /// The exchange.
        exchange: id::Exchange,
    },
    /// The peer that a request was passed on to did not take it.
    ForwardFailed {
        /// The exchange.
        exchange: id::Exchange,
    },
    /// A plain service's answer has come whole.
    Answered {
        /// The attempt.
        attempt: id::Attempt,
        /// HTTP status.
        status: u16,
        /// Size of the body.
        bytes: usize,
        /// The `Content-Type` and the body, if that is small enough for the witness.
        small: Option<(Arc<str>, Arc<[u8]>)>,
    },
    /// A prefill has ended.
    Prefilled {
        /// The attempt.
        attempt: id::Attempt,
        /// Its result.
        kv: KvCache,
    },
    /// A decode runner has sent a token.
    Token {
        /// The attempt.
        attempt: id::Attempt,
        /// Position in the whole answer, from 1.
        position: u64,
    },
    /// A decode runner has ended the answer.
    Finished {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// An attempt ended without its result.
    Failed {
        /// The attempt.
        attempt: id::Attempt,
        /// How.
        failure: Failure,
    },
    /// An engine has acknowledged a cancel, or not.
    CancelEnded {
        /// Number of the cancel.
        cancel: u64,
        /// Whether it was acknowledged.
        acknowledged: bool,
    },
    /// A message came from a peer.
    Received {
        /// The sender, as the authenticated connection says.
        from: crate::token::Instance,
        /// The message.
        message: Message,
    },
    /// Tickets were read from the platform.
    TicketsRead {
        /// The tickets as they came.
        tickets: Vec<Arc<str>>,
        /// The highest number that the service knows.
        newest: id::Ticket,
    },
    /// The platform's list was read.
    ListRead {
        /// The list.
        vms: Vec<Listing>,
    },
    /// A read of the platform failed.
    ReadFailed {
        /// Which one.
        read: Read,
    },
    /// The operator, or a signal, wants this process to leave.
    Leave,
}

/// A read of the platform's configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Read {
    /// Tickets above a number; waits for the next where there is none.
    Tickets {
        /// The number.
        after: id::Ticket,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// The list of VMs.
    List,
}

/// What an attempt asks of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// One HTTP exchange with a plain service.
    Plain {
        /// Whether a kept-open connection may be used.
        reuse: bool,
    },
    /// Computes the KV cache of the prompt and of what was generated before.
    Prefill,
    /// Takes over a stream that runs at an engine for a process that is gone.
    Resume {
        /// Name of the stream until now.
        previous: String,
        /// Number of tokens that the caller's answer has already.
        from: u64,
    },
    /// Imports a KV cache and generates.
    Decode {
        /// The cache.
        kv: KvCache,
        /// Number of tokens that the caller's answer has already.
        from: u64,
    },
}

/// One address for callers to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The VM.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Token for ids of requests that are sent there.
    pub token: String,
}

/// Something for the shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers which addresses to use, best first.
    Entries {
        /// To which exchange.
        exchange: id::Exchange,
        /// The addresses.
        entries: Vec<Entry>,
        /// How long to keep the answer.
        max_age: Duration,
    },
    /// Keeps the exchange's request for a new call.
    RetainRequest {
        /// The exchange it came on.
        exchange: id::Exchange,
        /// The call.
        call: id::Call,
        /// The id to echo.
        id: String,
        /// Tokens that the caller has from another process already.
        base: u64,
    },
    /// Frees all that is kept for a call.
    ReleaseCall {
        /// The call.
        call: id::Call,
    },
    /// Keeps the plain service's answer of this event for the call.
    StoreAnswer {
        /// The call.
        call: id::Call,
    },
    /// Gives the answer that a witness has kept.
    ReplayWitnessed {
        /// To which exchange.
        exchange: id::Exchange,
        /// The request's id.
        id: String,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Gives a call's whole recorded answer.
    Answer {
        /// To which exchange.
        exchange: id::Exchange,
        /// The call.
        call: id::Call,
        /// Whether it was given before.
        replay: bool,
    },
    /// Refuses; on a stream that has begun, ends it with the refusal.
    Refuse {
        /// To which exchange.
        exchange: id::Exchange,
        /// The refusal.
        refusal: Refusal,
        /// Addresses that take callers, where going elsewhere helps.
        elsewhere: Vec<SocketAddr>,
    },
    /// Lets an exchange follow a call's tokens.
    Attach {
        /// The exchange.
        exchange: id::Exchange,
        /// The call.
        call: id::Call,
        /// Position after which it starts.
        after: u64,
    },
    /// Passes a request on to the VM that owns its id.
    Forward {
        /// The exchange.
        exchange: id::Exchange,
        /// The owner.
        vm: id::Vm,
        /// Where callers reach it.
        address: SocketAddr,
    },
    /// Begins an attempt.
    Dispatch {
        /// The attempt.
        attempt: id::Attempt,
        /// The call.
        call: id::Call,
        /// Where the runner listens.
        address: SocketAddr,
        /// What is asked.
        stage: Stage,
        /// Name of the request at the engine.
        request: String,
        /// Priority at the engine; lower goes first.
        priority: u8,
        /// Longest silence.
        timeout: Duration,
    },
    /// Ends an attempt and closes its connection.
    Abort {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Adds the token of this event to the call's answer.
    AppendToken {
        /// The call.
        call: id::Call,
    },
    /// Ends the call's stream of tokens as whole.
    CompleteStream {
        /// The call.
        call: id::Call,
    },
    /// Orders an engine to drop a request and free its memory.
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
    /// Adds to the time line.
    AppendTimeline(Draft),
    /// All work has ended; the process may go.
    Exit,
}
