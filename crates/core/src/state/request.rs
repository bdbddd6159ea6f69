//! A request at its owner, and its progress.

use std::sync::Arc;
use std::time::Duration;

use crate::event::{KvCache, Work};
use crate::id::{self, Exchange, Fingerprint, Key};
use crate::message::{Answer, StreamRecord};
use crate::refusal::Refusal;
use crate::token::Instance;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With its complete answer.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// With a refusal.
    Refused(Refusal),
}

/// Progress of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for a runner.
    Queued,
    /// Waiting for the witness to acknowledge the intent; nothing has been dispatched.
    AwaitingIntent {
        /// When the intent was first sent.
        sent_at: Duration,
    },
    /// Running at a plain service.
    Plain {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
    },
    /// Running at a prefill runner, with a decode slot reserved.
    Prefill {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// The decode runner whose slot is reserved.
        decode_runner: id::Runner,
        /// Number of the attempt that will run there.
        decode_attempt: id::Attempt,
    },
    /// Running at a decode runner.
    Decode {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// The KV cache to import; `None` for a stream that was taken over.
        kv: Option<KvCache>,
    },
    /// Cancelled because the caller has disconnected; resumed if the caller returns.
    Parked,
    /// Ended.
    Done(Outcome),
}

/// A request that this VM owns or has taken over.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id, supplied by the caller or generated.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// Whether the caller supplied the id and so can repeat it.
    pub id_from_caller: bool,
    /// When the id expires, since the Unix epoch.
    pub expiry: Duration,
    /// Fingerprint that a repeat of the id must match.
    pub fingerprint: Fingerprint,
    /// The organisation whose limit it counts against.
    pub organisation: id::Organisation,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The requested work.
    pub work: Work,
    /// Whether it may run again when its outcome is unknown.
    pub repeatable: bool,
    /// The process that has to acknowledge the intent.
    pub witness: Option<Instance>,
    /// The exchange that receives the answer.
    pub exchange: Option<Exchange>,
    /// Position after which that exchange wants the stream.
    pub resume_after: u64,
    /// Whether that exchange is attached to the stream already.
    pub attached: bool,
    /// Its progress.
    pub phase: Phase,
    /// Number of attempts started. An attempt that was refused for lack of capacity is subtracted
    /// again; the decode that follows a prefill does not count, and is not subtracted either.
    pub attempts: u32,
    /// Whether any attempt that has ended may have been executed, at least in part.
    pub may_have_run: bool,
    /// Runners on which an attempt has failed for another reason than a lack of capacity.
    pub failed_runners: Vec<id::Runner>,
    /// When it was admitted or last resumed after being parked, since this process started.
    pub accepted_at: Duration,
    /// When its caller disconnected, since this process started.
    pub disconnected_at: Option<Duration>,
    /// Number of tokens of the answer so far.
    pub emitted: u64,
    /// Number of tokens that were delivered by an earlier process, which has ended; only the caller
    /// has them.
    pub base: u64,
    /// The stream at a decode engine that was reported to the witnesses.
    pub stream: Option<StreamRecord>,
    /// A second witness of the stream, in case the witness dies together with this process.
    pub backup_witness: Option<Instance>,
    /// Size of the kept answer, in bytes.
    pub answer_bytes: usize,
    /// The answer for the witness to keep.
    pub answer: Option<Arc<Answer>>,
}

impl Request {
    /// Returns whether it is work for model engines.
    pub fn is_model(&self) -> bool {
        matches!(self.work, Work::Model { .. })
    }

    /// Returns whether it has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// Returns whether it counts against the limits and keeps a leaving process running.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Done(_) | Phase::Parked)
    }

    /// Returns the attempt in flight.
    pub fn attempt(&self) -> Option<id::Attempt> {
        match &self.phase {
            Phase::Plain { attempt, .. }
            | Phase::Prefill { attempt, .. }
            | Phase::Decode { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
