//! One pass over the calls that wait: finds engines for each, as far as there are any.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::exclusion::Exclusions;
use super::{group_of, Ask, Group, Limits, Urgency};
use crate::duration::Scale as _;
use crate::id;
use crate::manifest::Engine;
use crate::placement::{self, STREAM_COST};
use crate::pool::{Descriptor, Load, Pool, Role, Runner, Status};
use crate::speed::Field;

/// Cost of moving a KV cache between availability zones, as a duration.
const ZONE_COST: Duration = Duration::from_millis(15);

/// Weight of the recent work of a prefill engine against the time that the call takes there.
const PREFILL_BALANCE: f64 = 1.0;
/// The same for a decode engine.
const DECODE_BALANCE: f64 = 0.8;

/// The engines chosen for a call, and the load that it adds there.
pub(super) struct Placement {
    pub(super) decode: id::Runner,
    pub(super) prefill: Option<id::Runner>,
    pub(super) queued_tokens: u64,
    pub(super) added: Vec<(id::Runner, Load)>,
}

/// What calls that find no room have in common.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Kind {
    endpoint: id::Endpoint,
    build: Option<id::Build>,
    group: Group,
    groups: u32,
    /// KV memory of an engine that may be in use, in tokens.
    memory: u64,
}

/// One pass over the calls that wait.
pub(super) struct Round<'a> {
    pool: &'a Pool,
    engines: &'a BTreeMap<id::Endpoint, Engine>,
    limits: Limits,
    now: Duration,
    /// The load at each engine, with what this pass has granted.
    loads: HashMap<id::Runner, Load>,
    /// Requests that the engines which name a limit may still get.
    allowances: HashMap<id::Runner, u32>,
    exclusions: &'a Exclusions,
    /// Size of the smallest call of each kind that found no room; a larger one finds none either.
    refused: HashMap<Kind, u64>,
    /// The prefill engine with the shortest queue at the start of the pass, by endpoint.
    prefill: HashMap<&'a id::Endpoint, Option<(&'a Runner, u64)>>,
    /// Kinds of calls of which the first without room has room kept.
    kept: HashSet<(id::Endpoint, Option<id::Build>, Group)>,
}

impl<'a> Round<'a> {
    /// Starts a pass with the load at each engine.
    pub(super) fn new(
        pool: &'a Pool,
        engines: &'a BTreeMap<id::Endpoint, Engine>,
        limits: Limits,
        loads: HashMap<id::Runner, Load>,
        allowances: HashMap<id::Runner, u32>,
        exclusions: &'a Exclusions,
        now: Duration,
    ) -> Self {
        Self {
            pool,
            engines,
            limits,
            now,
            loads,
            allowances,
            exclusions,
            refused: HashMap::new(),
            prefill: HashMap::new(),
            kept: HashSet::new(),
        }
    }

    /// Expected time until the prompt of a call is prefilled, if it gets capacity now.
    pub(super) fn time_to_prefill(&mut self, ask: &Ask) -> Duration {
        if ask.prefill_tokens == 0 {
            return Duration::ZERO;
        }
        let Some((endpoint, _)) = self.engines.get_key_value(&ask.endpoint) else {
            return Duration::ZERO;
        };
        let (pool, loads) = (self.pool, &self.loads);
        let found = self.prefill.entry(endpoint).or_insert_with(|| {
            let engines = pool.at_endpoint(endpoint);
            let ready = engines.filter(|runner| {
                runner.descriptor.role == Some(Role::Prefill) && runner.status == Status::Ready
            });
            let queued = ready.map(|runner| {
                let load = loads.get(&runner.descriptor.runner);
                (runner, load.map_or(0, |load| load.prefill_tokens))
            });
            queued.min_by_key(|(runner, queued)| {
                (runner.prefill_time(*queued), &runner.descriptor.runner)
            })
        });
        found.map_or(Duration::ZERO, |(runner, queued)| {
            runner.prefill_time(queued.saturating_add(ask.prefill_tokens))
        })
    }

    /// Keeps room for a call that found none, at the decode engine with the least load: the calls after it in the
    /// order don't get what becomes free there. Room is kept for one call of a kind.
    pub(super) fn keep_room(&mut self, ask: &Ask) {
        let kind = (ask.endpoint.clone(), ask.build.clone(), ask.group);
        if !self.kept.insert(kind) {
            return;
        }
        let search = self.search(ask);
        let candidates = search.candidates(Role::Decode);
        let least = candidates.min_by_key(|runner| {
            let load = search.load(runner);
            (load.tokens, runner.descriptor.runner.clone())
        });
        let Some(runner) = least.map(|runner| runner.descriptor.runner.clone()) else {
            return;
        };
        let kept = Load {
            requests: 1,
            tokens: ask.tokens,
            prefill_tokens: 0,
        };
        self.loads.entry(runner).or_default().add(kept);
    }

