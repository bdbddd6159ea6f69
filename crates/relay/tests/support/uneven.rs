//! A fleet of reducers with a model of engines and plain runners whose speeds differ, and that slow down for
//! moments.

#![allow(
    clippy::disallowed_methods,
    reason = "the figures of tests are in range"
)]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::event::{
    Arrival, Decline, Dispatch, Effect, Event, Operation, Outcome, Prompt,
};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::{Endpoint, Engine, Kind, Manifest};
use hornbeamtiller_relay::member::{Descriptor as Member, Status};
use hornbeamtiller_relay::pool::{Descriptor, Report, Role};
use hornbeamtiller_relay::settings::Settings;
use hornbeamtiller_relay::speed::parse_slowdown;
use hornbeamtiller_relay::state::State;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::{address, descriptor, ms, route, settings, stream_arrival, view};

const ZONES: usize = 4;
const HOP: Duration = Duration::from_millis(2);
/// Time after which a message that is not acknowledged counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(20);
const PROMPT_TOKENS: u64 = 5_200;
const OUTPUT_TOKENS: u64 = 70;
const KV_TOKENS: u64 = 70_068;
const ENGINE_SLOTS: u32 = 12;
const PREFILL_TOKENS_PER_MS: f64 = 55.6;
/// Time of a decode step at an engine of speed 1, without streams and for each stream.
const STEP_BASE_MS: f64 = 20.0;
const STEP_STREAM_MS: f64 = 1.5;
const PLAIN_SLOTS: u32 = 6;
const PLAIN_QUEUE: usize = 24;
const PLAIN_WORK_MS: f64 = 15.0;
const MOMENT_SLOWDOWN: f64 = 2.5;
const SWING: f64 = 0.55;
const SWING_PERIOD_S: f64 = 12.0;
pub const FIRST_EVENT_TARGET: Duration = Duration::from_millis(900);
pub const GAP_TARGET: Duration = Duration::from_millis(300);
pub const PLAIN_TARGET: Duration = Duration::from_millis(120);

/// What runners say of their slowdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Figure {
    /// Nothing; the runners send three figures.
    None,
    /// Against a machine of speed 1.
    Absolute,
    /// Against the same machine when it is not slowed down.
    Relative,
    /// Against a machine of speed 1, but one report in ten is random, within what is believed.
    Noisy,
    /// Nothing that is believed: negative, not a number, or huge.
    Nonsense,
}

/// A load.
#[derive(Debug, Clone)]
pub struct Play {
    pub seed: u64,
    pub vms: usize,
    pub prefill: u8,
    pub decode: u8,
    pub plain: u8,
    pub streams_per_s: f64,
    pub plain_per_s: f64,
    pub length: Duration,
    /// When the load is 2.3 times the usual one.
    pub burst: Option<(Duration, Duration)>,
    pub speeds: Vec<f64>,
    /// Share of the time for which a runner is slowed down for moments.
    pub moments: f64,
    /// A runner that is slowed down once, and when.
    pub slowed: Option<(&'static str, Duration, Duration)>,
    pub figure: Figure,
    /// Whether VMs use the estimate.
    pub uses_speeds: bool,
    /// VMs of an older release, which send no readings and use no estimate.
    pub older: usize,
    /// A plain runner that is listed only from this time on.
    pub fresh: Option<Duration>,
    /// When the VM that has received most claims is lost.
    pub loss: Option<Duration>,
    /// Engines in a group, if not as usual.
    pub group_engines: Option<usize>,
}

impl Play {
    /// The deployment of the market stalls.
    pub fn stalls(seed: u64) -> Self {
        Self {
            seed,
            vms: 90,
            prefill: 12,
            decode: 24,
            plain: 4,
            streams_per_s: 32.1,
            plain_per_s: 203.0,
            length: Duration::from_secs(30),
            burst: None,
            speeds: vec![0.7, 0.7, 1.7],
            moments: 0.15,
            slowed: None,
            figure: Figure::Absolute,
            uses_speeds: true,
            older: 0,
            fresh: None,
            loss: None,
            group_engines: None,
        }
    }
}

/// What happened.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub streams: u32,
    pub late_streams: u32,
    pub late_gaps: u32,
    pub first_events: Vec<Duration>,
    pub plain: u32,
    pub late_plain: u32,
    pub plain_times: Vec<Duration>,
    pub declines: u32,
    pub claims: u64,
    pub readings: u64,
    /// Engines in claims.
    pub claimed_loads: u64,
    pub asks: u64,
    /// Claims that reached the VM which received most of them.
    pub claims_at: BTreeMap<usize, u64>,
    /// Work at each runner relative to its speed, in units of work.
    pub work: BTreeMap<id::Runner, f64>,
    /// Each dispatch: when, from which VM, to which runner.
    pub dispatches: Vec<(Duration, usize, id::Runner)>,
}

