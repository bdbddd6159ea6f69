//! How long work takes at the process of a runner, from the slowdown that it reports and from the times
//! that were observed.
//!
//! A unit of work is a prompt token at a prefill engine, an event of a stream at a decode engine, and a
//! request at a plain runner. The usual time of a unit is a long-term average. A momentary slowdown
//! counts for as long as it is likely to last. Nothing is estimated at endpoints whose runners report no
//! slowdown: placement there does not depend on this module.

use std::time::Duration;

use crate::duration::{self, Scale as _};
use crate::id;
use crate::placement::Purpose;
use crate::pool::{Pool, Runner};

/// The slowdown, in percent, at which work takes as long as usual.
const SLOWDOWN_USUAL: f64 = 100.0;
/// Least slowdown that is believed, in percent.
const SLOWDOWN_MIN: f64 = 10.0;
/// Greatest slowdown that is believed, in percent.
const SLOWDOWN_MAX: f64 = 2_000.0;
/// Weight of one observation in the long-term averages, once there are enough of them. Runners slow down
/// for moments; with 0.06 these moments move the average by less than a tenth.
const USUAL_WEIGHT: f64 = 0.06;
/// Number of observations that a reading of another VM counts for at most.
const READING_SAMPLES_MAX: u32 = 16;
/// Time constant with which the last reported slowdown stops counting. Momentary slowdowns last some
/// 600 ms and are noticed half-way on average.
const MOMENT_LIFETIME: Duration = Duration::from_millis(300);
/// Weight of a report against the reports of the moments before.
const MOMENT_WEIGHT: f64 = 0.6;
/// Bounds of a momentary slowdown against the usual one.
const MOMENT_RANGE: (f64, f64) = (0.4, 5.0);
/// Time constant with which grants of an allocator are forgotten.
const GRANT_LIFETIME: Duration = Duration::from_secs(4);
/// Events of a stream over which one time per event is averaged.
const PACE_EVENTS: u32 = 8;

/// A slowdown in percent, if a number is a believable one.
pub fn parse_slowdown(value: f64) -> Option<u16> {
    let is_believable = (SLOWDOWN_MIN..=SLOWDOWN_MAX).contains(&value);
    is_believable.then_some(value.round() as u16)
}

/// What one VM has observed of a process and not told to its allocator yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// Mean time of a unit of work; zero without observations.
    pub unit_time: Duration,
    /// Number of observations that it is the mean of.
    pub samples: u32,
    /// The last slowdown that the process reported, in percent.
    pub slowdown: Option<u16>,
    /// Time since that report.
    pub age: Duration,
}

/// Estimate of the time that work takes at the process of a runner.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    /// Long-term average time of a unit of work, in seconds.
    unit_time: Option<f64>,
    samples: u32,
    /// Long-term average of the reported slowdown, in percent.
    usual_slowdown: Option<f64>,
    reports: u32,
    /// Whether any of the reports was to this VM.
    has_own_reports: bool,
    /// Reported slowdown against the usual one, and when it was reported.
    moment: Option<(f64, Duration)>,
    /// Observations that are to be told to an allocator.
    untold: Untold,
    /// Calls that this VM, as allocator, placed there in the last seconds, and when the number was right.
    grants: (f64, Duration),
}

/// Observations that are to be told to an allocator.
#[derive(Debug, Clone, Copy, Default)]
struct Untold {
    seconds: f64,
    samples: u32,
    slowdown: Option<(u16, Duration)>,
}

impl Estimate {
    /// Whether the process reports slowdowns.
    pub fn has_reports(&self) -> bool {
        self.reports > 0
    }

    /// Whether the process reports slowdowns to this VM.
    pub fn has_own_reports(&self) -> bool {
        self.has_own_reports
    }

    /// Records a slowdown that the process reported to this VM.
    pub fn record_slowdown(&mut self, slowdown: u16, at: Duration) {
        self.has_own_reports = true;
        self.untold.slowdown = Some((slowdown, at));
        self.apply_slowdown(slowdown, at);
    }

