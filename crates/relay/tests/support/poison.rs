//! A fleet under requests of which some crash engines: by a part of their prompt, or as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::{self, Role};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::fleet::Fleet;
use super::{descriptor, ms, take_due, IDEMPOTENT, NON_IDEMPOTENT};

/// Time between two ticks of the VMs.
const TICK: Duration = Duration::from_millis(10);
/// How long an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// When the entry of an engine that has crashed is removed.
const LISTED_TIME: Duration = Duration::from_millis(3_600);
/// Interval at which a caller sends a request again.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// How much later than others a VM may learn of a change of the list, in milliseconds.
const LIST_DELAY_MS: u64 = 100;
/// Engines that prefill, and that decode.
const ENGINES: [(Role, u8); 2] = [(Role::Prefill, 4), (Role::Decode, 8)];
/// How long after the fifth crash no more requests may be sent, but for a few.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which a part has to be known.
const CRASHES_MAX: usize = 5;
/// Crashes after which a request has to be known.
const CRASHES_MAX_PLAIN: usize = 3;
/// Plain runners.
const PLAIN_RUNNERS: u8 = 3;
/// Share of the plain requests that ask for what others asked for, and for how many different things.
const REPEATED_SHARE: f64 = 0.6;
const REPEATED: u64 = 30;
/// Share of the plain requests that may be repeated.
const IDEMPOTENT_SHARE: f64 = 0.4;
/// First parts of sound prompts; the first of them is also that of the others.
const FIRST_PARTS: u64 = 6;
/// Second parts of sound prompts.
const SECOND_PARTS: u64 = 60;
/// The part or request that crashes engines.
pub const POISON: id::Part = 0xbad;

/// What happens to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Incident {
    /// A VM is started anew, or added.
    Restart { vm: usize },
    /// A VM reaches no other one for a while.
    Cut { vm: usize, time: Duration },
    /// Some engines crash for other reasons, one after the other.
    Crash { engines: u8, gap: Duration },
}

/// What requests are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    Streams,
    Plain,
}

/// A play.
#[derive(Debug, Clone)]
pub struct Play {
    pub seed: u64,
    pub vms: usize,
    pub service: Service,
    /// Sound requests per second.
    pub sound: f64,
    /// Requests per second that crash engines, and when they come.
    pub poison: f64,
    pub poisoned: Vec<std::ops::Range<Duration>>,
    /// How often a caller sends each of them, at intervals of `RETRY_INTERVAL`.
    pub tries: u32,
    /// Time from the beginning of a response to the crash; none for the usual one.
    pub crash_after: Option<Duration>,
    /// How long something still listens at the address of an engine that has ended.
    pub listening_time: Duration,
    /// Parts that take turns in these requests, or what these ask for in turns.
    pub culprits: Vec<id::Part>,
    pub incidents: Vec<(Duration, Incident)>,
    pub length: Duration,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 8,
            service: Service::Streams,
            sound: 25.0,
            poison: 5.0,
            poisoned: vec![ms(11_000)..ms(30_000)],
            tries: 1,
            crash_after: None,
            listening_time: Duration::ZERO,
            culprits: vec![POISON],
            incidents: Vec::new(),
            length: ms(30_000),
        }
    }
}

/// A request that comes again.
struct Again {
    at: Duration,
    parts: Vec<id::Part>,
    fingerprint: id::Fingerprint,
    culprit: id::Part,
}

/// A request as it was sent.
struct Sent {
    vm: usize,
    call: id::Call,
    at: Duration,
    /// What of it crashes engines.
    culprit: Option<id::Part>,
    first: id::Part,
}

/// What was seen.
pub struct Report {
    pub fleet: Fleet,
    service: Service,
    sent: Vec<Sent>,
    /// Crashes by what caused them.
    crashes: BTreeMap<id::Part, Vec<Duration>>,
    /// When VMs were out of touch.
    out_of_touch: Vec<(usize, std::ops::Range<Duration>)>,
}

struct World {
    play: Play,
    rng: SmallRng,
    report: Report,
    engines: Vec<pool::Descriptor>,
    revision: id::Revision,
    /// Entries that are still to be listed or removed.
    changes: Vec<(Duration, Event)>,
    crashes_seen: usize,
    cut_until: Vec<(Duration, usize)>,
    crash_at: Vec<Duration>,
    last_call: id::Call,
    again: Vec<Again>,
}

