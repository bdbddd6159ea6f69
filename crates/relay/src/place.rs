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
use crate::pool::{Load, Pool, Role, Runner, Standing};

/// What a runner is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Want {
    /// One exchange with a plain service.
    Plain,
    /// Reading a prompt.
    Prefill,
    /// Generating a stream.
    Decode,
}

impl Want {
    fn fits(self, role: Option<Role>) -> bool {
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
pub enum Room {
    /// As much as it needs.
    Needed,
    /// As much as it needs, and some that is left to others.
    Spare,
    /// As much as it needs, to the last of what there is.
    Last,
}

impl Room {
    /// Share of an engine's memory up to which it has room.
    fn share(self) -> f64 {
        match self {
            Self::Needed => MEMORY_SHARE,
            Self::Spare => MEMORY_SHARE_LATE,
            Self::Last => 1.0,
        }
    }
}

/// Where and for whom a runner is sought.
#[derive(Debug)]
pub struct Search<'a> {
    /// The endpoint.
    pub endpoint: &'a id::Endpoint,
    /// What for.
    pub want: Want,
    /// Availability zone of this VM.
    pub zone: &'a id::Zone,
    /// Runners that failed the call before.
    pub tried: &'a [id::Runner],
    /// How long a leaving runner may still be used where no other is left.
    pub drain: Duration,
    /// Work that the call would add.
    pub load: Load,
    /// Whether room is needed; not where what was read already would be lost.
    pub room: Room,
    /// The engines' bounds, where the runners are engines.
    pub engine: Option<Engine>,
}

/// Picks a runner, or none where none takes work.
pub fn pick<'a>(
    pool: &'a Pool,
    search: &Search<'_>,
    now: Duration,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let fits: Vec<&Runner> = pool
        .of(search.endpoint)
        .filter(|runner| search.want.fits(runner.card.role) && !runner.displaced)
        .filter(|runner| search.want != Want::Decode || has_room(runner, search))
        .collect();
    let ready = |runner: &&&Runner| runner.standing == Standing::Ready;
    let fresh = |runner: &&&Runner| !search.tried.contains(&runner.card.runner);
    let awake = |runner: &&&Runner| !rests(runner, search.want, now);
    let usable = |runner: &&&Runner| is_usable(runner, search.drain, now);
    let tiers: [Vec<&Runner>; 4] = [
        fits.iter()
            .filter(ready)
            .filter(fresh)
            .filter(awake)
            .copied()
            .collect(),
        fits.iter().filter(ready).filter(awake).copied().collect(),
        fits.iter()
            .filter(usable)
            .filter(fresh)
            .filter(awake)
            .copied()
            .collect(),
        fits.iter().filter(ready).filter(fresh).copied().collect(),
    ];
    let tier = tiers.iter().find(|tier| !tier.is_empty())?;
    match search.want {
        // Loads of plain services are not shared between VMs.
        Want::Plain => {
            let two: Vec<&&Runner> = tier.choose_multiple(rng, 2).collect();
            two.into_iter()
                .min_by_key(|runner| cost(runner, search, now))
                .copied()
        }
        Want::Prefill | Want::Decode => tier
            .iter()
            .min_by_key(|runner| cost(runner, search, now) + spread(search.want, rng))
            .copied(),
    }
}

/// Tells whether a runner is to be left alone for now.
pub fn rests(runner: &Runner, want: Want, now: Duration) -> bool {
    let full = runner.full_at.is_some_and(|at| at + FULL_REST > now);
    let kv = want == Want::Prefill && runner.kv_rest_until > now;
    full || kv || runner.judge.rests(now)
}

/// A part of the cost that is drawn anew each time, so that VMs that see the same loads do not all
/// take the same engine before they hear of each other.
fn spread(want: Want, rng: &mut impl Rng) -> Duration {
    let most = match want {
        Want::Plain => Duration::ZERO,
        Want::Prefill => PREFILL_SPREAD,
        Want::Decode => STREAM_COST,
    };
    most.mul_f64(rng.random())
}

fn is_usable(runner: &Runner, drain: Duration, now: Duration) -> bool {
    match runner.standing {
        Standing::Ready => true,
        Standing::Leaving { since } => since + drain > now,
    }
}

/// Tells whether an engine has a slot and KV memory for the call, by what all VMs told.
fn has_room(runner: &Runner, search: &Search<'_>) -> bool {
    let Some(engine) = search.engine else {
        return true;
    };
    let load = runner.load();
    let memory = (engine.kv_tokens as f64 * search.room.share()) as u64;
    // A request that is larger than an empty engine is left to the engine to refuse.
    let alone = load.requests == 0;
    alone || (load.requests < engine.slots && load.tokens + search.load.tokens <= memory)
}

/// Number of calls like this one for which engines have room, by what all VMs told.
pub fn rooms(pool: &Pool, search: &Search<'_>) -> u32 {
    let Some(engine) = search.engine else {
        return u32::MAX;
    };
    let need = search.load.tokens.max(1);
    let memory = (engine.kv_tokens as f64 * search.room.share()) as u64;
    pool.of(search.endpoint)
        .filter(|runner| search.want.fits(runner.card.role) && runner.standing == Standing::Ready)
        .map(|runner| {
            let load = runner.load();
            let fits = memory.saturating_sub(load.tokens) / need;
            engine.slots.saturating_sub(load.requests).min(fits as u32)
        })
        .sum()
}

/// Requests at a plain runner, as far as this VM can tell.
fn ahead(runner: &Runner, now: Duration) -> u32 {
    let told = runner
        .told
        .filter(|(_, at)| at.saturating_add(TOLD_MAX_AGE) > now);
    let told = told.map_or(0, |(told, _)| told.running + told.waiting);
    told.max(runner.own.requests)
}

/// What the call is taken to cost at a runner, as a time.
pub fn cost(runner: &Runner, search: &Search<'_>, now: Duration) -> Duration {
    let failure = FAILURE_COST.mul_f64(runner.judge.share(now));
    let away = if runner.card.zone == *search.zone {
        Duration::ZERO
    } else {
        ZONE_COST
    };
    let load = runner.load();
    let work = match search.want {
        Want::Plain => {
            let usual = runner.judge.latency().unwrap_or(LATENCY_UNKNOWN);
            let slots = f64::from(runner.card.slots.max(1));
            usual.mul_f64(1.0 + f64::from(ahead(runner, now)) / slots)
        }
        Want::Prefill => runner.reading_time(load.unread + search.load.unread),
        Want::Decode => STREAM_COST * load.requests + runner.reading_time(load.unread),
    };
    work + failure + away
}
