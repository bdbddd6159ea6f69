//! A rolling replacement of all nodes under load, with tickets, a leaving runner, and a
//! configuration service that is stale and down.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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
use crate::caller::{self, Ask};
use crate::cli::{FaultKind, FleetFlags};
use crate::error::Result;
use crate::fleet::{myto, order, with_shared, Fleet, OPERATOR_TOKEN};

/// Bound on the time until a ticket is in force at every ready node.
const TICKET_MAX_MS: f64 = 3_000.0;
/// Time after which a leaving runner gets no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Longest wait for a node's leave, and for the last callers.
const PATIENCE: Duration = Duration::from_secs(60);
/// Interval at which things are looked at.
const POLL: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct Figures {
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
    words: Value,
}

/// Runs the measurement.
///
/// # Errors
///
/// [`crate::error::Error::Bound`] where a promise is broken, and failures to start.
pub fn run(flags: &FleetFlags) -> Result<()> {
    let mut bounds = Bounds::default();
    for seed in flags.seeds.range() {
        let figures = run_seed(flags, seed)?;
        report::print(flags.seeds.json, &figures);
        bounds.at_most("cut_requests", figures.cut_requests as f64, 0.0);
        bounds.at_most("duplicates", figures.duplicates as f64, 0.0);
        bounds.at_most("ticket_reverts", figures.ticket_reverts as f64, 0.0);
        bounds.at_most("work_after_leaving", figures.work_after_leaving as f64, 0.0);
        bounds.at_most("ticket_p100_ms", figures.ticket_p100_ms, TICKET_MAX_MS);
    }
    bounds.close()
}

fn run_seed(flags: &FleetFlags, seed: u64) -> Result<Figures> {
    with_shared(flags.nodes, myto(flags.nodes), |fleet| {
        measure(fleet, flags, seed)
    })
}

/// One run: what its parts share.
struct Run {
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    control: SocketAddr,
    tickets: RefCell<Vec<Duration>>,
    reverts: RefCell<u64>,
}

async fn measure(fleet: Rc<RefCell<Fleet>>, flags: &FleetFlags, seed: u64) -> Result<Figures> {
    let client = Client::new(Default::default());
    super::once::settle(&fleet, &client).await?;
    let control = fleet.borrow().standins.control;
    let run = Rc::new(Run {
        fleet,
        client,
        control,
        tickets: RefCell::default(),
        reverts: RefCell::default(),
    });
    let tally = Rc::new(RefCell::new(Tally::default()));
    let done = Rc::new(RefCell::new(false));
    let load = monoio::spawn(send_load(
        run.clone(),
        tally.clone(),
        done.clone(),
        flags.rate,
        seed,
    ));
    let watch = monoio::spawn(watch_tickets(run.clone(), done.clone()));
    let started = Instant::now();
    let calls = run.observed().await?.platform_calls;
    let work_after_leaving = leave_runner(&run).await?;
    troubled_tickets(&run).await?;
    roll(&run).await?;
    *done.borrow_mut() = true;
    load.await;
    watch.await;
    let seconds = started.elapsed().as_secs_f64();
    let patience = Instant::now() + PATIENCE;
    while tally.borrow().open() > 0 && Instant::now() < patience {
        monoio::time::sleep(POLL).await;
    }
    let observed = run.observed().await?;
    let words = serde_json::to_value(tally.borrow().figures(seed, FaultKind::None, &observed))
        .unwrap_or_default();
    let number = |name: &str| words[name].as_u64().unwrap_or(0);
    let slowest = run
        .tickets
        .borrow()
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let reverts = *run.reverts.borrow();
    Ok(Figures {
        bench: "fleet",
        seed,
        nodes: flags.nodes,
        seconds,
        requests: number("requests"),
        answered: number("answered"),
        // A caller that got no answer, or a wrong one, though nothing failed: only leaves were made.
        cut_requests: number("lost")
            + number("unknown")
            + number("mixed_answers")
            + number("double_answers"),
        duplicates: number("duplicates"),
        ticket_p100_ms: report::millis(slowest),
        ticket_reverts: reverts,
        work_after_leaving,
        service_calls_per_s: (observed.platform_calls - calls) as f64 / seconds,
        words,
    })
}

async fn send_load(
    run: Rc<Run>,
    tally: Rc<RefCell<Tally>>,
    done: Rc<RefCell<bool>>,
    rate: u32,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut number = 0;
    while !*done.borrow() {
        let seed = rng.random();
        let caller = Caller::new(
            run.fleet.clone(),
            run.client.clone(),
            tally.clone(),
            number,
            seed,
        );
        tally.borrow_mut().begun();
        monoio::spawn(caller.run());
        number += 1;
        let gap = -f64::ln(1.0 - rng.random::<f64>()) / f64::from(rate);
        monoio::time::sleep(Duration::from_secs_f64(gap)).await;
    }
}

