//! Cost of the control traffic per node at several fleet sizes, and its slope over the size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeamtiller_http::client::Client;
use serde::Serialize;
use serde_json::json;

use super::report;
use crate::caller::{self, Request};
use crate::cli::ControlFlags;
use crate::error::Result;
use crate::fleet::{myto_settings, Fleet};

/// Fleet size to which the fitted lines are extrapolated.
const TARGET_NODES: f64 = 400.0;
/// Bytes of the IP and TCP headers of one packet and of its acknowledgement.
pub const PACKET_HEADER_BYTES: f64 = 2.0 * 52.0;
/// Interval at which nodes are polled for the ticket in force.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of tickets whose propagation time is measured.
const TICKET_COUNT: u64 = 5;

/// Results at one fleet size.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    bench: &'static str,
    seed: u64,
    nodes: u32,
    control_cpu_percent: f64,
    control_bytes_per_node_s: f64,
    control_payload_bytes_per_node_s: f64,
    peer_calls_per_node_s: f64,
    service_calls_per_s: f64,
    control_rss_mb: f64,
    ticket_p100_ms: f64,
}

/// Least-squares fit of one result over the fleet size.
#[derive(Serialize)]
struct Slope {
    bench: &'static str,
    figure: &'static str,
    at_smallest: f64,
    per_node: f64,
    at_400: f64,
}

/// Runs the benchmark.
///
/// # Errors
///
/// The error of a component that failed to start or to respond.
pub fn run(flags: &ControlFlags) -> Result<()> {
    for seed in flags.seeds.range() {
        let mut summaries = Vec::new();
        for nodes in &flags.sizes {
            let summary = run_size(*nodes, flags, seed)?;
            report::print(flags.seeds.json, &summary);
            summaries.push(summary);
        }
        fit_slopes(&summaries)
            .iter()
            .for_each(|slope| report::print(flags.seeds.json, slope));
    }
    Ok(())
}

fn run_size(nodes: u32, flags: &ControlFlags, seed: u64) -> Result<Summary> {
    report::print_progress(&format!("{nodes} nodes"));
    let resident_before = resident_bytes();
    let fleet = Fleet::start(nodes, myto_settings(0))?;
    let outcome = crate::block_on(measure(&fleet, flags, seed, resident_before));
    fleet.stop();
    outcome
}

/// Counters and processor time of all nodes at one point in time.
struct Sample {
    at: Instant,
    processor_time: Duration,
    peer_calls: u64,
    peer_bytes: u64,
    peer_writes: u64,
    service_calls: u64,
}

async fn measure(
    fleet: &Fleet,
    flags: &ControlFlags,
    seed: u64,
    resident_before: u64,
) -> Result<Summary> {
    let client = Client::new(Default::default());
    fleet.register_and_wait(&client).await?;
    monoio::time::sleep(Duration::from_millis(flags.warm_ms) * fleet.members.len() as u32).await;
    let first = take_sample(fleet, &client).await?;
    monoio::time::sleep(Duration::from_secs(flags.seconds)).await;
    let last = take_sample(fleet, &client).await?;
    let resident = resident_bytes().saturating_sub(resident_before);
    let seconds = (last.at - first.at).as_secs_f64();
    let nodes = fleet.members.len() as f64;
    let per_node_s = |value: u64| value as f64 / seconds / nodes;
    let payload_bytes = per_node_s(last.peer_bytes - first.peer_bytes);
    let mut max_latency = Duration::ZERO;
    for _ in 0..TICKET_COUNT {
        max_latency = max_latency.max(measure_ticket_latency(fleet, &client).await?);
    }
    Ok(Summary {
        bench: "control",
        seed,
        nodes: fleet.members.len() as u32,
        control_cpu_percent: (last.processor_time - first.processor_time).as_secs_f64()
            / seconds
            / nodes
            * 100.0,
        control_bytes_per_node_s: payload_bytes
            + PACKET_HEADER_BYTES * per_node_s(last.peer_writes - first.peer_writes),
        control_payload_bytes_per_node_s: payload_bytes,
        peer_calls_per_node_s: per_node_s(last.peer_calls - first.peer_calls),
        service_calls_per_s: (last.service_calls - first.service_calls) as f64 / seconds,
        control_rss_mb: resident as f64 / nodes / 1e6,
        ticket_p100_ms: report::millis(max_latency),
    })
}

