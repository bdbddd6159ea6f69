//! A fleet of reducers with a model of the engines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::event::{
    Arrival, Decline, Dispatch, Effect, Event, Operation, Outcome, Presence,
};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::limit::{Rate, Statement};
use hornbeamtiller_relay::member::{Descriptor, ManifestWish, Status, View};
use hornbeamtiller_relay::overload::Report;
use hornbeamtiller_relay::pool::{self, Role};
use hornbeamtiller_relay::refusal::{Claim, Reason, Refusal};
use hornbeamtiller_relay::state::State;

use super::overload::PlainRunner;
use super::{address, descriptors, member, ms, settings, take_due, Harness, KV_TOKENS, STREAM};

/// An event that is under way to one incarnation of a VM, or a runner's response.
type Delivery = (usize, id::Incarnation, Event);

/// A fleet of reducers with a model of the engines: prefill engines take one prompt after another,
/// decode engines decline what exceeds their memory.
pub struct Fleet {
    pub now: Duration,
    pub vms: Vec<State>,
    /// When each VM started.
    started_at: Vec<Duration>,
    in_flight: BTreeMap<(Duration, u64), Delivery>,
    number: u64,
    engines: BTreeMap<id::Runner, Engine>,
    /// Attempts that run at engines, by VM and attempt.
    running: BTreeMap<(usize, id::Attempt), Running>,
    /// Builds at which KV caches were written, by handle.
    caches: BTreeMap<Arc<str>, id::Build>,
    /// When engines will crash.
    crash_at: Vec<(Duration, id::Runner, id::Part)>,
    /// Calls that were sent to an engine to be generated.
    generated: BTreeSet<(usize, id::Call)>,
    /// The attempts that were the first to generate their call.
    first_runs: BTreeSet<(usize, id::Attempt)>,
    /// The attempt whose event is applied.
    applied: Option<id::Attempt>,
    /// The build at which each attempt was run.
    builds: BTreeMap<(usize, id::Attempt), id::Build>,
    arrived_at: BTreeMap<(usize, id::Call), Duration>,
    /// The requests as they came.
    requests: BTreeMap<(usize, id::Call), Arrival>,
    /// Number of calls that VMs ran for others.
    pub delegated: u64,
    /// Of these, those that were refused.
    pub delegates_refused: u32,
    /// Who delegated each call, and with which attempt.
    delegations: BTreeMap<(usize, id::Call), (usize, id::Attempt)>,
    /// The call that each delegating attempt became.
    delegated_calls: BTreeMap<(usize, id::Attempt), (usize, id::Call)>,
    /// VMs that reach no other VM.
    pub cut: BTreeSet<usize>,
    /// VMs whose views are those of the release before.
    pub older: BTreeSet<usize>,
    /// Runners that VMs do not reach, and how it shows.
    pub unreached: BTreeMap<(usize, id::Runner), Barrier>,
    /// Parts that crash each engine that begins a stream with them.
    pub poison: BTreeSet<id::Part>,
    /// Time from the beginning of a response on which an engine crashes to the crash.
    pub crash_after: Duration,
    /// How long something still listens at the address of an engine that has ended.
    pub listening_time: Duration,
    /// Until when something listens at the addresses of engines that have ended.
    listening_until: BTreeMap<id::Runner, Duration>,
    /// What plain requests ask for that crash each runner which runs them.
    pub crashing: BTreeSet<id::Fingerprint>,
    fingerprints: BTreeMap<(usize, id::Call), id::Fingerprint>,
    /// Requests that reached plain runners.
    pub reached: Vec<(Duration, usize, id::Call)>,
    /// Engines that have crashed: when, and of which part or request.
    pub crashes: Vec<(Duration, id::Runner, id::Part)>,
    parts: BTreeMap<(usize, id::Call), Arc<[id::Part]>>,
    /// When calls were first sent to an engine.
    pub sent_at: BTreeMap<(usize, id::Call), Duration>,
    /// Calls whose stream was begun by the first runner that was to generate it.
    pub begun: BTreeSet<(usize, id::Call)>,
    /// How calls were refused, and when.
    pub refusals: BTreeMap<(usize, id::Call), Refusal>,
    pub refused_at: BTreeMap<(usize, id::Call), Duration>,
    /// When plain calls were answered.
    pub answered: BTreeMap<(usize, id::Call), Duration>,
    /// Limits that plain runners name.
    pub limits: BTreeMap<id::Runner, Rate>,
    /// Requests at plain runners, by VM and time.
    pub plain_arrivals: BTreeMap<id::Runner, Vec<(usize, Duration)>>,
    /// Plain runners with slots and a queue; without any, plain requests take a fixed time.
    pub plain_runners: BTreeMap<id::Runner, PlainRunner>,
    /// The runner of each attempt at these.
    plain_attempts: BTreeMap<(usize, id::Attempt), id::Runner>,
    /// VMs that admit every request, and know nothing of monitors.
    pub uncontrolled: BTreeSet<usize>,
    /// Reports to monitors, and admissions told without a report.
    pub load_reports: u64,
    pub admissions_told: u64,
    /// The streams that callers have events of.
    pub streams: BTreeMap<(usize, id::Call), Stream>,
    pub started_after: Vec<Duration>,
    pub prefills: u32,
    pub declines: u32,
    pub messages: u32,
    /// Views that VMs sent to each other.
    pub views: u64,
    /// Connections that were made to see whether a runner is reached.
    pub probes: u64,
    /// Generations that were sent a KV cache of another build.
    pub foreign_caches: u32,
}

