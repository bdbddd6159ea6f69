//! Refusals: what a caller is told when there is no answer, and what that claims.

use std::time::Duration;

use serde::Serialize;
use strum::{EnumIter, IntoStaticStr};

/// What a refusal claims about the request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, IntoStaticStr, EnumIter, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// Never dispatched, and never will be under this id.
    NotRun,
    /// May have run.
    Unknown,
    /// Running now.
    InProgress,
}

/// Why there is no answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, IntoStaticStr, EnumIter, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request is not of the documented shape.
    Malformed,
    /// No such path on this listener.
    NotFound,
    /// The body is over the bound.
    BodyTooLarge,
    /// The head is over the bound.
    HeadTooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// No endpoint of this name, or of this kind, is in force.
    UnknownEndpoint,
    /// The request id is not a token and a nonce.
    IdMalformed,
    /// The request id is signed by no key in force.
    IdForged,
    /// The request id is past its life.
    IdExpired,
    /// The request id was used with another method, path or body.
    IdReused,
    /// A later exchange for the same id has taken the answer over.
    TakenOver,
    /// The answer was given before and is no longer kept.
    AnswerDropped,
    /// The process that owned the id has ended.
    OwnerGone,
    /// The process that owns the id can't be reached.
    OwnerUnreachable,
    /// The id was sealed on behalf of a caller before it was dispatched.
    Sealed,
    /// The witness did not record the intent in time.
    WitnessUnreachable,
    /// The organisation is at its limit.
    OrganisationLimit,
    /// The queue or the record store is full.
    Busy,
    /// The wait for a runner was over the class's bound.
    WaitedTooLong,
    /// No runner of the endpoint could be reached.
    NoRunner,
    /// The runner was lost after the request was written.
    RunnerLost,
    /// The runner did not answer in time.
    RunnerTimeout,
    /// The runner's answer is over the bound.
    AnswerTooLarge,
    /// The model engine refused the request itself.
    RunnerRefused,
    /// This VM is leaving.
    Leaving,
    /// This VM does not know the newest ticket yet.
    NotReady,
    /// The service's shutdown date has passed.
    ShutDown,
    /// The operator token is missing or wrong.
    Forbidden,
}

/// A refusal as data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// What is claimed.
    pub code: Code,
    /// Why.
    pub reason: Reason,
    /// When to try again, where that can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that claims the request never ran and never will.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            code: Code::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A refusal that makes no claim.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            code: Code::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// A refusal that claims the request is running.
    pub fn in_progress(reason: Reason) -> Self {
        Self {
            code: Code::InProgress,
            reason,
            retry_after: None,
        }
    }

    /// The same refusal with a time to come back.
    pub fn retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }

    /// HTTP status that fits the refusal.
    pub fn status(&self) -> u16 {
        match self.reason {
            Reason::Malformed | Reason::IdMalformed => 400,
            Reason::IdForged | Reason::Forbidden => 403,
            Reason::NotFound | Reason::UnknownEndpoint => 404,
            Reason::BodyTimeout => 408,
            Reason::TakenOver => 409,
            Reason::IdExpired | Reason::AnswerDropped => 410,
            Reason::BodyTooLarge => 413,
            Reason::IdReused => 422,
            Reason::OrganisationLimit | Reason::Busy | Reason::WaitedTooLong => 429,
            Reason::HeadTooLarge => 431,
            Reason::RunnerLost | Reason::AnswerTooLarge | Reason::RunnerRefused => 502,
            Reason::RunnerTimeout => 504,
            Reason::OwnerGone
            | Reason::OwnerUnreachable
            | Reason::Sealed
            | Reason::WitnessUnreachable
            | Reason::NoRunner
            | Reason::Leaving
            | Reason::NotReady
            | Reason::ShutDown => 503,
        }
    }
}