async fn take_sample(fleet: &Fleet, client: &Client) -> Result<Sample> {
    let mut sample = Sample {
        at: Instant::now(),
        processor_time: Duration::ZERO,
        peer_calls: 0,
        peer_bytes: 0,
        peer_writes: 0,
        service_calls: fleet.fetch_observed(client).await?.platform_calls,
    };
    for member in &fleet.members {
        let text = fetch_metrics(client, member.operator).await;
        sample.peer_calls += metric_value(&text, "hornbeamtiller_peer_calls_total");
        sample.peer_bytes += metric_value(&text, "hornbeamtiller_peer_bytes_total");
        sample.peer_writes += metric_value(&text, "hornbeamtiller_peer_writes_total");
    }
    sample.at = Instant::now();
    sample.processor_time = fleet
        .members
        .iter()
        .map(|member| member.cpu_clock.read())
        .sum();
    Ok(sample)
}

/// Fetches a node's metrics; returns an empty text if the node doesn't respond.
pub async fn fetch_metrics(client: &Client, operator: SocketAddr) -> String {
    let response = caller::send(client, operator, &Request::get("/metrics")).await;
    response
        .map(|response| String::from_utf8_lossy(&response.body).into_owned())
        .unwrap_or_default()
}

/// Returns the value of a metric without labels, or 0 if it is missing or not an integer.
pub fn metric_value(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    line.and_then(|line| line.split(' ').nth(1))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Publishes a ticket and measures the time until it is in force at every node, at most 30 seconds.
pub async fn measure_ticket_latency(fleet: &Fleet, client: &Client) -> Result<Duration> {
    let control = fleet.standins.control;
    let items = json!({ "items": { "organisation/bench": { "concurrent": 1_000 } } });
    let published: serde_json::Value =
        caller::send_for_json(client, control, Request::post("/control/tickets", &items)).await?;
    let number = published["number"].as_u64().unwrap_or(0);
    let started = Instant::now();
    let mut pending: Vec<SocketAddr> = fleet.operators();
    while !pending.is_empty() && started.elapsed() < Duration::from_secs(30) {
        let mut behind = Vec::new();
        for operator in pending {
            if metric_value(
                &fetch_metrics(client, operator).await,
                "hornbeamtiller_ticket",
            ) < number
            {
                behind.push(operator);
            }
        }
        pending = behind;
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * 4096
}

/// Fits each result over the fleet size and extrapolates it to [`TARGET_NODES`].
fn fit_slopes(summaries: &[Summary]) -> Vec<Slope> {
    type Field = (&'static str, fn(&Summary) -> f64);
    let fields: [Field; 6] = [
        ("control_cpu_percent", |summary| summary.control_cpu_percent),
        ("control_bytes_per_node_s", |summary| {
            summary.control_bytes_per_node_s
        }),
        ("peer_calls_per_node_s", |summary| {
            summary.peer_calls_per_node_s
        }),
        ("service_calls_per_s", |summary| summary.service_calls_per_s),
        ("control_rss_mb", |summary| summary.control_rss_mb),
        ("ticket_p100_ms", |summary| summary.ticket_p100_ms),
    ];
    fields
        .into_iter()
        .map(|(figure, get)| {
            let points: Vec<(f64, f64)> = summaries
                .iter()
                .map(|summary| (f64::from(summary.nodes), get(summary)))
                .collect();
            let per_node = least_squares_slope(&points);
            let count = points.len().max(1) as f64;
            let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
            let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
            Slope {
                bench: "control_slope",
                figure,
                at_smallest: points.first().map_or(0.0, |(_, y)| *y),
                per_node,
                at_400: mean_y + per_node * (TARGET_NODES - mean_x),
            }
        })
        .collect()
}

fn least_squares_slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if sum_of_squares == 0.0 {
        return 0.0;
    }
    points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>()
        / sum_of_squares
}
