//! Whether this VM reaches runners: told from failures of its own connections, and tested by probes.
//!
//! A VM that has few calls would learn it from them too late. So it probes runners where its own calls have failed or
//! another VM is known not to reach them, unless it has reached one a moment ago.
//!
//! A runner that other VMs reach may be out of reach here. Which calls are delegated then is decided for each, by
//! the runners that it needs; see [`super::delegate`]. Runners that leave still run what no other one can, so they are
//! looked at where no other runner is left.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use rand::SeedableRng as _;

use crate::breaker::Observation;
use crate::call::Call;
use crate::decision_log::{Entry, Kind};
use crate::event::{Effect, Presence};
use crate::id;
use crate::placement::{self, Purpose};
use crate::pool::{Instance, Runner, Status};

use super::Reducer;

/// Runners that failed one after the other, with no response from another one in between, after which none of their
/// kind counts as reached.
const FAILURES_MIN: usize = 3;
/// Runners to which one call could not connect after which a VM that is known to reach some is asked to run it.
const CALL_FAILURES_MAX: usize = 2;
/// How long a runner that was reached shows that its kind is reached.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);
/// Interval between two probes of a runner.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of probes in progress for one endpoint.
const PROBES_MAX: usize = 3;

impl Reducer<'_> {
    /// Whether this VM seems to reach no runner that a call needs for its next step or the one after.
    pub(super) fn is_out_of_reach(&self, call: &Call) -> bool {
        let failures = call.unreached.len();
        let is_doubtful = if call.delegated_by.is_some() {
            failures > 0 && !self.has_reached(&call.endpoint)
        } else {
            failures >= CALL_FAILURES_MAX && self.is_reached_elsewhere(&call.endpoint)
        };
        is_doubtful
            || self.is_unreached(&call.endpoint, &call.unreached)
            || self.is_left_unreached(&call.endpoint, &call.unreached)
    }

    /// Whether a stage of an endpoint has only runners that leave, and none of these is reached; `failed` are some that
    /// are known not to be.
    fn is_left_unreached(&self, endpoint: &id::Endpoint, failed: &[id::Runner]) -> bool {
        let mut needed = self.needed_stages(endpoint).iter();
        needed.any(|purpose| {
            let mut leaving = self.last_runners(endpoint, *purpose).peekable();
            leaving.peek().is_some() && leaving.all(|runner| has_failed(runner, failed))
        })
    }

    /// The runners of a stage that leave and still get requests, if it has no others.
    fn last_runners<'a>(
        &'a self,
        endpoint: &id::Endpoint,
        purpose: Purpose,
    ) -> impl Iterator<Item = &'a Runner> + 'a {
        let is_last = self.ready_runners(endpoint, purpose).next().is_none();
        let (now, drain_timeout) = (self.now, self.drain_timeout());
        let runners = self.state.pool.at_endpoint(endpoint);
        runners.filter(move |runner| {
            let is_candidate = purpose.accepts(runner.descriptor.role) && !runner.displaced;
            is_last && is_candidate && placement::is_usable(runner, drain_timeout, now)
        })
    }

    /// Whether no runner of an endpoint, or of a stage of it, is reached; `failed` are some that are known not to be.
    fn is_unreached(&self, endpoint: &id::Endpoint, failed: &[id::Runner]) -> bool {
        let mut needed = self.needed_stages(endpoint).iter();
        needed.any(|purpose| self.is_stage_unreached(endpoint, *purpose, failed))
    }

    /// What the calls of an endpoint need runners for.
    pub(super) fn needed_stages(&self, endpoint: &id::Endpoint) -> &'static [Purpose] {
        let manifest = self.state.manifest.as_ref();
        let known = manifest.and_then(|manifest| manifest.endpoints.get(endpoint));
        if known.is_some_and(|known| known.engine.is_some()) {
            &[Purpose::Prefill, Purpose::Decode]
        } else {
            &[Purpose::Plain]
        }
    }

    /// Whether a runner of each stage of an endpoint was reached a moment ago.
    fn has_reached(&self, endpoint: &id::Endpoint) -> bool {
        let mut needed = self.needed_stages(endpoint).iter();
        needed.all(|purpose| self.has_reached_stage(endpoint, *purpose))
    }

    fn has_reached_stage(&self, endpoint: &id::Endpoint, purpose: Purpose) -> bool {
        let runners = self.ready_runners(endpoint, purpose);
        let runners = runners.chain(self.last_runners(endpoint, purpose));
        let last = runners.filter_map(Runner::reached_at).max();
        last.is_some_and(|at| at + EVIDENCE_TIME > self.now)
    }

    fn is_stage_unreached(
        &self,
        endpoint: &id::Endpoint,
        purpose: Purpose,
        failed: &[id::Runner],
    ) -> bool {
        let ready: Vec<&Runner> = self.ready_runners(endpoint, purpose).collect();
        if ready.is_empty() || ready.iter().all(|runner| has_failed(runner, failed)) {
            return !ready.is_empty();
        }
        let mut failures: Vec<Duration> = ready
            .iter()
            .filter_map(|runner| runner.unreached_since())
            .collect();
        failures.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        let reached_at = ready.iter().filter_map(|runner| runner.reached_at()).max();
        let first = failures.get(FAILURES_MIN - 1);
        first.is_some_and(|first| reached_at.is_none_or(|at| at < *first))
    }

    pub(super) fn ready_runners<'a>(
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
        for endpoint in self.suspects() {
            self.verify_reach(&endpoint);
        }
        let before = std::mem::replace(&mut self.state.unreached, unreached);
        if before != self.state.unreached {
            self.log_reach(&before);
            self.publish_to_sample();
            self.restart_survey(before.is_empty());
        }
        self.survey();
    }

    /// The endpoints of which this VM or another one does not reach runners.
    fn suspects(&self) -> BTreeSet<id::Endpoint> {
        let members = self.state.members.iter();
        let members = members.filter(|member| member.is_serving());
        let told = members.flat_map(|member| &member.unreached);
        told.chain(&self.state.unreached).cloned().collect()
    }

    /// The endpoints which some VM does not reach, and of which this one has just reached a runner of each stage.
    pub(super) fn reached_suspects(&self) -> Vec<id::Endpoint> {
        let suspects = self.suspects().into_iter();
        let is_reached = |endpoint: &id::Endpoint| {
            !self.state.unreached.contains(endpoint) && self.has_reached(endpoint)
        };
        suspects.filter(is_reached).collect()
    }

    /// Probes runners of an endpoint, unless some were reached a moment ago: one, and if it can't be reached as many as
    /// it takes to know.
    pub(super) fn verify_reach(&mut self, endpoint: &id::Endpoint) {
        for purpose in self.needed_stages(endpoint) {
            if !self.has_reached_stage(endpoint, *purpose) {
                self.verify_stage(endpoint, *purpose);
            }
        }
    }

    fn verify_stage(&mut self, endpoint: &id::Endpoint, purpose: Purpose) {
        // A separate generator, since the runners borrow the state.
        let mut rng = SmallRng::from_rng(&mut self.state.rng);
        let has_failed = |runner: &&Runner| runner.unreached_since().is_some();
        let is_probed = |runner: &&Runner| {
            let instance = runner.descriptor.instance();
            self.state.probes.contains(&instance) || self.state.probed_at.contains_key(&instance)
        };
        let (failed, others): (Vec<&Runner>, Vec<&Runner>) = self
            .ready_runners(endpoint, purpose)
            .partition(|runner| has_failed(runner));
        let wanted = if failed.is_empty() { 1 } else { FAILURES_MIN };
        let (probed, others): (Vec<&Runner>, Vec<&Runner>) =
            others.into_iter().partition(is_probed);
        let missing = wanted.saturating_sub(failed.len() + probed.len());
        let others = others.into_iter();
        let others = others.map(|runner| (runner.descriptor.instance(), runner.descriptor.address));
        let picked = others.choose_multiple(&mut rng, missing);
        picked
            .into_iter()
            .for_each(|(instance, address)| self.start_probe(instance, address));
    }

    fn start_probe(&mut self, instance: Instance, address: SocketAddr) {
        self.state.probes.insert(instance.clone());
        self.state.probed_at.insert(instance.clone(), self.now);
        self.emit(Effect::CheckRunner { instance, address });
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
            self.start_probe(instance, address);
        }
    }

    /// Records what a probe found: a connection closes the breaker of a runner that failed.
    pub(super) fn record_probe(&mut self, instance: &Instance, presence: Presence) {
        if !self.state.probes.remove(instance) {
            return;
        }
        let Some(known) = self.state.pool.find(instance) else {
            return;
        };
        let endpoint = known.descriptor.endpoint.clone();
        match presence {
            Presence::Listening => {
                if let Some(known) = self.state.pool.get_mut(&instance.runner) {
                    known.connected_at = Some(self.now);
                    known.breaker.end_failures();
                }
            }
            Presence::Refused | Presence::Unknown => {
                self.observe(&instance.runner, Observation::Broken);
                self.verify_reach(&endpoint);
            }
        }
    }
}

/// Whether a runner is known not to be reached; `failed` are some that are.
fn has_failed(runner: &Runner, failed: &[id::Runner]) -> bool {
    let name = &runner.descriptor.runner;
    runner.unreached_since().is_some() || failed.contains(name)
}
