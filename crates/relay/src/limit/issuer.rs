//! Issues permits for the requests to runners with a limit, at the rate of the limit.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::Rate;
use crate::id;
use crate::pool::Instance;

/// Time of permits that may be issued at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(250);
/// How long a VM issues nothing for a runner that it has not issued permits for before: another one may still do.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);
/// How long an ask waits: about as long as the call that it is for.
const ASK_LIFETIME: Duration = Duration::from_millis(150);

/// Permits that may be issued for one runner.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    filled_at: Duration,
    used_at: Duration,
}

impl Bucket {
    fn new(now: Duration) -> Self {
        Self {
            level: 0.0,
            filled_at: now + TAKEOVER_TIME,
            used_at: now,
        }
    }

    fn fill(&mut self, rate: Rate, now: Duration) {
        let time = now.saturating_sub(self.filled_at);
        let depth = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.level = (self.level + rate * time.as_secs_f64()).min(depth);
        self.filled_at = self.filled_at.max(now);
        self.used_at = now;
    }
}

/// A VM that asks for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asker {
    /// The VM.
    pub vm: id::Vm,
    /// Its address for peers.
    pub address: SocketAddr,
}

#[derive(Debug, Clone)]
struct Ask {
    asker: Asker,
    expires_at: Duration,
}

/// The permits that this VM issues.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    buckets: HashMap<Instance, Bucket>,
    asks: HashMap<Instance, VecDeque<Ask>>,
}

impl Issuer {
    /// Number of permits that may be issued for a runner now.
    pub fn available(&mut self, instance: &Instance, rate: Rate, now: Duration) -> u32 {
        let bucket = self.buckets.entry(instance.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        bucket.fill(rate, now);
        bucket.level.max(0.0) as u32
    }

    /// Counts a permit as issued.
    pub fn spend(&mut self, instance: &Instance) {
        if let Some(bucket) = self.buckets.get_mut(instance) {
            bucket.level -= 1.0;
        }
    }

    /// Takes back a permit that was not used.
    pub fn take_back(&mut self, instance: &Instance) {
        if let Some(bucket) = self.buckets.get_mut(instance) {
            bucket.level += 1.0;
        }
    }

    /// Records that a VM asks for a permit; each VM waits for one at a time.
    pub fn ask(&mut self, instance: &Instance, asker: Asker, now: Duration) {
        let expires_at = now + ASK_LIFETIME;
        let asks = self.asks.entry(instance.clone()).or_default();
        let known = asks.iter_mut().find(|ask| ask.asker.vm == asker.vm);
        match known {
            Some(ask) => ask.expires_at = expires_at,
            None => asks.push_back(Ask { asker, expires_at }),
        }
    }

    /// The VMs that get a permit for a runner now, in the order in which they asked.
    pub fn issue(&mut self, instance: &Instance, rate: Rate, now: Duration) -> Vec<Asker> {
        let available = self.available(instance, rate, now) as usize;
        let Some(asks) = self.asks.get_mut(instance) else {
            return Vec::new();
        };
        asks.retain(|ask| ask.expires_at > now);
        let count = available.min(asks.len());
        let askers: Vec<Asker> = asks.drain(..count).map(|ask| ask.asker).collect();
        for _ in &askers {
            self.spend(instance);
        }
        askers
    }

    /// The runners for which VMs ask.
    pub fn asked(&self) -> Vec<Instance> {
        let asks = self.asks.iter().filter(|(_, asks)| !asks.is_empty());
        asks.map(|(instance, _)| instance.clone()).collect()
    }

    /// Forgets the runners that do not pass the filter, and those that nobody has asked for lately.
    pub fn retain(&mut self, now: Duration, is_kept: impl Fn(&Instance) -> bool) {
        self.buckets.retain(|instance, bucket| {
            is_kept(instance) && bucket.used_at + TAKEOVER_TIME * 2 > now
        });
        self.asks.retain(|instance, _| is_kept(instance));
    }
}
