//! Final answers that do not come from a runner.

use std::time::Duration;

use crate::call::Execution;

/// Why a request gets no answer of a runner.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request is not well formed.
    Malformed,
    /// Its body is over the bound.
    BodyTooLarge,
    /// No route serves its host and path.
    NoRoute,
    /// No configuration has been read since this process started.
    NoManifest,
    /// No runner of the endpoint is known.
    NoRunner,
    /// All runners are full.
    Full,
    /// The runners that were tried did not answer.
    RunnersFailed,
    /// The time limit has passed.
    TimedOut,
    /// This process leaves.
    Leaving,
}

/// What a refusal says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Claim {
    /// The request can't be served as it is, whoever is asked.
    Invalid,
    /// It has not run and never will.
    NotRun,
    /// It may have run; its answer is lost.
    Unknown,
    /// It may have run; the time limit has passed.
    UnknownTimedOut,
}

/// A final answer that does not come from a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What it says about the request.
    pub claim: Claim,
    /// When to come back, where the request has not run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Derives the refusal of a call from what its attempts may have done.
    pub fn of_call(execution: Execution, reason: Reason, retry_after: Duration) -> Self {
        let (claim, retry_after) = match (execution, reason) {
            (Execution::NotRun, _) => (Claim::NotRun, Some(retry_after)),
            (Execution::MayHaveRun, Reason::TimedOut) => (Claim::UnknownTimedOut, None),
            (Execution::MayHaveRun, _) => (Claim::Unknown, None),
        };
        Self {
            reason,
            claim,
            retry_after,
        }
    }

    /// Refuses a request that can't be served as it is.
    pub fn invalid(reason: Reason) -> Self {
        Self {
            reason,
            claim: Claim::Invalid,
            retry_after: None,
        }
    }

    /// Refuses a request of which nothing was sent to any runner.
    pub fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self::of_call(Execution::NotRun, reason, retry_after)
    }
}