/// Looks whether the configuration of any boot goes back.
async fn watch_tickets(run: Rc<Run>, done: Rc<RefCell<bool>>) {
    let mut seen = std::collections::BTreeMap::new();
    while !*done.borrow() {
        for (boot, ticket) in run.tickets_in_force().await {
            let before = seen.insert(boot, ticket).unwrap_or(0);
            if ticket < before {
                *run.reverts.borrow_mut() += 1;
            }
        }
        monoio::time::sleep(10 * POLL).await;
    }
}

impl Run {
    async fn observed(&self) -> Result<Observed> {
        caller::json(&self.client, self.control, Ask::get("/observed")).await
    }

    /// The boot and the ticket of each node that answers and is ready.
    async fn tickets_in_force(&self) -> Vec<(String, u64)> {
        let operators = self.fleet.borrow().operators();
        let mut all = Vec::new();
        for operator in operators {
            let asked =
                caller::json::<Value>(&self.client, operator, Ask::get("/admin/v1/status")).await;
            if let Ok(status) = asked {
                let boot = status["incarnation"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned();
                let ready = status["not_ready"].is_null();
                all.extend(
                    status["ticket"]
                        .as_u64()
                        .filter(|_| ready)
                        .map(|ticket| (boot, ticket)),
                );
            }
        }
        all
    }

    /// Publishes a ticket and waits until it is in force at every ready node.
    async fn publish(&self, items: Value) -> Result<()> {
        let ask = Ask::post("/control/tickets", &json!({ "items": items }));
        let published: Value = caller::json(&self.client, self.control, ask).await?;
        let number = published["number"].as_u64().unwrap_or(0);
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            let behind = self
                .tickets_in_force()
                .await
                .iter()
                .any(|(_, ticket)| *ticket < number);
            if !behind {
                break;
            }
            monoio::time::sleep(POLL).await;
        }
        self.tickets.borrow_mut().push(started.elapsed());
        Ok(())
    }

    async fn trouble(&self, trouble: Value) -> Result<()> {
        order(
            &self.client,
            self.control,
            vec![Ask::post("/control/platform", &trouble)],
        )
        .await
    }
}

/// Publishes that a decode runner leaves, and counts what it is asked after the grace.
async fn leave_runner(run: &Run) -> Result<u64> {
    let leaving = "decode-1";
    let mut items = first_items(run).await?;
    let endpoint = run.fleet.borrow().deployment.model();
    let name = format!("endpoint/{endpoint}");
    if let Some(runners) = items[&name]["runners"].as_array_mut() {
        for runner in runners.iter_mut().filter(|runner| runner["id"] == leaving) {
            runner["leaving"] = true.into();
        }
    }
    run.publish(json!({ name.clone(): items[&name] })).await?;
    monoio::time::sleep(LEAVING_GRACE).await;
    let requests = |observed: &Observed| {
        let found = observed.runners.iter().find(|runner| runner.id == leaving);
        found.map_or(0, |runner| runner.requests)
    };
    let before = requests(&run.observed().await?);
    monoio::time::sleep(LEAVING_GRACE).await;
    Ok(requests(&run.observed().await?) - before)
}

async fn first_items(run: &Run) -> Result<Value> {
    let platform = run.fleet.borrow().standins.platform;
    let answer: Value =
        caller::json(&run.client, platform, Ask::get("/v1/tickets?after=0")).await?;
    let first = answer["tickets"][0].clone();
    debug_assert!(Ticket::check(first.clone()).is_ok());
    Ok(first["items"].clone())
}

/// Publishes tickets while the service is stale, slow and down for others.
async fn troubled_tickets(run: &Run) -> Result<()> {
    for limit in 0..5 {
        run.publish(json!({ "organisation/bench": { "concurrent": 100 + limit } }))
            .await?;
    }
    run.trouble(json!({ "stale_at": 2 })).await?;
    monoio::time::sleep(Duration::from_secs(2)).await;
    run.trouble(json!({ "down": true })).await?;
    monoio::time::sleep(Duration::from_secs(2)).await;
    run.trouble(json!({ "slow_ms": 300 })).await?;
    run.publish(json!({ "organisation/bench": { "concurrent": 200 } }))
        .await?;
    run.trouble(json!({})).await
}

/// Replaces all nodes, one after the other, by graceful leaves.
async fn roll(run: &Run) -> Result<()> {
    let count = run.fleet.borrow().members.len();
    for at in 0..count {
        report::progress(&format!("replacing {} of {count}", at + 1));
        let operator = run.fleet.borrow().members[at].operator;
        let drain = Ask::new(http::Method::POST, "/admin/v1/drain")
            .header("authorization", &format!("Bearer {OPERATOR_TOKEN}"));
        caller::json::<Value>(&run.client, operator, drain).await?;
        let patience = Instant::now() + PATIENCE;
        while !run.fleet.borrow().members[at].has_ended() && Instant::now() < patience {
            monoio::time::sleep(POLL).await;
        }
        run.fleet.borrow_mut().reopen(at)?;
        super::once::place(&run.fleet, &run.client).await?;
    }
    Ok(())
}