/// An engine as it is, whatever VMs believe of it.
#[derive(Debug, Clone)]
struct Engine {
    build: id::Build,
    /// Whether it decodes and takes requests.
    serves_streams: bool,
    /// Until when it refuses connections.
    down_until: Duration,
    /// Tokens in use.
    used: u64,
    /// When it has prefilled all that it was sent.
    free_at: Duration,
}

/// An attempt at an engine.
#[derive(Debug, Clone)]
struct Running {
    engine: id::Runner,
    /// Tokens that it uses there.
    tokens: u64,
    call: id::Call,
}

/// How it shows that a VM does not reach a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Barrier {
    /// Connections are refused.
    Refusing,
    /// Connections are not established.
    Hanging,
}

impl Barrier {
    /// When a VM that connects notices.
    fn delay(self) -> Duration {
        match self {
            Self::Refusing => HOP,
            Self::Hanging => CONNECT_TIMEOUT,
        }
    }

    fn presence(self) -> Presence {
        match self {
            Self::Refusing => Presence::Refused,
            Self::Hanging => Presence::Unknown,
        }
    }
}

/// What a caller got of a stream.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// Builds of its events.
    pub builds: BTreeSet<id::Build>,
    /// Whether its engine failed while others of its build served.
    pub interrupted: bool,
    /// Whether it ended as complete.
    pub ended: bool,
}

/// Hosts of VMs have numbers from this one on.
const VM_HOSTS: u16 = 1_000;
/// Numbers of the calls that VMs run for others are above this one.
const DELEGATED_CALLS: id::Call = 1 << 40;
/// KV memory of one stream, in tokens.
const STREAM_TOKENS: u64 = 8_000;
/// Duration of one stream.
const STREAM_TIME: Duration = Duration::from_millis(2_000);
/// Events of one stream.
const STREAM_EVENTS: u32 = 20;
/// Duration of one prefill.
const PREFILL_TIME: Duration = Duration::from_millis(60);
/// Time that an engine takes to begin a stream.
const BEGIN_TIME: Duration = Duration::from_millis(60);
/// Time that a plain runner takes.
const PLAIN_TIME: Duration = Duration::from_millis(60);
/// Timeout of a connection to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a report to a monitor.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a message between VMs.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a message between VMs, or to or from an engine, takes.
const HOP: Duration = Duration::from_millis(2);

/// A VM of a fleet.
pub fn describe(number: usize, incarnation: id::Incarnation) -> Descriptor {
    let host = VM_HOSTS + number as u16;
    Descriptor {
        weight: 1,
        caller_address: address(host, 8080),
        peer_address: address(host, 8081),
        ..member(&format!("vm-{number}"), 0, incarnation)
    }
}

/// The state of a VM that has just started.
fn open_vm(number: usize, incarnation: id::Incarnation, seeds: Vec<SocketAddr>) -> State {
    let local = Descriptor {
        status: Status::Joining,
        ..describe(number, incarnation)
    };
    let settings = hornbeamtiller_relay::settings::Settings {
        vm: local.vm.clone(),
        ..settings()
    };
    State::new(settings, local, seeds, number as u64)
}

/// A view as a VM of the release before sends or understands it.
fn downgrade(view: View) -> View {
    View {
        reached: Vec::new(),
        has_slowdowns: false,
        departure_digest: 0,
        departures: Vec::new(),
        manifest_wish: ManifestWish::Always,
        ..view
    }
}

