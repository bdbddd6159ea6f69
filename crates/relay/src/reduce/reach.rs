//! Whether this VM reaches runners: told from failures of its own connections, and tested by probes.
//!
//! A runner that other VMs reach may be out of reach here. Which calls are delegated then is decided for each, by
//! the runners that it needs; see [`super::delegate`].

use std::collections::BTreeSet;
use std::time::Duration;

use crate::breaker::Observation;
use crate::call::Call;
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Presence};
use crate::id;
use crate::placement::Purpose;
use crate::pool::{Instance, Runner, Status};

use super::Reducer;

/// Runners that failed one after the other, with no response from another one in between, after which none of their
/// kind counts as reached.
const FAILURES_MIN: usize = 3;
/// Interval between two probes of a runner.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of probes in progress for one endpoint.
const PROBES_MAX: usize = 3;

impl Reducer<'_> {
    /// Whether this VM reaches no runner that a call needs for its next step or the one after.
    pub(super) fn is_out_of_reach(&self, call: &Call) -> bool {
        self.is_unreached(&call.endpoint, &call.unreached)
    }

    /// Whether no runner of an endpoint, or of a stage of it, is reached; `failed` are some that are known not to be.
    fn is_unreached(&self, endpoint: &id::Endpoint, failed: &[id::Runner]) -> bool {
        let manifest = self.state.manifest.as_ref();
        let known = manifest.and_then(|manifest| manifest.endpoints.get(endpoint));
        let is_model = known.is_some_and(|known| known.engine.is_some());
        let needed: &[Purpose] = if is_model {
            &[Purpose::Prefill, Purpose::Decode]
        } else {
            &[Purpose::Plain]
        };
        let mut needed = needed.iter();
        needed.any(|purpose| self.is_stage_unreached(endpoint, *purpose, failed))
    }

    fn is_stage_unreached(
        &self,
        endpoint: &id::Endpoint,
        purpose: Purpose,
        failed: &[id::Runner],
    ) -> bool {
        let ready: Vec<&Runner> = self.ready_runners(endpoint, purpose).collect();
        let has_failed = |runner: &Runner| {
            let name = &runner.descriptor.runner;
            runner.unreached_since().is_some() || failed.contains(name)
        };
        if ready.is_empty() || ready.iter().all(|runner| has_failed(runner)) {
            return !ready.is_empty();
        }
        let mut failures: Vec<Duration> = ready
            .iter()
            .filter_map(|runner| runner.unreached_since())
            .collect();
        failures.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        let heard_at = ready.iter().filter_map(|runner| runner.last_seen_at).max();
        let first = failures.get(FAILURES_MIN - 1);
        first.is_some_and(|first| heard_at.is_none_or(|at| at < *first))
    }

    fn ready_runners<'a>(
        &'a self,
        endpoint: &id::Endpoint,
        purpose: Purpose,
    ) -> impl Iterator<Item = &'a Runner> + 'a {
        let runners = self.state.pool.at_endpoint(endpoint);
        runners.filter(move |runner| {
            let is_ready = runner.status == Status::Ready && !runner.displaced;
            is_ready && purpose.accepts(runner.descriptor.role)
        })
    }

    /// Notes which endpoints are reached, tells other VMs of changes, and probes runners that may be out of reach.
    pub(super) fn tick_reach(&mut self) {
        let now = self.now;
        self.state
            .probed_at
            .retain(|_, at| *at + PROBE_INTERVAL > now);
        let Some(manifest) = self.state.manifest.clone() else {
            return;
        };
        let endpoints = manifest.endpoints.keys();
        let unreached: BTreeSet<id::Endpoint> = endpoints
            .filter(|endpoint| self.is_unreached(endpoint, &[]))
            .cloned()
            .collect();
        for endpoint in manifest.endpoints.keys() {
            self.probe_runners(endpoint);
        }
        let before = std::mem::replace(&mut self.state.unreached, unreached);
        if before != self.state.unreached {
            self.log_reach(&before);
            self.publish_to_sample();
        }
    }

    fn log_reach(&mut self, before: &BTreeSet<id::Endpoint>) {
        let changed: Vec<id::Endpoint> = before
            .symmetric_difference(&self.state.unreached)
            .cloned()
            .collect();
        for endpoint in changed {
            let outcome = if before.contains(&endpoint) {
                "regained"
            } else {
                "lost"
            };
            let entry = Entry::new(Kind::Reach).endpoint(&endpoint);
            self.log(entry.outcome(outcome));
        }
    }

    /// Probes runners of an endpoint that failed or were silent: one that fails alone is left to its breaker.
    fn probe_runners(&mut self, endpoint: &id::Endpoint) {
        let now = self.now;
        let is_suspect =
            |runner: &&Runner| runner.unreached_since().is_some() || runner.breaker.is_silent();
        let ready: Vec<&Runner> = self.ready_runners(endpoint, Purpose::Plain).collect();
        let suspects: Vec<&&Runner> = ready.iter().filter(|runner| is_suspect(runner)).collect();
        let is_alone = suspects.len() < 2 && suspects.len() < ready.len();
        let has_silent = suspects.iter().any(|runner| runner.breaker.is_silent());
        if suspects.is_empty() || (is_alone && !has_silent) {
            return;
        }
        let in_progress = ready.iter().filter(|runner| {
            let instance = runner.descriptor.instance();
            self.state.probes.contains(&instance)
        });
        let room = PROBES_MAX.saturating_sub(in_progress.count());
        let is_due = |runner: &&&&Runner| {
            let instance = runner.descriptor.instance();
            let is_recent = self.state.probed_at.contains_key(&instance);
            !is_recent && !self.state.probes.contains(&instance)
        };
        let due: Vec<_> = suspects
            .iter()
            .filter(is_due)
            .take(room)
            .map(|runner| (runner.descriptor.instance(), runner.descriptor.address))
            .collect();
        for (instance, address) in due {
            self.state.probes.insert(instance.clone());
            self.state.probed_at.insert(instance.clone(), now);
            self.emit(Effect::CheckRunner { instance, address });
        }
    }

    /// Records what a probe found: a connection closes the breaker of a runner that failed.
    pub(super) fn record_probe(&mut self, instance: &Instance, presence: Presence) {
        if !self.state.probes.remove(instance) || self.state.pool.find(instance).is_none() {
            return;
        }
        match presence {
            Presence::Listening => {
                if let Some(known) = self.state.pool.get_mut(&instance.runner) {
                    known.breaker.end_failures();
                }
            }
            Presence::Refused | Presence::Unknown => {
                self.observe(&instance.runner, Observation::Broken);
            }
        }
    }
}
