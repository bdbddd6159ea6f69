//! What a VM may spend for one organisation without the granter.

use std::time::Duration;

use crate::organisation::Cap;
use crate::settings::Settings;

use super::allowance;

/// Part of what the fleet may exceed a cap by that all accounts have together. The rest is for granters that take over
/// from each other.
const ACCOUNTS_PART: f64 = 0.25;
/// How long a VM believes that a bucket is nearly empty, and asks for small requests too. Of an organisation that is
/// above its cap, a VM of a large fleet gets a request only every second or so.
const SCARCE_TIME: Duration = Duration::from_secs(5);
/// How much more than the rate a VM asks for while the bucket is nearly empty.
const PACE_FACTOR: f64 = 1.25;
/// How much it asks for at once, as a time at the rate.
const PACE_TIME: f64 = 0.25;
/// Bounds of the time for which requests are refused without an ask, after one that was refused.
const HOLD_MIN: Duration = Duration::from_millis(5);
const HOLD_MAX: Duration = Duration::from_millis(250);
/// How often the shortest time is doubled.
const DOUBLINGS_MAX: u32 = 6;

/// A VM's part of a cap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Units a second.
    pub rate: f64,
    /// Units that may be spent at once.
    pub depth: f64,
}

impl Part {
    /// The part of each of so many VMs.
    pub fn new(cap: &Cap, settings: &Settings, vms: usize) -> Self {
        let vms = vms.max(1) as f64;
        Self {
            rate: cap.rate / vms,
            depth: allowance(cap, settings) * ACCOUNTS_PART / vms,
        }
    }

    /// Time in which an empty account fills.
    fn fill_time(self) -> Duration {
        Duration::try_from_secs_f64(self.depth / self.rate).unwrap_or(Duration::MAX)
    }
}

/// A refusal that holds for a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Until when.
    until: Duration,
    /// Requests of this cost or above are refused.
    cost: u64,
    /// When the caller that was refused first is to come back.
    return_at: Duration,
}

/// The account of one organisation at this VM. What is spent from it is reported to the granter, and once the
/// granter has the report it is there again.
#[derive(Debug, Clone)]
pub struct Account {
    level: f64,
    filled_at: Duration,
    /// What was spent and not reported, less what was granted and not used.
    unreported: i64,
    /// Whether the bucket was nearly empty by the last answer, and when that came.
    is_scarce: bool,
    answered_at: Option<Duration>,
    hold: Option<Hold>,
    /// Number of refusals since the last grant.
    refusals: u32,
    /// What may be asked for while the bucket is nearly empty, and when it was last filled.
    pace: f64,
    paced_at: Duration,
    /// A number from 0 to 1, drawn anew after each request that was admitted from a scarce account.
    lot: f64,
    drawn_at: Duration,
    used_at: Duration,
    /// Requests refused since the last log line, and when that was written.
    refused: u64,
    logged_at: Option<Duration>,
}

impl Account {
    /// Creates a full account; `lot` is a random number from 0 to 1.
    pub fn new(part: Part, lot: f64, now: Duration) -> Self {
        Self {
            level: part.depth,
            filled_at: now,
            unreported: 0,
            is_scarce: false,
            answered_at: None,
            hold: None,
            refusals: 0,
            pace: 0.0,
            paced_at: Duration::ZERO,
            lot,
            drawn_at: now,
            used_at: now,
            refused: 0,
            logged_at: None,
        }
    }