/// The engines that decode and prefill, or the plain runners.
fn list_engines(service: Service) -> Vec<pool::Descriptor> {
    let mut engines = Vec::new();
    if service == Service::Plain {
        let numbers = 0..PLAIN_RUNNERS;
        return numbers
            .map(|number| descriptor(&format!("pay-{number}"), "pay", 10 + number, None))
            .collect();
    }
    for (role, count) in ENGINES {
        for number in 0..count {
            let host = 10 + engines.len() as u8;
            let name = format!("{role}-{number}");
            engines.push(descriptor(&name, "llm", host, Some(role)));
        }
    }
    engines
}

/// Plays and reports.
pub fn play(play: &Play) -> Report {
    let mut world = World::new(play.clone());
    while world.report.fleet.now < play.length {
        world.step();
    }
    world.report
}

impl World {
    fn new(play: Play) -> Self {
        let engines = list_engines(play.service);
        let mut fleet = Fleet::with_engines(play.vms, engines.clone());
        let culprits = play.culprits.iter().copied().collect();
        if let Some(time) = play.crash_after {
            fleet.crash_after = time;
        }
        fleet.listening_time = play.listening_time;
        match play.service {
            Service::Streams => fleet.poison = culprits,
            Service::Plain => fleet.crashing = culprits,
        }
        Self {
            rng: SmallRng::seed_from_u64(play.seed),
            report: Report {
                fleet,
                service: play.service,
                sent: Vec::new(),
                crashes: BTreeMap::new(),
                out_of_touch: Vec::new(),
            },
            engines,
            revision: 10,
            changes: Vec::new(),
            crashes_seen: 0,
            cut_until: Vec::new(),
            crash_at: Vec::new(),
            last_call: 0,
            again: Vec::new(),
            play,
        }
    }

    fn step(&mut self) {
        let now = self.report.fleet.now;
        for (_, incident) in take_due(&mut self.play.incidents, |(at, _)| *at <= now) {
            self.start(incident);
        }
        for (_, vm) in take_due(&mut self.cut_until, |(at, _)| *at <= now) {
            self.report.fleet.cut.remove(&vm);
        }
        for _ in take_due(&mut self.crash_at, |at| *at <= now) {
            self.crash_any();
        }
        self.list_changes();
        self.send_requests();
        self.report.fleet.run_until(now + TICK);
        self.replace_crashed();
    }

    fn start(&mut self, incident: Incident) {
        let now = self.report.fleet.now;
        match incident {
            // A process that starts while others run is in touch as soon as it serves.
            Incident::Restart { vm } => {
                self.report
                    .fleet
                    .restart(vm, self.engines.clone(), self.revision);
            }
            Incident::Cut { vm, time } => {
                self.report.fleet.cut.insert(vm);
                self.cut_until.push((now + time, vm));
                let out = now..now + time + STABILITY_WINDOW;
                self.report.out_of_touch.push((vm, out));
            }
            Incident::Crash { engines, gap } => {
                let times = (0..engines).map(|number| now + gap * u32::from(number));
                self.crash_at.extend(times);
            }
        }
    }

    /// Crashes an engine for another reason.
    fn crash_any(&mut self) {
        let decode: Vec<id::Runner> = self
            .engines
            .iter()
            .filter(|engine| engine.role != Some(Role::Prefill))
            .map(|engine| engine.runner.clone())
            .collect();
        if decode.is_empty() {
            return;
        }
        let name = decode[self.rng.random_range(0..decode.len())].clone();
        self.report.fleet.stop_engine(&name);
        self.replace(&name);
    }

    fn replace_crashed(&mut self) {
        let crashes = self.report.fleet.crashes[self.crashes_seen..].to_vec();
        self.crashes_seen += crashes.len();
        for (at, name, part) in crashes {
            self.report.crashes.entry(part).or_default().push(at);
            self.replace(&name);
        }
    }

    /// Starts an engine under another name in the place of one that has crashed.
    fn replace(&mut self, name: &id::Runner) {
        let now = self.report.fleet.now;
        let Some(index) = self
            .engines
            .iter()
            .position(|engine| engine.runner == *name)
        else {
            return;
        };
        let crashed = self.engines.remove(index);
        self.revision += 2;
        let descriptor = pool::Descriptor {
            runner: format!("{}+", crashed.runner).into(),
            started_at_ms: now.as_millis() as u64,
            revision: self.revision,
            ..crashed
        };
        let removed = Event::RunnerRemoved {
            runner: name.clone(),
            revision: self.revision + 1,
        };
        self.report.fleet.start_engine(&descriptor, DOWN_TIME);
        self.changes
            .push((now + DOWN_TIME, Event::RunnerUpdated { descriptor }));
        self.changes.push((now + LISTED_TIME, removed));
    }

