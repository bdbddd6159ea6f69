//! Counts and distributions in the Prometheus text format.

use std::time::Duration;

use hornbeamtiller_core::refusal::Refusal;
use hornbeamtiller_core::state::State;
use prometheus::{
    Encoder as _, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::peer::Links;
use crate::shell::Kept;

/// Bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.69, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];
/// Bounds of buckets for the time between tokens, in seconds.
const INTERVAL_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.027, 0.035, 0.05, 0.1, 0.5, 2.0,
];

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    first_token: Histogram,
    token_interval: Histogram,
    plain: Histogram,
    refusals: IntCounterVec,
    counters: Vec<(Read, IntCounter)>,
    ready: IntGauge,
    active: IntGauge,
    members: IntGauge,
    ticket: IntGauge,
    answer_bytes: IntGauge,
    witnessed: IntGauge,
    cancels: IntGauge,
    processor: Gauge,
}

/// Reads one count from the reducer's state or the links.
type Read = fn(&State, &Links) -> u64;

/// Name, help text and source of each plain count.
const COUNTERS: [(&str, &str, Read); 18] = [
    (
        "peer_bytes_total",
        "Bytes sent to peers, without headers of the network.",
        |_, links| links.sent().get().0,
    ),
    ("peer_writes_total", "Writes to peers.", |_, links| {
        links.sent().get().1
    }),
    (
        "recovered_total",
        "Requests taken over from a dead owner.",
        |state, _| state.counters.recovered,
    ),
    ("accepted_total", "Requests accepted.", |state, _| {
        state.counters.accepted
    }),
    ("answered_total", "Requests answered whole.", |state, _| {
        state.counters.answered
    }),
    ("repeated_total", "Repeats of an id.", |state, _| {
        state.counters.repeated
    }),
    (
        "forwarded_total",
        "Requests passed on to their owner.",
        |state, _| state.counters.forwarded,
    ),
    ("dispatched_total", "Attempts begun.", |state, _| {
        state.counters.dispatched
    }),
    ("retried_total", "Attempts after the first.", |state, _| {
        state.counters.retried
    }),
    ("prefills_total", "Prefills begun.", |state, _| {
        state.counters.prefills
    }),
    (
        "prefill_tokens_wasted_total",
        "Tokens of prefills whose result was not used.",
        |state, _| state.counters.prefill_tokens_wasted,
    ),
    ("tokens_total", "Tokens passed on.", |state, _| {
        state.counters.tokens
    }),
    ("cancels_total", "Cancels sent to engines.", |state, _| {
        state.counters.cancels
    }),
    ("tickets_refused_total", "Tickets refused.", |state, _| {
        state.counters.tickets_refused
    }),
    ("woke_late_total", "Late wake-ups.", |state, _| {
        state.counters.woke_late
    }),
    ("peer_calls_total", "Calls to peers.", |_, links| {
        links.carried().calls
    }),
    ("peer_messages_total", "Messages to peers.", |_, links| {
        links.carried().messages
    }),
    (
        "peer_messages_dropped_total",
        "Messages to peers that were dropped.",
        |_, links| links.carried().dropped,
    ),
];

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// The library's error where two metrics have one name.
    pub fn open() -> prometheus::Result<Self> {
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
            Opts::new("refused_total", "Refusals."),
            &["code", "reason", "stage"],
        )?;
        registry.register(Box::new(refusals.clone()))?;
        let processor = Gauge::new("process_cpu_seconds", "Processor time of the process.")?;
        registry.register(Box::new(processor.clone()))?;
        let mut counters = Vec::new();
        for (name, help, read) in COUNTERS {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            counters.push((read, counter));
        }
        Ok(Self {
            first_token: histogram(
                "first_token_seconds",
                "Time from accept to first token.",
                &LATENCY_BUCKETS,
            )?,
            token_interval: histogram(
                "token_interval_seconds",
                "Time between tokens.",
                &INTERVAL_BUCKETS,
            )?,
            plain: histogram(
                "plain_seconds",
                "Time of calls to plain services.",
                &LATENCY_BUCKETS,
            )?,
            ready: gauge("ready", "Whether this process takes callers.")?,
            active: gauge("requests_active", "Requests in progress.")?,
            members: gauge("members", "Other VMs that answer.")?,
            ticket: gauge("ticket", "Highest ticket in force.")?,
            answer_bytes: gauge("answer_bytes", "Bytes of kept answers.")?,
            witnessed: gauge("witness_records", "Records held as witness.")?,
            cancels: gauge("cancels_pending", "Cancels not yet acknowledged.")?,
            registry,
            refusals,
            counters,
            processor,
        })
    }

    /// Counts the arrival of a token; `kept` still has the time of the one before.
    pub fn token(&self, kept: &Kept, up: Duration) {
        let is_first = kept.record.borrow().frames().is_empty();
        if is_first {
            self.first_token
                .observe(up.saturating_sub(kept.accepted).as_secs_f64());
        } else {
            self.token_interval
                .observe(up.saturating_sub(kept.latest).as_secs_f64());
        }
    }

    /// Counts a plain call's time.
    pub fn plain_answered(&self, took: Duration) {
        self.plain.observe(took.as_secs_f64());
    }

    /// Counts a refusal that never came to the reducer.
    pub fn refused_at_door(&self, refusal: &Refusal) {
        self.refusals
            .with_label_values::<&str>(&[refusal.code.into(), refusal.reason.into(), "door"])
            .inc();
    }

    /// Writes all metrics as they stand.
    pub fn render(&self, state: &State, links: &Links, up: Duration) -> Vec<u8> {
        for (read, counter) in &self.counters {
            raise(counter, read(state, links));
        }
        for ((code, reason), count) in &state.counters.refused {
            raise(
                &self.refusals.with_label_values(&[*code, *reason, "call"]),
                *count,
            );
        }
        let answering = state
            .members
            .iter()
            .filter(|member| member.is_reachable())
            .count();
        self.ready
            .set(i64::from(state.unready_reason(up).is_none()));
        self.active.set(state.active.len() as i64);
        self.members.set(answering as i64);
        self.ticket.set(state.table.newest() as i64);
        self.answer_bytes.set(state.answer_bytes as i64);
        self.witnessed.set(state.witness_records.len() as i64);
        self.cancels.set(state.pending_cancels.len() as i64);
        self.processor.set(processor_time().as_secs_f64());
        let mut out = Vec::new();
        // Encoding into a vector does not fail.
        _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }
}

/// Raises a counter to a value.
fn raise(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}

/// Processor time of the process so far.
fn processor_time() -> Duration {
    let mut usage = std::mem::MaybeUninit::<libc::rusage>::zeroed();
    // SAFETY: `usage` is valid for writes of one `rusage`, and zeroed memory is a valid one.
    let usage = unsafe {
        libc::getrusage(libc::RUSAGE_SELF, usage.as_mut_ptr());
        usage.assume_init()
    };
    let time =
        |value: libc::timeval| Duration::new(value.tv_sec as u64, value.tv_usec as u32 * 1_000);
    time(usage.ru_utime) + time(usage.ru_stime)
}
