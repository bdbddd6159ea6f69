//! Faults by seed: entry VMs that end or are paused, peer connections that fall silent, runners
//! that fail.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hornbeamtiller_http::client::Client;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::{json, Value};

use super::place;
use crate::caller::Request;
use crate::cli::FaultKind;
use crate::error::Result;
use crate::fleet::{send_control_requests, Fleet};

/// Time until an entry VM that ended is replaced.
const REPLACE: std::ops::Range<u64> = 500..3_000;
/// Pause of a paused one; longer than every timeout between processes.
const PAUSED: std::ops::Range<u64> = 2_500..6_000;
/// Time for which peers are silent or a runner fails.
const LASTS: std::ops::Range<u64> = 500..3_500;
/// Ways in which a runner fails.
const RUNNER_FAULTS: [&str; 5] = ["refuse", "stall", "crash", "drop_answer", "silent"];

/// Which faults to bring about, and when.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// Their kind.
    pub kind: FaultKind,
    /// For how long.
    pub time: Duration,
    /// Mean time from one to the next.
    pub gap: Duration,
}

/// Brings about faults for a while, then ends them all.
pub async fn run(
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    schedule: Schedule,
    seed: u64,
) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Schedule { kind, time, gap } = schedule;
    let end = Instant::now() + time;
    let mut running = Vec::new();
    while Instant::now() < end && kind != FaultKind::None {
        monoio::time::sleep(gap.mul_f64(rng.random_range(0.4..1.6))).await;
        let kinds = [
            FaultKind::Crash,
            FaultKind::Pause,
            FaultKind::Silence,
            FaultKind::Runner,
        ];
        let kind = if kind == FaultKind::All {
            kinds[rng.random_range(0..kinds.len())]
        } else {
            kind
        };
        let fault = Fault {
            fleet: fleet.clone(),
            client: client.clone(),
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        running.push(monoio::spawn(fault.run(kind)));
    }
    for fault in running {
        fault.await?;
    }
    Ok(())
}

struct Fault {
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    rng: SmallRng,
}

impl Fault {
    async fn run(mut self, kind: FaultKind) -> Result<()> {
        match kind {
            FaultKind::Crash => self.crash().await,
            FaultKind::Pause => {
                let at = self.any_member();
                let time = self.any_time(PAUSED);
                self.fleet.borrow().members[at].pause(time);
                monoio::time::sleep(time).await;
                Ok(())
            }
            FaultKind::Silence => self.silence().await,
            _ => self.runner().await,
        }
    }

    fn any_member(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.borrow().members.len())
    }

    fn any_time(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    async fn crash(&mut self) -> Result<()> {
        let at = self.any_member();
        let ended = self.fleet.borrow().members[at].has_ended();
        if ended {
            return Ok(());
        }
        self.fleet.borrow_mut().members[at].crash();
        let time = self.any_time(REPLACE);
        monoio::time::sleep(time).await;
        self.fleet.borrow_mut().restart_member(at)?;
        place(&self.fleet, &self.client).await
    }

    async fn silence(&mut self) -> Result<()> {
        let vm = self.fleet.borrow().members
            [self.rng.random_range(0..self.fleet.borrow().members.len())]
        .vm;
        let all = self.rng.random::<bool>();
        let passage = if all { "silent" } else { "old_silent" };
        self.order("/control/relay", json!({ "vm": vm, "passage": passage }))
            .await?;
        let time = self.any_time(LASTS);
        monoio::time::sleep(time).await;
        self.order("/control/relay", json!({ "vm": vm, "passage": "open" }))
            .await
    }

    async fn runner(&mut self) -> Result<()> {
        let runner = {
            let fleet = self.fleet.borrow();
            let runners = &fleet.standins.runners;
            runners[self.rng.random_range(0..runners.len())].0.clone()
        };
        let fault = RUNNER_FAULTS[self.rng.random_range(0..RUNNER_FAULTS.len())];
        self.order(
            "/control/fault",
            json!({ "runner": runner, "fault": fault }),
        )
        .await?;
        let time = self.any_time(LASTS);
        monoio::time::sleep(time).await;
        self.order(
            "/control/fault",
            json!({ "runner": runner, "fault": "none" }),
        )
        .await
    }

    async fn order(&self, path: &str, body: Value) -> Result<()> {
        let control = self.fleet.borrow().standins.control;
        send_control_requests(&self.client, control, vec![Request::post(path, &body)]).await
    }
}
