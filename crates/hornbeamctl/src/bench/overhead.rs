//! Overhead of one node: latency of plain calls against the same calls sent directly to the
//! stand-in in the same run, and processor time per plain call and per streamed token.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt as _};
use futures::future::join_all;
use hornbeamtiller_http::client::Client;
use hornbeamtiller_standin::deployment::Deployment;
use hornbeamtiller_standin::{engine, fixture};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;
use serde_json::json;

use super::control::{fetch_metrics, metric_value, PACKET_HEADER_BYTES};
use super::report::{self, micros, millis, quantile, Bounds};
use crate::caller::{self, Request};
use crate::cli::OverheadFlags;
use crate::error::{Error, Result};
use crate::fleet::Fleet;

/// Bound on the added median latency of a plain call, in microseconds.
const ADDED_MEDIAN_US_MAX: f64 = 500.0;
/// Bound on the owner's processor time per plain call, in microseconds.
const CALL_PROCESSOR_US_MAX: f64 = 150.0;
/// Bound on the owner's processor time per streamed token, in microseconds.
const TOKEN_PROCESSOR_US_MAX: f64 = 10.0;
/// Pairs of calls that are sent before the measurement starts.
const WARM_UP_PAIRS: u32 = 50;

#[derive(Serialize)]
struct Calls {
    kind: &'static str,
    seed: u64,
    pairs: u32,
    direct_median_us: f64,
    routed_median_us: f64,
    added_median_us: f64,
    ratio: f64,
    direct_p99_us: f64,
    routed_p99_us: f64,
    owner_processor_us: f64,
    witness_processor_us: f64,
    /// Sent by the owner and the witness together, including network headers and probes.
    peer_bytes_per_call: f64,
}

#[derive(Serialize)]
struct Tokens {
    kind: &'static str,
    seed: u64,
    tokens: u64,
    tokens_per_s: f64,
    processor_us_per_token: f64,
    peer_bytes_per_stream: f64,
    interval_p50_ms: f64,
    interval_p99_ms: f64,
    chunks_per_token: f64,
}

/// Runs the benchmark.
///
/// # Errors
///
/// [`Error::Bound`] if a bound is violated, or the error of a component that failed to start or to
/// respond.
pub fn run(flags: &OverheadFlags) -> Result<()> {
    let mut bounds = Bounds::default();
    for seed in flags.seeds.range() {
        run_seed(flags, seed, &mut bounds)?;
    }
    bounds.into_result()
}

fn run_seed(flags: &OverheadFlags, seed: u64, bounds: &mut Bounds) -> Result<()> {
    let standins = fixture::Settings {
        deployment: Deployment::Myto,
        listen: SocketAddr::from(([127, 0, 1, 1], 0)),
        service_time: Duration::ZERO,
        relays: 0,
        configure_engine,
    };
    let fleet = Fleet::start(2, standins)?;
    let outcome = crate::block_on(measure(&fleet, flags, seed, bounds));
    fleet.stop();
    outcome
}

/// Shortens the engine's steps, so that the node and not the stand-in limits the throughput.
fn configure_engine(settings: &mut engine::Settings) {
    settings.interval_base = Duration::from_millis(4);
    settings.interval_per_stream = Duration::ZERO;
    settings.prefill_base = Duration::from_millis(1);
}

async fn measure(
    fleet: &Fleet,
    flags: &OverheadFlags,
    seed: u64,
    bounds: &mut Bounds,
) -> Result<()> {
    let client = Client::new(Default::default());
    fleet.register_and_wait(&client).await?;
    for (kind, repeatable) in [("read", true), ("once", false)] {
        let calls =
            measure_plain_calls(fleet, &client, flags.calls, seed, kind, repeatable).await?;
        bounds.check_at_most(
            &format!("{kind}: added median, us"),
            calls.added_median_us,
            ADDED_MEDIAN_US_MAX,
        );
        bounds.check_at_most(
            &format!("{kind}: processor time per call, us"),
            calls.owner_processor_us,
            CALL_PROCESSOR_US_MAX,
        );
        report::print(flags.seeds.json, &calls);
    }
    let tokens = measure_streamed_tokens(fleet, &client, flags, seed).await?;
    bounds.check_at_most(
        "processor time per token, us",
        tokens.processor_us_per_token,
        TOKEN_PROCESSOR_US_MAX,
    );
    report::print(flags.seeds.json, &tokens);
    Ok(())
}

