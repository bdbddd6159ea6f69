//! This VM's claims at allocators: what its calls hold at engines, and what they ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::allocation::{self, Claim, Urgency};
use crate::call::{Ask, Phase};
use crate::duration::Scale as _;
use crate::event::Effect;
use crate::id;
use crate::placement::{self, Headroom, Purpose};
use crate::state::SentClaim;

use super::choose::ON_TIME_FRACTION;
use super::dispatch::{max_wait, ATTEMPT_TIME_MIN};
use super::Reducer;

/// Shortest interval between two claims to one allocator.
const CLAIM_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Interval at which a claim is repeated that has not changed.
const CLAIM_INTERVAL_MAX: Duration = Duration::from_millis(500);
/// How long an allocator that did not acknowledge a claim is passed over.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// Most runners that an ask excludes.
const EXCLUDED_MAX: usize = 8;

/// What to do about a claim at one allocator.
enum Action {
    /// It is sent.
    Send,
    /// It has to wait until the one before is acknowledged or a moment has passed.
    Later,
    /// The allocator knows that this VM wants nothing, so it gets no further claims.
    Forget,
    /// The allocator knows it.
    Nothing,
}

impl Reducer<'_> {
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
            match self.next_action(&allocator, &claim) {
                Action::Send => self.send_claim(allocator, claim),
                Action::Forget => _ = self.state.claims.sent.remove(&allocator),
                Action::Later => self.state.claims.changed = true,
                Action::Nothing => {}
            }
        }
    }

    /// What to do about the current claim at an allocator.
    fn next_action(&self, allocator: &id::Vm, claim: &Claim) -> Action {
        let Some(sent) = self.state.claims.sent.get(allocator) else {
            return if claim.is_empty() {
                Action::Nothing
            } else {
                Action::Send
            };
        };
        let is_local = *allocator == self.state.local.vm;
        let is_recent = !is_local && sent.sent_at + CLAIM_INTERVAL_MIN > self.now;
        let is_same = sent.claim.is_same_as(claim);
        if sent.is_unacknowledged || is_recent {
            return if is_same {
                Action::Nothing
            } else {
                Action::Later
            };
        }
        if is_same && sent.sent_at + CLAIM_INTERVAL_MAX > self.now {
            return Action::Nothing;
        }
        if claim.is_empty() && sent.claim.is_empty() {
            Action::Forget
        } else {
            Action::Send
        }
    }

    fn send_claim(&mut self, allocator: id::Vm, claim: Claim) {
        self.mark_readings_told(&claim);
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
        self.add_readings(&layout, &mut claims);
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
            readings: Vec::new(),
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
            build: self.required_build(number).cloned(),
            tokens: load.tokens,
            prefill_tokens: load.prefill_tokens,
            group: ask.group,
            groups: ask.groups,
            urgency: self.urgency(number),
            holder: call.holder.clone(),
            excluded,
            priority: call.priority(),
            organisation: call.identity.organisation().map(|known| known.name.clone()),
            patience: self.patience(number),
        })
    }

    /// How long a call waits for capacity: until this VM gives it up, its caller leaves or its deadline is too close.
    /// None for a stream that has begun, which is not refused.
    fn patience(&self, number: id::Call) -> Option<Duration> {
        let call = self.state.calls.get(&number)?;
        let is_waiting = matches!(call.phase, Phase::Waiting { .. });
        if !is_waiting || self.urgency(number) == Urgency::Started {
            return None;
        }
        let limit = max_wait(call).min(call.route.event_patience);
        let limit = limit.saturating_sub(self.now.saturating_sub(call.arrived_at));
        let remaining = call.remaining(self.now);
        Some(limit.min(remaining.saturating_sub(ATTEMPT_TIME_MIN)))
    }

    fn urgency(&self, number: id::Call) -> Urgency {
        let Some(call) = self.state.calls.get(&number) else {
            return Urgency::Late;
        };
        // A caller that goes on with a stream has a part of it, which a refusal would waste.
        if call.progress.head_forwarded || call.build.is_some() {
            return Urgency::Started;
        }
        if self.headroom(number) == Headroom::Extra {
            return Urgency::Late;
        }
        let elapsed = self.now.saturating_sub(call.arrived_at);
        let limit = call.route.target_latency.scale(ON_TIME_FRACTION);
        Urgency::InTime(limit.saturating_sub(elapsed))
    }
}
