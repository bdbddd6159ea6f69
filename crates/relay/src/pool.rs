//! Pools of runners, as listed by the configuration service and as observed in traffic.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::breaker::Breaker;
use crate::departure;
use crate::id;

/// Stage of a model engine in the pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// The process of a runner, which may start anew under its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// Name of the runner.
    pub runner: id::Runner,
    /// Start time in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Description of a runner, an entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Name of the runner instance.
    pub runner: id::Runner,
    /// The endpoint that it serves.
    pub endpoint: id::Endpoint,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Its stage, if it is a model engine.
    pub role: Option<Role>,
    /// Its software version.
    pub build: id::Build,
    /// Start time in milliseconds since the Unix epoch; distinguishes runners started under one
    /// name.
    pub started_at_ms: u64,
    /// Revision of the entry.
    pub revision: id::Revision,
}

impl Descriptor {
    /// The process of the runner.
    pub fn instance(&self) -> Instance {
        Instance {
            runner: self.runner.clone(),
            started_at_ms: self.started_at_ms,
        }
    }

    /// Whether the process of the runner is this one.
    pub fn is_of_instance(&self, instance: &Instance) -> bool {
        self.runner == instance.runner && self.started_at_ms == instance.started_at_ms
    }

    /// Whether the runner has the software version that is required, if one is.
    pub fn is_of_build(&self, required: Option<&id::Build>) -> bool {
        required.is_none_or(|build| *build == self.build)
    }

    /// Whether the runner can bring the first event of a stream.
    pub fn can_begin_streams(&self) -> bool {
        self.role != Some(Role::Prefill)
    }
}

/// Load as reported by the runner itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that are executing.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it executes concurrently.
    pub slots: u32,
}

/// Load in flight at a runner, as counted by the VMs that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// KV memory that the requests are expected to use, in tokens.
    pub tokens: u64,
    /// Tokens still to prefill there.
    pub prefill_tokens: u64,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.prefill_tokens += other.prefill_tokens;
    }

    /// Subtracts another load, down to zero.
    pub fn sub(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }
}

/// Whether a runner accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It accepts new requests.
    Ready,
    /// It is draining, or its entry was removed.
    Leaving {
        /// When this process learned of it.
        started_at: Duration,
    },
}

/// A runner and its state.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Its entry in the list.
    pub descriptor: Descriptor,
    /// Whether it accepts new requests.
    pub status: Status,
    /// Its circuit breaker and traffic statistics.
    pub breaker: Breaker,
    /// Load that this VM has in flight there.
    pub local_load: Load,
    /// Load that other VMs have in flight there, as last reported by them.
    pub peer_load: Load,
    /// Observed prefill rate in tokens per millisecond, if any prefill was observed.
    pub prefill_tokens_per_ms: Option<f64>,
    /// The load that it last reported, and when the report was received.
    pub reported: Option<(Report, Duration)>,
    /// When it last declined a request for lack of capacity.
    pub last_full_at: Option<Duration>,
    /// When this VM last received a stream event, a response or a decline from it.
    pub last_seen_at: Option<Duration>,
    /// When this VM last had a connection to it that was made to see whether it is reached.
    pub connected_at: Option<Duration>,
    /// Until when it has asked this VM for no requests.
    pub rests_until: Duration,
    /// Until when it gets no prefills, because its KV caches expired too soon.
    pub kv_cooldown_until: Duration,
    /// Whether another runner responded at its address.
    pub displaced: bool,
    /// Whether it names a limit and this VM has no permit for a request to it. Engines get requests by
    /// grants.
    pub is_held_back: bool,
}

/// Assumed prefill rate in tokens per millisecond, until one was observed.
const PREFILL_TOKENS_PER_MS_DEFAULT: f64 = 40.0;
/// How many times longer a prefill takes at a decode runner than at a prefill runner.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;
/// Weight of one prefill in the moving average of the rate.
const PREFILL_RATE_WEIGHT: f64 = 0.2;

impl Runner {
    /// When it was last known to be reached.
    pub fn reached_at(&self) -> Option<Duration> {
        self.last_seen_at.max(self.connected_at)
    }

    /// When a connection to it last failed or broke, if it was not reached since.
    pub fn unreached_since(&self) -> Option<Duration> {
        let failed_at = self.breaker.failed_at();
        failed_at.filter(|failed_at| self.reached_at().is_none_or(|at| at < *failed_at))
    }

    /// Whether it has asked this VM for no requests for now.
    pub fn is_resting(&self, now: Duration) -> bool {
        self.rests_until > now
    }

