//! A small fleet of reducers whose callers go on with streams at any VM, and runners of several
//! software versions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::event::{Arrival, Dispatch, Effect, Event, Operation};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::member::Descriptor as MemberDescriptor;
use hornbeamtiller_relay::origin::{self, Answer, Key, Question, Record, Source};
use hornbeamtiller_relay::pool::{Descriptor, Instance, Role};
use hornbeamtiller_relay::refusal::Refusal;
use hornbeamtiller_relay::state::State;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::{
    descriptor, dispatches, manifest, member, ms, prefilled, routes, settings, stream_arrival,
    Harness, STREAM,
};

/// Time between two ticks of a VM.
const TICK: Duration = Duration::from_millis(15);
/// Age of the first VMs, longer than the lifetime of an origin.
const FIRST_AGE: Duration = Duration::from_secs(40);
/// Time in which a search ends, whatever is lost.
const SEARCH_TIME: Duration = Duration::from_millis(1_400);
/// Time in which a request that begins a stream learns where its session is, or goes on without.
const BEGIN_TIME: Duration = Duration::from_millis(75);
/// Time after which another unanswered message counts as another sign that a VM is down.
const OUTAGE_TIME: Duration = Duration::from_millis(330);

/// What becomes of messages between VMs, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Network {
    pub lost: u32,
    pub duplicated: u32,
    pub late: u32,
}

#[derive(Debug, Clone)]
enum Message {
    Records(Vec<Record>, bool),
    Question(id::Call, Question),
}

#[derive(Debug, Clone)]
struct Letter {
    from: SocketAddr,
    sender_start: Duration,
    to: SocketAddr,
    message: Message,
}

struct Vm {
    harness: Harness,
    started_at: Duration,
}

/// What a caller is told when it goes on with a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Resumption {
    /// The stream goes on, at this software version alone.
    Bound(Option<id::Build>),
    Refused(Refusal),
}

/// The fleet.
pub struct Fleet {
    pub now: Duration,
    pub network: Network,
    pub rng: SmallRng,
    vms: BTreeMap<usize, Vm>,
    runners: BTreeMap<id::Runner, Descriptor>,
    revision: id::Revision,
    letters: VecDeque<Letter>,
    late: Vec<(Duration, Letter)>,
    requests: u64,
    refusals: BTreeMap<(usize, id::Call), Refusal>,
    /// The parts of prompts that runners hold.
    pub held: BTreeMap<id::Runner, BTreeSet<id::Part>>,
    /// Runners that do not say what they hold.
    pub mute: BTreeSet<id::Runner>,
    /// Number of times that a runner was asked what it holds.
    pub listings: u32,
    /// The VMs that do not reach the configuration service, without having noticed.
    pub without_source: BTreeSet<usize>,
    isolated: BTreeSet<usize>,
    /// Whether the configuration service still has its history.
    pub has_history: bool,
    /// All entries that were ever written.
    written: Vec<Descriptor>,
    /// Number of times that each VM was started.
    starts: BTreeMap<usize, id::Incarnation>,
}

/// The part that all prompts have in common.
const SHARED_PART: id::Part = 1;

/// The parts of the prompt of a stream.
fn parts(stream: &str) -> Arc<[id::Part]> {
    Arc::from([SHARED_PART, origin::stream(stream)])
}

fn peer(vm: usize) -> MemberDescriptor {
    member(&format!("vm-{vm}"), vm as u8, 1)
}