fn end_attempt(attempt: id::Attempt, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        attempt,
        outcome,
        reported: None,
    }
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        Self::with_engines(count, descriptors())
    }

    pub fn with_engines(count: usize, engines: Vec<pool::Descriptor>) -> Self {
        let mut fleet = Self {
            now: ms(0),
            vms: Vec::new(),
            started_at: vec![ms(0); count],
            in_flight: BTreeMap::new(),
            number: 0,
            engines: BTreeMap::new(),
            running: BTreeMap::new(),
            caches: BTreeMap::new(),
            crash_at: Vec::new(),
            generated: BTreeSet::new(),
            first_runs: BTreeSet::new(),
            applied: None,
            builds: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            started_after: Vec::new(),
            prefills: 0,
            declines: 0,
            messages: 0,
            views: 0,
            probes: 0,
            streams: BTreeMap::new(),
            foreign_caches: 0,
            requests: BTreeMap::new(),
            delegated: 0,
            delegates_refused: 0,
            delegations: BTreeMap::new(),
            delegated_calls: BTreeMap::new(),
            cut: BTreeSet::new(),
            older: BTreeSet::new(),
            unreached: BTreeMap::new(),
            poison: BTreeSet::new(),
            crash_after: BEGIN_TIME,
            listening_time: Duration::ZERO,
            listening_until: BTreeMap::new(),
            crashing: BTreeSet::new(),
            fingerprints: BTreeMap::new(),
            reached: Vec::new(),
            crashes: Vec::new(),
            parts: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            begun: BTreeSet::new(),
            refusals: BTreeMap::new(),
            refused_at: BTreeMap::new(),
            answered: BTreeMap::new(),
            limits: BTreeMap::new(),
            plain_arrivals: BTreeMap::new(),
            plain_runners: BTreeMap::new(),
            plain_attempts: BTreeMap::new(),
            uncontrolled: BTreeSet::new(),
            load_reports: 0,
            admissions_told: 0,
        };
        for listed in &engines {
            fleet.start_engine(listed, Duration::ZERO);
        }
        for number in 0..count {
            fleet.vms.push(open_vm(number, 1, Vec::new()));
        }
        for number in 0..count {
            fleet.configure(number, engines.clone(), 10);
            for other in (0..count).filter(|other| *other != number) {
                let view: View = super::view(describe(other, 1), false);
                fleet.apply(number, Event::ViewReceived { view: view.into() });
            }
        }
        fleet
    }

    /// Gives a VM the manifest and a list of engines.
    fn configure(&mut self, vm: usize, engines: Vec<pool::Descriptor>, revision: id::Revision) {
        let manifest = Harness::new(1).state.manifest.expect("a manifest");
        self.apply(vm, Event::ManifestRead { manifest });
        let descriptors = engines;
        self.apply(
            vm,
            Event::PoolRead {
                descriptors,
                revision,
            },
        );
    }

    /// Starts a VM anew, or adds one; it knows only the addresses of a few others.
    pub fn restart(&mut self, vm: usize, engines: Vec<pool::Descriptor>, revision: id::Revision) {
        let running: Vec<id::Attempt> = self
            .running
            .range((vm, 0)..(vm + 1, 0))
            .map(|(key, _)| key.1)
            .collect();
        for attempt in running {
            self.release(vm, attempt);
        }
        let incarnation = self
            .vms
            .get(vm)
            .map_or(1, |state| state.local.incarnation + 1);
        let seeds = (0..self.vms.len().min(3)).map(|seed| describe(seed, 1).peer_address);
        let mut state = open_vm(vm, incarnation, seeds.collect());
        // Attempts of all incarnations are kept apart by their numbers.
        state.last_attempt = incarnation << 32;
        if vm < self.vms.len() {
            self.vms[vm] = state;
            self.started_at[vm] = self.now;
        } else {
            self.vms.push(state);
            self.started_at.push(self.now);
        }
        self.configure(vm, engines, revision);
    }

    pub fn deliver_after(&mut self, delay: Duration, vm: usize, event: Event) {
        self.number += 1;
        let incarnation = self.vms[vm].local.incarnation;
        self.in_flight
            .insert((self.now + delay, self.number), (vm, incarnation, event));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || !(self.cut.contains(&from) || self.cut.contains(&to))
    }

    /// Delivers a message of one VM to another, if they reach each other.
    fn send(&mut self, from: usize, address: SocketAddr, event: Event) {
        let to = self
            .vms
            .iter()
            .position(|state| state.local.peer_address == address);
        match to.filter(|to| self.reaches(from, *to)) {
            Some(to) => self.deliver_after(HOP, to, event),
            None => self.deliver_after(CALL_TIMEOUT, from, Event::PeerUnresponsive { address }),
        }
    }

    fn find_vm(&self, address: std::net::SocketAddr) -> usize {
        let is_at = |state: &State| state.local.peer_address == address;
        self.vms.iter().position(is_at).expect("a VM")
    }

    pub fn apply(&mut self, vm: usize, event: Event) {
        let mut effects = Vec::new();
        self.applied = match &event {
            Event::StreamEvent { attempt, .. } => Some(*attempt),
            _ => None,
        };
        if let Event::Arrived(arrival) = &event {
            self.requests.insert((vm, arrival.call), arrival.clone());
        }
        let now = self.now - self.started_at[vm];
        hornbeamtiller_relay::reduce::reduce(&mut self.vms[vm], now, event, &mut effects);
        for effect in effects {
            self.perform(vm, effect);
        }
    }

    fn perform(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::SendClaim { address, claim } => {
                self.messages += 1;
                let allocator = self.find_vm(address);
                if !self.reaches(vm, allocator) {
                    let event = Event::AllocatorUnresponsive { address };
                    return self.deliver_after(CALL_TIMEOUT, vm, event);
                }
                self.deliver_after(HOP, allocator, Event::ClaimReceived { claim });
                self.deliver_after(HOP * 2, vm, Event::ClaimAcknowledged { address });
            }
            Effect::SendGrants { address, batch } => {
                self.messages += 1;
                let client = self.find_vm(address);
                self.deliver_after(HOP, client, Event::GrantsReceived { batch });
            }
            Effect::Dispatch(dispatch) => self.run_at_engine(vm, dispatch),
            Effect::AbortAttempt { attempt } => {
                self.release(vm, attempt);
                if let Some((to, call)) = self.delegated_calls.remove(&(vm, attempt)) {
                    self.delegations.remove(&(to, call));
                    self.deliver_after(HOP, to, Event::CallerDisconnected { call });
                }
            }
            ref answer @ (Effect::ForwardHead { call }
            | Effect::ForwardEvent { call }
            | Effect::EndStream { call }
            | Effect::AbortStream { call }
            | Effect::ForwardResponse { call }
            | Effect::Refuse { call, .. })
                if self.answer_delegated(vm, call, answer) => {}
            Effect::ForwardEvent { call } => self.record_event(vm, call),
            Effect::PublishView { address, view } => {
                self.views += 1;
                let to = self
                    .vms
                    .iter()
                    .position(|it| it.local.peer_address == address);
                let is_older = |vm: usize| self.older.contains(&vm);
                let view = match is_older(vm) || to.is_some_and(is_older) {
                    true => downgrade(view),
                    false => view,
                };
                self.send(vm, address, Event::ViewReceived { view: view.into() });
            }
            Effect::AskPermit {
                address,
                instance,
                asker,
            } => self.send(vm, address, Event::PermitAsked { instance, asker }),
            Effect::SendPermit { address, instance } => {
                self.send(vm, address, Event::PermitReceived { instance });
            }
            Effect::ReturnPermit { address, instance } => {
                self.send(vm, address, Event::PermitReturned { instance });
            }
            Effect::ReportLoad { address, report } => self.report_load(vm, address, report),
            Effect::TellAdmission {
                address,
                endpoint,
                admission,
            } => {
                self.admissions_told += 1;
                let to = self.find_vm(address);
                if self.reaches(vm, to) && !self.uncontrolled.contains(&to) {
                    let event = Event::AdmissionTold {
                        endpoint,
                        admission,
                    };
                    self.deliver_after(HOP, to, event);
                }
            }
            Effect::CheckRunner { instance, .. } => self.check_engine(vm, instance),
            Effect::Refuse { call, refusal } => {
                self.refusals.insert((vm, call), refusal);
                self.refused_at.insert((vm, call), self.now);
            }
            Effect::ForwardResponse { call } => {
                self.answered.insert((vm, call), self.now);
            }
            Effect::EndStream { call } => {
                self.streams.entry((vm, call)).or_default().ended = true;
            }
            _ => {}
        }
    }

    /// Delivers a report to a monitor, and its answer. An older VM does not know the call.
    fn report_load(&mut self, vm: usize, address: SocketAddr, report: Report) {
        self.load_reports += 1;
        let to = self.find_vm(address);
        let endpoint = report.endpoint.clone();
        let event = Event::MonitorUnresponsive { address, endpoint };
        if !self.reaches(vm, to) {
            return self.deliver_after(REPORT_TIMEOUT, vm, event);
        }
        if self.uncontrolled.contains(&to) {
            return self.deliver_after(HOP * 2, vm, event);
        }
        let endpoint = report.endpoint.clone();
        self.apply(to, Event::LoadReported { report });
        let admission = self.vms[to].overload.admission(&endpoint).cloned();
        let event = Event::AdmissionAnswered {
            endpoint,
            admission,
        };
        self.deliver_after(HOP * 2, vm, event);
    }

    fn check_engine(&mut self, vm: usize, instance: pool::Instance) {
        self.probes += 1;
        let barrier = self.unreached.get(&(vm, instance.runner.clone())).copied();
        if let Some(barrier) = barrier {
            let presence = barrier.presence();
            let event = Event::RunnerChecked { instance, presence };
            return self.deliver_after(barrier.delay(), vm, event);
        }
        let engine = self.engines.get(&instance.runner);
        let listening_until = self.listening_until.get(&instance.runner);
        let presence = match engine {
            _ if listening_until.is_some_and(|until| *until > self.now) => Presence::Listening,
            Some(engine) if engine.down_until <= self.now => Presence::Listening,
            _ => Presence::Refused,
        };
        self.deliver_after(HOP * 2, vm, Event::RunnerChecked { instance, presence });
    }

    /// Cuts a VM off from these runners; what it has there is lost.
    pub fn cut_from(&mut self, vm: usize, runners: &[id::Runner], barrier: Barrier) {
        for runner in runners {
            self.unreached.insert((vm, runner.clone()), barrier);
        }
        let is_there = |running: &Running| runners.contains(&running.engine);
        let lost = self.running.range((vm, 0)..(vm + 1, 0));
        let lost: Vec<id::Attempt> = lost
            .filter(|(_, running)| is_there(running))
            .map(|((_, attempt), _)| *attempt)
            .collect();
        for attempt in lost {
            self.release(vm, attempt);
            let event = Event::AttemptEnded {
                attempt,
                outcome: Outcome::Lost,
                reported: None,
            };
            self.deliver_after(barrier.delay(), vm, event);
        }
    }

    /// Lets a VM reach all runners again.
    pub fn heal(&mut self, vm: usize) {
        self.unreached.retain(|(cut, _), _| *cut != vm);
    }

    /// Starts an engine, or starts it anew; it takes no requests for a while.
    pub fn start_engine(&mut self, listed: &pool::Descriptor, down_for: Duration) {
        let engine = Engine {
            build: listed.build.clone(),
            serves_streams: listed.role == Some(Role::Decode),
            down_until: self.now + down_for,
            used: 0,
            free_at: Duration::ZERO,
        };
        self.engines.insert(listed.runner.clone(), engine);
    }

    /// Stops an engine; what runs there is lost.
    pub fn stop_engine(&mut self, name: &id::Runner) {
        let until = self.now + self.listening_time;
        self.listening_until.insert(name.clone(), until);
        if let Some(engine) = self.engines.get_mut(name) {
            engine.down_until = Duration::MAX;
        }
        let is_there = |running: &Running| running.engine == *name;
        let lost = self.running.iter().filter(|(_, at)| is_there(at));
        let lost: Vec<_> = lost.map(|(key, at)| (*key, at.call)).collect();
        for ((vm, attempt), call) in lost {
            self.release(vm, attempt);
            self.mark_interrupted(vm, attempt, call);
            let event = Event::AttemptEnded {
                attempt,
                outcome: Outcome::Lost,
                reported: None,
            };
            self.deliver_after(HOP, vm, event);
        }
    }

    /// Notes that a stream was cut off while two engines of its build serve.
    fn mark_interrupted(&mut self, vm: usize, attempt: id::Attempt, call: id::Call) {
        let build = &self.builds[&(vm, attempt)];
        let serves = |engine: &&Engine| {
            engine.build == *build && engine.serves_streams && engine.down_until <= self.now
        };
        let has_others = self.engines.values().filter(serves).count() >= 2;
        if let Some(stream) = self.streams.get_mut(&(vm, call)) {
            stream.interrupted |= has_others;
        }
    }

    /// Tells all VMs of a change of the list of runners; each learns of it a little later than others.
    pub fn list(&mut self, event: &Event, delay: impl Fn(usize) -> Duration) {
        for vm in 0..self.vms.len() {
            self.deliver_after(delay(vm), vm, event.clone());
        }
    }

    /// An attempt no longer runs at its engine.
    fn release(&mut self, vm: usize, attempt: id::Attempt) {
        let Some(running) = self.running.remove(&(vm, attempt)) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&running.engine) {
            engine.used = engine.used.saturating_sub(running.tokens);
        }
    }

    fn record_event(&mut self, vm: usize, call: id::Call) {
        let attempt = self.applied.expect("an event was received");
        if self.delegated_calls.contains_key(&(vm, attempt)) {
            self.streams.entry((vm, call)).or_default();
            return;
        }
        if self.first_runs.contains(&(vm, attempt)) {
            self.begun.insert((vm, call));
        }
        let build = self.builds[&(vm, attempt)].clone();
        let stream = self.streams.entry((vm, call)).or_default();
        stream.builds.insert(build);
    }

    fn run_at_engine(&mut self, vm: usize, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        if let Operation::Delegate { resume_after } = dispatch.operation {
            return self.delegate(vm, &dispatch, resume_after);
        }
        let ended = |outcome| Event::AttemptEnded {
            attempt,
            outcome,
            reported: None,
        };
        let now = self.now;
        let call = (vm, dispatch.call);
        let poison = self.find_poison(call);
        let barrier = self.unreached.get(&(vm, dispatch.runner.clone())).copied();
        if let Some(barrier) = barrier {
            return self.deliver_after(barrier.delay(), vm, ended(Outcome::Unwritten));
        }
        let engine = self.engines.get_mut(&dispatch.runner).expect("an engine");
        if engine.down_until > now {
            return self.deliver_after(HOP * 2, vm, ended(Outcome::Unwritten));
        }
        self.sent_at.entry(call).or_insert(now);
        let build = engine.build.clone();
        self.builds.insert((vm, attempt), build.clone());
        let mut running = Running {
            engine: dispatch.runner.clone(),
            tokens: 0,
            call: dispatch.call,
        };
        match dispatch.operation {
            Operation::Plain if self.plain_runners.contains_key(&dispatch.runner) => {
                self.run_at_plain_runner(vm, &dispatch);
            }
            Operation::Plain => {
                self.running.insert((vm, attempt), running);
                self.reached.push((now, vm, dispatch.call));
                if let Some(cause) = self.find_crashing(call) {
                    let at = now + BEGIN_TIME;
                    return self.crash_at.push((at, dispatch.runner, cause));
                }
                let limit = self.limits.get(&dispatch.runner).copied();
                let statement = limit.map_or(Statement::Unlimited, Statement::Limited);
                let arrivals = self.plain_arrivals.entry(dispatch.runner).or_default();
                arrivals.push((vm, now));
                let stated = Event::LimitStated { attempt, statement };
                self.deliver_after(PLAIN_TIME, vm, stated);
                self.deliver_after(PLAIN_TIME, vm, ended(Outcome::Answered { status: 200 }));
            }
            Operation::Delegate { .. } => unreachable!("another VM runs it"),
            Operation::Prefill => {
                self.prefills += 1;
                engine.free_at = engine.free_at.max(now) + PREFILL_TIME;
                let delay = engine.free_at - now + HOP;
                let handle: Arc<str> = format!("kv-{vm}-{attempt}").into();
                self.caches.insert(handle.clone(), build);
                self.running.insert((vm, attempt), running);
                self.deliver_after(delay, vm, ended(Outcome::Prefilled { handle }));
            }
            Operation::Generate { kv, resume_after } => {
                if engine.used + STREAM_TOKENS > KV_TOKENS {
                    self.declines += 1;
                    let declined = ended(Outcome::Declined(Decline::Full));
                    return self.deliver_after(HOP * 2, vm, declined);
                }
                engine.used += STREAM_TOKENS;
                running.tokens = STREAM_TOKENS;
                self.running.insert((vm, attempt), running);
                let is_foreign = kv.is_some_and(|kv| self.caches[&kv.handle] != build);
                self.foreign_caches += u32::from(is_foreign);
                if let Some(part) = poison {
                    if self.crash_after > BEGIN_TIME {
                        self.stream(vm, attempt, resume_after.unwrap_or(0));
                    }
                    let crash_at = now + self.crash_after;
                    return self.crash_at.push((crash_at, dispatch.runner, part));
                }
                if self.generated.insert(call) {
                    self.first_runs.insert((vm, attempt));
                }
                if resume_after.is_none() {
                    let arrived_at = self.arrived_at[&(vm, dispatch.call)];
                    self.started_after.push(now - arrived_at);
                }
                self.stream(vm, attempt, resume_after.unwrap_or(0));
                let left = STREAM_EVENTS - resume_after.unwrap_or(0) as u32;
                let time = STREAM_TIME * left / STREAM_EVENTS;
                self.deliver_after(HOP + time, vm, ended(Outcome::Ended));
            }
        }
    }

    /// Sends a request to a plain runner with a queue.
    fn run_at_plain_runner(&mut self, vm: usize, dispatch: &Dispatch) {
        let now = self.now;
        let attempt = dispatch.attempt;
        let runner = self.plain_runners.get_mut(&dispatch.runner);
        let runner = runner.expect("a plain runner");
        let ends_at = runner.accept(now);
        let reported = Some(runner.load(now));
        match ends_at {
            Some(at) => {
                self.plain_attempts
                    .insert((vm, attempt), dispatch.runner.clone());
                let running = Running {
                    engine: dispatch.runner.clone(),
                    tokens: 0,
                    call: dispatch.call,
                };
                self.running.insert((vm, attempt), running);
                let answered = end_attempt(attempt, Outcome::Answered { status: 200 });
                self.deliver_after(at - now + HOP * 2, vm, answered);
            }
            None => {
                let event = Event::AttemptEnded {
                    attempt,
                    outcome: Outcome::Declined(Decline::Full),
                    reported,
                };
                self.deliver_after(HOP * 2, vm, event);
            }
        }
    }

    /// The end of an attempt at a plain runner, with the load that the runner then reports.
    fn complete(&mut self, vm: usize, event: Event) -> Event {
        let Event::AttemptEnded {
            attempt, outcome, ..
        } = &event
        else {
            return event;
        };
        let Some(runner) = self.plain_attempts.remove(&(vm, *attempt)) else {
            return event;
        };
        Event::AttemptEnded {
            attempt: *attempt,
            outcome: outcome.clone(),
            reported: Some(self.plain_runners[&runner].load(self.now)),
        }
    }

    /// Has another VM run a call.
    fn delegate(&mut self, vm: usize, dispatch: &Dispatch, resume_after: Option<u64>) {
        let to = self.vms.iter().position(|state| {
            let is_there = state.local.caller_address == dispatch.address;
            is_there && state.local.vm == dispatch.runner
        });
        let attempt = dispatch.attempt;
        let Some(to) = to.filter(|to| self.reaches(vm, *to)) else {
            let outcome = Outcome::Unwritten;
            return self.deliver_after(HOP, vm, end_attempt(attempt, outcome));
        };
        self.delegated += 1;
        let call = DELEGATED_CALLS + self.delegated;
        self.delegations.insert((to, call), (vm, attempt));
        self.delegated_calls.insert((vm, attempt), (to, call));
        let own = (vm, dispatch.call);
        self.arrived_at.insert((to, call), self.arrived_at[&own]);
        if let Some(parts) = self.parts.get(&own).cloned() {
            self.parts.insert((to, call), parts);
        }
        if let Some(asked) = self.fingerprints.get(&own).copied() {
            self.fingerprints.insert((to, call), asked);
        }
        let asked = &self.requests[&own];
        let id = asked.id.clone();
        let arrival = Arrival {
            call,
            delegated_by: Some(dispatch.vm.clone()),
            time_limit: Some(dispatch.time_limit),
            resume_after,
            resumes: resume_after.map(|_| id),
            ..asked.clone()
        };
        self.deliver_after(HOP, to, Event::Arrived(arrival));
    }

    /// Delivers what a VM answers to the one that delegated the call; returns whether it was delegated.
    fn answer_delegated(&mut self, vm: usize, call: id::Call, answer: &Effect) -> bool {
        let Some((to, attempt)) = self.delegations.get(&(vm, call)).copied() else {
            return false;
        };
        let event = match answer {
            Effect::ForwardHead { .. } => Event::StreamStarted { attempt },
            Effect::ForwardEvent { .. } => Event::StreamEvent {
                attempt,
                position: self.vms[vm].calls[&call].progress.last_position,
            },
            Effect::EndStream { .. } => end_attempt(attempt, Outcome::Ended),
            Effect::AbortStream { .. } => end_attempt(attempt, Outcome::Lost),
            Effect::ForwardResponse { .. } => {
                end_attempt(attempt, Outcome::Answered { status: 200 })
            }
            Effect::Refuse { refusal, .. } if refusal.claim == Claim::NotRun => {
                self.delegates_refused += 1;
                // As the platform's protocol tells them apart.
                let decline = match refusal.reason {
                    Reason::OutOfReach => Decline::OutOfReach,
                    Reason::LeavingUnsent => Decline::Leaving,
                    _ => Decline::Refused,
                };
                end_attempt(attempt, Outcome::Declined(decline))
            }
            Effect::Refuse { .. } => end_attempt(attempt, Outcome::Lost),
            _ => return false,
        };
        self.deliver_after(HOP, to, event);
        true
    }

    /// What a call asks for, if that crashes runners.
    fn find_crashing(&self, call: (usize, id::Call)) -> Option<id::Fingerprint> {
        let asked = self.fingerprints.get(&call).copied();
        asked.filter(|fingerprint| self.crashing.contains(fingerprint))
    }

    /// The part of a call's prompt that crashes engines.
    fn find_poison(&self, call: (usize, id::Call)) -> Option<id::Part> {
        let parts = self.parts.get(&call)?;
        parts
            .iter()
            .copied()
            .find(|part| self.poison.contains(part))
    }

    /// Stops the engines that crash until now.
    fn crash_engines(&mut self) {
        let now = self.now;
        for (at, name, part) in take_due(&mut self.crash_at, |(at, _, _)| *at <= now) {
            let engine = self.engines.get(&name);
            if engine.is_some_and(|engine| engine.down_until <= at) {
                self.stop_engine(&name);
                self.crashes.push((at, name, part));
            }
        }
    }

    /// Sends the head of a stream, and its events after a position.
    fn stream(&mut self, vm: usize, attempt: id::Attempt, after: u64) {
        self.deliver_after(HOP, vm, Event::StreamStarted { attempt });
        for position in after as u32 + 1..=STREAM_EVENTS {
            let delay = HOP + STREAM_TIME * (position - after as u32) / STREAM_EVENTS;
            let event = Event::StreamEvent {
                attempt,
                position: Some(position.into()),
            };
            self.deliver_after(delay, vm, event);
        }
    }

    pub fn arrive(&mut self, vm: usize, call: id::Call) {
        self.arrive_with(vm, call, &[]);
    }

    /// Delivers a request to a plain service.
    pub fn arrive_plain(&mut self, vm: usize, call: id::Call, path: &str) {
        self.arrived_at.insert((vm, call), self.now);
        let arrival = Arrival {
            prompt: None,
            ..super::stream_arrival(call, path)
        };
        self.apply(vm, Event::Arrived(arrival));
    }

    /// Delivers a request to a plain service that asks for what this number stands for.
    pub fn arrive_asking(
        &mut self,
        vm: usize,
        call: id::Call,
        path: &str,
        fingerprint: id::Fingerprint,
    ) {
        self.arrived_at.insert((vm, call), self.now);
        self.fingerprints.insert((vm, call), fingerprint);
        let arrival = Arrival {
            prompt: None,
            time_limit: Some(ms(1_500)),
            fingerprint,
            ..super::stream_arrival(call, path)
        };
        self.apply(vm, Event::Arrived(arrival));
    }

    /// Delivers a request for a stream.
    pub fn arrive_at(&mut self, vm: usize, call: id::Call, path: &str) {
        self.arrived_at.insert((vm, call), self.now);
        self.apply(vm, Event::Arrived(super::stream_arrival(call, path)));
    }

    /// Asks a VM to leave.
    pub fn leave(&mut self, vm: usize) {
        self.apply(
            vm,
            Event::Leave {
                noticed_after: Duration::ZERO,
            },
        );
    }

    /// Delivers a request whose prompt has these parts.
    pub fn arrive_with(&mut self, vm: usize, call: id::Call, parts: &[id::Part]) {
        self.arrive_again(vm, call, parts, call);
    }

    /// The same of a caller who may have asked for it before, with this fingerprint.
    pub fn arrive_again(
        &mut self,
        vm: usize,
        call: id::Call,
        parts: &[id::Part],
        fingerprint: id::Fingerprint,
    ) {
        self.arrived_at.insert((vm, call), self.now);
        self.parts.insert((vm, call), parts.into());
        let arrival = Arrival {
            parts: parts.into(),
            fingerprint,
            ..super::stream_arrival(call, STREAM)
        };
        self.apply(vm, Event::Arrived(arrival));
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self
            .in_flight
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            self.now = entry.key().0;
            let (vm, incarnation, event) = entry.remove();
            self.crash_engines();
            if self.vms[vm].local.incarnation != incarnation {
                continue;
            }
            if let Event::AttemptEnded { attempt, .. } = &event {
                self.release(vm, *attempt);
            }
            let event = self.complete(vm, event);
            self.apply(vm, event);
        }
        self.now = end;
        self.crash_engines();
        for vm in 0..self.vms.len() {
            self.apply(vm, Event::Tick);
        }
    }
}
