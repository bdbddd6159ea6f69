//! Which addresses callers should use, and which process witnesses for which.

use rand::seq::SliceRandom;
use rand::Rng;

use crate::event::{Effect, Entry};
use crate::id::{Exchange, Vm, Zone};
use crate::message::Status;
use crate::state::Lifecycle;
use crate::token::Instance;

use super::Step;

/// Processes among which the witnesses of one owner's tokens are.
const WITNESSES: usize = 2;

struct Candidate {
    instance: Instance,
    zone: Zone,
    address: std::net::SocketAddr,
}

impl Step<'_> {
    /// Answers with live addresses in random order, those of the caller's zone first.
    pub(super) fn entries_asked(&mut self, exchange: Exchange, zone: Option<Zone>) {
        let mut candidates = self.candidates();
        candidates.shuffle(&mut self.state.rng);
        if let Some(zone) = zone {
            candidates.sort_by_key(|candidate| candidate.zone != zone);
        }
        candidates.truncate(self.state.settings.entries_max);
        let entries = candidates
            .into_iter()
            .map(|candidate| self.entry(candidate))
            .collect();
        let max_age = self.state.settings.entries_max_age;
        self.emit(Effect::Entries {
            exchange,
            entries,
            max_age,
        });
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut all: Vec<Candidate> = Vec::new();
        let settings = &self.state.settings;
        if self.state.lifecycle == Lifecycle::Running && self.state.not_ready(self.now.up).is_none()
        {
            all.push(Candidate {
                instance: self.state.instance,
                zone: settings.zone.clone(),
                address: settings.caller_address,
            });
        }
        for member in self
            .state
            .members
            .iter()
            .filter(|member| member.can_accept_callers())
        {
            all.push(Candidate {
                instance: member.instance(),
                zone: member.descriptor.zone.clone(),
                address: member.descriptor.caller_address,
            });
        }
        all
    }

    /// Addresses of other processes that take callers, in random order.
    pub(super) fn other_addresses(&mut self) -> Vec<std::net::SocketAddr> {
        let members = self
            .state
            .members
            .iter()
            .filter(|member| member.can_accept_callers());
        let mut all: Vec<_> = members
            .map(|member| member.descriptor.caller_address)
            .collect();
        all.shuffle(&mut self.state.rng);
        all.truncate(self.state.settings.entries_max);
        all
    }

    fn entry(&mut self, candidate: Candidate) -> Entry {
        let token = self.mint(candidate.instance, &candidate.zone);
        Entry {
            vm: candidate.instance.vm,
            zone: candidate.zone,
            address: candidate.address,
            token: token.encode(&self.state.ring),
        }
    }

    /// Picks a witness for an owner: one of the first few by a hash of both, in another zone than the
    /// owner's where there is one.
    ///
    /// An owner's messages to its witnesses go to few processes so that they share calls, and each
    /// process witnesses for few owners.
    pub(super) fn pick_witness(&mut self, owner: Instance, zone: &str) -> Option<Instance> {
        let mut seats: Vec<(Instance, bool)> = Vec::new();
        for member in self.state.members.iter() {
            let good = member.descriptor.status == Status::Up && member.can_accept_callers();
            if good && member.descriptor.vm != owner.vm {
                seats.push((member.instance(), &*member.descriptor.zone != zone));
            }
        }
        if owner.vm != self.state.instance.vm && self.state.lifecycle == Lifecycle::Running {
            seats.push((self.state.instance, &*self.state.settings.zone != zone));
        }
        seats.sort_by_key(|(instance, elsewhere)| (!elsewhere, rank(owner.vm, instance.vm)));
        if seats.first().is_some_and(|(_, elsewhere)| *elsewhere) {
            seats.retain(|(_, elsewhere)| *elsewhere);
        }
        seats.truncate(WITNESSES);
        let at = self.state.rng.random_range(0..seats.len().max(1));
        seats.get(at).map(|(instance, _)| *instance)
    }

    /// Random members that answer, without `except`.
    pub(super) fn random_members(&mut self, count: usize, except: Option<Vm>) -> Vec<Vm> {
        let mut vms: Vec<Vm> = self
            .state
            .members
            .iter()
            .filter(|member| member.is_reachable() && Some(member.descriptor.vm) != except)
            .map(|member| member.descriptor.vm)
            .collect();
        vms.shuffle(&mut self.state.rng);
        vms.truncate(count);
        vms
    }
}

/// Order of a VM among another's witnesses.
fn rank(owner: Vm, vm: Vm) -> u64 {
    let pair = (u64::from(owner) << 32) | u64::from(vm);
    let mixed = pair.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
