//! Work under way at engines: this VM's own, told to all others at once, and theirs.

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

/// Shortest time between two tellings.
const TELL_INTERVAL: Duration = Duration::from_millis(10);
/// Most VMs that tell each other their work; in a larger fleet the sum of messages would be too
/// much, and each goes by its own counts and what runners tell.
const FLEET_MAX: usize = 80;
/// How long the word of a VM that is not heard again counts.
const TOLD_KEPT: Duration = Duration::from_secs(4);

impl Reducer<'_> {
    /// Counts work that an attempt puts on a runner, now or when it has succeeded.
    pub(super) fn charge(&mut self, attempt: id::Attempt, runner: &id::Runner, load: Load) {
        if let Some(known) = self.state.pool.get_mut(runner) {
            known.local_load.add(load);
        }
        let charges = self.state.charges.entry(attempt).or_default();
        charges.push((runner.clone(), load));
        self.state.load_changed |= load.tokens > 0;
    }

    /// Takes the work of an attempt that has ended out of the count.
    pub(super) fn discharge(&mut self, attempt: id::Attempt) {
        for (runner, load) in self.state.charges.remove(&attempt).unwrap_or_default() {
            if let Some(known) = self.state.pool.get_mut(&runner) {
                known.local_load.sub(load);
            }
            self.state.load_changed |= load.tokens > 0;
        }
    }

    /// Counts the prompt of an attempt as read.
    pub(super) fn charge_read(&mut self, attempt: id::Attempt) {
        let Some(charges) = self.state.charges.get_mut(&attempt) else {
            return;
        };
        for (runner, load) in charges {
            let read = Load {
                prefill_tokens: std::mem::take(&mut load.prefill_tokens),
                ..Load::default()
            };
            if read.prefill_tokens == 0 {
                continue;
            }
            if let Some(known) = self.state.pool.get_mut(runner) {
                known.local_load.sub(read);
            }
            self.state.load_changed = true;
        }
    }

    /// This VM's work at engines.
    pub(super) fn local_loads(&self) -> Vec<(id::Runner, Load)> {
        self.state
            .pool
            .iter()
            .filter(|runner| runner.local_load.tokens > 0)
            .map(|runner| (runner.descriptor.runner.clone(), runner.local_load))
            .collect()
    }

    /// Tells the others this VM's work, where it has changed.
    pub(super) fn publish_load(&mut self) {
        let due = self.state.load_published_at + TELL_INTERVAL <= self.now;
        if !self.state.load_changed || !due {
            return;
        }
        self.state.load_changed = false;
        self.state.load_published_at = self.now;
        let peers: Vec<_> = self
            .state
            .members
            .iter()
            .filter(|member| member.descriptor.status < Status::Down && member.missed_probes == 0)
            .map(|member| member.descriptor.peer_address)
            .collect();
        if peers.len() >= FLEET_MAX {
            return;
        }
        let view = self.load_view();
        for address in peers {
            let view = view.clone();
            self.emit(Effect::PublishView { address, view });
        }
    }

    /// Takes what another VM told of its work.
    pub(super) fn record_peer_load(
        &mut self,
        vm: &id::Vm,
        loads: Vec<(id::Runner, Load)>,
        waiting: u32,
    ) {
        let before = self.state.peer_reports.remove(vm).unwrap_or_default();
        self.state
            .pool
            .replace_peer_loads(before.loads.iter(), loads.iter());
        let reported = PeerReport {
            loads,
            waiting,
            received_at: self.now,
        };
        if !reported.loads.is_empty() || waiting > 0 {
            self.state.peer_reports.insert(vm.clone(), reported);
        }
    }

    /// Calls of this VM that wait for room and can still be on time.
    pub(super) fn local_waiting(&self) -> u32 {
        let waiting = self.state.calls.iter().filter(|(number, call)| {
            call.prompt.is_some()
                && matches!(call.phase, Phase::Waiting { .. })
                && self.headroom(**number) == Headroom::Normal
        });
        waiting.count() as u32
    }

    /// Tells whether a call may take room that it sees. Where calls of other VMs wait too, all see
    /// the same room; each takes it with a chance by which as many do as there is room for.
    pub(super) fn may_claim_capacity(&mut self, number: id::Call) -> bool {
        let others: u32 = self
            .state
            .peer_reports
            .values()
            .map(|reported| reported.waiting)
            .sum();
        if others == 0 {
            return true;
        }
        let Some(query) = self.query(number, Purpose::Decode) else {
            return true;
        };
        let rooms = placement::free_capacity(&self.state.pool, &query);
        rooms > others || self.state.rng.random_ratio(rooms, 1 + others)
    }

    /// Drops the word of VMs that have not been heard for long.
    pub(super) fn tick_load(&mut self) {
        let now = self.now;
        let old: Vec<id::Vm> = self
            .state
            .peer_reports
            .iter()
            .filter(|(_, reported)| reported.received_at + TOLD_KEPT < now)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in old {
            self.record_peer_load(&vm, Vec::new(), 0);
        }
    }
}
