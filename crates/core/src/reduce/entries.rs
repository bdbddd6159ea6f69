//! Discovery of entry VMs for callers, and assignment of witnesses to owners.

use rand::seq::SliceRandom;
use rand::Rng;

use crate::event::{Effect, Entry};
use crate::id::{Exchange, Vm, Zone};
use crate::message::Status;
use crate::state::Lifecycle;
use crate::token::Instance;

use super::Reducer;

/// Number of processes among which the witness for an owner's token is chosen.
const WITNESS_CANDIDATES: usize = 2;

struct Candidate {
    instance: Instance,
    zone: Zone,
    address: std::net::SocketAddr,
}

impl Reducer<'_> {
    /// Answers with the addresses of available VMs in random order, those in the caller's zone
    /// first.
    pub(super) fn handle_entries_query(&mut self, exchange: Exchange, zone: Option<Zone>) {
        let mut candidates = self.entry_candidates();
        candidates.shuffle(&mut self.state.rng);
        if let Some(zone) = zone {
            candidates.sort_by_key(|candidate| candidate.zone != zone);
        }
        candidates.truncate(self.state.settings.entries_max);
        let entries = candidates
            .into_iter()
            .map(|candidate| self.make_entry(candidate))
            .collect();
        let max_age = self.state.settings.entries_max_age;
        self.emit(Effect::Entries {
            exchange,
            entries,
            max_age,
        });
    }

    fn entry_candidates(&self) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        let settings = &self.state.settings;
        if self.state.lifecycle == Lifecycle::Running
            && self.state.unready_reason(self.now.up).is_none()
        {
            candidates.push(Candidate {
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
            candidates.push(Candidate {
                instance: member.instance(),
                zone: member.descriptor.zone.clone(),
                address: member.descriptor.caller_address,
            });
        }
        candidates
    }

    /// Returns the addresses of other processes that accept callers, in random order.
    pub(super) fn alternative_addresses(&mut self) -> Vec<std::net::SocketAddr> {
        let members = self
            .state
            .members
            .iter()
            .filter(|member| member.can_accept_callers());
        let mut addresses: Vec<_> = members
            .map(|member| member.descriptor.caller_address)
            .collect();
        addresses.shuffle(&mut self.state.rng);
        addresses.truncate(self.state.settings.entries_max);
        addresses
    }

    fn make_entry(&mut self, candidate: Candidate) -> Entry {
        let token = self.mint_token(candidate.instance, &candidate.zone);
        Entry {
            vm: candidate.instance.vm,
            zone: candidate.zone,
            address: candidate.address,
            token: token.encode(&self.state.keyring),
        }
    }

    /// Picks a witness for an owner: one of the first few by rendezvous hashing, in another zone
    /// than the owner's if possible.
    ///
    /// The choice is limited to a few processes so that an owner's messages to its witnesses can be
    /// batched, and so that each process is the witness for few owners.
    pub(super) fn pick_witness(&mut self, owner: Instance, zone: &str) -> Option<Instance> {
        let mut candidates: Vec<(Instance, bool)> = Vec::new();
        for member in self.state.members.iter() {
            let is_eligible = member.descriptor.status == Status::Up && member.can_accept_callers();
            if is_eligible && member.descriptor.vm != owner.vm {
                candidates.push((member.instance(), &*member.descriptor.zone != zone));
            }
        }
        if owner.vm != self.state.instance.vm && self.state.lifecycle == Lifecycle::Running {
            candidates.push((self.state.instance, &*self.state.settings.zone != zone));
        }
        candidates.sort_by_key(|(instance, other_zone)| {
            (!other_zone, witness_rank(owner.vm, instance.vm))
        });
        if candidates
            .first()
            .is_some_and(|(_, other_zone)| *other_zone)
        {
            candidates.retain(|(_, other_zone)| *other_zone);
        }
        candidates.truncate(WITNESS_CANDIDATES);
        let index = self.state.rng.random_range(0..candidates.len().max(1));
        candidates.get(index).map(|(instance, _)| *instance)
    }

    /// Picks random members that are not down, excluding `except`.
    pub(super) fn pick_members(&mut self, count: usize, except: Option<Vm>) -> Vec<Vm> {
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

/// Rendezvous hash that orders the VMs as witnesses of an owner.
fn witness_rank(owner: Vm, vm: Vm) -> u64 {
    let pair = (u64::from(owner) << 32) | u64::from(vm);
    let mixed = pair.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
