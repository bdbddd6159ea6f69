//! Placement: picks the runner that is expected to respond first.
//!
//! For engines, VMs share their loads in flight, so that each VM takes the least loaded engine with
//! free memory. For plain services, a VM knows only its own requests and the load that runners
//! reported some time ago; it samples two runners at random and takes the better one, so that VMs
//! with the same information do not all pick the same runner. Where runners report slowdowns, it samples
//! them by their speed, and passes over those that are known to be full.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::Rng;

use crate::duration::Scale as _;
use crate::id;
use crate::manifest::Engine;
use crate::pool::{Load, Pool, Role, Runner, Status};
use crate::speed::Field;

/// What a runner is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A request to a plain service.
    Plain,
    /// Prefilling a prompt.
    Prefill,
    /// Generating a stream.
    Decode,
}

impl Purpose {
    /// Whether a runner of a role serves this purpose.
    pub fn accepts(self, role: Option<Role>) -> bool {
        match self {
            Self::Plain => true,
            Self::Prefill => role == Some(Role::Prefill),
            Self::Decode => role != Some(Role::Prefill),
        }
    }
}

/// Age from which a load reported by a runner is ignored.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);
/// Assumed latency of a runner without a response so far: low, so that a new runner is tried soon.
const LATENCY_DEFAULT: Duration = Duration::from_millis(10);
/// Least time against the median one for which a plain runner is preferred.
const SLOWNESS_MIN: f64 = 0.05;
/// Cost of a certain failure, as a duration.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// Cost of a runner in another availability zone, as a duration.
const ZONE_COST: Duration = Duration::from_millis(4);
/// Cost of one more stream at an engine to all of its streams together, as a duration.
pub(crate) const STREAM_COST: Duration = Duration::from_millis(30);
/// Upper bound of the random part of the cost of a prefill runner.
const PREFILL_JITTER: Duration = Duration::from_millis(40);
/// How long a runner is skipped after it declined for lack of capacity.
const FULL_COOLDOWN: Duration = Duration::from_millis(60);
/// Fraction of an engine's KV memory that is allocated. The rest is reserved for responses that
/// grow longer than expected, since an engine that runs out of memory drops what it has prefilled.
const MEMORY_FRACTION: f64 = 0.82;
/// The same for a call that can no longer meet its latency target, which takes only what others
/// leave.
const MEMORY_FRACTION_LATE: f64 = 0.7;

/// How much of an engine's KV memory must stay free after a call is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Headroom {
    /// The reserve for responses that grow longer than expected.
    Normal,
    /// More than that, so that capacity is left to other calls.
    Extra,
    /// Nothing; the call may use all of the memory.
    Zero,
}

impl Headroom {
    /// Fraction of an engine's KV memory that may be allocated.
    fn memory_fraction(self) -> f64 {
        match self {
            Self::Normal => MEMORY_FRACTION,
            Self::Extra => MEMORY_FRACTION_LATE,
            Self::Zero => 1.0,
        }
    }
}

/// Requirements of a call on a runner.
#[derive(Debug)]
pub struct Query<'a> {
    /// The endpoint.
    pub endpoint: &'a id::Endpoint,
    /// What the runner is needed for.
    pub purpose: Purpose,
    /// Software version that the runner must have; none if any will do.
    pub build: Option<&'a id::Build>,
    /// Availability zone of this VM.
    pub zone: &'a id::Zone,
    /// Runners that failed the call already.
    pub tried: &'a [id::Runner],
    /// How long a leaving runner may still be used if no other is left.
    pub drain_timeout: Duration,
    /// Load that the call would add.
    pub load: Load,
    /// Memory to keep free; none for a call whose finished prefill would otherwise be lost.
    pub headroom: Headroom,
    /// Limits of the engines, if the runners are engines.
    pub engine: Option<Engine>,
}

