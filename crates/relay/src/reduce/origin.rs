//! Origins of streams: recorded and told to other VMs, and found out for callers that go on with a
//! stream. See [`crate::origin`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::call::{Call, Phase};
use crate::decision_log::Kind;
use crate::event::Effect;
use crate::id;
use crate::manifest::Kind as RouteKind;
use crate::member::{Descriptor, Member, Status};
use crate::origin::{
    self, Answer, Key, Origin, Question, Record, Search, Source, Stage, ASKED, PENDING_INTERVAL,
    REPLICAS, ROUNDS, ROUND_TIMEOUT,
};
use crate::refusal::Reason;

use super::Reducer;

/// How long a process that has just started may not know all of its peers.
const INTRODUCTION_TIME: Duration = Duration::from_secs(2);

/// Time after which the configuration service is asked again, if it has not answered.
const LIST_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a process that does not run may come back with what it knows.
const PAUSE_TIME: Duration = Duration::from_secs(5);

impl Reducer<'_> {
    /// Records at which software version a stream began whose first event is about to be forwarded.
    pub(super) fn record_origin(&mut self, number: id::Call) {
        let lifetime = self.state.origin_lifetime();
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if call.route.kind != RouteKind::Streaming || call.origin_recorded {
            return;
        }
        call.origin_recorded = true;
        let Some(build) = call.build.clone().filter(|_| call.route.resumable) else {
            return;
        };
        let record = Record {
            stream: call.stream,
            session: call.parts.last().copied(),
            origin: Origin {
                endpoint: call.endpoint.clone(),
                build,
            },
            lifetime,
        };
        if let Some(session) = record.session {
            let origin = record.origin.clone();
            self.state.sessions.insert_own(session, origin, self.now);
        }
        self.state.origins.insert(record.clone(), self.now);
        self.state.untold_origins.push(record);
    }

    /// Tells other VMs all origins that this one knows and the latest sessions, so that they are still known once each VM has been
    /// replaced in its turn. All of a small fleet know them but those that have just started, so a few are told.
    pub(super) fn hand_over_origins(&mut self) {
        let records = self.state.origins.records(self.now);
        self.spread_origins(records, |_| REPLICAS);
        let sessions = self.session_records();
        self.spread_origins(sessions, origin::replicas);
    }

    /// Tells other VMs the origins recorded since the last tick.
    pub(super) fn tick_origins(&mut self) {
        self.state.origins.evict(self.now);
        let since = self.state.stream_age_limit(self.now);
        self.state.cache_index.evict(self.now, since);
        self.state.sessions.evict(self.now);
        let records = std::mem::take(&mut self.state.untold_origins);
        self.spread_sessions(&records);
        self.spread_origins(records, origin::replicas);
    }

    /// Tells origins to the VMs that rank highest, as many as `replicas` says of the others that serve, with one message to
    /// each.
    pub(super) fn spread_origins(&mut self, records: Vec<Record>, replicas: fn(usize) -> usize) {
        let mut messages: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for record in records {
            let ranked = self.rank_members(record.key(), Member::is_serving);
            let count = replicas(ranked.len());
            for member in ranked.into_iter().take(count) {
                let records = messages.entry(member.descriptor.peer_address).or_default();
                records.push(record.clone());
            }
        }
        self.tell_origins(messages, false);
    }

    fn tell_origins(&mut self, messages: BTreeMap<SocketAddr, Vec<Record>>, is_retold: bool) {
        for (address, records) in messages {
            self.emit(Effect::TellOrigins {
                address,
                records,
                is_retold,
            });
        }
    }

    /// Tells origins that a VM did not take to the VM that ranks next, once.
    pub(super) fn handle_undelivered_origins(
        &mut self,
        address: SocketAddr,
        records: Vec<Record>,
        is_retold: bool,
    ) {
        if is_retold {
            return;
        }
        let mut messages: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for record in records {
            let mut ranked = self.rank_members(record.key(), Member::is_serving);
            ranked.retain(|member| member.descriptor.peer_address != address);
            // The first of those that remain were told already; in a small fleet all were.
            if let Some(member) = ranked.get(REPLICAS - 1) {
                let records = messages.entry(member.descriptor.peer_address).or_default();
                records.push(record);
            }
        }
        self.tell_origins(messages, true);
    }

    pub(super) fn handle_origins(&mut self, records: Vec<Record>) {
        for record in records {
            if let Some(session) = record.session {
                let origin = record.origin.clone();
                self.state.sessions.insert(session, origin, self.now);
            }
            if record.stream != origin::NO_STREAM {
                self.state.origins.insert(record, self.now);
            }
        }
    }

    /// The VM that ranks highest for a key, of the others that pass the filter and, if it is a candidate, this one.
    pub(super) fn highest_ranked(
        &self,
        key: u64,
        filter: impl Fn(&Member) -> bool,
        is_local_candidate: bool,
    ) -> Option<&Descriptor> {
        let members = self.state.members.iter().filter(|member| filter(member));
        let others = members.map(|member| &member.descriptor);
        let local = is_local_candidate.then_some(&self.state.local);
        let candidates = others.chain(local);
        candidates.max_by_key(|descriptor| origin::rank(&descriptor.vm, key))
    }

    /// The other VMs that pass the filter, those that rank highest for a key first.
    pub(super) fn rank_members(&self, key: u64, filter: fn(&Member) -> bool) -> Vec<&Member> {
        let members = self.state.members.iter();
        let mut ranked: Vec<&Member> = members.filter(|member| filter(member)).collect();
        ranked.sort_by_cached_key(|member| {
            std::cmp::Reverse(origin::rank(&member.descriptor.vm, key))
        });
        ranked
    }

    /// Finds out which software version began the stream of a call that has just arrived.
    pub(super) fn start_search(&mut self, number: id::Call, resumes: Option<&str>) {
        let stream = resumes.map(origin::stream);
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.stream = stream.unwrap_or(call.stream);
        call.search = Some(Search::new(stream));
        let known = stream.and_then(|stream| self.state.origins.get(stream, self.now));
        match known.cloned() {
            Some(origin) if self.can_go_on_at(number, &origin) => {
                self.bind(number, origin, Source::Local);
            }
            _ => self.ask_next(number),
        }
    }

    /// Whether a call may go on with a stream that began there: at its endpoint, or at another one that
    /// its route leads to and that differs in nothing but its runners.
    pub(super) fn can_go_on_at(&self, number: id::Call, origin: &Origin) -> bool {
        let Some(call) = self.state.calls.get(&number) else {
            return false;
        };
        if origin.endpoint == call.endpoint {
            return true;
        }
        let targets = &call.route.targets;
        let is_target = targets
            .iter()
            .any(|(endpoint, weight)| *endpoint == origin.endpoint && *weight > 0);
        is_target && self.is_engine_pool(&origin.endpoint) == self.is_engine_pool(&call.endpoint)
    }

    pub(super) fn is_engine_pool(&self, endpoint: &id::Endpoint) -> bool {
        let manifest = self.state.manifest.as_ref();
        let known = manifest.and_then(|manifest| manifest.endpoints.get(endpoint));
        known.is_some_and(|known| known.engine.is_some())
    }

    /// Asks the VMs that rank next, if there are any; else decides by what is known. A process that has just
    /// started gets to know its peers first.
    fn ask_next(&mut self, number: id::Call) {
        if !self.is_introduced() {
            return self.wait_for_introduction(number);
        }
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let Some(search) = &call.search else {
            return;
        };
        let question = Question {
            key: Key::Stream(search.stream),
            endpoint: call.endpoint.clone(),
        };
        let ranked = self.rank_members(call.stream, is_asked).into_iter();
        let next: Vec<(id::Vm, SocketAddr)> = ranked
            .map(|member| &member.descriptor)
            .filter(|descriptor| !search.asked.contains(&descriptor.vm))
            .take(ASKED)
            .map(|descriptor| (descriptor.vm.clone(), descriptor.peer_address))
            .collect();
        if search.rounds >= ROUNDS || next.is_empty() {
            return self.conclude(number);
        }
        let deadline = self.now + ROUND_TIMEOUT;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at: deadline };
            if let Some(search) = &mut call.search {
                search.rounds += 1;
                search.deadline = deadline;
                search.asked.extend(next.iter().map(|(vm, _)| vm.clone()));
                search.awaited = next.iter().map(|(_, address)| *address).collect();
            }
        }
        for (_, address) in next {
            self.emit(Effect::AskOrigin {
                address,
                call: number,
                question: question.clone(),
            });
        }
    }

    fn wait_for_introduction(&mut self, number: id::Call) {
        let retry_at = self.now + PENDING_INTERVAL;
        if let Some(call) = self.state.calls.get_mut(&number) {
            call.phase = Phase::Waiting { retry_at };
        }
    }

    /// Goes on with a search whose answers have been awaited for long enough.
    pub(super) fn advance_search(&mut self, number: id::Call) {
        let now = self.now;
        let call = self.state.calls.get_mut(&number);
        let Some(search) = call.and_then(|call| call.search.as_mut()) else {
            return;
        };
        if search.deadline > now {
            return;
        }
        match search.stage {
            Stage::Vms => {}
            Stage::Source { .. } => return self.conclude(number),
            Stage::Session => return self.end_session_search(number),
            Stage::Engines { .. } => return self.advance_engine_search(number),
        }
        search.has_unresponsive |= !search.awaited.is_empty();
        self.ask_next(number);
    }

    pub(super) fn handle_origin_answer(
        &mut self,
        number: id::Call,
        address: SocketAddr,
        answer: Answer,
    ) {
        let call = self.state.calls.get_mut(&number);
        let Some(search) = call.and_then(|call| call.search.as_mut()) else {
            return;
        };
        if search.stage == Stage::Session {
            return self.handle_session_answer(number, address, answer);
        }
        let is_awaited = search.awaited.contains(&address);
        if search.stage != Stage::Vms {
            match answer {
                Answer::Known(origin) if self.can_go_on_at(number, &origin) => {
                    self.bind(number, origin, Source::Peer);
                }
                answer if is_awaited => self.handle_engines_answer(number, address, answer),
                _ => {}
            }
            return;
        }
        search.awaited.retain(|awaited| *awaited != address);
        let is_last = search.awaited.is_empty();
        match answer {
            Answer::Known(origin) if self.can_go_on_at(number, &origin) => {
                return self.bind(number, origin, Source::Peer);
            }
            other => self.record_answer(number, other),
        }
        if is_last {
            self.ask_next(number);
        }
    }

    fn record_answer(&mut self, number: id::Call, answer: Answer) {
        let call = self.state.calls.get_mut(&number);
        if let Some(search) = call.and_then(|call| call.search.as_mut()) {
            search.record(answer);
        }
    }

    /// Decides a search in which no VM knew the origin: the stream goes on if only one software version can
    /// have begun it; else the engines are asked.
    fn conclude(&mut self, number: id::Call) {
        let Some(call) = self.state.calls.get(&number) else {
            return;
        };
        let question = Question {
            key: Key::Stream(None),
            endpoint: call.endpoint.clone(),
        };
        let local = self.state.answer_origin(self.now, &question);
        let since = self.now.saturating_sub(self.state.origin_lifetime());
        let seen = self.state.pool.builds_since(&question.endpoint, since);
        let seen: Vec<id::Build> = seen.into_iter().cloned().collect();
        self.record_answer(number, local);
        let call = self.state.calls.get(&number);
        let Some(search) = call.and_then(|call| call.search.as_ref()) else {
            return;
        };
        let is_only = |build: &&id::Build| seen.iter().all(|other| other == *build);
        let sole = search.sole.as_ref().filter(|_| !search.is_mixed);
        if let Some(build) = sole.filter(is_only).cloned() {
            let origin = Origin {
                endpoint: question.endpoint,
                build,
            };
            return self.bind_to_sole(number, origin);
        }
        if !self.ask_engines(number) {
            self.give_up_search(number);
        }
    }

    /// Lets a call go on at the only software version that is known, once the configuration service has confirmed since
    /// the call came that there is no other: a VM that was cut off, or stood still, may not have heard of one at which others
    /// have begun streams.
    fn bind_to_sole(&mut self, number: id::Call, origin: Origin) {
        let now = self.now;
        let confirmed_at = self.state.list_confirmed_at;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        if confirmed_at.is_some_and(|at| at >= call.arrived_at) {
            return self.bind(number, origin, Source::SoleBuild);
        }
        let Some(search) = call.search.as_mut() else {
            return;
        };
        if search.ask_source(now) <= now {
            self.record_source(number, Source::Unreachable, None);
            return self.fail_call(number, Reason::OriginUnreachable);
        }
        search.deadline = now + PENDING_INTERVAL;
        call.phase = Phase::Waiting {
            retry_at: now + PENDING_INTERVAL,
        };
        self.check_list();
    }

    /// Has the configuration service asked for changes of the list, unless it is being asked.
    fn check_list(&mut self) {
        let now = self.now;
        let asked_at = self.state.list_asked_at;
        if asked_at.is_none_or(|at| at + LIST_CHECK_TIMEOUT <= now) {
            self.state.list_asked_at = Some(now);
            self.emit(Effect::CheckList);
        }
    }

    /// Goes on with the searches that wait for the configuration service.
    pub(super) fn handle_list_check(&mut self, is_confirmed: bool) {
        let asked_at = self.state.list_asked_at.take();
        if !is_confirmed {
            return;
        }
        self.state.list_confirmed_at = asked_at.max(self.state.list_confirmed_at);
        let is_waiting = |call: &Call| {
            let search = call.search.as_ref();
            search.is_some_and(|search| matches!(search.stage, Stage::Source { .. }))
        };
        let calls = self.state.calls.iter();
        let waiting = calls.filter(|(_, call)| is_waiting(call));
        let waiting: Vec<id::Call> = waiting.map(|(number, _)| *number).collect();
        for number in waiting {
            self.conclude(number);
        }
    }

    /// Refuses a call whose stream may have begun at any of several software versions.
    pub(super) fn give_up_search(&mut self, number: id::Call) {
        let call = self.state.calls.get(&number);
        let Some(search) = call.and_then(|call| call.search.as_ref()) else {
            return;
        };
        let is_paused = |member: &Member| member.is_newly_down(PAUSE_TIME, self.now);
        let may_know_later = search.has_unresponsive || self.state.members.iter().any(is_paused);
        if may_know_later || self.now < INTRODUCTION_TIME {
            self.record_source(number, Source::Unreachable, None);
            self.fail_call(number, Reason::OriginUnreachable);
        } else {
            self.record_source(number, Source::Unknown, None);
            self.fail_call(number, Reason::OriginUnknown);
        }
    }

    /// Lets a call go on at the software version that began its stream.
    pub(super) fn bind(&mut self, number: id::Call, origin: Origin, source: Source) {
        self.record_source(number, source, Some(&origin.build));
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.search = None;
        call.endpoint = origin.endpoint;
        call.build = Some(origin.build);
        call.phase = Phase::Waiting {
            retry_at: call.arrived_at,
        };
        self.admit(number);
    }

    fn record_source(&mut self, number: id::Call, source: Source, build: Option<&id::Build>) {
        *self.state.counters.origins.entry(source).or_default() += 1;
        self.log_build(Kind::Origin, number, source, build);
    }
}

/// Whether a VM may have been told origins of streams.
fn is_asked(member: &Member) -> bool {
    matches!(member.descriptor.status, Status::Ready | Status::Leaving)
}
