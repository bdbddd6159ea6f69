//! The state of the reducer.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::allocation::{Allocator, Claim, GrantNumber};
use crate::backlog::Backlog;
use crate::budget::{Budget, Charge, Share};
use crate::cache_index::{self, HISTORY_TIMEOUT};
use crate::call::Call;
use crate::cap;
use crate::crash::{Abandoned, Evidence, Feature, Loss, Quarantine, BEGIN_MARGIN, SOUND_TIME};
use crate::event::Directory;
use crate::id;
use crate::leave::Leave;
use crate::limit;
use crate::manifest::Manifest;
use crate::member::{Descriptor, Table};
use crate::order;
use crate::origin::{self, Origin};
use crate::overload;
use crate::policy::Policy;
use crate::pool::{History, Instance, Load, Pool};
use crate::session;
use crate::settings::Settings;
use crate::speed::Pace;

/// Number of VMs that poll the configuration service at a short interval.
const FREQUENT_POLLERS: usize = 3;

/// Event counters, for metrics.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests received.
    pub arrived: u64,
    /// Responses of runners forwarded.
    pub answered: u64,
    /// Streams that ended completely.
    pub streams_ended: u64,
    /// Streams that were aborted.
    pub streams_cut: u64,
    /// Attempts started, including prefills.
    pub dispatched: u64,
    /// Prefills started.
    pub prefills: u64,
    /// Streams resumed at another runner.
    pub resumed: u64,
    /// Requests that other VMs were asked to run.
    pub delegated: u64,
    /// Retries.
    pub retried: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
    /// Runners found to have ended while they had requests of this VM.
    pub runners_crashed: u64,
    /// Runners that say that they leave.
    pub runners_departing: u64,
    /// Callers that disconnected before their response was complete.
    pub callers_disconnected: u64,
    /// Attempts by endpoint and by what they cost the retry budget.
    pub attempts: BTreeMap<(id::Endpoint, Charge), u64>,
    /// Streams that were to go on, by what told which software version began them.
    pub origins: BTreeMap<origin::Source, u64>,
    /// Requests of known sessions while several software versions serve, by what became of them.
    pub sessions: BTreeMap<session::Decision, u64>,
    /// Requests of organisations with a cap, by how the cap decided.
    pub caps: BTreeMap<id::Organisation, CapCounter>,
    /// Requests refused because of overload, by endpoint and priority.
    pub overloaded: BTreeMap<(id::Endpoint, u8), u64>,
    /// Reports to the monitors of plain endpoints.
    pub overload_reports: u64,
    /// Refusals by reason and claim.
    pub refused: BTreeMap<(&'static str, String), u64>,
}

/// Requests of one organisation, by how its cap decided on them.
#[derive(Debug, Clone, Copy, Default)]
pub struct CapCounter {
    /// Granted by a granter.
    pub granted: u64,
    /// Small, and admitted without an ask.
    pub small: u64,
    /// Admitted from this VM's own account, as no granter answered.
    pub alone: u64,
    /// Refused.
    pub refused: u64,
}

/// The load last reported by another VM.
#[derive(Debug, Clone, Default)]
pub struct PeerReport {
    /// Its load in flight at engines.
    pub loads: Vec<(id::Runner, Load)>,
    /// Its calls that wait for capacity, without those that can no longer meet their target
    /// latency.
    pub waiting_calls: u32,
    /// When the report was received.
    pub received_at: Duration,
}

/// This VM's claims at the allocators of engine groups.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    /// Number of the last claim that was sent.
    pub sequence: u64,
    /// Whether a claim has changed since it was last sent.
    pub changed: bool,
    /// The claim that was last sent to each allocator.
    pub sent: BTreeMap<id::Vm, SentClaim>,
    /// Last grant received from each allocator.
    pub last_grants: BTreeMap<id::Vm, GrantNumber>,
    /// Until when each allocator that did not acknowledge a claim is passed over.
    pub silent_until: BTreeMap<id::Vm, Duration>,
}

