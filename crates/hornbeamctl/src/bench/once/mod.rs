//! Executions against answers, on real sockets and under faults by seed.

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
use crate::fleet::{myto, order, with_shared, Fleet};

use self::caller::Caller;
use faults::Schedule;
use tally::{Figures, Tally};

/// Longest time from the end of an entry VM until the engine memory of its callers is free.
const FREE_WITHIN: Duration = Duration::from_secs(15);
/// Longest time for the last callers to get their word.
const LAST_WORDS: Duration = Duration::from_secs(60);

/// Runs the measurement.
///
/// # Errors
///
/// [`crate::error::Error::Bound`] where a promise is broken, and failures to start.
pub fn run(flags: &OnceFlags) -> Result<()> {
    let mut bounds = Bounds::default();
    for seed in flags.seeds.range() {
        let figures = run_seed(flags, seed)?;
        report::print(flags.seeds.json, &figures);
        for (name, value) in figures.zeroes() {
            bounds.at_most(&format!("seed {seed}: {name}"), value as f64, 0.0);
        }
    }
    bounds.close()
}

fn run_seed(flags: &OnceFlags, seed: u64) -> Result<Figures> {
    with_shared(flags.nodes, myto(flags.nodes), |fleet| {
        measure(fleet, flags, seed)
    })
}

// The fleet is borrowed for the settling only, before any other task runs.
#[allow(clippy::await_holding_refcell_ref)]
pub async fn settle(fleet: &Rc<RefCell<Fleet>>, client: &Client) -> Result<()> {
    fleet.borrow().settle(client).await
}

async fn measure(fleet: Rc<RefCell<Fleet>>, flags: &OnceFlags, seed: u64) -> Result<Figures> {
    let client = Client::new(client::Settings::default());
    settle(&fleet, &client).await?;
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut rng = SmallRng::seed_from_u64(seed);
    let schedule = Schedule {
        kind: flags.faults,
        time: Duration::from_secs(flags.seconds),
        gap: Duration::from_millis(flags.gap_ms),
    };
    let faults = monoio::spawn(faults::run(
        fleet.clone(),
        client.clone(),
        schedule,
        rng.random(),
    ));
    let end = Instant::now() + Duration::from_secs(flags.seconds);
    let mut number = 0;
    while Instant::now() < end {
        let caller = Caller::new(
            fleet.clone(),
            client.clone(),
            tally.clone(),
            number,
            rng.random(),
        );
        tally.borrow_mut().begun();
        monoio::spawn(caller.run());
        number += 1;
        if number % u64::from(flags.rate) == 0 {
            report::progress(&format!("seed {seed}: {number} requests"));
        }
        let gap = -f64::ln(1.0 - rng.random::<f64>()) / f64::from(flags.rate);
        monoio::time::sleep(Duration::from_secs_f64(gap)).await;
    }
    faults.await?;
    let patience = Instant::now() + LAST_WORDS;
    while tally.borrow().open() > 0 && Instant::now() < patience {
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    let observed = wait_until_free(&fleet, &client).await?;
    explain(&fleet, &client, &tally, flags.explain).await;
    let figures = tally.borrow().figures(seed, flags.faults, &observed);
    Ok(figures)
}

/// Shows on standard error what processes that still run know of requests that ended unknown.
async fn explain(
    fleet: &Rc<RefCell<Fleet>>,
    client: &Client,
    tally: &Rc<RefCell<Tally>>,
    most: usize,
) {
    let operators = fleet.borrow().operators();
    let ids: Vec<String> = tally
        .borrow()
        .unknown_ids()
        .take(most)
        .map(str::to_owned)
        .collect();
    for id in ids {
        eprintln!("{id}");
        let request = Some(hornbeamtiller_core::id::Key::of(&id).to_string());
        let filter = timeline::Filter {
            request,
            ..Default::default()
        };
        for entry in timeline::merge(client, &operators, &filter).await {
            eprintln!("  {}", timeline::line(&entry));
        }
    }
}

/// Waits for engine memory to be free, for as long as the bound allows.
async fn wait_until_free(fleet: &Rc<RefCell<Fleet>>, client: &Client) -> Result<Observed> {
    let control = fleet.borrow().standins.control;
    let end = Instant::now() + FREE_WITHIN;
    loop {
        let observed: Observed =
            crate::caller::json(client, control, crate::caller::Ask::get("/observed")).await?;
        if observed.pieces_held == 0 || Instant::now() > end {
            return Ok(observed);
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends the stand-ins where all VMs are.
pub async fn place(fleet: &Rc<RefCell<Fleet>>, client: &Client) -> Result<()> {
    let (control, asks) = {
        let fleet = fleet.borrow();
        (fleet.standins.control, fleet.placement())
    };
    order(client, control, asks).await
}
