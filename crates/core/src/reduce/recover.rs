//! Requests whose owner can't be reached: forwarded, sealed, or taken over once the owner is dead.
//!
//! Work that may run only once is never taken over; sealing its id at the witness shows what became
//! of it. Work that may be repeated waits until its owner is reachable and is then forwarded to it,
//! or until its owner is considered dead and then runs here. A stream that is still running at its
//! engine is resumed there rather than computed again.

use std::time::Duration;

use crate::event::{Effect, Work};
use crate::id::{Call, Exchange, Key, Vm};
use crate::message::{Message, Status, StreamRecord};
use crate::refusal::{Claim, Reason, Refusal};
use crate::state::{Lifecycle, Recovery, RemoteRequest, StreamRelease, WitnessedStream};
use crate::ticket::RunnerItem;
use crate::timeline::{Draft, Kind};
use crate::token::Instance;

use super::arrival::CallOptions;
use super::Reducer;

/// Interval at which a waiting request retries its owner or the witness.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which an unknown incarnation may turn out to be a new one that this process has not
/// seen yet.
const UNKNOWN_OWNER_WAIT: Duration = Duration::from_secs(1);
/// Number of random picks to find a witness other than the given one.
const BACKUP_PICKS: usize = 4;
/// Timeout for the witness's reply to a stream query.
const STREAM_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

