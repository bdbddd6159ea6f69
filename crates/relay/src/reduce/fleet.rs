//! Fleet membership: probes, and views received from and published to peers.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::decision_log::{Entry, Kind};
use crate::event::Effect;
use crate::id;
use crate::member::{Descriptor, ManifestWish, Member, Status, View};
use crate::pool;
use crate::revision;

use super::Reducer;

/// Interval between probes.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between queries of seeds that are not known as members.
const SEED_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive views without an acknowledgement after which a VM is considered down.
const UNACKNOWLEDGED_VIEWS_MAX: u32 = 2;
/// One in this many probes goes to a VM that is down, in case it has recovered.
const DOWN_PROBE_PERIOD: u64 = 5;
/// How long a changed descriptor has priority in every view.
const CHANGE_PRIORITY_TIME: Duration = Duration::from_secs(4);
/// Maximum number of descriptors in a view.
const DESCRIPTORS_MAX: usize = 10;
/// Maximum number of randomly chosen descriptors in a view, besides the changed ones.
const RANDOM_DESCRIPTORS_MAX: usize = 4;
/// Maximum number of descriptors in the reply to the first view of a VM.
const INITIAL_DESCRIPTORS_MAX: usize = 64;
/// Number of VMs to which a change is published immediately.
const PUBLISH_FANOUT: usize = 8;
/// Share of the fleet that a VM has to reach to know what most others know.
pub(super) const MAJORITY: f64 = 0.5;
/// How long a VM that is down is remembered.
const DOWN_RETENTION: Duration = Duration::from_secs(60);

/// Versions held by a peer that can't read the configuration service itself; none for other peers, and no version of a
/// manifest for a peer that takes none now.
#[derive(Debug, Clone, Copy, Default)]
struct PeerVersions {
    manifest_version: Option<id::Version>,
    revision: Option<id::Revision>,
}

impl PeerVersions {
    fn new(
        source_reached: bool,
        takes_manifest: bool,
        version: id::Version,
        revision: id::Revision,
    ) -> Self {
        Self {
            manifest_version: (!source_reached && takes_manifest).then_some(version),
            revision: (!source_reached).then_some(revision),
        }
    }

    /// Whether the peer needs a manifest of this version.
    fn lacks_manifest(self, version: id::Version) -> bool {
        self.manifest_version.is_some_and(|held| held < version)
    }

    /// Whether the peer needs a list of runners of this revision.
    fn lacks_runners(self, revision: id::Revision) -> bool {
        self.revision.is_some_and(|held| held < revision)
    }
}

