//! The monitor of an endpoint: finds out whether it is overloaded, and what to admit.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use crate::duration::Scale as _;
use crate::id;

use super::{share, Admission, Class, Demand, Key, Rate, Report};

/// Mean wait at the runners from which an endpoint counts as overloaded, as a fraction of the target latency.
const OVERLOAD_FRACTION: f64 = 0.3;
/// Mean wait that is aimed at, as a fraction of the target latency: short, yet long enough that no slot falls idle.
const WAIT_FRACTION: f64 = 0.12;
/// Part of the slots that are free from which an endpoint does not count as overloaded.
const FREE_PART_MAX: f64 = 0.15;
/// Time in which a deviation from that wait is made up for, in intervals of reports and at least. Shorter than what it
/// takes until an admission shows in the queues, the queues would swing.
const CORRECTION_INTERVALS: f64 = 2.0;
const CORRECTION_TIME_MIN: Duration = Duration::from_millis(250);
/// How much more is admitted per part of the slots that are free.
const FREE_GAIN: f64 = 1.0;
/// Bounds of the ratio of what is admitted to what is served.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.5..=1.4;
/// Least part of the demand that is admitted, since nothing is learned of runners that get no requests.
const ADMITTED_PART_MIN: f64 = 0.05;
/// How long all requests could be admitted before an endpoint ceases to count as overloaded.
const CALM_TIME: Duration = Duration::from_millis(500);
/// Shortest interval between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(20);
/// How long a report or a sample counts, in intervals of reports and in addition.
const LIFETIME_INTERVALS: f64 = 2.0;
const LIFETIME_MIN: Duration = Duration::from_millis(300);
/// Age from which a sample does not show that the endpoint has become overloaded.
const FRESH_AGE: Duration = Duration::from_millis(60);
/// How long the mean wait must be too long before an endpoint counts as overloaded. Chance alone makes short queues.
const QUEUE_TIME: Duration = Duration::from_millis(20);
/// Part of the slots that are free from which everything is admitted: the load has ended, and what reports say of the
/// demand is older than that.
const FREE_PART_ALL: f64 = 0.4;
/// Time constant of the moving average of what each class sends. In a shorter time a small organisation sends too few
/// requests to know its share.
const MIX_TIME: Duration = Duration::from_millis(600);
/// Rate below which a class is forgotten.
const MIX_RATE_MIN: Rate = 0.05;
/// Change of the admitted part, relative to what all VMs were last told, from which they are told anew.
const TOLD_CHANGE: f64 = 0.3;
/// Shortest interval between that.
const TELL_INTERVAL: Duration = Duration::from_millis(200);
/// Weight of one sample in the moving average of a queue.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The queue of a runner.
#[derive(Debug, Clone, Copy)]
struct Queue {
    running: f64,
    waiting: f64,
    slots: f64,
    at: Duration,
}

/// What a decision was made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Whether the endpoint is overloaded from now on.
    pub is_overloaded: bool,
    /// Requests that callers send.
    pub demand: Rate,
    /// Requests that runners answer.
    pub served: Rate,
    /// Requests that runners decline.
    pub declined: Rate,
    /// Mean wait at the runners.
    pub wait: Duration,
    /// Part of the slots that are free.
    pub free_part: f64,
    /// VMs that report.
    pub vms: usize,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.is_overloaded {
            true => "overloaded",
            false => "not overloaded",
        };
        write!(
            f,
            "{state}: demand {:.0}, served {:.0}, declined {:.0} a second, wait {:.0} ms, free slots {:.2}, {} VMs",
            self.demand,
            self.served,
            self.declined,
            self.wait.as_secs_f64() * 1e3,
            self.free_part,
            self.vms
        )
    }
}

/// The monitor of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Monitor {
    reports: HashMap<id::Vm, (Report, Duration)>,
    queues: HashMap<Key, Queue>,
    admission: Option<Admission>,
    decided_at: Option<Duration>,
    /// Since when the mean wait is too long.
    queueing_since: Option<Duration>,
    /// Since when all requests could be admitted.
    calm_since: Option<Duration>,
    /// Moving average of what each class sends.
    mix: BTreeMap<Class, Rate>,
    /// The part of the requests that is admitted, as all VMs were last told, and when; none if the endpoint is not
    /// overloaded.
    told: (Option<f64>, Duration),
}

