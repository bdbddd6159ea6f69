//! What one node adds: latency and processor time of plain calls and of streamed tokens, paired
//! with the same straight to the stand-in in one run.

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

use super::control::{metrics, value, HEADER_BYTES};
use super::report::{self, micros, millis, quantile, Bounds};
use crate::caller::{self, Ask};
use crate::cli::OverheadFlags;
use crate::error::{Error, Result};
use crate::fleet::Fleet;

/// Bound on the added median latency of a plain call, in microseconds.
const ADDED_MEDIAN_MAX: f64 = 500.0;
/// Bound on a node's processor time per plain call, in microseconds.
const CALL_PROCESSOR_MAX: f64 = 150.0;
/// Bound on a node's processor time per streamed token, in microseconds.
const TOKEN_PROCESSOR_MAX: f64 = 10.0;
/// Calls before the first that counts.
const WARM_UP: u32 = 50;

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
    /// Sent by owner and witness together, with network headers; probes are in it.
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

/// Runs the measurement.
///
/// # Errors
///
/// [`Error::Bound`], and failures to start.
pub fn run(flags: &OverheadFlags) -> Result<()> {
    let mut bounds = Bounds::default();
    for seed in flags.seeds.range() {
        run_seed(flags, seed, &mut bounds)?;
    }
    bounds.close()
}

fn run_seed(flags: &OverheadFlags, seed: u64, bounds: &mut Bounds) -> Result<()> {
    let standins = fixture::Settings {
        deployment: Deployment::Myto,
        listen: SocketAddr::from(([127, 0, 1, 1], 0)),
        service_time: Duration::ZERO,
        relays: 0,
        configure_engine,
    };
    let fleet = Fleet::open(2, standins)?;
    let measured = crate::block_on(measure(&fleet, flags, seed, bounds));
    fleet.close();
    measured
}

/// Fast steps, so that the node and not the stand-in sets the pace.
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
    fleet.settle(&client).await?;
    for (kind, repeatable) in [("read", true), ("once", false)] {
        let calls = plain_calls(fleet, &client, flags.calls, seed, kind, repeatable).await?;
        bounds.at_most(
            &format!("{kind}: added median, us"),
            calls.added_median_us,
            ADDED_MEDIAN_MAX,
        );
        bounds.at_most(
            &format!("{kind}: processor of a call, us"),
            calls.owner_processor_us,
            CALL_PROCESSOR_MAX,
        );
        report::print(flags.seeds.json, &calls);
    }
    let tokens = streamed_tokens(fleet, &client, flags, seed).await?;
    bounds.at_most(
        "processor of a token, us",
        tokens.processor_us_per_token,
        TOKEN_PROCESSOR_MAX,
    );
    report::print(flags.seeds.json, &tokens);
    Ok(())
}

async fn plain_calls(
    fleet: &Fleet,
    client: &Client,
    pairs: u32,
    seed: u64,
    kind: &'static str,
    repeatable: bool,
) -> Result<Calls> {
    report::progress(&format!("seed {seed}: {pairs} pairs of {kind} calls"));
    let (owner, witness) = (&fleet.members[0], &fleet.members[1]);
    let runners: Vec<SocketAddr> = fleet
        .standins
        .runners
        .iter()
        .filter(|(name, _)| name.starts_with("app-"))
        .map(|(_, at)| *at)
        .collect();
    let (read, once) = fleet.deployment.service_paths();
    let (method, path) = if repeatable {
        (Method::GET, read)
    } else {
        (Method::POST, once)
    };
    let token = token_of(client, owner.caller, owner.vm).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut direct, mut routed) = (Vec::new(), Vec::new());
    let mut before = (owner.processor.read(), witness.processor.read());
    let mut bytes = peer_bytes(fleet, client).await;
    for number in 0..pairs + WARM_UP {
        if number == WARM_UP {
            direct.clear();
            routed.clear();
            before = (owner.processor.read(), witness.processor.read());
            bytes = peer_bytes(fleet, client).await;
        }
        let straight = Ask::new(method.clone(), path).body("{}");
        let through = Ask::new(
            method.clone(),
            &format!("/v1/services/{}{path}", fleet.deployment.service()),
        )
        .header(
            "idempotency-key",
            &format!("{token}.{kind}-{seed}-{number}"),
        )
        .body("{}");
        // The straight call is fresh where the node's is, so that both pay for a connection.
        let straight = if repeatable {
            straight
        } else {
            straight.fresh()
        };
        let runner = runners[rng.random_range(0..runners.len())];
        let direct_first = rng.random::<bool>();
        for turn in [direct_first, !direct_first] {
            let (address, ask, times) = if turn {
                (runner, &straight, &mut direct)
            } else {
                (owner.caller, &through, &mut routed)
            };
            let answer = caller::send(client, address, ask)
                .await
                .change_context(Error::Unreachable(address))?;
            if !answer.head.status.is_success() {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                return Err(Report::new(Error::Unexpected(text)));
            }
            times.push(answer.took);
        }
    }
    let after = (owner.processor.read(), witness.processor.read());
    let bytes = peer_bytes(fleet, client).await - bytes;
    direct.sort();
    routed.sort();
    let (direct_median, routed_median) = (quantile(&direct, 0.5), quantile(&routed, 0.5));
    Ok(Calls {
        kind,
        seed,
        pairs,
        direct_median_us: micros(direct_median),
        routed_median_us: micros(routed_median),
        added_median_us: micros(routed_median) - micros(direct_median),
        ratio: routed_median.as_secs_f64() / direct_median.as_secs_f64(),
        direct_p99_us: micros(quantile(&direct, 0.99)),
        routed_p99_us: micros(quantile(&routed, 0.99)),
        owner_processor_us: micros(after.0 - before.0) / f64::from(pairs),
        witness_processor_us: micros(after.1 - before.1) / f64::from(pairs),
        peer_bytes_per_call: bytes / f64::from(pairs),
    })
}

