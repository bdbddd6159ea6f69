//! Limits that runners name: how many requests a second they take from all VMs together.
//!
//! VMs tell each other of limits in their views. For each runner with a limit, one VM issues permits at its
//! rate: for a plain runner the one that ranks highest for it, which other VMs ask; for an engine its
//! allocator, whose grants are permits. A VM sends a runner with a limit no request without a permit. A permit
//! that is not used soon is lost, so that no VM saves them up.

mod issuer;
mod permit;

use std::collections::HashMap;
use std::time::Duration;

use crate::allocation::hash;
use crate::pool::Instance;

pub use issuer::{Asker, Issuer};
pub use permit::Permits;

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

/// The limit of a runner, as told to other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The process.
    pub instance: Instance,
    /// The rate; none if the runner has stopped to name one.
    pub rate: Option<Rate>,
    /// How long ago the runner last said so.
    pub age: Duration,
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

    /// Whether no process names a limit or has named one.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
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

    /// Takes over what another VM knows; returns whether the limit has changed.
    pub fn merge(&mut self, record: Record, now: Duration) -> bool {
        let at = now.saturating_sub(record.age);
        let known = self.limits.get(&record.instance).copied();
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        let rate = record.rate;
        self.limits.insert(record.instance, Limit { rate, at });
        known.and_then(|known| known.rate) != rate
    }

    /// The limit of a process, as other VMs are told of it.
    pub fn describe(&self, instance: &Instance, now: Duration) -> Option<Record> {
        let limit = self.limits.get(instance)?;
        Some(Record {
            instance: instance.clone(),
            rate: limit.rate,
            age: now.saturating_sub(limit.at),
        })
    }

    /// The processes that name a limit or have named one.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.limits.keys()
    }

    /// The processes that name a limit, and their rates.
    pub fn limited(&self) -> impl Iterator<Item = (&Instance, Rate)> {
        let limits = self.limits.iter();
        limits.filter_map(|(instance, limit)| Some((instance, limit.rate?)))
    }

    /// A number that differs between VMs that know different limits, 0 if there are none.
    pub fn digest(&self) -> u64 {
        let digests = self.limited().map(|(instance, rate)| {
            let process = hash(instance.runner.as_bytes(), instance.started_at_ms);
            hash(&rate.to_bits().to_le_bytes(), process)
        });
        digests.fold(0, |digest, limit| digest ^ limit)
    }

    /// Forgets the processes that do not pass the filter.
    pub fn retain(&mut self, is_kept: impl Fn(&Instance) -> bool) {
        self.limits.retain(|instance, _| is_kept(instance));
    }
}
