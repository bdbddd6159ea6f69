//! One call: what it asks for, how far it got, and what its attempts may have done.

use std::sync::Arc;
use std::time::Duration;

use crate::event::{Kv, Prompt};
use crate::id;
use crate::manifest::Route;

/// What the attempts of a call may have done at runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Execution {
    /// No runner ran the request, and none can any more.
    NotRun,
    /// A runner may have run it, or may run it still.
    MayHaveRun,
}

/// Where a call stands.
#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// It waits for room at a runner.
    Waiting {
        /// When to look again.
        retry_at: Duration,
    },
    /// A prefill runner reads its prompt.
    Prefill {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// When it began.
        started_at: Duration,
        /// When to give the attempt up.
        attempt_deadline: Duration,
    },
    /// A runner works on it.
    Run {
        /// The attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// When it began.
        started_at: Duration,
        /// When to give the attempt up unless something comes.
        attempt_deadline: Option<Duration>,
    },
}

impl Phase {
    /// The attempt under way and its runner.
    pub fn attempt(&self) -> Option<(id::Attempt, &id::Runner)> {
        match self {
            Self::Waiting { .. } => None,
            Self::Prefill {
                attempt, runner, ..
            }
            | Self::Run {
                attempt, runner, ..
            } => Some((*attempt, runner)),
        }
    }
}

/// How far a stream's answer got towards the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether the caller has the head of the answer.
    pub head_forwarded: bool,
    /// Position of the last event that the caller has.
    pub last_position: Option<u64>,
    /// When the last event came.
    pub last_event_at: Duration,
}

/// A call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request, for logs.
    pub id: Arc<str>,
    /// The route that it took when it came.
    pub route: Arc<Route>,
    /// Version of the manifest that gave the route.
    pub version: id::Version,
    /// The endpoint picked for it.
    pub endpoint: id::Endpoint,
    /// When it was read whole.
    pub arrived_at: Duration,
    /// When its final answer is due at the latest.
    pub deadline: Duration,
    /// Size of its prompt and of its answer, where it is for a model.
    pub prompt: Option<Prompt>,
    /// Where it stands.
    pub phase: Phase,
    /// What its attempts may have done.
    pub execution: Execution,
    /// Attempts that a runner may have run.
    pub execution_count: u32,
    /// Times that the request reached a runner.
    pub dispatch_count: u32,
    /// Prefills that were asked for.
    pub prefills: u32,
    /// Runners that failed it or had no room.
    pub tried: Vec<id::Runner>,
    /// Its KV cache at a prefill runner.
    pub kv: Option<Kv>,
    /// The decode runner that has room set aside for it.
    pub reserved_decode: Option<id::Runner>,
    /// Whether a KV cache of it was not to be had, so that the decode runner is to read the prompt.
    pub kv_unavailable: bool,
    /// How far its answer got.
    pub progress: Progress,
    /// Whether its caller is gone.
    pub disconnected: bool,
}

impl Call {
    /// Time until the final answer is due.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Tells whether another runner may be asked after one that may have run the request.
    pub fn can_retry(&self) -> bool {
        self.route.is_retryable() && self.execution_count < self.route.max_attempts
    }

    /// Tells whether another runner may be asked if the attempt about to begin comes to nothing.
    pub fn can_retry_after_attempt(&self) -> bool {
        self.route.is_retryable() && self.execution_count + 1 < self.route.max_attempts
    }
}
