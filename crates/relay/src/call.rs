//! One call: its request, its progress, and what its attempts may have executed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::allocation;
use crate::arrivals::{Arrivals, Step};
use crate::cap::Charge;
use crate::crash::Feature;
use crate::event::{KvCache, Prompt};
use crate::id;
use crate::manifest::Route;
use crate::organisation::Identity;
use crate::origin::Search;
use crate::pool::Instance;

/// Most tokens of a prompt, or of its response, that count: more than an engine has room for, and sums of such numbers do not
/// overflow.
pub(crate) const TOKENS_MAX: u64 = 1 << 32;

/// Whether any attempt of a call may have been executed by a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Execution {
    /// No runner executed the request, and none can any more.
    NotRun,
    /// A runner may have executed the request, or may still be executing it.
    MayHaveRun,
}

/// The current phase of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    /// Waiting for the answer of a granter, before anything else is done for it.
    Admission {
        /// When it is decided without an answer.
        until: Duration,
    },
    /// Waiting for capacity at a runner.
    Waiting {
        /// When to try again.
        retry_at: Duration,
    },
    /// A prefill runner is processing the prompt.
    Prefill {
        /// The current attempt.
        attempt: id::Attempt,
        /// The prefill runner.
        runner: id::Runner,
        /// When the attempt started.
        started_at: Duration,
        /// When to cancel the attempt.
        attempt_deadline: Duration,
    },
    /// A runner is producing the response.
    Run {
        /// The current attempt.
        attempt: id::Attempt,
        /// The runner.
        runner: id::Runner,
        /// When the attempt started.
        started_at: Duration,
        /// When its runner counts as silent unless something is received; none if that changes
        /// nothing any more.
        attempt_deadline: Option<Duration>,
    },
}

impl Phase {
    /// The attempt in flight and its runner.
    pub fn attempt(&self) -> Option<(id::Attempt, &id::Runner)> {
        match self {
            Self::Admission { .. } | Self::Waiting { .. } => None,
            Self::Prefill {
                attempt, runner, ..
            }
            | Self::Run {
                attempt, runner, ..
            } => Some((*attempt, runner)),
        }
    }
}

/// The run of a stream at a runner that has fallen silent. It stays connected while another runner is
/// prepared, since it may go on.
#[derive(Debug, Clone, PartialEq)]
pub struct Standby {
    /// The attempt.
    pub attempt: id::Attempt,
    /// The runner.
    pub runner: id::Runner,
    /// When the attempt started.
    pub started_at: Duration,
    /// The KV cache that the runner may still fetch; none once its stream has started.
    pub kv: Option<KvCache>,
}

impl Standby {
    /// The run in flight, with the KV cache of its call.
    pub fn from_phase(phase: &Phase, kv: Option<KvCache>) -> Option<Self> {
        let Phase::Run {
            attempt,
            runner,
            started_at,
            ..
        } = phase
        else {
            return None;
        };
        Some(Self {
            attempt: *attempt,
            runner: runner.clone(),
            started_at: *started_at,
            kv,
        })
    }
}

/// How much of a stream has been forwarded to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether the response head has been forwarded.
    pub head_forwarded: bool,
    /// Position of the last event that the caller has received.
    pub last_position: Option<u64>,
    /// When the last event was received from a runner.
    pub last_event_at: Duration,
    /// Whether a pause between two events exceeded the target.
    pub has_paused: bool,
}

/// A request for capacity to an allocator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The allocator.
    pub allocator: id::Vm,
    /// Group of engines that it allocates.
    pub group: allocation::Group,
    /// Number of groups at the time.
    pub groups: u32,
    /// When it was asked.
    pub asked_at: Duration,
    /// Whether the allocator of another group has refused the call.
    pub is_second: bool,
}

/// Capacity granted by an allocator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The decode runner.
    pub decode: id::Runner,
    /// The prefill runner.
    pub prefill: Option<id::Runner>,
    /// Tokens that the prefill runner has to prefill first.
    pub queued_tokens: u64,
    /// Number under which the capacity counts as load in flight.
    pub charge: id::Attempt,
}

