//! A model of engines above their capacity, without a network: what callers get of them in one order or another.
//!
//! The allocator's rules for memory, slots and prefill are modelled, so that orders can be compared which the router
//! doesn't have; `Rule::Router` uses the order of the router itself.

#![allow(
    clippy::disallowed_methods,
    reason = "the figures of tests are in range"
)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hornbeamtiller_relay::id;
use hornbeamtiller_relay::order::{Entry, History, Queue, Urgency, Work};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::ms;

/// Time between two passes.
const STEP: Duration = Duration::from_millis(10);
const SLOTS: usize = 12;
/// KV memory of an engine that is allocated.
const MEMORY: u64 = 73_000;
const PREFILL_TOKENS_PER_MS: f64 = 55.6;
/// Time of a stream beside its prefill, and for each token of its output.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const TOKEN_TIME: Duration = Duration::from_millis(28);
const OUTPUT_TOKENS: u64 = 70;
/// Fraction of the target after which a call that waits counts as late, as in the reducer.
const ON_TIME: f64 = 0.8;
/// How long a call waits, as a multiple of its target, as in the reducer.
const PATIENCE: f64 = 3.5;
/// Part of the time left up to which callers honour a time to come again.
const RETURN_PART: f64 = 1.0 / 3.0;
/// Time of a call from its caller's point of view.
const DEADLINE: Duration = Duration::from_secs(10);
/// Organisations; the first one sends the flood.
pub const ORGANISATIONS: usize = 16;
const LENGTH: Duration = Duration::from_secs(24);

/// An order in which calls get capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum Rule {
    /// That of the router before: in time by the time left, then late ones in the order of their arrival.
    Before,
    /// Priority, then arrival.
    StrictPriority,
    /// The earliest time at which callers leave, whatever else.
    EarliestDeadline,
    /// The least time left to the target, less what the call needs.
    LeastSlack,
    /// The least work.
    ShortestWork,
    /// The organisation with the least work so far.
    FairQueueing,
    /// The order of the router.
    Router,
}

pub const RULES: [Rule; 7] = [
    Rule::Before,
    Rule::StrictPriority,
    Rule::EarliestDeadline,
    Rule::LeastSlack,
    Rule::ShortestWork,
    Rule::FairQueueing,
    Rule::Router,
];

/// A load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub seed: u64,
    /// Streams a second without bursts.
    pub rate: f64,
    /// Factor of the load in bursts.
    pub burst: f64,
    /// Factor of the load of the first organisation while it floods.
    pub flood: f64,
    /// Decode engines, and prefill engines beside them.
    pub engines: usize,
    /// Decode engines that are lost in the middle.
    pub lost: usize,
    /// Groups that the engines and the calls are divided into, each with an allocator of its own.
    pub groups: usize,
}

/// Size of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum Size {
    Small,
    Middle,
    Large,
}

impl Size {
    fn tokens(self) -> u64 {
        match self {
            Self::Small => 1_200,
            Self::Middle => 5_200,
            Self::Large => 18_000,
        }
    }
}

#[derive(Debug, Clone)]
struct Call {
    number: id::Call,
    organisation: usize,
    priority: u8,
    size: Size,
    target: Duration,
    /// When the caller sent it first, and when it came last.
    sent_at: Duration,
    arrived_at: Duration,
    has_returned: bool,
}

impl Call {
    fn work(&self) -> Work {
        2 * self.size.tokens() + OUTPUT_TOKENS
    }

    fn held(&self) -> u64 {
        self.size.tokens() + OUTPUT_TOKENS
    }

    fn prefill_time(&self) -> Duration {
        prefill_time(self.size.tokens())
    }

    fn patience(&self, now: Duration) -> Duration {
        let limit = self.arrived_at + self.target.mul_f64(PATIENCE);
        limit.min(self.sent_at + DEADLINE).saturating_sub(now)
    }