    /// Finds engines for a call, and counts its load there.
    pub(super) fn place(&mut self, ask: &Ask, urgency: Urgency) -> Option<Placement> {
        let engine = self.engines.get(&ask.endpoint)?;
        let memory = self.memory(engine, ask, urgency);
        let kind = Kind {
            endpoint: ask.endpoint.clone(),
            build: ask.build.clone(),
            group: ask.group,
            groups: ask.groups,
            memory,
        };
        if self
            .refused
            .get(&kind)
            .is_some_and(|tokens| *tokens <= ask.tokens)
        {
            return None;
        }
        let search = self.search(ask);
        let holder = search.find_holder(engine, memory);
        let Some(decode) = holder.or_else(|| search.find_decode(engine, memory)) else {
            if ask.excluded.is_empty() {
                self.refused.insert(kind, ask.tokens);
            }
            return None;
        };
        let needs_prefill = holder.is_none() && ask.prefill_tokens > 0;
        let prefill = needs_prefill.then(|| search.find_prefill(&decode.descriptor));
        let prefill = prefill.flatten();
        let queued_tokens = prefill.map_or(0, |runner| search.load(runner).prefill_tokens);
        let decode = decode.descriptor.runner.clone();
        let prefill = prefill.map(|runner| runner.descriptor.runner.clone());
        let added = added_loads(ask, needs_prefill, &decode, prefill.as_ref());
        for (runner, load) in &added {
            self.loads.entry(runner.clone()).or_default().add(*load);
            if let Some(left) = self.allowances.get_mut(runner) {
                *left = left.saturating_sub(1);
            }
        }
        Some(Placement {
            decode,
            prefill,
            queued_tokens,
            added,
        })
    }

    fn search<'b>(&'b self, ask: &'b Ask) -> Search<'b> {
        Search {
            pool: self.pool,
            loads: &self.loads,
            allowances: &self.allowances,
            exclusions: self.exclusions,
            ask,
            limits: self.limits,
            now: self.now,
        }
    }

    /// KV memory of an engine that may be in use once the call is placed, in tokens.
    fn memory(&self, engine: &Engine, ask: &Ask, urgency: Urgency) -> u64 {
        let fraction = match (urgency, ask.prefill_tokens) {
            // A prompt that has been prefilled is not wasted for want of a reserve.
            (_, 0) => 1.0,
            (Urgency::Late, _) => self.limits.memory_fraction_late,
            _ => self.limits.memory_fraction,
        };
        (engine.kv_capacity_tokens as f64 * fraction) as u64
    }
}

/// The load that a call adds once it is granted capacity.
fn added_loads(
    ask: &Ask,
    needs_prefill: bool,
    decode: &id::Runner,
    prefill: Option<&id::Runner>,
) -> Vec<(id::Runner, Load)> {
    let at_decode = Load {
        requests: 1,
        tokens: ask.tokens,
        prefill_tokens: if needs_prefill && prefill.is_none() {
            ask.prefill_tokens
        } else {
            0
        },
    };
    let mut added = vec![(decode.clone(), at_decode)];
    if let Some(prefill) = prefill {
        let at_prefill = Load {
            requests: 1,
            tokens: ask.prefill_tokens,
            prefill_tokens: ask.prefill_tokens,
        };
        added.push((prefill.clone(), at_prefill));
    }
    added
}

/// The choice of engines for one call.
struct Search<'a> {
    pool: &'a Pool,
    loads: &'a HashMap<id::Runner, Load>,
    allowances: &'a HashMap<id::Runner, u32>,
    exclusions: &'a Exclusions,
    ask: &'a Ask,
    limits: Limits,
    now: Duration,
}

impl<'a> Search<'a> {
    fn load(&self, runner: &Runner) -> Load {
        let load = self.loads.get(&runner.descriptor.runner);
        load.copied().unwrap_or_default()
    }

