//! Refusals: the response to a caller when there is no answer, and what it guarantees.

use std::time::Duration;

use serde::Serialize;
use strum::{EnumIter, IntoStaticStr};

/// What a refusal guarantees about the execution of the request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, IntoStaticStr, EnumIter, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Claim {
    /// The request was not dispatched, and never will be under this id.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request is running.
    InProgress,
}

/// Why there is no answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, IntoStaticStr, EnumIter, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request does not have the documented format.
    Malformed,
    /// The listener has no such path.
    NotFound,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// No endpoint of this name and kind is configured.
    UnknownEndpoint,
    /// The request id does not consist of an entry token and a nonce.
    IdMalformed,
    /// The request id is not signed by a valid key.
    IdForged,
    /// The request id has expired.
    IdExpired,
    /// The request id was used with another method, path or body.
    IdReused,
    /// A later exchange with the same id has taken over the answer.
    TakenOver,
    /// The answer, or the part of it that was asked for, is not stored here or no longer stored.
    AnswerDropped,
    /// The process that owned the id has died.
    OwnerGone,
    /// The process that owns the id is unreachable.
    OwnerUnreachable,
    /// The id was sealed on behalf of a caller before it was dispatched.
    Sealed,
    /// The witness did not record the intent in time.
    WitnessUnreachable,
    /// The organisation is at its limit.
    OrganisationLimit,
    /// The queue or the record store is full.
    Busy,
    /// The request waited for a runner for longer than its class allows.
    WaitedTooLong,
    /// No runner of the endpoint could be reached, or all of them are being drained.
    NoRunner,
    /// The connection to the runner was lost after the request may have been written.
    RunnerLost,
    /// The runner did not respond in time.
    RunnerTimeout,
    /// The runner's response exceeds the size limit.
    AnswerTooLarge,
    /// The model engine rejected the request as such.
    RunnerRefused,
    /// This VM is leaving the fleet.
    Leaving,
    /// This VM is not ready: it has not applied the newest ticket or has not heard from a peer yet.
    NotReady,
    /// The service's shutdown date has passed.
    ShutDown,
    /// The operator token is missing or wrong.
    Forbidden,
}

/// A refusal, independent of its HTTP form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// What is guaranteed about the execution.
    pub claim: Claim,
    /// Why.
    pub reason: Reason,
    /// Delay after which a retry may succeed, if it can.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that guarantees the request did not run and never will.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            claim: Claim::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            claim: Claim::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that is running.
    pub fn in_progress(reason: Reason) -> Self {
        Self {
            claim: Claim::InProgress,
            reason,
            retry_after: None,
        }
    }

    /// Sets the delay after which to retry.
    pub fn retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }

    /// Returns the HTTP status of the refusal.
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
