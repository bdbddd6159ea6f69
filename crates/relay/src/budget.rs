//! The allowance for second tries, shared by all VMs without a message.
//!
//! Each VM spends the ratio of its own requests and its part of the slack. The window is cut into
//! slices so that any span of its length stays within the allowance.

use std::collections::VecDeque;
use std::time::Duration;

/// Slices of a window.
const SLICES: u32 = 10;
/// Share of the allowance that is spent, so that skew between VMs does not break the bound.
const SAFETY_FACTOR: f64 = 0.85;

/// Counts of one slice.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The allowance for one endpoint.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    slice: Duration,
    slices: VecDeque<Slice>,
}

impl Budget {
    /// Makes an unused allowance; `slack` is for all VMs together.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            slice: window / SLICES,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one second try, if the allowance has one left among this many VMs.
    pub fn try_take(&mut self, now: Duration, vms: usize) -> bool {
        if self.remaining(now, vms) == 0 {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// Number of second tries that are left to this VM among so many.
    pub fn remaining(&mut self, now: Duration, vms: usize) -> u32 {
        self.current_slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let part = self.slack / vms.max(1) as f64;
        let allowed = (self.ratio * f64::from(requests) + part) * SAFETY_FACTOR;
        (allowed as u32).saturating_sub(retries)
    }

    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let number = (now.as_nanos() / self.slice.as_nanos().max(1)) as u64;
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number + u64::from(SLICES) < number)
        {
            self.slices.pop_front();
        }
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