/// Picks a runner; none if no runner is eligible.
pub fn pick<'a>(
    pool: &'a Pool,
    query: &Query<'_>,
    now: Duration,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let candidates: Vec<&Runner> = eligible(pool, query, now)
        .filter(|runner| query.purpose != Purpose::Decode || has_capacity(runner, query))
        .collect();
    let ready = |runner: &&&Runner| runner.status == Status::Ready;
    let untried = |runner: &&&Runner| !query.tried.contains(&runner.descriptor.runner);
    let available = |runner: &&&Runner| !is_cooling_down(runner, query.purpose, now);
    let usable = |runner: &&&Runner| is_usable(runner, query.drain_timeout, now);
    // In order of preference; the first tier with any runner is used.
    let tiers: [Vec<&Runner>; 4] = [
        candidates
            .iter()
            .filter(ready)
            .filter(untried)
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
            .filter(untried)
            .filter(available)
            .copied()
            .collect(),
        candidates
            .iter()
            .filter(ready)
            .filter(untried)
            .copied()
            .collect(),
    ];
    let tier = tiers.iter().find(|tier| !tier.is_empty())?;
    let field = Field::new(pool, query.endpoint, query.purpose);
    let field = field.as_ref();
    match query.purpose {
        Purpose::Plain if field.is_some() => pick_by_speed(tier, query, field?, now, rng),
        // Loads of plain services are not shared between VMs, so the VM compares a random pair.
        Purpose::Plain => {
            let sample: Vec<&&Runner> = tier.choose_multiple(rng, 2).collect();
            sample
                .into_iter()
                .min_by_key(|runner| cost(runner, query, None, now))
                .copied()
        }
        Purpose::Prefill | Purpose::Decode => tier
            .iter()
            .min_by_key(|runner| cost(runner, query, field, now) + jitter(query.purpose, rng))
            .copied(),
    }
}

/// Picks a plain runner where runners report slowdowns: samples two, faster ones more often, and takes the
/// one that is expected to respond first. Runners that are known to be full are passed over while
/// another is not.
fn pick_by_speed<'a>(
    tier: &[&'a Runner],
    query: &Query<'_>,
    field: &Field,
    now: Duration,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let (full, free): (Vec<&Runner>, Vec<&Runner>) = tier
        .iter()
        .copied()
        .partition(|runner| is_full(runner, field, now));
    let candidates = if free.is_empty() { full } else { free };
    let weight = |runner: &&Runner| {
        let slots = f64::from(runner.descriptor.slots.max(1));
        slots / field.usual_slowness(runner).max(SLOWNESS_MIN)
    };
    let sample = candidates.choose_multiple_weighted(rng, 2, weight);
    let sample = sample.into_iter().flatten();
    sample
        .min_by_key(|runner| cost(runner, query, Some(field), now))
        .copied()
}

/// Whether a plain runner is known to have no free slot.
fn is_full(runner: &Runner, field: &Field, now: Duration) -> bool {
    let slots = runner.descriptor.slots.max(1);
    if runner.local_load.requests >= slots {
        return true;
    }
    let Some((reported, at)) = runner.reported else {
        return false;
    };
    let busy = reported.running.saturating_add(reported.waiting);
    let service = field.current_time(runner, now).unwrap_or(LATENCY_DEFAULT);
    // Until its queue is worked off, or a slot becomes free.
    let busy_for = service.scale(f64::from(busy) / f64::from(slots));
    busy >= slots && at + busy_for.min(REPORT_AGE_MAX) > now
}

/// Picks a leaving runner that may still be used.
pub fn pick_draining<'a>(pool: &'a Pool, query: &Query<'_>, now: Duration) -> Option<&'a Runner> {
    let field = Field::new(pool, query.endpoint, query.purpose);
    eligible(pool, query, now)
        .filter(|runner| is_draining_usable(runner, query, now))
        .filter(|runner| !is_cooling_down(runner, query.purpose, now))
        .filter(|runner| has_capacity(runner, query))
        .min_by_key(|runner| cost(runner, query, field.as_ref(), now))
}

