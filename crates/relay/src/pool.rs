//! The runners as the configuration service lists them and as traffic shows them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::breaker::Breaker;
use crate::id;

/// Part of a model engine in the pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It reads prompts.
    Prefill,
    /// It generates tokens.
    Decode,
}

/// A runner as the list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Name of this start of the runner.
    pub runner: id::Runner,
    /// The endpoint that it belongs to.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub draining: bool,
    /// Its part, where it is a model engine.
    pub role: Option<Role>,
    /// Start of the runner, in milliseconds since the Unix epoch; tells two starts of one name apart.
    pub started_at_ms: u64,
    /// Position of this entry in the list's history.
    pub revision: id::Revision,
}

/// Load as the runner itself told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Work under way at a runner, as the VMs that sent it count it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of KV memory that they take at their longest.
    pub tokens: u64,
    /// Tokens of their prompts that are still to be read there.
    pub prefill_tokens: u64,
}

impl Load {
    /// Adds work.
    pub fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.prefill_tokens += other.prefill_tokens;
    }

    /// Takes work away.
    pub fn sub(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }
}

/// Whether a runner takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It does.
    Ready,
    /// It is about to end, or its entry is gone.
    Leaving {
        /// When this process learned that.
        started_at: Duration,
    },
}

/// One runner.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Its entry.
    pub descriptor: Descriptor,
    /// Whether it takes new work.
    pub status: Status,
    /// What traffic showed.
    pub breaker: Breaker,
    /// Work of this VM under way there.
    pub local_load: Load,
    /// Work of the other VMs there, as they last told it.
    pub peer_load: Load,
    /// Tokens that it reads in a millisecond, as far as that was seen.
    pub prefill_tokens_per_ms: Option<f64>,
    /// Its last word on its load, and when it came.
    pub reported: Option<(Report, Duration)>,
    /// When it last refused for lack of room.
    pub last_full_at: Option<Duration>,
    /// When this VM last heard of it: an event, an answer or a refusal.
    pub last_seen_at: Option<Duration>,
    /// Until when its KV caches are not counted on.
    pub kv_cooldown_until: Duration,
    /// Another runner answered at its address.
    pub displaced: bool,
}

/// Tokens that a runner is taken to read in a millisecond before one was seen to.
const PREFILL_TOKENS_PER_MS_DEFAULT: f64 = 40.0;
/// How much slower a decode runner reads a prompt than a prefill runner.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;
/// Weight of one reading in the usual speed.
const PREFILL_RATE_WEIGHT: f64 = 0.2;

impl Runner {
    /// All work that is known to be under way there.
    pub fn load(&self) -> Load {
        let mut load = self.local_load;
        load.add(self.peer_load);
        load
    }

    /// Time in which it reads so many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let prefill_tokens_per_ms = self
            .prefill_tokens_per_ms
            .unwrap_or(PREFILL_TOKENS_PER_MS_DEFAULT);
        Duration::from_secs_f64(tokens as f64 / prefill_tokens_per_ms / 1e3)
    }

    /// Time in which it reads so many tokens where it generates streams too.
    pub fn prefill_time_while_decoding(&self, tokens: u64) -> Duration {
        self.prefill_time(tokens).mul_f64(DECODE_PREFILL_SLOWDOWN)
    }

    /// Takes how long it took to read so many tokens.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let millis = (took.as_secs_f64() * 1e3).max(1.0);
        let prefill_tokens_per_ms = tokens as f64 / millis;
        let old = self.prefill_tokens_per_ms.unwrap_or(prefill_tokens_per_ms);
        self.prefill_tokens_per_ms =
            Some(old + PREFILL_RATE_WEIGHT * (prefill_tokens_per_ms - old));
    }

    fn new(descriptor: Descriptor, now: Duration) -> Self {
        let status = status(&descriptor, now);
        Self {
            descriptor,
            status,
            breaker: Breaker::default(),
            local_load: Load::default(),
            peer_load: Load::default(),
            prefill_tokens_per_ms: None,
            reported: None,
            last_full_at: None,
            last_seen_at: None,
            kv_cooldown_until: Duration::ZERO,
            displaced: false,
        }
    }
}

fn status(descriptor: &Descriptor, now: Duration) -> Status {
    if descriptor.draining {
        Status::Leaving { started_at: now }
    } else {
        Status::Ready
    }
}

/// All runners of all endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    runners: HashMap<id::Runner, Runner>,
    endpoints: BTreeMap<id::Endpoint, Vec<id::Runner>>,
    /// Position up to which the list is known.
    pub revision: id::Revision,
    /// Position of the last change that is known.
    pub last_change: id::Revision,
    /// Work of the other VMs, also at runners that are not known here yet: a VM that was cut off from
    /// the list learns of a runner later than others.
    peer_loads: HashMap<id::Runner, Load>,
    /// Revisions at which entries ended, so that an older entry does not bring one back.
    removed: HashMap<id::Runner, id::Revision>,
}

/// How long the end of an entry is remembered.
const REMOVED_MAX: usize = 4096;

impl Pool {
    /// Finds a runner.
    pub fn get(&self, runner: &id::Runner) -> Option<&Runner> {
        self.runners.get(runner)
    }

    /// Finds a runner to change it.
    pub fn get_mut(&mut self, runner: &id::Runner) -> Option<&mut Runner> {
        self.runners.get_mut(runner)
    }

