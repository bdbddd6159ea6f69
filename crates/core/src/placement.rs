//! Placement: the choice of a runner for an attempt.

use rand::Rng;

use crate::event::Now;
use crate::id;
use crate::state::{Load, State};
use crate::ticket::{Kind, Role, RunnerItem};

/// What a runner is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// An HTTP exchange with a plain service.
    Plain,
    /// A prefill.
    Prefill,
    /// A decode.
    Decode,
}

impl Purpose {
    fn accepts(self, role: Role) -> bool {
        match self {
            Purpose::Plain => true,
            Purpose::Prefill => role != Role::Decode,
            Purpose::Decode => role != Role::Prefill,
        }
    }
}

/// Picks the less loaded of two random eligible runners, or `None` if there is none.
///
/// A runner is eligible if it has the right role, is not leaving, has a free slot (model endpoints
/// only), and is not in a cooldown. Runners in `tried`, which failed this request before, are
/// picked only if no other runner is eligible. At equal load, a runner in this VM's own zone is
/// preferred.
pub fn pick(
    state: &mut State,
    now: Now,
    endpoint: &id::Endpoint,
    purpose: Purpose,
    tried: &[id::Runner],
) -> Option<RunnerItem> {
    let item = state.table.endpoint(endpoint)?;
    let has_slots = item.kind == Kind::Model;
    let is_eligible = |runner: &&RunnerItem| {
        let load = local_load(state, endpoint, &runner.id);
        let has_capacity = !has_slots || load.running < runner.slots;
        purpose.accepts(runner.role)
            && !runner.leaving
            && has_capacity
            && load.cooldown_until <= now.up
    };
    let eligible: Vec<&RunnerItem> = item.runners.iter().filter(is_eligible).collect();
    let untried: Vec<&RunnerItem> = eligible
        .iter()
        .copied()
        .filter(|runner| !tried.contains(&runner.id))
        .collect();
    let candidates = if untried.is_empty() {
        eligible
    } else {
        untried
    };
    if candidates.is_empty() {
        return None;
    }
    let zone = state.settings.zone.clone();
    let first = candidates[state.rng.random_range(0..candidates.len())].clone();
    let second = candidates[state.rng.random_range(0..candidates.len())].clone();
    let cost = |runner: &RunnerItem| {
        (
            local_load(state, endpoint, &runner.id).running,
            runner.zone != zone,
        )
    };
    Some(if cost(&second) < cost(&first) {
        second
    } else {
        first
    })
}

fn local_load(state: &State, endpoint: &id::Endpoint, runner: &id::Runner) -> Load {
    let key = (endpoint.clone(), runner.clone());
    state.loads.get(&key).copied().unwrap_or_default()
}
