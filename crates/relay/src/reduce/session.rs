//! Keeps the requests of a session at one software version while that has room. See [`crate::session`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::call::Phase;
use crate::decision_log::{Entry, Kind};
use crate::duration::Scale as _;
use crate::event::Effect;
use crate::id;
use crate::manifest::Kind as RouteKind;
use crate::member::Member;
use crate::origin::{self, Answer, Key, Origin, Question, Record, Search, Stage};
use crate::placement::{self, Purpose};
use crate::pool::{Role, Status};
use crate::session::{Decision, ANSWER_TIMEOUT, ASKED, PATIENCE_FRACTION};

use super::Reducer;

impl Reducer<'_> {
    /// Lets a call that begins a stream go on at the software version that has the prompts of its session, once that is known.
    pub(super) fn enter_session(&mut self, number: id::Call) {
        if self.ask_session(number) {
            return;
        }
        self.stay_with_session(number);
        self.admit(number);
    }

    /// Asks other VMs for the session of a call, if it matters and they may know more; returns whether it did.
    fn ask_session(&mut self, number: id::Call) -> bool {
        let Some(session) = self.session(number) else {
            return false;
        };
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        let endpoint = call.endpoint.clone();
        let is_known = self.state.sessions.get(session, self.now).is_some();
        if is_known || !self.state.mixed_endpoints.contains(&endpoint) {
            return false;
        }
        let ranked = self.rank_members(session, Member::is_serving);
        if knows_all_sessions(ranked.len()) {
            return false;
        }
        let asked = ranked.into_iter().take(ASKED);
        let asked: Vec<SocketAddr> = asked.map(|member| member.descriptor.peer_address).collect();
        let deadline = self.now + ANSWER_TIMEOUT;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: deadline };
            call.search = Some(Search {
                stage: Stage::Session,
                awaited: asked.clone(),
                deadline,
                ..Search::new(None)
            });
        }
        let question = Question {
            key: Key::Session(session),
            endpoint,
        };
        for address in asked {
            self.emit(Effect::AskOrigin {
                address,
                call: number,
                question: question.clone(),
            });
        }
        true
    }

    /// Takes what a VM knows of the session of a call.
    pub(super) fn handle_session_answer(
        &mut self,
        number: id::Call,
        address: SocketAddr,
        answer: Answer,
    ) {
        let session = self.session(number);
        if let (Some(session), Answer::Known(origin)) = (session, answer) {
            self.state.sessions.insert(session, origin, self.now);
            return self.end_session_search(number);
        }
        let call = self.state.calls.get_mut(&number);
        let Some(search) = call.and_then(|call| call.search.as_mut()) else {
            return;
        };
        search.awaited.retain(|awaited| *awaited != address);
        if search.awaited.is_empty() {
            self.end_session_search(number);
        }
    }

    /// Goes on with a call whose session was asked for.
    pub(super) fn end_session_search(&mut self, number: id::Call) {
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.search = None;
            call.phase = Phase::Waiting {
                retry_at: call.arrived_at,
            };
        }
        self.stay_with_session(number);
        self.admit(number);
    }

    /// Lets a call that begins a stream stay at the software version that has the prompts of its session, if another
    /// one serves too.
    fn stay_with_session(&mut self, number: id::Call) {
        let Some(origin) = self.session_origin(number) else {
            return;
        };
        if !self.has_other_build(&origin) {
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
    fn session(&self, number: id::Call) -> Option<id::Part> {
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

    /// Whether decode engines of another software version accept requests.
    fn has_other_build(&self, origin: &Origin) -> bool {
        let mut engines = self.state.pool.at_endpoint(&origin.endpoint);
        engines.any(|engine| {
            engine.status == Status::Ready
                && engine.descriptor.role == Some(Role::Decode)
                && engine.descriptor.build != origin.build
        })
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
        let Some(build) = call.session_build.as_ref().filter(|_| call.build.is_none()) else {
            return false;
        };
        let sessions = &mut self.state.sessions;
        sessions.mark_full(&call.endpoint, build, self.now);
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

    /// Notes at which endpoints several software versions accept requests. Where that begins, the VMs of a large fleet tell
    /// those that rank highest for a session what they know of it, as these are asked from now on.
    pub(super) fn note_versions(&mut self) {
        let mut builds: BTreeMap<&id::Endpoint, BTreeSet<&id::Build>> = BTreeMap::new();
        let engines = self.state.pool.iter().filter(|engine| {
            engine.status == Status::Ready && engine.descriptor.role == Some(Role::Decode)
        });
        for engine in engines {
            let descriptor = &engine.descriptor;
            let known = builds.entry(&descriptor.endpoint).or_default();
            known.insert(&descriptor.build);
        }
        let mixed = builds.into_iter().filter(|(_, builds)| builds.len() > 1);
        let mixed: BTreeSet<id::Endpoint> = mixed.map(|(endpoint, _)| endpoint.clone()).collect();
        let before = std::mem::replace(&mut self.state.mixed_endpoints, mixed);
        let opened: Vec<id::Endpoint> = self
            .state
            .mixed_endpoints
            .difference(&before)
            .cloned()
            .collect();
        for endpoint in opened {
            let own: Vec<Record> = self
                .state
                .sessions
                .own(&endpoint, self.now)
                .map(|(session, origin)| self.session_record(session, origin))
                .collect();
            self.spread_sessions(&own);
        }
    }

    /// Tells the VMs of a large fleet that rank highest for the sessions of these records, while several versions serve. In a small
    /// one all are told with the streams.
    pub(super) fn spread_sessions(&mut self, records: &[Record]) {
        let members = self.state.members.iter();
        let others = members.filter(|member| member.is_serving()).count();
        if knows_all_sessions(others) {
            return;
        }
        let is_mixed = |record: &&Record| {
            let endpoint = &record.origin.endpoint;
            record.session.is_some() && self.state.mixed_endpoints.contains(endpoint)
        };
        let sessions = records.iter().filter(is_mixed).map(|record| Record {
            stream: origin::NO_STREAM,
            ..record.clone()
        });
        let sessions = sessions.collect();
        self.spread_origins(sessions, origin::replicas);
    }

    /// Tells a VM that has just started the latest sessions, if all VMs of the fleet know them and this is the one to tell.
    pub(super) fn tell_sessions(&mut self, vm: &id::Vm) {
        let is_other = |member: &Member| member.is_serving() && member.descriptor.vm != *vm;
        let others = self
            .state
            .members
            .iter()
            .filter(|member| is_other(member))
            .count();
        if !knows_all_sessions(others) {
            return;
        }
        let is_ready = self.state.is_ready();
        let teller = self.highest_ranked(origin::name_key(vm), is_other, is_ready);
        if teller.is_none_or(|teller| teller.vm != self.state.local.vm) {
            return;
        }
        let Some(member) = self.state.members.get(vm) else {
            return;
        };
        let address = member.descriptor.peer_address;
        let records = self.session_records();
        if !records.is_empty() {
            self.emit(Effect::TellOrigins {
                address,
                records,
                is_retold: true,
            });
        }
    }

    /// Records of the latest sessions, which are no origins of streams.
    pub(super) fn session_records(&self) -> Vec<Record> {
        let sessions = self.state.sessions.latest(self.now);
        let records = sessions.map(|(session, origin)| self.session_record(session, origin));
        records.collect()
    }

    fn session_record(&self, session: id::Part, origin: &Origin) -> Record {
        Record {
            stream: origin::NO_STREAM,
            session: Some(session),
            origin: origin.clone(),
            lifetime: self.state.origin_lifetime(),
        }
    }

    /// Takes the parts that an engine holds for sessions of its version, as far as none of them is known, and tells other VMs.
    pub(super) fn learn_sessions(&mut self, origin: &Origin, parts: &[id::Part]) {
        for part in parts {
            let is_known = self.state.sessions.get(*part, self.now).is_some();
            let is_held = self.state.cache_index.find(*part, self.now).is_some();
            if is_known || !is_held {
                continue;
            }
            let sessions = &mut self.state.sessions;
            sessions.insert(*part, origin.clone(), self.now);
            let record = self.session_record(*part, origin);
            self.state.untold_origins.push(record);
        }
    }

    fn record_session(&mut self, number: id::Call, decision: Decision) {
        *self.state.counters.sessions.entry(decision).or_default() += 1;
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let entry = Entry::new(Kind::Session)
            .request(&call.id)
            .endpoint(&call.endpoint)
            .outcome(decision)
            .age(self.now.saturating_sub(call.arrived_at));
        self.log(match &call.session_build {
            Some(build) => entry.build(build),
            None => entry,
        });
    }
}

/// Whether all VMs of a fleet with so many others are told all sessions.
fn knows_all_sessions(others: usize) -> bool {
    origin::replicas(others) == others
}
