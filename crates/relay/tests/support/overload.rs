//! A fleet in front of plain runners that get more requests than they can do.

#![allow(
    clippy::disallowed_methods,
    reason = "the figures of tests are in range"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::event::{Arrival, Event};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::{Endpoint, Kind, Manifest, Route};
use hornbeamtiller_relay::organisation::{Credential, Digest, Organisation, Table};
use hornbeamtiller_relay::pool::Report as Load;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::fleet::Fleet;
use super::{descriptors, ms, route, take_due};

/// Time between two ticks of the VMs.
const TICK: Duration = Duration::from_millis(10);
/// Time before the load begins, in which the VMs get to know each other.
pub const START: Duration = Duration::from_millis(3_000);
/// Slots of a runner, requests that it queues, and the time that a request takes.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(30);
/// Requests per second that three runners can do.
pub const CAPACITY: f64 = 600.0;
/// Target latency and deadline of all routes.
pub const TARGET: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Part of the time left up to which callers honour Retry-After.
const HONOURED_PART: u32 = 3;
/// Priorities of the routes, each of which has one path for idempotent requests and one for others.
pub const PRIORITIES: [u8; 2] = [1, 2];

/// A plain runner: slots and a queue, first come first served.
#[derive(Debug, Clone)]
pub struct PlainRunner {
    /// When each slot is free.
    slots: Vec<Duration>,
    /// When the requests that it has begin and end.
    requests: Vec<(Duration, Duration)>,
    /// Requests that it declined, and when.
    pub declined: Vec<Duration>,
    /// When the requests that it took arrived.
    pub accepted: Vec<Duration>,
    rng: SmallRng,
}

impl PlainRunner {
    pub fn new(seed: u64) -> Self {
        Self {
            slots: vec![Duration::ZERO; SLOTS],
            requests: Vec::new(),
            declined: Vec::new(),
            accepted: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes a request; returns when it ends, or none if the queue is full.
    pub fn accept(&mut self, now: Duration) -> Option<Duration> {
        self.requests.retain(|(_, end)| *end > now);
        if self.load(now).waiting as usize >= QUEUE {
            self.declined.push(now);
            return None;
        }
        self.accepted.push(now);
        let slot = self.slots.iter_mut().min().expect("a slot");
        let start = now.max(*slot);
        *slot = start + WORK.mul_f64(self.rng.random_range(0.7..1.3));
        self.requests.push((start, *slot));
        Some(*slot)
    }

    /// Drops what it has.
    fn restart(&mut self) {
        self.slots.fill(Duration::ZERO);
        self.requests.clear();
    }

    /// The load that it reports.
    pub fn load(&self, now: Duration) -> Load {
        let requests = self.requests.iter().filter(|(_, end)| *end > now);
        let (running, waiting): (Vec<&_>, Vec<&_>) = requests.partition(|(start, _)| *start <= now);
        Load {
            running: running.len() as u32,
            waiting: waiting.len() as u32,
            slots: SLOTS as u32,
            slowdown: None,
        }
    }
}

/// What happens to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Incident {
    /// A runner refuses connections for a while.
    LoseRunner(usize, Duration),
    /// The monitor is started anew.
    RestartMonitor,
    /// The monitor reaches no other VM for a while.
    CutMonitor(Duration),
    /// A part of the fleet takes another VM for the monitor for a while, since it passes over the right one.
    TwoMonitors(Duration),
}

/// Load in a span of time.
#[derive(Debug, Clone)]
pub struct Phase {
    pub length: Duration,
    /// Requests per second, as a multiple of what the runners can do.
    pub demand: f64,
}

/// A play.
#[derive(Debug, Clone)]
pub struct Play {
    pub seed: u64,
    pub vms: usize,
    pub phases: Vec<Phase>,
    /// Weights of the organisations by which they send requests.
    pub organisations: Vec<f64>,
    /// Part of the requests that has the first of the priorities.
    pub urgent_part: f64,
    /// VMs of the release before, which admit everything.
    pub older: usize,
    /// Whether VMs agree on what to admit.
    pub is_controlled: bool,
    pub incidents: Vec<(Duration, Incident)>,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            seed: seed(),
            vms: 70,
            phases: vec![Phase {
                length: ms(6_000),
                demand: 1.8,
            }],
            organisations: vec![1.0; 8],
            urgent_part: 0.3,
            older: 0,
            is_controlled: true,
            incidents: Vec::new(),
        }
    }
}