async fn measure_plain_calls(
    fleet: &Fleet,
    client: &Client,
    pairs: u32,
    seed: u64,
    kind: &'static str,
    repeatable: bool,
) -> Result<Calls> {
    report::print_progress(&format!("seed {seed}: {pairs} pairs of {kind} calls"));
    let (owner, witness) = (&fleet.members[0], &fleet.members[1]);
    let runners: Vec<SocketAddr> = fleet
        .standins
        .runners
        .iter()
        .filter(|(name, _)| name.starts_with("app-"))
        .map(|(_, address)| *address)
        .collect();
    let (repeatable_path, non_repeatable_path) = fleet.deployment.service_paths();
    let (method, path) = if repeatable {
        (Method::GET, repeatable_path)
    } else {
        (Method::POST, non_repeatable_path)
    };
    let token = fetch_token(client, owner.caller, owner.vm).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut direct_latencies, mut routed_latencies) = (Vec::new(), Vec::new());
    let mut processor_before = (owner.cpu_clock.read(), witness.cpu_clock.read());
    let mut bytes_before = fetch_peer_bytes(fleet, client).await;
    for number in 0..pairs + WARM_UP_PAIRS {
        if number == WARM_UP_PAIRS {
            direct_latencies.clear();
            routed_latencies.clear();
            processor_before = (owner.cpu_clock.read(), witness.cpu_clock.read());
            bytes_before = fetch_peer_bytes(fleet, client).await;
        }
        let direct_request = Request::new(method.clone(), path).body("{}");
        let routed_request = Request::new(
            method.clone(),
            &format!("/v1/services/{}{path}", fleet.deployment.service()),
        )
        .header(
            "idempotency-key",
            &format!("{token}.{kind}-{seed}-{number}"),
        )
        .body("{}");
        // The direct request opens a new connection if the node does, so that both pay for it.
        let direct_request = if repeatable {
            direct_request
        } else {
            direct_request.on_new_connection()
        };
        let runner = runners[rng.random_range(0..runners.len())];
        let direct_first = rng.random::<bool>();
        for is_direct in [direct_first, !direct_first] {
            let (address, request, latencies) = if is_direct {
                (runner, &direct_request, &mut direct_latencies)
            } else {
                (owner.caller, &routed_request, &mut routed_latencies)
            };
            let response = caller::send(client, address, request)
                .await
                .change_context(Error::Unreachable(address))?;
            if !response.head.status.is_success() {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                return Err(Report::new(Error::Unexpected(text)));
            }
            latencies.push(response.elapsed);
        }
    }
    let processor_after = (owner.cpu_clock.read(), witness.cpu_clock.read());
    let peer_bytes = fetch_peer_bytes(fleet, client).await - bytes_before;
    direct_latencies.sort();
    routed_latencies.sort();
    let (direct_median, routed_median) = (
        quantile(&direct_latencies, 0.5),
        quantile(&routed_latencies, 0.5),
    );
    Ok(Calls {
        kind,
        seed,
        pairs,
        direct_median_us: micros(direct_median),
        routed_median_us: micros(routed_median),
        added_median_us: micros(routed_median) - micros(direct_median),
        ratio: routed_median.as_secs_f64() / direct_median.as_secs_f64(),
        direct_p99_us: micros(quantile(&direct_latencies, 0.99)),
        routed_p99_us: micros(quantile(&routed_latencies, 0.99)),
        owner_processor_us: micros(processor_after.0 - processor_before.0) / f64::from(pairs),
        witness_processor_us: micros(processor_after.1 - processor_before.1) / f64::from(pairs),
        peer_bytes_per_call: peer_bytes / f64::from(pairs),
    })
}

/// Returns the bytes that all nodes have sent to peers so far, including network headers.
async fn fetch_peer_bytes(fleet: &Fleet, client: &Client) -> f64 {
    let mut total = 0.0;
    for member in &fleet.members {
        let text = fetch_metrics(client, member.operator).await;
        total += metric_value(&text, "hornbeamtiller_peer_bytes_total") as f64;
        total +=
            PACKET_HEADER_BYTES * metric_value(&text, "hornbeamtiller_peer_writes_total") as f64;
    }
    total
}

async fn fetch_token(client: &Client, address: SocketAddr, vm: u32) -> Result<String> {
    let entries = caller::fetch_entries(client, address).await?;
    let entry = entries.entries.into_iter().find(|entry| entry.vm == vm);
    entry
        .map(|entry| entry.token)
        .ok_or_else(|| Report::new(Error::Unexpected("no entry for this VM".to_owned())))
}

async fn measure_streamed_tokens(
    fleet: &Fleet,
    client: &Client,
    flags: &OverheadFlags,
    seed: u64,
) -> Result<Tokens> {
    report::print_progress(&format!(
        "seed {seed}: {} streams of {} tokens",
        flags.streams, flags.tokens
    ));
    let owner = &fleet.members[0];
    let body = json!({
        "model": fleet.deployment.model(), "prompt": "a short prompt", "max_tokens": flags.tokens, "stream": true,
    });
    let request = Request::post("/v1/completions", &body);
    let bytes_before = fetch_peer_bytes(fleet, client).await;
    let processor_before = owner.cpu_clock.read();
    let started = Instant::now();
    let streams =
        (0..flags.streams).map(|_| caller::stream(client, owner.caller, &request, usize::MAX));
    let results = join_all(streams).await;
    let elapsed = started.elapsed();
    let processor_time = owner.cpu_clock.read() - processor_before;
    let peer_bytes = fetch_peer_bytes(fleet, client).await - bytes_before;
    let mut intervals = Vec::new();
    let mut tokens = 0;
    for streamed in results {
        let streamed = streamed.change_context(Error::Unreachable(owner.caller))?;
        if !streamed.is_complete() {
            let refusal = streamed.refusal.unwrap_or_default();
            return Err(Report::new(Error::Unexpected(format!(
                "incomplete stream: {refusal}"
            ))));
        }
        tokens += streamed.positions.len() as u64;
        intervals.extend(streamed.intervals);
    }
    intervals.sort();
    // Tokens that arrive within 50 µs of each other are counted as one chunk.
    let coalesced = intervals
        .iter()
        .filter(|interval| **interval < Duration::from_micros(50))
        .count();
    Ok(Tokens {
        kind: "tokens",
        seed,
        tokens,
        tokens_per_s: tokens as f64 / elapsed.as_secs_f64(),
        processor_us_per_token: micros(processor_time) / tokens as f64,
        peer_bytes_per_stream: peer_bytes / f64::from(flags.streams),
        interval_p50_ms: millis(quantile(&intervals, 0.5)),
        interval_p99_ms: millis(quantile(&intervals, 0.99)),
        chunks_per_token: 1.0 - coalesced as f64 / tokens as f64,
    })
}
