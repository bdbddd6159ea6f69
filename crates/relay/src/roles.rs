//! How many engines of an endpoint read prompts and how many generate.
//!
//! The load that this answers: prompts and answers whose sizes shift, and engines that come and go
//! with roles that do not fit. Both kinds are compared by how much of them is in use, over seconds;
//! an engine changes its role where that lowers the higher of the two by a good part.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::manifest::Engine;
use crate::pool::{Pool, Role, Runner, Standing};

/// Interval of samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of one sample in the use.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Samples before the first decision.
const SAMPLES_MIN: u32 = 25;
/// Use of the busier kind below which nothing is changed.
const USE_MIN: f64 = 0.25;
/// What the higher use must fall to, as a share of what it is, for a change to be worth its pause.
const GAIN: f64 = 0.87;
/// Engines of each kind that are left in any case.
const KEPT: usize = 2;
/// Share of KV memory that counts as all of it in use.
const MEMORY_SHARE: f64 = 0.85;

/// Use of the engines of one endpoint, from 0 to 1 and more.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Use {
    /// Share of time in which prefill engines read.
    pub prefill: f64,
    /// Share of the KV memory of decode engines that is taken.
    pub decode: f64,
    /// Number of samples.
    pub samples: u32,
}

/// What is known of roles.
#[derive(Debug, Default)]
pub struct Roles {
    /// Use by endpoint.
    pub uses: BTreeMap<id::Endpoint, Use>,
    /// When the next sample is due.
    pub sample_at: Duration,
    /// Since when this VM is the one to give orders.
    pub chosen_since: Option<Duration>,
    /// When the next order may be given.
    pub order_at: Duration,
    /// Highest fencing token known.
    pub fence: u64,
}

/// Engines of one kind that take work.
fn ready(pool: &Pool, endpoint: &id::Endpoint, role: Role) -> Vec<Runner> {
    pool.of(endpoint)
        .filter(|runner| runner.card.role == Some(role) && runner.standing == Standing::Ready)
        .cloned()
        .collect()
}

impl Use {
    /// Adds a sample of what is in use now.
    pub fn sample(&mut self, pool: &Pool, endpoint: &id::Endpoint, engine: Engine) {
        let readers = ready(pool, endpoint, Role::Prefill);
        let makers = ready(pool, endpoint, Role::Decode);
        let busy = readers
            .iter()
            .filter(|runner| runner.load().unread > 0)
            .count();
        let taken: u64 = makers.iter().map(|runner| runner.load().tokens).sum();
        let memory = makers.len() as f64 * engine.kv_tokens as f64 * MEMORY_SHARE;
        self.mix(
            busy as f64 / readers.len().max(1) as f64,
            taken as f64 / memory.max(1.0),
        );
    }

    fn mix(&mut self, prefill: f64, decode: f64) {
        // The first samples count evenly, so that the use is known soon.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.prefill += weight * (prefill - self.prefill);
        self.decode += weight * (decode - self.decode);
        self.samples += 1;
    }

    /// Forgets the samples, since the engines have changed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The role of which one engine should change to the other, if any.
    pub fn change(&self, readers: usize, makers: usize) -> Option<Role> {
        let highest = self.prefill.max(self.decode);
        if self.samples < SAMPLES_MIN || highest < USE_MIN {
            return None;
        }
        let after = |readers_after: usize, makers_after: usize| {
            let prefill = self.prefill * readers as f64 / readers_after as f64;
            let decode = self.decode * makers as f64 / makers_after as f64;
            prefill.max(decode)
        };
        if readers > KEPT && after(readers - 1, makers + 1) < highest * GAIN {
            Some(Role::Prefill)
        } else if makers > KEPT && after(readers + 1, makers - 1) < highest * GAIN {
            Some(Role::Decode)
        } else {
            None
        }
    }
}

/// The engine that should change its role and the role that it should take, if any.
pub fn choose(pool: &Pool, endpoint: &id::Endpoint, used: &Use) -> Option<(Runner, Role)> {
    let readers = ready(pool, endpoint, Role::Prefill);
    let makers = ready(pool, endpoint, Role::Decode);
    let from = used.change(readers.len(), makers.len())?;
    let (engines, to) = match from {
        Role::Prefill => (readers, Role::Decode),
        Role::Decode => (makers, Role::Prefill),
    };
    let least = engines
        .into_iter()
        .min_by_key(|runner| (runner.load().requests, runner.card.runner.clone()))?;
    Some((least, to))
}
