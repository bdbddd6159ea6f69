//! Membership of the fleet, exchanged between VMs by gossip.
//!
//! Each VM probes one other VM at a time and sends its view with the probe. Descriptors of a VM are
//! ordered by incarnation and version, and only the VM itself raises these: a VM that learns that
//! it is reported as down replies with a higher version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::crash;
use crate::departure;
use crate::id;
use crate::limit;
use crate::manifest::Manifest;
use crate::pool;

/// Lifecycle status of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// Running, but not accepting callers yet.
    Joining,
    /// Accepting callers.
    Ready,
    /// Shutting down; requests in progress are completed.
    Leaving,
    /// Unresponsive, or shut down.
    Down,
}

/// Description of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Incarnation of the VM. A later one has a higher number, unless the clock was set back: the
    /// VM then raises its number once it learns of the earlier one.
    pub incarnation: id::Incarnation,
    /// Orders descriptors of the same incarnation.
    pub version: u64,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Lifecycle status.
    pub status: Status,
    /// How much it can do compared to others: its share of a processor times its bandwidth.
    pub weight: u32,
}

impl Descriptor {
    fn order(&self) -> (id::Incarnation, u64, Status) {
        (self.incarnation, self.version, self.status)
    }
}

/// Whether the sender of a view takes a manifest that is newer than its own. One that reaches the configuration service
/// needs none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ManifestWish {
    /// With any view. Releases that don't ask for manifests are read as this.
    #[default]
    Always,
    /// Not now: it asks one VM at a time.
    NotNow,
    /// With the reply to this view.
    Reply,
}

/// One VM's view of the fleet, as sent to a peer; `M` is the representation of the manifest.
#[derive(Debug, Clone)]
pub struct View<M = Arc<Manifest>> {
    /// The sender.
    pub sender: Descriptor,
    /// Descriptors of other VMs.
    pub members: Vec<Descriptor>,
    /// Version of the sender's manifest; 0 for none.
    pub manifest_version: id::Version,
    /// The manifest itself, if the receiver is known to have an older one.
    pub manifest: Option<M>,
    /// Revision of the sender's list of runners.
    pub revision: id::Revision,
    /// Revision of the last change of that list.
    pub last_change: id::Revision,
    /// The list itself, if the receiver is known to have an older one.
    pub runners: Option<Vec<pool::Descriptor>>,
    /// Whether the sender itself reaches the configuration service.
    pub source_reached: bool,
    /// The sender's load in flight at engines.
    pub loads: Vec<(id::Runner, pool::Load)>,
    /// Calls at the sender that wait for engine capacity, without those that can no longer meet
    /// their target latency.
    pub waiting_calls: u32,
    /// Digest of the quarantined parts and the limits that the sender knows.
    pub digest: u64,
    /// Limits of runners that the sender has news of, or that the receiver may lack.
    pub limits: Vec<limit::Record>,
    /// What the sender knows of crashes, if it has news or the receiver is known to lack some.
    pub crashes: Option<crash::Report>,
    /// Digest of the runners of which the sender knows that they leave.
    pub departure_digest: u64,
    /// Runners that leave, of which the sender has news, or that the receiver may lack.
    pub departures: Vec<departure::Record>,
    /// Endpoints of which the sender reaches no runner, or none of a stage.
    pub unreached: Vec<id::Endpoint>,
    /// Endpoints which some VM does not reach, and of which the sender has just reached a runner of each stage.
    pub reached: Vec<id::Endpoint>,
    /// Whether a runner has told the sender itself its slowdown.
    pub has_slowdowns: bool,
    /// Whether the sender takes a manifest.
    pub manifest_wish: ManifestWish,
    /// Whether a reply is requested.
    pub reply_requested: bool,
}

impl<M> View<M> {
    /// Replaces the manifest by another representation of it.
    pub fn with_manifest<N>(self, manifest: Option<N>) -> View<N> {
        View {
            sender: self.sender,
            members: self.members,
            manifest_version: self.manifest_version,
            manifest,
            revision: self.revision,
            last_change: self.last_change,
            runners: self.runners,
            source_reached: self.source_reached,
            loads: self.loads,
            waiting_calls: self.waiting_calls,
            digest: self.digest,
            limits: self.limits,
            crashes: self.crashes,
            departure_digest: self.departure_digest,
            departures: self.departures,
            unreached: self.unreached,
            reached: self.reached,
            has_slowdowns: self.has_slowdowns,
            manifest_wish: self.manifest_wish,
            reply_requested: self.reply_requested,
        }
    }
}

