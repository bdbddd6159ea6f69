//! Counts in the Prometheus text format, read from the state when they are asked for.

use std::time::Duration;

use hornbeamtiller_relay::event::Sample;
use hornbeamtiller_relay::pool::Status;
use hornbeamtiller_relay::state::State;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the distributions, in seconds.
const BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0,
];

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    refusals: IntCounterVec,
    ready: IntGauge,
    calls: IntGauge,
    members: IntGauge,
    manifest: IntGauge,
    runners: IntGaugeVec,
    calls_took: HistogramVec,
    first_event: Histogram,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The library's error, for a name that is taken or not allowed.
    pub fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("hornbeamtiller".to_owned()), None)?;
        let events = IntCounterVec::new(
            Opts::new("events_total", "What happened to requests and attempts."),
            &["event"],
        )?;
        let refusals = IntCounterVec::new(
            Opts::new("refusals_total", "Final answers of this process."),
            &["reason", "claim"],
        )?;
        let ready = IntGauge::new("ready", "Whether the process takes callers.")?;
        let calls = IntGauge::new("calls", "Requests without a final answer.")?;
        let members = IntGauge::new("members", "Other VMs known.")?;
        let manifest = IntGauge::new("manifest_version", "Version of the manifest in force.")?;
        let runners = IntGaugeVec::new(
            Opts::new("runners", "Runners known, by what is done with them."),
            &["state"],
        )?;
        let took = HistogramOpts::new("request_seconds", "Time from a request to its end.");
        let calls_took = HistogramVec::new(took.buckets(BUCKETS.into()), &["kind", "outcome"])?;
        let took = HistogramOpts::new(
            "first_event_seconds",
            "Time from a request to its first event.",
        );
        let first_event = Histogram::with_opts(took.buckets(BUCKETS.into()))?;
        registry.register(Box::new(runners.clone()))?;
        registry.register(Box::new(calls_took.clone()))?;
        registry.register(Box::new(first_event.clone()))?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        for gauge in [&ready, &calls, &members, &manifest] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(Self {
            registry,
            events,
            refusals,
            ready,
            calls,
            members,
            manifest,
            runners,
            calls_took,
            first_event,
        })
    }

    /// Adds a time to its distribution.
    pub fn add(&self, sample: Sample) {
        match sample {
            Sample::Call { kind, ending, took } => {
                let labels = [kind.into(), ending.into()];
                let calls = self.calls_took.with_label_values::<&str>(&labels);
                calls.observe(took.as_secs_f64());
            }
            Sample::FirstEvent { took } => self.first_event.observe(took.as_secs_f64()),
        }
    }

    /// Counts runners by what is done with them.
    fn count_runners(&self, state: &State, now: Duration) {
        let (mut ready, mut resting, mut leaving) = (0, 0, 0);
        for runner in state.pool.iter() {
            match runner.status {
                Status::Leaving { .. } => leaving += 1,
                Status::Ready if runner.breaker.is_open(now) => resting += 1,
                Status::Ready => ready += 1,
            }
        }
        for (label, count) in [("ready", ready), ("resting", resting), ("leaving", leaving)] {
            self.runners.with_label_values(&[label]).set(count);
        }
    }

    /// Writes the metrics of a state.
    ///
    /// # Errors
    ///
    /// The library's error, for a metric that can't be written as text.
    pub fn render(&self, state: &State, now: Duration) -> Result<Vec<u8>, prometheus::Error> {
        let counters = &state.counters;
        self.count_runners(state, now);
        self.events.reset();
        self.refusals.reset();
        for (event, count) in [
            ("arrived", counters.arrived),
            ("answered", counters.answered),
            ("stream_ended", counters.streams_ended),
            ("stream_cut", counters.streams_cut),
            ("dispatched", counters.dispatched),
            ("prefill", counters.prefills),
            ("resumed", counters.resumed),
            ("retried", counters.retried),
            ("retry_denied", counters.retries_denied),
            ("caller_gone", counters.callers_disconnected),
        ] {
            self.events.with_label_values(&[event]).inc_by(count);
        }
        for ((reason, claim), count) in &counters.refused {
            self.refusals
                .with_label_values(&[*reason, claim.as_str()])
                .inc_by(*count);
        }
        self.ready.set(i64::from(state.is_ready()));
        self.calls.set(state.calls.len() as i64);
        self.members.set(state.members.iter().count() as i64);
        let version = state
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version);
        self.manifest
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