    fn list_changes(&mut self) {
        let now = self.report.fleet.now;
        for (_, event) in take_due(&mut self.changes, |(at, _)| *at <= now) {
            if let Event::RunnerUpdated { descriptor } = &event {
                self.engines.push(descriptor.clone());
            }
            let delays: Vec<u64> = (0..self.report.fleet.vms.len())
                .map(|_| self.rng.random_range(0..LIST_DELAY_MS))
                .collect();
            self.report.fleet.list(&event, |vm| ms(delays[vm]));
        }
    }

    fn draw_count(&mut self, rate: f64) -> u32 {
        let expected = rate * TICK.as_secs_f64();
        expected as u32 + u32::from(self.rng.random_bool(expected.fract()))
    }

    fn send_requests(&mut self) {
        match self.play.service {
            Service::Streams => self.send_streams(),
            Service::Plain => self.send_plain(),
        }
    }

    fn count_crashing(&mut self) -> u32 {
        let now = self.report.fleet.now;
        let is_due = self.play.poisoned.iter().any(|time| time.contains(&now));
        self.draw_count(if is_due { self.play.poison } else { 0.0 })
    }

    fn send_plain(&mut self) {
        for _ in 0..self.draw_count(self.play.sound) {
            let common = self.rng.random_range(0.0..1.0_f64).powi(2);
            let fingerprint = match self.rng.random_bool(REPEATED_SHARE) {
                true => 1_000 + (common * REPEATED as f64) as u64,
                false => 1_000_000 + self.last_call,
            };
            let path = match self.rng.random_bool(IDEMPOTENT_SHARE) {
                true => IDEMPOTENT,
                false => NON_IDEMPOTENT,
            };
            self.ask(path, fingerprint, None);
        }
        for _ in 0..self.count_crashing() {
            let culprits = &self.play.culprits;
            let culprit = culprits[self.rng.random_range(0..culprits.len())];
            self.ask(IDEMPOTENT, culprit, Some(culprit));
        }
    }

    fn ask(&mut self, path: &str, fingerprint: id::Fingerprint, culprit: Option<id::Fingerprint>) {
        let (vm, call) = self.draw_call(culprit, 0);
        self.report.fleet.arrive_asking(vm, call, path, fingerprint);
    }

    /// Draws the VM of the next call, and notes it.
    fn draw_call(&mut self, culprit: Option<id::Part>, first: id::Part) -> (usize, id::Call) {
        self.last_call += 1;
        let call = self.last_call;
        let vm = self.rng.random_range(0..self.report.fleet.vms.len());
        self.report.sent.push(Sent {
            vm,
            call,
            at: self.report.fleet.now,
            culprit,
            first,
        });
        (vm, call)
    }

    fn send_streams(&mut self) {
        self.send_again();
        for _ in 0..self.draw_count(self.play.sound) {
            let first = self.rng.random_range(1..=FIRST_PARTS);
            // Some parts are far more common than others.
            let common = self.rng.random_range(0.0..1.0_f64).powi(2);
            let second = 1_000 + (common * SECOND_PARTS as f64) as u64;
            self.send(&[first, second], None);
        }
        for _ in 0..self.count_crashing() {
            let culprits = &self.play.culprits;
            let part = culprits[self.rng.random_range(0..culprits.len())];
            let second = 1_000 + self.rng.random_range(0..SECOND_PARTS);
            let shared = match self.rng.random_range(0..3) {
                0 => vec![1, part],
                1 => vec![1, part, second],
                _ => vec![1, second, part],
            };
            self.send(&shared, Some(part));
        }
    }

    fn send(&mut self, shared: &[id::Part], culprit: Option<id::Part>) {
        let (vm, call) = self.draw_call(culprit, shared[0]);
        let mut parts = shared.to_vec();
        parts.push(1_000_000 + call);
        self.report.fleet.arrive_with(vm, call, &parts);
        let Some(culprit) = culprit else {
            return;
        };
        let now = self.report.fleet.now;
        self.again.extend((1..self.play.tries).map(|number| Again {
            at: now + RETRY_INTERVAL * number,
            parts: parts.clone(),
            fingerprint: call,
            culprit,
        }));
    }

