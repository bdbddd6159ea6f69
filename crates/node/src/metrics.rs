//! Metrics in the Prometheus text format.

use std::time::Duration;

use hornbeamtiller_core::refusal::Refusal;
use hornbeamtiller_core::state::State;
use prometheus::{
    Encoder as _, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::driver::CallRecord;
use crate::peer::Links;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.69, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];
/// Upper bounds of buckets for the time between tokens, in seconds.
const INTERVAL_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.027, 0.035, 0.05, 0.1, 0.5, 2.0,
];

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    first_token: Histogram,
    token_interval: Histogram,
    service_call: Histogram,
    refusals: IntCounterVec,
    counters: Vec<(ReadCounter, IntCounter)>,
    ready: IntGauge,
    active_requests: IntGauge,
    members: IntGauge,
    ticket: IntGauge,
    answer_bytes: IntGauge,
    witness_records: IntGauge,
    pending_cancels: IntGauge,
    cpu_seconds: Gauge,
}

/// Reads one counter from the reducer's state or the peer links.
type ReadCounter = fn(&State, &Links) -> u64;

/// Name, help text and source of each unlabelled counter.
const COUNTERS: [(&str, &str, ReadCounter); 18] = [
    (
        "peer_bytes_total",
        "Bytes sent to peers, without network headers.",
        |_, links| links.sent().get().0,
    ),
    ("peer_writes_total", "Writes to peers.", |_, links| {
        links.sent().get().1
    }),
    (
        "recovered_total",
        "Requests taken over from a failed owner.",
        |state, _| state.counters.recovered,
    ),
    ("accepted_total", "Requests accepted.", |state, _| {
        state.counters.accepted
    }),
    (
        "answered_total",
        "Requests answered in full.",
        |state, _| state.counters.answered,
    ),
    (
        "repeated_total",
        "Requests that repeat an id.",
        |state, _| state.counters.repeated,
    ),
    (
        "forwarded_total",
        "Requests forwarded to their owner.",
        |state, _| state.counters.forwarded,
    ),
    ("dispatched_total", "Attempts started.", |state, _| {
        state.counters.dispatched
    }),
    ("retried_total", "Attempts after the first.", |state, _| {
        state.counters.retried
    }),
    ("prefills_total", "Prefills started.", |state, _| {
        state.counters.prefills
    }),
    (
        "prefill_tokens_wasted_total",
        "Tokens of prefills whose result was not used.",
        |state, _| state.counters.prefill_tokens_wasted,
    ),
    ("tokens_total", "Tokens relayed to callers.", |state, _| {
        state.counters.tokens
    }),
    (
        "cancels_total",
        "Cancellations sent to engines.",
        |state, _| state.counters.cancels,
    ),
    ("tickets_refused_total", "Tickets refused.", |state, _| {
        state.counters.tickets_refused
    }),
    (
        "woke_late_total",
        "Pauses of the process, detected by a late tick.",
        |state, _| state.counters.woke_late,
    ),
    ("peer_calls_total", "Calls made to peers.", |_, links| {
        links.stats().calls
    }),
    (
        "peer_messages_total",
        "Messages sent to peers.",
        |_, links| links.stats().messages,
    ),
    (
        "peer_messages_dropped_total",
        "Messages to peers dropped before they were sent.",
        |_, links| links.stats().dropped,
    ),
];

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// The library's error if a metric's name is invalid or registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("hornbeamtiller".to_owned()), None)?;
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let histogram =
                Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let refusals = IntCounterVec::new(
            Opts::new("refused_total", "Requests refused."),
            &["code", "reason", "stage"],
        )?;
        registry.register(Box::new(refusals.clone()))?;
        let cpu_seconds = Gauge::new("process_cpu_seconds", "CPU time used by the process.")?;
        registry.register(Box::new(cpu_seconds.clone()))?;
        let mut counters = Vec::new();
        for (name, help, read) in COUNTERS {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            counters.push((read, counter));
        }
        Ok(Self {
            first_token: histogram(
                "first_token_seconds",
                "Time from acceptance of a request to its first token.",
                &LATENCY_BUCKETS_SECONDS,
            )?,
            token_interval: histogram(
                "token_interval_seconds",
                "Time between tokens.",
                &INTERVAL_BUCKETS_SECONDS,
            )?,
            service_call: histogram(
                "plain_seconds",
                "Duration of calls to plain services.",
                &LATENCY_BUCKETS_SECONDS,
            )?,
            ready: gauge("ready", "Whether this process accepts callers.")?,
            active_requests: gauge("requests_active", "Requests in progress.")?,
            members: gauge("members", "Other VMs that are not considered down.")?,
            ticket: gauge(
                "ticket",
                "Number up to which all tickets are applied or skipped.",
            )?,
            answer_bytes: gauge("answer_bytes", "Bytes of kept answers.")?,
            witness_records: gauge("witness_records", "Records held as a witness.")?,
            pending_cancels: gauge("cancels_pending", "Cancellations not yet acknowledged.")?,
            registry,
            refusals,
            counters,
            cpu_seconds,
        })
    }

    /// Records the latency of a token. `record` must still hold the time of the previous token.
    pub fn observe_token(&self, record: &CallRecord, up: Duration) {
        let is_first = record.buffer.borrow().tokens().is_empty();
        if is_first {
            self.first_token
                .observe(up.saturating_sub(record.accepted_at).as_secs_f64());
        } else {
            self.token_interval
                .observe(up.saturating_sub(record.last_token_at).as_secs_f64());
        }
    }

    /// Records the duration of a call to a plain service.
    pub fn observe_service_call(&self, elapsed: Duration) {
        self.service_call.observe(elapsed.as_secs_f64());
    }

    /// Counts a refusal by the listener, of a request that did not reach the reducer.
    pub fn count_listener_refusal(&self, refusal: &Refusal) {
        self.refusals
            .with_label_values::<&str>(&[refusal.claim.into(), refusal.reason.into(), "door"])
            .inc();
    }

    /// Encodes the current values of all metrics.
    pub fn render(&self, state: &State, links: &Links, up: Duration) -> Vec<u8> {
        for (read, counter) in &self.counters {
            advance(counter, read(state, links));
        }
        for ((claim, reason), count) in &state.counters.refused {
            advance(
                &self.refusals.with_label_values(&[*claim, *reason, "call"]),
                *count,
            );
        }
        let reachable = state
            .members
            .iter()
            .filter(|member| member.is_reachable())
            .count();
        self.ready
            .set(i64::from(state.unready_reason(up).is_none()));
        self.active_requests.set(state.active.len() as i64);
        self.members.set(reachable as i64);
        self.ticket.set(state.table.newest() as i64);
        self.answer_bytes.set(state.answer_bytes as i64);
        self.witness_records.set(state.witness_records.len() as i64);
        self.pending_cancels.set(state.pending_cancels.len() as i64);
        self.cpu_seconds.set(cpu_time().as_secs_f64());
        let mut out = Vec::new();
        // Writing to a `Vec` can't fail.
        _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }
}

/// Advances a counter to a value.
fn advance(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}

/// CPU time used by the process so far.
fn cpu_time() -> Duration {
    let mut usage = std::mem::MaybeUninit::<libc::rusage>::zeroed();
    // SAFETY: `usage` is valid for a write of one `rusage`, and zeroed memory is a valid `rusage`.
    let usage = unsafe {
        libc::getrusage(libc::RUSAGE_SELF, usage.as_mut_ptr());
        usage.assume_init()
    };
    let time =
        |value: libc::timeval| Duration::new(value.tv_sec as u64, value.tv_usec as u32 * 1_000);
    time(usage.ru_utime) + time(usage.ru_stime)
}