/// Whether any runner may get the call, now or once it has capacity.
pub fn has_usable(pool: &Pool, query: &Query<'_>, now: Duration) -> bool {
    let is_ready = |runner: &Runner| runner.status == Status::Ready;
    eligible(pool, query, now)
        .any(|runner| is_ready(runner) || is_draining_usable(runner, query, now))
}

/// Whether a runner that accepts requests has room for the call now.
pub fn has_room(pool: &Pool, query: &Query<'_>, now: Duration) -> bool {
    eligible(pool, query, now).any(|runner| {
        runner.status == Status::Ready
            && !query.tried.contains(&runner.descriptor.runner)
            && !is_cooling_down(runner, query.purpose, now)
            && has_capacity(runner, query)
    })
}

/// Whether the runners that may get the call are all cooling down, some of them though they respond.
pub fn is_awaiting_cooldown(pool: &Pool, query: &Query<'_>, now: Duration) -> bool {
    let responds = |runner: &&Runner| !runner.breaker.is_open(now);
    let mut candidates = eligible(pool, query, now)
        .filter(|runner| is_usable(runner, query.drain_timeout, now))
        .filter(responds)
        .peekable();
    let has_any = candidates.peek().is_some();
    has_any && candidates.all(|runner| is_cooling_down(runner, query.purpose, now))
}

/// The runners that serve the purpose, have the build, and have not asked for no requests.
fn eligible<'a, 'q>(
    pool: &'a Pool,
    query: &'q Query<'_>,
    now: Duration,
) -> impl Iterator<Item = &'a Runner> + use<'a, 'q> {
    pool.at_endpoint(query.endpoint)
        .filter(|runner| query.purpose.accepts(runner.descriptor.role) && !runner.displaced)
        .filter(move |runner| !runner.is_held_back && !runner.is_resting(now))
        .filter(|runner| runner.descriptor.is_of_build(query.build))
}

/// Whether a runner is leaving, has not failed the call, and may still be used.
fn is_draining_usable(runner: &Runner, query: &Query<'_>, now: Duration) -> bool {
    runner.status != Status::Ready
        && !query.tried.contains(&runner.descriptor.runner)
        && is_usable(runner, query.drain_timeout, now)
}

/// Whether a runner should get no request of this kind for now.
pub fn is_cooling_down(runner: &Runner, purpose: Purpose, now: Duration) -> bool {
    let full = runner
        .last_full_at
        .is_some_and(|at| at + FULL_COOLDOWN > now);
    let kv = purpose == Purpose::Prefill && runner.kv_cooldown_until > now;
    full || kv || runner.is_resting(now) || runner.breaker.is_open(now)
}

/// A random part of the cost, so that VMs with the same view of the loads do not all pick the same
/// engine before they receive each other's updates.
fn jitter(purpose: Purpose, rng: &mut impl Rng) -> Duration {
    let bound = match purpose {
        Purpose::Plain => Duration::ZERO,
        Purpose::Prefill => PREFILL_JITTER,
        Purpose::Decode => STREAM_COST,
    };
    bound.scale(rng.random())
}

/// Whether a runner may get requests: one that leaves may until the end of its drain timeout.
pub fn is_usable(runner: &Runner, drain_timeout: Duration, now: Duration) -> bool {
    match runner.status {
        Status::Ready => true,
        Status::Leaving { started_at } => started_at + drain_timeout > now,
    }
}

/// Whether an engine has a free slot and enough KV memory for the call, by the loads of all VMs.
fn has_capacity(runner: &Runner, query: &Query<'_>) -> bool {
    let Some(engine) = query.engine else {
        return true;
    };
    let load = runner.load();
    let memory = (engine.kv_capacity_tokens as f64 * query.headroom.memory_fraction()) as u64;
    // A request that exceeds even an idle engine is left for the engine to decline.
    let is_idle = load.requests == 0;
    is_idle
        || (load.requests < engine.slots && load.tokens.saturating_add(query.load.tokens) <= memory)
}

