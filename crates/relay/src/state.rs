//! The state of one process's decisions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::budget::Budget;
use crate::call::Call;
use crate::event::Directory;
use crate::id;
use crate::manifest::Manifest;
use crate::member::{Descriptor, Status, Table};
use crate::pool::{Load, Pool};
use crate::settings::Settings;

/// VMs that ask the configuration service often.
const WATCHERS: usize = 3;

/// Counts of what happened, for metrics.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests read whole.
    pub arrived: u64,
    /// Answers of runners passed on.
    pub answered: u64,
    /// Streams that ended as whole.
    pub streams_ended: u64,
    /// Streams that were cut.
    pub streams_cut: u64,
    /// Attempts begun, prefills among them.
    pub dispatched: u64,
    /// Prefills begun.
    pub prefills: u64,
    /// Streams that went on at another runner.
    pub resumed: u64,
    /// Second tries.
    pub retried: u64,
    /// Second tries that the allowance did not have.
    pub retries_denied: u64,
    /// Callers that left before their answer.
    pub callers_disconnected: u64,
    /// Refusals by reason and claim.
    pub refused: BTreeMap<(&'static str, String), u64>,
}

/// What another VM told of its work.
#[derive(Debug, Clone, Default)]
pub struct PeerReport {
    /// Its work under way at engines.
    pub loads: Vec<(id::Runner, Load)>,
    /// Its calls that wait for room and can still be on time.
    pub waiting: u32,
    /// When it told so.
    pub received_at: Duration,
}

/// All that one process knows.
#[derive(Debug)]
pub struct State {
    /// Bounds and intervals.
    pub settings: Settings,
    /// This VM, as others are told.
    pub local: Descriptor,
    /// Source of random choices; seeded, so that runs repeat.
    pub rng: SmallRng,
    /// Configuration in force.
    pub manifest: Option<Arc<Manifest>>,
    /// The runners.
    pub pool: Pool,
    /// Whether the list of runners was read since the start.
    pub pool_loaded: bool,
    /// Whether the configuration service is reached.
    pub source_reached: bool,
    /// The other VMs.
    pub members: Table,
    /// Addresses at which to look for peers that are not known yet.
    pub seeds: Vec<std::net::SocketAddr>,
    /// When the next peer is probed.
    pub next_probe_at: Duration,
    /// When the seeds are asked next.
    pub next_seed_query_at: Duration,
    /// Number of probes so far.
    pub probe_count: u64,
    /// Calls that have not ended.
    pub calls: BTreeMap<id::Call, Call>,
    /// Calls by attempt under way.
    pub by_attempt: HashMap<id::Attempt, id::Call>,
    /// Work that attempts under way put on engines.
    pub charges: HashMap<id::Attempt, Vec<(id::Runner, Load)>>,
    /// What other VMs told of their work, and when.
    pub peer_reports: HashMap<id::Vm, PeerReport>,
    /// Whether this VM's work has changed since it was last told.
    pub load_changed: bool,
    /// When this VM's work was last told.
    pub load_published_at: Duration,
    /// Allowances for second tries by endpoint.
    pub budgets: HashMap<id::Endpoint, Budget>,
    /// Since when this process leaves.
    pub leaving_since: Option<Duration>,
    /// Whether the process has left.
    pub exited: bool,
    /// Last number given to an attempt.
    pub last_attempt: id::Attempt,
    /// Counts.
    pub counters: Counters,
}

impl State {
    /// Makes the state of a process that has just started.
    pub fn new(
        settings: Settings,
        local: Descriptor,
        seeds: Vec<std::net::SocketAddr>,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            local,
            rng: SmallRng::seed_from_u64(seed),
            manifest: None,
            pool: Pool::default(),
            pool_loaded: false,
            source_reached: false,
            members: Table::default(),
            seeds,
            next_probe_at: Duration::ZERO,
            next_seed_query_at: Duration::ZERO,
            probe_count: 0,
            calls: BTreeMap::new(),
            by_attempt: HashMap::new(),
            charges: HashMap::new(),
            peer_reports: HashMap::new(),
            load_changed: false,
            load_published_at: Duration::ZERO,
            budgets: HashMap::new(),
            leaving_since: None,
            exited: false,
            last_attempt: 0,
            counters: Counters::default(),
        }
    }

    /// Tells whether this process takes callers.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.is_none() && self.manifest.is_some() && self.pool_loaded
    }

    /// Tells whether this VM asks the configuration service often, to find answers that were lost. The
    /// first few by name of those that reach it do; the others see that they are behind these.
    pub fn is_frequent_poller(&self) -> bool {
        let preceding = self.members.iter().filter(|member| {
            member.descriptor.vm < self.local.vm
                && member.descriptor.status == Status::Ready
                && member.missed_probes == 0
                && member.source_reached
        });
        preceding.count() < WATCHERS
    }

    /// Tells whether another VM has a newer manifest.
    pub fn is_manifest_stale(&self) -> bool {
        let local = self
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version);
        self.members
            .iter()
            .any(|member| member.manifest_version > local)
    }

    /// Tells whether another VM knows of a change of runners that this one does not.
    pub fn is_runner_list_stale(&self) -> bool {
        let known = self.pool.revision;
        self.members.iter().any(|member| member.last_change > known)
    }

    /// The VMs that callers may use, those of a zone first.
    pub fn directory(&self, zone: Option<&str>) -> Directory {
        let mut members: Vec<Descriptor> = self
            .members
            .iter()
            .filter(|member| member.descriptor.status == Status::Ready && member.missed_probes == 0)
            .map(|member| member.descriptor.clone())
            .collect();
        if self.is_ready() {
            members.push(self.local.clone());
        }
        members.sort_by_key(|descriptor| (Some(&*descriptor.zone) != zone, descriptor.vm.clone()));
        Directory {
            members,
            ttl: self.settings.directory_ttl,
        }
    }
}
