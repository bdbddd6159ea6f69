//! Limits that runners name: how many requests a second they take from all VMs together.

use std::collections::HashMap;
use std::time::Duration;

use crate::pool::Instance;

/// Requests per second; finite and above 0.
pub type Rate = f64;

/// What a response says of its runner's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Statement {
    /// The runner takes this many requests a second.
    Limited(Rate),
    /// The runner names no limit.
    Unlimited,
}

/// What is known of the limit of a runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The rate; none if the runner has stopped to name one.
    pub rate: Option<Rate>,
    /// When the runner last said so.
    pub at: Duration,
}

/// The limits that runners have named.
#[derive(Debug, Clone, Default)]
pub struct Table {
    limits: HashMap<Instance, Limit>,
}

impl Table {
    /// The limit of a process, if it names one.
    pub fn rate(&self, instance: &Instance) -> Option<Rate> {
        self.limits.get(instance)?.rate
    }

    /// Whether a process names a limit or has named one.
    pub fn contains(&self, instance: &Instance) -> bool {
        self.limits.contains_key(instance)
    }

    /// Records what a response says whose attempt was sent at `sent_at`; returns whether the limit has
    /// changed. A response that was on its way when another one named the limit does not lift it.
    pub fn record(
        &mut self,
        instance: &Instance,
        statement: Statement,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let known = self.limits.get(instance).copied();
        let rate = match (statement, known) {
            (Statement::Limited(rate), _) => Some(rate),
            (Statement::Unlimited, Some(known)) if known.at < sent_at => None,
            (Statement::Unlimited, _) => return false,
        };
        let limit = Limit { rate, at: now };
        self.limits.insert(instance.clone(), limit);
        known.and_then(|known| known.rate) != rate
    }

    /// Forgets the processes that do not pass the filter.
    pub fn retain(&mut self, is_kept: impl Fn(&Instance) -> bool) {
        self.limits.retain(|instance, _| is_kept(instance));
    }
}