    fn urgency(&self, now: Duration) -> Urgency {
        let limit = self.arrived_at + self.target.mul_f64(ON_TIME);
        limit
            .checked_sub(now)
            .map_or(Urgency::Late, Urgency::InTime)
    }
}

fn prefill_time(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1e3)
}

/// What calls of one kind have come to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused with a time to come again, which may have helped.
    pub refused: u32,
    /// Time that the calls waited that got nothing.
    pub waited_in_vain: Duration,
}

impl Tally {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    pub fn plus(&self, other: &Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            waited_in_vain: self.waited_in_vain + other.waited_in_vain,
        }
    }

    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }
}

/// What callers got.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub all: Tally,
    pub by_priority: BTreeMap<u8, Tally>,
    pub by_size: BTreeMap<Size, Tally>,
    pub by_organisation: BTreeMap<usize, Tally>,
}

impl Report {
    fn count(&mut self, call: &Call, change: impl Fn(&mut Tally)) {
        change(&mut self.all);
        change(self.by_priority.entry(call.priority).or_default());
        change(self.by_size.entry(call.size).or_default());
        change(self.by_organisation.entry(call.organisation).or_default());
    }

    fn add(&mut self, other: &Self) {
        fn add<K: Copy + Ord>(sums: &mut BTreeMap<K, Tally>, others: &BTreeMap<K, Tally>) {
            for (kind, tally) in others {
                let sum = sums.entry(*kind).or_default();
                *sum = sum.plus(tally);
            }
        }
        self.all = self.all.plus(&other.all);
        add(&mut self.by_priority, &other.by_priority);
        add(&mut self.by_size, &other.by_size);
        add(&mut self.by_organisation, &other.by_organisation);
    }

    /// The organisations that don't flood, together.
    pub fn others(&self) -> Tally {
        let others = self.by_organisation.iter().filter(|(name, _)| **name != 0);
        others.fold(Tally::default(), |sum, (_, tally)| sum.plus(tally))
    }
}

#[derive(Debug, Clone, Default)]
struct Decoder {
    /// Tokens of each stream, and when it ends.
    streams: Vec<(u64, Duration)>,
    is_lost: bool,
}

impl Decoder {
    fn used(&self) -> u64 {
        self.streams.iter().map(|(tokens, _)| tokens).sum()
    }

    fn has_room(&self, tokens: u64, kept: u64) -> bool {
        !self.is_lost
            && self.streams.len() < SLOTS
            && (self.streams.is_empty() || self.used() + kept + tokens <= MEMORY)
    }
}

/// Plays a load in one order.
pub fn play(load: Load, rule: Rule) -> Report {
    let mut report = Report::default();
    for group in 0..load.groups {
        let mut world = World::new(load, rule, group);
        let mut now = Duration::ZERO;
        while now < LENGTH + DEADLINE {
            world.step(now);
            now += STEP;
        }
        report.add(&world.report);
    }
    report
}

struct World {
    load: Load,
    rule: Rule,
    arrivals: VecDeque<Call>,
    waiting: Vec<Call>,
    decoders: Vec<Decoder>,
    /// When each prefill engine has read all that it was sent.
    free_at: Vec<Duration>,
    history: History,
    served: [Work; ORGANISATIONS],
    vm: id::Vm,
    organisations: Vec<id::Organisation>,
    report: Report,
}

impl World {
    fn new(load: Load, rule: Rule, group: usize) -> Self {
        let organisations = (0..ORGANISATIONS).map(|number| format!("o-{number}").as_str().into());
        let mut report = Report::default();
        let mut arrivals = arrivals(load);
        arrivals.retain(|call| call.number as usize % load.groups == group);
        for call in &arrivals {
            report.count(call, |tally| tally.sent += 1);
        }
        Self {
            load,
            rule,
            arrivals,
            waiting: Vec::new(),
            decoders: vec![Decoder::default(); load.engines / load.groups],
            free_at: vec![Duration::ZERO; load.engines / load.groups],
            history: History::default(),
            served: [0; ORGANISATIONS],
            vm: "vm-1".into(),
            organisations: organisations.collect(),
            report,
        }
    }

