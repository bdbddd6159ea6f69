//! The choice of a runner: among those that take work, the one expected to answer first.
//!
//! At engines, VMs tell each other what they have under way, so that each takes the least loaded
//! one that has memory left. At plain services a VM sees only its own requests and what runners told
//! of theirs some time ago: two runners are drawn at random and the better one is taken, so that VMs
//! that believe the same do not all choose the same.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::Rng;

use crate::id;
use crate::manifest::Engine;
use crate::pool::{Load, Pool, Role, Runner, Status};

/// What a runner is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// One exchange with a plain service.
    Plain,
    /// Reading a prompt.
    Prefill,
    /// Generating a stream.
    Decode,
}

impl Purpose {
    fn accepts(self, role: Option<Role>) -> bool {
        match self {
            Self::Plain => true,
            Self::Prefill => role == Some(Role::Prefill),
            Self::Decode => role != Some(Role::Prefill),
        }
    }
}

/// Age after which a runner's word on its load counts nothing.
const TOLD_MAX_AGE: Duration = Duration::from_millis(400);
/// Time of an answer where none has come yet: short, so that a new runner is tried soon.
const LATENCY_UNKNOWN: Duration = Duration::from_millis(10);
/// What a certain failure is taken to cost, as a time.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// What another availability zone is taken to cost, as a time.
const ZONE_COST: Duration = Duration::from_millis(4);
/// What one stream more at an engine costs all of its streams together, as a time.
const STREAM_COST: Duration = Duration::from_millis(30);
/// Spread of the choice of an engine that reads prompts.
const PREFILL_SPREAD: Duration = Duration::from_millis(40);
/// How long a runner is passed over after it refused for lack of room.
const FULL_REST: Duration = Duration::from_millis(60);
/// Share of an engine's KV memory that is given out; the rest is for answers that grow longer than
/// expected, since an engine without memory drops what it has read.
const MEMORY_SHARE: f64 = 0.82;
/// The same for a call that can't be on time any more: it takes what others leave.
const MEMORY_SHARE_LATE: f64 = 0.7;

/// How much room an engine must have for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Headroom {
    /// As much as it needs.
    Normal,
    /// As much as it needs, and some that is left to others.
    Extra,
    /// As much as it needs, to the last of what there is.
    Zero,
}

impl Headroom {
    /// Share of an engine's memory up to which it has room.
    fn memory_share(self) -> f64 {
        match self {
            Self::Normal => MEMORY_SHARE,
            Self::Extra => MEMORY_SHARE_LATE,
            Self::Zero => 1.0,
        }
    }
}

/// Where and for whom a runner is sought.
#[derive(Debug)]
pub struct Query<'a> {
    /// The endpoint.
    pub endpoint: &'a id::Endpoint,
    /// What for.
    pub purpose: Purpose,
    /// Availability zone of this VM.
    pub zone: &'a id::Zone,
    /// Runners that failed the call before.
    pub tried: &'a [id::Runner],
    /// How long a leaving runner may still be used where no other is left.
    pub drain: Duration,
    /// Work that the call would add.
    pub load: Load,
    /// Whether room is needed; not where what was read already would be lost.
    pub headroom: Headroom,
    /// The engines' bounds, where the runners are engines.
    pub engine: Option<Engine>,
}

/// Picks a runner, or none where none takes work.
pub fn pick<'a>(
    pool: &'a Pool,
    query: &Query<'_>,
    now: Duration,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let candidates: Vec<&Runner> = pool
        .at_endpoint(query.endpoint)
        .filter(|runner| query.purpose.accepts(runner.descriptor.role) && !runner.displaced)
        .filter(|runner| query.purpose != Purpose::Decode || has_capacity(runner, query))
        .collect();
    let ready = |runner: &&&Runner| runner.status == Status::Ready;
    let fresh = |runner: &&&Runner| !query.tried.contains(&runner.descriptor.runner);
    let available = |runner: &&&Runner| !is_cooling_down(runner, query.purpose, now);
    let usable = |runner: &&&Runner| is_usable(runner, query.drain, now);
    let tiers: [Vec<&Runner>; 4] = [
        candidates
            .iter()
            .filter(ready)
            .filter(fresh)
            .filter(available)
            .copied()
            .collect(),
        candidates
            .iter()
            .filter(ready)
            .filter(available)
            .copied()
            .collect(),
        candidates
            .iter()
            .filter(usable)
            .filter(fresh)
            .filter(available)
            .copied()
            .collect(),
        candidates
            .iter()
            .filter(ready)
            .filter(fresh)
            .copied()
            .collect(),
    ];
    let tier = tiers.iter().find(|tier| !tier.is_empty())?;
    match query.purpose {
        // Loads of plain services are not shared between VMs.
        Purpose::Plain => {
            let two: Vec<&&Runner> = tier.choose_multiple(rng, 2).collect();
            two.into_iter()
                .min_by_key(|runner| cost(runner, query, now))
                .copied()
        }
        Purpose::Prefill | Purpose::Decode => tier
            .iter()
            .min_by_key(|runner| cost(runner, query, now) + jitter(query.purpose, rng))
            .copied(),
    }
}

