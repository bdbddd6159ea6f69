//! What one VM sees of a plain endpoint, and what it is told to admit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::duration::{self, Scale as _};
use crate::id;
use crate::origin;
use crate::pool;

use super::{Admission, Class, Demand, Key, Report, Sample, Window};

/// Expected wait at a runner from which a VM reports it, as a fraction of the target latency.
const QUEUE_FRACTION: f64 = 0.4;
/// How long a VM goes on reporting after it has seen a queue, unless its monitor answers that the endpoint is not
/// overloaded.
const REPORT_TIME: Duration = Duration::from_millis(1_000);
/// How long an admission is followed if no later one is received: a VM that does not hear of its monitor admits
/// everything within a second.
const ADMISSION_LIFETIME: Duration = Duration::from_millis(900);
/// Age from which a sample is not reported.
const SAMPLE_AGE_MAX: Duration = Duration::from_millis(300);
/// Weight of one response in the moving average of the work that a request is.
const WORK_WEIGHT: f64 = 0.1;

/// What the end of an attempt showed of a runner.
#[derive(Debug, Clone, Copy)]
pub struct Sight {
    /// The load that the runner reported.
    pub reported: Option<pool::Report>,
    /// Whether it declined the request since it is full.
    pub is_declined: bool,
    /// How long it took to answer; none if it did not.
    pub took: Option<Duration>,
}

/// What a VM sees of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct Observer {
    arrivals: Window<Class>,
    answers: Window<()>,
    declines: Window<()>,
    queues: BTreeMap<id::Runner, (pool::Report, Duration)>,
    /// Moving average of the time that a request takes without a queue, in seconds.
    work: Option<f64>,
    queue_seen_at: Option<Duration>,
    reported_at: Option<Duration>,
    admission: Option<(Admission, Duration)>,
}

impl Observer {
    /// Counts a request of a caller.
    pub fn record_arrival(&mut self, class: Class, now: Duration) {
        self.arrivals.count(class, now);
    }

    /// Records what the end of an attempt showed of a runner.
    pub fn record_sight(
        &mut self,
        runner: &id::Runner,
        sight: Sight,
        target: Duration,
        now: Duration,
    ) {
        if sight.is_declined {
            self.declines.count((), now);
            self.queue_seen_at = Some(now);
        }
        if sight.took.is_some() {
            self.answers.count((), now);
        }
        let Some(reported) = sight.reported else {
            return;
        };
        self.queues.insert(runner.clone(), (reported, now));
        let queued = f64::from(reported.waiting) / f64::from(reported.slots.max(1));
        if let Some(took) = sight.took {
            let work = took.as_secs_f64() / (1.0 + queued);
            let old = self.work.unwrap_or(work);
            self.work = Some(old + WORK_WEIGHT * (work - old));
        }
        let wait = self.work().scale(queued);
        if wait >= target.scale(QUEUE_FRACTION) {
            self.queue_seen_at = Some(now);
        }
    }

    /// How long a request takes at a runner without a queue, as far as known.
    pub fn work(&self) -> Duration {
        duration::from_seconds(self.work.unwrap_or(0.0))
    }

    /// Whether a report is due.
    pub fn is_report_due(&self, interval: Duration, now: Duration) -> bool {
        let has_queue = self.queue_seen_at.is_some_and(|at| at + REPORT_TIME > now);
        let is_recent = self.reported_at.is_some_and(|at| at + interval > now);
        (has_queue || self.admission(now).is_some()) && !is_recent
    }

    /// What the monitor is told now.
    pub fn report(&mut self, vm: &id::Vm, endpoint: &id::Endpoint, now: Duration) -> Report {
        self.reported_at = Some(now);
        self.queues.retain(|_, (_, at)| *at + SAMPLE_AGE_MAX > now);
        let demand = self.arrivals.rates(now);
        let samples = self.queues.iter().map(|(runner, (reported, at))| Sample {
            runner: origin::name_key(runner),
            running: reported.running,
            waiting: reported.waiting,
            slots: reported.slots,
            age: now.saturating_sub(*at),
        });
        Report {
            vm: vm.clone(),
            endpoint: endpoint.clone(),
            demand: demand
                .into_iter()
                .map(|(class, rate)| Demand { class, rate })
                .collect(),
            served: self.answers.rate(now),
            declined: self.declines.rate(now),
            work: self.work(),
            samples: samples.collect(),
        }
    }

    /// Spreads the next report over an interval; `phase` is from 0 to 1.
    pub fn delay_report(&mut self, interval: Duration, phase: f64, now: Duration) {
        self.reported_at = Some(now.saturating_sub(interval.scale(phase)));
    }

    /// Takes what a monitor says; returns whether the endpoint has become overloaded or has ceased to be for this VM.
    pub fn record_admission(&mut self, admission: Option<Admission>, now: Duration) -> bool {
        let before = self.admission(now).is_some();
        if admission.is_none() {
            self.queue_seen_at = None;
        }
        self.admission = admission.map(|admission| (admission, now));
        before != self.admission.is_some()
    }

    /// Forgets an admission that has expired; returns whether there was one.
    pub fn expire(&mut self, now: Duration) -> bool {
        let is_expired = self.admission.is_some() && self.admission(now).is_none();
        if is_expired {
            self.admission = None;
        }
        is_expired
    }

    /// What to admit; none if the endpoint is not overloaded.
    pub fn admission(&self, now: Duration) -> Option<&Admission> {
        let (admission, at) = self.admission.as_ref()?;
        (*at + ADMISSION_LIFETIME > now).then_some(admission)
    }

    /// The key of a runner in reports.
    pub fn key(runner: &id::Runner) -> Key {
        origin::name_key(runner)
    }
}
