//! The choice of runners for a call: what it needs, how much room it is given, where it goes.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng as _;

use crate::id;
use crate::placement::{self, Headroom, Purpose, Query};
use crate::pool::{Load, Runner, Status};

use super::Reducer;

/// Share of its objective after which a stream that has not begun can't be on time.
const ON_TIME_SHARE: f64 = 0.8;
/// Share of its expected answer that a request holds in memory, averaged over its run.
const OUTPUT_SHARE: f64 = 0.5;
/// How long before the end of its time to leave a leaving runner gets no work any more.
const DRAIN_LEAD: Duration = Duration::from_millis(700);

impl Reducer<'_> {
    /// Picks a decode runner: the one with room set aside, or else one that has room.
    pub(super) fn pick_decode(&mut self, number: id::Call) -> Option<Runner> {
        let reserved_decode = self.state.calls.get_mut(&number)?.reserved_decode.take();
        let reserved_decode = reserved_decode.and_then(|runner| self.state.pool.get(&runner));
        let usable = |runner: &&Runner| {
            runner.status == Status::Ready
                && !placement::is_cooling_down(runner, Purpose::Decode, self.now)
        };
        if let Some(runner) = reserved_decode.filter(usable) {
            return Some(runner.clone());
        }
        self.pick(number, Purpose::Decode)
    }

    /// How much room a call is given: what was read already is not thrown away for a little of it,
    /// and a call that can't be on time leaves room for those that can.
    pub(super) fn headroom(&self, number: id::Call) -> Headroom {
        let Some(call) = self.state.calls.get(&number) else {
            return Headroom::Normal;
        };
        let lasted = self.now.saturating_sub(call.arrived_at);
        if self.has_kv(number) {
            Headroom::Zero
        } else if call.progress.head_forwarded {
            Headroom::Normal
        } else if lasted > call.route.target_latency.mul_f64(ON_TIME_SHARE) {
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

    /// Work that a call puts on the runner that it is sent to next.
    pub(super) fn load(&self, number: id::Call, purpose: Purpose) -> Load {
        let one = Load {
            requests: 1,
            ..Load::default()
        };
        let prompt = self.state.calls.get(&number).and_then(|call| call.prompt);
        let Some(prompt) = prompt else {
            return one;
        };
        match purpose {
            Purpose::Plain => one,
            Purpose::Prefill => Load {
                tokens: prompt.tokens,
                prefill_tokens: prompt.tokens,
                ..one
            },
            Purpose::Decode => Load {
                tokens: prompt.tokens + (prompt.output_tokens as f64 * OUTPUT_SHARE) as u64,
                prefill_tokens: if self.has_kv(number) {
                    0
                } else {
                    prompt.tokens
                },
                ..one
            },
        }
    }

    /// What a call asks of a runner.
    pub(super) fn query(&self, number: id::Call, purpose: Purpose) -> Option<Query<'_>> {
        let call = self.state.calls.get(&number)?;
        let manifest = self.state.manifest.as_ref()?;
        let endpoint = manifest.endpoints.get(&call.endpoint);
        let settings = &self.state.settings;
        Some(Query {
            endpoint: &call.endpoint,
            purpose,
            zone: &settings.zone,
            tried: &call.tried,
            drain: settings.drain_timeout.saturating_sub(DRAIN_LEAD),
            load: self.load(number, purpose),
            headroom: self.headroom(number),
            engine: endpoint.and_then(|endpoint| endpoint.engine),
        })
    }

    pub(super) fn pick(&mut self, number: id::Call, purpose: Purpose) -> Option<Runner> {
        // A generator of its own, since the search borrows the state.
        let mut rng = SmallRng::from_rng(&mut self.state.rng);
        let query = self.query(number, purpose)?;
        placement::pick(&self.state.pool, &query, self.now, &mut rng).cloned()
    }
}
