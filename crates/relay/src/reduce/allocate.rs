//! Capacity at engines, asked of and granted by allocators. See [`crate::allocation`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use crate::allocation::{self, Batch, Claim, Group, Limits, Urgency};
use crate::call::{Ask, Grant, Phase};
use crate::decision_log::{Entry, Kind};
use crate::event::Effect;
use crate::id;
use crate::manifest::Engine;
use crate::member::Status;
use crate::placement::{self, Headroom, Purpose};
use crate::pool::{self, Load, Role, Runner};
use crate::state::SentClaim;

use super::choose::ON_TIME_FRACTION;
use super::Reducer;

/// Shortest interval between two claims to one allocator.
const CLAIM_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Interval at which a claim is repeated that has not changed.
const CLAIM_INTERVAL_MAX: Duration = Duration::from_millis(500);
/// How long a call waits for the allocator of one group before it asks that of another.
const GROUP_PATIENCE: Duration = Duration::from_millis(300);
/// How long an allocator that did not acknowledge a claim is passed over.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Most runners that an ask excludes.
const EXCLUDED_MAX: usize = 8;

/// What to do about a claim at one allocator.
enum Step {
    /// It is sent.
    Send,
    /// It has to wait until the one before is acknowledged or a moment has passed.
    Later,
    /// The allocator knows that this VM wants nothing, so it gets no further claims.
    Forget,
    /// The allocator knows it.
    Nothing,
}

/// The allocators of all groups, by this VM's view of the fleet.
struct Layout {
    groups: u32,
    allocators: Vec<id::Vm>,
}

impl Layout {
    fn allocator_of(&self, runner: &id::Runner) -> Option<&id::Vm> {
        let group = allocation::group_of(runner, self.groups);
        self.allocators.get(group as usize)
    }
}

