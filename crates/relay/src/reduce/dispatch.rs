//! Starts attempts, and lets calls wait for capacity.

use std::time::Duration;

use crate::arrivals::Step;
use crate::breaker::Observation;
use crate::call::{Call, Grant, Phase};
use crate::crash::shared_parts;
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::{Dispatch, Effect, Operation};
use crate::id;
use crate::manifest::Kind as RouteKind;
use crate::placement::{self, Headroom, Purpose};
use crate::pool::{Load, Runner};
use crate::refusal::Reason;
use crate::state::InFlight;

use super::crash::Prospect;
use super::timeout::{prefill_timeout, response_timeout};
use super::Reducer;

/// Interval at which a waiting call looks for capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of arrivals of one request at runners, whatever the retry budget.
pub(super) const ARRIVALS_MAX: u32 = 6;
/// How long a plain call waits for capacity, as a multiple of its target latency.
const PLAIN_WAIT_FACTOR: f64 = 0.6;
/// How long a stream waits for capacity, as a multiple of its target latency; callers give up soon
/// after.
const STREAM_WAIT_FACTOR: f64 = 3.5;
/// Shortest remaining time for which an attempt is started.
pub(super) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(20);

impl Reducer<'_> {
    /// Starts the next attempt of a call, or lets it wait, or refuses it.
    pub(super) fn advance(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.remaining(self.now) < ATTEMPT_TIME_MIN {
            return self.fall_back(number, Reason::TimedOut);
        }
        if !shared_parts(&call.parts).is_empty() && !self.is_introduced() {
            return self.wait_for_capacity(number);
        }
        if let Some(reason) = self.find_quarantine(number) {
            return self.fall_back(number, reason);
        }
        match self.prospect(number) {
            Prospect::Open => {}
            Prospect::Unclear => return self.wait_for_capacity(number),
            Prospect::Closed => return self.fall_back(number, Reason::RunnersFailed),
        }
        if call.search.is_some() {
            return self.advance_search(number);
        }
        if !self.may_start_attempt(call) {
            return self.fall_back(number, Reason::Leaving);
        }
        if self.is_build_gone(number) {
            return self.fall_back(number, Reason::BuildGone);
        }
        self.check_session(number);
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.arrivals.counted() >= ARRIVALS_MAX {
            return self.fall_back(number, Reason::Full);
        }
        let has_started = call.progress.head_forwarded;
        self.free_unusable_kv(number);
        if !self.hold_retries(number) {
            // A refusal would cut a stream that has started, so that waits for a retry.
            return if has_started {
                self.wait_for_capacity(number)
            } else {
                self.fall_back(number, Reason::NoRetryLeft)
            };
        }
        if self.advance_out_of_reach(number) || self.advance_resting(number) {
            return;
        }
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        if call.prompt.is_none() {
            let endpoint = call.endpoint.clone();
            if self.refuse_repeat(number) {
                return;
            }
            self.ask_for_permits(&endpoint);
            return match self.pick(number, Purpose::Plain) {
                Some(runner) => self.start_run(number, &runner),
                // To wait would be in vain: the runners have no free place soon.
                None if self.is_overloaded(number) && self.has_runners(number) => {
                    self.fall_back(number, Reason::Overloaded)
                }
                None => self.wait_for_capacity(number),
            };
        }
        if self.state.policy.allocators {
            return self.advance_allocated(number);
        }
        let has_reservation = call.reserved_decode.is_some();
        if !has_reservation
            && self.headroom(number) != Headroom::Zero
            && !self.may_claim_capacity(number)
        {
            return self.wait_for_capacity(number);
        }
        // A prompt is not prefilled until there is capacity to decode it.
        let Some(decode) = self.pick_decode(number) else {
            return self.wait_for_capacity(number);
        };
        if self.has_kv(number) || !self.start_prefill(number, &decode, None) {
            self.start_run(number, &decode);
        }
    }

    /// Starts a prefill, unless no prefill runner can take it; returns whether it was started. A decode
    /// runner that prefills slows down its streams so much that their callers see them pause, so a
    /// prompt rather waits at a prefill runner.
    pub(super) fn start_prefill(
        &mut self,
        number: id::Call,
        decode: &Runner,
        granted: Option<&Grant>,
    ) -> bool {
        let kv_unavailable = self
            .state
            .calls
            .get(&number)
            .is_none_or(|call| call.kv_unavailable);
        if kv_unavailable {
            return false;
        }
        let granted_runner = granted.and_then(|grant| self.granted_prefill(grant, decode));
        let queued = granted
            .filter(|_| granted_runner.is_some())
            .map_or(0, |grant| grant.queued_tokens);
        let Some(runner) = granted_runner.or_else(|| self.pick_prefill_for(number, decode)) else {
            return false;
        };
        let tokens = self.prompt_tokens(number);
        let queued = queued.max(runner.load().prefill_tokens);
        let expected = self.prefill_time(number, &runner, queued.saturating_add(tokens));
        if placement::is_cooling_down(&runner, Purpose::Prefill, self.now) {
            return false;
        }
        self.state.counters.prefills += 1;
        let timeout = prefill_timeout(expected);
        let attempt = self.start_attempt(number, &runner, Operation::Prefill);
        if let Some(in_flight) = self.state.in_flight.get_mut(&attempt) {
            in_flight.queued_tokens = queued;
        }
        let reservation = Load {
            prefill_tokens: 0,
            ..self.estimate_load(number, Purpose::Decode)
        };
        self.charge(attempt, &decode.descriptor.runner, reservation);
        let now = self.now;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.reserved_decode = Some(decode.descriptor.runner.clone());
            call.phase = Phase::Prefill {
                attempt,
                runner: runner.descriptor.runner.clone(),
                started_at: now,
                attempt_deadline: now + timeout,
            };
        }
        true
    }

    pub(super) fn start_run(&mut self, number: id::Call, runner: &Runner) {
        // A runner that prefills the prompt itself would be at work beside the one on standby for long
        // before its first event.
        if self.has_standby(number) && !self.has_kv(number) {
            return self.fall_back(number, Reason::Full);
        }
        self.release_retries(number, Some(Step::Run));
        let now = self.now;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        // A runner that fails the call or declines it is not preferred again.
        call.holder = None;
        let kv = call.kv.take().filter(|kv| kv.is_fresh(now));
        let operation = if call.prompt.is_some() {
            Operation::Generate {
                kv: kv.clone(),
                resume_after: call.progress.last_position,
            }
        } else {
            Operation::Plain
        };
        let attempt_deadline = now + response_timeout(call, runner, kv.is_none());
        let attempt = self.start_attempt(number, runner, operation);
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Run {
                attempt,
                runner: runner.descriptor.runner.clone(),
                started_at: now,
                attempt_deadline: Some(attempt_deadline),
            };
            // Kept until the runner has fetched it, so that the prefill is not lost if the runner
            // declines.
            call.kv = kv;
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        number: id::Call,
        runner: &Runner,
        operation: Operation,
    ) -> id::Attempt {
        self.state.last_attempt += 1;
        self.state.counters.dispatched += 1;
        let attempt = self.state.last_attempt;
        let (kind, purpose) = match &operation {
            Operation::Plain => ("plain", Purpose::Plain),
            Operation::Prefill => ("prefill", Purpose::Prefill),
            Operation::Generate { kv: Some(_), .. } => ("generate", Purpose::Decode),
            Operation::Generate { kv: None, .. } => ("read_and_generate", Purpose::Decode),
            Operation::Delegate { .. } => ("delegate", Purpose::Plain),
        };
        let name = runner.descriptor.runner.clone();
        let report_age = runner
            .reported
            .map_or(Duration::ZERO, |(_, at)| self.now.saturating_sub(at));
        let mut load = self.estimate_load(number, purpose);
        if matches!(&operation, Operation::Generate { kv: Some(_), .. }) {
            load.prefill_tokens = 0;
        }
        self.charge(attempt, &name, load);
        self.use_charge(number);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return attempt;
        };
        call.retry_denied = false;
        let step = match operation {
            Operation::Prefill => Step::Prefill,
            Operation::Plain | Operation::Generate { .. } | Operation::Delegate { .. } => Step::Run,
        };
        let charge = call.arrivals.start(step);
        let is_repeat = call.mark_sent(runner.descriptor.address);
        let time_limit = call.remaining(self.now);
        let identity = call.identity.clone();
        let endpoint = call.endpoint.clone();
        let entry = Entry::new(Kind::Dispatched)
            .request(&call.id)
            .runner(&name)
            .attempt(attempt)
            .outcome(kind)
            .endpoint(&endpoint)
            .charge(charge)
            .version(runner.descriptor.revision)
            .build(&runner.descriptor.build)
            .age(report_age);
        self.log(entry);
        let attempts = &mut self.state.counters.attempts;
        *attempts.entry((endpoint, charge)).or_default() += 1;
        let instance = runner.descriptor.instance();
        self.state.permits.take(&instance, self.now);
        let build = Some(runner.descriptor.build.clone());
        self.send_attempt(
            InFlight::new(instance, build, self.now),
            Dispatch {
                attempt,
                vm: self.state.local.vm.clone(),
                call: number,
                runner: name,
                address: runner.descriptor.address,
                operation,
                time_limit,
                is_repeat,
                identity,
            },
        );
        attempt
    }

    /// Sends an attempt, and keeps what is known of it while it is in flight.
    pub(super) fn send_attempt(&mut self, in_flight: InFlight, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        self.state.by_attempt.insert(attempt, dispatch.call);
        self.state.in_flight.insert(attempt, in_flight);
        self.emit(Effect::Dispatch(dispatch));
    }

    pub(super) fn prompt_tokens(&self, number: id::Call) -> u64 {
        let call = self.state.calls.get(&number);
        call.and_then(|call| call.prompt)
            .map_or(0, |prompt| prompt.tokens)
    }

    pub(super) fn wait_for_capacity(&mut self, number: id::Call) {
        let now = self.now;
        if self.has_standby(number) {
            return self.fall_back(number, Reason::Full);
        }
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        let max_wait = max_wait(call);
        // For a stream that has started, the wait counts from its last event.
        let waiting_since = call.arrived_at.max(call.progress.last_event_at);
        if now.saturating_sub(waiting_since) >= max_wait {
            let has_runners = self.has_runners(number);
            let reason = if has_runners {
                Reason::Full
            } else {
                Reason::NoRunner
            };
            return self.fail_call(number, reason);
        }
        let is_plain = call.prompt.is_none();
        let is_first_wait =
            matches!(call.phase, Phase::Waiting { retry_at } if retry_at == call.arrived_at);
        call.phase = Phase::Waiting {
            retry_at: now + CAPACITY_POLL_INTERVAL,
        };
        if is_first_wait {
            self.state.load_changed = true;
            let id = call.id.clone();
            self.log(Entry::new(Kind::Waits).request(&id));
        }
        if is_plain {
            self.refuse_surplus(number, max_wait);
        }
    }

    pub(super) fn has_standby(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        call.is_some_and(|call| call.standby.is_some())
    }

    pub(super) fn has_runners(&self, number: id::Call) -> bool {
        let call = self.state.calls.get(&number);
        call.is_some_and(|call| self.state.pool.at_endpoint(&call.endpoint).next().is_some())
    }

    pub(super) fn observe(&mut self, runner: &id::Runner, observation: Observation) {
        let now = self.now;
        let Some(known) = self.state.pool.get_mut(runner) else {
            return;
        };
        let was_open = known.breaker.is_open(now);
        known.breaker.record(now, observation);
        if !was_open && known.breaker.is_open(now) {
            let open_for = known.breaker.open_until().saturating_sub(now);
            self.log(
                Entry::new(Kind::RunnerRests)
                    .runner(runner)
                    .outcome(observation)
                    .age(open_for),
            );
        }
    }
}

/// How long a call waits for capacity.
pub(super) fn max_wait(call: &Call) -> Duration {
    let factor = match call.route.kind {
        RouteKind::Streaming => STREAM_WAIT_FACTOR,
        _ => PLAIN_WAIT_FACTOR,
    };
    call.route.target_latency.scale(factor)
}