    /// The runners of an endpoint.
    pub fn at_endpoint<'a>(
        &'a self,
        endpoint: &id::Endpoint,
    ) -> impl Iterator<Item = &'a Runner> + 'a {
        self.endpoints
            .get(endpoint)
            .into_iter()
            .flatten()
            .filter_map(|runner| self.runners.get(runner))
    }

    /// Replaces what one VM told of its work by what it tells now.
    pub fn replace_peer_loads<'a>(
        &mut self,
        before: impl Iterator<Item = &'a (id::Runner, Load)>,
        now: impl Iterator<Item = &'a (id::Runner, Load)>,
    ) {
        for (runner, load) in before {
            let sum = self.peer_loads.entry(runner.clone()).or_default();
            sum.sub(*load);
            if let Some(known) = self.runners.get_mut(runner) {
                known.peer_load = *sum;
            }
            if sum.requests == 0 {
                self.peer_loads.remove(runner);
            }
        }
        for (runner, load) in now {
            let sum = self.peer_loads.entry(runner.clone()).or_default();
            sum.add(*load);
            if let Some(known) = self.runners.get_mut(runner) {
                known.peer_load = *sum;
            }
        }
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Takes an entry; an older one than the known changes nothing. Tells whether anything changed.
    pub fn upsert(&mut self, descriptor: Descriptor, now: Duration) -> bool {
        self.last_change = self.last_change.max(descriptor.revision);
        if self
            .removed
            .get(&descriptor.runner)
            .is_some_and(|removed| *removed >= descriptor.revision)
        {
            return false;
        }
        let known = self.runners.get_mut(&descriptor.runner);
        match known {
            Some(runner) if runner.descriptor.revision >= descriptor.revision => {
                if runner.descriptor.revision == descriptor.revision {
                    return Self::reinstate(runner, now);
                }
                return false;
            }
            // The same start: what traffic showed stays.
            Some(runner)
                if runner.descriptor.started_at_ms == descriptor.started_at_ms
                    && runner.descriptor.address == descriptor.address =>
            {
                if runner.descriptor.draining != descriptor.draining || !descriptor.draining {
                    let status = status(&descriptor, now);
                    let kept = matches!(
                        (runner.status, status),
                        (Status::Leaving { .. }, Status::Leaving { .. })
                    );
                    if !kept {
                        runner.status = status;
                    }
                }
                runner.displaced = false;
                runner.descriptor = descriptor;
                return true;
            }
            _ => {}
        }
        // Work under way at an earlier start of the runner is counted until it has ended.
        let local_load = self
            .runners
            .get(&descriptor.runner)
            .map(|known| known.local_load);
        let peer_load = self.peer_loads.get(&descriptor.runner).copied();
        self.remove(&descriptor.runner.clone());
        self.endpoints
            .entry(descriptor.endpoint.clone())
            .or_default()
            .push(descriptor.runner.clone());
        let runner = Runner {
            local_load: local_load.unwrap_or_default(),
            peer_load: peer_load.unwrap_or_default(),
            ..Runner::new(descriptor.clone(), now)
        };
        self.runners.insert(descriptor.runner, runner);
        true
    }

    /// Takes back that an entry was missing.
    fn reinstate(runner: &mut Runner, now: Duration) -> bool {
        let status = status(&runner.descriptor, now);
        let changed = status == Status::Ready && runner.status != Status::Ready;
        if changed {
            runner.status = Status::Ready;
        }
        changed
    }

    /// Takes that an entry has ended. The runner gets work only where no other can.
    pub fn mark_removed(
        &mut self,
        runner: &id::Runner,
        revision: id::Revision,
        now: Duration,
    ) -> bool {
        self.last_change = self.last_change.max(revision);
        let newer = self
            .runners
            .get(runner)
            .is_some_and(|known| known.descriptor.revision > revision);
        if newer {
            return false;
        }
        if self.removed.len() >= REMOVED_MAX {
            self.removed.clear();
        }
        self.removed.insert(runner.clone(), revision);
        self.mark_leaving(runner, now)
    }

    /// Takes a whole list: entries that it lacks and that are no newer have ended.
    pub fn replace(
        &mut self,
        descriptors: Vec<Descriptor>,
        revision: id::Revision,
        now: Duration,
    ) -> bool {
        let listed: std::collections::HashSet<id::Runner> = descriptors
            .iter()
            .map(|descriptor| descriptor.runner.clone())
            .collect();
        let mut changed = false;
        for descriptor in descriptors {
            changed |= self.upsert(descriptor, now);
        }
        let unlisted: Vec<id::Runner> = self
            .runners
            .values()
            .filter(|runner| !listed.contains(&runner.descriptor.runner))
            .filter(|runner| runner.descriptor.revision <= revision)
            .map(|runner| runner.descriptor.runner.clone())
            .collect();
        for runner in unlisted {
            changed |= self.mark_leaving(&runner, now);
        }
        self.revision = self.revision.max(revision);
        changed
    }

    fn mark_leaving(&mut self, runner: &id::Runner, now: Duration) -> bool {
        match self.runners.get_mut(runner) {
            Some(known) if known.status == Status::Ready => {
                known.status = Status::Leaving { started_at: now };
                true
            }
            _ => false,
        }
    }

    /// Forgets runners that have been leaving for so long that nothing of theirs can be under way.
    pub fn evict_leaving(&mut self, now: Duration, after: Duration) {
        let old: Vec<id::Runner> = self
            .runners
            .values()
            .filter(|runner| runner.local_load.requests == 0)
            .filter(|runner| matches!(runner.status, Status::Leaving { started_at } if started_at + after < now))
            .map(|runner| runner.descriptor.runner.clone())
            .collect();
        for runner in old {
            self.remove(&runner);
        }
    }

    fn remove(&mut self, runner: &id::Runner) {
        if let Some(old) = self.runners.remove(runner) {
            if let Some(list) = self.endpoints.get_mut(&old.descriptor.endpoint) {
                list.retain(|other| other != runner);
            }
        }
    }
}
