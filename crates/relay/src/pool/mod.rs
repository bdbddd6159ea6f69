//! Pools of runners, as listed by the configuration service and as observed in traffic.

mod descriptor;
mod history;
mod runner;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::departure;
use crate::id;
use crate::origin::Origin;
use crate::revision;

pub use descriptor::{Descriptor, Instance, Role};
pub use history::History;
use runner::status;
pub use runner::{Load, Report, Runner, Status};

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
    /// Engines that could begin streams and are gone with all that they held, and when that was learnt.
    lost_engines: HashMap<Instance, (Descriptor, Duration)>,
    /// Revisions at which entries were removed, so that an older entry does not restore one.
    removed: HashMap<id::Runner, id::Revision>,
    /// Runners that have said that they leave.
    pub departures: departure::Table,
}

/// How long an entry may be of a copy from which the configuration service was restored: if its runner is gone, it is
/// removed within three heartbeats, which come each 1.2 s.
const COPY_RETENTION: Duration = Duration::from_secs(5);
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
            // A copy from which the configuration service was restored names an earlier process of the runner.
            Some(runner)
                if revision::era(descriptor.revision)
                    > revision::era(runner.descriptor.revision)
                    && descriptor.started_at_ms < runner.descriptor.started_at_ms =>
            {
                return false;
            }
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
                if runner.is_doubtful(&descriptor) {
                    runner.doubted_until = Some(now + COPY_RETENTION);
                    runner.descriptor = Descriptor {
                        draining: runner.descriptor.draining,
                        ..descriptor
                    };
                    return true;
                }
                runner.doubted_until = None;
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
                    if status != Status::Ready {
                        runner.left_at = descriptor.revision;
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
        if let Some(previous) = self.runners.get(&descriptor.runner) {
            let previous = previous.descriptor.clone();
            self.record_lost(previous, now);
        }
        self.remove(&descriptor.runner.clone(), now);
        self.endpoints
            .entry(descriptor.endpoint.clone())
            .or_default()
            .push(descriptor.runner.clone());
        let runner = Runner {
            local_load: local_load.unwrap_or_default(),
            peer_load: peer_load.unwrap_or_default(),
            left_at: descriptor.revision,
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
        if runner.doubted_until.is_some_and(|until| until > now) {
            return false;
        }
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
        self.mark_leaving(runner, revision, now)
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
            changed |= self.mark_leaving(&runner, revision, now);
        }
        self.revision = self.revision.max(revision);
        changed
    }

    fn mark_leaving(&mut self, runner: &id::Runner, revision: id::Revision, now: Duration) -> bool {
        let Some(known) = self.runners.get_mut(runner) else {
            return false;
        };
        known.left_at = revision;
        known.doubted_until = None;
        let was_ready = known.status == Status::Ready;
        if was_ready {
            known.status = Status::Leaving { started_at: now };
        }
        was_ready
    }

    /// Takes entries for true that are still listed some time after the configuration service was restored from a copy.
    pub fn settle_doubts(&mut self, now: Duration) {
        for runner in self.runners.values_mut() {
            if runner.doubted_until.is_some_and(|until| until <= now) {
                runner.doubted_until = None;
                runner.descriptor.draining = false;
                Self::reinstate(runner, &self.departures, now);
            }
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

    /// Records an entry that the list held at some time before it was read.
    pub fn record_earlier(&mut self, descriptor: Descriptor, now: Duration) {
        if self.find(&descriptor.instance()).is_none() {
            self.record_departure(descriptor.clone(), now);
            self.record_lost(descriptor, now);
        }
    }

    fn record_lost(&mut self, descriptor: Descriptor, now: Duration) {
        if descriptor.can_begin_streams() && self.lost_engines.len() < REMOVED_MAX {
            let lost = (descriptor.clone(), now);
            self.lost_engines.insert(descriptor.instance(), lost);
        }
    }

    /// Whether another software version of the same endpoint is known to have lost since all engines that it had, with what
    /// they held. While a version is replaced, the engines that it still has hold most of its streams.
    pub fn has_lost_build_elsewhere(&self, origin: &Origin, since: Duration) -> bool {
        let mut builds: BTreeSet<&id::Build> = self.lost_elsewhere(origin, since).collect();
        builds.retain(|build| !self.has_lasting_engine(&origin.endpoint, build));
        !builds.is_empty()
    }

    /// Whether another software version of the same endpoint is known to have lost an engine since, with what it held.
    pub fn has_lost_engine_elsewhere(&self, origin: &Origin, since: Duration) -> bool {
        self.lost_elsewhere(origin, since).next().is_some()
    }

    /// The other software versions of the engines of an endpoint that are known to be lost since.
    fn lost_elsewhere<'a>(
        &'a self,
        origin: &'a Origin,
        since: Duration,
    ) -> impl Iterator<Item = &'a id::Build> {
        let lost = self.lost_engines.values();
        let lost = lost.filter(move |(engine, at)| {
            engine.endpoint == origin.endpoint && engine.build != origin.build && *at >= since
        });
        lost.map(|(engine, _)| &engine.build)
    }

    /// Whether an engine of a software version is listed that is no new process of one that was lost.
    fn has_lasting_engine(&self, endpoint: &id::Endpoint, build: &id::Build) -> bool {
        let is_lost = |runner: &id::Runner| {
            let mut lost = self.lost_engines.keys();
            lost.any(|instance| instance.runner == *runner)
        };
        let mut engines = self.at_endpoint(endpoint).map(|engine| &engine.descriptor);
        engines.any(|engine| {
            engine.can_begin_streams() && engine.build == *build && !is_lost(&engine.runner)
        })
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
        self.lost_engines
            .retain(|_, (_, lost_at)| *lost_at >= before);
    }
}
