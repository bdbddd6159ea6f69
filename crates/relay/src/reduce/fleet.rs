//! The other VMs: probes, what they tell, and what they are told.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom as _;

use crate::decision_log::{Entry, Kind};
use crate::event::Effect;
use crate::id;
use crate::member::{Descriptor, Member, Status, View};

use super::Reducer;

/// Interval of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which seeds that are not known as members are asked.
const SEEDS_INTERVAL: Duration = Duration::from_millis(500);
/// Probes in a row without an answer after which a VM is said to be down.
const SILENT_MAX: u32 = 2;
/// One probe in so many goes to a VM that is down, in case it is not.
const DOWN_EVERY: u64 = 5;
/// How long a changed card is told to every peer.
const NEWS_KEPT: Duration = Duration::from_secs(4);
/// Cards told in one view.
const CARDS_TOLD: usize = 10;
/// Cards told besides the news.
const CARDS_BESIDES: usize = 4;
/// Cards told to a VM that is heard for the first time.
const CARDS_FIRST: usize = 64;
/// VMs that are told news at once.
const FAN_OUT: usize = 8;
/// How long a VM that is down stays known.
const DOWN_KEPT: Duration = Duration::from_secs(60);

/// What a peer can't read from the configuration service itself: older than these it has.
#[derive(Debug, Clone, Copy, Default)]
struct PeerVersions {
    manifest_version: Option<id::Version>,
    revision: Option<id::Revision>,
}

impl PeerVersions {
    fn of(source_reached: bool, version: id::Version, revision: id::Revision) -> Self {
        Self {
            manifest_version: (!source_reached).then_some(version),
            revision: (!source_reached).then_some(revision),
        }
    }
}