    fn step(&mut self, now: Duration) {
        for (number, decoder) in self.decoders.iter_mut().enumerate() {
            decoder.streams.retain(|(_, ends_at)| *ends_at > now);
            decoder.is_lost = number < self.load.lost / self.load.groups
                && (ms(10_000)..ms(16_000)).contains(&now);
        }
        while self
            .arrivals
            .front()
            .is_some_and(|call| call.arrived_at <= now)
        {
            self.waiting.extend(self.arrivals.pop_front());
        }
        self.give_up(now);
        if self.rule == Rule::Router {
            self.pass_of_router(now);
        } else {
            self.pass_of_rule(now);
        }
    }

    /// Refuses the calls that have waited for as long as their VMs wait.
    fn give_up(&mut self, now: Duration) {
        let (gone, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|call| call.patience(now).is_zero());
        self.waiting = waiting;
        for call in gone {
            self.refuse(call, ms(150), now);
        }
    }

    /// A caller comes again once, if the time that it is given is short enough.
    fn refuse(&mut self, call: Call, retry_after: Duration, now: Duration) {
        let waited = now.saturating_sub(call.arrived_at);
        self.report.count(&call, |tally| {
            tally.refused += 1;
            tally.waited_in_vain += waited;
        });
        let left = (call.sent_at + DEADLINE).saturating_sub(now);
        if call.has_returned {
            return;
        }
        let retry_after = retry_after.min(left.mul_f64(RETURN_PART));
        let returned = Call {
            arrived_at: now + retry_after,
            has_returned: true,
            ..call
        };
        let position = self
            .arrivals
            .partition_point(|other| other.arrived_at <= returned.arrived_at);
        self.arrivals.insert(position, returned);
    }

    fn pass_of_rule(&mut self, now: Duration) {
        let mut waiting = std::mem::take(&mut self.waiting);
        let mut smallest = u64::MAX;
        waiting.sort_by_key(|call| (self.key(call, now), call.number));
        let mut waiting = VecDeque::from(waiting);
        while let Some(call) = waiting.pop_front() {
            if call.held() >= smallest || !self.place(&call, &BTreeMap::new(), now) {
                smallest = smallest.min(call.held());
                self.waiting.push(call);
            } else if self.rule == Rule::FairQueueing {
                let calls = waiting.make_contiguous();
                calls.sort_by_key(|call| (self.key(call, now), call.number));
            }
        }
    }

    /// What calls are ordered by, the lowest first.
    fn key(&self, call: &Call, now: Duration) -> (u64, Duration) {
        let prefilled_at = (call.arrived_at + call.target).saturating_sub(call.prefill_time());
        match (self.rule, call.urgency(now)) {
            (Rule::Before, Urgency::InTime(slack)) => (0, slack),
            (Rule::Before, _) => (1, Duration::ZERO),
            (Rule::StrictPriority, _) => (call.priority.into(), call.arrived_at),
            (Rule::EarliestDeadline, _) => (0, call.patience(now)),
            (Rule::LeastSlack, _) => (0, prefilled_at),
            (Rule::ShortestWork, _) => (call.work(), call.arrived_at),
            (Rule::FairQueueing | Rule::Router, _) => {
                (self.served[call.organisation], call.arrived_at)
            }
        }
    }