/// The seed of a play: 1, unless the environment sets another.
fn seed() -> u64 {
    let set = std::env::var("HORNBEAMTILLER_SEED").ok();
    set.and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// A request as it was sent.
#[derive(Debug, Clone)]
struct Sent {
    at: Duration,
    deadline: Duration,
    vm: usize,
    path: &'static str,
    priority: u8,
    organisation: usize,
    is_repeat: bool,
}

/// Counts of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    pub sent: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
}

impl Counts {
    pub fn answered(&self) -> usize {
        self.in_time + self.late
    }

    /// The part of the requests that was answered.
    pub fn answered_part(&self) -> f64 {
        self.answered() as f64 / self.sent.max(1) as f64
    }
}

/// What was seen.
pub struct Report {
    pub fleet: Fleet,
    sent: BTreeMap<(usize, id::Call), Sent>,
    runners: Vec<id::Runner>,
}

const PATHS: [[&str; 2]; 2] = [["/read-1/x", "/once-1/x"], ["/read-2/x", "/once-2/x"]];

fn routes() -> Vec<Route> {
    let mut routes = Vec::new();
    for (priority, [read, once]) in PRIORITIES.into_iter().zip(PATHS) {
        for (path, kind) in [(read, Kind::Idempotent), (once, Kind::NonIdempotent)] {
            routes.push(Route {
                priority,
                target_latency: TARGET,
                timeout: DEADLINE,
                ..route(path.trim_end_matches('x'), kind, "pay", false)
            });
        }
    }
    routes
}

fn key(organisation: usize) -> Digest {
    Digest::of(format!("key-{organisation}").as_bytes())
}

/// The name of an organisation.
fn name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

fn manifest(organisations: usize) -> Arc<Manifest> {
    let known = super::manifest(3, routes());
    let mut table = Table::default();
    for organisation in 0..organisations {
        let named = Organisation {
            name: name(organisation).into(),
            priority: None,
            cap: None,
        };
        table.insert(named, [key(organisation)]);
    }
    Arc::new(Manifest::new(
        3,
        routes(),
        BTreeMap::from([(Arc::from("pay"), Endpoint { engine: None })]),
        known.limits,
        Some(table),
        Arc::from([]),
    ))
}

/// Plays and reports.
pub fn play(play: &Play) -> Report {
    let mut report = Report::new(play);
    let mut incidents = play.incidents.clone();
    let mut restored: Vec<(Duration, Incident)> = Vec::new();
    let mut rng = SmallRng::seed_from_u64(play.seed);
    let mut call = 0;
    report.fleet.run_until(START);
    let mut end = START;
    for phase in &play.phases {
        end += phase.length;
        while report.fleet.now < end {
            let now = report.fleet.now;
            for (_, incident) in take_due(&mut restored, |(at, _)| *at <= now) {
                report.end(incident);
            }
            for (_, incident) in take_due(&mut incidents, |(at, _)| START + *at <= now) {
                report.begin(incident, &mut restored);
            }
            let expected = phase.demand * CAPACITY * TICK.as_secs_f64();
            for _ in 0..poisson(expected, &mut rng) {
                call += 1;
                let sent = draw(play, now, &mut rng);
                report.send(call, sent);
            }
            report.step(&mut call, &mut rng);
        }
    }
    report.fleet.run_until(end + DEADLINE);
    report
}