    /// The engines of a role that may get the call.
    fn candidates(&self, role: Role) -> impl Iterator<Item = &'a Runner> {
        let ask = self.ask;
        let (exclusions, now) = (self.exclusions, self.now);
        let counts_all = self.limits.overload_control;
        let is_wanted = move |runner: &&Runner| {
            let name = &runner.descriptor.runner;
            let is_excluded = counts_all && exclusions.contains(name, now);
            !is_excluded && !ask.excluded.contains(name)
        };
        let of_group = self.engines_of_group(role);
        // A VM that wants none of the engines gets any, rather than none.
        let any = !of_group.clone().any(|runner| is_wanted(&runner));
        of_group.filter(move |runner| any || is_wanted(runner))
    }

    /// The engines of a role and of the build in the group that accept requests.
    fn engines_of_group(&self, role: Role) -> impl Iterator<Item = &'a Runner> + Clone {
        let (ask, now, allowances) = (self.ask, self.now, self.allowances);
        let purpose = match role {
            Role::Prefill => placement::Purpose::Prefill,
            Role::Decode => placement::Purpose::Decode,
        };
        self.pool.at_endpoint(&ask.endpoint).filter(move |runner| {
            purpose.accepts(runner.descriptor.role)
                && runner.descriptor.is_of_build(ask.build.as_ref())
                && runner.status == Status::Ready
                && !runner.displaced
                && allowances.get(&runner.descriptor.runner) != Some(&0)
                && !placement::is_cooling_down(runner, purpose, now)
                && group_of(&runner.descriptor.runner, ask.groups) == ask.group
        })
    }

    fn has_room(&self, runner: &Runner, engine: &Engine, memory: u64) -> bool {
        let load = self.load(runner);
        let fits =
            load.requests < engine.slots && load.tokens.saturating_add(self.ask.tokens) <= memory;
        load.requests == 0 || fits
    }

    /// The decode engine that holds the prompt of the call, if it has a free slot and enough free memory.
    fn find_holder(&self, engine: &Engine, memory: u64) -> Option<&'a Runner> {
        let holder = self.ask.holder.as_ref()?;
        let mut candidates = self.candidates(Role::Decode);
        let found = candidates.find(|runner| runner.descriptor.runner == *holder)?;
        self.has_room(found, engine, memory).then_some(found)
    }

    /// The least loaded decode engine with a free slot and enough free memory; one for which a prefill
    /// engine can prefill is preferred. A call that exceeds even an idle engine is left for the engine
    /// to decline.
    fn find_decode(&self, engine: &Engine, memory: u64) -> Option<&'a Runner> {
        let candidates = self.candidates(Role::Decode);
        let with_room: Vec<&Runner> = candidates
            .filter(|runner| self.has_room(runner, engine, memory))
            .collect();
        if with_room.is_empty() {
            return None;
        }
        let prefill: Vec<&Runner> = self.candidates(Role::Prefill).collect();
        let field = Field::new(self.pool, &self.ask.endpoint, placement::Purpose::Decode);
        let cost = |runner: &&Runner| {
            let load = self.load(runner);
            let failing = placement::failure_cost(runner, self.now);
            let streams = match &field {
                Some(field) => {
                    let slowness = field.slowness(runner, self.now);
                    let balance =
                        STREAM_COST.scale(DECODE_BALANCE * field.recent_work(runner, self.now));
                    placement::stream_cost(load.requests, slowness) + balance
                }
                None => STREAM_COST * load.requests,
            };
            let work = streams + runner.prefill_time(load.prefill_tokens);
            let must_prefill = !self.is_prefilled_for(&runner.descriptor, &prefill);
            let name = runner.descriptor.runner.clone();
            (must_prefill, work + failing, name)
        };
        with_room.into_iter().min_by_key(cost)
    }

    /// Whether a decode engine can read the KV cache of a prefill engine.
    fn can_read(&self, decode: &Descriptor, prefill: &Runner) -> bool {
        self.limits.kv_across_builds || prefill.descriptor.build == decode.build
    }

    /// Whether a decode engine need not prefill the prompt itself.
    fn is_prefilled_for(&self, decode: &Descriptor, prefill: &[&Runner]) -> bool {
        let mut prefill = prefill.iter();
        self.ask.prefill_tokens == 0 || prefill.any(|runner| self.can_read(decode, runner))
    }

    /// Cost of the recent work of a prefill engine: engines that are not busy at the moment get work in
    /// proportion to their speed, rather than the fastest one all of it.
    fn prefill_balance(&self, field: &Field, runner: &Runner) -> Duration {
        let call = field.median_time().unwrap_or_default();
        let call = call.scale(self.ask.prefill_tokens as f64);
        call.scale(PREFILL_BALANCE * field.recent_work(runner, self.now))
    }

    /// The prefill engine that is expected to finish first; one in the zone of the decode engine is
    /// preferred.
    fn find_prefill(&self, decode: &Descriptor) -> Option<&'a Runner> {
        let field = Field::new(self.pool, &self.ask.endpoint, placement::Purpose::Prefill);
        let cost = |runner: &&Runner| {
            let queued = self
                .load(runner)
                .prefill_tokens
                .saturating_add(self.ask.prefill_tokens);
            let is_near = runner.descriptor.zone == decode.zone;
            let moved = if is_near { Duration::ZERO } else { ZONE_COST };
            let failing = placement::failure_cost(runner, self.now);
            let work = placement::prefill_time(runner, queued, field.as_ref(), self.now);
            let balance = field
                .as_ref()
                .map_or(Duration::ZERO, |field| self.prefill_balance(field, runner));
            let expected = work + moved + failing + balance;
            (expected, runner.descriptor.runner.clone())
        };
        self.candidates(Role::Prefill)
            .filter(|runner| self.can_read(decode, runner))
            .min_by_key(cost)
    }
}
