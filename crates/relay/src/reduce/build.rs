//! Builds: a stream goes on only at the software version that began it, and a KV cache is read only at the
//! one that wrote it.

use crate::decision_log::{Entry, Kind};
use crate::id;
use crate::placement::{self, Purpose};
use crate::pool::{Runner, Status};

use super::Reducer;

impl Reducer<'_> {
    /// The build that the decode runner of a call must have, if its stream, its KV cache or its session binds it to
    /// one.
    pub(super) fn required_build(&self, number: id::Call) -> Option<&id::Build> {
        let call = self.state.calls.get(&number)?;
        let kv = call.kv.as_ref().filter(|kv| kv.is_fresh(self.now));
        let kv = kv.filter(|_| !self.state.policy.kv_across_builds);
        let bound = call.build.as_ref().or(kv.map(|kv| &kv.build));
        bound.or(call.session_build.as_ref())
    }

    /// Logs what was decided on the build of a call.
    pub(super) fn log_build(
        &mut self,
        kind: Kind,
        number: id::Call,
        outcome: impl ToString,
        build: Option<&id::Build>,
    ) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let entry = Entry::new(kind)
            .request(&call.id)
            .endpoint(&call.endpoint)
            .outcome(outcome)
            .age(self.now.saturating_sub(call.arrived_at));
        self.log(match build {
            Some(build) => entry.build(build),
            None => entry,
        });
    }

    /// The build that a prefill runner must have for a decode runner, if it matters.
    pub(super) fn prefill_build<'a>(&self, decode: &'a Runner) -> Option<&'a id::Build> {
        let across = self.state.policy.kv_across_builds;
        (!across).then_some(&decode.descriptor.build)
    }

    /// Whether a decode runner has the build that a call requires.
    pub(super) fn fits(&self, number: id::Call, runner: &Runner) -> bool {
        let build = self.required_build(number);
        runner.descriptor.is_of_build(build)
    }

    /// The decode runners that accept requests and have the build that a call requires.
    pub(super) fn ready_decode_runners(&self, number: id::Call) -> impl Iterator<Item = &Runner> {
        let call = self.state.calls.get(&number);
        let runners = call.map(|call| self.state.pool.at_endpoint(&call.endpoint));
        let is_ready = |runner: &&Runner| {
            Purpose::Decode.accepts(runner.descriptor.role) && runner.status == Status::Ready
        };
        let runners = runners.into_iter().flatten().filter(is_ready);
        runners.filter(move |runner| self.fits(number, runner))
    }

    /// Frees the KV cache of a call if no decode runner that the call may use can read it.
    pub(super) fn free_unusable_kv(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some(kv) = &call.kv else {
            return;
        };
        let is_usable = match &call.build {
            _ if self.state.policy.kv_across_builds => true,
            Some(build) => *build == kv.build,
            None => self.ready_decode_runners(number).next().is_some(),
        };
        if is_usable {
            return;
        }
        self.free_kv(number);
    }

    /// Whether no runner is left that may still get the rest of a call's stream. Waiting does not help
    /// then, neither here nor at the caller.
    pub(super) fn is_build_gone(&self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        if call.build.is_none() || !self.state.pool_loaded {
            return false;
        }
        let purpose = match call.prompt {
            Some(_) => Purpose::Decode,
            None => Purpose::Plain,
        };
        let query = self.build_query(number, purpose);
        query.is_some_and(|query| !placement::has_usable(&self.state.pool, &query, self.now))
    }

    /// Picks a draining decode runner for a call whose stream has begun, if no other of its build can
    /// take it. Allocators grant only runners that accept requests.
    pub(super) fn pick_draining(&self, number: id::Call) -> Option<Runner> {
        let call = self.state.calls.get(&number)?;
        call.build.as_ref()?;
        let is_available = |runner: &Runner| {
            let name = &runner.descriptor.runner;
            let is_current = call.phase.attempt().is_some_and(|(_, at)| at == name);
            !is_current
                && !call.tried.contains(name)
                && !runner.displaced
                && !placement::is_cooling_down(runner, Purpose::Decode, self.now)
        };
        if self.ready_decode_runners(number).any(is_available) {
            return None;
        }
        let query = self.build_query(number, Purpose::Decode)?;
        placement::pick_draining(&self.state.pool, &query, self.now).cloned()
    }
}
