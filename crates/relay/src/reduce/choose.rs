//! The choice of runners for a call: what it needs, how much room it is given, where it goes.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng as _;

use crate::id;
use crate::place::{self, Room, Search, Want};
use crate::pool::{Load, Runner, Standing};

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
        let planned = self.state.calls.get_mut(&number)?.planned.take();
        let planned = planned.and_then(|runner| self.state.pool.get(&runner));
        let usable = |runner: &&Runner| {
            runner.standing == Standing::Ready && !place::rests(runner, Want::Decode, self.now)
        };
        if let Some(runner) = planned.filter(usable) {
            return Some(runner.clone());
        }
        self.pick(number, Want::Decode)
    }

    /// How much room a call is given: what was read already is not thrown away for a little of it,
    /// and a call that can't be on time leaves room for those that can.
    pub(super) fn room(&self, number: id::Call) -> Room {
        let Some(call) = self.state.calls.get(&number) else {
            return Room::Needed;
        };
        let lasted = self.now.saturating_sub(call.began);
        if self.has_kv(number) {
            Room::Last
        } else if call.progress.head_passed {
            Room::Needed
        } else if lasted > call.route.objective.mul_f64(ON_TIME_SHARE) {
            Room::Spare
        } else {
            Room::Needed
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
    pub(super) fn load(&self, number: id::Call, want: Want) -> Load {
        let one = Load {
            requests: 1,
            ..Load::default()
        };
        let prompt = self.state.calls.get(&number).and_then(|call| call.prompt);
        let Some(prompt) = prompt else {
            return one;
        };
        match want {
            Want::Plain => one,
            Want::Prefill => Load {
                tokens: prompt.tokens,
                unread: prompt.tokens,
                ..one
            },
            Want::Decode => Load {
                tokens: prompt.tokens + (prompt.output as f64 * OUTPUT_SHARE) as u64,
                unread: if self.has_kv(number) {
                    0
                } else {
                    prompt.tokens
                },
                ..one
            },
        }
    }

    /// What a call asks of a runner.
    pub(super) fn search(&self, number: id::Call, want: Want) -> Option<Search<'_>> {
        let call = self.state.calls.get(&number)?;
        let manifest = self.state.manifest.as_ref()?;
        let endpoint = manifest.endpoints.get(&call.endpoint);
        let settings = &self.state.settings;
        Some(Search {
            endpoint: &call.endpoint,
            want,
            zone: &settings.zone,
            tried: &call.tried,
            drain: settings.drain_timeout.saturating_sub(DRAIN_LEAD),
            load: self.load(number, want),
            room: self.room(number),
            engine: endpoint.and_then(|endpoint| endpoint.engine),
        })
    }

    pub(super) fn pick(&mut self, number: id::Call, want: Want) -> Option<Runner> {
        // A generator of its own, since the search borrows the state.
        let mut rng = SmallRng::from_rng(&mut self.state.rng);
        let search = self.search(number, want)?;
        place::pick(&self.state.pool, &search, self.now, &mut rng).cloned()
    }
}
