//! A small fleet of reducers in front of runners that fail many attempts, and a count of what arrives
//! at the runners that is independent of the fleet's own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use hornbeamtiller_relay::event::{Decline, Dispatch, Effect, Event, Operation, Outcome};
use hornbeamtiller_relay::id;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::{member, ms, prefilled, settings, Harness, IDEMPOTENT, NON_IDEMPOTENT, STREAM};

/// When requests begin to come. By then the fleet has run for a whole retry window.
const TRAFFIC_START: Duration = Duration::from_secs(11);
/// When the runners begin to fail, and when they stop.
const FAILURES: (Duration, Duration) = (Duration::from_secs(16), Duration::from_secs(28));
/// When requests stop.
const END: Duration = Duration::from_secs(32);
/// Time between two ticks of a VM.
const TICK: Duration = Duration::from_millis(20);
/// How long a runner that goes on is silent, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 700..3_500;
/// An attempt that takes longer has a silence.
const SILENT_TIME_MIN: Duration = Duration::from_millis(1_000);
/// How long a VM that has started knows no other.
const DISCOVERY_TIME: Duration = Duration::from_millis(400);

/// How the runners fail, as weights.
#[derive(Debug, Clone, Copy)]
pub struct Failures {
    pub declined: u32,
    pub lost: u32,
    pub status: u32,
    /// The connection fails before a byte is written, so that nothing arrives.
    pub unwritten: u32,
    /// The runner falls silent, and goes on.
    pub silent: u32,
    pub none: u32,
}

/// A storm to play.
#[derive(Debug, Clone)]
pub struct Storm {
    pub seed: u64,
    pub vms: usize,
    /// Requests per second at each VM.
    pub rate: u32,
    pub failures: Failures,
    /// When VMs are killed, and start again at once: VM and milliseconds.
    pub restarts: Vec<(usize, u64)>,
    /// When the requests of all VMs move to the first one, in milliseconds.
    pub moves_at: Option<u64>,
}

/// A request as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Request {
    vm: usize,
    incarnation: usize,
    call: id::Call,
}

/// What the runners saw of a request.
#[derive(Debug, Clone, Default)]
struct Seen {
    arrivals: u32,
    prefilled: bool,
}

/// How an attempt will end.
#[derive(Debug, Clone, PartialEq, Eq)]
struct End {
    request: Request,
    attempt: id::Attempt,
    /// How it ends; `None` if its first event comes and it goes on.
    outcome: Option<Outcome>,
    /// Whether the first events of a stream come before the end.
    streams: bool,
}

struct Vm {
    harness: Harness,
    incarnation: usize,
    started_at: Duration,
}

/// The requests and the arrivals beyond the first of each, by endpoint.
#[derive(Debug, Default)]
pub struct Count {
    pub requests: BTreeMap<&'static str, Vec<Duration>>,
    pub repeats: BTreeMap<&'static str, Vec<Duration>>,
}

struct Play<'a> {
    storm: &'a Storm,
    rng: SmallRng,
    now: Duration,
    vms: Vec<Vm>,
    ends: BinaryHeap<Reverse<(Duration, u64)>>,
    details: HashMap<u64, End>,
    aborted: HashSet<(usize, usize, id::Attempt)>,
    seen: HashMap<Request, Seen>,
    count: Count,
}

/// Plays a storm and counts what arrives at the runners.
pub fn play(storm: &Storm) -> Count {
    let mut play = Play {
        storm,
        rng: SmallRng::seed_from_u64(storm.seed),
        now: Duration::ZERO,
        vms: Vec::new(),
        ends: BinaryHeap::new(),
        details: HashMap::new(),
        aborted: HashSet::new(),
        seen: HashMap::new(),
        count: Count::default(),
    };
    for number in 0..storm.vms {
        let vm = play.start_vm(number, 0);
        play.vms.push(vm);
    }
    play.now = TRAFFIC_START;
    let mut restarts = storm.restarts.clone();
    restarts.sort_by_key(|(_, at)| *at);
    while play.now < END + Duration::from_secs(4) {
        play.step(&mut restarts);
    }
    play.count
}

