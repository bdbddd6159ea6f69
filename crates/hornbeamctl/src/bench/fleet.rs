//! Changes to a fleet under load, one after the other: a runner leaves, tickets are published, the
//! configuration service is stale, down and slow, and all nodes are replaced in turn.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::Report;
use hornbeamtiller_core::ticket::Ticket;
use hornbeamtiller_http::client::Client;
use hornbeamtiller_standin::observed::Observed;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;
use serde_json::{json, Value};

use super::once::caller::Caller;
use super::once::tally::Tally;
use super::report::{self, Bounds};
use crate::caller::{self, Request};
use crate::cli::{FaultKind, FleetFlags};
use crate::error::{Error, Result};
use crate::fleet::{myto_settings, run_with_fleet, send_control_requests, Fleet, OPERATOR_TOKEN};

/// Bound on the time until a ticket is in force at every ready node, in milliseconds.
const TICKET_LATENCY_MS_MAX: f64 = 3_000.0;
/// Time after which a leaving runner must get no new work, and for which it is then watched.
const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Longest wait for a ticket to be in force, for a node to leave, and for the last requests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct Summary {
    bench: &'static str,
    seed: u64,
    nodes: u32,
    seconds: f64,
    requests: u64,
    answered: u64,
    cut_requests: u64,
    duplicates: u64,
    ticket_p100_ms: f64,
    ticket_reverts: u64,
    work_after_leaving: u64,
    service_calls_per_s: f64,
    /// Outcomes of the callers' requests.
    words: Value,
}

/// Runs the benchmark.
///
/// # Errors
///
/// [`crate::error::Error::Bound`] if a bound is violated, or the error of a component that failed
/// to start or to respond.
pub fn run(flags: &FleetFlags) -> Result<()> {
    let mut bounds = Bounds::default();
    for seed in flags.seeds.range() {
        let summary = run_seed(flags, seed)?;
        report::print(flags.seeds.json, &summary);
        bounds.check_at_most("cut_requests", summary.cut_requests as f64, 0.0);
        bounds.check_at_most("duplicates", summary.duplicates as f64, 0.0);
        bounds.check_at_most("ticket_reverts", summary.ticket_reverts as f64, 0.0);
        bounds.check_at_most("work_after_leaving", summary.work_after_leaving as f64, 0.0);
        bounds.check_at_most(
            "ticket_p100_ms",
            summary.ticket_p100_ms,
            TICKET_LATENCY_MS_MAX,
        );
    }
    bounds.into_result()
}

fn run_seed(flags: &FleetFlags, seed: u64) -> Result<Summary> {
    run_with_fleet(flags.nodes, myto_settings(flags.nodes), |fleet| {
        measure(fleet, flags, seed)
    })
}

/// State that the tasks of one run share.
struct Run {
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    control: SocketAddr,
    ticket_latencies: RefCell<Vec<Duration>>,
    ticket_reverts: RefCell<u64>,
}

