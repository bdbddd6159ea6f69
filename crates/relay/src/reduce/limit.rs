//! Limits that runners name, and the permits for requests to them. See [`crate::limit`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use crate::backlog;
use crate::call::{Call, Phase};
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::Effect;
use crate::id;
use crate::limit::{Asker, Rate, Record, Statement};
use crate::member::Member;
use crate::order::{self, Queue, Urgency, Work};
use crate::origin;
use crate::pool::{self, Instance, Runner};
use crate::refusal::Reason;

use super::fleet::MAJORITY;
use super::Reducer;

/// Shortest delay after which a call that was refused for a limit is to come back.
const RETURN_AFTER_MIN: Duration = Duration::from_millis(200);
/// Work of a plain request: nothing is known of it, so that all count the same.
const PLAIN_WORK: Work = 1;
/// Random factor of that delay.
const RETURN_JITTER: std::ops::Range<f64> = 0.8..1.4;

impl Reducer<'_> {
    pub(super) fn handle_limit_statement(&mut self, attempt: id::Attempt, statement: Statement) {
        let Some(in_flight) = self.state.in_flight.get(&attempt) else {
            return;
        };
        let (instance, sent_at) = (in_flight.instance.clone(), in_flight.sent_at);
        let limits = &mut self.state.limits;
        if limits.record(&instance, statement, sent_at, self.now) {
            self.change_limit(&instance, Some(attempt));
        }
    }

    /// Takes over the limits that another VM knows.
    pub(super) fn handle_limits(&mut self, records: Vec<Record>) {
        for record in records {
            let instance = record.instance.clone();
            if self.state.limits.merge(record, self.now) {
                self.change_limit(&instance, None);
            }
        }
    }

    /// Puts a changed limit into effect, and has other VMs told; `attempt` is the one whose response names it.
    fn change_limit(&mut self, instance: &Instance, attempt: Option<id::Attempt>) {
        let rate = self.state.limits.rate(instance);
        let outcome = match rate {
            Some(rate) => format!("{rate} a second"),
            None => "none".to_owned(),
        };
        let entry = Entry::new(Kind::LimitNamed)
            .runner(&instance.runner)
            .outcome(outcome);
        self.log(match attempt {
            Some(attempt) => entry.attempt(attempt),
            None => entry,
        });
        self.state.untold.limits.insert(instance.clone());
        self.hold_back();
    }

    /// Marks the runners that get no request without a permit.
    pub(super) fn hold_back(&mut self) {
        let state = &mut *self.state;
        for instance in state.limits.instances() {
            let Some(runner) = state.pool.get_mut(&instance.runner) else {
                continue;
            };
            let is_limited = state.limits.rate(instance).is_some();
            let is_current = runner.descriptor.is_of_instance(instance);
            let has_permit = state.permits.has(instance, self.now);
            if is_current {
                runner.is_held_back = is_limited && !has_permit;
            }
        }
    }

    /// The runners of an endpoint that name a limit, and their rates.
    fn limited_at(&self, endpoint: &id::Endpoint) -> Vec<(Instance, Rate)> {
        if self.state.limits.is_empty() {
            return Vec::new();
        }
        let runners = self.state.pool.at_endpoint(endpoint);
        let instances = runners.map(|runner| runner.descriptor.instance());
        let limited = instances.filter_map(|instance| {
            let rate = self.state.limits.rate(&instance)?;
            Some((instance, rate))
        });
        limited.collect()
    }

    /// Asks for permits for the plain runners of an endpoint that name a limit. Those that this VM issues to
    /// itself are there afterwards; no call is started.
    pub(super) fn ask_for_permits(&mut self, endpoint: &id::Endpoint) {
        let now = self.now;
        let vms = self.state.members.iter().count() + 1;
        for (instance, _) in self.limited_at(endpoint) {
            let permits = &mut self.state.permits;
            if permits.has(&instance, now) || !permits.ask(&instance, vms, now) {
                continue;
            }
            let local = &self.state.local;
            let asker = Asker {
                vm: local.vm.clone(),
                address: local.peer_address,
            };
            match self.issuer_of(&instance.runner) {
                None => {
                    self.state.issuer.ask(&instance, asker, now);
                    self.issue_permits(&instance);
                }
                Some(address) => self.emit(Effect::AskPermit {
                    address,
                    instance,
                    asker,
                }),
            }
        }
        self.hold_back();
    }

    /// The address of the VM that issues permits for a plain runner, by this VM's view of the fleet; none if
    /// this VM does.
    fn issuer_of(&self, runner: &id::Runner) -> Option<SocketAddr> {
        let key = origin::name_key(runner);
        let issuer = self.highest_ranked(key, Member::is_serving, self.state.is_ready())?;
        (issuer.vm != self.state.local.vm).then_some(issuer.peer_address)
    }

    /// Records that a VM asks for a permit, and issues what there is.
    pub(super) fn handle_permit_ask(&mut self, instance: Instance, asker: Asker) {
        self.state.issuer.ask(&instance, asker, self.now);
        self.issue_and_use_permits(&instance);
    }

    /// Issues permits for a runner, and starts a call that waited for one.
    fn issue_and_use_permits(&mut self, instance: &Instance) {
        if self.issue_permits(instance) {
            self.use_permits(instance);
        }
    }

    /// Issues permits for a runner; returns whether this VM got one.
    fn issue_permits(&mut self, instance: &Instance) -> bool {
        let Some(rate) = self.state.limits.rate(instance) else {
            return false;
        };
        let rate = rate * self.fleet_share();
        let mut is_local = false;
        for asker in self.state.issuer.issue(instance, rate, self.now) {
            let instance = instance.clone();
            if asker.vm == self.state.local.vm {
                self.state.permits.add(instance, self.now);
                is_local = true;
            } else {
                let address = asker.address;
                self.emit(Effect::SendPermit { address, instance });
            }
        }
        is_local
    }

    /// The part of the fleet that this VM issues permits for: all of it, or what it reaches if that is less
    /// than half, since others do the same.
    fn fleet_share(&self) -> f64 {
        let reached = self.reached_share();
        if reached < MAJORITY {
            reached
        } else {
            1.0
        }
    }

    /// Takes a permit.
    pub(super) fn handle_permit(&mut self, instance: Instance) {
        self.state.permits.add(instance.clone(), self.now);
        self.use_permits(&instance);
    }

    /// Starts the most urgent call that waits for the endpoint of a runner, now that there is a permit.
    fn use_permits(&mut self, instance: &Instance) {
        let runner = self.state.pool.get(&instance.runner);
        let endpoint = runner.map(|runner| runner.descriptor.endpoint.clone());
        self.hold_back();
        let Some(endpoint) = endpoint else {
            return;
        };
        match self.next_plain_call(&endpoint) {
            Some(number) => self.advance(number),
            None => self.return_permits(&endpoint),
        }
    }

    /// Gives back the permits for an endpoint, unless other runners of it take requests without one: then
    /// they are for the next requests.
    fn return_permits(&mut self, endpoint: &id::Endpoint) {
        let limited = self.limited_at(endpoint);
        let runners = self.state.pool.at_endpoint(endpoint);
        let is_ready = |runner: &&Runner| runner.status == pool::Status::Ready;
        if runners.filter(is_ready).count() > limited.len() {
            return;
        }
        for (instance, _) in limited {
            while self.state.permits.has(&instance, self.now) {
                self.state.permits.take(&instance, self.now);
                self.return_permit(instance.clone());
            }
        }
        self.hold_back();
    }

    fn return_permit(&mut self, instance: Instance) {
        match self.issuer_of(&instance.runner) {
            Some(address) => self.emit(Effect::ReturnPermit { address, instance }),
            None => self.handle_returned_permit(&instance),
        }
    }

    pub(super) fn handle_returned_permit(&mut self, instance: &Instance) {
        self.state.issuer.take_back(instance);
    }

    /// The plain calls that wait at an endpoint, in the order of [`order`].
    fn waiting_plain_calls(&self, endpoint: &id::Endpoint) -> Vec<id::Call> {
        let entries = self.plain_entries(endpoint);
        if !self.state.settings.overload_control {
            return arrange_by_deadline(entries);
        }
        let numbers: Vec<id::Call> = entries.iter().map(|entry| entry.call).collect();
        let history = self.state.plain_histories.get(endpoint).cloned();
        let order = order::arrange(&history.unwrap_or_default(), entries, self.now);
        order.into_iter().map(|index| numbers[index]).collect()
    }

    /// The plain call that gets the next permit for an endpoint, and counts in the share of its organisation.
    fn next_plain_call(&mut self, endpoint: &id::Endpoint) -> Option<id::Call> {
        if !self.state.settings.overload_control {
            return self.waiting_plain_calls(endpoint).first().copied();
        }
        let known = self.state.plain_histories.remove(endpoint);
        let mut history = known.unwrap_or_default();
        let entries = self.plain_entries(endpoint);
        let numbers: Vec<id::Call> = entries.iter().map(|entry| entry.call).collect();
        let mut queue = Queue::new(&mut history, entries, self.now);
        let next = queue.pop();
        if let Some(index) = next {
            queue.place(index);
            queue.finish();
            let histories = &mut self.state.plain_histories;
            histories.insert(endpoint.clone(), history);
        }
        next.map(|index| numbers[index])
    }

    fn plain_entries(&self, endpoint: &id::Endpoint) -> Vec<order::Entry<'_>> {
        let is_waiting = |call: &Call| {
            call.prompt.is_none()
                && call.endpoint == *endpoint
                && matches!(call.phase, Phase::Waiting { .. })
        };
        let calls = self.state.calls.iter();
        calls
            .filter(|(_, call)| is_waiting(call))
            .map(|(number, call)| self.plain_entry(*number, call))
            .collect()
    }

    /// A plain call as an entry of the order. It waits for a part of its target latency at most, so that one that waits
    /// can be in time.
    fn plain_entry<'a>(&'a self, number: id::Call, call: &'a Call) -> order::Entry<'a> {
        let organisation = call.identity.organisation();
        order::Entry {
            call: number,
            vm: &self.state.local.vm,
            urgency: Urgency::InTime(call.remaining(self.now)),
            priority: call.priority(),
            organisation: organisation.map(|known| &known.name),
            need: Duration::ZERO,
            work: PLAIN_WORK,
            patience: None,
        }
    }

    /// Refuses a plain call, or a less urgent one, if more wait at its endpoint than will get a permit in
    /// time; `max_wait` is how long a call may wait.
    pub(super) fn refuse_surplus(&mut self, number: id::Call, max_wait: Duration) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let endpoint = call.endpoint.clone();
        if self.limited_at(&endpoint).is_empty() {
            return;
        }
        let expected = self.state.permits.rate(self.now) * max_wait.as_secs_f64();
        let served = (expected as usize).max(1);
        let waiting = self.waiting_plain_calls(&endpoint);
        for number in waiting.into_iter().skip(served) {
            self.fail_call(number, Reason::Limited);
        }
    }

    /// When a call that is refused for a limit is to come back: after as many others as were refused before
    /// it have been served.
    pub(super) fn return_after(&mut self, number: id::Call) -> Duration {
        let Some(call) = self.state.calls.get(&number) else {
            return RETURN_AFTER_MIN;
        };
        let endpoint = call.endpoint.clone();
        let rates = self.limited_at(&endpoint);
        let rate: Rate = rates.iter().map(|(_, rate)| rate).sum();
        self.take_turn(endpoint, rate)
    }

    /// When a refused call is to come back to an endpoint that serves this many requests a second from all VMs, after
    /// those that were refused before it.
    pub(super) fn take_turn(&mut self, endpoint: id::Endpoint, rate: Rate) -> Duration {
        let share = rate / self.serving_vms() as f64;
        let backlog = self.state.returns.entry(endpoint).or_default();
        let delay = backlog.push(Duration::ZERO, backlog::time(1.0, share), self.now);
        let jitter = self.state.rng.random_range(RETURN_JITTER);
        let least_jitter = self.state.rng.random_range(1.0..RETURN_JITTER.end);
        // The least delay is spread out too: most callers get it where the excess is small.
        delay
            .scale(jitter)
            .max(RETURN_AFTER_MIN.scale(least_jitter))
    }

    /// Requests that each engine with a limit may get now, as far as this VM allocates it.
    pub(super) fn engine_allowances(&mut self) -> HashMap<id::Runner, u32> {
        let state = &mut *self.state;
        let mut allowances = HashMap::new();
        for (instance, rate) in state.limits.limited() {
            let runner = state.pool.get(&instance.runner);
            if runner.is_some_and(|runner| runner.descriptor.role.is_some()) {
                let available = state.issuer.available(instance, rate, self.now);
                allowances.insert(instance.runner.clone(), available);
            }
        }
        allowances
    }

    /// Counts the requests of a grant at engines with a limit.
    pub(super) fn spend_allowance(&mut self, runner: &id::Runner) {
        let known = self.state.pool.get(runner);
        if let Some(instance) = known.map(|known| known.descriptor.instance()) {
            if self.state.limits.rate(&instance).is_some() {
                self.state.issuer.spend(&instance);
            }
        }
    }

    /// Forgets the limits of processes that are not listed any more, and issues permits.
    pub(super) fn tick_limits(&mut self) {
        let state = &mut *self.state;
        let pool = &state.pool;
        let is_listed = |instance: &Instance| pool.find(instance).is_some();
        state.limits.retain(is_listed);
        state.issuer.retain(self.now, is_listed);
        state.permits.retain(is_listed);
        for instance in self.state.issuer.asked() {
            self.issue_and_use_permits(&instance);
        }
        self.hold_back();
    }
}

/// The order of plain calls without regard to organisations: by priority, and then by deadline.
fn arrange_by_deadline(mut entries: Vec<order::Entry<'_>>) -> Vec<id::Call> {
    entries.sort_unstable_by_key(|entry| (entry.priority, entry.urgency, entry.call));
    entries.iter().map(|entry| entry.call).collect()
}