/// The last claim sent to an allocator.
#[derive(Debug, Clone)]
pub struct SentClaim {
    /// The claim.
    pub claim: Claim,
    /// When it was sent.
    pub sent_at: Duration,
    /// Whether its acknowledgement is awaited; the next claim is not sent before.
    pub is_unacknowledged: bool,
}

/// When other VMs are asked what they reach.
#[derive(Debug, Clone, Copy, Default)]
pub struct Survey {
    /// When to ask next.
    pub next_at: Duration,
    /// Time between the last two rounds of questions.
    pub interval: Duration,
}

/// What other VMs are still to be told of crashes, limits and departures.
#[derive(Debug, Clone, Default)]
pub struct Untold {
    /// Runners that have crashed.
    pub crashes: BTreeSet<Instance>,
    /// Parts and requests of which more is known.
    pub features: BTreeSet<Feature>,
    /// Runners whose limit has changed.
    pub limits: BTreeSet<Instance>,
    /// Runners that say that they leave.
    pub departures: BTreeSet<Instance>,
}

/// The runner of an attempt in flight, as listed when it was dispatched.
#[derive(Debug, Clone)]
pub struct InFlight {
    /// Its software version; none if another VM picks the runner.
    pub build: Option<id::Build>,
    /// The process that runs there.
    pub instance: Instance,
    /// When the attempt was dispatched.
    pub sent_at: Duration,
    /// When the first event of its stream was received.
    pub begun_at: Option<Duration>,
    /// Whether it has been recorded that its response went on for a moment.
    pub has_begun: bool,
    /// Whether its request has been recorded as sound, since its response went on.
    pub is_sound: bool,
    /// Whether another VM runs it.
    pub is_delegated: bool,
    /// Tokens that its runner had to prefill first, as far as known when it was dispatched.
    pub queued_tokens: u64,
    /// The events of its stream.
    pub pace: Pace,
}

impl InFlight {
    /// An attempt that is about to be dispatched to a runner.
    pub fn new(instance: Instance, build: Option<id::Build>, now: Duration) -> Self {
        Self {
            build,
            instance,
            sent_at: now,
            begun_at: None,
            has_begun: false,
            is_sound: false,
            is_delegated: false,
            queued_tokens: 0,
            pace: Pace::default(),
        }
    }

    /// Whether its response has gone on for a moment.
    pub fn has_gone_on(&self, now: Duration) -> bool {
        self.begun_at.is_some_and(|at| at + BEGIN_MARGIN <= now)
    }

    /// Whether its response has gone on for long enough to show that its request is sound.
    pub fn shows_soundness(&self, now: Duration) -> bool {
        self.begun_at.is_some_and(|at| at + SOUND_TIME <= now)
    }
}

