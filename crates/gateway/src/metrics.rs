//! Metrics in the Prometheus text format. Counters and gauges are read from the state when the
//! metrics are rendered.

use std::time::Duration;

use hornbeamtiller_http::memory::Budget;
use hornbeamtiller_relay::crash::Feature;
use hornbeamtiller_relay::event::Sample;
use hornbeamtiller_relay::pool::Status;
use hornbeamtiller_relay::state::State;
use prometheus::{
    Encoder as _, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0,
];

/// Number of organisations that have labels of their own, and the label of all others.
const ORGANISATION_LABELS_MAX: usize = 32;
const OTHER_ORGANISATIONS: &str = "(other)";

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    origins: IntCounterVec,
    sessions: IntCounterVec,
    caps: IntCounterVec,
    caps_granted: IntGauge,
    overload_refusals: IntCounterVec,
    admitted: GaugeVec,
    retry_budget: GaugeVec,
    ready: IntGauge,
    calls: IntGauge,
    members: IntGauge,
    streams: IntGauge,
    quarantined_parts: IntGauge,
    quarantined_requests: IntGauge,
    manifest: IntGauge,
    runners: IntGaugeVec,
    request_seconds: HistogramVec,
    first_event_seconds: Histogram,
    memory: IntGaugeVec,
    memory_capacity: IntGauge,
    memory_refused: IntCounterVec,
    bodies_evicted: IntGauge,
    connections_cut: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// The library's error if a name is taken or invalid.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("hornbeamtiller".to_owned()), None)?;
        let events = IntCounterVec::new(
            Opts::new("events_total", "Events of requests and attempts."),
            &["event"],
        )?;
        let refusals = IntCounterVec::new(
            Opts::new(
                "refusals_total",
                "Final responses that this process gave instead of a runner.",
            ),
            &["reason", "claim"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new(
                "attempts_total",
                "Attempts, prefills included, by what they cost the retry budget.",
            ),
            &["endpoint", "charge"],
        )?;
        let origins = IntCounterVec::new(
            Opts::new(
                "origins_total",
                "Streams that callers took up again, by what told which software version began them.",
            ),
            &["source"],
        )?;
        let sessions = IntCounterVec::new(
            Opts::new(
                "sessions_total",
                "Requests of known sessions while several software versions serve, by whether they stay at that of the session.",
            ),
            &["decision"],
        )?;
        let caps = IntCounterVec::new(
            Opts::new(
                "caps_total",
                "Requests of organisations with a cap, by what the cap decided.",
            ),
            &["organisation", "decision"],
        )?;
        let caps_granted = IntGauge::new(
            "caps_granted",
            "Organisations for whose caps this process is the granter.",
        )?;
        let overload_refusals = IntCounterVec::new(
            Opts::new(
                "overload_refusals_total",
                "Requests that were refused since their plain endpoint is overloaded.",
            ),
            &["endpoint", "priority"],
        )?;
        let admitted = GaugeVec::new(
            Opts::new(
                "overload_admitted_per_second",
                "Requests per second that all VMs together admit to overloaded plain endpoints.",
            ),
            &["endpoint"],
        )?;
        let retry_budget = GaugeVec::new(
            Opts::new(
                "retry_budget",
                "Retries that this process may spend and has spent in the current window.",
            ),
            &["endpoint", "part"],
        )?;
        let ready = IntGauge::new("ready", "Whether this process accepts callers.")?;
        let calls = IntGauge::new("calls", "Requests in progress.")?;
        let members = IntGauge::new("members", "Known peers in the fleet.")?;
        let streams = IntGauge::new("streams_known", "Streams whose origin is known.")?;
        let quarantined_parts = IntGauge::new(
            "parts_quarantined",
            "Parts of prompts with which no request is sent to a runner.",
        )?;
        let quarantined_requests = IntGauge::new(
            "requests_quarantined",
            "Requests that are not sent to a runner, as they crashed some.",
        )?;
        let manifest = IntGauge::new("manifest_version", "Version of the manifest in force.")?;
        let runners =
            IntGaugeVec::new(Opts::new("runners", "Known runners, by state."), &["state"])?;
        let options = HistogramOpts::new(
            "request_seconds",
            "Time from the arrival of a request to its end.",
        );
        let request_seconds = HistogramVec::new(
            options.buckets(LATENCY_BUCKETS_SECONDS.into()),
            &["kind", "outcome"],
        )?;
        let options = HistogramOpts::new(
            "first_event_seconds",
            "Time from the arrival of a request to the first event of its stream.",
        );
        let first_event_seconds =
            Histogram::with_opts(options.buckets(LATENCY_BUCKETS_SECONDS.into()))?;
        let memory = IntGaugeVec::new(
            Opts::new("memory_bytes", "Memory held for others, by what it is for."),
            &["holder"],
        )?;
        let memory_capacity = IntGauge::new(
            "memory_capacity_bytes",
            "Memory that may be held for others.",
        )?;
        let memory_refused = IntCounterVec::new(
            Opts::new(
                "memory_refused_total",
                "How often no memory was left, by what it was for.",
            ),
            &["holder"],
        )?;
        let bodies_evicted = IntGauge::new(
            "bodies_evicted",
            "Incomplete request bodies that were dropped in favour of others.",
        )?;
        let connections_cut = IntCounterVec::new(
            Opts::new(
                "connections_cut_total",
                "Connections of clients that this process closed, by reason.",
            ),
            &["reason"],
        )?;
        registry.register(Box::new(memory.clone()))?;
        registry.register(Box::new(memory_refused.clone()))?;
        registry.register(Box::new(connections_cut.clone()))?;
        registry.register(Box::new(runners.clone()))?;
        registry.register(Box::new(request_seconds.clone()))?;
        registry.register(Box::new(first_event_seconds.clone()))?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(origins.clone()))?;
        registry.register(Box::new(sessions.clone()))?;
        registry.register(Box::new(caps.clone()))?;
        registry.register(Box::new(overload_refusals.clone()))?;
        registry.register(Box::new(admitted.clone()))?;
        registry.register(Box::new(retry_budget.clone()))?;
        for gauge in [
            &ready,
            &caps_granted,
            &calls,
            &members,
            &streams,
            &quarantined_parts,
            &quarantined_requests,
            &manifest,
            &memory_capacity,
            &bodies_evicted,
        ] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(Self {
            registry,
            events,
            refusals,
            attempts,
            origins,
            sessions,
            caps,
            caps_granted,
            overload_refusals,
            admitted,
            retry_budget,
            ready,
            calls,
            members,
            streams,
            quarantined_parts,
            quarantined_requests,
            manifest,
            runners,
            request_seconds,
            first_event_seconds,
            memory,
            memory_capacity,
            memory_refused,
            bodies_evicted,
            connections_cut,
        })
    }

    /// Records a sample in its histogram.
    pub fn observe(&self, sample: Sample) {
        match sample {
            Sample::Call { kind, ending, took } => {
                let labels = [kind.into(), ending.into()];
                let histogram = self.request_seconds.with_label_values::<&str>(&labels);
                histogram.observe(took.as_secs_f64());
            }
            Sample::FirstEvent { took } => self.first_event_seconds.observe(took.as_secs_f64()),
        }
    }

    /// Sets the gauges of runners by state.
    fn set_runners(&self, state: &State, now: Duration) {
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

    /// Sets the counters of attempts and the gauges of the retry budgets.
    fn set_attempts(&self, state: &State, now: Duration) {
        self.attempts.reset();
        for ((endpoint, charge), count) in &state.counters.attempts {
            let labels = [&**endpoint, (*charge).into()];
            self.attempts.with_label_values(&labels).inc_by(*count);
        }
        for (endpoint, budget) in &state.budgets {
            let usage = budget.usage(now, state.retry_share(now));
            for (part, retries) in [
                ("available", usage.available),
                ("spent", f64::from(usage.spent)),
                ("held", f64::from(usage.held)),
            ] {
                let gauge = self.retry_budget.with_label_values(&[&**endpoint, part]);
                gauge.set(retries);
            }
        }
    }

    /// Sets the counters of caps. Organisations beyond the first few by name are counted together.
    fn set_caps(&self, state: &State) {
        self.caps.reset();
        self.caps_granted.set(state.granter.len() as i64);
        for (index, (organisation, counter)) in state.counters.caps.iter().enumerate() {
            let label = match index < ORGANISATION_LABELS_MAX {
                true => organisation,
                false => OTHER_ORGANISATIONS,
            };
            for (decision, count) in [
                ("granted", counter.granted),
                ("small", counter.small),
                ("alone", counter.alone),
                ("refused", counter.refused),
            ] {
                let counter = self.caps.with_label_values(&[label, decision]);
                counter.inc_by(count);
            }
        }
    }

    /// Sets the counters and gauges of overloaded plain endpoints.
    fn set_overload(&self, state: &State, now: Duration) {
        self.overload_refusals.reset();
        for ((endpoint, priority), count) in &state.counters.overloaded {
            let priority = priority.to_string();
            let labels = [&**endpoint, priority.as_str()];
            let counter = self.overload_refusals.with_label_values(&labels);
            counter.inc_by(*count);
        }
        self.admitted.reset();
        for (endpoint, observer) in &state.overload.observers {
            if let Some(admission) = observer.admission(now) {
                let gauge = self.admitted.with_label_values(&[&**endpoint]);
                gauge.set(admission.rate);
            }
        }
    }

    /// Sets the metrics of memory and connections.
    fn set_memory(&self, budget: &Budget) {
        let gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.memory_capacity.set(gauge(budget.capacity()));
        for (holder, used) in budget.used_by_holder() {
            self.memory.with_label_values(&[holder]).set(gauge(used));
        }
        self.memory_refused.reset();
        for (holder, count) in budget.refused_by_holder() {
            let counter = self.memory_refused.with_label_values(&[holder]);
            counter.inc_by(count);
        }
        self.bodies_evicted.set(budget.evicted() as i64);
        self.connections_cut.reset();
        for (reason, count) in budget.cuts() {
            let counter = self.connections_cut.with_label_values(&[reason]);
            counter.inc_by(count);
        }
    }

    /// Renders the metrics for a state and a budget.
    ///
    /// # Errors
    ///
    /// The library's error if a metric can't be encoded as text.
    pub fn render(
        &self,
        state: &State,
        budget: &Budget,
        now: Duration,
    ) -> Result<Vec<u8>, prometheus::Error> {
        let counters = &state.counters;
        self.set_memory(budget);
        self.set_runners(state, now);
        self.set_attempts(state, now);
        self.set_caps(state);
        self.set_overload(state, now);
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
            ("delegated", counters.delegated),
            ("retried", counters.retried),
            ("retry_denied", counters.retries_denied),
            ("caller_gone", counters.callers_disconnected),
            ("runner_crashed", counters.runners_crashed),
            ("runner_departing", counters.runners_departing),
            ("overload_reported", counters.overload_reports),
        ] {
            self.events.with_label_values(&[event]).inc_by(count);
        }
        self.sessions.reset();
        for (decision, count) in &counters.sessions {
            let counter = self.sessions.with_label_values::<&str>(&[decision.into()]);
            counter.inc_by(*count);
        }
        self.origins.reset();
        for (source, count) in &counters.origins {
            let counter = self.origins.with_label_values::<&str>(&[source.into()]);
            counter.inc_by(*count);
        }
        for ((reason, claim), count) in &counters.refused {
            self.refusals
                .with_label_values(&[*reason, claim.as_str()])
                .inc_by(*count);
        }
        self.ready.set(i64::from(state.is_ready()));
        self.calls.set(state.calls.len() as i64);
        self.streams.set(state.origins.len() as i64);
        let (requests, parts): (Vec<Feature>, Vec<Feature>) = state
            .quarantine
            .active()
            .partition(|feature| feature.is_request());
        self.quarantined_parts.set(parts.len() as i64);
        self.quarantined_requests.set(requests.len() as i64);
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