impl Fleet {
    /// VMs 1 to `vms` that know each other, and one decode runner of each of these builds.
    pub fn new(vms: usize, builds: &[&str], seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            network: Network::default(),
            rng: SmallRng::seed_from_u64(seed),
            vms: BTreeMap::new(),
            runners: BTreeMap::new(),
            revision: 10,
            letters: VecDeque::new(),
            late: Vec::new(),
            requests: 0,
            refusals: BTreeMap::new(),
            held: BTreeMap::new(),
            mute: BTreeSet::new(),
            listings: 0,
            without_source: BTreeSet::new(),
            isolated: BTreeSet::new(),
            has_history: false,
            written: Vec::new(),
            starts: BTreeMap::new(),
        };
        fleet.list("read-1", "v1", Role::Prefill);
        for (index, build) in builds.iter().enumerate() {
            fleet.list(&format!("make-{index}"), build, Role::Decode);
        }
        for vm in 1..=vms {
            fleet.start(vm);
        }
        fleet.now = FIRST_AGE;
        fleet
    }

    /// Lists a runner, and tells all VMs.
    pub fn list(&mut self, runner: &str, build: &str, role: Role) {
        let entry = self.entry(runner, build, role);
        for vm in self.running() {
            let event = Event::RunnerUpdated {
                descriptor: entry.clone(),
            };
            self.apply(vm, event);
        }
    }

    /// Lists a runner, of which no VM learns yet but those given.
    pub fn list_at(&mut self, vms: &[usize], runner: &str, build: &str) {
        let entry = self.entry(runner, build, Role::Decode);
        for vm in vms {
            let event = Event::RunnerUpdated {
                descriptor: entry.clone(),
            };
            self.apply(*vm, event);
        }
    }

    fn entry(&mut self, runner: &str, build: &str, role: Role) -> Descriptor {
        self.revision += 1;
        let host = 100 + (self.revision % 100) as u8;
        let entry = Descriptor {
            build: build.into(),
            slots: 64,
            revision: self.revision,
            started_at_ms: self.revision,
            ..descriptor(runner, "llm", host, Some(role))
        };
        // A new process under the name holds nothing.
        self.held.remove(&entry.runner);
        self.written.push(entry.clone());
        self.runners.insert(entry.runner.clone(), entry.clone());
        entry
    }

    /// Removes the entry of a runner, and tells all VMs.
    pub fn unlist(&mut self, runner: &str) {
        self.revision += 1;
        self.runners.remove(runner);
        self.held.remove(runner);
        for vm in self.running() {
            let event = Event::RunnerRemoved {
                runner: runner.into(),
                revision: self.revision,
            };
            self.apply(vm, event);
        }
    }

    /// The listed decode runners.
    pub fn decode_runners(&self) -> Vec<Descriptor> {
        let runners = self.runners.values();
        runners
            .filter(|runner| runner.role == Some(Role::Decode))
            .cloned()
            .collect()
    }

    /// The VMs that run.
    pub fn running(&self) -> Vec<usize> {
        self.vms.keys().copied().collect()
    }

    pub fn harness(&self, vm: usize) -> &Harness {
        &self.vms[&vm].harness
    }

    /// Number of resumptions that this source decided, at all VMs that run.
    pub fn decided_by(&self, source: Source) -> u64 {
        let counts = self.vms.values().map(|vm| &vm.harness.state.counters);
        counts
            .filter_map(|counters| counters.origins.get(&source))
            .sum()
    }

    /// Starts a VM that knows nothing but manifest, list and the other VMs, which learn of it.
    pub fn start(&mut self, vm: usize) {
        self.start_alone(vm);
        for other in self.running() {
            self.introduce(vm, other);
            self.introduce(other, vm);
        }
    }

    /// Starts a VM that knows no other and is known to none.
    pub fn start_alone(&mut self, vm: usize) {
        let mut settings = settings();
        settings.vm = peer(vm).vm;
        *self.starts.entry(vm).or_default() += 1;
        let mut state = State::new(settings, self.process(vm), Vec::new(), vm as u64);
        state.policy.allocators = false;
        let harness = Harness {
            state,
            now: Duration::ZERO,
            last_call: 0,
            last_claim: 0,
        };
        let started_at = self.now;
        self.refusals.retain(|(other, _), _| *other != vm);
        self.vms.insert(
            vm,
            Vm {
                harness,
                started_at,
            },
        );
        self.apply(vm, Event::SourceReached { reached: true });
        let manifest = manifest(2, routes());
        self.apply(vm, Event::ManifestRead { manifest });
        let event = Event::PoolRead {
            descriptors: self.runners.values().cloned().collect(),
            revision: self.revision,
        };
        self.apply(vm, event);
    }

    /// Lets a VM learn of another one.
    pub fn introduce(&mut self, vm: usize, other: usize) {
        let introduced = self.process(other);
        let Some(known) = self.vms.get_mut(&vm) else {
            return;
        };
        known.harness.now = self.now - known.started_at;
        let effects = known.harness.receive_view(introduced, false);
        self.send(vm, &effects);
    }

    /// What the process of a VM that was started last tells of itself.
    fn process(&self, vm: usize) -> MemberDescriptor {
        MemberDescriptor {
            incarnation: self.starts.get(&vm).copied().unwrap_or(1),
            ..peer(vm)
        }
    }

    /// Kills a VM with all that it knows. The others notice when they reach it in vain.
    pub fn kill(&mut self, vm: usize) {
        self.vms.remove(&vm);
    }

    /// Kills all VMs, and starts the VMs 1 to `vms`.
    pub fn restart_all(&mut self, vms: usize) {
        self.vms.clear();
        for vm in 1..=vms {
            self.start(vm);
        }
    }

    /// Lets a VM shut down gracefully.
    pub fn leave(&mut self, vm: usize) {
        self.apply(
            vm,
            Event::Leave {
                noticed_after: Duration::ZERO,
            },
        );
        self.advance(ms(500));
        self.kill(vm);
    }

    /// Lets all VMs see that a VM is down.
    pub fn report_down(&mut self, vm: usize) {
        for _ in 0..2 {
            let address = peer(vm).peer_address;
            for other in self.running() {
                self.apply(other, Event::PeerUnresponsive { address });
            }
            self.advance(OUTAGE_TIME);
        }
    }

    /// Applies an event at a VM, and sends the messages that come out.
    fn apply(&mut self, vm: usize, event: Event) -> Vec<Effect> {
        let Some(known) = self.vms.get_mut(&vm) else {
            return Vec::new();
        };
        known.harness.now = self.now - known.started_at;
        let effects = known.harness.apply(event);
        let mut lists = Vec::new();
        let mut all = effects.iter();
        let reads_history = all.any(|effect| matches!(effect, Effect::ReadHistory));
        for effect in &effects {
            if let Effect::Refuse { call, refusal } = effect {
                self.refusals.insert((vm, *call), *refusal);
            }
            if let Effect::ListParts {
                endpoint, engine, ..
            } = effect
            {
                lists.push((endpoint.clone(), engine.clone()));
            }
        }
        self.send(vm, &effects);
        for (endpoint, engine) in lists {
            self.list_parts(vm, endpoint, engine);
        }
        let mut all = effects.iter();
        if all.any(|effect| matches!(effect, Effect::CheckList)) {
            let checked = self.check_list(vm);
            self.run_attempts(peer(vm).peer_address, checked);
        }
        if reads_history {
            let entries = self.has_history.then(|| self.written.clone());
            self.apply(vm, Event::HistoryRead { entries });
        }
        effects
    }

    /// Sends the messages that come out of an event at a VM.
    fn send(&mut self, vm: usize, effects: &[Effect]) {
        let Some(sender_start) = self.vms.get(&vm).map(|known| known.started_at) else {
            return;
        };
        for effect in effects {
            let (to, message) = match effect {
                Effect::TellOrigins {
                    address,
                    records,
                    is_retold,
                } => (*address, Message::Records(records.clone(), *is_retold)),
                Effect::AskOrigin {
                    address,
                    call,
                    question,
                } => (*address, Message::Question(*call, question.clone())),
                _ => continue,
            };
            let from = peer(vm).peer_address;
            let letter = Letter {
                from,
                sender_start,
                to,
                message,
            };
            self.post(letter);
        }
    }

    /// Tells a VM of all runners that are listed, and that it has heard of all.
    fn check_list(&mut self, vm: usize) -> Vec<Effect> {
        let is_confirmed = !self.without_source.contains(&vm);
        let listed: Vec<Descriptor> = self.runners.values().cloned().collect();
        for descriptor in listed.into_iter().filter(|_| is_confirmed) {
            self.apply(vm, Event::RunnerUpdated { descriptor });
        }
        self.apply(vm, Event::ListChecked { is_confirmed })
    }

    /// Cuts a VM off from all others, which it believes to be down then.
    pub fn isolate(&mut self, vm: usize) {
        self.isolated.insert(vm);
        for _ in 0..3 {
            for other in self.running().into_iter().filter(|other| *other != vm) {
                let address = peer(other).peer_address;
                self.apply(vm, Event::PeerUnresponsive { address });
            }
            self.now += OUTAGE_TIME;
        }
    }

    /// Tells a VM what a runner holds.
    fn list_parts(&mut self, vm: usize, endpoint: id::Endpoint, engine: Instance) {
        self.listings += 1;
        let held = self.held.get(&engine.runner).cloned().unwrap_or_default();
        let is_listed = self.runners.contains_key(&engine.runner);
        let parts =
            (is_listed && !self.mute.contains(&engine.runner)).then(|| held.into_iter().collect());
        let event = Event::PartsListed {
            endpoint,
            engine,
            parts,
        };
        self.apply(vm, event);
    }

    fn post(&mut self, letter: Letter) {
        let ends = [letter.from, letter.to].map(|address| self.vm_at(address));
        if ends.iter().flatten().any(|vm| self.isolated.contains(vm)) {
            return self.fail(letter);
        }
        if self.draw(self.network.lost) {
            return self.fail(letter);
        }
        if self.draw(self.network.duplicated) {
            self.letters.push_back(letter.clone());
        }
        if self.draw(self.network.late) {
            let delay = ms(self.rng.random_range(20..2_000));
            self.late.push((self.now + delay, letter));
        } else {
            self.letters.push_back(letter);
        }
    }

    fn draw(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn vm_at(&self, address: SocketAddr) -> Option<usize> {
        let mut vms = self.vms.keys();
        vms.find(|vm| peer(**vm).peer_address == address).copied()
    }

    /// Delivers all messages that are not late.
    fn deliver(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, late): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        self.letters
            .extend(due.into_iter().map(|(_, letter)| letter));
        while let Some(letter) = self.letters.pop_front() {
            let Some(vm) = self.vm_at(letter.to) else {
                self.fail(letter);
                continue;
            };
            match letter.message.clone() {
                Message::Records(records, _) => {
                    self.apply(vm, Event::OriginsReceived { records });
                }
                Message::Question(call, question) => {
                    if let Key::Part(part) = question.key {
                        let endpoint = question.endpoint.clone();
                        self.apply(vm, Event::EnginesAsked { endpoint, part });
                    }
                    let harness = &self.vms[&vm].harness;
                    let process_time = now - self.vms[&vm].started_at;
                    let answer = harness.state.answer_origin(process_time, &question);
                    self.answer(&letter, call, answer);
                }
            }
        }
    }

    /// Tells the sender of a message that it has failed.
    fn fail(&mut self, letter: Letter) {
        match letter.message.clone() {
            Message::Question(call, _) => self.answer(&letter, call, Answer::Unresponsive),
            Message::Records(records, is_retold) => {
                let event = Event::OriginsUndelivered {
                    address: letter.to,
                    records,
                    is_retold,
                };
                self.apply_at_sender(&letter, event);
            }
        }
    }

    fn answer(&mut self, letter: &Letter, call: id::Call, answer: Answer) {
        let event = Event::OriginAnswered {
            call,
            address: letter.to,
            answer,
        };
        let effects = self.apply_at_sender(letter, event);
        self.run_attempts(letter.from, effects);
    }

    fn apply_at_sender(&mut self, letter: &Letter, event: Event) -> Vec<Effect> {
        let Some(vm) = self.vm_at(letter.from) else {
            return Vec::new();
        };
        if self.vms[&vm].started_at != letter.sender_start {
            return Vec::new();
        }
        self.apply(vm, event)
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for vm in self.running() {
                let effects = self.apply(vm, Event::Tick);
                self.run_attempts(peer(vm).peer_address, effects);
            }
            self.deliver();
        }
    }

    /// Completes prefills, and lets runs bring one event.
    fn run_attempts(&mut self, vm: SocketAddr, effects: Vec<Effect>) {
        let Some(vm) = self.vm_at(vm) else {
            return;
        };
        for Dispatch {
            attempt,
            call,
            operation,
            runner,
            ..
        } in dispatches(&effects)
        {
            let prompt = self.vms[&vm].harness.state.calls[&call].parts.clone();
            self.held
                .entry(runner)
                .or_default()
                .extend(prompt.iter().copied());
            if operation == Operation::Prefill {
                let event = Event::AttemptEnded {
                    attempt,
                    outcome: prefilled(),
                    reported: None,
                };
                let effects = self.apply(vm, event);
                self.run_attempts(peer(vm).peer_address, effects);
                continue;
            }
            let last = self.vms[&vm].harness.state.calls[&call].progress;
            self.apply(vm, Event::StreamStarted { attempt });
            let position = last.last_position.unwrap_or(0) + 1;
            let position = Some(position);
            self.apply(vm, Event::StreamEvent { attempt, position });
        }
    }

    /// A new id of a request.
    pub fn next_request(&mut self) -> String {
        self.requests += 1;
        format!("request-{}", self.requests)
    }

    fn arrive(&mut self, vm: usize, arrival: Arrival) -> Option<id::Call> {
        let known = self.vms.get_mut(&vm)?;
        known.harness.last_call += 1;
        let call = known.harness.last_call;
        let effects = self.apply(vm, Event::Arrived(Arrival { call, ..arrival }));
        self.run_attempts(peer(vm).peer_address, effects);
        Some(call)
    }

    /// Begins a stream at a VM, and returns its id and the build of the runner that brought its first
    /// event.
    pub fn begin(&mut self, vm: usize) -> Option<(String, id::Build)> {
        let request = self.next_request();
        self.begin_with(vm, request.clone(), parts(&request))
    }

    /// Begins a stream of a session at a VM, as [`Fleet::begin`] does.
    pub fn begin_of_session(&mut self, vm: usize, session: &str) -> Option<(String, id::Build)> {
        let request = self.next_request();
        self.begin_with(vm, request, parts(session))
    }

    fn begin_with(
        &mut self,
        vm: usize,
        request: String,
        parts: Arc<[id::Part]>,
    ) -> Option<(String, id::Build)> {
        let arrival = Arrival {
            id: request.as_str().into(),
            parts,
            ..stream_arrival(0, STREAM)
        };
        let number = self.arrive(vm, arrival)?;
        self.deliver();
        let start = self.now;
        while self.now < start + BEGIN_TIME && self.is_searching(vm, number) {
            self.advance(TICK);
        }
        let call = self.vms[&vm].harness.state.calls.get(&number)?;
        let (_, runner) = call.phase.attempt()?;
        let build = self.runners.get(runner)?.build.clone();
        self.apply(vm, Event::CallerDisconnected { call: number });
        Some((request, build))
    }

    /// Lets the engines of a software version hold the prompts of these streams from earlier requests of their sessions.
    pub fn hold_sessions(&mut self, engine: &str, streams: &[(String, id::Build)]) {
        let held = self.held.entry(engine.into()).or_default();
        held.extend(streams.iter().map(|(stream, _)| origin::stream(stream)));
    }

    /// Goes on with a stream at a VM, as a caller that names this request.
    pub fn resume(&mut self, vm: usize, resumes: Option<&str>) -> Resumption {
        let prompt = resumes.map_or_else(|| Arc::from([]), parts);
        self.resume_prompt(vm, resumes, prompt)
    }

    /// Goes on with a stream at a VM, as a caller that does not name the request but sends its prompt.
    pub fn resume_unnamed(&mut self, vm: usize, stream: &str) -> Resumption {
        self.resume_prompt(vm, None, parts(stream))
    }

    /// Goes on with a stream of a session at a VM, as a caller that names the request.
    pub fn resume_of_session(&mut self, vm: usize, stream: &str, session: &str) -> Resumption {
        self.resume_prompt(vm, Some(stream), parts(session))
    }

    fn resume_prompt(
        &mut self,
        vm: usize,
        resumes: Option<&str>,
        prompt: Arc<[id::Part]>,
    ) -> Resumption {
        let request = self.next_request();
        let arrival = Arrival {
            id: request.as_str().into(),
            resume_after: Some(1),
            resumes: resumes.map(Into::into),
            parts: prompt,
            ..stream_arrival(0, STREAM)
        };
        let call = self.arrive(vm, arrival).expect("a VM that runs");
        self.deliver();
        let start = self.now;
        while self.now < start + SEARCH_TIME && self.is_searching(vm, call) {
            self.advance(TICK);
        }
        assert!(!self.is_searching(vm, call), "a search must end");
        if let Some(refusal) = self.refusals.get(&(vm, call)) {
            return Resumption::Refused(*refusal);
        }
        let build = self.vms[&vm].harness.state.calls[&call].build.clone();
        self.apply(vm, Event::CallerDisconnected { call });
        Resumption::Bound(build)
    }

    fn is_searching(&self, vm: usize, call: id::Call) -> bool {
        let call = self.vms[&vm].harness.state.calls.get(&call);
        call.is_some_and(|call| call.search.is_some())
    }
}