impl Reducer<'_> {
    pub(super) fn tick_fleet(&mut self) {
        self.state.members.evict_down(self.now, DOWN_RETENTION);
        if self.now >= self.state.next_seed_query_at {
            self.state.next_seed_query_at = self.now + SEED_QUERY_INTERVAL;
            self.query_seeds();
        }
        if self.now >= self.state.next_probe_at {
            self.state.next_probe_at = self.now + PROBE_INTERVAL;
            self.probe();
        }
    }

    fn query_seeds(&mut self) {
        let local_address = self.state.local.peer_address;
        let unknown: Vec<SocketAddr> = self
            .state
            .seeds
            .clone()
            .into_iter()
            .filter(|seed| {
                *seed != local_address && self.state.members.find_by_address_mut(*seed).is_none()
            })
            .collect();
        for seed in unknown {
            self.publish_to_address(seed, true);
        }
    }

    fn probe(&mut self) {
        self.state.probe_count += 1;
        let probe_down = self.state.probe_count % DOWN_PROBE_PERIOD == 0;
        let is_down = |descriptor: &Descriptor| descriptor.status == Status::Down;
        let any_down = self
            .state
            .members
            .iter()
            .any(|member| is_down(&member.descriptor));
        let probe_down = probe_down && any_down;
        // VMs that left views unacknowledged go first, then the one not seen for the longest time,
        // so that each gets its turn.
        let target = self
            .state
            .members
            .iter()
            .filter(|member| is_down(&member.descriptor) == probe_down)
            .min_by_key(|member| {
                (
                    member.unacknowledged_views == 0,
                    member.last_seen_at,
                    member.unacknowledged_views,
                )
            })
            .map(|member| member.descriptor.vm.clone());
        if let Some(vm) = target {
            self.publish(&vm, true);
        }
    }

    pub(super) fn publish(&mut self, vm: &id::Vm, reply_requested: bool) {
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        let address = member.descriptor.peer_address;
        let peer_versions = PeerVersions::new(
            member.source_reached,
            member.takes_manifests,
            member.manifest_version,
            member.revision,
        );
        let view = self.view(peer_versions, DESCRIPTORS_MAX, reply_requested);
        self.emit(Effect::PublishView { address, view });
    }

    /// Publishes to a VM that is to reply with its manifest.
    pub(super) fn publish_manifest_request(&mut self, vm: &id::Vm) {
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        let address = member.descriptor.peer_address;
        let mut view = self.view(PeerVersions::default(), DESCRIPTORS_MAX, true);
        view.manifest_wish = ManifestWish::Reply;
        self.emit(Effect::PublishView { address, view });
    }

    /// Publishes to a VM that has been found to be down, with the descriptor that says so: only the VM itself can refute
    /// it.
    pub(super) fn publish_to_down(&mut self, vm: &id::Vm) {
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        let descriptor = member.descriptor.clone();
        let address = descriptor.peer_address;
        let mut view = self.view(PeerVersions::default(), DESCRIPTORS_MAX, true);
        view.members.push(descriptor);
        self.emit(Effect::PublishView { address, view });
    }

    fn publish_to_address(&mut self, address: SocketAddr, reply_requested: bool) {
        // The versions at an unknown VM are unknown too, so no manifest or list is sent.
        let view = self.view(PeerVersions::default(), DESCRIPTORS_MAX, reply_requested);
        self.emit(Effect::PublishView { address, view });
    }

    /// This process's view with at most `limit` descriptors: the most recently changed ones, and a
    /// random choice of others.
    fn view(&mut self, peer_versions: PeerVersions, limit: usize, reply_requested: bool) -> View {
        let recent = self.now.saturating_sub(CHANGE_PRIORITY_TIME);
        let (mut members, old): (Vec<&Member>, Vec<&Member>) = self
            .state
            .members
            .iter()
            .partition(|member| member.changed_at > recent);
        members.sort_by_key(|member| std::cmp::Reverse(member.changed_at));
        members.truncate(limit);
        let random = limit
            .saturating_sub(members.len())
            .min(RANDOM_DESCRIPTORS_MAX);
        members.extend(old.into_iter().choose_multiple(&mut self.state.rng, random));
        let members = members
            .into_iter()
            .map(|member| member.descriptor.clone())
            .collect();
        let send_manifest = peer_versions.lacks_manifest(self.manifest_version());
        let send_runners = peer_versions.lacks_runners(self.state.pool.revision);
        View {
            members,
            manifest: self.state.manifest.clone().filter(|_| send_manifest),
            runners: (send_runners && self.state.pool_loaded).then(|| self.runner_list()),
            reply_requested,
            ..self.load_view()
        }
    }

    /// This process's view with its load, but without descriptors of other VMs. With allocators it has
    /// no load: they are told that by claims.
    pub(super) fn load_view(&self) -> View {
        let is_shared = !self.state.policy.allocators;
        View {
            sender: self.state.local.clone(),
            members: Vec::new(),
            manifest_version: self.manifest_version(),
            manifest: None,
            revision: self.state.pool.revision,
            last_change: self.state.pool.last_change,
            runners: None,
            source_reached: self.state.source_reached,
            loads: if is_shared {
                self.local_loads()
            } else {
                Vec::new()
            },
            waiting_calls: if is_shared {
                self.local_waiting_calls()
            } else {
                0
            },
            digest: self.digest(),
            limits: Vec::new(),
            crashes: None,
            departure_digest: self.state.pool.departures.digest(),
            departures: Vec::new(),
            unreached: self.state.unreached.iter().cloned().collect(),
            reached: self.reached_suspects(),
            has_slowdowns: self.has_slowdowns(),
            manifest_wish: ManifestWish::NotNow,
            reply_requested: false,
        }
    }

    pub(super) fn handle_view(&mut self, view: View) {
        let View {
            sender,
            members,
            manifest_version,
            manifest,
            revision,
            last_change,
            runners,
            source_reached,
            loads,
            waiting_calls,
            digest,
            limits,
            crashes,
            departure_digest,
            departures,
            unreached,
            reached,
            has_slowdowns,
            manifest_wish,
            reply_requested,
        } = view;
        let era = revision::era(self.state.pool.revision);
        let revision = revision::in_era(revision, era);
        let last_change = revision::in_era(last_change, era);
        if sender.vm == self.state.local.vm {
            return;
        }
        let peer = sender.vm.clone();
        let serves = matches!(sender.status, Status::Ready | Status::Leaving);
        self.merge(sender);
        self.record_peer_load(&peer, loads, waiting_calls);
        for descriptor in members {
            self.merge(descriptor);
        }
        if source_reached && manifest_version == self.manifest_version() {
            self.state.manifest_confirmed_at = self.now;
        }
        let now = self.now;
        let mut is_first = false;
        if let Some(member) = self.state.members.get_mut(&peer) {
            is_first = member.last_seen_at.is_none();
            member.source_reached = source_reached;
            member.takes_manifests = manifest_wish == ManifestWish::Always;
            member.unreached = unreached;
            member.has_slowdowns = has_slowdowns;
            for endpoint in reached {
                member.mark_reaching(&endpoint, now);
            }
            member.last_seen_at = Some(now);
            member.unacknowledged_views = 0;
            member.manifest_version = manifest_version;
            member.revision = revision;
            member.last_change = last_change;
        }
        if let Some(manifest) = manifest {
            self.handle_manifest(manifest);
        }
        if !self.state.source_reached && manifest_version > self.manifest_version() {
            self.ask_manifest(&peer);
        }
        if let Some(runners) = runners {
            // A peer's list is used only while the configuration service is unreachable.
            if !self.state.source_reached && revision > self.state.pool.revision {
                let runners = runners.into_iter().map(|runner| pool::Descriptor {
                    revision: revision::in_era(runner.revision, era),
                    ..runner
                });
                self.handle_pool(runners.collect(), revision);
            }
        }
        if let Some(report) = crashes {
            self.handle_crash_report(report);
        }
        self.handle_limits(limits);
        self.handle_departures(departures);
        let differs = digest != self.digest();
        self.state.introduced |= serves && !differs;
        let lacks_departures = departure_digest != self.state.pool.departures.digest();
        let news = self.news_for(&peer, is_first || differs || lacks_departures);
        let has_news = !news.is_empty();
        let takes_manifest = manifest_wish != ManifestWish::NotNow;
        let peer_versions =
            PeerVersions::new(source_reached, takes_manifest, manifest_version, revision);
        let is_behind = peer_versions.lacks_manifest(self.manifest_version())
            || peer_versions.lacks_runners(self.state.pool.revision);
        // A VM that has not sent a view before may not know any other.
        let limit = if is_first {
            INITIAL_DESCRIPTORS_MAX
        } else {
            DESCRIPTORS_MAX
        };
        if reply_requested || is_behind || has_news {
            let address = self
                .state
                .members
                .get(&peer)
                .map(|member| member.descriptor.peer_address);
            let view = news.into_view(self.view(peer_versions, limit, false));
            if let Some(address) = address {
                self.emit(Effect::PublishView { address, view });
            }
        }
    }

    /// The share of the fleet that this VM reaches, itself included.
    pub(super) fn reached_share(&self) -> f64 {
        let members = self.state.members.iter();
        let reached = members
            .filter(|member| member.descriptor.status != Status::Down)
            .filter(|member| member.is_reached());
        (reached.count() + 1) as f64 / self.state.members.peak_size.max(1) as f64
    }

    fn merge(&mut self, descriptor: Descriptor) {
        if descriptor.vm == self.state.local.vm {
            return self.refute(&descriptor);
        }
        let known = self.state.members.get(&descriptor.vm);
        let known = known.map(|member| (member.descriptor.incarnation, member.descriptor.status));
        let (vm, incarnation, status) = (
            descriptor.vm.clone(),
            descriptor.incarnation,
            descriptor.status,
        );
        if !self.state.members.merge(descriptor, self.now) {
            return;
        }
        if known.is_none_or(|(before, _)| before != incarnation) && status < Status::Leaving {
            self.tell_sessions(&vm);
        }
        if known.is_some_and(|(_, before)| before == status) {
            return;
        }
        self.log(Entry::new(Kind::Member).outcome(format!("{vm} {status}")));
        if status == Status::Down {
            self.take_back(&vm);
        }
        if status >= Status::Leaving {
            self.publish_to_sample();
        }
    }

    /// Supersedes a descriptor of this VM that would override its own: one of an earlier
    /// incarnation that has a higher number because the clock was set back since, or one with a
    /// later status, such as when a peer reports this VM as down.
    fn refute(&mut self, descriptor: &Descriptor) {
        let local = &mut self.state.local;
        if descriptor.incarnation > local.incarnation {
            local.incarnation = descriptor.incarnation + 1;
        } else if descriptor.incarnation == local.incarnation
            && (descriptor.version > local.version
                || (descriptor.version == local.version && descriptor.status > local.status))
        {
            local.version = descriptor.version + 1;
        }
    }

    pub(super) fn handle_unresponsive_peer(&mut self, address: SocketAddr) {
        let now = self.now;
        let Some(member) = self.state.members.find_by_address_mut(address) else {
            return;
        };
        // Views that were lost in one outage count once.
        if member.missed_at.is_some_and(|at| at + PROBE_INTERVAL > now) {
            return;
        }
        member.missed_at = Some(now);
        member.unacknowledged_views += 1;
        if member.unacknowledged_views < UNACKNOWLEDGED_VIEWS_MAX
            || member.descriptor.status == Status::Down
        {
            return;
        }
        let descriptor = Descriptor {
            status: Status::Down,
            ..member.descriptor.clone()
        };
        self.merge(descriptor);
    }

    /// Publishes a change to a random sample of the other VMs.
    pub(super) fn publish_to_sample(&mut self) {
        for vm in self.sample_members() {
            self.publish(&vm, false);
        }
    }

    /// A random sample of the other VMs.
    pub(super) fn sample_members(&mut self) -> Vec<id::Vm> {
        let members = self
            .state
            .members
            .iter()
            .filter(|member| member.descriptor.status < Status::Down)
            .map(|member| member.descriptor.vm.clone());
        members.choose_multiple(&mut self.state.rng, PUBLISH_FANOUT)
    }

    /// Publishes the status of this VM if it has changed.
    pub(super) fn publish_status(&mut self) {
        let status = if self.state.exited {
            Status::Down
        } else if self.state.leave.is_some() {
            Status::Leaving
        } else if self.state.is_ready() {
            Status::Ready
        } else {
            Status::Joining
        };
        if self.state.local.status == status {
            return;
        }
        self.state.local.status = status;
        self.state.local.version += 1;
        let vm = self.state.local.vm.clone();
        self.log(Entry::new(Kind::Member).outcome(format!("{vm} {status}")));
        self.publish_to_sample();
    }
}
