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
use crate::member::{Card, Roster, Standing};
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
    pub callers_gone: u64,
    /// Refusals by reason and claim.
    pub refused: BTreeMap<(&'static str, String), u64>,
}

/// What another VM told of its work.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// Its work under way at engines.
    pub loads: Vec<(id::Runner, Load)>,
    /// Its calls that wait for room and can still be on time.
    pub waiting: u32,
    /// When it told so.
    pub at: Duration,
}

/// All that one process knows.
#[derive(Debug)]
pub struct State {
    /// Bounds and intervals.
    pub settings: Settings,
    /// This VM, as others are told.
    pub me: Card,
    /// Source of random choices; seeded, so that runs repeat.
    pub rng: SmallRng,
    /// Configuration in force.
    pub manifest: Option<Arc<Manifest>>,
    /// The runners.
    pub pool: Pool,
    /// Whether the list of runners was read since the start.
    pub pool_known: bool,
    /// Whether the configuration service is reached.
    pub source_reached: bool,
    /// The other VMs.
    pub roster: Roster,
    /// Addresses at which to look for peers that are not known yet.
    pub seeds: Vec<std::net::SocketAddr>,
    /// When the next peer is probed.
    pub probe_at: Duration,
    /// When the seeds are asked next.
    pub seeds_at: Duration,
    /// Number of probes so far.
    pub probes: u64,
    /// Calls that have not ended.
    pub calls: BTreeMap<id::Call, Call>,
    /// Calls by attempt under way.
    pub by_attempt: HashMap<id::Attempt, id::Call>,
    /// Work that attempts under way put on engines.
    pub charges: HashMap<id::Attempt, Vec<(id::Runner, Load)>>,
    /// What other VMs told of their work, and when.
    pub shared: HashMap<id::Vm, Shared>,
    /// Whether this VM's work has changed since it was last told.
    pub load_changed: bool,
    /// When this VM's work was last told.
    pub load_told_at: Duration,
    /// Allowances for second tries by endpoint.
    pub budgets: HashMap<id::Endpoint, Budget>,
    /// Since when this process leaves.
    pub leaving_since: Option<Duration>,
    /// Whether the process has left.
    pub left: bool,
    /// Last number given to an attempt.
    pub last_attempt: id::Attempt,
    /// Counts.
    pub counters: Counters,
}

impl State {
    /// Makes the state of a process that has just started.
    pub fn open(settings: Settings, me: Card, seeds: Vec<std::net::SocketAddr>, seed: u64) -> Self {
        Self {
            settings,
            me,
            rng: SmallRng::seed_from_u64(seed),
            manifest: None,
            pool: Pool::default(),
            pool_known: false,
            source_reached: false,
            roster: Roster::default(),
            seeds,
            probe_at: Duration::ZERO,
            seeds_at: Duration::ZERO,
            probes: 0,
            calls: BTreeMap::new(),
            by_attempt: HashMap::new(),
            charges: HashMap::new(),
            shared: HashMap::new(),
            load_changed: false,
            load_told_at: Duration::ZERO,
            budgets: HashMap::new(),
            leaving_since: None,
            left: false,
            last_attempt: 0,
            counters: Counters::default(),
        }
    }

    /// Tells whether this process takes callers.
    pub fn ready(&self) -> bool {
        self.leaving_since.is_none() && self.manifest.is_some() && self.pool_known
    }

    /// Tells whether this VM asks the configuration service often, to find answers that were lost. The
    /// first few by name of those that reach it do; the others see that they are behind these.
    pub fn is_watcher(&self) -> bool {
        let before = self.roster.iter().filter(|member| {
            member.card.vm < self.me.vm
                && member.card.standing == Standing::Ready
                && member.silent == 0
                && member.source_reached
        });
        before.count() < WATCHERS
    }

    /// Tells whether another VM has a newer manifest.
    pub fn is_behind_manifest(&self) -> bool {
        let own = self
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version);
        self.roster.iter().any(|member| member.version > own)
    }

    /// Tells whether another VM knows of a change of runners that this one does not.
    pub fn is_behind_runners(&self) -> bool {
        let known = self.pool.revision;
        self.roster.iter().any(|member| member.changed > known)
    }

    /// The VMs that callers may use, those of a zone first.
    pub fn directory(&self, zone: Option<&str>) -> Directory {
        let mut members: Vec<Card> = self
            .roster
            .iter()
            .filter(|member| member.card.standing == Standing::Ready && member.silent == 0)
            .map(|member| member.card.clone())
            .collect();
        if self.ready() {
            members.push(self.me.clone());
        }
        members.sort_by_key(|card| (Some(&*card.zone) != zone, card.vm.clone()));
        Directory {
            members,
            ttl: self.settings.directory_ttl,
        }
    }
}
