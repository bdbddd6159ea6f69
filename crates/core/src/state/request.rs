//! A request at its owner, and where it stands.

use std::sync::Arc;
use std::time::Duration;

use crate::event::{Kv, Work};
use crate::id::{self, Exchange, Fingerprint, Key};
use crate::message::{Answer, Hold};
use crate::refusal::Refusal;
use crate::token::Seat;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole answer.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// With a refusal.
    Refused(Refusal),
}

/// Where a call stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a runner.
    Queued,
    /// Waits for the witness's acknowledgement; nothing was dispatched.
    AwaitingIntent {
        /// When the intent was sent.
        sent_at: Duration,
    },
    /// At a plain service.
    Plain {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
    },
    /// At a prefill runner, with a decode slot held.
    Prefill {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// The decode runner whose slot is held.
        decode_runner: id::Runner,
        /// Number that the attempt there will have.
        decode_attempt: id::Attempt,
    },
    /// At a decode runner.
    Decode {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// The KV cache it imports; none for a stream taken over.
        kv: Option<Kv>,
    },
    /// Cancelled because its caller is gone; goes on if the caller returns.
    Parked,
    /// Ended.
    Done(Outcome),
}

/// A request that this VM owns.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id, presented or minted.
    pub id: String,
    /// Digest of the id.
    pub key: Key,
    /// Whether the caller presented the id and so may come back with it.
    pub id_from_caller: bool,
    /// End of the id's life, since the Unix epoch.
    pub expiry: Duration,
    /// What a repeat must have in common with it.
    pub fingerprint: Fingerprint,
    /// The organisation it is counted under.
    pub organisation: id::Organisation,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What it asks for.
    pub work: Work,
    /// Whether it may run again when its outcome is not known.
    pub repeatable: bool,
    /// The process that has to acknowledge the intent.
    pub witness: Option<Seat>,
    /// The exchange that gets the answer.
    pub exchange: Option<Exchange>,
    /// Position after which that exchange wants the stream.
    pub after: u64,
    /// Whether that exchange follows the stream already.
    pub attached: bool,
    /// Where it stands.
    pub phase: Phase,
    /// Attempts begun.
    pub attempts: u32,
    /// Runners that failed it.
    pub failed_runners: Vec<id::Runner>,
    /// When it was accepted, since this process started.
    pub accepted_at: Duration,
    /// When its caller went, since this process started.
    pub disconnected_at: Option<Duration>,
    /// Tokens of the answer so far.
    pub emitted: u64,
    /// Tokens of the answer that only the caller has, as a process that is gone passed them on.
    pub base: u64,
    /// The stream at a decode engine that the witness knows of.
    pub hold: Option<Hold>,
    /// A second process that knows of the stream, in case the witness dies together with this one.
    pub backup_witness: Option<Seat>,
    /// Size of the kept answer.
    pub answer_bytes: usize,
    /// The answer as the witness is to keep it.
    pub answer: Option<Arc<Answer>>,
}

impl Request {
    /// Tells whether it asks for model engines.
    pub fn is_model(&self) -> bool {
        matches!(self.work, Work::Model { .. })
    }

    /// Tells whether it has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    /// Tells whether it counts against limits and keeps a leaving process alive.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Done(_) | Phase::Parked)
    }

    /// The attempt under way.
    pub fn attempt(&self) -> Option<id::Attempt> {
        match &self.phase {
            Phase::Plain { attempt, .. }
            | Phase::Prefill { attempt, .. }
            | Phase::Decode { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }
}
