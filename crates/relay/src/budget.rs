//! The retry budget, enforced across all VMs without coordination.
//!
//! Retries come from two sources. Each request earns a VM a part of a retry, of which little is
//! carried over, so that requests that move between VMs are not counted at both. Besides, each VM has
//! its share of the slack in any window. A VM that restarts has earned nothing yet, and has no slack
//! until what it may have spent before has left the window.

use std::collections::VecDeque;
use std::time::Duration;

/// Slices per window.
const SLICES: u32 = 10;
/// Fraction of the budget that is spent. The rest absorbs skew between VMs, which would otherwise
/// exceed the limit.
const SAFETY_FACTOR: f64 = 0.85;
/// Fraction of a VM's share of the slack that is kept for retries that it has earned and not spent.
const CARRY_FRACTION: f64 = 0.25;
/// Sums of parts of a retry may miss a whole one by this much.
const ROUNDING: f64 = 1e-9;

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

/// A VM's part of the slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Fraction of the slack, from 0 to 1.
    pub fraction: f64,
    /// Whether the process has run for less than a window, so that it doesn't know what the one before
    /// it spent.
    pub is_new: bool,
}

/// A retry that is held for an attempt. It is to be spent or released.
#[derive(Debug, Clone, PartialEq)]
pub struct Retry {
    /// The part of it that requests have earned.
    earned: f64,
    /// The part of it that comes from the slack.
    slack: f64,
}

/// The state of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Retries that may be held now.
    pub available: f64,
    /// Retries spent in the current window.
    pub spent: u32,
    /// Retries held for attempts in flight or to come.
    pub held: u32,
}

/// What was spent in one slice.
#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    slack: f64,
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
    earned: f64,
    held: u32,
    held_slack: f64,
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
            earned: 0.0,
            held: 0,
            held_slack: 0.0,
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
        let slack = self.slices.iter().map(|slice| slice.slack).sum();
        let retries = self.slices.iter().map(|slice| slice.retries).sum();
        self.slice = slice;
        self.slices.clear();
        let current = self.current_slice(now);
        current.slack = slack;
        current.retries = retries;
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, share: Share) {
        let earned = self.earned + self.ratio * SAFETY_FACTOR;
        self.earned = earned.min(self.carry_max(share));
    }

    /// Holds retries if the budget allows all of them.
    pub fn try_hold(&mut self, now: Duration, share: Share, retries: u32) -> Option<Vec<Retry>> {
        if !self.allows(now, share, retries) {
            return None;
        }
        // Given back retries, or a smaller share, may have left more.
        self.earned = self.earned.min(self.carry_max(share));
        Some((0..retries).map(|_| self.hold()).collect())
    }

    /// Whether the budget allows this many retries now.
    pub fn allows(&self, now: Duration, share: Share, retries: u32) -> bool {
        self.usage(now, share).available + ROUNDING >= f64::from(retries)
    }

    fn hold(&mut self) -> Retry {
        let earned = self.earned.min(1.0);
        let slack = 1.0 - earned;
        self.earned -= earned;
        self.held += 1;
        self.held_slack += slack;
        Retry { earned, slack }
    }

    /// Spends a held retry.
    pub fn spend(&mut self, now: Duration, retry: Retry) {
        self.held -= 1;
        self.held_slack -= retry.slack;
        let current = self.current_slice(now);
        current.slack += retry.slack;
        current.retries += 1;
    }

    /// Gives a held retry back.
    pub fn release(&mut self, retry: Retry) {
        self.held -= 1;
        self.held_slack -= retry.slack;
        self.earned += retry.earned;
    }

    /// What this VM may spend and has spent.
    pub fn usage(&self, now: Duration, share: Share) -> Usage {
        let number = self.slice_number(now);
        let counted = self.slices.iter().filter(|slice| slice.counts_at(number));
        let (spent_slack, spent) = counted.fold((0.0, 0), |(slack, retries), slice| {
            (slack + slice.slack, retries + slice.retries)
        });
        let earned = self.earned.min(self.carry_max(share));
        let slack = self.slack_max(share) - spent_slack - self.held_slack;
        Usage {
            available: earned + slack.max(0.0),
            spent,
            held: self.held,
        }
    }

    /// Retries that this VM may have earned and not spent.
    fn carry_max(&self, share: Share) -> f64 {
        self.slack * share.fraction * SAFETY_FACTOR * CARRY_FRACTION
    }

    /// Slack that this VM may spend in a window.
    fn slack_max(&self, share: Share) -> f64 {
        if share.is_new {
            return 0.0;
        }
        self.slack * share.fraction * SAFETY_FACTOR * (1.0 - CARRY_FRACTION)
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
