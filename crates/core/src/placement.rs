//! The choice of runners for a request.

use rand::Rng;

use crate::event::Now;
use crate::id;
use crate::state::{Load, State};
use crate::ticket::{Kind, Role, RunnerItem};

/// What a runner is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// An exchange with a plain service.
    Plain,
    /// A prefill.
    Prefill,
    /// A decode.
    Decode,
}

impl Purpose {
    fn fits(self, role: Role) -> bool {
        match self {
            Purpose::Plain => true,
            Purpose::Prefill => role != Role::Decode,
            Purpose::Decode => role != Role::Prefill,
        }
    }
}

/// Picks the less loaded of two random runners that fit, or none where none has room.
///
/// Runners that failed the request before are taken only if no other fits.
pub fn pick(
    state: &mut State,
    now: Now,
    endpoint: &id::Endpoint,
    purpose: Purpose,
    tried: &[id::Runner],
) -> Option<RunnerItem> {
    let item = state.table.endpoint(endpoint)?;
    let bounded = item.kind == Kind::Model;
    let open = |runner: &&RunnerItem| {
        let load = load_of(state, endpoint, &runner.id);
        let room = !bounded || load.running < runner.slots;
        purpose.fits(runner.role) && !runner.leaving && room && load.cooldown_until <= now.up
    };
    let all: Vec<&RunnerItem> = item.runners.iter().filter(open).collect();
    let fresh: Vec<&RunnerItem> = all
        .iter()
        .copied()
        .filter(|runner| !tried.contains(&runner.id))
        .collect();
    let choices = if fresh.is_empty() { all } else { fresh };
    if choices.is_empty() {
        return None;
    }
    let zone = state.settings.zone.clone();
    let first = choices[state.rng.random_range(0..choices.len())].clone();
    let second = choices[state.rng.random_range(0..choices.len())].clone();
    let cost = |runner: &RunnerItem| {
        (
            load_of(state, endpoint, &runner.id).running,
            runner.zone != zone,
        )
    };
    Some(if cost(&second) < cost(&first) {
        second
    } else {
        first
    })
}

fn load_of(state: &State, endpoint: &id::Endpoint, runner: &id::Runner) -> Load {
    let key = (endpoint.clone(), runner.clone());
    state.loads.get(&key).copied().unwrap_or_default()
}