impl Play<'_> {
    fn start_vm(&mut self, number: usize, incarnation: usize) -> Vm {
        let seed = self.storm.seed + (number * 100 + incarnation) as u64;
        let mut harness = Harness::just_started(seed);
        let seeds = (0..self.storm.vms).map(|other| member("seed", other as u8 + 2, 1));
        harness.state.seeds = seeds.map(|seed| seed.peer_address).collect();
        Vm {
            harness,
            incarnation,
            started_at: self.now,
        }
    }

    fn step(&mut self, restarts: &mut Vec<(usize, u64)>) {
        let until = self.now + TICK;
        while restarts.first().is_some_and(|(_, at)| ms(*at) <= self.now) {
            let (number, _) = restarts.remove(0);
            let number = number % self.vms.len();
            let incarnation = self.vms[number].incarnation + 1;
            self.vms[number] = self.start_vm(number, incarnation);
        }
        for number in 0..self.vms.len() {
            self.introduce(number);
            let effects = self.apply(number, Event::Tick);
            self.perform(number, effects);
            if self.now < END {
                self.send_requests(number);
            }
        }
        while let Some(Reverse((at, key))) = self.ends.peek().copied() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.now = at;
            self.end(key);
        }
        self.now = until;
    }

    /// Lets a VM know the others once it has run for a moment.
    fn introduce(&mut self, number: usize) {
        let age = self.now - self.vms[number].started_at;
        let knows_others = self.vms[number].harness.state.members.iter().count() > 0;
        if age < DISCOVERY_TIME || knows_others {
            return;
        }
        for other in 0..self.vms.len() {
            if other != number {
                let peer = member(&format!("peer-{other}"), other as u8 + 2, 1);
                let vm = &mut self.vms[number];
                vm.harness.now = age;
                vm.harness.receive_view(peer, false);
            }
        }
    }

    fn apply(&mut self, number: usize, event: Event) -> Vec<Effect> {
        let vm = &mut self.vms[number];
        vm.harness.now = self.now - vm.started_at;
        vm.harness.apply(event)
    }

    /// Requests per second at a VM now.
    fn rate(&self, number: usize) -> f64 {
        let rate = f64::from(self.storm.rate);
        let has_moved = self.storm.moves_at.is_some_and(|at| ms(at) <= self.now);
        match (has_moved, number) {
            (false, _) => rate,
            (true, 0) => rate * self.vms.len() as f64,
            (true, _) => 0.0,
        }
    }

    fn send_requests(&mut self, number: usize) {
        let expected = self.rate(number) * TICK.as_secs_f64();
        let count = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let (path, endpoint) = match self.rng.random_range(0..4) {
                0 => (IDEMPOTENT, "pay"),
                1 => (NON_IDEMPOTENT, "pay"),
                _ => (STREAM, "llm"),
            };
            let times = self.count.requests.entry(endpoint).or_default();
            times.push(self.now);
            let vm = &mut self.vms[number];
            vm.harness.now = self.now - vm.started_at;
            let effects = vm.harness.arrive(path);
            self.perform(number, effects);
        }
    }

    fn perform(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => self.start(number, &dispatch),
                Effect::AbortAttempt { attempt } => {
                    let incarnation = self.vms[number].incarnation;
                    self.aborted.insert((number, incarnation, attempt));
                }
                _ => {}
            }
        }
    }

    fn draw_outcome(&mut self, dispatch: &Dispatch) -> (Outcome, Duration) {
        let is_failing = FAILURES.0 <= self.now && self.now < FAILURES.1;
        let Failures {
            declined,
            lost,
            status,
            unwritten,
            silent,
            none,
        } = self.storm.failures;
        let sum = declined + lost + status + unwritten + silent + none;
        let draw = if is_failing {
            self.rng.random_range(0..sum)
        } else {
            sum
        };
        if draw < declined {
            return (Outcome::Declined(Decline::Full), ms(1));
        }
        if draw < declined + lost {
            return (Outcome::Lost, ms(1));
        }
        if draw < declined + lost + status {
            return (Outcome::Answered { status: 500 }, ms(5));
        }
        if draw < declined + lost + status + unwritten {
            return (Outcome::Unwritten, ms(1));
        }
        let is_silent = draw < declined + lost + status + unwritten + silent;
        let silence = if is_silent {
            ms(self.rng.random_range(SILENCE_MS))
        } else {
            Duration::ZERO
        };
        let (outcome, time) = match dispatch.operation {
            Operation::Plain => (Outcome::Answered { status: 200 }, ms(60)),
            Operation::Prefill => (prefilled(), ms(90)),
            Operation::Generate { .. } => (Outcome::Ended, ms(600)),
            Operation::Delegate { .. } => unreachable!("no runner gets it"),
        };
        (outcome, time + silence)
    }

    /// Counts an attempt as the runners do, and schedules its end.
    fn start(&mut self, number: usize, dispatch: &Dispatch) {
        let request = Request {
            vm: number,
            incarnation: self.vms[number].incarnation,
            call: dispatch.call,
        };
        let (outcome, time) = match dispatch.operation {
            // The other VM reaches no more runners, and sends none the request.
            Operation::Delegate { .. } => (Outcome::Declined(Decline::Refused), ms(4)),
            _ => self.draw_outcome(dispatch),
        };
        let is_prefill = dispatch.operation == Operation::Prefill;
        let seen = self.seen.entry(request.clone()).or_default();
        let is_accepted_prefill = is_prefill && matches!(outcome, Outcome::Prefilled { .. });
        let is_exempt = is_accepted_prefill && !std::mem::replace(&mut seen.prefilled, true);
        let has_arrived = !matches!(
            outcome,
            Outcome::Unwritten | Outcome::Declined(Decline::Refused)
        );
        if has_arrived && !is_exempt {
            seen.arrivals += 1;
            if seen.arrivals > 1 {
                let endpoint = if dispatch.operation == Operation::Plain {
                    "pay"
                } else {
                    "llm"
                };
                self.count
                    .repeats
                    .entry(endpoint)
                    .or_default()
                    .push(self.now);
            }
        }
        let is_generation = matches!(dispatch.operation, Operation::Generate { .. });
        let breaks_later = outcome == Outcome::Lost && self.rng.random_bool(0.3);
        let time = if breaks_later { ms(250) } else { time };
        let attempt = dispatch.attempt;
        let mut streams = is_generation && (breaks_later || outcome == Outcome::Ended);
        // Half of the silences of streams come after the first event.
        if streams && time > SILENT_TIME_MIN && self.rng.random_bool(0.5) {
            let first = End {
                request: request.clone(),
                attempt,
                outcome: None,
                streams: true,
            };
            self.schedule(ms(60), first);
            streams = false;
        }
        let end = End {
            request,
            attempt,
            outcome: Some(outcome),
            streams,
        };
        self.schedule(time, end);
    }

    fn schedule(&mut self, time: Duration, end: End) {
        let key = self.details.len() as u64;
        self.details.insert(key, end);
        self.ends.push(Reverse((self.now + time, key)));
    }

    fn end(&mut self, key: u64) {
        let Some(end) = self.details.get(&key).cloned() else {
            return;
        };
        let Request {
            vm, incarnation, ..
        } = end.request;
        let is_gone = self.vms[vm].incarnation != incarnation;
        if is_gone || self.aborted.contains(&(vm, incarnation, end.attempt)) {
            return;
        }
        let attempt = end.attempt;
        let mut effects = Vec::new();
        if end.streams {
            effects.extend(self.apply(vm, Event::StreamStarted { attempt }));
            let position = Some(1);
            effects.extend(self.apply(vm, Event::StreamEvent { attempt, position }));
        }
        if let Some(outcome) = end.outcome {
            let reported = None;
            effects.extend(self.apply(
                vm,
                Event::AttemptEnded {
                    attempt,
                    outcome,
                    reported,
                },
            ));
        }
        self.perform(vm, effects);
    }
}

impl Count {
    /// The first span in which an endpoint got more repeats than allowed: where, when, how many, and how
    /// many were allowed.
    pub fn find_excess(&self) -> Option<(&'static str, Duration, usize, f64)> {
        let settings = settings();
        let window = settings.retry_window;
        for (endpoint, repeats) in &self.repeats {
            let requests = self.requests.get(endpoint).cloned().unwrap_or_default();
            let within = |times: &[Duration], from: Duration| {
                let until = from + window;
                times
                    .iter()
                    .filter(|at| from <= **at && **at < until)
                    .count()
            };
            for start in repeats {
                let count = within(repeats, *start);
                let counted = [Duration::ZERO, window / 2, window]
                    .map(|earlier| within(&requests, start.saturating_sub(earlier)))
                    .into_iter()
                    .max()
                    .unwrap_or(0);
                let allowed = settings.retry_ratio * counted as f64 + settings.retry_slack;
                if count as f64 > allowed {
                    return Some((endpoint, *start, count, allowed));
                }
            }
        }
        None
    }

    /// Number of repeats at all endpoints.
    pub fn repeats(&self) -> usize {
        self.repeats.values().map(Vec::len).sum()
    }
}