    fn pass_of_router(&mut self, now: Duration) {
        let waiting = std::mem::take(&mut self.waiting);
        let queued = self.free_at.iter().min().copied().unwrap_or_default();
        let queued = queued.saturating_sub(now);
        let mut history = std::mem::take(&mut self.history);
        let vm = self.vm.clone();
        let organisations = self.organisations.clone();
        let entries = waiting.iter().map(|call| Entry {
            call: call.number,
            vm: &vm,
            urgency: call.urgency(now),
            priority: call.priority,
            organisation: organisations.get(call.organisation),
            need: queued + call.prefill_time(),
            work: call.work(),
            patience: Some(call.patience(now)),
        });
        let mut queue = Queue::new(&mut history, entries.collect(), now);
        let mut kept = BTreeMap::new();
        let mut placed = vec![false; waiting.len()];
        while let Some(index) = queue.pop() {
            let call = &waiting[index];
            if self.place(call, &kept, now) {
                queue.place(index);
                placed[index] = true;
            } else if queue.leave(index) && kept.is_empty() {
                kept.extend(self.least_used().map(|engine| (engine, call.held())));
            }
        }
        let refusals = queue.finish();
        self.history = history;
        for (index, call) in waiting.into_iter().enumerate() {
            let refusal = refusals.iter().find(|refusal| refusal.index == index);
            match refusal {
                _ if placed[index] => {}
                Some(refusal) => self.refuse(call, refusal.retry_after, now),
                None => self.waiting.push(call),
            }
        }
    }

    fn least_used(&self) -> Option<usize> {
        let engines = self.decoders.iter().enumerate();
        let ready = engines.filter(|(_, decoder)| !decoder.is_lost);
        ready
            .min_by_key(|(_, decoder)| decoder.used())
            .map(|(index, _)| index)
    }

    fn place(&mut self, call: &Call, kept: &BTreeMap<usize, u64>, now: Duration) -> bool {
        let held = call.held();
        let with_room = self
            .decoders
            .iter()
            .enumerate()
            .filter(|(number, decoder)| {
                decoder.has_room(held, kept.get(number).copied().unwrap_or(0))
            });
        let found = with_room.min_by_key(|(_, decoder)| decoder.streams.len());
        let Some((number, _)) = found else {
            return false;
        };
        let Some(free_at) = self.free_at.iter_mut().min() else {
            return false;
        };
        *free_at = (*free_at).max(now) + call.prefill_time();
        let first_event_at = *free_at + FIRST_EVENT;
        let ends_at = first_event_at + TOKEN_TIME * OUTPUT_TOKENS as u32;
        self.decoders[number].streams.push((held, ends_at));
        self.served[call.organisation] += call.work();
        let is_in_time = first_event_at <= call.sent_at + call.target;
        let is_served = first_event_at <= call.sent_at + DEADLINE;
        self.report
            .count(call, |tally| match (is_in_time, is_served) {
                (true, _) => tally.in_time += 1,
                (false, true) => tally.late += 1,
                _ => {}
            });
        true
    }
}

/// The calls of a load: bursts of 3 s every 8 s, and a flood from 4 s to 18 s.
fn arrivals(load: Load) -> VecDeque<Call> {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut calls = VecDeque::new();
    let mut now = Duration::ZERO;
    while now < LENGTH {
        let is_burst = now.as_millis() % 8_000 >= 5_000;
        let is_flood = (ms(4_000)..ms(18_000)).contains(&now);
        let factor = if is_burst { load.burst } else { 1.0 };
        let weight = |organisation: usize| match organisation {
            0 if is_flood => 4.0 * load.flood,
            0..4 => 4.0,
            _ => 1.0,
        };
        let weights: Vec<f64> = (0..ORGANISATIONS).map(weight).collect();
        let usual = 4.0 * 4.0 + (ORGANISATIONS - 4) as f64;
        let sum: f64 = weights.iter().sum();
        let rate = load.rate * factor * sum / usual;
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        let mut drawn = rng.random::<f64>() * sum;
        let organisation = weights.iter().position(|weight| {
            drawn -= weight;
            drawn < 0.0
        });
        let priority = if rng.random_bool(0.3) { 0 } else { 2 };
        let size = match rng.random::<f64>() {
            part if part < 0.2 => Size::Small,
            part if part < 0.9 => Size::Middle,
            _ => Size::Large,
        };
        calls.push_back(Call {
            number: calls.len() as u64,
            organisation: organisation.unwrap_or(0),
            priority,
            size,
            target: if priority == 0 { ms(800) } else { ms(2_000) },
            sent_at: now,
            arrived_at: now,
            has_returned: false,
        });
    }
    calls
}
