//! What a node spends on control at several sizes of the fleet, and the slopes over the size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hornbeamtiller_http::client::Client;
use serde::Serialize;
use serde_json::json;

use super::report;
use crate::caller::{self, Ask};
use crate::cli::ControlFlags;
use crate::error::Result;
use crate::fleet::{myto, Fleet};

/// Size that the slopes are carried on to.
const TARGET_NODES: f64 = 400.0;
/// Bytes of IP and TCP headers of a packet, and of its acknowledgement.
pub const HEADER_BYTES: f64 = 2.0 * 52.0;
/// Interval at which nodes are asked for their ticket.
const POLL: Duration = Duration::from_millis(10);
/// Tickets published to take the time until they are in force.
const TICKETS: u64 = 5;

/// Figures at one size.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
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

/// Figures over the size.
#[derive(Serialize)]
struct Slope {
    bench: &'static str,
    figure: &'static str,
    at_smallest: f64,
    per_node: f64,
    at_400: f64,
}

/// Runs the measurement.
///
/// # Errors
///
/// Failures to start.
pub fn run(flags: &ControlFlags) -> Result<()> {
    for seed in flags.seeds.range() {
        let mut all = Vec::new();
        for nodes in &flags.sizes {
            let figures = run_size(*nodes, flags, seed)?;
            report::print(flags.seeds.json, &figures);
            all.push(figures);
        }
        slopes(&all)
            .iter()
            .for_each(|slope| report::print(flags.seeds.json, slope));
    }
    Ok(())
}

fn run_size(nodes: u32, flags: &ControlFlags, seed: u64) -> Result<Figures> {
    report::progress(&format!("{nodes} nodes"));
    let before = resident_bytes();
    let fleet = Fleet::open(nodes, myto(0))?;
    let measured = crate::block_on(measure(&fleet, flags, seed, before));
    fleet.close();
    measured
}

/// What is read at the start and the end of the measured time.
struct Reading {
    at: Instant,
    processor: Duration,
    calls: u64,
    bytes: u64,
    writes: u64,
    service_calls: u64,
}

async fn measure(
    fleet: &Fleet,
    flags: &ControlFlags,
    seed: u64,
    resident_before: u64,
) -> Result<Figures> {
    let client = Client::new(Default::default());
    fleet.settle(&client).await?;
    monoio::time::sleep(Duration::from_millis(flags.warm_ms) * fleet.members.len() as u32).await;
    let first = read(fleet, &client).await?;
    monoio::time::sleep(Duration::from_secs(flags.seconds)).await;
    let last = read(fleet, &client).await?;
    let resident = resident_bytes().saturating_sub(resident_before);
    let time = (last.at - first.at).as_secs_f64();
    let nodes = fleet.members.len() as f64;
    let per_node_s = |value: u64| value as f64 / time / nodes;
    let payload = per_node_s(last.bytes - first.bytes);
    let mut slowest = Duration::ZERO;
    for _ in 0..TICKETS {
        slowest = slowest.max(time_ticket(fleet, &client).await?);
    }
    Ok(Figures {
        bench: "control",
        seed,
        nodes: fleet.members.len() as u32,
        control_cpu_percent: (last.processor - first.processor).as_secs_f64() / time / nodes
            * 100.0,
        control_bytes_per_node_s: payload + HEADER_BYTES * per_node_s(last.writes - first.writes),
        control_payload_bytes_per_node_s: payload,
        peer_calls_per_node_s: per_node_s(last.calls - first.calls),
        service_calls_per_s: (last.service_calls - first.service_calls) as f64 / time,
        control_rss_mb: resident as f64 / nodes / 1e6,
        ticket_p100_ms: report::millis(slowest),
    })
}

async fn read(fleet: &Fleet, client: &Client) -> Result<Reading> {
    let mut reading = Reading {
        at: Instant::now(),
        processor: Duration::ZERO,
        calls: 0,
        bytes: 0,
        writes: 0,
        service_calls: fleet.observed(client).await?.platform_calls,
    };
    for member in &fleet.members {
        let text = metrics(client, member.operator).await;
        reading.calls += value(&text, "hornbeamtiller_peer_calls_total");
        reading.bytes += value(&text, "hornbeamtiller_peer_bytes_total");
        reading.writes += value(&text, "hornbeamtiller_peer_writes_total");
    }
    reading.at = Instant::now();
    reading.processor = fleet
        .members
        .iter()
        .map(|member| member.processor.read())
        .sum();
    Ok(reading)
}

/// Reads a node's metrics; empty where it does not answer.
pub async fn metrics(client: &Client, operator: SocketAddr) -> String {
    let answer = caller::send(client, operator, &Ask::get("/metrics")).await;
    answer
        .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
        .unwrap_or_default()
}

/// Finds the value of a metric without labels; 0 where there is none.
pub fn value(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    line.and_then(|line| line.split(' ').nth(1))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Publishes a ticket and takes the time until it is in force at every node.
pub async fn time_ticket(fleet: &Fleet, client: &Client) -> Result<Duration> {
    let control = fleet.standins.control;
    let items = json!({ "items": { "organisation/bench": { "concurrent": 1_000 } } });
    let published: serde_json::Value =
        caller::json(client, control, Ask::post("/control/tickets", &items)).await?;
    let number = published["number"].as_u64().unwrap_or(0);
    let started = Instant::now();
    let mut waiting: Vec<SocketAddr> = fleet.operators();
    while !waiting.is_empty() && started.elapsed() < Duration::from_secs(30) {
        let mut still = Vec::new();
        for operator in waiting {
            if value(&metrics(client, operator).await, "hornbeamtiller_ticket") < number {
                still.push(operator);
            }
        }
        waiting = still;
        monoio::time::sleep(POLL).await;
    }
    Ok(started.elapsed())
}

/// Memory of this process that is in use.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * 4096
}

/// Least-squares lines over the size, carried on to the target.
fn slopes(all: &[Figures]) -> Vec<Slope> {
    type Figure = (&'static str, fn(&Figures) -> f64);
    let figures: [Figure; 6] = [
        ("control_cpu_percent", |figures| figures.control_cpu_percent),
        ("control_bytes_per_node_s", |figures| {
            figures.control_bytes_per_node_s
        }),
        ("peer_calls_per_node_s", |figures| {
            figures.peer_calls_per_node_s
        }),
        ("service_calls_per_s", |figures| figures.service_calls_per_s),
        ("control_rss_mb", |figures| figures.control_rss_mb),
        ("ticket_p100_ms", |figures| figures.ticket_p100_ms),
    ];
    figures
        .into_iter()
        .map(|(figure, read)| {
            let points: Vec<(f64, f64)> = all
                .iter()
                .map(|figures| (f64::from(figures.nodes), read(figures)))
                .collect();
            let per_node = slope(&points);
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

fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return 0.0;
    }
    points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum::<f64>()
        / spread
}
