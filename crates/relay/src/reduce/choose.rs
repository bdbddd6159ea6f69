//! Placement of a call: the load it adds, the headroom it must leave, and the runner it gets.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng as _;

use crate::duration::Scale as _;
use crate::id;
use crate::placement::{self, Headroom, Purpose, Query};
use crate::pool::{Load, Runner, Status};

use super::Reducer;

/// Fraction of its target latency after which a stream that has not started can't meet the target.
pub(super) const ON_TIME_FRACTION: f64 = 0.8;
/// How long before the end of its drain timeout a leaving runner stops getting requests.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

impl Reducer<'_> {
    /// Picks a decode runner: the one with reserved capacity, or else one that has capacity.
    pub(super) fn pick_decode(&mut self, number: id::Call) -> Option<Runner> {
        let reserved_decode = self.state.calls.get_mut(&number)?.reserved_decode.take();
        let reserved_decode = reserved_decode.and_then(|runner| self.state.pool.get(&runner));
        let usable = |runner: &&Runner| {
            runner.status == Status::Ready
                && !placement::is_cooling_down(runner, Purpose::Decode, self.now)
        };
        let is_fitting = |runner: &&Runner| self.fits(number, runner);
        if let Some(runner) = reserved_decode.filter(usable).filter(is_fitting) {
            return Some(runner.clone());
        }
        self.pick(number, Purpose::Decode)
    }

    /// How much memory a call must leave free: none if its finished prefill would otherwise be
    /// wasted, and more than usual if it can't meet its target latency, so that calls that still
    /// can are placed first.
    pub(super) fn headroom(&self, number: id::Call) -> Headroom {
        let Some(call) = self.state.calls.get(&number) else {
            return Headroom::Normal;
        };
        let elapsed = self.now.saturating_sub(call.arrived_at);
        if self.has_kv(number) {
            Headroom::Zero
        } else if call.progress.head_forwarded {
            Headroom::Normal
        } else if elapsed > call.route.target_latency.scale(ON_TIME_FRACTION) {
            Headroom::Extra
        } else {
            Headroom::Normal
        }
    }

    pub(super) fn has_kv(&self, number: id::Call) -> bool {
        let kv = self
            .state
            .calls
            .get(&number)
            .and_then(|call| call.kv.as_ref());
        kv.is_some_and(|kv| kv.is_fresh(self.now))
    }

    /// Load that a call adds to the runner that it is sent to next.
    pub(super) fn estimate_load(&self, number: id::Call, purpose: Purpose) -> Load {
        let single = Load {
            requests: 1,
            ..Load::default()
        };
        let prompt = self.state.calls.get(&number).and_then(|call| call.prompt);
        let Some(prompt) = prompt else {
            return single;
        };
        match purpose {
            Purpose::Plain => single,
            Purpose::Prefill => Load {
                tokens: prompt.tokens,
                prefill_tokens: prompt.tokens,
                ..single
            },
            Purpose::Decode => Load {
                tokens: prompt.tokens.saturating_add(
                    (prompt.output_tokens as f64 * self.state.policy.output_memory_fraction) as u64,
                ),
                prefill_tokens: if self.has_kv(number) {
                    0
                } else {
                    prompt.tokens
                },
                ..single
            },
        }
    }

    /// The call's requirements on a runner.
    pub(super) fn build_query(&self, number: id::Call, purpose: Purpose) -> Option<Query<'_>> {
        let call = self.state.calls.get(&number)?;
        let manifest = self.state.manifest.as_ref()?;
        let endpoint = manifest.endpoints.get(&call.endpoint);
        let settings = &self.state.settings;
        Some(Query {
            endpoint: &call.endpoint,
            purpose,
            build: self.required_build(number),
            zone: &settings.zone,
            tried: &call.tried,
            drain_timeout: self.drain_timeout(),
            load: self.estimate_load(number, purpose),
            headroom: self.headroom(number),
            engine: endpoint.and_then(|endpoint| endpoint.engine),
        })
    }

    /// How long a leaving runner gets requests that no other one can run.
    pub(super) fn drain_timeout(&self) -> Duration {
        let drain_timeout = self.state.settings.drain_timeout;
        drain_timeout.saturating_sub(DRAIN_MARGIN)
    }

    /// Picks a prefill runner; none if all are cooling down.
    pub(super) fn pick_prefill(&mut self, number: id::Call) -> Option<Runner> {
        let runner = self.pick(number, Purpose::Prefill)?;
        let is_usable = !placement::is_cooling_down(&runner, Purpose::Prefill, self.now);
        is_usable.then_some(runner)
    }

    pub(super) fn pick(&mut self, number: id::Call, purpose: Purpose) -> Option<Runner> {
        // A separate generator, since the query borrows the state.
        let mut rng = SmallRng::from_rng(&mut self.state.rng);
        let query = self.build_query(number, purpose)?;
        placement::pick(&self.state.pool, &query, self.now, &mut rng).cloned()
    }

    /// Picks a prefill runner whose KV cache a decode runner can read.
    pub(super) fn pick_prefill_for(&mut self, number: id::Call, decode: &Runner) -> Option<Runner> {
        let mut rng = SmallRng::from_rng(&mut self.state.rng);
        let query = self.build_prefill_query(number, decode)?;
        placement::pick(&self.state.pool, &query, self.now, &mut rng).cloned()
    }

    /// Whether no prefill runner can take a call for a decode runner now, but one that responds soon will.
    pub(super) fn awaits_prefill_runner(&self, number: id::Call, decode: &Runner) -> bool {
        let query = self.build_prefill_query(number, decode);
        query.is_some_and(|query| {
            placement::is_awaiting_cooldown(&self.state.pool, &query, self.now)
        })
    }

    /// The call's requirements on a prefill runner whose KV cache a decode runner can read.
    fn build_prefill_query<'a>(
        &'a self,
        number: id::Call,
        decode: &'a Runner,
    ) -> Option<Query<'a>> {
        Some(Query {
            build: self.prefill_build(decode),
            ..self.build_query(number, Purpose::Prefill)?
        })
    }
}
