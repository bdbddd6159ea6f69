//! Capacity at engines, asked of and granted by allocators. See [`crate::allocation`].

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;

use crate::allocation::{self, Batch, Claim, Group, Limits};
use crate::call::{Ask, Grant, Phase};
use crate::decision_log::{Entry, Kind};
use crate::event::Effect;
use crate::id;
use crate::manifest::Engine;
use crate::placement::{self, Purpose};
use crate::pool::{self, Load, Role, Runner};
use crate::refusal::Reason;
use crate::session::Decision;

use super::Reducer;

/// How long a call waits for the allocator of one group before it asks that of another.
const GROUP_PATIENCE: Duration = Duration::from_millis(300);

/// The allocators of all groups, by this VM's view of the fleet.
pub(super) struct Layout {
    groups: u32,
    allocators: Vec<id::Vm>,
}

impl Layout {
    pub(super) fn allocator_of(&self, runner: &id::Runner) -> Option<&id::Vm> {
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
        let reserved = reserved.and_then(|name| self.find_decode(number, &name));
        let granted = grant.as_ref().map(|grant| &grant.decode);
        let decode = match (reserved, granted) {
            (None, Some(name)) => self.find_decode(number, name),
            (reserved, _) => reserved,
        };
        let decode = decode.or_else(|| self.pick_draining(number));
        let Some(decode) = decode else {
            self.ask_for_capacity(number);
            return self.wait_for_capacity(number);
        };
        let is_read = self.has_kv(number) || self.is_holder(number, &decode);
        if is_read || !self.start_prefill(number, &decode, grant.as_ref()) {
            self.start_run(number, &decode);
        }
    }

    /// The decode runner reserved for a call or granted to it, if the call may use it. The allocator may
    /// have an older list of runners than this VM: an engine of another build is given back, and the
    /// call wants it no more.
    fn find_decode(&mut self, number: id::Call, name: &id::Runner) -> Option<Runner> {
        let runner = self.find_usable(name, Purpose::Decode)?;
        if self.fits(number, &runner) {
            return Some(runner);
        }
        self.state.calls.get_mut(&number)?.mark_tried(name);
        None
    }

    /// A runner, if it accepts requests for this purpose.
    pub(super) fn find_usable(&self, name: &id::Runner, purpose: Purpose) -> Option<Runner> {
        let runner = self.state.pool.get(name)?;
        let is_usable = runner.status == pool::Status::Ready
            && !runner.displaced
            && !placement::is_cooling_down(runner, purpose, self.now);
        is_usable.then(|| runner.clone())
    }

    /// The prefill runner of a grant, if it can be used for a decode runner.
    pub(super) fn granted_prefill(&self, grant: &Grant, decode: &Runner) -> Option<Runner> {
        let runner = self.find_usable(grant.prefill.as_ref()?, Purpose::Prefill)?;
        let build = self.prefill_build(decode);
        runner.descriptor.is_of_build(build).then_some(runner)
    }

