//! Requests whose owner can't be reached: passed on, sealed, or taken over once the owner is dead.
//!
//! Work that may run only once is never taken over; the witness's seal says what became of it.
//! Work that may be repeated waits until its owner answers again or counts as dead, and is then run
//! here; a stream that still runs at its engine is resumed there and not computed again.

use std::time::Duration;

use crate::event::{Effect, Work};
use crate::id::{Call, Exchange, Key, Vm};
use crate::message::{Message, Status, StreamRecord};
use crate::refusal::{Code, Reason, Refusal};
use crate::state::{Foreign, Recovery, Release, WitnessedHold};
use crate::ticket::RunnerItem;
use crate::timeline::{Draft, Kind};
use crate::token::Instance;

use super::arrival::Entering;
use super::Step;

/// Interval at which a waiting request tries its owner or the witness again.
const RECOVERY_STEP: Duration = Duration::from_millis(250);
/// How long a boot that this process has never heard of may turn out to be a new one.
const UNHEARD_WAIT: Duration = Duration::from_secs(1);
/// Random picks made to find a witness other than a given one.
const BACKUP_TRIES: usize = 4;
/// Longest wait for the witness's word on a stream.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

impl Step<'_> {
    /// Passes a request to the process that its id names, or finds out what became of it there.
    pub(super) fn route_to_owner(&mut self, foreign: Foreign) {
        match self.reachable(foreign.token.owner) {
            Some((vm, address)) if !foreign.arrival.forwarded => self.forward(foreign, vm, address),
            _ => self.recover(foreign),
        }
    }

    fn reachable(&self, owner: Instance) -> Option<(Vm, std::net::SocketAddr)> {
        let member = self.state.members.get(owner.vm)?;
        let reachable = member.instance() == owner && member.is_reachable();
        reachable.then_some((member.descriptor.vm, member.descriptor.caller_address))
    }

    fn forward(&mut self, foreign: Foreign, vm: Vm, address: std::net::SocketAddr) {
        let exchange = foreign.arrival.exchange;
        self.note(Draft::new(Kind::Forwarded).request(foreign.key).vm(vm));
        self.state.counters.forwarded += 1;
        self.state.forwarded.insert(exchange, foreign);
        self.emit(Effect::Forward {
            exchange,
            vm,
            address,
        });
    }

    pub(super) fn forward_failed(&mut self, exchange: Exchange) {
        if let Some(foreign) = self.state.forwarded.remove(&exchange) {
            self.recover(foreign);
        }
    }

    fn recover(&mut self, foreign: Foreign) {
        if !self.may_take_over(&foreign) {
            self.seal(&foreign);
            return;
        }
        let exchange = foreign.arrival.exchange;
        let due = self.now.up + RECOVERY_STEP;
        let recovery = Recovery {
            foreign,
            due,
            asked: None,
            told: None,
        };
        self.state.recoveries.insert(exchange, recovery);
        if self.is_dead(self.state.recoveries[&exchange].foreign.token.owner) {
            self.step_recovery(exchange);
        }
    }

    fn may_take_over(&self, foreign: &Foreign) -> bool {
        match &foreign.arrival.work {
            Work::Model { .. } => true,
            Work::Service { method, path } => {
                let endpoint = self.state.table.endpoint(&foreign.arrival.endpoint);
                endpoint.is_some_and(|endpoint| endpoint.is_repeatable(method, path))
            }
        }
    }

    /// Tells whether a process has ended, as far as the fleet knows.
    fn is_dead(&self, instance: Instance) -> bool {
        if instance == self.state.instance {
            return false;
        }
        let member = self.state.members.get(instance.vm);
        member.is_none_or(|member| {
            member.instance() != instance || member.descriptor.status == Status::Down
        })
    }

    /// Tells whether an owner is dead and not just a boot that this process has yet to hear of.
    fn is_surely_dead(&self, foreign: &Foreign) -> bool {
        let owner = foreign.token.owner;
        let member = self.state.members.get(owner.vm);
        let down = member.is_some_and(|member| {
            member.instance() == owner && member.descriptor.status == Status::Down
        });
        down || (self.is_dead(owner) && self.now.up >= foreign.since + UNHEARD_WAIT)
    }

    pub(super) fn tick_recoveries(&mut self) {
        let up = self.now.up;
        let due: Vec<Exchange> = self
            .state
            .recoveries
            .iter()
            .filter(|(_, recovery)| recovery.due <= up)
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in due {
            self.step_recovery(exchange);
        }
    }

    fn step_recovery(&mut self, exchange: Exchange) {
        let up = self.now.up;
        let Some(mut recovery) = self.state.recoveries.remove(&exchange) else {
            return;
        };
        let owner = recovery.foreign.token.owner;
        if up >= recovery.foreign.since + self.state.settings.recovery_timeout {
            let key = recovery.foreign.key;
            self.refuse(
                exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerUnreachable),
            );
            return;
        }
        if !self.is_surely_dead(&recovery.foreign) {
            match self
                .reachable(owner)
                .filter(|_| !recovery.foreign.arrival.forwarded)
            {
                Some((vm, address)) => self.forward(recovery.foreign, vm, address),
                None => self.wait_on(exchange, recovery),
            }
            return;
        }
        match self.known_hold(&mut recovery) {
            Some(hold) => self.take_over_from_dead(recovery.foreign, hold),
            None => self.wait_on(exchange, recovery),
        }
    }

    fn wait_on(&mut self, exchange: Exchange, mut recovery: Recovery) {
        recovery.due = self.now.up + RECOVERY_STEP;
        self.state.recoveries.insert(exchange, recovery);
    }

    /// What is known of the stream at the engine; none while the witness has not answered.
    fn known_hold(&mut self, recovery: &mut Recovery) -> Option<Option<StreamRecord>> {
        if let Some(told) = &recovery.told {
            return Some(told.clone());
        }
        let foreign = &recovery.foreign;
        let is_model = matches!(foreign.arrival.work, Work::Model { .. });
        let Some(witness) = foreign.token.witness.filter(|_| is_model) else {
            return Some(None);
        };
        if witness == self.state.instance {
            return Some(
                self.state
                    .holds
                    .get(&foreign.key)
                    .map(|held| held.hold.clone()),
            );
        }
        let asked = *recovery.asked.get_or_insert(self.now.up);
        if self.is_dead(witness) || self.now.up >= asked + HOLD_TIMEOUT {
            return Some(None);
        }
        self.send(witness.vm, Message::StreamQuery { key: foreign.key });
        None
    }

    pub(super) fn hold_answered(&mut self, key: Key, hold: &Option<StreamRecord>) {
        let waiting = self
            .state
            .recoveries
            .iter_mut()
            .filter(|(_, recovery)| recovery.foreign.key == key);
        let mut exchanges = Vec::new();
        for (exchange, recovery) in waiting {
            recovery.told = Some(hold.clone());
            exchanges.push(*exchange);
        }
        for exchange in exchanges {
            self.step_recovery(exchange);
        }
    }

    /// Runs a dead owner's request here.
    fn take_over_from_dead(&mut self, foreign: Foreign, hold: Option<StreamRecord>) {
        let Foreign {
            arrival,
            id,
            key,
            token,
            ..
        } = foreign;
        if let Some(&call) = self.state.by_key.get(&key) {
            self.repeat(call, &arrival);
            return;
        }
        if let Err(refusal) = self.check_admission(&arrival) {
            self.refuse(
                arrival.exchange,
                Some(key),
                Refusal {
                    code: Code::Unknown,
                    ..refusal
                },
            );
            return;
        }
        let running =
            hold.and_then(|hold| Some((self.runner_at(&arrival.endpoint, hold.address)?, hold)));
        if running.is_none() && arrival.after > 0 {
            // The text before is with the caller only, and another run would give another text.
            self.refuse(
                arrival.exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerGone),
            );
            return;
        }
        self.state.counters.recovered += 1;
        self.note(Draft::new(Kind::Recovered).request(key).vm(token.owner.vm));
        let base = arrival.after;
        let call = self.enter(
            arrival,
            id,
            token,
            Entering {
                presented: true,
                repeatable: true,
                base,
            },
        );
        match running {
            Some((runner, hold)) => self.start_resume(call, &runner, hold.request),
            None => self.try_dispatch(call),
        }
    }

    fn runner_at(&self, endpoint: &str, address: std::net::SocketAddr) -> Option<RunnerItem> {
        let item = self.state.table.endpoint(endpoint)?;
        item.runners
            .iter()
            .find(|runner| runner.address == address)
            .cloned()
    }

    /// Tells the witness which stream a call is about to have.
    pub(super) fn tell_hold(
        &mut self,
        call: Call,
        runner: &RunnerItem,
        attempt: crate::id::Attempt,
    ) {
        let hold = StreamRecord {
            address: runner.address,
            request: self.engine_request(attempt),
        };
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.hold = Some(hold.clone());
        }
        self.send_hold(call, Some(hold));
    }

    /// Tells the witness that a call has no stream any more.
    pub(super) fn drop_hold(&mut self, call: Call) {
        let held = self
            .state
            .requests
            .get_mut(&call)
            .and_then(|request| request.hold.take());
        if held.is_some() {
            self.send_hold(call, None);
        }
    }

    /// Tells the witness and one more process, so that the death of two is needed to forget a
    /// stream beside its owner's.
    fn send_hold(&mut self, call: Call, hold: Option<StreamRecord>) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let (key, expiry, witness) = (request.key, request.expiry, request.witness);
        let backup = request.backup.or_else(|| self.pick_backup(witness));
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.backup = backup;
        }
        self.tell_seats([witness, backup], key, expiry, hold);
    }

    fn tell_seats(
        &mut self,
        seats: [Option<Instance>; 2],
        key: Key,
        expiry: Duration,
        hold: Option<StreamRecord>,
    ) {
        for instance in seats.into_iter().flatten() {
            if instance == self.state.instance {
                self.hold_told(instance, key, expiry, hold.clone());
            } else {
                self.send(
                    instance.vm,
                    Message::StreamRecord {
                        key,
                        expiry,
                        stream: hold.clone(),
                    },
                );
            }
        }
    }

    /// Takes a call's stream as one that is being cancelled: those who know of it are told once the
    /// engine has acknowledged, so that they go on if this process dies before.
    pub(super) fn take_release(&mut self, call: Call) -> Option<Release> {
        let request = self.state.requests.get_mut(&call)?;
        request.hold.take()?;
        let seats = [request.witness, request.backup];
        Some(Release {
            key: request.key,
            expiry: request.expiry,
            seats,
        })
    }

    /// Tells those who know of a stream that it is no more, unless the call has another by now.
    pub(super) fn release_hold(&mut self, release: &Release) {
        let call = self.state.by_key.get(&release.key);
        let request = call.and_then(|call| self.state.requests.get(call));
        if request.is_some_and(|request| request.hold.is_some()) {
            return;
        }
        self.tell_seats(release.seats, release.key, release.expiry, None);
    }

    /// Picks another one of this process's witnesses; any process where there is no other.
    fn pick_backup(&mut self, witness: Option<Instance>) -> Option<Instance> {
        let (own, zone) = (self.state.instance, self.state.settings.zone.clone());
        for _ in 0..BACKUP_TRIES {
            let picked = self.pick_witness(own, &zone);
            if picked.is_some() && picked != witness {
                return picked;
            }
        }
        let vm = self
            .random_members(1, witness.map(|witness| witness.vm))
            .first()
            .copied()?;
        self.state.members.get(vm).map(|member| member.instance())
    }

    /// As witness: takes note of a stream. Another process's word counts only once the one that
    /// has it is dead.
    pub(super) fn hold_told(
        &mut self,
        from: Instance,
        key: Key,
        expiry: Duration,
        hold: Option<StreamRecord>,
    ) {
        let other = self
            .state
            .holds
            .get(&key)
            .map(|held| held.owner)
            .filter(|owner| *owner != from);
        if other.is_some_and(|owner| !self.is_dead(owner)) {
            return;
        }
        match hold {
            None => _ = self.state.holds.remove(&key),
            Some(hold) if self.state.holds.len() < self.state.settings.witness_max => {
                let held = WitnessedHold {
                    owner: from,
                    hold,
                    expiry,
                    dead_since: None,
                };
                self.state.holds.insert(key, held);
            }
            Some(_) => {}
        }
    }

    pub(super) fn hold_asked(&mut self, from: Instance, key: Key) {
        let stream = self.state.holds.get(&key).map(|held| held.hold.clone());
        self.send(from.vm, Message::StreamReply { key, stream });
    }

    /// As witness: cancels the streams of dead processes whose callers did not come back.
    pub(super) fn tick_holds(&mut self) {
        let up = self.now.up;
        let grace = self.state.settings.reconnect_grace;
        let owners: std::collections::BTreeSet<Instance> =
            self.state.holds.values().map(|held| held.owner).collect();
        let dead: std::collections::BTreeSet<Instance> = owners
            .into_iter()
            .filter(|owner| self.is_dead(*owner))
            .collect();
        let mut overdue = Vec::new();
        for (key, held) in &mut self.state.holds {
            if !dead.contains(&held.owner) {
                held.dead_since = None;
            } else if up >= *held.dead_since.get_or_insert(up) + grace {
                overdue.push(*key);
            }
        }
        for key in overdue {
            if let Some(held) = self.state.holds.remove(&key) {
                self.note(Draft::new(Kind::CancelSent).request(key).vm(held.owner.vm));
                self.order_cancel(held.hold.address, held.hold.request, None);
            }
        }
    }
}