    /// Records the time that a unit of work took for this VM.
    pub fn record_time(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        if seconds > 0.0 {
            self.untold.seconds += seconds;
            self.untold.samples += 1;
            self.apply_time(seconds, 1);
        }
    }

    /// Records what another VM has observed.
    pub fn record_reading(&mut self, reading: &Reading, now: Duration) {
        let slowdown = reading
            .slowdown
            .and_then(|value| parse_slowdown(value.into()));
        if let Some(slowdown) = slowdown {
            self.apply_slowdown(slowdown, now.saturating_sub(reading.age));
        }
        let seconds = reading.unit_time.as_secs_f64();
        if reading.samples > 0 && seconds > 0.0 {
            self.apply_time(seconds, reading.samples.min(READING_SAMPLES_MAX));
        }
    }

    /// Records that this VM, as allocator, placed a call there.
    pub fn record_grant(&mut self, now: Duration) {
        self.grants = (self.recent_grants(now) + 1.0, now);
    }

    /// Calls that this VM placed there, of which old ones count less.
    fn recent_grants(&self, now: Duration) -> f64 {
        let (count, at) = self.grants;
        let age = now.saturating_sub(at).as_secs_f64();
        count * (-age / GRANT_LIFETIME.as_secs_f64()).exp()
    }

    /// What this VM has observed since the last time, if anything.
    pub fn untold(&self, now: Duration) -> Option<Reading> {
        let untold = self.untold;
        if untold.samples == 0 && untold.slowdown.is_none() {
            return None;
        }
        let mean = untold.seconds / f64::from(untold.samples.max(1));
        let reported_at = untold.slowdown.map_or(now, |(_, at)| at);
        Some(Reading {
            unit_time: duration::from_seconds(mean),
            samples: untold.samples,
            slowdown: untold.slowdown.map(|(slowdown, _)| slowdown),
            age: now.saturating_sub(reported_at),
        })
    }

    /// Forgets what has been told.
    pub fn mark_told(&mut self) {
        self.untold = Untold::default();
    }

    fn apply_slowdown(&mut self, slowdown: u16, at: Duration) {
        let slowdown = f64::from(slowdown);
        // The first report may be of a moment; it counts as much as the assumption that all is as usual.
        self.reports = self.reports.saturating_add(1);
        let usual = self.usual_slowdown.unwrap_or(SLOWDOWN_USUAL);
        let usual = usual + average_weight(self.reports + 1, 1) * (slowdown - usual);
        self.usual_slowdown = Some(usual);
        if self.moment.is_some_and(|(_, last)| last > at) {
            return;
        }
        let (low, high) = MOMENT_RANGE;
        let against_usual = (slowdown / usual).clamp(low, high);
        let before = self.moment(at);
        let smoothed = before + MOMENT_WEIGHT * (against_usual - before);
        self.moment = Some((smoothed, at));
    }

    fn apply_time(&mut self, seconds: f64, samples: u32) {
        self.samples = self.samples.saturating_add(samples);
        let old = self.unit_time.unwrap_or(seconds);
        let weight = average_weight(self.samples, samples);
        self.unit_time = Some(old + weight * (seconds - old));
    }

    /// How much longer work takes now than usual; 1 without a recent report.
    fn moment(&self, now: Duration) -> f64 {
        self.moment.map_or(1.0, |(against_usual, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            1.0 + (against_usual - 1.0) * (-age / MOMENT_LIFETIME.as_secs_f64()).exp()
        })
    }

    /// Time of a unit of work, in seconds, at a machine whose slowdown is the usual one.
    fn nominal_time(&self) -> Option<f64> {
        let slowdown = self.usual_slowdown.unwrap_or(SLOWDOWN_USUAL);
        self.unit_time
            .map(|seconds| seconds * SLOWDOWN_USUAL / slowdown)
    }
}

/// Weight of new observations in a long-term average of all.
fn average_weight(all: u32, new: u32) -> f64 {
    let lasting = 1.0 - (1.0 - USUAL_WEIGHT).powi(new as i32);
    lasting.max(f64::from(new) / f64::from(all.max(1)))
}

