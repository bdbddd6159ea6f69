//! Counts in the Prometheus text format, read from the state when they are asked for.

use hornbeamtiller_relay::state::State;
use prometheus::{Encoder as _, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

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
        })
    }

    /// Writes the metrics of a state.
    ///
    /// # Errors
    ///
    /// The library's error, for a metric that can't be written as text.
    pub fn render(&self, state: &State) -> Result<Vec<u8>, prometheus::Error> {
        let counters = &state.counters;
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
            ("caller_gone", counters.callers_gone),
        ] {
            self.events.with_label_values(&[event]).inc_by(count);
        }
        for ((reason, claim), count) in &counters.refused {
            self.refusals
                .with_label_values(&[*reason, claim.as_str()])
                .inc_by(*count);
        }
        self.ready.set(i64::from(state.ready()));
        self.calls.set(state.calls.len() as i64);
        self.members.set(state.roster.iter().count() as i64);
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