/// What is known of another VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its latest descriptor.
    pub descriptor: Descriptor,
    /// When a message of the VM itself was last received.
    pub last_seen_at: Option<Duration>,
    /// When its descriptor last changed.
    pub changed_at: Duration,
    /// Consecutive views, probes among them, that it did not acknowledge in time.
    pub unacknowledged_views: u32,
    /// When it last left a view unacknowledged.
    pub missed_at: Option<Duration>,
    /// When it was last told all that is known of crashes, limits and departures.
    pub informed_at: Option<Duration>,
    /// Version of its manifest, as of its last message.
    pub manifest_version: id::Version,
    /// Revision of its list of runners, as of its last message.
    pub revision: id::Revision,
    /// Revision of the last change of that list.
    pub last_change: id::Revision,
    /// Whether it reached the configuration service, as of its last message.
    pub source_reached: bool,
    /// Whether it takes a manifest with any view, as of its last message.
    pub takes_manifests: bool,
    /// Endpoints of which it reaches no runner, or none of a stage, as of its last message.
    pub unreached: Vec<id::Endpoint>,
    /// Whether a runner has told it its slowdown, as of its last message.
    pub has_slowdowns: bool,
    /// When it last told, or showed, that it reaches an endpoint.
    pub reached_at: BTreeMap<id::Endpoint, Duration>,
}

impl Member {
    /// Records that it reaches an endpoint.
    pub fn mark_reaching(&mut self, endpoint: &id::Endpoint, now: Duration) {
        self.unreached.retain(|other| other != endpoint);
        self.reached_at.insert(endpoint.clone(), now);
    }

    /// Records that it does not reach an endpoint, until it tells otherwise.
    pub fn mark_unreaching(&mut self, endpoint: &id::Endpoint) {
        self.reached_at.remove(endpoint);
        if !self.unreached.contains(endpoint) {
            self.unreached.push(endpoint.clone());
        }
    }

    /// How long ago it was known to reach an endpoint; none if that is unknown or was longer ago than `time`.
    pub fn reached_ago(
        &self,
        endpoint: &id::Endpoint,
        time: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let reached_at = self.reached_at.get(endpoint)?;
        Some(now.saturating_sub(*reached_at)).filter(|age| *age <= time)
    }

    /// Whether it acknowledges views, as far as is known.
    pub fn is_reached(&self) -> bool {
        self.unacknowledged_views == 0
    }

    /// Whether it was found to be down less than `time` ago. It may only be paused.
    pub fn is_newly_down(&self, time: Duration, now: Duration) -> bool {
        self.descriptor.status == Status::Down && self.changed_at + time > now
    }

    /// Whether it shuts down, ends what it has and acknowledges views.
    pub fn is_leaving(&self) -> bool {
        self.descriptor.status == Status::Leaving && self.is_reached()
    }

    /// Whether it accepts callers and acknowledges views.
    pub fn is_serving(&self) -> bool {
        self.descriptor.status == Status::Ready && self.is_reached()
    }
}

/// The other VMs of the fleet.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<id::Vm, Member>,
    /// Largest number of VMs seen running at the same time, this one included.
    pub peak_size: usize,
}

impl Table {
    /// Iterates over the other VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Looks up a VM.
    pub fn get(&self, vm: &id::Vm) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Looks up a VM for modification.
    pub fn get_mut(&mut self, vm: &id::Vm) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }

    /// Looks up a VM for modification, by its address for peers.
    pub fn find_by_address_mut(&mut self, address: SocketAddr) -> Option<&mut Member> {
        self.members
            .values_mut()
            .find(|member| member.descriptor.peer_address == address)
    }

    /// Merges a descriptor; returns whether the VM was unknown or the descriptor is newer than the
    /// known one.
    pub fn merge(&mut self, descriptor: Descriptor, now: Duration) -> bool {
        let is_newer = match self.members.get_mut(&descriptor.vm) {
            Some(member) if member.descriptor.order() >= descriptor.order() => false,
            Some(member) => {
                member.descriptor = descriptor;
                member.changed_at = now;
                member.unacknowledged_views = 0;
                true
            }
            None => {
                let member = Member {
                    descriptor: descriptor.clone(),
                    last_seen_at: None,
                    changed_at: now,
                    unacknowledged_views: 0,
                    missed_at: None,
                    informed_at: None,
                    manifest_version: 0,
                    revision: 0,
                    last_change: 0,
                    source_reached: true,
                    takes_manifests: false,
                    unreached: Vec::new(),
                    has_slowdowns: false,
                    reached_at: BTreeMap::new(),
                };
                self.members.insert(descriptor.vm, member);
                true
            }
        };
        let running = self
            .members
            .values()
            .filter(|member| member.descriptor.status < Status::Down)
            .count();
        self.peak_size = self.peak_size.max(running + 1);
        is_newer
    }

    /// Evicts VMs that have been down for longer than `after`.
    pub fn evict_down(&mut self, now: Duration, after: Duration) {
        self.members.retain(|_, member| {
            member.descriptor.status != Status::Down || member.changed_at + after > now
        });
    }
}