    /// Total known load in flight.
    pub fn load(&self) -> Load {
        let mut load = self.local_load;
        load.add(self.peer_load);
        load
    }

    /// Expected time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let prefill_tokens_per_ms = self
            .prefill_tokens_per_ms
            .unwrap_or(PREFILL_TOKENS_PER_MS_DEFAULT);
        Duration::from_secs_f64(tokens as f64 / prefill_tokens_per_ms / 1e3)
    }

    /// Expected time to prefill this many tokens at a runner that also generates streams.
    pub fn prefill_time_while_decoding(&self, tokens: u64) -> Duration {
        self.prefill_time(tokens).mul_f64(DECODE_PREFILL_SLOWDOWN)
    }

    /// Records how long a prefill of this many tokens took.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        let millis = (took.as_secs_f64() * 1e3).max(1.0);
        let prefill_tokens_per_ms = tokens as f64 / millis;
        let old = self.prefill_tokens_per_ms.unwrap_or(prefill_tokens_per_ms);
        self.prefill_tokens_per_ms =
            Some(old + PREFILL_RATE_WEIGHT * (prefill_tokens_per_ms - old));
    }

    fn new(descriptor: Descriptor, status: Status) -> Self {
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
            connected_at: None,
            rests_until: Duration::ZERO,
            kv_cooldown_until: Duration::ZERO,
            displaced: false,
            is_held_back: false,
        }
    }
}

/// The status of a runner by its entry, and by its own word.
fn status(descriptor: &Descriptor, departures: &departure::Table, now: Duration) -> Status {
    let said_at = departures.said_at(&descriptor.instance());
    match said_at {
        Some(started_at) => Status::Leaving { started_at },
        None if descriptor.draining => Status::Leaving { started_at: now },
        None => Status::Ready,
    }
}

/// The runners of all endpoints.
#[derive(Debug, Default)]
pub struct Pool {
    runners: HashMap<id::Runner, Runner>,
    endpoints: BTreeMap<id::Endpoint, Vec<id::Runner>>,
    /// Revision up to which the list is known.
    pub revision: id::Revision,
    /// Revision of the last known change of the list.
    pub last_change: id::Revision,
    /// Loads of the other VMs, including those at runners not listed here yet: a VM that was cut
    /// off from the configuration service learns of a runner later than others.
    peer_loads: HashMap<id::Runner, Load>,
    /// When a runner that could begin streams was last dropped, by endpoint and software version.
    departed_builds: BTreeMap<(id::Endpoint, id::Build), Duration>,
    /// Revisions at which entries were removed, so that an older entry does not restore one.
    removed: HashMap<id::Runner, id::Revision>,
    /// Runners that have said that they leave.
    pub departures: departure::Table,
}

/// Number of removals at which all of them are forgotten, to bound the memory.
const REMOVED_MAX: usize = 4096;

impl Pool {
    /// Looks up a runner.
    pub fn get(&self, runner: &id::Runner) -> Option<&Runner> {
        self.runners.get(runner)
    }

    /// Looks up a runner, if this process is the one that is listed.
    pub fn find(&self, instance: &Instance) -> Option<&Runner> {
        let runner = self.get(&instance.runner)?;
        runner.descriptor.is_of_instance(instance).then_some(runner)
    }

    /// Looks up a runner for modification.
    pub fn get_mut(&mut self, runner: &id::Runner) -> Option<&mut Runner> {
        self.runners.get_mut(runner)
    }

