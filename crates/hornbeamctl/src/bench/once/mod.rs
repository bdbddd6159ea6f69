//! Compares executions with the responses that callers got, over real sockets and under seeded
//! faults.

pub mod caller;
mod faults;
pub mod tally;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hornbeamtiller_http::client::{self, Client};
use hornbeamtiller_standin::observed::Observed;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::report::{self, Bounds};
use crate::cli::OnceFlags;
use crate::commands::timeline;
use crate::error::Result;
use crate::fleet::{myto_settings, run_with_fleet, send_control_requests, Fleet};

use self::caller::Caller;
use faults::Schedule;
use tally::{Summary, Tally};

/// Bound on the time from the end of an entry VM until engines have freed the KV cache memory of
/// its callers; measured from the last outcome.
const KV_FREE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for the outcome of the last requests.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the benchmark.
///
/// # Errors
///
/// [`crate::error::Error::Bound`] if a count that must be zero is not, or the error of a component
/// that failed to start or to respond.
pub fn run(flags: &OnceFlags) -> Result<()> {
    let mut bounds = Bounds::default();
    for seed in flags.seeds.range() {
        let summary = run_seed(flags, seed)?;
        report::print(flags.seeds.json, &summary);
        for (name, value) in summary.zero_bounds() {
            bounds.check_at_most(&format!("seed {seed}: {name}"), value as f64, 0.0);
        }
    }
    bounds.into_result()
}

fn run_seed(flags: &OnceFlags, seed: u64) -> Result<Summary> {
    run_with_fleet(flags.nodes, myto_settings(flags.nodes), |fleet| {
        measure(fleet, flags, seed)
    })
}

/// Registers the VMs at the platform and waits until each of them lists the others to callers.
// The borrow across the await can't conflict: no other task uses the fleet yet.
#[allow(clippy::await_holding_refcell_ref)]
pub async fn register_and_wait(fleet: &Rc<RefCell<Fleet>>, client: &Client) -> Result<()> {
    fleet.borrow().register_and_wait(client).await
}

async fn measure(fleet: Rc<RefCell<Fleet>>, flags: &OnceFlags, seed: u64) -> Result<Summary> {
    let client = Client::new(client::Settings::default());
    register_and_wait(&fleet, &client).await?;
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut rng = SmallRng::seed_from_u64(seed);
    let schedule = Schedule {
        kind: flags.faults,
        duration: Duration::from_secs(flags.seconds),
        mean_interval: Duration::from_millis(flags.gap_ms),
    };
    let faults = monoio::spawn(faults::run(
        fleet.clone(),
        client.clone(),
        schedule,
        rng.random(),
    ));
    let deadline = Instant::now() + Duration::from_secs(flags.seconds);
    let mut number = 0;
    while Instant::now() < deadline {
        let caller = Caller::new(
            fleet.clone(),
            client.clone(),
            tally.clone(),
            number,
            rng.random(),
        );
        tally.borrow_mut().record_start();
        monoio::spawn(caller.run());
        number += 1;
        if number % u64::from(flags.rate) == 0 {
            report::print_progress(&format!("seed {seed}: {number} requests"));
        }
        let interval = -f64::ln(1.0 - rng.random::<f64>()) / f64::from(flags.rate);
        monoio::time::sleep(Duration::from_secs_f64(interval)).await;
    }
    faults.await?;
    let resolve_deadline = Instant::now() + RESOLVE_TIMEOUT;
    while tally.borrow().in_flight() > 0 && Instant::now() < resolve_deadline {
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    let observed = wait_until_kv_freed(&fleet, &client).await?;
    print_unknown_timelines(&fleet, &client, &tally, flags.explain).await;
    let summary = tally.borrow().summarize(seed, flags.faults, &observed);
    Ok(summary)
}

/// Prints to standard error the time lines of requests with an unknown outcome, as far as the
/// processes that still run have them.
async fn print_unknown_timelines(
    fleet: &Rc<RefCell<Fleet>>,
    client: &Client,
    tally: &Rc<RefCell<Tally>>,
    limit: usize,
) {
    let operators = fleet.borrow().operators();
    let ids: Vec<String> = tally
        .borrow()
        .unknown_ids()
        .take(limit)
        .map(str::to_owned)
        .collect();
    for id in ids {
        eprintln!("{id}");
        let request = Some(hornbeamtiller_core::id::Key::of(&id).to_string());
        let filter = timeline::Filter {
            request,
            ..Default::default()
        };
        for entry in timeline::fetch_merged(client, &operators, &filter).await {
            eprintln!("  {}", timeline::format_entry(&entry));
        }
    }
}

/// Waits until no engine holds KV cache memory, at most [`KV_FREE_TIMEOUT`].
async fn wait_until_kv_freed(fleet: &Rc<RefCell<Fleet>>, client: &Client) -> Result<Observed> {
    let control = fleet.borrow().standins.control;
    let deadline = Instant::now() + KV_FREE_TIMEOUT;
    loop {
        let observed: Observed =
            crate::caller::send_for_json(client, control, crate::caller::Request::get("/observed"))
                .await?;
        if observed.pieces_held == 0 || Instant::now() > deadline {
            return Ok(observed);
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Publishes the addresses of all VMs to the stand-ins.
pub async fn publish_addresses(fleet: &Rc<RefCell<Fleet>>, client: &Client) -> Result<()> {
    let (control, requests) = {
        let fleet = fleet.borrow();
        (fleet.standins.control, fleet.address_updates())
    };
    send_control_requests(client, control, requests).await
}
