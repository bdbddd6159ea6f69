//! Load in flight at engines: this VM's own, published to all others on change, and theirs.

use std::time::Duration;

use rand::Rng as _;

use crate::call::Phase;
use crate::event::Effect;
use crate::id;
use crate::member::Status;
use crate::placement::{self, Headroom, Purpose};
use crate::pool::Load;
use crate::state::PeerReport;

use super::Reducer;

/// Shortest interval between two publications.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// How long the report of a VM stays valid if no newer one is received.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);

impl Reducer<'_> {
    /// Counts load that an attempt puts on a runner, immediately or once it succeeds.
    pub(super) fn charge(&mut self, attempt: id::Attempt, runner: &id::Runner, load: Load) {
        if let Some(known) = self.state.pool.get_mut(runner) {
            known.local_load.add(load);
        }
        let charges = self.state.charges.entry(attempt).or_default();
        charges.push((runner.clone(), load));
        self.state.load_changed |= load.tokens > 0;
    }

    /// Stops counting the load of an attempt that has ended.
    pub(super) fn discharge(&mut self, attempt: id::Attempt) {
        for (runner, load) in self.state.charges.remove(&attempt).unwrap_or_default() {
            if let Some(known) = self.state.pool.get_mut(&runner) {
                known.local_load.sub(load);
            }
            self.state.load_changed |= load.tokens > 0;
        }
    }

    /// Stops counting the prompt of an attempt as still to prefill.
    pub(super) fn discharge_prefill(&mut self, attempt: id::Attempt) {
        let Some(charges) = self.state.charges.get_mut(&attempt) else {
            return;
        };
        for (runner, load) in charges {
            let prefilled = Load {
                prefill_tokens: std::mem::take(&mut load.prefill_tokens),
                ..Load::default()
            };
            if prefilled.prefill_tokens == 0 {
                continue;
            }
            if let Some(known) = self.state.pool.get_mut(runner) {
                known.local_load.sub(prefilled);
            }
            self.state.load_changed = true;
        }
    }

    /// This VM's load in flight at engines.
    pub(super) fn local_loads(&self) -> Vec<(id::Runner, Load)> {
        let mut loads: Vec<(id::Runner, Load)> = self
            .state
            .pool
            .iter()
            .filter(|runner| runner.local_load.tokens > 0)
            .map(|runner| (runner.descriptor.runner.clone(), runner.local_load))
            .collect();
        loads.sort_by(|(one, _), (other, _)| one.cmp(other));
        loads
    }

    /// Publishes this VM's load if it has changed, at most once per [`PUBLISH_INTERVAL`].
    pub(super) fn publish_load(&mut self) {
        let is_due = self.state.load_published_at + PUBLISH_INTERVAL <= self.now;
        if !self.state.load_changed || !is_due {
            return;
        }
        self.state.load_changed = false;
        self.state.load_published_at = self.now;
        let peers: Vec<_> = self
            .state
            .members
            .iter()
            .filter(|member| member.descriptor.status < Status::Down && member.is_reached())
            .map(|member| member.descriptor.peer_address)
            .collect();
        if peers.len() >= self.state.policy.load_sharing_vms_max {
            return;
        }
        let view = self.load_view();
        for address in peers {
            let view = view.clone();
            self.emit(Effect::PublishView { address, view });
        }
    }

    /// Records the load reported by another VM.
    pub(super) fn record_peer_load(
        &mut self,
        vm: &id::Vm,
        loads: Vec<(id::Runner, Load)>,
        waiting_calls: u32,
    ) {
        let previous = self.state.peer_reports.remove(vm).unwrap_or_default();
        self.state
            .pool
            .replace_peer_loads(previous.loads.iter(), loads.iter());
        let report = PeerReport {
            loads,
            waiting_calls,
            received_at: self.now,
        };
        if !report.loads.is_empty() || waiting_calls > 0 {
            self.state.peer_reports.insert(vm.clone(), report);
        }
    }

    /// Number of model calls at this VM that wait with normal headroom: those that can still meet
    /// their target latency, and those whose stream has started. Calls that hold a KV cache are not
    /// counted.
    pub(super) fn local_waiting_calls(&self) -> u32 {
        let waiting = self.state.calls.iter().filter(|(number, call)| {
            call.prompt.is_some()
                && matches!(call.phase, Phase::Waiting { .. })
                && self.headroom(**number) == Headroom::Normal
        });
        waiting.count() as u32
    }

    /// Whether a call may use free capacity. If calls at other VMs wait too, all see the same
    /// capacity, so each claims it with such a probability that about as many do as there is
    /// capacity for.
    pub(super) fn may_claim_capacity(&mut self, number: id::Call) -> bool {
        let reports = self.state.peer_reports.values();
        let waiting_elsewhere = reports
            .map(|report| report.waiting_calls)
            .fold(0, u32::saturating_add);
        if waiting_elsewhere == 0 {
            return true;
        }
        let Some(query) = self.build_query(number, Purpose::Decode) else {
            return true;
        };
        let capacity = placement::free_capacity(&self.state.pool, &query);
        let all = waiting_elsewhere.saturating_add(1);
        capacity >= all || self.state.rng.random_ratio(capacity, all)
    }

    /// Drops the reports that are older than [`REPORT_LIFETIME`].
    pub(super) fn tick_load(&mut self) {
        let now = self.now;
        let expired: Vec<id::Vm> = self
            .state
            .peer_reports
            .iter()
            .filter(|(_, report)| report.received_at + REPORT_LIFETIME < now)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            self.record_peer_load(&vm, Vec::new(), 0);
        }
    }
}
