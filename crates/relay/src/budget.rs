//! The retry budget, enforced across all VMs without coordination.
//!
//! Each VM spends the retry ratio of its own requests plus its share of the slack. The window is
//! divided into slices, so that the limit holds over any span as long as the window.

use std::collections::VecDeque;
use std::time::Duration;

/// Slices per window.
const SLICES: u32 = 10;
/// Fraction of the budget that is spent. The rest absorbs skew between VMs, which would otherwise
/// exceed the limit.
const SAFETY_FACTOR: f64 = 0.85;

/// What an attempt cost the retry budget.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Charge {
    /// Nothing.
    None,
    /// One retry, which is held for the run that follows if the prefill is completed.
    Held,
    /// One retry.
    Retry,
}

/// How much of a budget is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Retries allowed in the current window.
    pub allowed: u32,
    /// Retries spent in it, and held for attempts in flight or to come.
    pub spent: u32,
}

/// Requests and retries in one slice.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

impl Slice {
    /// Whether the slice is within the window that ends with the slice of this number.
    fn counts_at(&self, number: u64) -> bool {
        self.number + u64::from(SLICES) >= number
    }
}

/// The retry budget of one endpoint.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    slice: Duration,
    slices: VecDeque<Slice>,
    held: u32,
}

impl Budget {
    /// Creates an unspent budget. `ratio` is in retries per request; `slack` is in retries per
    /// window, shared by all VMs.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            slice: window / SLICES,
            slices: VecDeque::new(),
            held: 0,
        }
    }

    /// Changes the bounds and keeps what was counted. If the window changes, all of it counts as of
    /// now, so that the change never allows more retries than either window does.
    pub fn reconfigure(&mut self, now: Duration, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        let slice = window / SLICES;
        if slice == self.slice {
            return;
        }
        let requests = self.slices.iter().map(|slice| slice.requests).sum();
        let retries = self.slices.iter().map(|slice| slice.retries).sum();
        self.slice = slice;
        self.slices.clear();
        let current = self.current_slice(now);
        current.requests = requests;
        current.retries = retries;
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Duration) {
        self.current_slice(now).requests += 1;
    }

    /// Holds retries if the budget allows all of them; `vms` is the number of VMs that share the slack.
    pub fn try_hold(&mut self, now: Duration, vms: usize, retries: u32) -> bool {
        if self.remaining(now, vms) < retries {
            return false;
        }
        self.held += retries;
        true
    }

    /// Spends a held retry.
    pub fn spend_held(&mut self, now: Duration) {
        self.held -= 1;
        self.current_slice(now).retries += 1;
    }

    /// Gives back held retries.
    pub fn release_held(&mut self, retries: u32) {
        self.held -= retries;
    }

    /// Number of retries left to this VM; `vms` is the number of VMs that share the slack.
    pub fn remaining(&self, now: Duration, vms: usize) -> u32 {
        let Usage { allowed, spent } = self.usage(now, vms);
        allowed.saturating_sub(spent)
    }

    /// What this VM may spend and has spent; `vms` is the number of VMs that share the slack.
    pub fn usage(&self, now: Duration, vms: usize) -> Usage {
        let number = self.slice_number(now);
        let counted = self.slices.iter().filter(|slice| slice.counts_at(number));
        let (requests, spent) = counted.fold((0, 0), |(requests, retries), slice| {
            (requests + slice.requests, retries + slice.retries)
        });
        let slack_share = self.slack / vms.max(1) as f64;
        let allowed = (self.ratio * f64::from(requests) + slack_share) * SAFETY_FACTOR;
        Usage {
            allowed: allowed as u32,
            spent: spent + self.held,
        }
    }

    fn slice_number(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.slice.as_nanos().max(1)) as u64
    }

    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let number = self.slice_number(now);
        self.slices.retain(|slice| slice.counts_at(number));
        if self
            .slices
            .back()
            .is_none_or(|slice| slice.number != number)
        {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