impl Outcomes {
    /// Work of the busiest runner of a stage against the mean, by the start of the names.
    pub fn busiest(&self, stage: &str) -> f64 {
        let work = self.work.iter();
        let work: Vec<f64> = work
            .filter(|(name, _)| name.starts_with(stage))
            .map(|(_, work)| *work)
            .collect();
        let mean = work.iter().sum::<f64>() / work.len() as f64;
        work.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Dispatches to a runner in a span of time.
    pub fn count_at(&self, runner: &str, from: Duration, to: Duration) -> usize {
        let dispatches = self.dispatches.iter();
        dispatches
            .filter(|(at, _, name)| &**name == runner && *at >= from && *at < to)
            .count()
    }
}

pub fn percentile(times: &[Duration], share: f64) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort();
    let index = (sorted.len() as f64 * share) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// A runner as it is, whatever VMs believe of it.
struct Machine {
    speed: f64,
    /// When it is slowed down.
    moments: Vec<(Duration, Duration)>,
    /// When a prefill engine has done what it was sent.
    free_at: Duration,
    queued_prefills: u32,
    streams: Vec<Running>,
    is_stepping: bool,
    /// Prompts that a decode engine reads in its next step.
    unread: u64,
    busy: u32,
    queue: VecDeque<(usize, id::Attempt)>,
}

struct Running {
    vm: usize,
    attempt: id::Attempt,
    position: u64,
}

impl Machine {
    fn slowness(&self, at: Duration) -> f64 {
        let is_slow = |(from, to): &(Duration, Duration)| *from <= at && at < *to;
        let moment = if self.moments.iter().any(is_slow) {
            MOMENT_SLOWDOWN
        } else {
            1.0
        };
        moment / self.speed
    }

