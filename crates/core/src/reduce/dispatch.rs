//! Dispatch of admitted calls: intent, choice of runners, and queueing.

use std::time::Duration;

use crate::event::{Effect, KvCache, Operation};
use crate::id::{Attempt, Call, Endpoint, Runner};
use crate::message::Message;
use crate::placement::{self, Purpose};
use crate::refusal::{Reason, Refusal};
use crate::state::Phase;
use crate::ticket::RunnerItem;
use crate::timeline::{Detail, Draft, Kind};

use super::Reducer;

/// Queue timeout of a class that no ticket defines.
const QUEUE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Priority at the engine of a class that no ticket defines; lower values are scheduled first.
const PRIORITY_DEFAULT: u8 = 100;
/// Idle timeout for an endpoint that was removed from the configuration while a call was in
/// progress.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Value of `Retry-After` for calls that exceeded the queue timeout.
const QUEUE_TIMEOUT_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Reducer<'_> {
    /// Starts an admitted call.
    pub(super) fn start_call(&mut self, call: Call) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        match request.witness {
            Some(witness) if !request.repeatable => self.request_intent(call, witness),
            _ => self.try_dispatch(call),
        }
    }

    fn request_intent(&mut self, call: Call, witness: crate::token::Instance) {
        let sent_at = self.now.up;
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.phase = Phase::AwaitingIntent { sent_at };
            let key = request.key;
            self.record_event(Draft::new(Kind::IntentSent).request(key).vm(witness.vm));
        }
        self.send_intent(call);
    }

    pub(super) fn send_intent(&mut self, call: Call) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let Some(witness) = request.witness else {
            return;
        };
        let message = Message::Intent {
            key: request.key,
            witness: witness.incarnation,
            expiry: request.expiry,
        };
        self.send(witness.vm, message);
    }

    /// Dispatches a call if an eligible runner is found; otherwise queues it.
    pub(super) fn try_dispatch(&mut self, call: Call) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let has_started = if request.is_model() {
            self.start_model(call)
        } else {
            self.start_plain(call)
        };
        if has_started {
            self.dequeue(call);
        } else {
            self.enqueue(call);
        }
    }

    fn start_plain(&mut self, call: Call) -> bool {
        let Some(runner) = self.pick_runner(call, Purpose::Plain) else {
            return false;
        };
        let attempt = self.begin_attempt(call, &runner);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return false;
        };
        request.phase = Phase::Plain {
            attempt,
            runner: runner.id.clone(),
        };
        let reuse = request.repeatable;
        self.dispatch(call, attempt, &runner, Operation::Plain { reuse });
        true
    }

    /// Starts a prefill, but only with a decode slot reserved for the time when it is done.
    fn start_model(&mut self, call: Call) -> bool {
        let Some(decode_runner) = self.pick_runner(call, Purpose::Decode) else {
            return false;
        };
        let Some(prefill_runner) = self.pick_runner(call, Purpose::Prefill) else {
            return false;
        };
        let endpoint = self.state.requests[&call].endpoint.clone();
        self.reserve_slot(&endpoint, &decode_runner.id);
        let attempt = self.begin_attempt(call, &prefill_runner);
        let decode_attempt = self.state.next_number();
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.phase = Phase::Prefill {
                attempt,
                runner: prefill_runner.id.clone(),
                decode_runner: decode_runner.id.clone(),
                decode_attempt,
            };
        }
        self.state.counters.prefills += 1;
        self.record_stream(call, &decode_runner, decode_attempt);
        self.dispatch(call, attempt, &prefill_runner, Operation::Prefill);
        true
    }

    /// Starts a decode on a runner whose slot is already reserved.
    pub(super) fn start_decode(
        &mut self,
        call: Call,
        runner: &RunnerItem,
        kv: KvCache,
        attempt: Attempt,
    ) {
        self.state.by_attempt.insert(attempt, call);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.phase = Phase::Decode {
            attempt,
            runner: runner.id.clone(),
            kv: Some(kv.clone()),
        };
        let from = request.emitted;
        self.dispatch(call, attempt, runner, Operation::Decode { kv, from });
    }

    /// Takes over a stream that is running at a decode runner.
    pub(super) fn start_resume(&mut self, call: Call, runner: &RunnerItem, previous: String) {
        let attempt = self.begin_attempt(call, runner);
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        request.phase = Phase::Decode {
            attempt,
            runner: runner.id.clone(),
            kv: None,
        };
        let from = request.emitted;
        self.record_stream(call, runner, attempt);
        self.dispatch(call, attempt, runner, Operation::Resume { previous, from });
    }

    fn pick_runner(&mut self, call: Call, purpose: Purpose) -> Option<RunnerItem> {
        let request = self.state.requests.get(&call)?;
        let (endpoint, failed_runners) = (request.endpoint.clone(), request.failed_runners.clone());
        placement::pick(self.state, self.now, &endpoint, purpose, &failed_runners)
    }

    /// Sends a KV cache that is held by its prefill runner to another decode runner with a free
    /// slot.
    pub(super) fn redirect_decode(&mut self, call: Call, kv: KvCache) -> bool {
        let Some(runner) = self.pick_runner(call, Purpose::Decode) else {
            return false;
        };
        let endpoint = self.state.requests[&call].endpoint.clone();
        self.reserve_slot(&endpoint, &runner.id);
        let attempt = self.state.next_number();
        self.record_stream(call, &runner, attempt);
        self.start_decode(call, &runner, kv, attempt);
        true
    }

    fn begin_attempt(&mut self, call: Call, runner: &RunnerItem) -> Attempt {
        let attempt = self.state.next_number();
        self.state.by_attempt.insert(attempt, call);
        let mut endpoint = None;
        if let Some(request) = self.state.requests.get_mut(&call) {
            request.attempts += 1;
            endpoint = Some(request.endpoint.clone());
            self.state.counters.retried += u64::from(request.attempts > 1);
        }
        if let Some(endpoint) = endpoint {
            self.reserve_slot(&endpoint, &runner.id);
        }
        attempt
    }

    fn dispatch(
        &mut self,
        call: Call,
        attempt: Attempt,
        runner: &RunnerItem,
        operation: Operation,
    ) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let key = request.key;
        let timeout = self
            .state
            .table
            .endpoint(&request.endpoint)
            .map_or(IDLE_TIMEOUT_DEFAULT, |item| item.timeout());
        let priority = self.class_of(&request.endpoint).0;
        let name = self.engine_request_id(attempt);
        let operation_name = match operation {
            Operation::Plain { .. } => "plain",
            Operation::Prefill => "prefill",
            Operation::Decode { .. } => "decode",
            Operation::Resume { .. } => "resume",
        };
        self.state.counters.dispatched += 1;
        self.record_event(
            Draft::new(Kind::Dispatched)
                .request(key)
                .runner(&runner.id)
                .detail(Detail::Operation(operation_name)),
        );
        self.emit(Effect::Dispatch {
            attempt,
            call,
            address: runner.address,
            operation,
            request: name,
            priority,
            timeout,
        });
    }

    /// Returns the name of an attempt at its engine, which is unique among all processes.
    pub(super) fn engine_request_id(&self, attempt: Attempt) -> String {
        let instance = self.state.instance;
        format!("{}-{:016x}-{attempt}", instance.vm, instance.incarnation)
    }

    /// Returns the priority and the queue timeout of an endpoint's class.
    fn class_of(&self, endpoint: &Endpoint) -> (u8, Duration) {
        let table = &self.state.table;
        let class = table
            .endpoint(endpoint)
            .and_then(|item| table.class(&item.class));
        class.map_or((PRIORITY_DEFAULT, QUEUE_TIMEOUT_DEFAULT), |class| {
            (class.priority, Duration::from_millis(class.wait_ms))
        })
    }

    pub(super) fn reserve_slot(&mut self, endpoint: &Endpoint, runner: &Runner) {
        let key = (endpoint.clone(), runner.clone());
        self.state.loads.entry(key).or_default().running += 1;
    }

    pub(super) fn release_slot(&mut self, endpoint: &Endpoint, runner: &Runner) {
        let key = (endpoint.clone(), runner.clone());
        if let Some(load) = self.state.loads.get_mut(&key) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Excludes a runner from selection for a while.
    pub(super) fn cool_down(&mut self, endpoint: &Endpoint, runner: &Runner, cooldown: Duration) {
        let key = (endpoint.clone(), runner.clone());
        self.state.loads.entry(key).or_default().cooldown_until = self.now.up + cooldown;
    }

    pub(super) fn enqueue(&mut self, call: Call) {
        let Some(request) = self.state.requests.get_mut(&call) else {
            return;
        };
        let is_new = request.phase != Phase::Queued || request.attempts == 0;
        request.phase = Phase::Queued;
        let (endpoint, key) = (request.endpoint.clone(), request.key);
        let priority = self.class_of(&endpoint).0;
        let queue = self.state.queues.entry(endpoint).or_default();
        if queue.insert((priority, call), ()).is_none() && is_new {
            self.record_event(Draft::new(Kind::Queued).request(key));
        }
    }

    pub(super) fn dequeue(&mut self, call: Call) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        let endpoint = request.endpoint.clone();
        if let Some(queue) = self.state.queues.get_mut(&endpoint) {
            queue.retain(|(_, queued), ()| *queued != call);
            if queue.is_empty() {
                self.state.queues.remove(&endpoint);
            }
        }
    }

    /// Dispatches the queued calls of an endpoint in order, until the first one finds no runner.
    pub(super) fn drain_queue(&mut self, endpoint: &Endpoint) {
        loop {
            let first = self
                .state
                .queues
                .get(endpoint)
                .and_then(|queue| queue.keys().next().copied());
            let Some((_, call)) = first else {
                return;
            };
            self.try_dispatch(call);
            let next = self
                .state
                .queues
                .get(endpoint)
                .and_then(|queue| queue.keys().next().copied());
            if next == first {
                return;
            }
        }
    }

    /// Refuses calls that have exceeded the queue timeout and tries to dispatch the others.
    pub(super) fn tick_queue(&mut self) {
        let endpoints: Vec<Endpoint> = self.state.queues.keys().cloned().collect();
        for endpoint in endpoints {
            self.refuse_overdue(&endpoint);
            self.drain_queue(&endpoint);
        }
    }

    fn refuse_overdue(&mut self, endpoint: &Endpoint) {
        let (_, queue_timeout) = self.class_of(endpoint);
        let up = self.now.up;
        let Some(queue) = self.state.queues.get(endpoint) else {
            return;
        };
        let is_overdue = |call: &Call| {
            self.state
                .requests
                .get(call)
                .is_some_and(|r| up > r.accepted_at + queue_timeout)
        };
        let overdue: Vec<Call> = queue
            .keys()
            .map(|(_, call)| *call)
            .filter(is_overdue)
            .collect();
        for call in overdue {
            self.refuse_overdue_call(call, endpoint);
        }
    }

    /// Refuses a call that has exceeded the queue timeout, unless the end of another call has
    /// dispatched it in the meantime.
    fn refuse_overdue_call(&mut self, call: Call, endpoint: &Endpoint) {
        let Some(request) = self.state.requests.get(&call) else {
            return;
        };
        if request.phase != Phase::Queued {
            return;
        }
        let may_have_run = request.may_have_run;
        let reason = if self.has_available_runner(endpoint) {
            Reason::WaitedTooLong
        } else {
            Reason::NoRunner
        };
        let refusal = weaken_if_run(Refusal::not_run(reason), may_have_run);
        self.fail_call(call, refusal.retry_after(QUEUE_TIMEOUT_RETRY_AFTER));
    }

    fn has_available_runner(&self, endpoint: &Endpoint) -> bool {
        let item = self.state.table.endpoint(endpoint);
        item.is_some_and(|item| item.runners.iter().any(|runner| !runner.leaving))
    }
}

/// Replaces the claim "not run" by "unknown" if a runner may have executed the request or a part
/// of it.
pub(super) fn weaken_if_run(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run {
        Refusal {
            claim: crate::refusal::Claim::Unknown,
            ..refusal
        }
    } else {
        refusal
    }
}