impl Reducer<'_> {
    /// Forwards a request to the process that owns its id, or starts the recovery if that process
    /// can't be reached. After the exit, nothing would end a recovery or await a forwarded request.
    pub(super) fn route_to_owner(&mut self, remote: RemoteRequest) {
        if self.state.lifecycle == Lifecycle::Ended {
            self.refuse_after_exit(remote.arrival.exchange, remote.key);
            return;
        }
        match self.reachable_address(remote.token.owner) {
            Some((vm, address)) if !remote.arrival.forwarded => {
                self.forward_to_owner(remote, vm, address)
            }
            _ => self.start_recovery(remote),
        }
    }

    fn reachable_address(&self, owner: Instance) -> Option<(Vm, std::net::SocketAddr)> {
        let member = self.state.members.get(owner.vm)?;
        let is_reachable = member.instance() == owner && member.is_reachable();
        is_reachable.then_some((member.descriptor.vm, member.descriptor.caller_address))
    }

    fn forward_to_owner(&mut self, remote: RemoteRequest, vm: Vm, address: std::net::SocketAddr) {
        let exchange = remote.arrival.exchange;
        self.record_event(Draft::new(Kind::Forwarded).request(remote.key).vm(vm));
        self.state.counters.forwarded += 1;
        self.state.forwarded.insert(exchange, remote);
        self.emit(Effect::Forward {
            exchange,
            vm,
            address,
        });
    }

    pub(super) fn handle_forward_failure(&mut self, exchange: Exchange) {
        if let Some(remote) = self.state.forwarded.remove(&exchange) {
            self.start_recovery(remote);
        }
    }

    /// Refuses a request that may have run at its owner, or in part at this process. The caller is
    /// directed to other processes.
    pub(super) fn refuse_after_exit(&mut self, exchange: Exchange, key: Key) {
        self.refuse(exchange, Some(key), Refusal::unknown(Reason::Leaving));
    }

    fn start_recovery(&mut self, remote: RemoteRequest) {
        let arrival = &remote.arrival;
        if !self.can_take_over(&arrival.endpoint, &arrival.work) {
            self.request_seal(&remote);
            return;
        }
        let exchange = remote.arrival.exchange;
        let next_step_at = self.now.up + RECOVERY_INTERVAL;
        let recovery = Recovery {
            remote,
            next_step_at,
            queried_at: None,
            reply: None,
        };
        self.state.recoveries.insert(exchange, recovery);
        if self.is_dead(self.state.recoveries[&exchange].remote.token.owner) {
            self.step_recovery(exchange);
        }
    }

    /// Changes a refusal as "not run" to one that claims nothing if this process is leaving and another one may then
    /// take the id over: the record of the refusal ends with this process, and no witness has it.
    pub(super) fn weaken_if_leaving(
        &self,
        refusal: Refusal,
        endpoint: &str,
        work: &Work,
    ) -> Refusal {
        let is_lasting =
            self.state.lifecycle == Lifecycle::Running || !self.can_take_over(endpoint, work);
        match refusal.claim {
            Claim::NotRun if !is_lasting => Refusal {
                claim: Claim::Unknown,
                ..refusal
            },
            _ => refusal,
        }
    }

    /// Returns whether any process may run work under the id of a dead owner.
    fn can_take_over(&self, endpoint: &str, work: &Work) -> bool {
        match work {
            Work::Model { .. } => true,
            Work::Service { method, path } => {
                let endpoint = self.state.table.endpoint(endpoint);
                endpoint.is_some_and(|endpoint| endpoint.is_repeatable(method, path))
            }
        }
    }

    /// Returns whether a process has ended, according to the membership.
    fn is_dead(&self, instance: Instance) -> bool {
        if instance == self.state.instance {
            return false;
        }
        let member = self.state.members.get(instance.vm);
        member.is_none_or(|member| {
            member.instance() != instance || member.descriptor.status == Status::Down
        })
    }

    /// Returns whether an owner is dead rather than a new incarnation that this process has not
    /// seen yet.
    fn is_confirmed_dead(&self, remote: &RemoteRequest) -> bool {
        let owner = remote.token.owner;
        let member = self.state.members.get(owner.vm);
        let is_down = member.is_some_and(|member| {
            member.instance() == owner && member.descriptor.status == Status::Down
        });
        is_down || (self.is_dead(owner) && self.now.up >= remote.arrived_at + UNKNOWN_OWNER_WAIT)
    }

    pub(super) fn tick_recoveries(&mut self) {
        let up = self.now.up;
        let due: Vec<Exchange> = self
            .state
            .recoveries
            .iter()
            .filter(|(_, recovery)| recovery.next_step_at <= up)
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
        let owner = recovery.remote.token.owner;
        if up >= recovery.remote.arrived_at + self.state.settings.recovery_timeout {
            let key = recovery.remote.key;
            self.refuse(
                exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerUnreachable),
            );
            return;
        }
        if !self.is_confirmed_dead(&recovery.remote) {
            match self
                .reachable_address(owner)
                .filter(|_| !recovery.remote.arrival.forwarded)
            {
                Some((vm, address)) => self.forward_to_owner(recovery.remote, vm, address),
                None => self.reschedule_recovery(exchange, recovery),
            }
            return;
        }
        match self.resolve_stream(&mut recovery) {
            Some(stream) => self.take_over(recovery.remote, stream),
            None => self.reschedule_recovery(exchange, recovery),
        }
    }

    fn reschedule_recovery(&mut self, exchange: Exchange, mut recovery: Recovery) {
        recovery.next_step_at = self.now.up + RECOVERY_INTERVAL;
        self.state.recoveries.insert(exchange, recovery);
    }

    /// Returns the stream that the witness has recorded for a request, if any; `None` while the
    /// witness has not answered. A witness that is dead or exceeds the timeout counts as having no
    /// record.
    fn resolve_stream(&mut self, recovery: &mut Recovery) -> Option<Option<StreamRecord>> {
        if let Some(reply) = &recovery.reply {
            return Some(reply.clone());
        }
        let remote = &recovery.remote;
        let is_model = matches!(remote.arrival.work, Work::Model { .. });
        let Some(witness) = remote.token.witness.filter(|_| is_model) else {
            return Some(None);
        };
        if witness == self.state.instance {
            return Some(
                self.state
                    .witnessed_streams
                    .get(&remote.key)
                    .map(|witnessed| witnessed.stream.clone()),
            );
        }
        let queried_at = *recovery.queried_at.get_or_insert(self.now.up);
        if self.is_dead(witness) || self.now.up >= queried_at + STREAM_QUERY_TIMEOUT {
            return Some(None);
        }
        self.send(witness.vm, Message::StreamQuery { key: remote.key });
        None
    }

    pub(super) fn handle_stream_reply(&mut self, key: Key, stream: &Option<StreamRecord>) {
        let waiting = self
            .state
            .recoveries
            .iter_mut()
            .filter(|(_, recovery)| recovery.remote.key == key);
        let mut exchanges = Vec::new();
        for (exchange, recovery) in waiting {
            recovery.reply = Some(stream.clone());
            exchanges.push(*exchange);
        }
        for exchange in exchanges {
            self.step_recovery(exchange);
        }
    }

    /// Runs the request of a dead owner on this process.
    fn take_over(&mut self, remote: RemoteRequest, stream: Option<StreamRecord>) {
        let RemoteRequest {
            arrival,
            id,
            key,
            token,
            ..
        } = remote;
        if let Some(&call) = self.state.by_key.get(&key) {
            self.handle_repeat(call, &arrival);
            return;
        }
        if let Err(refusal) = self.check_admission(&arrival) {
            self.refuse(
                arrival.exchange,
                Some(key),
                Refusal {
                    claim: Claim::Unknown,
                    ..refusal
                },
            );
            return;
        }
        let running = stream
            .and_then(|stream| Some((self.runner_at(&arrival.endpoint, stream.address)?, stream)));
        if running.is_none() && arrival.resume_after > 0 {
            // Only the caller has the earlier tokens, and another run would generate different
            // ones.
            self.refuse(
                arrival.exchange,
                Some(key),
                Refusal::unknown(Reason::OwnerGone),
            );
            return;
        }
        self.state.counters.recovered += 1;
        self.record_event(Draft::new(Kind::Recovered).request(key).vm(token.owner.vm));
        let base = arrival.resume_after;
        let call = self.create_call(
            arrival,
            id,
            token,
            CallOptions {
                id_from_caller: true,
                repeatable: true,
                base,
                may_have_run: true,
            },
        );
        match running {
            Some((runner, stream)) => self.start_resume(call, &runner, stream.request),
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

    /// Reports the stream that a call is about to have to its witnesses.
    pub(super) fn record_stream(
        &mut self,
        call: Call,
        runner: &RunnerItem,
        attempt: crate::id::Attempt,
    ) {
        let stream = StreamRecord {
            address: runner.address,
            request: self.engine_request_id(attempt),
        };
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.stream = Some(stream.clone());
        }
        self.send_stream_record(call, Some(stream));
    }

    /// Reports to a call's witnesses that it no longer has a stream.
    pub(super) fn clear_stream(&mut self, call: Call) {
        let stream = self
            .state
            .requests
            .get_mut(&call)
            .and_then(|request| request.stream.take());
        if stream.is_some() {
            self.send_stream_record(call, None);
        }
    }

    /// Sends the stream record to the witness and to a backup witness, so that a stream is lost
    /// track of only if both of them die along with the owner.
    fn send_stream_record(&mut self, call: Call, stream: Option<StreamRecord>) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let (key, expiry, witness) = (request.key, request.expiry, request.witness);
        let backup_witness = request
            .backup_witness
            .or_else(|| self.pick_backup_witness(witness));
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.backup_witness = backup_witness;
        }
        self.send_to_stream_witnesses([witness, backup_witness], key, expiry, stream);
    }

    fn send_to_stream_witnesses(
        &mut self,
        recipients: [Option<Instance>; 2],
        key: Key,
        expiry: Duration,
        stream: Option<StreamRecord>,
    ) {
        for recipient in recipients.into_iter().flatten() {
            if recipient == self.state.instance {
                self.handle_stream_record(recipient, key, expiry, stream.clone());
            } else {
                self.send(
                    recipient.vm,
                    Message::StreamRecord {
                        key,
                        expiry,
                        stream: stream.clone(),
                    },
                );
            }
        }
    }

    /// Detaches the stream record from a call whose stream is being cancelled. The witnesses are
    /// notified once the engine has acknowledged; if this process dies before, they cancel the
    /// stream.
    pub(super) fn take_release(&mut self, call: Call) -> Option<StreamRelease> {
        let request = self.state.requests.get_mut(&call)?;
        request.stream.take()?;
        let recipients = [request.witness, request.backup_witness];
        Some(StreamRelease {
            key: request.key,
            expiry: request.expiry,
            recipients,
        })
    }

    /// Notifies the witnesses that a stream has ended, unless the call has another one by now.
    pub(super) fn release_stream(&mut self, release: &StreamRelease) {
        let call = self.state.by_key.get(&release.key);
        let request = call.and_then(|call| self.state.requests.get(call));
        if request.is_some_and(|request| request.stream.is_some()) {
            return;
        }
        self.send_to_stream_witnesses(release.recipients, release.key, release.expiry, None);
    }

    /// Picks another witness of this process, or a random member if none is found.
    fn pick_backup_witness(&mut self, witness: Option<Instance>) -> Option<Instance> {
        let (local, zone) = (self.state.instance, self.state.settings.zone.clone());
        for _ in 0..BACKUP_PICKS {
            let picked = self.pick_witness(local, &zone);
            if picked.is_some() && picked != witness {
                return picked;
            }
        }
        let vm = self
            .pick_members(1, witness.map(|witness| witness.vm))
            .first()
            .copied()?;
        self.state.members.get(vm).map(|member| member.instance())
    }

    /// As witness: records a call's stream, or removes the record if the stream has ended. A record
    /// of another process is replaced or removed only once that process is dead.
    pub(super) fn handle_stream_record(
        &mut self,
        from: Instance,
        key: Key,
        expiry: Duration,
        stream: Option<StreamRecord>,
    ) {
        let other_owner = self
            .state
            .witnessed_streams
            .get(&key)
            .map(|witnessed| witnessed.owner)
            .filter(|owner| *owner != from);
        if other_owner.is_some_and(|owner| !self.is_dead(owner)) {
            return;
        }
        match stream {
            None => _ = self.state.witnessed_streams.remove(&key),
            Some(stream)
                if self.state.witnessed_streams.len() < self.state.settings.witness_max =>
            {
                let witnessed = WitnessedStream {
                    owner: from,
                    stream,
                    expiry,
                    dead_since: None,
                };
                self.state.witnessed_streams.insert(key, witnessed);
            }
            Some(_) => {}
        }
    }

    pub(super) fn handle_stream_query(&mut self, from: Instance, key: Key) {
        let stream = self
            .state
            .witnessed_streams
            .get(&key)
            .map(|witnessed| witnessed.stream.clone());
        self.send(from.vm, Message::StreamReply { key, stream });
    }

    /// As witness: cancels the streams of dead processes whose callers did not return.
    pub(super) fn tick_witnessed_streams(&mut self) {
        let up = self.now.up;
        let grace = self.state.settings.reconnect_grace;
        let owners: std::collections::BTreeSet<Instance> = self
            .state
            .witnessed_streams
            .values()
            .map(|witnessed| witnessed.owner)
            .collect();
        let dead: std::collections::BTreeSet<Instance> = owners
            .into_iter()
            .filter(|owner| self.is_dead(*owner))
            .collect();
        let mut overdue = Vec::new();
        for (key, witnessed) in &mut self.state.witnessed_streams {
            if !dead.contains(&witnessed.owner) {
                witnessed.dead_since = None;
            } else if up >= *witnessed.dead_since.get_or_insert(up) + grace {
                overdue.push(*key);
            }
        }
        for key in overdue {
            if let Some(witnessed) = self.state.witnessed_streams.remove(&key) {
                self.record_event(
                    Draft::new(Kind::CancelSent)
                        .request(key)
                        .vm(witnessed.owner.vm),
                );
                self.start_cancel(witnessed.stream.address, witnessed.stream.request, None);
            }
        }
    }
}