/// Number of calls of this size for which engines have capacity, by the loads of all VMs; unlimited
/// if the runners are not engines.
pub fn free_capacity(pool: &Pool, query: &Query<'_>) -> u32 {
    let Some(engine) = query.engine else {
        return u32::MAX;
    };
    let tokens_per_call = query.load.tokens.max(1);
    let memory = (engine.kv_capacity_tokens as f64 * query.headroom.memory_fraction()) as u64;
    pool.at_endpoint(query.endpoint)
        .filter(|runner| {
            query.purpose.accepts(runner.descriptor.role) && runner.status == Status::Ready
        })
        .filter(|runner| runner.descriptor.is_of_build(query.build))
        .map(|runner| {
            let load = runner.load();
            let by_memory = memory.saturating_sub(load.tokens) / tokens_per_call;
            engine
                .slots
                .saturating_sub(load.requests)
                .min(by_memory as u32)
        })
        .fold(0, u32::saturating_add)
}

/// Requests queued or running at a plain runner: as reported by it recently, or as counted by this
/// VM if that is more.
fn queue_length(runner: &Runner, now: Duration) -> u32 {
    let reported = runner
        .reported
        .filter(|(_, at)| at.saturating_add(REPORT_AGE_MAX) > now);
    let reported = reported.map_or(0, |(reported, _)| {
        reported.running.saturating_add(reported.waiting)
    });
    reported.max(runner.local_load.requests)
}

/// Cost of the failures that are expected at a runner, as a duration.
pub fn failure_cost(runner: &Runner, now: Duration) -> Duration {
    FAILURE_COST.scale(runner.breaker.failure_rate(now))
}

/// Expected cost of one more stream at a decode engine where engines report slowdowns, as a duration: the
/// streams there, with the new one, slow each other down in proportion to the time of an event.
pub(crate) fn stream_cost(requests: u32, slowness: f64) -> Duration {
    STREAM_COST.scale((f64::from(requests) + 1.0) * slowness)
}

/// Expected time until a prefill engine has prefilled this many tokens.
pub(crate) fn prefill_time(
    runner: &Runner,
    tokens: u64,
    field: Option<&Field>,
    now: Duration,
) -> Duration {
    let time = field.and_then(|field| field.current_time(runner, now));
    match time {
        Some(time) => time.scale(tokens as f64),
        None => runner.prefill_time(tokens),
    }
}

/// Expected time of a plain request at a runner: in its queue, and at work.
fn plain_time(runner: &Runner, field: &Field, now: Duration) -> Duration {
    let time = field.current_time(runner, now).unwrap_or(LATENCY_DEFAULT);
    let slots = f64::from(runner.descriptor.slots.max(1));
    let ahead = f64::from(queue_length(runner, now));
    time.scale(1.0 + ahead / slots)
}

/// Expected cost of placing the call at a runner, as a duration. `field` is the stage that the runner is
/// of, where runners report slowdowns.
pub fn cost(runner: &Runner, query: &Query<'_>, field: Option<&Field>, now: Duration) -> Duration {
    let failure_penalty = failure_cost(runner, now);
    let zone_penalty = if runner.descriptor.zone == *query.zone {
        Duration::ZERO
    } else {
        ZONE_COST
    };
    let load = runner.load();
    let work = match (query.purpose, field) {
        (Purpose::Plain, Some(field)) => plain_time(runner, field, now),
        (Purpose::Decode, Some(field)) => {
            stream_cost(load.requests, field.slowness(runner, now))
                + runner.prefill_time(load.prefill_tokens)
        }
        (Purpose::Plain, None) => {
            let latency = runner.breaker.latency().unwrap_or(LATENCY_DEFAULT);
            let slots = f64::from(runner.descriptor.slots.max(1));
            latency.scale(1.0 + f64::from(queue_length(runner, now)) / slots)
        }
        (Purpose::Prefill, _) => {
            let tokens = load
                .prefill_tokens
                .saturating_add(query.load.prefill_tokens);
            prefill_time(runner, tokens, field, now)
        }
        (Purpose::Decode, None) => {
            STREAM_COST * load.requests + runner.prefill_time(load.prefill_tokens)
        }
    };
    work + failure_penalty + zone_penalty
}