impl Monitor {
    /// What to admit; none if the endpoint is not overloaded.
    pub fn admission(&self) -> Option<&Admission> {
        self.admission.as_ref()
    }

    /// Takes a report.
    pub fn record(&mut self, report: Report, now: Duration) {
        for sample in &report.samples {
            let at = now.saturating_sub(sample.age);
            let seen = Queue {
                running: f64::from(sample.running),
                waiting: f64::from(sample.waiting),
                slots: f64::from(sample.slots.max(1)),
                at,
            };
            let queue = self.queues.entry(sample.runner).or_insert(seen);
            if queue.at >= at {
                continue;
            }
            queue.waiting += SAMPLE_WEIGHT * (seen.waiting - queue.waiting);
            queue.running += SAMPLE_WEIGHT * (seen.running - queue.running);
            queue.slots = seen.slots;
            queue.at = at;
        }
        self.reports.insert(report.vm.clone(), (report, now));
    }

    /// Decides anew what to admit, unless that was done a moment ago; returns what has changed if the endpoint has
    /// become overloaded or has ceased to be. `interval` is that of the reports.
    pub fn decide(
        &mut self,
        target: Duration,
        interval: Duration,
        now: Duration,
    ) -> Option<Change> {
        if self
            .decided_at
            .is_some_and(|at| at + DECISION_INTERVAL > now)
        {
            return None;
        }
        let since = self.decided_at.replace(now);
        self.expire(interval, now);
        let is_new = self.admission.is_none();
        let seen = self.summarise(if is_new { FRESH_AGE } else { Duration::MAX }, now);
        self.average_mix(now.saturating_sub(since.unwrap_or_default()));
        if is_new {
            let is_queueing =
                seen.wait >= target.scale(OVERLOAD_FRACTION) && seen.free_part <= FREE_PART_MAX;
            if !is_queueing || seen.demand <= 0.0 || seen.served <= 0.0 {
                self.queueing_since = None;
                return None;
            }
            if *self.queueing_since.get_or_insert(now) + QUEUE_TIME > now {
                return None;
            }
            self.queueing_since = None;
            self.calm_since = None;
            self.admit(&seen, target, interval);
            return Some(Change {
                is_overloaded: true,
                ..seen
            });
        }
        let is_enough = seen.demand <= 0.0 || self.admit(&seen, target, interval);
        let calm_since = *self.calm_since.get_or_insert(now);
        if !is_enough {
            self.calm_since = None;
            return None;
        }
        if calm_since + CALM_TIME > now {
            return None;
        }
        self.admission = None;
        Some(seen)
    }

    /// Whether nothing is reported any more.
    pub fn is_idle(&self) -> bool {
        self.reports.is_empty() && self.admission.is_none()
    }

    /// Forgets reports and queues that are not renewed.
    fn expire(&mut self, interval: Duration, now: Duration) {
        let lifetime = LIFETIME_MIN + interval.scale(LIFETIME_INTERVALS);
        self.reports.retain(|_, (_, at)| *at + lifetime > now);
        self.queues.retain(|_, queue| queue.at + lifetime > now);
    }

    /// What the reports say together. Runners whose queue was not seen for `age_max` count as free.
    fn summarise(&self, age_max: Duration, now: Duration) -> Change {
        let reports = || self.reports.values().map(|(report, _)| report);
        let demand = reports().flat_map(|report| &report.demand);
        let (mut waiting, mut slots, mut free) = (0.0, 0.0, 0.0);
        for queue in self.queues.values() {
            slots += queue.slots;
            if now.saturating_sub(queue.at) >= age_max {
                free += queue.slots;
                continue;
            }
            waiting += queue.waiting;
            free += (queue.slots - queue.running).max(0.0);
        }
        let slots = slots.max(1.0);
        Change {
            is_overloaded: false,
            demand: demand.map(|demand| demand.rate).sum(),
            served: reports().map(|report| report.served).sum(),
            declined: reports().map(|report| report.declined).sum(),
            wait: self.work().scale(waiting / slots),
            free_part: free / slots,
            vms: self.reports.len(),
        }
    }

