//! Seeded faults: entry VMs that crash or are paused, peer connections that stop carrying data, and
//! runners that fail.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hornbeamtiller_http::client::Client;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::{json, Value};

use super::publish_addresses;
use crate::caller::Request;
use crate::cli::FaultKind;
use crate::error::Result;
use crate::fleet::{send_control_requests, Fleet};

/// Delay until a crashed entry VM is replaced, in milliseconds.
const REPLACEMENT_DELAY_MS: std::ops::Range<u64> = 500..3_000;
/// Length of an entry VM's pause, in milliseconds; longer than every timeout between processes.
const PAUSE_MS: std::ops::Range<u64> = 2_500..6_000;
/// Time until the fault of a peer relay or of a runner is cleared, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 500..3_500;
/// Ways in which a runner fails.
const RUNNER_FAULTS: [&str; 5] = ["refuse", "stall", "crash", "drop_answer", "silent"];

/// Which faults to inject, and when.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// Kind of the faults.
    pub kind: FaultKind,
    /// Time over which faults are started.
    pub duration: Duration,
    /// Mean time from one fault to the next.
    pub mean_interval: Duration,
}

/// Injects faults for the scheduled time, and returns once all of them have ended.
///
/// # Errors
///
/// The error of the first fault that could not be injected or undone.
pub async fn run(
    fleet: Rc<RefCell<Fleet>>,
    client: Client,
    schedule: Schedule,
    seed: u64,
) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Schedule {
        kind,
        duration,
        mean_interval,
    } = schedule;
    let deadline = Instant::now() + duration;
    let mut faults = Vec::new();
    while Instant::now() < deadline && kind != FaultKind::None {
        monoio::time::sleep(mean_interval.mul_f64(rng.random_range(0.4..1.6))).await;
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
        faults.push(monoio::spawn(fault.run(kind)));
    }
    for fault in faults {
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
                let index = self.random_member();
                let duration = self.random_duration(PAUSE_MS);
                self.fleet.borrow().members[index].pause(duration);
                monoio::time::sleep(duration).await;
                Ok(())
            }
            FaultKind::Silence => self.silence_peers().await,
            _ => self.fail_runner().await,
        }
    }

    fn random_member(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.borrow().members.len())
    }

    fn random_duration(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    async fn crash(&mut self) -> Result<()> {
        let index = self.random_member();
        let has_ended = self.fleet.borrow().members[index].has_ended();
        if has_ended {
            return Ok(());
        }
        self.fleet.borrow_mut().members[index].crash();
        let duration = self.random_duration(REPLACEMENT_DELAY_MS);
        monoio::time::sleep(duration).await;
        self.fleet.borrow_mut().restart_member(index)?;
        publish_addresses(&self.fleet, &self.client).await
    }

    async fn silence_peers(&mut self) -> Result<()> {
        let vm = self.fleet.borrow().members
            [self.rng.random_range(0..self.fleet.borrow().members.len())]
        .vm;
        let all_connections = self.rng.random::<bool>();
        let impairment = if all_connections {
            "silent"
        } else {
            "old_silent"
        };
        self.set_control("/control/relay", json!({ "vm": vm, "passage": impairment }))
            .await?;
        let duration = self.random_duration(FAULT_DURATION_MS);
        monoio::time::sleep(duration).await;
        self.set_control("/control/relay", json!({ "vm": vm, "passage": "open" }))
            .await
    }

    async fn fail_runner(&mut self) -> Result<()> {
        let runner = {
            let fleet = self.fleet.borrow();
            let runners = &fleet.standins.runners;
            runners[self.rng.random_range(0..runners.len())].0.clone()
        };
        let fault = RUNNER_FAULTS[self.rng.random_range(0..RUNNER_FAULTS.len())];
        self.set_control(
            "/control/fault",
            json!({ "runner": runner, "fault": fault }),
        )
        .await?;
        let duration = self.random_duration(FAULT_DURATION_MS);
        monoio::time::sleep(duration).await;
        self.set_control(
            "/control/fault",
            json!({ "runner": runner, "fault": "none" }),
        )
        .await
    }

    async fn set_control(&self, path: &str, body: Value) -> Result<()> {
        let control = self.fleet.borrow().standins.control;
        send_control_requests(&self.client, control, vec![Request::post(path, &body)]).await
    }
}