impl Reducer<'_> {
    pub(super) fn tick_fleet(&mut self) {
        self.state.members.evict_down(self.now, DOWN_KEPT);
        if self.now >= self.state.next_seed_query_at {
            self.state.next_seed_query_at = self.now + SEEDS_INTERVAL;
            self.query_seeds();
        }
        if self.now >= self.state.next_probe_at {
            self.state.next_probe_at = self.now + PROBE_INTERVAL;
            self.probe();
        }
    }

    fn query_seeds(&mut self) {
        let me = self.state.local.peer_address;
        let unknown: Vec<SocketAddr> = self
            .state
            .seeds
            .clone()
            .into_iter()
            .filter(|seed| *seed != me && self.state.members.find_by_address_mut(*seed).is_none())
            .collect();
        for seed in unknown {
            self.publish_to(seed, true);
        }
    }

    fn probe(&mut self) {
        self.state.probe_count += 1;
        let want_down = self.state.probe_count % DOWN_EVERY == 0;
        let down = |descriptor: &Descriptor| descriptor.status == Status::Down;
        let any_down = self
            .state
            .members
            .iter()
            .any(|member| down(&member.descriptor));
        let want_down = want_down && any_down;
        // The one that was heard longest ago, so that each has its turn.
        let target = self
            .state
            .members
            .iter()
            .filter(|member| down(&member.descriptor) == want_down)
            .min_by_key(|member| {
                (
                    member.missed_probes == 0,
                    member.last_seen_at,
                    member.missed_probes,
                )
            })
            .map(|member| member.descriptor.vm.clone());
        if let Some(vm) = target {
            self.publish(&vm, true);
        }
    }

    fn publish(&mut self, vm: &id::Vm, reply_requested: bool) {
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        let address = member.descriptor.peer_address;
        let peer_versions = PeerVersions::of(
            member.source_reached,
            member.manifest_version,
            member.revision,
        );
        let view = self.view(peer_versions, CARDS_TOLD, reply_requested);
        self.emit(Effect::PublishView { address, view });
    }

    fn publish_to(&mut self, address: SocketAddr, reply_requested: bool) {
        // What an unknown VM has is not known either, so it is sent nothing large.
        let view = self.view(PeerVersions::default(), CARDS_TOLD, reply_requested);
        self.emit(Effect::PublishView { address, view });
    }

    /// This process's view, with so many cards: those that changed last, and some others.
    fn view(
        &mut self,
        peer_versions: PeerVersions,
        descriptors: usize,
        reply_requested: bool,
    ) -> View {
        let news = self.now.saturating_sub(NEWS_KEPT);
        let (mut members, old): (Vec<&Member>, Vec<&Member>) = self
            .state
            .members
            .iter()
            .partition(|member| member.changed_at > news);
        members.sort_by_key(|member| std::cmp::Reverse(member.changed_at));
        members.truncate(descriptors);
        let besides = descriptors.saturating_sub(members.len()).min(CARDS_BESIDES);
        members.extend(
            old.into_iter()
                .choose_multiple(&mut self.state.rng, besides),
        );
        let members = members
            .into_iter()
            .map(|member| member.descriptor.clone())
            .collect();
        let mine = self.manifest_version();
        let manifest = peer_versions
            .manifest_version
            .is_some_and(|version| version < mine);
        let known = self.state.pool.revision;
        let runners = peer_versions
            .revision
            .is_some_and(|revision| revision < known);
        View {
            members,
            manifest: self.state.manifest.clone().filter(|_| manifest),
            runners: (runners && self.state.pool_loaded).then(|| self.listed()),
            reply_requested,
            ..self.load_view()
        }
    }

    /// This process's view with its work alone.
    pub(super) fn load_view(&self) -> View {
        View {
            sender: self.state.local.clone(),
            members: Vec::new(),
            manifest_version: self.manifest_version(),
            manifest: None,
            revision: self.state.pool.revision,
            last_change: self.state.pool.last_change,
            runners: None,
            source_reached: self.state.source_reached,
            loads: self.local_loads(),
            waiting_calls: self.local_waiting(),
            reply_requested: false,
        }
    }

    pub(super) fn view_received(&mut self, view: View) {
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
            reply_requested,
        } = view;
        if sender.vm == self.state.local.vm {
            return;
        }
        let peer = sender.vm.clone();
        self.merge(sender);
        self.record_peer_load(&peer, loads, waiting_calls);
        for descriptor in members {
            self.merge(descriptor);
        }
        let now = self.now;
        let mut first = false;
        if let Some(member) = self.state.members.get_mut(&peer) {
            first = member.last_seen_at.is_none();
            member.source_reached = source_reached;
            member.last_seen_at = Some(now);
            member.missed_probes = 0;
            member.manifest_version = manifest_version;
            member.revision = revision;
            member.last_change = last_change;
        }
        if let Some(manifest) = manifest {
            self.manifest_read(manifest);
        }
        if let Some(runners) = runners {
            // A peer's list counts only while the service itself can't be asked.
            if !self.state.source_reached && revision > self.state.pool.revision {
                self.pool_read(runners, revision);
            }
        }
        let peer_versions = PeerVersions::of(source_reached, manifest_version, revision);
        let behind = !source_reached
            && (manifest_version < self.manifest_version() || revision < self.state.pool.revision);
        // A VM that asks for the first time knows nobody yet.
        let descriptors = if first { CARDS_FIRST } else { CARDS_TOLD };
        if reply_requested || behind {
            let address = self
                .state
                .members
                .get(&peer)
                .map(|member| member.descriptor.peer_address);
            let view = self.view(peer_versions, descriptors, false);
            if let Some(address) = address {
                self.emit(Effect::PublishView { address, view });
            }
        }
    }

    fn merge(&mut self, descriptor: Descriptor) {
        if descriptor.vm == self.state.local.vm {
            return self.refute(&descriptor);
        }
        let known = self
            .state
            .members
            .get(&descriptor.vm)
            .map(|member| member.descriptor.status);
        let (vm, status) = (descriptor.vm.clone(), descriptor.status);
        if !self.state.members.merge(descriptor, self.now) || known == Some(status) {
            return;
        }
        self.log(Entry::new(Kind::Member).outcome(format!("{vm} {status}")));
        if status >= Status::Leaving {
            self.publish_to_some();
        }
    }

    /// Corrects what others say of this process: an earlier boot, or a mistaken end.
    fn refute(&mut self, descriptor: &Descriptor) {
        let me = &mut self.state.local;
        if descriptor.incarnation > me.incarnation {
            me.incarnation = descriptor.incarnation + 1;
        } else if descriptor.incarnation == me.incarnation
            && (descriptor.version > me.version
                || (descriptor.version == me.version && descriptor.status > me.status))
        {
            me.version = descriptor.version + 1;
        }
    }

    pub(super) fn peer_unresponsive(&mut self, address: SocketAddr) {
        let Some(member) = self.state.members.find_by_address_mut(address) else {
            return;
        };
        member.missed_probes += 1;
        if member.missed_probes < SILENT_MAX || member.descriptor.status == Status::Down {
            return;
        }
        let descriptor = Descriptor {
            status: Status::Down,
            ..member.descriptor.clone()
        };
        self.merge(descriptor);
    }

    /// Tells a few VMs at once what has changed.
    fn publish_to_some(&mut self) {
        let members = self
            .state
            .members
            .iter()
            .filter(|member| member.descriptor.status < Status::Down)
            .map(|member| member.descriptor.vm.clone());
        let chosen = members.choose_multiple(&mut self.state.rng, FAN_OUT);
        for vm in chosen {
            self.publish(&vm, false);
        }
    }

    /// Tells the others when this process begins or ends to take callers.
    pub(super) fn publish_status(&mut self) {
        let status = if self.state.exited {
            Status::Down
        } else if self.state.leaving_since.is_some() {
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
        self.publish_to_some();
    }
}