    /// Mean time that a request takes without a queue.
    fn work(&self) -> Duration {
        let reports = self.reports.values().map(|(report, _)| report);
        let known = reports.filter(|report| !report.work.is_zero());
        let (count, sum) = known.fold((0, Duration::ZERO), |(count, sum), report| {
            (count + 1, sum + report.work)
        });
        sum / count.max(1)
    }

    /// Sets what to admit; returns whether that is all.
    ///
    /// Where runners are busy, they answer what they can, so about as much is admitted as is answered: more if the
    /// queues are shorter than wanted or slots are free, less if they are longer. Both rates are of the VMs that
    /// report, so that it does not matter how many do.
    fn admit(&mut self, seen: &Change, target: Duration, interval: Duration) -> bool {
        let wanted = target.scale(WAIT_FRACTION).as_secs_f64();
        let time = interval
            .scale(CORRECTION_INTERVALS)
            .max(CORRECTION_TIME_MIN);
        let correction = 1.0
            + (wanted - seen.wait.as_secs_f64()) / time.as_secs_f64()
            + FREE_GAIN * seen.free_part;
        let correction = correction.clamp(*CORRECTION.start(), *CORRECTION.end());
        let least = match seen.free_part >= FREE_PART_ALL {
            true => seen.demand,
            false => seen.demand * ADMITTED_PART_MIN,
        };
        let rate = (seen.served * correction).max(least);
        let fractions = share(rate, &self.demand(seen.demand));
        self.admission = Some(Admission {
            fractions,
            rate,
            part: (rate / seen.demand.max(f64::MIN_POSITIVE)).min(1.0),
        });
        rate >= seen.demand
    }

    /// Whether all VMs are to be told what to admit, since that has changed much. `vms` is the size of the fleet: a
    /// monitor that few report to is not the only one, or was cut off, and tells no more than a beginning and an end.
    pub fn is_tell_due(&mut self, vms: usize, now: Duration) -> bool {
        let part = self.admission.as_ref().map(|admission| admission.part);
        let (told, at) = self.told;
        let is_changed = match (part, told) {
            (Some(part), Some(told)) => {
                let is_main = self.reports.len() * 2 >= vms;
                is_main && (part - told).abs() > TOLD_CHANGE * told
            }
            _ => part != told,
        };
        let is_due = is_changed && at + TELL_INTERVAL <= now;
        if is_due {
            self.told = (part, now);
        }
        is_due
    }

    /// Adds what the reports say of each class to its moving average; `time` is the time since that was last done.
    fn average_mix(&mut self, time: Duration) {
        let mut rates: BTreeMap<Class, Rate> = BTreeMap::new();
        let reports = self.reports.values().map(|(report, _)| report);
        for demand in reports.flat_map(|report| &report.demand) {
            *rates.entry(demand.class).or_default() += demand.rate;
        }
        let weight = 1.0 - (-time.as_secs_f64() / MIX_TIME.as_secs_f64()).exp();
        for class in rates.keys() {
            self.mix.entry(*class).or_default();
        }
        for (class, average) in &mut self.mix {
            let rate = rates.get(class).copied().unwrap_or(0.0);
            *average += weight * (rate - *average);
        }
        self.mix.retain(|_, rate| *rate >= MIX_RATE_MIN);
    }

    /// What each class sends, if all together send this much.
    fn demand(&self, total: Rate) -> Vec<Demand> {
        let sum: Rate = self.mix.values().sum();
        let scale = total / sum.max(f64::MIN_POSITIVE);
        let classes = self.mix.iter();
        let demand = classes.map(|(class, rate)| Demand {
            class: *class,
            rate: rate * scale,
        });
        demand.collect()
    }
}