async fn measure(fleet: Rc<RefCell<Fleet>>, flags: &FleetFlags, seed: u64) -> Result<Summary> {
    let client = Client::new(Default::default());
    super::once::register_and_wait(&fleet, &client).await?;
    let control = fleet.borrow().standins.control;
    let run = Rc::new(Run {
        fleet,
        client,
        control,
        ticket_latencies: RefCell::default(),
        ticket_reverts: RefCell::default(),
    });
    let tally = Rc::new(RefCell::new(Tally::default()));
    let is_done = Rc::new(RefCell::new(false));
    let load = monoio::spawn(send_load(
        run.clone(),
        tally.clone(),
        is_done.clone(),
        flags.rate,
        seed,
    ));
    let ticket_watch = monoio::spawn(count_ticket_reverts(run.clone(), is_done.clone()));
    let started = Instant::now();
    let calls_before = run.observed().await?.platform_calls;
    let work_after_leaving = measure_leaving_runner(&run).await?;
    publish_during_outages(&run).await?;
    replace_nodes(&run).await?;
    *is_done.borrow_mut() = true;
    load.await;
    ticket_watch.await;
    let seconds = started.elapsed().as_secs_f64();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while tally.borrow().in_flight() > 0 && Instant::now() < deadline {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let observed = run.observed().await?;
    let words = serde_json::to_value(tally.borrow().summarize(seed, FaultKind::None, &observed))
        .unwrap_or_default();
    let count = |name: &str| words[name].as_u64().unwrap_or(0);
    let max_latency = run
        .ticket_latencies
        .borrow()
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let ticket_reverts = *run.ticket_reverts.borrow();
    Ok(Summary {
        bench: "fleet",
        seed,
        nodes: flags.nodes,
        seconds,
        requests: count("requests"),
        answered: count("answered"),
        // VMs and runners leave gracefully in this benchmark and none of them fails, so each of
        // these is a fault of the fleet.
        cut_requests: count("lost")
            + count("unknown")
            + count("mixed_answers")
            + count("double_answers"),
        duplicates: count("duplicates"),
        ticket_p100_ms: report::millis(max_latency),
        ticket_reverts,
        work_after_leaving,
        service_calls_per_s: (observed.platform_calls - calls_before) as f64 / seconds,
        words,
    })
}

async fn send_load(
    run: Rc<Run>,
    tally: Rc<RefCell<Tally>>,
    is_done: Rc<RefCell<bool>>,
    rate: u32,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut number = 0;
    while !*is_done.borrow() {
        let seed = rng.random();
        let caller = Caller::new(
            run.fleet.clone(),
            run.client.clone(),
            tally.clone(),
            number,
            seed,
        );
        tally.borrow_mut().record_start();
        monoio::spawn(caller.run());
        number += 1;
        let interval = -f64::ln(1.0 - rng.random::<f64>()) / f64::from(rate);
        monoio::time::sleep(Duration::from_secs_f64(interval)).await;
    }
}

/// Counts how often an incarnation reports an older ticket than before.
async fn count_ticket_reverts(run: Rc<Run>, is_done: Rc<RefCell<bool>>) {
    let mut seen = std::collections::BTreeMap::new();
    while !*is_done.borrow() {
        for (incarnation, ticket) in run.tickets_in_force().await {
            let previous = seen.insert(incarnation, ticket).unwrap_or(0);
            if ticket < previous {
                *run.ticket_reverts.borrow_mut() += 1;
            }
        }
        monoio::time::sleep(10 * POLL_INTERVAL).await;
    }
}

impl Run {
    async fn observed(&self) -> Result<Observed> {
        caller::send_for_json(&self.client, self.control, Request::get("/observed")).await
    }

    /// Returns the incarnation and the ticket in force of each node that responds and is ready.
    async fn tickets_in_force(&self) -> Vec<(String, u64)> {
        let operators = self.fleet.borrow().operators();
        let mut tickets = Vec::new();
        for operator in operators {
            let response = caller::send_for_json::<Value>(
                &self.client,
                operator,
                Request::get("/admin/v1/status"),
            )
            .await;
            if let Ok(status) = response {
                let incarnation = status["incarnation"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned();
                let is_ready = status["not_ready"].is_null();
                tickets.extend(
                    status["ticket"]
                        .as_u64()
                        .filter(|_| is_ready)
                        .map(|ticket| (incarnation, ticket)),
                );
            }
        }
        tickets
    }

    /// Publishes a ticket and records the time until it is in force at every ready node.
    async fn publish(&self, items: Value) -> Result<()> {
        let number = self.publish_only(items).await?;
        self.await_in_force(number).await
    }

    /// Publishes a ticket and returns its number.
    async fn publish_only(&self, items: Value) -> Result<u64> {
        let request = Request::post("/control/tickets", &json!({ "items": items }));
        let published: Value = caller::send_for_json(&self.client, self.control, request).await?;
        let number = published["number"].as_u64();
        number.ok_or_else(|| Report::new(Error::Unexpected("the ticket got no number".into())))
    }

    /// Records the time until a ticket is in force at every ready node, of which there must be one.
    ///
    /// # Errors
    ///
    /// [`Error::Bound`] if that takes longer than [`WAIT_TIMEOUT`].
    async fn await_in_force(&self, number: u64) -> Result<()> {
        let started = Instant::now();
        loop {
            let tickets = self.tickets_in_force().await;
            if !tickets.is_empty() && tickets.iter().all(|(_, ticket)| *ticket >= number) {
                break;
            }
            if started.elapsed() > WAIT_TIMEOUT {
                let late = format!("ticket {number} is not in force after {WAIT_TIMEOUT:?}");
                return Err(Report::new(Error::Bound(late)));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        self.ticket_latencies.borrow_mut().push(started.elapsed());
        Ok(())
    }

    async fn set_platform_fault(&self, fault: Value) -> Result<()> {
        send_control_requests(
            &self.client,
            self.control,
            vec![Request::post("/control/platform", &fault)],
        )
        .await
    }
}

/// Publishes that a decode runner is leaving, and counts the requests that it receives after
/// [`LEAVING_GRACE_PERIOD`].
async fn measure_leaving_runner(run: &Run) -> Result<u64> {
    let leaving_id = "decode-1";
    let mut items = fetch_first_items(run).await?;
    let endpoint = run.fleet.borrow().deployment.model();
    let name = format!("endpoint/{endpoint}");
    if let Some(runners) = items[&name]["runners"].as_array_mut() {
        for runner in runners
            .iter_mut()
            .filter(|runner| runner["id"] == leaving_id)
        {
            runner["leaving"] = true.into();
        }
    }
    run.publish(json!({ name.clone(): items[&name] })).await?;
    monoio::time::sleep(LEAVING_GRACE_PERIOD).await;
    let requests = |observed: &Observed| {
        let found = observed
            .runners
            .iter()
            .find(|runner| runner.id == leaving_id);
        found.map_or(0, |runner| runner.requests)
    };
    let requests_before = requests(&run.observed().await?);
    monoio::time::sleep(LEAVING_GRACE_PERIOD).await;
    Ok(requests(&run.observed().await?) - requests_before)
}

async fn fetch_first_items(run: &Run) -> Result<Value> {
    let platform = run.fleet.borrow().standins.platform;
    let response: Value =
        caller::send_for_json(&run.client, platform, Request::get("/v1/tickets?after=0")).await?;
    let first = response["tickets"][0].clone();
    debug_assert!(Ticket::check(first.clone()).is_ok());
    Ok(first["items"].clone())
}

/// Publishes tickets, then makes the platform stale, down and slow in turn, and publishes another
/// in each state. Those that nobody can read at first must be in force soon after the next state has
/// begun, which begins sound.
async fn publish_during_outages(run: &Run) -> Result<()> {
    for limit in 0..5 {
        run.publish(ticket_items(100 + limit)).await?;
    }
    for fault in [json!({ "stale_at": 2 }), json!({ "down": true })] {
        run.set_platform_fault(fault).await?;
        monoio::time::sleep(Duration::from_secs(1)).await;
        let number = run.publish_only(ticket_items(150)).await?;
        monoio::time::sleep(Duration::from_secs(1)).await;
        run.set_platform_fault(json!({})).await?;
        run.await_in_force(number).await?;
    }
    run.set_platform_fault(json!({ "slow_ms": 300 })).await?;
    run.publish(ticket_items(200)).await?;
    run.set_platform_fault(json!({})).await
}

/// A ticket that sets the limit of an organisation.
fn ticket_items(limit: u32) -> Value {
    json!({ "organisation/bench": { "concurrent": limit } })
}

/// Drains and replaces all nodes, one after the other.
async fn replace_nodes(run: &Run) -> Result<()> {
    let count = run.fleet.borrow().members.len();
    for index in 0..count {
        report::print_progress(&format!("replacing {} of {count}", index + 1));
        let operator = run.fleet.borrow().members[index].operator;
        let drain = Request::new(http::Method::POST, "/admin/v1/drain")
            .header("authorization", &format!("Bearer {OPERATOR_TOKEN}"));
        caller::send_for_json::<Value>(&run.client, operator, drain).await?;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !run.fleet.borrow().members[index].has_ended() && Instant::now() < deadline {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        run.fleet.borrow_mut().restart_member(index)?;
        super::once::publish_addresses(&run.fleet, &run.client).await?;
    }
    Ok(())
}