/// The complete state of one process.
#[derive(Debug)]
pub struct State {
    /// Limits and intervals.
    pub settings: Settings,
    /// Switches and parameters of the decisions.
    pub policy: Policy,
    /// Descriptor of this VM, as published to its peers.
    pub local: Descriptor,
    /// Random number generator, seeded so that runs are reproducible.
    pub rng: SmallRng,
    /// The manifest in force.
    pub manifest: Option<Arc<Manifest>>,
    /// The runners.
    pub pool: Pool,
    /// Whether the list of runners has been read since the start.
    pub pool_loaded: bool,
    /// Whether the configuration service is reachable.
    pub source_reached: bool,
    /// The other VMs.
    pub members: Table,
    /// Addresses used to discover peers that are not known yet.
    pub seeds: Vec<std::net::SocketAddr>,
    /// When to probe the next peer.
    pub next_probe_at: Duration,
    /// When a VM was last asked for a manifest.
    pub manifest_asked_at: Option<Duration>,
    /// When to query the seeds next.
    pub next_seed_query_at: Duration,
    /// Number of probes sent.
    pub probe_count: u64,
    /// Calls in progress.
    pub calls: BTreeMap<id::Call, Call>,
    /// Calls by attempt in flight.
    pub by_attempt: HashMap<id::Attempt, id::Call>,
    /// The attempts in flight.
    pub in_flight: HashMap<id::Attempt, InFlight>,
    /// Load that attempts in flight put on engines.
    pub charges: HashMap<id::Attempt, Vec<(id::Runner, Load)>>,
    /// Attempts lost at runners of which it is being checked whether they have ended.
    pub losses: HashMap<Instance, Loss>,
    /// What was given up a moment ago at runners that may still be at work on it: when last, and the suspects if
    /// they have crashed.
    pub abandoned: HashMap<Instance, Abandoned>,
    /// Endpoints of which this VM reaches no runner, or none of a stage.
    pub unreached: BTreeSet<id::Endpoint>,
    /// Runners that are being probed, as they may be out of reach.
    pub probes: HashSet<Instance>,
    /// When to ask other VMs what they reach.
    pub survey: Survey,
    /// When runners were last probed.
    pub probed_at: HashMap<Instance, Duration>,
    /// Limits that runners name.
    pub limits: limit::Table,
    /// The permits that this VM issues.
    pub issuer: limit::Issuer,
    /// The permits that this VM has.
    pub permits: limit::Permits,
    /// What is known of the load of plain endpoints.
    pub overload: overload::Control,
    /// The calls that were refused for a limit or for overload, by endpoint.
    pub returns: HashMap<id::Endpoint, Backlog>,
    /// What has been served of the plain calls that waited for permits, by endpoint.
    pub plain_histories: HashMap<id::Endpoint, order::History>,
    /// What this VM grants of the caps of organisations.
    pub granter: cap::Granter,
    /// What this VM spends of caps, and asks for.
    pub accounts: cap::Accounts,
    /// Crashes of runners, and what may have caused them.
    pub evidence: Evidence,
    /// Parts of prompts, and requests, that no runner is sent.
    pub quarantine: Quarantine,
    /// What other VMs are still to be told.
    pub untold: Untold,
    /// Whether a VM that serves has agreed with this one on parts and limits since the start.
    pub introduced: bool,
    /// Loads last reported by other VMs.
    pub peer_reports: HashMap<id::Vm, PeerReport>,
    /// Whether this VM's load has changed since it was last published.
    pub load_changed: bool,
    /// When this VM's load was last published.
    pub load_published_at: Duration,
    /// The claims of all VMs at the engines that this VM allocates.
    pub allocator: Allocator,
    /// This VM's claims at the allocators.
    pub claims: Claims,
    /// Which software versions began streams.
    pub origins: origin::Table,
    /// Which software versions have the prompts of sessions.
    pub sessions: session::Table,
    /// The endpoints at which decode engines of several software versions accept requests.
    pub mixed_endpoints: BTreeSet<id::Endpoint>,
    /// Whether the engines were asked after the start what they hold, if this VM was the one to do so.
    pub has_listed: bool,
    /// What engines hold, as far as this VM has asked them.
    pub cache_index: cache_index::Index,
    /// Whether the runners are known that were listed before this VM read the list.
    pub history: History,
    /// Origins that are still to be told to other VMs.
    pub untold_origins: Vec<origin::Record>,
    /// When this VM last heard that no manifest is newer than its own, from the configuration service or from a VM that
    /// reaches it.
    pub manifest_confirmed_at: Duration,
    /// Since when the list of runners has been read from the configuration service without a break.
    pub list_known_since: Option<Duration>,
    /// When the configuration service was last asked, with success, for changes of the list.
    pub list_confirmed_at: Option<Duration>,
    /// Since when its answer is awaited.
    pub list_asked_at: Option<Duration>,
    /// Longest timeout of a route of streams, of all manifests in force since the start.
    pub stream_timeout_max: Duration,
    /// Retry budgets by endpoint.
    pub budgets: HashMap<id::Endpoint, Budget>,
    /// The shutdown of this process, once it has begun.
    pub leave: Option<Leave>,
    /// How long a stream is expected to take, from its request to its end; none until one has ended.
    pub stream_time: Option<Duration>,
    /// When the last tick was; none before the first one and after one that came late.
    pub last_tick_at: Option<Duration>,
    /// Whether this process has finished shutting down.
    pub exited: bool,
    /// Number of the last attempt.
    pub last_attempt: id::Attempt,
    /// Event counters.
    pub counters: Counters,
}