    /// Iterates over the runners of an endpoint.
    pub fn at_endpoint<'a>(
        &'a self,
        endpoint: &id::Endpoint,
    ) -> impl Iterator<Item = &'a Runner> + Clone + 'a {
        self.endpoints
            .get(endpoint)
            .into_iter()
            .flatten()
            .filter_map(|runner| self.runners.get(runner))
    }

    /// Replaces the loads last reported by one VM with its current ones.
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

    /// Iterates over all runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Adds or updates an entry, unless a newer one is known; returns whether anything changed.
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
                    return Self::reinstate(runner, &self.departures, now);
                }
                return false;
            }
            // Still the same runner instance, so its statistics are kept.
            Some(runner)
                if runner.descriptor.started_at_ms == descriptor.started_at_ms
                    && runner.descriptor.address == descriptor.address =>
            {
                self.departures
                    .note_entry(&descriptor.instance(), descriptor.draining);
                if runner.descriptor.draining != descriptor.draining || !descriptor.draining {
                    let status = status(&descriptor, &self.departures, now);
                    let is_leaving_already = matches!(
                        (runner.status, status),
                        (Status::Leaving { .. }, Status::Leaving { .. })
                    );
                    if !is_leaving_already {
                        runner.status = status;
                    }
                }
                runner.displaced = false;
                let previous = std::mem::replace(&mut runner.descriptor, descriptor);
                self.record_departure(previous, now);
                return true;
            }
            _ => {}
        }
        // Requests in flight at the previous instance are counted until they have ended.
        let local_load = self
            .runners
            .get(&descriptor.runner)
            .map(|known| known.local_load);
        let peer_load = self.peer_loads.get(&descriptor.runner).copied();
        self.remove(&descriptor.runner.clone(), now);
        self.endpoints
            .entry(descriptor.endpoint.clone())
            .or_default()
            .push(descriptor.runner.clone());
        let runner = Runner {
            local_load: local_load.unwrap_or_default(),
            peer_load: peer_load.unwrap_or_default(),
            ..Runner::new(
                descriptor.clone(),
                status(&descriptor, &self.departures, now),
            )
        };
        self.runners.insert(descriptor.runner, runner);
        true
    }

    /// Restores a runner whose entry had been missing from the list.
    fn reinstate(runner: &mut Runner, departures: &departure::Table, now: Duration) -> bool {
        let status = status(&runner.descriptor, departures, now);
        let changed = status == Status::Ready && runner.status != Status::Ready;
        if changed {
            runner.status = Status::Ready;
        }
        changed
    }

    /// Records that a process said at a time that it leaves; returns whether that is news.
    pub fn mark_departing(&mut self, instance: &Instance, at: Duration) -> bool {
        let is_news = self.departures.record(instance, at);
        let runner = self.runners.get_mut(&instance.runner);
        let runner = runner.filter(|runner| runner.descriptor.is_of_instance(instance));
        if let Some(runner) = runner.filter(|runner| runner.status == Status::Ready) {
            runner.status = Status::Leaving { started_at: at };
        }
        is_news
    }

    /// Marks an entry as removed. Its runner gets requests only if no other can; returns whether
    /// anything changed.
    pub fn mark_removed(
        &mut self,
        runner: &id::Runner,
        revision: id::Revision,
        now: Duration,
    ) -> bool {
        self.last_change = self.last_change.max(revision);
        let is_newer = self
            .runners
            .get(runner)
            .is_some_and(|known| known.descriptor.revision > revision);
        if is_newer {
            return false;
        }
        if self.removed.len() >= REMOVED_MAX {
            self.removed.clear();
        }
        self.removed.insert(runner.clone(), revision);
        self.mark_leaving(runner, now)
    }

    /// Replaces the list: entries that it lacks and that are not newer than it are marked as
    /// removed. Returns whether anything changed.
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

    /// Evicts runners that have been leaving for longer than `after` and have no request in flight.
    pub fn evict_leaving(&mut self, now: Duration, after: Duration) {
        let old: Vec<id::Runner> = self
            .runners
            .values()
            .filter(|runner| runner.local_load.requests == 0)
            .filter(|runner| matches!(runner.status, Status::Leaving { started_at } if started_at + after < now))
            .map(|runner| runner.descriptor.runner.clone())
            .collect();
        for runner in old {
            self.remove(&runner, now);
        }
    }

    fn remove(&mut self, runner: &id::Runner, now: Duration) {
        if let Some(old) = self.runners.remove(runner) {
            if let Some(list) = self.endpoints.get_mut(&old.descriptor.endpoint) {
                list.retain(|other| other != runner);
            }
            self.record_departure(old.descriptor, now);
        }
    }

    fn record_departure(&mut self, descriptor: Descriptor, now: Duration) {
        if !descriptor.can_begin_streams() {
            return;
        }
        let key = (descriptor.endpoint, descriptor.build);
        self.departed_builds.insert(key, now);
    }

    /// The software versions of all runners of an endpoint that were in the pool at any time since, and
    /// that can begin streams.
    pub fn builds_since(&self, endpoint: &id::Endpoint, since: Duration) -> BTreeSet<&id::Build> {
        let departed = self
            .departed_builds
            .iter()
            .filter(|((at, _), dropped_at)| at == endpoint && **dropped_at >= since)
            .map(|((_, build), _)| build);
        self.at_endpoint(endpoint)
            .map(|runner| &runner.descriptor)
            .filter(|descriptor| descriptor.can_begin_streams())
            .map(|descriptor| &descriptor.build)
            .chain(departed)
            .collect()
    }

    /// Forgets software versions whose last runner was dropped before.
    pub fn forget_builds(&mut self, before: Duration) {
        self.departed_builds
            .retain(|_, dropped_at| *dropped_at >= before);
    }
}
