//! The permits that a VM has for requests to runners with a limit.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::duration::Scale as _;
use crate::pool::Instance;

/// How long a permit can be used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// How long a VM of a small fleet waits for a permit before it asks again.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Size of a small fleet. VMs of a larger one ask less often, so that its issuers get no more asks.
const SMALL_FLEET: usize = 16;
/// Time over which permits are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// The permits of a VM, and its asks.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    held: HashMap<Instance, VecDeque<Duration>>,
    asked_at: HashMap<Instance, Duration>,
    /// When permits were received lately.
    received_at: VecDeque<Duration>,
}

impl Permits {
    /// Whether a request may be sent to a runner.
    pub fn has(&self, instance: &Instance, now: Duration) -> bool {
        let held = self.held.get(instance);
        held.is_some_and(|held| held.iter().any(|expires_at| *expires_at > now))
    }

    /// Uses a permit.
    pub fn take(&mut self, instance: &Instance, now: Duration) {
        if let Some(held) = self.held.get_mut(instance) {
            held.retain(|expires_at| *expires_at > now);
            held.pop_front();
        }
    }

    /// Adds a permit.
    pub fn add(&mut self, instance: Instance, now: Duration) {
        self.asked_at.remove(&instance);
        self.received_at.push_back(now);
        let held = self.held.entry(instance).or_default();
        held.push_back(now + PERMIT_LIFETIME);
    }

    /// Records an ask for a permit, unless one is awaited; returns whether to send it. `vms` is the size of
    /// the fleet.
    pub fn ask(&mut self, instance: &Instance, vms: usize, now: Duration) -> bool {
        let asked_at = self.asked_at.get(instance);
        let timeout = ASK_TIMEOUT.scale((vms as f64 / SMALL_FLEET as f64).max(1.0));
        if asked_at.is_some_and(|at| *at + timeout > now) {
            return false;
        }
        self.asked_at.insert(instance.clone(), now);
        true
    }

    /// Permits received per second lately.
    pub fn rate(&mut self, now: Duration) -> f64 {
        let received_at = &mut self.received_at;
        while received_at
            .front()
            .is_some_and(|at| *at + COUNT_WINDOW <= now)
        {
            received_at.pop_front();
        }
        received_at.len() as f64 / COUNT_WINDOW.as_secs_f64()
    }

    /// Forgets the runners that do not pass the filter.
    pub fn retain(&mut self, is_kept: impl Fn(&Instance) -> bool) {
        self.held.retain(|instance, _| is_kept(instance));
        self.asked_at.retain(|instance, _| is_kept(instance));
    }
}
