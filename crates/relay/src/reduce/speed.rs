//! Observations of how long work takes at runners, and the readings of other VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::allocation::Claim;
use crate::duration::Scale as _;
use crate::id;
use crate::placement::{self, Purpose};
use crate::pool::{Report, Runner};
use crate::speed::{Estimate, Field};

use super::allocate::Layout;
use super::outcome::EndedAttempt;
use super::Reducer;

impl Reducer<'_> {
    /// Records the load that the head of a stream states.
    pub(super) fn handle_load_statement(&mut self, attempt: id::Attempt, reported: Report) {
        let in_flight = self.state.in_flight.get(&attempt);
        let runner = in_flight.map(|in_flight| in_flight.instance.runner.clone());
        if let Some(runner) = runner {
            self.record_slowdown(&runner, Some(reported));
        }
    }

    /// Records the slowdown that a runner reports.
    pub(super) fn record_slowdown(&mut self, runner: &id::Runner, reported: Option<Report>) {
        let now = self.now;
        let slowdown = reported.and_then(|reported| reported.slowdown);
        let Some(slowdown) = slowdown.filter(|_| self.state.policy.speeds) else {
            return;
        };
        if let Some(known) = self.state.pool.get_mut(runner) {
            known.speed.record_slowdown(slowdown, now);
        }
    }

    /// Records the time of a token in a prefill that has ended.
    pub(super) fn record_prefill_time(&mut self, ended: &EndedAttempt, tokens: u64) {
        let work = tokens.saturating_add(ended.in_flight.queued_tokens);
        if work > 0 {
            let time = ended.took.scale(1.0 / (work as f64));
            self.record_time(&ended.runner, time);
        }
    }

    /// Records the time that a plain request took, without the wait in the queue that it met.
    pub(super) fn record_plain_time(&mut self, ended: &EndedAttempt, reported: Option<Report>) {
        let queued = reported.map_or(0.0, |reported| {
            f64::from(reported.waiting) / f64::from(reported.slots.max(1))
        });
        let call = self.state.calls.get(&ended.number);
        if call.is_some_and(|call| call.prompt.is_none()) {
            self.record_time(&ended.runner, ended.took.scale(1.0 / (1.0 + queued)));
        }
    }

    /// Records the time of an event of a stream.
    pub(super) fn record_event_time(&mut self, attempt: id::Attempt) {
        let now = self.now;
        let Some(in_flight) = self.state.in_flight.get_mut(&attempt) else {
            return;
        };
        if let Some(time) = in_flight.pace.record(now) {
            let runner = in_flight.instance.runner.clone();
            self.record_time(&runner, time);
        }
    }

    /// Expected time until a prefill runner has prefilled this many tokens; not less than it is elsewhere,
    /// since a prefill that is given up too soon is wasted.
    pub(super) fn prefill_time(&self, number: id::Call, runner: &Runner, tokens: u64) -> Duration {
        let usual = runner.prefill_time(tokens);
        let call = self.state.calls.get(&number);
        let field =
            call.and_then(|call| Field::new(&self.state.pool, &call.endpoint, Purpose::Prefill));
        usual.max(placement::prefill_time(
            runner,
            tokens,
            field.as_ref(),
            self.now,
        ))
    }

    /// Records the time of a unit of work at a runner that reports slowdowns.
    fn record_time(&mut self, runner: &id::Runner, time: Duration) {
        if let Some(speed) = self.reporting_speed(runner) {
            speed.record_time(time);
        }
    }

    fn reporting_speed(&mut self, runner: &id::Runner) -> Option<&mut Estimate> {
        let known = self.state.pool.get_mut(runner)?;
        Some(&mut known.speed).filter(|speed| speed.has_reports())
    }

    /// Records that this VM, as allocator, placed a call at an engine that reports slowdowns.
    pub(super) fn record_grant(&mut self, engine: &id::Runner) {
        let now = self.now;
        if let Some(known) = self.state.pool.get_mut(engine) {
            known.speed.record_grant(now);
        }
    }

    /// Whether a runner has told this VM its slowdown. Plain runners answer each VM more often than engines do,
    /// so those of all endpoints count.
    pub(super) fn has_slowdowns(&self) -> bool {
        let mut runners = self.state.pool.iter();
        runners.any(|runner| runner.speed.has_own_reports())
    }

    /// Whether runners report slowdowns, by what this VM and the others have received themselves.
    pub(super) fn is_uneven(&self) -> bool {
        let mut members = self.state.members.iter();
        let is_told = members.any(|member| member.has_slowdowns && member.is_serving());
        self.state.policy.speeds && (is_told || self.has_slowdowns())
    }

    /// Adds to claims what this VM has observed of engines.
    pub(super) fn add_readings(&self, layout: &Layout, claims: &mut BTreeMap<id::Vm, Claim>) {
        let engines = self.state.pool.iter();
        let engines = engines.filter(|runner| runner.descriptor.role.is_some());
        for engine in engines {
            let name = &engine.descriptor.runner;
            let Some(reading) = engine.speed.untold(self.now) else {
                continue;
            };
            let allocator = layout.allocator_of(name);
            if let Some(claim) = allocator.and_then(|allocator| claims.get_mut(allocator)) {
                claim.readings.push((name.clone(), reading));
            }
        }
        for claim in claims.values_mut() {
            claim
                .readings
                .sort_by(|(one, _), (other, _)| one.cmp(other));
        }
    }

    /// Forgets the observations that a claim tells. Those of a claim that is lost are not told again: the
    /// next ones are as good.
    pub(super) fn mark_readings_told(&mut self, claim: &Claim) {
        for (runner, _) in &claim.readings {
            if let Some(known) = self.state.pool.get_mut(runner) {
                known.speed.mark_told();
            }
        }
    }

    /// Records what another VM has observed of engines.
    pub(super) fn record_readings(&mut self, claim: &Claim) {
        if claim.vm == self.state.local.vm || !self.state.policy.speeds {
            return;
        }
        for (runner, reading) in &claim.readings {
            if let Some(known) = self.state.pool.get_mut(runner) {
                known.speed.record_reading(reading, self.now);
            }
        }
    }
}