/// A request in progress.
///
/// It has at most two attempts in flight: that of its phase, and one on standby. Only what the attempt
/// of the phase delivers is forwarded; when the one on standby delivers first, it becomes that of the
/// phase. From then on there is one attempt again.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request, for the log.
    pub id: Arc<str>,
    /// The route, resolved on arrival.
    pub route: Arc<Route>,
    /// Version of the manifest that the route comes from.
    pub manifest_version: id::Version,
    /// Who sent the request.
    pub identity: Identity,
    /// What of its cost is charged to its organisation.
    pub charge: Charge,
    /// The endpoint chosen by the route.
    pub endpoint: id::Endpoint,
    /// When the request had been received completely.
    pub arrived_at: Duration,
    /// Latest time for the final response.
    pub deadline: Duration,
    /// Prompt and output size, for a model request.
    pub prompt: Option<Prompt>,
    /// The parts of its prompt, in order.
    pub parts: Arc<[id::Part]>,
    /// What the caller asks for.
    pub fingerprint: id::Fingerprint,
    /// The current phase.
    pub phase: Phase,
    /// Software version that began the stream, at which alone it may go on; none while nothing binds
    /// it to one.
    pub build: Option<id::Build>,
    /// Software version that has the prompts of its session, at which it runs while there is room; none if it is not known, or
    /// does not matter.
    pub session_build: Option<id::Build>,
    /// The attempt at a silent runner, while another runner is prepared; the phase has an attempt then.
    pub standby: Option<Standby>,
    /// The stream that it begins or goes on with.
    pub stream: id::Stream,
    /// The search for the software version that began the stream, while it is in progress.
    pub search: Option<Search>,
    /// Whether this VM has recorded which software version began the stream.
    pub origin_recorded: bool,
    /// Whether any attempt may have been executed.
    pub execution: Execution,
    /// Number of ended attempts that a runner may have executed.
    pub execution_count: u32,
    /// How its attempts count against the retry budget.
    pub arrivals: Arrivals,
    /// Whether it was denied a retry since its last attempt.
    pub retry_denied: bool,
    /// Runners that failed the request, had no capacity for it, or have another build than it requires.
    pub tried: Vec<id::Runner>,
    /// Addresses to which it was sent.
    pub sent_to: Vec<SocketAddr>,
    /// The processes at which an attempt was lost before its response had shown that its request is sound.
    pub lost_at: Vec<Instance>,
    /// Runners that were not reached for it.
    pub unreached: Vec<id::Runner>,
    /// The VM that delegated it to this one.
    pub delegated_by: Option<id::Vm>,
    /// Number of VMs that were asked to run it.
    pub delegations: u32,
    /// Of these, those that reached no runner either.
    pub delegates_out_of_reach: u32,
    /// Whether its stream began at a runner of another VM, so that its software version is not known here.
    pub is_bound_elsewhere: bool,
    /// Whether it is let through to find out whether what is quarantined of it still crashes runners.
    pub is_trial: bool,
    /// The decode runner that is known to hold its prompt.
    pub holder: Option<id::Runner>,
    /// Its KV cache at a prefill runner.
    pub kv: Option<KvCache>,
    /// The decode runner at which capacity is reserved.
    pub reserved_decode: Option<id::Runner>,
    /// The allocator that was asked for capacity, if a grant is awaited.
    pub ask: Option<Ask>,
    /// Capacity that was granted and is not used yet.
    pub grant: Option<Grant>,
    /// Whether its KV cache could not be fetched, so that the decode runner must prefill the
    /// prompt.
    pub kv_unavailable: bool,
    /// How much of the response has been forwarded.
    pub progress: Progress,
    /// Whether the caller has disconnected.
    pub disconnected: bool,
}

impl Call {
    /// What of it may crash a runner.
    pub fn features(&self) -> impl Iterator<Item = Feature> + '_ {
        Feature::of(&self.parts, self.fingerprint)
    }

    /// What the next attempt is for, if none is in flight; `has_kv` is whether the prompt is prefilled.
    pub fn next_step(&self, has_kv: bool) -> Step {
        if self.prompt.is_none() || has_kv || self.kv_unavailable {
            Step::Run
        } else {
            Step::Prefill
        }
    }

    /// Priority of the request: that of its organisation, or else of its route. 0 is the highest.
    pub fn priority(&self) -> u8 {
        let organisation = self.identity.organisation();
        let priority = organisation.and_then(|organisation| organisation.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Time left until the deadline.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether another runner may be tried after one that may have executed the request.
    pub fn can_retry(&self) -> bool {
        self.route.is_retryable() && self.possible_runs() < self.route.attempts_max
    }

    /// Whether another runner may be tried if the attempt about to start fails.
    pub fn can_retry_after_attempt(&self) -> bool {
        self.route.is_retryable() && self.possible_runs() + 1 < self.route.attempts_max
    }

    /// Attempts that a runner may have executed, without that of the phase.
    fn possible_runs(&self) -> u32 {
        self.execution_count + u32::from(self.standby.is_some())
    }

    /// Records that it is sent to an address; returns whether it was before.
    pub fn mark_sent(&mut self, address: SocketAddr) -> bool {
        let is_repeat = self.sent_to.contains(&address);
        if !is_repeat {
            self.sent_to.push(address);
        }
        is_repeat
    }

    /// Records that a runner failed the request, was silent, had no capacity for it, or is of a build that
    /// can't go on with it.
    pub fn mark_tried(&mut self, runner: &id::Runner) {
        if !self.tried.contains(runner) {
            self.tried.push(runner.clone());
        }
    }
}