    /// When work is done that takes so many milliseconds at a machine of speed 1.
    fn finish(&self, start: Duration, work_ms: f64) -> Duration {
        let mut left = work_ms;
        let mut at = start;
        loop {
            let edges = self.moments.iter().flat_map(|(from, to)| [*from, *to]);
            let next = edges.filter(|edge| *edge > at).min();
            let slowness = self.slowness(at);
            let needed = Duration::from_secs_f64(left * slowness / 1e3);
            match next.filter(|next| *next < at + needed) {
                None => return at + needed,
                Some(next) => {
                    left -= (next - at).as_secs_f64() * 1e3 / slowness;
                    at = next;
                }
            }
        }
    }
}

enum Step {
    Vm(usize, Box<Event>),
    Tick(usize),
    Arrive(usize, bool),
    /// Ends of work at runners.
    Prefilled(id::Runner, usize, id::Attempt),
    Joined(id::Runner, usize, id::Attempt, u64),
    Decoded(id::Runner),
    Answered(id::Runner, usize, id::Attempt),
    Listed,
    Lost,
}

struct Caller {
    arrived_at: Duration,
    last_event_at: Option<Duration>,
    is_late: bool,
    has_paused: bool,
    is_stream: bool,
}

struct World {
    play: Play,
    now: Duration,
    number: u64,
    steps: BTreeMap<(Duration, u64), Step>,
    vms: Vec<State>,
    by_address: BTreeMap<SocketAddr, usize>,
    machines: BTreeMap<id::Runner, Machine>,
    attempts: BTreeMap<(usize, id::Attempt), id::Runner>,
    callers: BTreeMap<(usize, id::Call), Caller>,
    last_call: id::Call,
    rng: SmallRng,
    /// The VM that is lost.
    lost: Option<usize>,
    outcomes: Outcomes,
}

/// Plays a load.
pub fn play(play: &Play) -> Outcomes {
    let mut world = World::new(play.clone());
    let end = play.length;
    while let Some(entry) = world.steps.first_entry() {
        if entry.key().0 > end {
            break;
        }
        world.now = entry.key().0;
        let step = entry.remove();
        world.perform_step(step);
    }
    world.finish()
}

fn zone(number: usize) -> id::Zone {
    ["a", "b", "c", "d"][number % ZONES].into()
}

fn member(number: usize) -> Member {
    let host = 20_000 + number as u16;
    Member {
        vm: format!("vm-{number}").into(),
        incarnation: 1,
        version: 1,
        zone: zone(number),
        caller_address: address(host, 8080),
        peer_address: address(host, 8081),
        status: Status::Ready,
        weight: if number % 8 == 0 { 50 } else { 1 },
    }
}

fn manifest() -> Arc<Manifest> {
    let engine = Engine {
        slots: ENGINE_SLOTS,
        kv_capacity_tokens: KV_TOKENS,
    };
    let mut read = route("/read/", Kind::Idempotent, "pay", false);
    read.target_latency = PLAIN_TARGET;
    read.timeout = ms(1_500);
    let stream = route("/stream/", Kind::Streaming, "llm", true);
    let mut manifest = Manifest::clone(&super::manifest(2, vec![read, stream]));
    let engine = Some(engine);
    manifest.endpoints.insert("llm".into(), Endpoint { engine });
    Arc::new(manifest)
}

fn descriptors(play: &Play) -> Vec<Descriptor> {
    let stages = [
        ("pay", "pay", None, play.plain),
        ("read", "llm", Some(Role::Prefill), play.prefill),
        ("make", "llm", Some(Role::Decode), play.decode),
    ];
    let mut host = 0;
    let mut all = Vec::new();
    for (name, endpoint, role, count) in stages {
        for number in 0..count {
            host += 1;
            let listed = descriptor(&format!("{name}-{number}"), endpoint, host, role);
            all.push(Descriptor {
                zone: zone(number.into()),
                slots: if role.is_some() {
                    ENGINE_SLOTS
                } else {
                    PLAIN_SLOTS
                },
                ..listed
            });
        }
    }
    all
}

impl World {
    fn new(play: Play) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            number: 0,
            steps: BTreeMap::new(),
            vms: Vec::new(),
            by_address: BTreeMap::new(),
            machines: BTreeMap::new(),
            attempts: BTreeMap::new(),
            callers: BTreeMap::new(),
            last_call: 0,
            rng: SmallRng::seed_from_u64(play.seed),
            lost: None,
            outcomes: Outcomes::default(),
            play,
        };
        world.start_machines();
        world.start_vms();
        world.plan_arrivals();
        world
    }

    fn start_machines(&mut self) {
        let listed = descriptors(&self.play);
        for (number, descriptor) in listed.iter().enumerate() {
            let name = descriptor.runner.clone();
            let speed = self.play.speeds[number % self.play.speeds.len()];
            let moments = self.plan_moments(&name);
            self.outcomes.work.insert(name.clone(), 0.0);
            let machine = Machine {
                speed,
                moments,
                free_at: Duration::ZERO,
                queued_prefills: 0,
                streams: Vec::new(),
                is_stepping: false,
                unread: 0,
                busy: 0,
                queue: VecDeque::new(),
            };
            self.machines.insert(name, machine);
        }
    }

    fn plan_moments(&mut self, runner: &id::Runner) -> Vec<(Duration, Duration)> {
        if let Some((_, from, to)) = self.play.slowed.filter(|(name, ..)| *name == &**runner) {
            return vec![(from, to)];
        }
        let mut moments = Vec::new();
        let share = self.play.moments;
        if share <= 0.0 {
            return moments;
        }
        let mut at = Duration::ZERO;
        while at < self.play.length {
            let length = self.rng.random_range(0.4..0.8);
            let pause = 2.0 * 0.6 * (1.0 - share) / share * self.rng.random::<f64>();
            at += Duration::from_secs_f64(pause);
            let end = at + Duration::from_secs_f64(length);
            moments.push((at, end));
            at = end;
        }
        moments
    }

    fn start_vms(&mut self) {
        let mut listed = descriptors(&self.play);
        if let Some(at) = self.play.fresh {
            listed.retain(|descriptor| &*descriptor.runner != "pay-0");
            self.schedule(at, Step::Listed);
        }
        for number in 0..self.play.vms {
            let settings = Settings {
                vm: member(number).vm,
                zone: zone(number),
                ..settings()
            };
            let seed = self.play.seed * 1_000 + number as u64;
            let mut state = State::new(settings, member(number), Vec::new(), seed);
            state.policy.speeds = self.play.uses_speeds && number >= self.play.older;
            if let Some(engines) = self.play.group_engines {
                state.policy.group_engines = engines;
                state.policy.group_engines_uneven = engines;
            }
            self.by_address.insert(member(number).peer_address, number);
            self.vms.push(state);
        }
        for number in 0..self.play.vms {
            self.apply(
                number,
                Event::ManifestRead {
                    manifest: manifest(),
                },
            );
            self.apply(
                number,
                Event::PoolRead {
                    descriptors: listed.clone(),
                    revision: 10,
                },
            );
            for other in (0..self.play.vms).filter(|other| *other != number) {
                let view = view(member(other), false).into();
                self.apply(number, Event::ViewReceived { view });
            }
            let offset = TICK * number as u32 / self.play.vms as u32;
            self.schedule(offset, Step::Tick(number));
        }
        if let Some(at) = self.play.loss {
            self.schedule(at, Step::Lost);
        }
    }

    fn plan_arrivals(&mut self) {
        for (rate, is_stream) in [
            (self.play.streams_per_s, true),
            (self.play.plain_per_s, false),
        ] {
            let mut at = 0.2;
            while rate > 0.0 && at < self.play.length.as_secs_f64() {
                let time = Duration::from_secs_f64(at);
                let burst = self.play.burst;
                let is_burst = burst.is_some_and(|(from, to)| from <= time && time < to);
                let factor = if is_burst { 2.3 } else { 1.0 };
                at += -self.rng.random::<f64>().max(1e-9).ln() / (rate * factor);
                let vm = self.pick_vm(at);
                self.schedule(Duration::from_secs_f64(at), Step::Arrive(vm, is_stream));
            }
        }
    }

    /// A VM of a zone, by the demand of the zones at a time.
    fn pick_vm(&mut self, at: f64) -> usize {
        loop {
            let vm = self.rng.random_range(0..self.play.vms);
            let phase = at / SWING_PERIOD_S + (vm % ZONES) as f64 / ZONES as f64;
            let demand = 1.0 + SWING * (phase * std::f64::consts::TAU).sin();
            if self.rng.random::<f64>() * (1.0 + SWING) < demand {
                return vm;
            }
        }
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.number += 1;
        self.steps.insert((at, self.number), step);
    }

    fn perform_step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Vm(vm, event) => self.apply(vm, *event),
            Step::Tick(vm) => {
                self.apply(vm, Event::Tick);
                self.schedule(now + TICK, Step::Tick(vm));
            }
            Step::Arrive(vm, is_stream) => self.arrive(vm, is_stream),
            Step::Prefilled(runner, vm, attempt) => self.end_prefill(&runner, vm, attempt),
            Step::Joined(runner, vm, attempt, position) => {
                self.join(&runner, vm, attempt, position)
            }
            Step::Decoded(runner) => self.end_step(&runner),
            Step::Answered(runner, vm, attempt) => self.end_plain(&runner, vm, attempt),
            Step::Lost => self.lose_vm(),
            Step::Listed => {
                for vm in 0..self.play.vms {
                    let listed = descriptors(&self.play).into_iter();
                    let mut fresh = listed.filter(|listed| &*listed.runner == "pay-0");
                    let descriptor = fresh.next().expect("a runner");
                    self.apply(vm, Event::RunnerUpdated { descriptor });
                }
            }
        }
    }

    /// Stops the VM that has received most claims; its callers go with it.
    fn lose_vm(&mut self) {
        let most = self
            .outcomes
            .claims_at
            .iter()
            .max_by_key(|(_, count)| **count);
        let lost = *most.expect("claims").0;
        self.lost = Some(lost);
        self.callers.retain(|(vm, _), _| *vm != lost);
        let attempts: Vec<_> = self.attempts.keys().copied().collect();
        for (vm, attempt) in attempts {
            if vm == lost {
                self.abort(vm, attempt);
            }
        }
    }

    fn arrive(&mut self, vm: usize, is_stream: bool) {
        if self.lost == Some(vm) {
            return;
        }
        self.last_call += 1;
        let call = self.last_call;
        let caller = Caller {
            arrived_at: self.now,
            last_event_at: None,
            is_late: false,
            has_paused: false,
            is_stream,
        };
        self.callers.insert((vm, call), caller);
        let path = if is_stream { "/stream/1" } else { "/read/1" };
        let prompt = Prompt {
            tokens: PROMPT_TOKENS,
            output_tokens: OUTPUT_TOKENS,
        };
        let arrival = Arrival {
            prompt: is_stream.then_some(prompt),
            time_limit: Some(ms(if is_stream { 14_000 } else { 1_500 })),
            ..stream_arrival(call, path)
        };
        self.apply(vm, Event::Arrived(arrival));
    }

    fn apply(&mut self, vm: usize, event: Event) {
        if self.lost == Some(vm) {
            return;
        }
        let mut effects = Vec::new();
        hornbeamtiller_relay::reduce::reduce(&mut self.vms[vm], self.now, event, &mut effects);
        for effect in effects {
            self.perform(vm, effect);
        }
    }

    fn send(&mut self, vm: usize, event: Event) {
        self.schedule(self.now + HOP, Step::Vm(vm, event.into()));
    }

    fn perform(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::SendClaim { address, mut claim } => {
                self.outcomes.claims += 1;
                self.outcomes.claimed_loads += claim.loads.len() as u64;
                self.outcomes.asks += claim.asks.len() as u64;
                if vm < self.play.older {
                    claim.readings.clear();
                }
                self.outcomes.readings += claim.readings.len() as u64;
                let to = self.by_address[&address];
                if self.lost == Some(to) {
                    let event = Event::AllocatorUnresponsive { address };
                    return self.schedule(self.now + CALL_TIMEOUT, Step::Vm(vm, event.into()));
                }
                *self.outcomes.claims_at.entry(to).or_default() += 1;
                self.send(to, Event::ClaimReceived { claim });
                let acknowledged = Event::ClaimAcknowledged { address };
                self.schedule(self.now + HOP * 2, Step::Vm(vm, acknowledged.into()));
            }
            Effect::SendGrants { address, batch } => {
                let to = self.by_address[&address];
                self.send(to, Event::GrantsReceived { batch });
            }
            Effect::PublishView { address, view } => {
                let to = self.by_address[&address];
                if self.lost == Some(to) {
                    let event = Event::PeerUnresponsive { address };
                    return self.schedule(self.now + CALL_TIMEOUT, Step::Vm(vm, event.into()));
                }
                self.send(to, Event::ViewReceived { view: view.into() });
            }
            Effect::Dispatch(dispatch) => self.run(vm, dispatch),
            Effect::AbortAttempt { attempt } => self.abort(vm, attempt),
            Effect::ForwardEvent { call } => self.record_event(vm, call),
            Effect::ForwardResponse { call } | Effect::EndStream { call } => {
                self.end_call(vm, call, true)
            }
            Effect::Refuse { call, .. } | Effect::AbortStream { call } => {
                self.end_call(vm, call, false)
            }
            _ => {}
        }
    }

    fn record_event(&mut self, vm: usize, call: id::Call) {
        let now = self.now;
        let caller = self.callers.get_mut(&(vm, call)).expect("a caller");
        match caller.last_event_at.replace(now) {
            None => {
                let took = now - caller.arrived_at;
                caller.is_late |= took > FIRST_EVENT_TARGET;
                self.outcomes.first_events.push(took);
            }
            Some(last) => caller.has_paused |= now - last > GAP_TARGET,
        }
    }

    fn end_call(&mut self, vm: usize, call: id::Call, is_served: bool) {
        let Some(caller) = self.callers.remove(&(vm, call)) else {
            return;
        };
        if caller.is_stream {
            self.outcomes.streams += 1;
            let is_late = caller.is_late || caller.has_paused || !is_served;
            self.outcomes.late_streams += u32::from(is_late);
            self.outcomes.late_gaps += u32::from(caller.has_paused);
            return;
        }
        let took = self.now - caller.arrived_at;
        self.outcomes.plain += 1;
        self.outcomes.late_plain += u32::from(took > PLAIN_TARGET || !is_served);
        self.outcomes.plain_times.push(took);
    }

    fn report(&mut self, runner: &id::Runner) -> Option<Report> {
        let machine = &self.machines[runner];
        let slowness = machine.slowness(self.now);
        let relative = slowness * machine.speed;
        let figure = match self.play.figure {
            Figure::None => f64::NAN,
            Figure::Noisy if self.rng.random_bool(0.1) => self.rng.random_range(10.0..2_000.0),
            Figure::Nonsense => {
                [-100.0, f64::NAN, f64::INFINITY, 99_999.0][machine.queue.len() % 4]
            }
            Figure::Absolute | Figure::Noisy => slowness * 100.0,
            Figure::Relative => relative * 100.0,
        };
        let is_prefill = runner.starts_with("read");
        let running = match (is_prefill, machine.busy) {
            (true, _) => machine.queued_prefills.min(1),
            (false, busy) => busy + machine.streams.len() as u32,
        };
        Some(Report {
            running,
            waiting: machine.queue.len() as u32 + machine.queued_prefills.saturating_sub(1),
            slots: PLAIN_SLOTS,
            slowdown: parse_slowdown(figure),
        })
    }

    fn end_attempt(&mut self, vm: usize, attempt: id::Attempt, outcome: Outcome) {
        let runner = self.attempts.remove(&(vm, attempt));
        let reported = runner.and_then(|runner| self.report(&runner));
        self.send(
            vm,
            Event::AttemptEnded {
                attempt,
                outcome,
                reported,
            },
        );
    }

    fn run(&mut self, vm: usize, dispatch: Dispatch) {
        let (attempt, runner) = (dispatch.attempt, dispatch.runner);
        let now = self.now;
        self.outcomes.dispatches.push((now, vm, runner.clone()));
        self.attempts.insert((vm, attempt), runner.clone());
        let machine = self.machines.get_mut(&runner).expect("a runner");
        let prefill_ms = PROMPT_TOKENS as f64 / PREFILL_TOKENS_PER_MS;
        match dispatch.operation {
            Operation::Plain => {
                if machine.busy >= PLAIN_SLOTS && machine.queue.len() >= PLAIN_QUEUE {
                    self.outcomes.declines += 1;
                    return self.end_attempt(vm, attempt, Outcome::Declined(Decline::Full));
                }
                *self.outcomes.work.get_mut(&runner).expect("a runner") += 1.0 / machine.speed;
                machine.queue.push_back((vm, attempt));
                self.start_plain(&runner);
            }
            Operation::Prefill => {
                *self.outcomes.work.get_mut(&runner).expect("a runner") += 1.0 / machine.speed;
                machine.queued_prefills += 1;
                machine.free_at = machine.finish(machine.free_at.max(now + HOP), prefill_ms);
                let at = machine.free_at;
                self.schedule(at, Step::Prefilled(runner, vm, attempt));
            }
            Operation::Generate { kv, resume_after } => {
                if machine.streams.len() >= ENGINE_SLOTS as usize {
                    self.outcomes.declines += 1;
                    return self.end_attempt(vm, attempt, Outcome::Declined(Decline::Full));
                }
                *self.outcomes.work.get_mut(&runner).expect("a runner") += 1.0 / machine.speed;
                machine.unread += u64::from(kv.is_none());
                let position = resume_after.unwrap_or(0);
                let joined = Step::Joined(runner, vm, attempt, position);
                self.schedule(now + HOP * 3, joined);
            }
            Operation::Delegate { .. } => unreachable!("all runners are reached"),
        }
    }

    fn start_plain(&mut self, runner: &id::Runner) {
        let now = self.now;
        let mut started = Vec::new();
        let machine = self.machines.get_mut(runner).expect("a runner");
        while machine.busy < PLAIN_SLOTS {
            let Some((vm, attempt)) = machine.queue.pop_front() else {
                break;
            };
            machine.busy += 1;
            started.push((machine.finish(now + HOP, PLAIN_WORK_MS), vm, attempt));
        }
        for (at, vm, attempt) in started {
            self.schedule(at, Step::Answered(runner.clone(), vm, attempt));
        }
    }

    fn end_plain(&mut self, runner: &id::Runner, vm: usize, attempt: id::Attempt) {
        self.machines.get_mut(runner).expect("a runner").busy -= 1;
        self.start_plain(runner);
        self.end_attempt(vm, attempt, Outcome::Answered { status: 200 });
    }

    fn end_prefill(&mut self, runner: &id::Runner, vm: usize, attempt: id::Attempt) {
        let machine = self.machines.get_mut(runner).expect("a runner");
        machine.queued_prefills -= 1;
        if self.attempts.contains_key(&(vm, attempt)) {
            let handle = format!("kv-{vm}-{attempt}").into();
            self.end_attempt(vm, attempt, Outcome::Prefilled { handle });
        }
    }

    fn join(&mut self, runner: &id::Runner, vm: usize, attempt: id::Attempt, position: u64) {
        if !self.attempts.contains_key(&(vm, attempt)) {
            return;
        }
        let machine = self.machines.get_mut(runner).expect("a runner");
        machine.streams.push(Running {
            vm,
            attempt,
            position,
        });
        if let Some(reported) = self.report(runner) {
            if reported.slowdown.is_some() {
                self.send(vm, Event::LoadStated { attempt, reported });
            }
        }
        self.start_step(runner);
    }

    fn start_step(&mut self, runner: &id::Runner) {
        let now = self.now;
        let machine = self.machines.get_mut(runner).expect("a runner");
        if machine.is_stepping || machine.streams.is_empty() {
            return;
        }
        machine.is_stepping = true;
        let unread = std::mem::take(&mut machine.unread) * PROMPT_TOKENS;
        let work = STEP_BASE_MS
            + STEP_STREAM_MS * machine.streams.len() as f64
            + unread as f64 / PREFILL_TOKENS_PER_MS;
        let at = machine.finish(now, work);
        self.schedule(at, Step::Decoded(runner.clone()));
    }

    fn end_step(&mut self, runner: &id::Runner) {
        let machine = self.machines.get_mut(runner).expect("a runner");
        machine.is_stepping = false;
        let mut streams = std::mem::take(&mut machine.streams);
        for stream in &mut streams {
            stream.position += 1;
            let attempt = stream.attempt;
            if stream.position == 1 {
                self.send(stream.vm, Event::StreamStarted { attempt });
            }
            let position = Some(stream.position);
            self.send(stream.vm, Event::StreamEvent { attempt, position });
        }
        let is_done = |stream: &Running| stream.position >= OUTPUT_TOKENS;
        let (ended, going): (Vec<_>, Vec<_>) = streams.into_iter().partition(is_done);
        self.machines.get_mut(runner).expect("a runner").streams = going;
        for stream in ended {
            self.attempts.remove(&(stream.vm, stream.attempt));
            self.send(
                stream.vm,
                Event::AttemptEnded {
                    attempt: stream.attempt,
                    outcome: Outcome::Ended,
                    reported: None,
                },
            );
        }
        self.start_step(runner);
    }

    fn abort(&mut self, vm: usize, attempt: id::Attempt) {
        if let Some(runner) = self.attempts.remove(&(vm, attempt)) {
            let machine = self.machines.get_mut(&runner).expect("a runner");
            let is_other = |running: &Running| (running.vm, running.attempt) != (vm, attempt);
            machine.streams.retain(is_other);
        }
    }

    /// Counts the streams that are not served although they are due.
    fn finish(mut self) -> Outcomes {
        for caller in self.callers.values().filter(|caller| caller.is_stream) {
            let is_overdue = caller.arrived_at + FIRST_EVENT_TARGET < self.now;
            let is_late = caller.is_late || caller.has_paused;
            if is_late || (is_overdue && caller.last_event_at.is_none()) {
                self.outcomes.streams += 1;
                self.outcomes.late_streams += 1;
            }
        }
        self.outcomes
    }
}