impl State {
    /// Creates the state of a process that has just started.
    pub fn new(
        settings: Settings,
        local: Descriptor,
        seeds: Vec<std::net::SocketAddr>,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            policy: Policy::default(),
            local,
            rng: SmallRng::seed_from_u64(seed),
            manifest: None,
            pool: Pool::default(),
            pool_loaded: false,
            source_reached: false,
            members: Table::default(),
            seeds,
            next_probe_at: Duration::ZERO,
            manifest_asked_at: None,
            next_seed_query_at: Duration::ZERO,
            probe_count: 0,
            calls: BTreeMap::new(),
            by_attempt: HashMap::new(),
            in_flight: HashMap::new(),
            charges: HashMap::new(),
            losses: HashMap::new(),
            abandoned: HashMap::new(),
            unreached: BTreeSet::new(),
            probes: HashSet::new(),
            survey: Survey::default(),
            probed_at: HashMap::new(),
            limits: limit::Table::default(),
            issuer: limit::Issuer::default(),
            permits: limit::Permits::default(),
            overload: overload::Control::default(),
            returns: HashMap::new(),
            plain_histories: HashMap::new(),
            granter: cap::Granter::default(),
            accounts: cap::Accounts::default(),
            evidence: Evidence::default(),
            quarantine: Quarantine::default(),
            untold: Untold::default(),
            introduced: false,
            peer_reports: HashMap::new(),
            load_changed: false,
            load_published_at: Duration::ZERO,
            allocator: Allocator::default(),
            claims: Claims::default(),
            origins: origin::Table::default(),
            sessions: session::Table::default(),
            mixed_endpoints: BTreeSet::new(),
            has_listed: false,
            cache_index: cache_index::Index::default(),
            history: History::default(),
            untold_origins: Vec::new(),
            manifest_confirmed_at: Duration::ZERO,
            list_known_since: None,
            list_confirmed_at: None,
            list_asked_at: None,
            stream_timeout_max: Duration::ZERO,
            budgets: HashMap::new(),
            leave: None,
            stream_time: None,
            last_tick_at: None,
            exited: false,
            last_attempt: 0,
            counters: Counters::default(),
        }
    }

    /// Whether this process accepts callers.
    pub fn is_ready(&self) -> bool {
        self.leave.is_none() && self.manifest.is_some() && self.pool_loaded
    }

    /// This VM's share of the retry slack; nothing while it has met none of the VMs that it shares the
    /// slack with.
    pub fn retry_share(&self, now: Duration) -> Share {
        let mut seeds = self.seeds.iter();
        let has_others = seeds.any(|seed| *seed != self.local.peer_address);
        let fraction = match self.members.peak_size {
            0 | 1 if has_others => 0.0,
            vms => 1.0 / vms.max(1) as f64,
        };
        Share {
            fraction,
            is_new: now < self.settings.retry_window,
        }
    }

    /// How long after the first event of a stream its caller may still go on with it: an attempt lasts at
    /// most as long as the timeout of its route, and the caller comes back within another.
    pub fn origin_lifetime(&self) -> Duration {
        2 * self.stream_timeout_max
    }

    /// What this VM can tell of the origin of a stream.
    pub fn answer_origin(&self, now: Duration, question: &origin::Question) -> origin::Answer {
        let stream = match question.key {
            origin::Key::Stream(stream) => stream,
            origin::Key::Part(part) => return self.answer_by_part(now, question, part),
            origin::Key::Session(session) => return self.answer_by_session(now, question, session),
        };
        let known = stream.and_then(|stream| self.origins.get(stream, now));
        if let Some(origin) = known {
            return origin::Answer::Known(origin.clone());
        }
        let since = now.saturating_sub(self.origin_lifetime());
        let builds = self.pool.builds_since(&question.endpoint, since);
        let is_complete =
            self.list_known_since.is_some_and(|at| at <= since) && !self.is_runner_list_stale();
        let mut builds = builds.into_iter();
        match (builds.next(), builds.next()) {
            (Some(_), Some(_)) => origin::Answer::Mixed,
            (Some(build), None) if is_complete && since > Duration::ZERO => {
                origin::Answer::Sole(build.clone())
            }
            _ => origin::Answer::Unknown,
        }
    }

    fn answer_by_session(
        &self,
        now: Duration,
        question: &origin::Question,
        session: id::Part,
    ) -> origin::Answer {
        let known = self.sessions.get(session, now);
        let known = known.filter(|origin| origin.endpoint == question.endpoint);
        let known = known.cloned();
        known.map_or(origin::Answer::Unknown, origin::Answer::Known)
    }

    fn answer_by_part(
        &self,
        now: Duration,
        question: &origin::Question,
        part: id::Part,
    ) -> origin::Answer {
        let is_pending = self.cache_index.is_pending(&question.endpoint, now);
        if is_pending || self.history.is_pending(now, HISTORY_TIMEOUT) {
            return origin::Answer::Pending;
        }
        let holding = self.cache_index.find(part, now);
        let proven = holding.filter(|holding| !self.may_be_held_elsewhere(&holding.origin, now));
        proven.map_or(origin::Answer::Unknown, origin::Answer::Held)
    }

    /// Whether an engine of another software version may hold, or may have held, what engines of this one hold.
    fn may_be_held_elsewhere(&self, origin: &Origin, now: Duration) -> bool {
        let since = self.stream_age_limit(now);
        self.cache_index.is_unlisted_elsewhere(origin)
            || self.pool.has_lost_build_elsewhere(origin, since)
            || self.may_have_moved_from_lost_engine(origin, since, now)
    }

    /// Whether sessions move between software versions, and an engine of another one that may have begun the stream is gone with what
    /// it held, or does not say.
    fn may_have_moved_from_lost_engine(
        &self,
        origin: &Origin,
        since: Duration,
        now: Duration,
    ) -> bool {
        self.cache_index.has_moving_sessions(&origin.endpoint, now)
            && (self.cache_index.lacks_engine_elsewhere(origin, since)
                || self.pool.has_lost_engine_elsewhere(origin, since))
    }

    /// Streams that began before can't go on any more.
    pub fn stream_age_limit(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stream_timeout_max)
    }

    /// Whether this VM polls the configuration service at a short interval, so that an update whose
    /// response was lost is noticed soon. The first few VMs by name that reach the service do; the
    /// others learn from the views of these that they are behind.
    ///
    /// All VMs do whose keys stop to count without news of the manifest.
    pub fn is_frequent_poller(&self) -> bool {
        if self.settings.revocation_timeout.is_some() {
            return true;
        }
        let preceding = self.members.iter().filter(|member| {
            member.descriptor.vm < self.local.vm && member.is_serving() && member.source_reached
        });
        preceding.count() < FREQUENT_POLLERS
    }

    /// Whether keys of organisations may have been revoked without this VM knowing it, so that they do not count.
    pub fn are_keys_outdated(&self, now: Duration) -> bool {
        let timeout = self.settings.revocation_timeout;
        timeout.is_some_and(|timeout| self.manifest_confirmed_at + timeout < now)
    }

    /// Whether another VM has a newer manifest.
    pub fn is_manifest_stale(&self) -> bool {
        let local = self
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version);
        self.members
            .iter()
            .any(|member| member.manifest_version > local)
    }

    /// Whether another VM knows of a change to the runners that this one has not seen.
    pub fn is_runner_list_stale(&self) -> bool {
        let known = self.pool.revision;
        self.members.iter().any(|member| member.last_change > known)
    }

    /// The VMs that accept callers, those of the given zone first.
    pub fn directory(&self, zone: Option<&str>) -> Directory {
        let mut members: Vec<Descriptor> = self
            .members
            .iter()
            .filter(|member| member.is_serving())
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
