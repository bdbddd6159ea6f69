//! A fleet in front of plain runners that name limits.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeamtiller_relay::id;
use hornbeamtiller_relay::limit::Rate;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::fleet::Fleet;
use super::{descriptors, ms, take_due, IDEMPOTENT, NON_IDEMPOTENT};

/// Time between two ticks of the VMs.
const TICK: Duration = Duration::from_millis(10);
/// How long after it is named a limit need not be kept, and how long a VM is excused after an incident.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How much more a runner may get than its limit says.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;

/// What happens to the fleet.
#[derive(Debug, Clone)]
pub enum Incident {
    /// Runners name these limits from now on, and no others.
    Limits(Vec<(&'static str, Rate)>),
    /// A VM is started anew, or added.
    Restart(usize),
    /// A VM leaves.
    Leave(usize),
    /// A VM reaches no other one for a while.
    Cut(usize, Duration),
}

/// A play.
#[derive(Debug, Clone)]
pub struct Play {
    pub seed: u64,
    pub vms: usize,
    /// Requests per second.
    pub rate: f64,
    /// Whether the first VMs get most of them.
    pub is_uneven: bool,
    pub incidents: Vec<(Duration, Incident)>,
    pub length: Duration,
}

/// What was seen.
pub struct Report {
    pub fleet: Fleet,
    /// Limits as they were named: when, and what.
    named: Vec<(Duration, BTreeMap<id::Runner, Rate>)>,
    /// VMs that are excused, and when.
    excused: Vec<(usize, std::ops::Range<Duration>)>,
    /// When requests were sent by callers.
    sent_at: BTreeMap<(usize, id::Call), Duration>,
}

/// Plays and reports.
pub fn play(play: &Play) -> Report {
    let mut rng = SmallRng::seed_from_u64(play.seed);
    let mut report = Report {
        fleet: Fleet::new(play.vms),
        named: Vec::new(),
        excused: Vec::new(),
        sent_at: BTreeMap::new(),
    };
    let mut incidents = play.incidents.clone();
    let mut cut_until = Vec::new();
    let mut call = 0;
    while report.fleet.now < play.length {
        let now = report.fleet.now;
        for (_, incident) in take_due(&mut incidents, |(at, _)| *at <= now) {
            report.start(incident, &mut cut_until);
        }
        for (_, vm) in take_due(&mut cut_until, |(at, _)| *at <= now) {
            report.fleet.cut.remove(&vm);
        }
        let expected = play.rate * TICK.as_secs_f64();
        let count = expected as u32 + u32::from(rng.random_bool(expected.fract()));
        for _ in 0..count {
            call += 1;
            let vms = report.fleet.vms.len();
            let uniform: f64 = rng.random();
            let place = if play.is_uneven {
                uniform.powi(3)
            } else {
                uniform
            };
            let vm = (place * vms as f64) as usize;
            let path = [IDEMPOTENT, NON_IDEMPOTENT][rng.random_range(0..2)];
            report.sent_at.insert((vm, call), now);
            report.fleet.arrive_plain(vm, call, path);
        }
        report.fleet.run_until(now + TICK);
    }
    report
}

impl Report {
    fn start(&mut self, incident: Incident, cut_until: &mut Vec<(Duration, usize)>) {
        let now = self.fleet.now;
        let mut excuse = |vm, time| self.excused.push((vm, now..now + time + STABILITY_WINDOW));
        match incident {
            Incident::Limits(limits) => {
                let limits = limits.into_iter().map(|(name, rate)| (name.into(), rate));
                self.fleet.limits = limits.collect();
                self.named.push((now, self.fleet.limits.clone()));
            }
            Incident::Restart(vm) => {
                excuse(vm, Duration::ZERO);
                self.fleet.restart(vm, descriptors(), 10);
            }
            Incident::Leave(vm) => self.fleet.leave(vm),
            Incident::Cut(vm, time) => {
                excuse(vm, time);
                self.fleet.cut.insert(vm);
                cut_until.push((now + time, vm));
            }
        }
    }

    /// The time for which a runner named a limit of at most this rate without a break, from now on.
    fn limited_at(&self, runner: &id::Runner, at: Duration) -> Option<(Duration, Rate)> {
        let mut since = None;
        for (time, limits) in self.named.iter().filter(|(time, _)| *time <= at) {
            since = match (limits.get(runner), since) {
                (Some(rate), Some((first, before))) => Some((first, rate.max(before))),
                (Some(rate), None) => Some((*time, *rate)),
                (None, _) => None,
            };
        }
        since
    }

    /// The largest share of what a limited runner may get in any window that it got.
    pub fn worst_ratio(&self, runner: &str) -> f64 {
        let runner = id::Runner::from(runner);
        let Some(arrivals) = self.fleet.plain_arrivals.get(&runner) else {
            return 0.0;
        };
        let is_excused = |vm: usize, at: Duration| {
            let mut excused = self.excused.iter();
            excused.any(|(other, time)| *other == vm && time.contains(&at))
        };
        let mut worst: f64 = 0.0;
        for (_, start) in arrivals {
            let end = *start + WINDOW;
            let Some((since, rate)) = self.limited_at(&runner, *start) else {
                continue;
            };
            let is_limited = since + STABILITY_WINDOW <= *start;
            if !is_limited || self.limited_at(&runner, end).is_none() {
                continue;
            }
            let counted = arrivals
                .iter()
                .filter(|(vm, at)| *start <= *at && *at < end && !is_excused(*vm, *at));
            let allowed = ALLOWED_FACTOR * rate * WINDOW.as_secs_f64() + ALLOWED_SLACK;
            worst = worst.max(counted.count() as f64 / allowed);
        }
        worst
    }

    /// Requests per second that a runner got in a time.
    pub fn rate_at(&self, runner: &str, time: std::ops::Range<Duration>) -> f64 {
        let arrivals = self.fleet.plain_arrivals.get(runner);
        let arrivals = arrivals.into_iter().flatten();
        let count = arrivals.filter(|(_, at)| time.contains(at)).count();
        count as f64 / (time.end - time.start).as_secs_f64()
    }

    /// The share of the requests of a time that were served.
    pub fn served_share(&self, time: std::ops::Range<Duration>) -> f64 {
        let sent = self.sent_at.iter().filter(|(_, at)| time.contains(at));
        let sent: Vec<_> = sent.map(|(call, _)| *call).collect();
        let served = sent
            .iter()
            .filter(|call| self.fleet.answered.contains_key(call));
        served.count() as f64 / sent.len().max(1) as f64
    }

    /// How long the refused requests of a time were held, and when they are to come back.
    pub fn refusals(&self, time: std::ops::Range<Duration>) -> Vec<(Duration, Option<Duration>)> {
        let sent = self.sent_at.iter().filter(|(_, at)| time.contains(at));
        let refusals = sent.filter_map(|(call, at)| {
            let refusal = self.fleet.refusals.get(call)?;
            let refused_at = self.fleet.refused_at[call];
            Some((refused_at - *at, refusal.retry_after))
        });
        refusals.collect()
    }
}

/// All three plain runners, and two of them.
pub const ALL: [&str; 3] = ["pay-1", "pay-2", "pay-3"];

impl Default for Play {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 8,
            rate: 60.0,
            is_uneven: false,
            incidents: vec![(
                ms(11_000),
                Incident::Limits(vec![(ALL[0], 5.7), (ALL[1], 4.2)]),
            )],
            length: ms(30_000),
        }
    }
}