fn poisson(expected: f64, rng: &mut SmallRng) -> u32 {
    let (mut count, mut product) = (0, rng.random::<f64>());
    while product > (-expected).exp() {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

/// A new request of a caller.
fn draw(play: &Play, now: Duration, rng: &mut SmallRng) -> Sent {
    let at = now + TICK.mul_f64(rng.random());
    let class = usize::from(!rng.random_bool(play.urgent_part));
    let total: f64 = play.organisations.iter().sum();
    let mut place = rng.random::<f64>() * total;
    let mut organisation = 0;
    for (index, weight) in play.organisations.iter().enumerate() {
        organisation = index;
        if place < *weight {
            break;
        }
        place -= weight;
    }
    Sent {
        at,
        deadline: at + DEADLINE,
        vm: rng.random_range(0..play.vms),
        path: PATHS[class][rng.random_range(0..2)],
        priority: PRIORITIES[class],
        organisation,
        is_repeat: false,
    }
}

impl Report {
    fn new(play: &Play) -> Self {
        let mut fleet = Fleet::new(play.vms);
        let runners: Vec<id::Runner> = ["pay-1", "pay-2", "pay-3"].map(Into::into).into();
        for (index, runner) in runners.iter().enumerate() {
            let model = PlainRunner::new(play.seed * 100 + index as u64);
            fleet.plain_runners.insert(runner.clone(), model);
        }
        let manifest = manifest(play.organisations.len());
        for vm in 0..play.vms {
            let is_older = vm >= play.vms - play.older;
            fleet.vms[vm].settings.overload_control = play.is_controlled && !is_older;
            if is_older {
                fleet.uncontrolled.insert(vm);
            }
            let manifest = manifest.clone();
            fleet.apply(vm, Event::ManifestRead { manifest });
        }
        Self {
            fleet,
            sent: BTreeMap::new(),
            runners,
        }
    }

    fn send(&mut self, call: id::Call, sent: Sent) {
        let arrival = Arrival {
            prompt: None,
            time_limit: Some(sent.deadline - sent.at),
            credential: Credential::Key(key(sent.organisation)),
            ..super::stream_arrival(call, sent.path)
        };
        let delay = sent.at.saturating_sub(self.fleet.now);
        self.fleet
            .deliver_after(delay, sent.vm, Event::Arrived(arrival));
        self.sent.insert((sent.vm, call), sent);
    }

    /// Runs the fleet for a tick, and lets callers repeat what was refused.
    fn step(&mut self, call: &mut id::Call, rng: &mut SmallRng) {
        let before = self.fleet.now;
        self.fleet.run_until(before + TICK);
        let refused = self.fleet.refused_at.iter();
        let repeated: Vec<(Duration, (usize, id::Call))> = refused
            .filter(|(_, at)| before <= **at)
            .filter_map(|(number, at)| {
                let retry_after = self.fleet.refusals[number].retry_after?;
                Some((*at + retry_after, *number))
            })
            .collect();
        for (at, number) in repeated {
            let Some(sent) = self.sent.get(&number).cloned() else {
                continue;
            };
            let refused_at = self.fleet.refused_at[&number];
            let left = sent.deadline.saturating_sub(refused_at);
            if sent.is_repeat || at - refused_at > left / HONOURED_PART {
                continue;
            }
            *call += 1;
            let repeat = Sent {
                at: at.max(self.fleet.now),
                vm: rng.random_range(0..self.fleet.vms.len()),
                is_repeat: true,
                ..sent
            };
            self.send(*call, repeat);
        }
    }

    /// The VM that most others report to.
    pub fn monitor(&self) -> Option<usize> {
        let mut vms = self.fleet.vms.iter();
        vms.position(|state| !state.overload.monitors.is_empty())
    }

    fn begin(&mut self, incident: Incident, restored: &mut Vec<(Duration, Incident)>) {
        let now = self.fleet.now;
        match incident {
            Incident::LoseRunner(index, time) => {
                let name = self.runners[index].clone();
                self.fleet.stop_engine(&name);
                restored.push((now + time, incident));
            }
            Incident::RestartMonitor => {
                let vm = self.monitor().expect("a monitor");
                self.fleet.restart(vm, descriptors(), 10);
                let known = manifest(8);
                self.fleet.vms[vm].settings.overload_control = true;
                self.fleet
                    .apply(vm, Event::ManifestRead { manifest: known });
            }
            Incident::CutMonitor(time) => {
                let vm = self.monitor().expect("a monitor");
                self.fleet.cut.insert(vm);
                restored.push((now + time, incident));
            }
            Incident::TwoMonitors(time) => {
                let vm = self.monitor().expect("a monitor");
                let name = self.fleet.vms[vm].local.vm.clone();
                let others = (0..self.fleet.vms.len()).filter(|other| *other != vm);
                for other in others.step_by(2) {
                    let until = now + time;
                    let overload = &mut self.fleet.vms[other].overload;
                    overload.silent_until.insert(name.clone(), until);
                }
            }
        }
    }

    fn end(&mut self, incident: Incident) {
        match incident {
            Incident::LoseRunner(index, _) => {
                let name = self.runners[index].clone();
                let listed = descriptors();
                let listed = listed.iter().find(|it| it.runner == name);
                let listed = listed.expect("a listed runner");
                self.fleet.start_engine(listed, Duration::ZERO);
                let model = self.fleet.plain_runners.get_mut(&name);
                model.expect("a plain runner").restart();
            }
            Incident::CutMonitor(_) => self.fleet.cut.clear(),
            Incident::RestartMonitor | Incident::TwoMonitors(_) => {}
        }
    }

    /// Counts the requests of a time, from the start of the load, that pass a filter.
    fn count(&self, time: std::ops::Range<Duration>, filter: impl Fn(&Sent) -> bool) -> Counts {
        let mut counts = Counts::default();
        for (number, sent) in &self.sent {
            if !time.contains(&sent.at.saturating_sub(START)) || !filter(sent) {
                continue;
            }
            counts.sent += 1;
            if let Some(at) = self.fleet.answered.get(number) {
                match *at - sent.at <= TARGET {
                    true => counts.in_time += 1,
                    false => counts.late += 1,
                }
            } else if self.fleet.refusals.contains_key(number) {
                counts.refused += 1;
            }
        }
        counts
    }

    pub fn counts(&self, time: std::ops::Range<Duration>) -> Counts {
        self.count(time, |_| true)
    }

    pub fn counts_of_priority(&self, time: std::ops::Range<Duration>, priority: u8) -> Counts {
        self.count(time, |sent| sent.priority == priority)
    }

    pub fn counts_of_organisation(&self, time: std::ops::Range<Duration>, index: usize) -> Counts {
        self.count(time, |sent| sent.organisation == index)
    }

    pub fn counts_of_path(&self, time: std::ops::Range<Duration>, path: &str) -> Counts {
        self.count(time, |sent| sent.path == path)
    }

    pub fn counts_of_vms(&self, time: std::ops::Range<Duration>, vms: &BTreeSet<usize>) -> Counts {
        self.count(time, |sent| vms.contains(&sent.vm))
    }

    /// Requests that runners declined in a time.
    pub fn declined(&self, time: std::ops::Range<Duration>) -> usize {
        let runners = self.fleet.plain_runners.values();
        let declined = runners.flat_map(|runner| &runner.declined);
        declined
            .filter(|at| time.contains(&at.saturating_sub(START)))
            .count()
    }

    /// Refusals because of overload that no runner got: whether each is "not run", how long it was held, and when it
    /// is to come back.
    pub fn refusals(&self) -> Vec<(Claim, Duration, Option<Duration>)> {
        let refusals = self.fleet.refusals.iter();
        let refusals = refusals.filter(|(_, refusal)| refusal.reason == Reason::Overloaded);
        refusals
            .filter_map(|(number, refusal)| {
                let sent = self.sent.get(number)?;
                let held = self.fleet.refused_at[number].saturating_sub(sent.at);
                Some((refusal.claim, held, refusal.retry_after))
            })
            .collect()
    }

    /// A line of figures, for the log of a test.
    pub fn line(&self, name: &str, time: std::ops::Range<Duration>) -> String {
        let counts = self.counts(time.clone());
        let seconds = (time.end - time.start).as_secs_f64();
        format!(
            "{name}: sent {:.0}/s, in time {:.0}/s, late {:.0}/s, refused {:.0}/s, declined by runners {}, reports {}, told {}",
            counts.sent as f64 / seconds,
            counts.in_time as f64 / seconds,
            counts.late as f64 / seconds,
            counts.refused as f64 / seconds,
            self.declined(time),
            self.fleet.load_reports,
            self.fleet.admissions_told,
        )
    }
}
