//! Keeps the requests of a session at one software version while that has room. See [`crate::session`].

mod ask;
mod tell;

use crate::decision_log::Kind;
use crate::duration::Scale as _;
use crate::id;
use crate::manifest::Kind as RouteKind;
use crate::origin::{self, Origin};
use crate::placement::{self, Purpose};
use crate::pool::{Role, Status};
use crate::session::{Decision, PATIENCE_FRACTION};

use super::Reducer;

impl Reducer<'_> {
    /// Lets a call that begins a stream stay at the software version that has the prompts of its session, if another
    /// one serves too.
    pub(super) fn stay_with_session(&mut self, number: id::Call) {
        let Some(origin) = self.session_origin(number) else {
            return;
        };
        if !self.state.mixed_endpoints.contains(&origin.endpoint) {
            return;
        }
        let is_full = self.state.sessions.is_full(&origin, self.now);
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.session_build = Some(origin.build);
        }
        if !is_full && self.has_room_for_session(number) {
            self.record_session(number, Decision::Stays);
        } else {
            self.release_session(number, Decision::Full);
        }
    }

    /// The last part of the prompt of a call that begins a stream which can be taken up again.
    pub(super) fn session(&self, number: id::Call) -> Option<id::Part> {
        let call = self.state.calls.get(&number)?;
        let can_be_resumed = call.route.kind == RouteKind::Streaming && call.route.resumable;
        call.prompt.filter(|_| can_be_resumed)?;
        call.parts.last().copied()
    }

    /// Where the session of a call is, if that is known and the call may go there.
    fn session_origin(&self, number: id::Call) -> Option<Origin> {
        let session = self.session(number)?;
        let call = self.state.calls.get(&number)?;
        let origin = self.state.sessions.get(session, self.now)?;
        (origin.endpoint == call.endpoint).then(|| origin.clone())
    }

    /// Whether an engine of the session's software version has room for a call, and need not read its prompt by itself where
    /// others have prefill engines to do so.
    fn has_room_for_session(&self, number: id::Call) -> bool {
        let query = self.build_query(number, Purpose::Decode);
        query.is_some_and(|query| placement::has_room(&self.state.pool, &query, self.now))
            && self.is_prefilled_at_session(number)
    }

    fn is_prefilled_at_session(&self, number: id::Call) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        if self.state.policy.kv_across_builds {
            return true;
        }
        let engines = self.state.pool.at_endpoint(&call.endpoint);
        let mut prefill = engines.filter(|engine| engine.descriptor.role == Some(Role::Prefill));
        let is_of_session = |build: &id::Build| call.session_build.as_ref() == Some(build);
        prefill.clone().next().is_none()
            || prefill.any(|engine| {
                engine.status == Status::Ready && is_of_session(&engine.descriptor.build)
            })
    }

    /// Lets a waiting call leave the software version of its session, if that has no room for it or grants none.
    pub(super) fn check_session(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let is_placed = call.grant.is_some() || call.reserved_decode.is_some();
        if call.session_build.is_none() || call.build.is_some() || is_placed {
            return;
        }
        let patience = call.route.target_latency.scale(PATIENCE_FRACTION);
        let waited = self.now.saturating_sub(call.arrived_at);
        if !self.has_room_for_session(number) {
            self.leave_full_session(number, Decision::Full);
        } else if waited >= patience {
            self.leave_full_session(number, Decision::TooLate);
        }
    }

    /// Lets a call that has not begun go to any software version, as that of its session has no room; returns whether its session
    /// held it at one.
    pub(super) fn leave_full_session(&mut self, number: id::Call, reason: Decision) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let Some(build) = call.session_build.clone().filter(|_| call.build.is_none()) else {
            return false;
        };
        let endpoint = call.endpoint.clone();
        let origin = Origin { endpoint, build };
        self.state.sessions.mark_full(origin, self.now);
        self.release_session(number, reason);
        true
    }

    fn release_session(&mut self, number: id::Call, reason: Decision) {
        self.record_session(number, reason);
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.session_build = None;
        }
        self.drop_grant(number);
    }

    fn record_session(&mut self, number: id::Call, decision: Decision) {
        *self.state.counters.sessions.entry(decision).or_default() += 1;
        let call = self.state.calls.get(&number);
        let build = call.and_then(|call| call.session_build.clone());
        self.log_build(Kind::Session, number, decision, build.as_ref());
    }
}

/// Whether all VMs of a fleet with so many others are told all sessions.
fn knows_all_sessions(others: usize) -> bool {
    origin::replicas(others) == others
}
