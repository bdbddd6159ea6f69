//! The fleet as its members tell each other: who takes callers, who leaves, who is silent.
//!
//! Each VM probes one other at a time and sends its view along. A statement about a VM is ordered
//! by its incarnation and version, and only the VM itself raises them: one that hears itself called
//! down answers with a higher version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id;
use crate::manifest::Manifest;
use crate::pool;

/// What a VM is said to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It runs but takes no callers yet.
    Joining,
    /// It takes callers.
    Ready,
    /// It leaves; what it has is served to its end.
    Leaving,
    /// It does not answer, or has left.
    Down,
}

/// What is said of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Its name.
    pub vm: id::Vm,
    /// Its boot; a later boot has a higher number.
    pub incarnation: id::Incarnation,
    /// Order of statements about this boot.
    pub version: u64,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// What it does.
    pub status: Status,
}

impl Descriptor {
    fn order(&self) -> (id::Incarnation, u64, Status) {
        (self.incarnation, self.version, self.status)
    }
}

/// What one VM tells another; `M` is the form of the manifest.
#[derive(Debug, Clone)]
pub struct View<M = Arc<Manifest>> {
    /// The sender.
    pub sender: Descriptor,
    /// What it knows of the others.
    pub members: Vec<Descriptor>,
    /// Version of its manifest; 0 for none.
    pub manifest_version: id::Version,
    /// The manifest itself, where the receiver is known to have an older one.
    pub manifest: Option<M>,
    /// Position of its list of runners.
    pub revision: id::Revision,
    /// Position of the last change of that list.
    pub last_change: id::Revision,
    /// The list itself, where the receiver is known to have an older one.
    pub runners: Option<Vec<pool::Descriptor>>,
    /// Whether the sender reaches the configuration service itself.
    pub source_reached: bool,
    /// The sender's work under way at engines.
    pub loads: Vec<(id::Runner, pool::Load)>,
    /// Calls of the sender that wait for room at an engine and can still be on time.
    pub waiting_calls: u32,
    /// Whether an answer is wanted.
    pub reply_requested: bool,
}

impl<M> View<M> {
    /// The same view with a manifest in another form.
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
            reply_requested: self.reply_requested,
        }
    }
}

/// What is known of one VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// What is said of it.
    pub descriptor: Descriptor,
    /// When it was last heard itself.
    pub last_seen_at: Option<Duration>,
    /// When its card last changed.
    pub changed_at: Duration,
    /// Probes in a row without an answer.
    pub missed_probes: u32,
    /// Version of its manifest when last heard.
    pub manifest_version: id::Version,
    /// Position of its list when last heard.
    pub revision: id::Revision,
    /// Position of the last change of that list.
    pub last_change: id::Revision,
    /// Whether it reached the configuration service when last heard.
    pub source_reached: bool,
}

/// The other VMs.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<id::Vm, Member>,
    /// Most VMs that were seen to run at once, with this one.
    pub peak_size: usize,
}

impl Table {
    /// The other VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Finds a VM.
    pub fn get(&self, vm: &id::Vm) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Finds a VM to change it.
    pub fn get_mut(&mut self, vm: &id::Vm) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }

    /// Finds a VM by the address that peers use.
    pub fn find_by_address_mut(&mut self, address: SocketAddr) -> Option<&mut Member> {
        self.members
            .values_mut()
            .find(|member| member.descriptor.peer_address == address)
    }

    /// Takes a statement; tells whether it is news.
    pub fn merge(&mut self, descriptor: Descriptor, now: Duration) -> bool {
        let is_newer = match self.members.get_mut(&descriptor.vm) {
            Some(member) if member.descriptor.order() >= descriptor.order() => false,
            Some(member) => {
                member.descriptor = descriptor;
                member.changed_at = now;
                member.missed_probes = 0;
                true
            }
            None => {
                let member = Member {
                    descriptor: descriptor.clone(),
                    last_seen_at: None,
                    changed_at: now,
                    missed_probes: 0,
                    manifest_version: 0,
                    revision: 0,
                    last_change: 0,
                    source_reached: true,
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

    /// Forgets VMs that have been down for long.
    pub fn evict_down(&mut self, now: Duration, after: Duration) {
        self.members.retain(|_, member| {
            member.descriptor.status != Status::Down || member.changed_at + after > now
        });
    }
}