/// What all nodes have sent to peers, with network headers.
async fn peer_bytes(fleet: &Fleet, client: &Client) -> f64 {
    let mut all = 0.0;
    for member in &fleet.members {
        let text = metrics(client, member.operator).await;
        all += value(&text, "hornbeamtiller_peer_bytes_total") as f64;
        all += HEADER_BYTES * value(&text, "hornbeamtiller_peer_writes_total") as f64;
    }
    all
}

async fn token_of(client: &Client, address: SocketAddr, vm: u32) -> Result<String> {
    let entries = caller::entries(client, address).await?;
    let entry = entries.entries.into_iter().find(|entry| entry.vm == vm);
    entry
        .map(|entry| entry.token)
        .ok_or_else(|| Report::new(Error::Unexpected("no token".to_owned())))
}

async fn streamed_tokens(
    fleet: &Fleet,
    client: &Client,
    flags: &OverheadFlags,
    seed: u64,
) -> Result<Tokens> {
    report::progress(&format!(
        "seed {seed}: {} streams of {} tokens",
        flags.streams, flags.tokens
    ));
    let owner = &fleet.members[0];
    let body = json!({
        "model": fleet.deployment.model(), "prompt": "a short prompt", "max_tokens": flags.tokens, "stream": true,
    });
    let ask = Ask::post("/v1/completions", &body);
    let bytes = peer_bytes(fleet, client).await;
    let before = owner.processor.read();
    let started = Instant::now();
    let all = (0..flags.streams).map(|_| caller::stream(client, owner.caller, &ask, usize::MAX));
    let all = join_all(all).await;
    let took = started.elapsed();
    let spent = owner.processor.read() - before;
    let bytes = peer_bytes(fleet, client).await - bytes;
    let mut intervals = Vec::new();
    let mut tokens = 0;
    for streamed in all {
        let streamed = streamed.change_context(Error::Unreachable(owner.caller))?;
        if !streamed.is_whole() {
            let refusal = streamed.refusal.unwrap_or_default();
            return Err(Report::new(Error::Unexpected(format!(
                "a stream is not whole {refusal}"
            ))));
        }
        tokens += streamed.positions.len() as u64;
        intervals.extend(streamed.intervals);
    }
    intervals.sort();
    let late = intervals
        .iter()
        .filter(|interval| **interval < Duration::from_micros(50))
        .count();
    Ok(Tokens {
        kind: "tokens",
        seed,
        tokens,
        tokens_per_s: tokens as f64 / took.as_secs_f64(),
        processor_us_per_token: micros(spent) / tokens as f64,
        peer_bytes_per_stream: bytes / f64::from(flags.streams),
        interval_p50_ms: millis(quantile(&intervals, 0.5)),
        interval_p99_ms: millis(quantile(&intervals, 0.99)),
        chunks_per_token: 1.0 - late as f64 / tokens as f64,
    })
}