    /// Whether a call was granted capacity at another runner than the one it is at. Asks for it if not.
    pub(super) fn is_granted_elsewhere(&mut self, number: id::Call, from: &id::Runner) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        match call.grant.as_ref().map(|grant| grant.decode.clone()) {
            Some(decode) if decode != *from && self.find_decode(number, &decode).is_some() => {
                return true;
            }
            Some(_) => self.drop_grant(number),
            None => {}
        }
        if self.pick_draining(number).is_some() {
            return true;
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
        let is_second = call.ask.as_ref().is_some_and(|ask| ask.is_second);
        let Some(group) = self.pick_group(number, &layout, previous) else {
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
                is_second,
            });
        }
        self.state.claims.changed = true;
    }

    /// Picks a group with decode engines for a call at random, by their number; another one than
    /// `previous` if there is any.
    fn pick_group(
        &mut self,
        number: id::Call,
        layout: &Layout,
        previous: Option<Group>,
    ) -> Option<Group> {
        if let Some(holder) = self.usable_holder(number) {
            return Some(allocation::group_of(&holder, layout.groups));
        }
        let mut groups: Vec<Group> = self
            .ready_decode_runners(number)
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

    /// The decode runner that holds the prompt of a call, unless the call has waited for it in vain.
    fn usable_holder(&self, number: id::Call) -> Option<id::Runner> {
        let call = self.state.calls.get(&number)?;
        let holder = call.holder.as_ref().filter(|_| call.ask.is_none())?;
        let runner = self.find_usable(holder, Purpose::Decode)?;
        self.fits(number, &runner).then(|| holder.clone())
    }

    pub(super) fn layout(&self) -> Layout {
        let engines = self
            .state
            .pool
            .iter()
            .filter(|runner| is_ready_engine(runner));
        let engines: Vec<&Runner> = engines.collect();
        let policy = &self.state.policy;
        let group_engines = if self.is_uneven() {
            policy.group_engines_uneven
        } else {
            policy.group_engines
        };
        let groups = allocation::group_count(engines.len(), group_engines);
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

    /// The VMs that can be allocators, by this VM's view, and their weights: those that reach engines, unless none
    /// does.
    fn allocator_candidates(&self) -> Vec<(id::Vm, u32)> {
        let silent = &self.state.claims.silent_until;
        let is_candidate = |vm: &id::Vm| silent.get(vm).is_none_or(|until| *until <= self.now);
        let members = self.state.members.iter();
        let members =
            members.filter(|member| member.is_serving() && is_candidate(&member.descriptor.vm));
        let members = members.map(|member| (&member.descriptor, member.unreached.is_empty()));
        let local = (&self.state.local, self.state.unreached.is_empty());
        let local = Some(local).filter(|_| self.state.is_ready());
        let (reaching, others): (Vec<_>, Vec<_>) =
            members.chain(local).partition(|(_, reaches)| *reaches);
        let candidates = if reaching.is_empty() {
            others
        } else {
            reaching
        };
        let weighted = candidates.into_iter();
        weighted
            .map(|(descriptor, _)| (descriptor.vm.clone(), descriptor.weight))
            .collect()
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
        self.record_readings(&claim);
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
            kv_across_builds: self.state.policy.kv_across_builds,
            overload_control: self.state.settings.overload_control,
        };
        let allowances = self.engine_allowances();
        let state = &mut *self.state;
        let allocator = &mut state.allocator;
        let deliveries = allocator.allocate(&state.pool, &engines, limits, allowances, self.now);
        for grant in deliveries.iter().flat_map(|delivery| &delivery.grants) {
            self.record_grant(&grant.decode);
            self.spend_allowance(&grant.decode);
            if let Some(prefill) = &grant.prefill {
                self.record_grant(prefill);
                self.spend_allowance(prefill);
            }
        }
        let local = self.state.local.vm.clone();
        for delivery in deliveries {
            let batch = Batch {
                allocator: local.clone(),
                incarnation: delivery.incarnation,
                grants: delivery.grants,
                refusals: delivery.refusals,
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
        for refusal in batch.refusals {
            self.handle_refusal(&batch.allocator, refusal);
        }
    }

    /// Refuses a call that its allocator has no capacity for in time; where there are other groups of engines, another
    /// one is asked first.
    fn handle_refusal(&mut self, allocator: &id::Vm, refusal: allocation::Refusal) {
        let number = refusal.call;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let is_waiting = matches!(call.phase, Phase::Waiting { .. });
        let has_begun = call.progress.head_forwarded || call.build.is_some();
        let Some(ask) = call.ask.as_mut().filter(|_| is_waiting && !has_begun) else {
            return;
        };
        if ask.allocator != *allocator || ask.group != refusal.group {
            return;
        }
        let asks_other = ask.groups > 1 && !std::mem::replace(&mut ask.is_second, true);
        if asks_other && self.ask_other_group(number) {
            return;
        }
        if self.leave_full_session(number, Decision::Full) {
            return self.advance(number);
        }
        self.fail_call_until(number, Reason::Full, Some(refusal.retry_after));
    }

    /// Asks the allocator of another group for capacity; returns whether there is another group.
    fn ask_other_group(&mut self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get_mut(&number) else {
            return false;
        };
        let Some(ask) = &mut call.ask else {
            return false;
        };
        let refused_by = ask.group;
        ask.asked_at = Duration::ZERO;
        self.ask_for_capacity(number);
        let asked = self.state.calls.get(&number);
        let group = asked.and_then(|call| Some(call.ask.as_ref()?.group));
        group.is_some_and(|group| group != refused_by)
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
}

fn is_ready_engine(runner: &Runner) -> bool {
    let is_ready = runner.status == pool::Status::Ready;
    is_ready && matches!(runner.descriptor.role, Some(Role::Prefill | Role::Decode))
}