/// Share of a momentary slowdown that a call still meets. A stream outlasts the moment; its first events
/// don't.
fn moment_share(purpose: Purpose) -> f64 {
    match purpose {
        Purpose::Plain | Purpose::Prefill => 0.8,
        Purpose::Decode => 0.3,
    }
}

/// The runners of one stage of an endpoint, compared by their speed.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    purpose: Purpose,
    /// Median of the nominal times, in seconds.
    nominal: Option<f64>,
    /// Median of the usual times, in seconds.
    usual: Option<f64>,
}

impl Field {
    /// The runners of a stage; none if no runner of the endpoint reports slowdowns.
    pub fn new(pool: &Pool, endpoint: &id::Endpoint, purpose: Purpose) -> Option<Self> {
        let mut runners = pool.at_endpoint(endpoint);
        if !runners.any(|runner| runner.speed.has_reports()) {
            return None;
        }
        let of_stage = pool
            .at_endpoint(endpoint)
            .filter(|runner| purpose.accepts(runner.descriptor.role));
        let nominal = of_stage
            .clone()
            .filter_map(|runner| runner.speed.nominal_time());
        let usual = of_stage.filter_map(|runner| runner.speed.unit_time);
        Some(Self {
            purpose,
            nominal: median(nominal.collect()),
            usual: median(usual.collect()),
        })
    }

    /// Usual time of a unit of work at a runner; one that was not observed yet is taken for one like the
    /// others, as slow as it says.
    pub fn usual_time(&self, runner: &Runner) -> Option<Duration> {
        let speed = &runner.speed;
        let slowdown = speed.usual_slowdown.unwrap_or(SLOWDOWN_USUAL);
        let expected = self
            .nominal
            .map(|nominal| nominal * slowdown / SLOWDOWN_USUAL);
        speed
            .unit_time
            .or(expected)
            .map(|seconds| duration::from_seconds(seconds.min(1e3)))
    }

    /// Time of a unit of work at a runner now.
    pub fn current_time(&self, runner: &Runner, now: Duration) -> Option<Duration> {
        let usual = self.usual_time(runner)?;
        Some(usual.scale(self.moment(runner, now)))
    }

    /// How much longer work takes at a runner than at the median one, by its usual time.
    pub fn usual_slowness(&self, runner: &Runner) -> f64 {
        let usual = self.usual_time(runner).map(|time| time.as_secs_f64());
        match (usual, self.usual) {
            (Some(time), Some(median)) if median > 0.0 => time / median,
            _ => runner
                .speed
                .usual_slowdown
                .map_or(1.0, |slowdown| slowdown / SLOWDOWN_USUAL),
        }
    }

    /// How much longer work takes at a runner now than at the median one.
    pub fn slowness(&self, runner: &Runner, now: Duration) -> f64 {
        self.usual_slowness(runner) * self.moment(runner, now)
    }

    /// Time for which a runner was at work on the calls that an allocator placed there in the last seconds,
    /// in units of the median time of one call.
    pub fn recent_work(&self, runner: &Runner, now: Duration) -> f64 {
        runner.speed.recent_grants(now) * self.usual_slowness(runner)
    }

    /// Time of a unit of work at the median runner.
    pub fn median_time(&self) -> Option<Duration> {
        self.usual
            .map(|seconds| duration::from_seconds(seconds.min(1e3)))
    }

    fn moment(&self, runner: &Runner, now: Duration) -> f64 {
        1.0 + moment_share(self.purpose) * (runner.speed.moment(now) - 1.0)
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The events of a stream that a runner is generating, averaged over a few of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    since: Option<Duration>,
    events: u32,
}

impl Pace {
    /// Counts an event; returns the mean time of an event once there were enough of them.
    pub fn record(&mut self, now: Duration) -> Option<Duration> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events += 1;
        if self.events < PACE_EVENTS {
            return None;
        }
        let mean = now.saturating_sub(since) / self.events;
        *self = Self {
            since: Some(now),
            events: 0,
        };
        Some(mean)
    }
}
