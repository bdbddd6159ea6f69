//! Searches for the origin of a stream among the engines: whom to ask, and what the engines list.
//! See [`crate::cache_index`].

use std::net::SocketAddr;
use std::time::Duration;

use crate::cache_index::Holding;
use crate::call::Phase;
use crate::decision_log::{Entry, Kind};
use crate::event::Effect;
use crate::id;
use crate::member::Member;
use crate::origin::{self, Answer, Key, Origin, Question, Source, PENDING_INTERVAL, ROUND_TIMEOUT};
use crate::pool::{Descriptor, History, Instance, Role, Runner};

use super::Reducer;

/// How long a process that has just started gets to know its peers before it asks the engines.
const START_DELAY: Duration = Duration::from_millis(300);

impl Reducer<'_> {
    /// Has the engines asked for the origin of a call's stream; returns whether an answer can be expected.
    pub(super) fn ask_engines(&mut self, number: id::Call) -> bool {
        let now = self.now;
        let Some(question) = self.engine_question(number) else {
            return false;
        };
        let call = self.state.calls.get_mut(&number);
        let Some(search) = call.and_then(|call| call.search.as_mut()) else {
            return false;
        };
        if search.ask_engines(now) <= now {
            return false;
        }
        let asked = search.asked.clone();
        let Some(address) = self.pick_lister(&question.endpoint, &asked) else {
            return self.ask_engines_here(number, &question);
        };
        self.await_engines(number, Some(address));
        self.emit(Effect::AskOrigin {
            address,
            call: number,
            question,
        });
        true
    }

    /// The question for the engines that hold the prompt of a call; none if nothing tells its prompt from others.
    fn engine_question(&self, number: id::Call) -> Option<Question> {
        let call = self.state.calls.get(&number)?;
        let part = *call.parts.last()?;
        let endpoint = call.endpoint.clone();
        self.is_engine_pool(&endpoint).then_some(Question {
            key: Key::Part(part),
            endpoint,
        })
    }

    /// The VM that asks the engines of an endpoint, without those that did not respond; none if it is this one.
    fn pick_lister(&self, endpoint: &id::Endpoint, unresponsive: &[id::Vm]) -> Option<SocketAddr> {
        let can_ask = |member: &Member| {
            let is_responsive = !unresponsive.contains(&member.descriptor.vm);
            is_responsive && member.is_serving() && !member.unreached.contains(endpoint)
        };
        let is_reached = !self.state.unreached.contains(endpoint);
        let lister = self.highest_ranked(origin::name_key(endpoint), can_ask, is_reached)?;
        (lister.vm != self.state.local.vm).then_some(lister.peer_address)
    }

    /// Asks the engines from here; returns whether they have still to answer, or have told.
    fn ask_engines_here(&mut self, number: id::Call, question: &Question) -> bool {
        if let Key::Part(part) = question.key {
            self.handle_engine_question(&question.endpoint, part);
        }
        match self.state.answer_origin(self.now, question) {
            Answer::Held(holding) => self.bind_by_engines(number, holding),
            Answer::Pending => {
                self.await_engines(number, None);
                true
            }
            _ => false,
        }
    }

    fn bind_by_engines(&mut self, number: id::Call, holding: Holding) -> bool {
        let can_go_on = self.can_go_on_at(number, &holding.origin);
        if can_go_on {
            if let Some(call) = self.state.calls.get_mut(&number) {
                call.holder = holding.engine;
            }
            self.bind(number, holding.origin, Source::Engines);
        }
        can_go_on
    }

    /// Whether a decode runner is known to hold the prompt of a call.
    pub(super) fn is_holder(&self, number: id::Call, decode: &Runner) -> bool {
        let call = self.state.calls.get(&number);
        let holder = call.and_then(|call| call.holder.as_ref());
        holder == Some(&decode.descriptor.runner)
    }

    /// Lets a search wait for the answer of a VM, or for the engines that are asked from here.
    fn await_engines(&mut self, number: id::Call, address: Option<SocketAddr>) {
        let wait = match address {
            Some(_) => ROUND_TIMEOUT,
            None => PENDING_INTERVAL,
        };
        let deadline = self.now + wait;
        let Some(call) = self.state.calls.get_mut(&number) else {
            return;
        };
        call.phase = Phase::Waiting { retry_at: deadline };
        if let Some(search) = &mut call.search {
            search.deadline = deadline;
            search.awaited = address.into_iter().collect();
        }
    }

    /// Goes on with a search after the answer of the VM that asks the engines.
    pub(super) fn handle_engines_answer(
        &mut self,
        number: id::Call,
        address: SocketAddr,
        answer: Answer,
    ) {
        let is_decided = match answer {
            Answer::Held(holding) => self.bind_by_engines(number, holding),
            Answer::Pending => {
                self.await_engines(number, None);
                true
            }
            Answer::Unresponsive => {
                self.pass_over_lister(number, address);
                self.ask_engines(number)
            }
            Answer::Known(_) | Answer::Sole(_) | Answer::Mixed | Answer::Unknown => false,
        };
        if !is_decided {
            self.give_up_search(number);
        }
    }

    /// Goes on with a search that the engines have not decided in time.
    pub(super) fn advance_engine_search(&mut self, number: id::Call) {
        let call = self.state.calls.get(&number);
        let awaited = call.and_then(|call| call.search.as_ref()?.awaited.first());
        if let Some(address) = awaited.copied() {
            self.pass_over_lister(number, address);
        }
        if !self.ask_engines(number) {
            self.give_up_search(number);
        }
    }

    /// Lets another VM ask the engines, as this one did not respond.
    fn pass_over_lister(&mut self, number: id::Call, address: SocketAddr) {
        let member = self.state.members.find_by_address_mut(address);
        let vm = member.map(|member| member.descriptor.vm.clone());
        let call = self.state.calls.get_mut(&number);
        let Some(search) = call.and_then(|call| call.search.as_mut()) else {
            return;
        };
        search.has_unresponsive = true;
        search.asked.extend(vm);
    }

    /// Asks the engines soon after the start, if this VM is the one that does: after the loss of all VMs new streams
    /// take the place of what the engines hold, before callers go on with earlier ones.
    pub(super) fn tick_listing(&mut self) {
        if self.state.has_listed || self.now < START_DELAY {
            return;
        }
        if !self.is_introduced() || !self.state.pool_loaded || !self.state.is_ready() {
            return;
        }
        self.state.has_listed = true;
        let Some(manifest) = self.state.manifest.clone() else {
            return;
        };
        for (endpoint, known) in &manifest.endpoints {
            if known.engine.is_some() && self.pick_lister(endpoint, &[]).is_none() {
                self.list_engines(endpoint);
            }
        }
    }

    /// Has the engines of an endpoint asked, as the origin of a stream with this last part of its prompt is looked for.
    pub(super) fn handle_engine_question(&mut self, endpoint: &id::Endpoint, part: id::Part) {
        self.list_engines(endpoint);
        let lifetime = self.state.origin_lifetime();
        let index = &mut self.state.cache_index;
        index.note_question(endpoint, part, lifetime, self.now);
    }

    /// Asks the engines of an endpoint what they hold, if they are known and were not asked lately.
    pub(super) fn list_engines(&mut self, endpoint: &id::Endpoint) {
        if !self.state.pool_loaded || !self.state.cache_index.is_due(endpoint, self.now) {
            return;
        }
        let runners = self.state.pool.at_endpoint(endpoint);
        let engines = runners.filter(|runner| runner.descriptor.role == Some(Role::Decode));
        let builds = engines.clone().map(|runner| {
            let descriptor = &runner.descriptor;
            (descriptor.instance(), descriptor.build.clone())
        });
        let builds = builds.collect();
        let asked: Vec<(Instance, SocketAddr)> = engines
            .filter(|runner| !runner.is_resting(self.now))
            .map(|runner| (runner.descriptor.instance(), runner.descriptor.address))
            .collect();
        let awaited = asked.iter().map(|(engine, _)| engine.clone()).collect();
        let index = &mut self.state.cache_index;
        index.start(endpoint, awaited, builds, self.now);
        self.read_history();
        for (engine, address) in asked {
            self.emit(Effect::ListParts {
                endpoint: endpoint.clone(),
                engine,
                address,
            });
        }
    }

    /// Has the history of the list read, if this process may have missed engines that have left.
    fn read_history(&mut self) {
        let since = self.state.list_known_since;
        let needed_since = self.state.stream_age_limit(self.now);
        let is_known = needed_since > Duration::ZERO && since.is_some_and(|at| at <= needed_since);
        if is_known || !self.state.history.is_due(since) {
            return;
        }
        self.state.history = History::Awaited { since: self.now };
        self.emit(Effect::ReadHistory);
    }

    /// Records the engines that the history of the list names and that have left since.
    pub(super) fn handle_history(&mut self, entries: Option<Vec<Descriptor>>) {
        let entry = Entry::new(Kind::HistoryRead);
        let Some(entries) = entries else {
            self.state.history = History::Unavailable;
            return self.log(entry.outcome("unavailable"));
        };
        self.state.history = History::Read { at: self.now };
        let count = entries.len() as u64;
        for descriptor in entries {
            self.state.pool.record_earlier(descriptor, self.now);
        }
        self.log(entry.outcome("read").version(count));
    }

    /// Records what an engine holds. It counts for the process that was asked, with the software version that this
    /// process was listed with.
    pub(super) fn handle_listed_parts(
        &mut self,
        endpoint: &id::Endpoint,
        engine: &Instance,
        parts: Option<Vec<id::Part>>,
    ) {
        let is_listed = parts.is_some();
        let index = &mut self.state.cache_index;
        index.end(endpoint, engine, is_listed);
        let count = parts.as_ref().map_or(0, |parts| parts.len() as u64);
        let entry = Entry::new(Kind::PartsListed)
            .runner(&engine.runner)
            .endpoint(endpoint);
        self.log(match parts {
            Some(_) => entry.outcome("listed").version(count),
            None => entry.outcome("failed"),
        });
        let known = self.state.pool.find(engine);
        let Some((known, parts)) = known.zip(parts) else {
            return;
        };
        let origin = Origin {
            endpoint: endpoint.clone(),
            build: known.descriptor.build.clone(),
        };
        let lifetime = self.state.origin_lifetime();
        let index = &mut self.state.cache_index;
        index.record(&engine.runner, &origin, &parts, lifetime, self.now);
        self.learn_sessions(&origin, &parts);
    }
}