/// Tells whether a runner is to be left alone for now.
pub fn is_cooling_down(runner: &Runner, purpose: Purpose, now: Duration) -> bool {
    let full = runner.last_full_at.is_some_and(|at| at + FULL_REST > now);
    let kv = purpose == Purpose::Prefill && runner.kv_cooldown_until > now;
    full || kv || runner.breaker.is_open(now)
}

/// A part of the cost that is drawn anew each time, so that VMs that see the same loads do not all
/// take the same engine before they hear of each other.
fn jitter(purpose: Purpose, rng: &mut impl Rng) -> Duration {
    let bound = match purpose {
        Purpose::Plain => Duration::ZERO,
        Purpose::Prefill => PREFILL_SPREAD,
        Purpose::Decode => STREAM_COST,
    };
    bound.mul_f64(rng.random())
}

fn is_usable(runner: &Runner, drain: Duration, now: Duration) -> bool {
    match runner.status {
        Status::Ready => true,
        Status::Leaving { started_at } => started_at + drain > now,
    }
}

/// Tells whether an engine has a slot and KV memory for the call, by what all VMs told.
fn has_capacity(runner: &Runner, query: &Query<'_>) -> bool {
    let Some(engine) = query.engine else {
        return true;
    };
    let load = runner.load();
    let memory = (engine.kv_capacity_tokens as f64 * query.headroom.memory_share()) as u64;
    // A request that is larger than an empty engine is left to the engine to refuse.
    let alone = load.requests == 0;
    alone || (load.requests < engine.slots && load.tokens + query.load.tokens <= memory)
}

/// Number of calls like this one for which engines have room, by what all VMs told.
pub fn free_capacity(pool: &Pool, query: &Query<'_>) -> u32 {
    let Some(engine) = query.engine else {
        return u32::MAX;
    };
    let need = query.load.tokens.max(1);
    let memory = (engine.kv_capacity_tokens as f64 * query.headroom.memory_share()) as u64;
    pool.at_endpoint(query.endpoint)
        .filter(|runner| {
            query.purpose.accepts(runner.descriptor.role) && runner.status == Status::Ready
        })
        .map(|runner| {
            let load = runner.load();
            let by_memory = memory.saturating_sub(load.tokens) / need;
            engine
                .slots
                .saturating_sub(load.requests)
                .min(by_memory as u32)
        })
        .sum()
}

/// Requests at a plain runner, as far as this VM can tell.
fn queue_length(runner: &Runner, now: Duration) -> u32 {
    let reported = runner
        .reported
        .filter(|(_, at)| at.saturating_add(TOLD_MAX_AGE) > now);
    let reported = reported.map_or(0, |(reported, _)| reported.running + reported.waiting);
    reported.max(runner.local_load.requests)
}

/// What the call is taken to cost at a runner, as a time.
pub fn cost(runner: &Runner, query: &Query<'_>, now: Duration) -> Duration {
    let failure_penalty = FAILURE_COST.mul_f64(runner.breaker.failure_rate(now));
    let zone_penalty = if runner.descriptor.zone == *query.zone {
        Duration::ZERO
    } else {
        ZONE_COST
    };
    let load = runner.load();
    let work = match query.purpose {
        Purpose::Plain => {
            let usual = runner.breaker.latency().unwrap_or(LATENCY_UNKNOWN);
            let slots = f64::from(runner.descriptor.slots.max(1));
            usual.mul_f64(1.0 + f64::from(queue_length(runner, now)) / slots)
        }
        Purpose::Prefill => runner.prefill_time(load.prefill_tokens + query.load.prefill_tokens),
        Purpose::Decode => STREAM_COST * load.requests + runner.prefill_time(load.prefill_tokens),
    };
    work + failure_penalty + zone_penalty
}