    fn send_again(&mut self) {
        let now = self.report.fleet.now;
        for again in take_due(&mut self.again, |again| again.at <= now) {
            let (vm, call) = self.draw_call(Some(again.culprit), again.parts[0]);
            let fleet = &mut self.report.fleet;
            fleet.arrive_again(vm, call, &again.parts, again.fingerprint);
        }
    }
}

impl Report {
    fn is_in_touch(&self, vm: usize, at: Duration) -> bool {
        let mut out = self.out_of_touch.iter();
        !out.any(|(other, time)| *other == vm && time.contains(&at))
    }

    /// Number of arrivals at plain runners of what crashes them, later than allowed after its third crash.
    pub fn reached_too_late(&self, culprit: id::Fingerprint) -> usize {
        let crashes = self.crashes.get(&culprit);
        let Some(third) = crashes.and_then(|crashes| crashes.get(CRASHES_MAX_PLAIN - 1)) else {
            return 0;
        };
        let asks = self.sent.iter().filter(|sent| {
            let is_late = sent.at > *third + STABILITY_WINDOW;
            sent.culprit == Some(culprit) && is_late && self.is_in_touch(sent.vm, sent.at)
        });
        let late: BTreeSet<(usize, id::Call)> = asks.map(|sent| (sent.vm, sent.call)).collect();
        let reached = self.fleet.reached.iter();
        reached
            .filter(|(_, vm, call)| late.contains(&(*vm, *call)))
            .count()
    }

    /// Share of the sound plain requests of a time that were answered.
    pub fn answered_share(&self, time: std::ops::Range<Duration>) -> f64 {
        let is_counted = |sent: &&Sent| sent.culprit.is_none() && time.contains(&sent.at);
        let counted: Vec<&Sent> = self.sent.iter().filter(is_counted).collect();
        let answered = counted
            .iter()
            .filter(|sent| self.fleet.answered.contains_key(&(sent.vm, sent.call)));
        answered.count() as f64 / counted.len().max(1) as f64
    }

    /// Number of requests with a part that were sent to engines later than allowed after its fifth crash, or of
    /// arrivals at plain runners.
    pub fn sent_too_late(&self, part: id::Part) -> usize {
        if self.service == Service::Plain {
            return self.reached_too_late(part);
        }
        let crashes = self.crashes.get(&part);
        let Some(fifth) = crashes.and_then(|crashes| crashes.get(CRASHES_MAX - 1)) else {
            return 0;
        };
        let late = self.sent.iter().filter(|sent| {
            let sent_at = self.fleet.sent_at.get(&(sent.vm, sent.call));
            let is_late = sent_at.is_some_and(|at| *at > *fifth + STABILITY_WINDOW);
            sent.culprit == Some(part) && is_late && self.is_in_touch(sent.vm, sent.at)
        });
        late.count()
    }

    /// Number of crashes that a part or a request has caused.
    pub fn crashes_of(&self, part: id::Part) -> usize {
        self.crashes.get(&part).map_or(0, Vec::len)
    }

    /// Share of the sound requests of a time whose stream was begun at the first attempt; `first` selects
    /// those with this first part.
    pub fn begun_share(&self, time: std::ops::Range<Duration>, first: Option<id::Part>) -> f64 {
        let is_counted = |sent: &&Sent| {
            let is_first = first.is_none_or(|first| first == sent.first);
            sent.culprit.is_none() && is_first && time.contains(&sent.at)
        };
        let counted: Vec<&Sent> = self.sent.iter().filter(is_counted).collect();
        let begun = counted
            .iter()
            .filter(|sent| self.fleet.begun.contains(&(sent.vm, sent.call)));
        begun.count() as f64 / counted.len().max(1) as f64
    }

    /// Reasons of the refusals of sound requests.
    pub fn refusals_of_sound(&self) -> BTreeSet<hornbeamtiller_relay::refusal::Reason> {
        let sound = self.sent.iter().filter(|sent| sent.culprit.is_none());
        let refusals = sound.filter_map(|sent| self.fleet.refusals.get(&(sent.vm, sent.call)));
        refusals.map(|refusal| refusal.reason).collect()
    }
}