    fn fill(&mut self, part: Part, now: Duration) {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + part.rate * time).min(part.depth);
        self.filled_at = self.filled_at.max(now);
        self.used_at = now;
    }

    fn spend(&mut self, cost: u64) {
        self.level -= cost as f64;
        self.unreported = self.unreported.saturating_add(signed(cost));
    }

    /// Spends the cost of a small request, if the account has it and the granter has not just said that the bucket is
    /// nearly empty.
    pub fn try_spend_small(&mut self, cost: u64, part: Part, now: Duration) -> bool {
        self.fill(part, now);
        if self.is_scarce_now(now) || self.level < cost as f64 {
            return false;
        }
        self.spend(cost);
        true
    }

    /// Spends the cost of a request for which no granter answers. One request may overdraw the account. If the
    /// bucket was nearly empty by the last answer, all VMs are likely to be asked for more than there is; then each
    /// admits a request only with the probability with which its account covers it.
    pub fn try_spend_alone(&mut self, cost: u64, part: Part, lot: f64, now: Duration) -> bool {
        self.fill(part, now);
        if now >= self.drawn_at.saturating_add(part.fill_time()) {
            self.draw(lot, now);
        }
        let needed = if self.is_scarce {
            self.lot * cost as f64
        } else {
            0.0
        };
        if self.level <= needed {
            return false;
        }
        self.spend(cost);
        self.draw(lot, now);
        true
    }

    fn draw(&mut self, lot: f64, now: Duration) {
        self.lot = lot;
        self.drawn_at = now;
    }

    /// Counts a cost that is spent whether the account has it or not.
    pub fn spend_anyway(&mut self, cost: u64, now: Duration) {
        self.used_at = now;
        self.spend(cost);
    }

    /// Gives back a cost that was charged here or granted.
    pub fn give_back(&mut self, cost: u64, part: Part, now: Duration) {
        self.fill(part, now);
        self.level = (self.level + cost as f64).min(part.depth);
        self.unreported = self.unreported.saturating_sub(signed(cost));
    }

    /// Takes note of a granter's answer.
    pub fn record_answer(&mut self, is_granted: bool, is_scarce: bool, now: Duration) {
        self.refusals = if is_granted { 0 } else { self.refusals + 1 };
        self.is_scarce = is_scarce || !is_granted;
        self.answered_at = Some(now);
    }

    fn is_scarce_now(&self, now: Duration) -> bool {
        let answered_at = self.answered_at;
        self.is_scarce && answered_at.is_some_and(|at| at + SCARCE_TIME > now)
    }

    /// Whether to ask for a cost. While the bucket is nearly empty, a VM asks for little more than the rate: the granter
    /// would refuse the rest.
    pub fn try_pace(&mut self, cost: u64, rate: f64, now: Duration) -> bool {
        if !self.is_scarce_now(now) {
            return true;
        }
        let depth = rate * PACE_TIME;
        let time = now.saturating_sub(self.paced_at).as_secs_f64();
        self.pace = (self.pace + rate * PACE_FACTOR * time).min(depth);
        self.paced_at = now;
        let cost = (cost as f64).min(depth);
        if self.pace < cost {
            return false;
        }
        self.pace -= cost;
        true
    }

    /// Refuses further requests of this cost until the bucket may have it, and longer if others get it each time.
    pub fn hold(&mut self, cost: u64, wait: Duration, return_after: Duration, now: Duration) {
        let backoff = HOLD_MIN * (1 << self.refusals.min(DOUBLINGS_MAX));
        self.hold = Some(Hold {
            until: now + wait.max(backoff).min(HOLD_MAX),
            cost,
            return_at: now + return_after,
        });
    }

    /// When a request is to come back that is refused without an ask; none if it has to be asked for.
    pub fn held_return_after(&self, cost: u64, now: Duration) -> Option<Duration> {
        let hold = self.hold?;
        let is_held = hold.until > now && cost >= hold.cost;
        is_held.then(|| hold.return_at.saturating_sub(now))
    }

    /// When a request is to come back that is refused since enough is asked for.
    pub fn paced_return_after(&self, now: Duration) -> Duration {
        let return_at = self.hold.map(|hold| hold.return_at);
        return_at.unwrap_or_default().saturating_sub(now)
    }

    /// Takes what is to be reported.
    pub fn take_report(&mut self) -> i64 {
        std::mem::take(&mut self.unreported)
    }

    /// Whether there is anything to report.
    pub fn has_report(&self) -> bool {
        self.unreported != 0
    }

    /// Gives back what the granter has been told.
    pub fn settle_report(&mut self, spent: i64, part: Part, now: Duration) {
        self.fill(part, now);
        self.level = (self.level + spent.max(0) as f64).min(part.depth);
    }

    /// Keeps a report that did not reach the granter, for the next one.
    pub fn restore_report(&mut self, spent: i64) {
        self.unreported = self.unreported.saturating_add(spent);
    }

    /// Counts a refused request. Returns the number since the last log line if one is due, at most one in `interval`.
    pub fn count_refusal(&mut self, interval: Duration, now: Duration) -> Option<u64> {
        self.refused += 1;
        if self.logged_at.is_some_and(|at| at + interval > now) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.refused))
    }

    /// Whether it can be forgotten: it is full again, and nothing is to be reported.
    pub fn is_idle(&self, retention: Duration, now: Duration) -> bool {
        !self.has_report() && self.used_at + retention < now
    }
}

fn signed(cost: u64) -> i64 {
    i64::try_from(cost).unwrap_or(i64::MAX)
}