impl Reducer<'_> {
    /// Starts the next attempt of a model call once an allocator has granted it capacity.
    pub(super) fn advance_allocated(&mut self, number: id::Call) {
        let grant = self.take_grant(number);
        let reserved = self
            .state
            .calls
            .get_mut(&number)
            .and_then(|call| call.reserved_decode.take());
        let name = reserved.or_else(|| grant.as_ref().map(|grant| grant.decode.clone()));
        let decode = name.and_then(|name| self.find_usable(&name, Purpose::Decode));
        let Some(decode) = decode else {
            self.ask_for_capacity(number);
            return self.wait_for_capacity(number);
        };
        if self.has_kv(number) || !self.start_prefill(number, &decode, grant.as_ref()) {
            self.start_run(number, &decode);
        }
    }

    /// A runner, if it accepts requests for this purpose.
    fn find_usable(&self, name: &id::Runner, purpose: Purpose) -> Option<Runner> {
        let runner = self.state.pool.get(name)?;
        let is_usable = runner.status == pool::Status::Ready
            && !runner.displaced
            && !placement::is_cooling_down(runner, purpose, self.now);
        is_usable.then(|| runner.clone())
    }

    /// The prefill runner of a grant, if it can be used.
    pub(super) fn granted_prefill(&self, grant: &Grant) -> Option<Runner> {
        self.find_usable(grant.prefill.as_ref()?, Purpose::Prefill)
    }

    /// Whether a call was granted capacity at another runner than the one it is at. Asks for it if not.
    pub(super) fn is_granted_elsewhere(&mut self, number: id::Call, from: &id::Runner) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        match &call.grant {
            Some(grant) if grant.decode != *from => return true,
            Some(_) => self.drop_grant(number),
            None => {}
        }
        self.ask_for_capacity(number);
        false
    }

    /// Asks an allocator for capacity for a call, unless one was asked a moment ago.
    fn ask_for_capacity(&mut self, number: id::Call) {
        let now = self.now;
        let layout = self.layout();
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if let Some(ask) = &call.ask {
            let is_current = layout.allocators.get(ask.group as usize) == Some(&ask.allocator)
                && layout.groups == ask.groups;
            let is_patient = layout.groups == 1 || ask.asked_at + GROUP_PATIENCE > now;
            if is_current && is_patient {
                return;
            }
        }
        let previous = call.ask.as_ref().map(|ask| ask.group);
        let endpoint = call.endpoint.clone();
        let Some(group) = self.pick_group(&endpoint, &layout, previous) else {
            return;
        };
        let Some(allocator) = layout.allocators.get(group as usize).cloned() else {
            return;
        };
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.ask = Some(Ask {
                allocator,
                group,
                groups: layout.groups,
                asked_at: now,
            });
        }
        self.state.claims.changed = true;
    }

    /// Picks a group with decode engines at random, by their number; another one than `previous` if
    /// there is any.
    fn pick_group(
        &mut self,
        endpoint: &id::Endpoint,
        layout: &Layout,
        previous: Option<Group>,
    ) -> Option<Group> {
        let mut groups: Vec<Group> = self
            .state
            .pool
            .at_endpoint(endpoint)
            .filter(|runner| {
                Purpose::Decode.accepts(runner.descriptor.role)
                    && runner.status == pool::Status::Ready
            })
            .map(|runner| allocation::group_of(&runner.descriptor.runner, layout.groups))
            .collect();
        if groups.iter().any(|group| Some(*group) != previous) {
            groups.retain(|group| Some(*group) != previous);
        }
        if groups.is_empty() {
            return None;
        }
        let index = self.state.rng.random_range(0..groups.len());
        groups.get(index).copied()
    }

    fn layout(&self) -> Layout {
        let engines = self.state.pool.iter().filter(|runner| is_engine(runner));
        let group_engines = self.state.policy.group_engines;
        let groups = allocation::group_count(engines.count(), group_engines);
        let vms = self.allocator_candidates();
        let rank =
            |(vm, weight): &(id::Vm, u32), group: Group| allocation::rank(vm, *weight, group);
        let highest = |group: Group| {
            let ranked = vms
                .iter()
                .max_by(|one, other| rank(one, group).total_cmp(&rank(other, group)));
            ranked.map_or(&self.state.local.vm, |(vm, _)| vm).clone()
        };
        Layout {
            groups,
            allocators: (0..groups).map(highest).collect(),
        }
    }

    /// The VMs that can be allocators, by this VM's view, and their weights.
    fn allocator_candidates(&self) -> Vec<(id::Vm, u32)> {
        let silent = &self.state.claims.silent_until;
        let is_candidate = |vm: &id::Vm| silent.get(vm).is_none_or(|until| *until <= self.now);
        let mut vms: Vec<(id::Vm, u32)> = self
            .state
            .members
            .iter()
            .filter(|member| {
                member.descriptor.status == Status::Ready && member.unacknowledged_views == 0
            })
            .filter(|member| is_candidate(&member.descriptor.vm))
            .map(|member| (member.descriptor.vm.clone(), member.descriptor.weight))
            .collect();
        if self.state.is_ready() {
            let local = &self.state.local;
            vms.push((local.vm.clone(), local.weight));
        }
        vms
    }

    /// Takes the grant of a call; its capacity does not count as load any more.
    fn take_grant(&mut self, number: id::Call) -> Option<Grant> {
        let grant = self.state.calls.get_mut(&number)?.grant.take()?;
        self.discharge(grant.charge);
        Some(grant)
    }

    /// Gives back the capacity granted to a call, and withdraws its ask.
    pub(super) fn drop_grant(&mut self, number: id::Call) {
        let grant = self.take_grant(number);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if call.ask.take().is_some() || grant.is_some() {
            self.state.claims.changed = true;
        }
    }

    /// Records a claim and grants what there is.
    pub(super) fn handle_claim(&mut self, claim: Claim) {
        let now = self.now;
        self.state.allocator.record(claim, now);
        self.allocate();
    }

    pub(super) fn tick_allocator(&mut self) {
        self.state.allocator.expire(self.now);
        if self.state.allocator.has_waiting() {
            self.allocate();
        }
    }

    fn allocate(&mut self) {
        let Some(manifest) = self.state.manifest.clone() else {
            return;
        };
        let endpoints = manifest.endpoints.iter();
        let engines: BTreeMap<id::Endpoint, Engine> = endpoints
            .filter_map(|(name, endpoint)| Some((name.clone(), endpoint.engine?)))
            .collect();
        let limits = Limits {
            memory_fraction: self.state.policy.memory_fraction,
            memory_fraction_late: self.state.policy.memory_fraction_late,
        };
        let state = &mut *self.state;
        let deliveries = state
            .allocator
            .allocate(&state.pool, &engines, limits, self.now);
        let local = self.state.local.vm.clone();
        for delivery in deliveries {
            let batch = Batch {
                allocator: local.clone(),
                incarnation: delivery.incarnation,
                grants: delivery.grants,
            };
            if delivery.vm == local {
                self.handle_grants(batch);
            } else {
                let address = delivery.address;
                self.emit(Effect::SendGrants { address, batch });
            }
        }
    }

    /// Starts the calls that were granted capacity.
    pub(super) fn handle_grants(&mut self, batch: Batch) {
        if batch.incarnation != self.state.local.incarnation {
            return;
        }
        self.state.claims.changed = true;
        for grant in batch.grants {
            let claims = &mut self.state.claims;
            let last = claims
                .last_grants
                .entry(batch.allocator.clone())
                .or_default();
            *last = grant.number.max(*last);
            self.handle_grant(&batch.allocator, grant);
        }
    }

    fn handle_grant(&mut self, allocator: &id::Vm, granted: allocation::Grant) {
        let number = granted.call;
        let load = Load {
            prefill_tokens: 0,
            ..self.estimate_load(number, Purpose::Decode)
        };
        let prefill_load = self.estimate_load(number, Purpose::Prefill);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        // A grant for an ask that was withdrawn is given back by the next claim, which lacks it.
        if call.ask.as_ref().map(|ask| &ask.allocator) != Some(allocator) {
            return;
        }
        let asked_at = call.ask.take().map(|ask| ask.asked_at);
        let id = call.id.clone();
        let waited = self.now.saturating_sub(asked_at.unwrap_or(self.now));
        self.log(
            Entry::new(Kind::Granted)
                .request(&id)
                .runner(&granted.decode)
                .version(granted.number)
                .outcome(allocator)
                .age(waited),
        );
        self.state.last_attempt += 1;
        let charge = self.state.last_attempt;
        self.charge(charge, &granted.decode, load);
        if let Some(prefill) = &granted.prefill {
            self.charge(charge, prefill, prefill_load);
        }
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let is_waiting = matches!(call.phase, Phase::Waiting { .. });
        call.grant = Some(Grant {
            decode: granted.decode,
            prefill: granted.prefill,
            queued_tokens: granted.queued_tokens,
            charge,
        });
        if is_waiting {
            self.advance(number);
        }
    }

    /// Passes over an allocator that did not acknowledge a claim.
    pub(super) fn handle_unresponsive_allocator(&mut self, address: SocketAddr) {
        let until = self.now + SILENCE_TIME;
        let Some(member) = self.state.members.find_by_address_mut(address) else {
            return;
        };
        let vm = member.descriptor.vm.clone();
        self.state.claims.sent.remove(&vm);
        self.state.claims.silent_until.insert(vm, until);
        self.state.claims.changed = true;
    }

    /// Lets the next claim to an allocator go.
    pub(super) fn handle_claim_acknowledgement(&mut self, address: SocketAddr) {
        let Some(member) = self.state.members.find_by_address_mut(address) else {
            return;
        };
        let vm = member.descriptor.vm.clone();
        if let Some(sent) = self.state.claims.sent.get_mut(&vm) {
            sent.is_unacknowledged = false;
        }
        self.state.claims.changed = true;
    }

    /// Sends this VM's claims to the allocators for which they have changed or are due again.
    pub(super) fn send_claims(&mut self) {
        let now = self.now;
        let is_changed = self.state.claims.changed || self.state.load_changed;
        let is_due = |sent: &SentClaim| sent.sent_at + CLAIM_INTERVAL_MAX <= now;
        if !is_changed && !self.state.claims.sent.values().any(is_due) {
            return;
        }
        self.state.claims.changed = false;
        self.state.load_changed = false;
        for (allocator, claim) in self.build_claims() {
            match self.next_step(&allocator, &claim) {
                Step::Send => self.send_claim(allocator, claim),
                Step::Forget => _ = self.state.claims.sent.remove(&allocator),
                Step::Later => self.state.claims.changed = true,
                Step::Nothing => {}
            }
        }
    }

    /// What to do about the current claim at an allocator.
    fn next_step(&self, allocator: &id::Vm, claim: &Claim) -> Step {
        let Some(sent) = self.state.claims.sent.get(allocator) else {
            return if claim.is_empty() {
                Step::Nothing
            } else {
                Step::Send
            };
        };
        let is_local = *allocator == self.state.local.vm;
        let is_recent = !is_local && sent.sent_at + CLAIM_INTERVAL_MIN > self.now;
        let is_same = sent.claim.is_same_as(claim);
        if sent.is_unacknowledged || is_recent {
            return if is_same { Step::Nothing } else { Step::Later };
        }
        if is_same && sent.sent_at + CLAIM_INTERVAL_MAX > self.now {
            return Step::Nothing;
        }
        if claim.is_empty() && sent.claim.is_empty() {
            Step::Forget
        } else {
            Step::Send
        }
    }

    fn send_claim(&mut self, allocator: id::Vm, claim: Claim) {
        let is_local = allocator == self.state.local.vm;
        let sent = SentClaim {
            claim: claim.clone(),
            sent_at: self.now,
            is_unacknowledged: !is_local,
        };
        self.state.claims.sent.insert(allocator.clone(), sent);
        if is_local {
            return self.handle_claim(claim);
        }
        let member = self.state.members.get(&allocator);
        if let Some(address) = member.map(|member| member.descriptor.peer_address) {
            self.emit(Effect::SendClaim { address, claim });
        }
    }

    /// The claims at all allocators that have a part of this VM's load or asks, or had one.
    fn build_claims(&mut self) -> Vec<(id::Vm, Claim)> {
        let layout = self.layout();
        let mut claims: BTreeMap<id::Vm, Claim> = BTreeMap::new();
        let known: Vec<id::Vm> = self.state.claims.sent.keys().cloned().collect();
        for allocator in known {
            let claim = self.empty_claim(&allocator);
            claims.insert(allocator, claim);
        }
        for (runner, load) in self.local_loads() {
            let Some(allocator) = layout.allocator_of(&runner) else {
                continue;
            };
            let claim = claims.entry(allocator.clone());
            let claim = claim.or_insert_with(|| self.empty_claim(allocator));
            claim.loads.push((runner, load));
        }
        let asking: Vec<(id::Call, Ask)> = self
            .state
            .calls
            .iter()
            .filter_map(|(number, call)| Some((*number, call.ask.clone()?)))
            .collect();
        for (number, ask) in asking {
            let Some(wanted) = self.build_ask(number, &ask) else {
                continue;
            };
            let claim = claims.entry(ask.allocator.clone());
            let claim = claim.or_insert_with(|| self.empty_claim(&ask.allocator));
            claim.asks.push(wanted);
        }
        self.state.claims.sequence += 1;
        let sequence = self.state.claims.sequence;
        let numbered = claims.into_iter().map(|(allocator, claim)| {
            let claim = Claim { sequence, ..claim };
            (allocator, claim)
        });
        numbered.collect()
    }

    fn empty_claim(&self, allocator: &id::Vm) -> Claim {
        let local = &self.state.local;
        let last_grant = self.state.claims.last_grants.get(allocator);
        Claim {
            vm: local.vm.clone(),
            incarnation: local.incarnation,
            peer_address: local.peer_address,
            sequence: 0,
            last_grant: last_grant.copied().unwrap_or(0),
            loads: Vec::new(),
            asks: Vec::new(),
        }
    }

    fn build_ask(&self, number: id::Call, ask: &Ask) -> Option<allocation::Ask> {
        let call = self.state.calls.get(&number)?;
        let load = self.estimate_load(number, Purpose::Decode);
        let failing = self
            .state
            .pool
            .at_endpoint(&call.endpoint)
            .filter(|runner| {
                runner.displaced || placement::is_cooling_down(runner, Purpose::Decode, self.now)
            });
        let mut excluded: Vec<id::Runner> = call.tried.clone();
        excluded.extend(failing.map(|runner| runner.descriptor.runner.clone()));
        if let Some((_, runner)) = call.phase.attempt() {
            excluded.push(runner.clone());
        }
        excluded.truncate(EXCLUDED_MAX);
        Some(allocation::Ask {
            call: number,
            endpoint: call.endpoint.clone(),
            tokens: load.tokens,
            prefill_tokens: load.prefill_tokens,
            group: ask.group,
            groups: ask.groups,
            urgency: self.urgency(number),
            excluded,
        })
    }

    fn urgency(&self, number: id::Call) -> Urgency {
        let Some(call) = self.state.calls.get(&number) else {
            return Urgency::Late;
        };
        if call.progress.head_forwarded {
            return Urgency::Started;
        }
        if self.headroom(number) == Headroom::Extra {
            return Urgency::Late;
        }
        let elapsed = self.now.saturating_sub(call.arrived_at);
        let limit = call.route.target_latency.mul_f64(ON_TIME_FRACTION);
        Urgency::InTime(limit.saturating_sub(elapsed))
    }
}

fn is_engine(runner: &Runner) -> bool {
    matches!(
        runner.descriptor.role,
        Some(Role::Prefill) | Some(Role::Decode)
    )
}
