//! What part of the fleet a granter reaches, by a sample of the other VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of VMs of which the last results are kept.
pub const SAMPLE: usize = 16;
/// Shortest time between two checks of a whole sample.
const VERIFY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a sample is used.
const LIFETIME: Duration = Duration::from_secs(3);
/// Part of the sample that has to respond for the whole fleet to count as reached: some checks are always under way.
const WHOLE_PART: f64 = 0.8;

#[derive(Debug, Clone, Copy)]
struct Check {
    address: SocketAddr,
    sent_at: Duration,
    is_taken: bool,
}

/// The last checks whether other VMs respond. A VM that is cut off learns by them within a round trip that it grants for
/// less than the fleet; by views it would take seconds.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    checks: VecDeque<Check>,
    verified_at: Option<Duration>,
}

impl Reach {
    /// Records that a VM is checked.
    pub fn start(&mut self, address: SocketAddr, now: Duration) {
        if self.checks.len() == SAMPLE {
            self.checks.pop_front();
        }
        self.checks.push_back(Check {
            address,
            sent_at: now,
            is_taken: false,
        });
    }

    /// Records that a VM has responded.
    pub fn record(&mut self, address: SocketAddr) {
        let mut checks = self.checks.iter_mut().rev();
        if let Some(check) = checks.find(|check| check.address == address) {
            check.is_taken = true;
        }
    }

    /// Whether there are no checks of a moment ago.
    pub fn is_stale(&self, now: Duration) -> bool {
        let last = self.checks.back();
        last.is_none_or(|check| check.sent_at + LIFETIME <= now)
    }

    /// Whether a whole sample is to be checked when a VM has not responded; the check is recorded.
    pub fn is_verifiable(&mut self, now: Duration) -> bool {
        let is_due = self
            .verified_at
            .is_none_or(|at| at + VERIFY_INTERVAL <= now);
        if is_due {
            self.verified_at = Some(now);
        }
        is_due
    }

    /// The part of a fleet of so many VMs that is reached, this one included; all of it if most of the sample has
    /// responded. A check that is under way counts as failed.
    pub fn part(&self, vms: usize) -> f64 {
        if vms <= 1 {
            return 1.0;
        }
        let taken = self.checks.iter().filter(|check| check.is_taken).count();
        let sampled = taken as f64 / self.checks.len().max(1) as f64;
        let vms = vms as f64;
        let part = (1.0 + sampled * (vms - 1.0)) / vms;
        if part >= WHOLE_PART {
            1.0
        } else {
            part
        }
    }
}
