//! What was decided, with the inputs that decided it; the shell writes notes as log lines.

use std::sync::Arc;
use std::time::Duration;

use crate::id;

/// What a line is about.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request was accepted.
    Accepted,
    /// An attempt began.
    Dispatched,
    /// An attempt ended without a usable answer.
    AttemptFailed,
    /// An attempt was given up.
    GivenUp,
    /// A request waits for room.
    Waits,
    /// A runner's answer was passed on.
    Answered,
    /// A stream ended as whole.
    StreamEnded,
    /// A stream was cut.
    StreamCut,
    /// A request was refused.
    Refused,
    /// A caller left before its answer.
    CallerGone,
    /// A manifest came into force.
    ManifestInForce,
    /// An entry of the list of runners changed.
    RunnerListed,
    /// A runner is to be left alone for a while.
    RunnerRests,
    /// The configuration service was lost or regained.
    Source,
    /// A VM's state changed.
    Member,
    /// The settings were read again.
    Reloaded,
    /// The process leaves.
    Leaving,
    /// The process has left.
    Left,
}

/// One line.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// What it is about.
    pub kind: Kind,
    /// Id of the request that it is about.
    pub request: Option<Arc<str>>,
    /// The runner that it is about.
    pub runner: Option<id::Runner>,
    /// The attempt that it is about.
    pub attempt: Option<id::Attempt>,
    /// The outcome or the reason.
    pub outcome: Option<String>,
    /// Version of what decided, such as a manifest or a list.
    pub version: Option<u64>,
    /// Age of what decided, or the time that it took.
    pub age: Option<Duration>,
}

impl Entry {
    /// A line about nothing in particular yet.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            request: None,
            runner: None,
            attempt: None,
            outcome: None,
            version: None,
            age: None,
        }
    }

    /// Names the request.
    pub fn request(mut self, id: &Arc<str>) -> Self {
        self.request = Some(id.clone());
        self
    }

    /// Names the runner.
    pub fn runner(mut self, runner: &id::Runner) -> Self {
        self.runner = Some(runner.clone());
        self
    }

    /// Names the attempt.
    pub fn attempt(mut self, attempt: id::Attempt) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Says how it ended, or why.
    pub fn outcome(mut self, outcome: impl ToString) -> Self {
        self.outcome = Some(outcome.to_string());
        self
    }

    /// Gives the version of what decided.
    pub fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Gives the age of what decided, or the time that it took.
    pub fn age(mut self, age: Duration) -> Self {
        self.age = Some(age);
        self
    }
}
