//! Several reducers, the messages between them, and fake runners, moved one step at a time.
//!
//! Every step is chosen by the test. A message or a dispatch that is under way stays so until a
//! step delivers, doubles or drops it, so that every order of events can come about.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hornbeamtiller_core::event::{
    Arrival, Effect, Event, Failure, KvCache, Listing, Now, Read, Stage, Work,
};
use hornbeamtiller_core::id::{Attempt, Call, Exchange, Fingerprint, Key, Vm};
use hornbeamtiller_core::message::Message;
use hornbeamtiller_core::reduce::reduce;
use hornbeamtiller_core::refusal::{Code, Refusal};
use hornbeamtiller_core::settings::Settings;
use hornbeamtiller_core::state::State;
use hornbeamtiller_core::ticket::Ticket;
use hornbeamtiller_core::token::{Instance, Keyring, Secret, Token};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Start of the world, since the Unix epoch.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Seed of all property tests where the environment does not say.
const SEED: u64 = 20_261_203;
/// Steps taken to shrink a failing case.
const SHRINK_STEPS: u32 = 2_000;

/// Settings of a property test: the same cases every time, unless the environment asks for others.
pub fn config(cases: u32) -> ProptestConfig {
    let given = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: given("HORNBEAMTILLER_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(given("HORNBEAMTILLER_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: SHRINK_STEPS,
        ..ProptestConfig::default()
    }
}

/// Boot of the sender of a request that nobody waits for any more.
const NOBODY: u64 = u64::MAX;
/// Interval of ticks.
pub const TICK: Duration = Duration::from_millis(20);

/// One process.
pub struct Node {
    pub state: State,
    started: Duration,
    pub paused: bool,
}

/// A message under way.
#[derive(Debug, Clone)]
pub struct Parcel {
    pub from: Instance,
    pub to: Vm,
    pub message: Message,
}

/// A dispatch under way to a runner, or at it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub node: Instance,
    pub attempt: Attempt,
    pub key: Key,
    pub stage: Stage,
    pub address: SocketAddr,
    pub request: String,
    /// Whether the runner has begun to execute it.
    pub executed: bool,
}

/// What an exchange was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Answered { key: Key, replay: bool },
    Refused(Refusal),
    Following { key: Key, after: u64 },
}

/// An exchange that a caller has open with a node.
#[derive(Debug, Clone)]
pub struct Open {
    pub node: Vm,
    pub exchange: Exchange,
    pub id: Option<String>,
    pub told: Vec<Told>,
}

/// A wait at the platform for the next ticket.
#[derive(Debug, Clone, Copy)]
struct Watch {
    instance: Instance,
    after: u64,
    until: Duration,
}

/// A request that is passed from one node to another.
#[derive(Debug, Clone)]
pub struct Passed {
    pub from: Instance,
    pub exchange: Exchange,
    pub to: Vm,
    pub arrival: Arrival,
}

/// The whole.
pub struct World {
    pub now: Duration,
    pub nodes: BTreeMap<Vm, Option<Node>>,
    pub parcels: Vec<Parcel>,
    pub sent: Vec<Sent>,
    pub passed: Vec<Passed>,
    pub opens: Vec<Open>,
    pub executions: BTreeMap<Key, u32>,
    pub cut: BTreeSet<(Vm, Vm)>,
    pub tickets: Vec<Ticket>,
    pub platform_up: bool,
    /// Number of the newest ticket that the platform shows.
    pub platform_shows: usize,
    /// Reads of the platform so far.
    pub reads: u64,
    /// Engine requests that hold memory, with their address.
    pub engine_holds: BTreeMap<String, SocketAddr>,
    /// Cancels under way: node, number, engine request.
    pub cancels: Vec<(Instance, u64, String)>,
    /// Positions appended to each call of each boot.
    pub appended: BTreeMap<(Instance, Call), u64>,
    pub exited: BTreeSet<Vm>,
    watches: Vec<Watch>,
    keys: BTreeMap<(Instance, Call), Key>,
    arrivals: BTreeMap<(Vm, Exchange), Arrival>,
    tokens: BTreeMap<(Vm, Exchange), Vec<String>>,
    last_exchange: Exchange,
    last_boot: u64,
    seed: u64,
    tune: fn(&mut Settings),
}

/// Keys of the world's tokens.
pub fn ring() -> Keyring {
    Keyring::new(Secret::derive("the key of the test world"), None)
}

fn address(vm: Vm, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, vm as u8], port))
}

/// The ticket that all worlds begin with.
pub fn first_ticket() -> Ticket {
    let text = r#"{ "number": 1, "items": {
        "endpoint/app": { "kind": "service", "timeout_ms": 1000,
            "runners": [
                { "id": "a1", "address": "127.0.2.1:1", "zone": "za" },
                { "id": "a2", "address": "127.0.2.2:1", "zone": "zb" }
            ],
            "repeatable": [{ "method": "GET", "path": "/read" }] },
        "endpoint/model": { "kind": "model", "timeout_ms": 1000,
            "runners": [
                { "id": "p1", "address": "127.0.3.1:1", "zone": "za", "role": "prefill", "slots": 4 },
                { "id": "p2", "address": "127.0.3.2:1", "zone": "zb", "role": "prefill", "slots": 4 },
                { "id": "d1", "address": "127.0.4.1:1", "zone": "za", "role": "decode", "slots": 2 },
                { "id": "d2", "address": "127.0.4.2:1", "zone": "zb", "role": "decode", "slots": 2 }
            ] }
    } }"#;
    Ticket::parse(text).expect("the first ticket is good")
}

impl World {
    /// A world whose nodes all know each other and the first ticket.
    pub fn settled(nodes: u32, seed: u64) -> Self {
        Self::tuned(nodes, seed, |_| {})
    }

    /// The same with changed settings.
    pub fn tuned(nodes: u32, seed: u64, tune: fn(&mut Settings)) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            parcels: Vec::new(),
            sent: Vec::new(),
            passed: Vec::new(),
            opens: Vec::new(),
            executions: BTreeMap::new(),
            cut: BTreeSet::new(),
            tickets: vec![first_ticket()],
            platform_up: true,
            platform_shows: usize::MAX,
            reads: 0,
            engine_holds: BTreeMap::new(),
            cancels: Vec::new(),
            appended: BTreeMap::new(),
            exited: BTreeSet::new(),
            watches: Vec::new(),
            keys: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            tokens: BTreeMap::new(),
            last_exchange: 0,
            last_boot: 0,
            seed,
            tune,
        };
        for vm in 1..=nodes {
            world.nodes.insert(vm, None);
        }
        for vm in 1..=nodes {
            world.start(vm);
        }
        world.run_calm(Duration::from_secs(4));
        world
    }

    /// Boots a process.
    pub fn start(&mut self, vm: Vm) {
        if self.nodes[&vm].is_some() {
            return;
        }
        self.last_boot += 1;
        let zone = ["za", "zb", "zc"][vm as usize % 3];
        let mut settings = Settings::new(vm, zone.into(), address(vm, 80), address(vm, 81));
        (self.tune)(&mut settings);
        let instance = Instance {
            vm,
            incarnation: self.last_boot,
        };
        let ring = ring();
        let state = State::open(settings, instance, ring, self.seed ^ self.last_boot);
        self.nodes.insert(
            vm,
            Some(Node {
                state,
                started: self.now,
                paused: false,
            }),
        );
        self.exited.remove(&vm);
        self.feed(vm, Event::Tick);
    }

    /// Ends a process without any notice.
    pub fn crash(&mut self, vm: Vm) {
        self.nodes.insert(vm, None);
        self.opens
            .retain(|open| open.node != vm || !open.told.is_empty());
    }

    /// Feeds an event to a process that runs; tells whether it did.
    pub fn feed(&mut self, vm: Vm, event: Event) -> bool {
        let now = self.now;
        let Some(Some(node)) = self.nodes.get_mut(&vm) else {
            return false;
        };
        if node.paused {
            return false;
        }
        let up = now - node.started;
        let mut effects = Vec::new();
        reduce(
            &mut node.state,
            Now {
                up,
                unix: EPOCH + now,
            },
            event,
            &mut effects,
        );
        let instance = node.state.instance;
        for effect in effects {
            self.perform(instance, effect);
        }
        true
    }

    fn perform(&mut self, instance: Instance, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.parcels.push(Parcel {
                from: instance,
                to,
                message,
            }),
            Effect::RetainRequest { call, id, .. } => {
                _ = self.keys.insert((instance, call), Key::of(&id))
            }
            Effect::Answer {
                exchange,
                call,
                replay,
            } => {
                let key = self.keys[&(instance, call)];
                self.tell(instance.vm, exchange, Told::Answered { key, replay });
            }
            Effect::Refuse {
                exchange, refusal, ..
            } => self.tell(instance.vm, exchange, Told::Refused(refusal)),
            Effect::Attach {
                exchange,
                call,
                after,
            } => {
                let key = self.keys[&(instance, call)];
                self.tell(instance.vm, exchange, Told::Following { key, after });
            }
            Effect::Forward { exchange, vm, .. } => {
                let Some(arrival) = self.arrivals.get(&(instance.vm, exchange)).cloned() else {
                    return;
                };
                self.passed.push(Passed {
                    from: instance,
                    exchange,
                    to: vm,
                    arrival,
                });
            }
            Effect::Dispatch {
                attempt,
                call,
                stage,
                address,
                request,
                ..
            } => {
                let key = self.keys[&(instance, call)];
                self.sent.push(Sent {
                    node: instance,
                    attempt,
                    key,
                    stage,
                    address,
                    request,
                    executed: false,
                });
            }
            Effect::Abort { attempt } => self.abandon(instance, attempt),
            Effect::AppendToken { call } => {
                *self.appended.entry((instance, call)).or_default() += 1
            }
            Effect::Cancel {
                cancel, request, ..
            } => self.cancels.push((instance, cancel, request)),
            Effect::Read(read) => self.read(instance.vm, read),
            Effect::Exit => _ = self.exited.insert(instance.vm),
            Effect::Entries {
                exchange, entries, ..
            } => {
                let tokens = entries.into_iter().map(|entry| entry.token).collect();
                self.tokens.insert((instance.vm, exchange), tokens);
            }
            Effect::ReplayWitnessed {
                exchange, answer, ..
            } => {
                // The fake runner's answer is the digest of the id that it ran.
                let body = answer.body.as_deref().and_then(|body| body.try_into().ok());
                let key = Key(body.expect("a digest"));
                self.tell(instance.vm, exchange, Told::Answered { key, replay: true });
            }
            Effect::ReleaseCall { .. }
            | Effect::CompleteStream { .. }
            | Effect::StoreAnswer { .. }
            | Effect::AppendTimeline(_) => {}
        }
    }

    /// A node that gives up an attempt closes its connection; the request may still arrive.
    fn abandon(&mut self, instance: Instance, attempt: Attempt) {
        for sent in &mut self.sent {
            if sent.node == instance && sent.attempt == attempt {
                sent.node.incarnation = NOBODY;
            }
        }
    }

    fn read(&mut self, vm: Vm, read: Read) {
        self.reads += 1;
        if !self.platform_up {
            self.feed(vm, Event::ReadFailed { read });
            return;
        }
        match read {
            Read::Tickets { after, wait_ms } => {
                let Some(instance) = self.instance(vm) else {
                    return;
                };
                let until = self.now + Duration::from_millis(wait_ms);
                self.watches.push(Watch {
                    instance,
                    after,
                    until,
                });
                self.answer_watches();
            }
            Read::List => {
                let vms = self.nodes.keys().map(|vm| listed(*vm)).collect();
                self.feed(vm, Event::ListRead { vms });
            }
        }
    }

    /// Answers watches that have something to say, or have waited long enough.
    fn answer_watches(&mut self) {
        let newest = self.tickets.len().min(self.platform_shows) as u64;
        let due =
            |watch: &Watch| newest > watch.after || self.now >= watch.until || !self.platform_up;
        let (due, waiting): (Vec<Watch>, Vec<Watch>) = self.watches.drain(..).partition(due);
        self.watches = waiting;
        for Watch {
            instance, after, ..
        } in due
        {
            if self.instance(instance.vm) != Some(instance) {
                continue;
            }
            let texts = self
                .tickets
                .iter()
                .take(newest as usize)
                .skip(after as usize);
            let tickets = texts.map(|ticket| ticket.text.clone()).collect();
            let event = if self.platform_up {
                Event::TicketsRead { tickets, newest }
            } else {
                Event::ReadFailed {
                    read: Read::Tickets { after, wait_ms: 0 },
                }
            };
            self.feed(instance.vm, event);
        }
    }

    fn tell(&mut self, vm: Vm, exchange: Exchange, told: Told) {
        // A node that passed the request on gives its caller what the owner said.
        let passed = self
            .passed
            .iter()
            .position(|passed| passed.to == vm && passed.arrival.exchange == exchange);
        if let Some(at) = passed {
            let passed = self.passed.remove(at);
            let same_boot = self.instance(passed.from.vm) == Some(passed.from);
            if same_boot {
                self.tell(passed.from.vm, passed.exchange, told);
                self.feed(
                    passed.from.vm,
                    Event::CallerDisconnected {
                        exchange: passed.exchange,
                    },
                );
            }
            return;
        }
        if let Some(open) = self
            .opens
            .iter_mut()
            .find(|open| open.node == vm && open.exchange == exchange)
        {
            open.told.push(told);
        }
    }

    /// The boot that runs on a VM.
    pub fn instance(&self, vm: Vm) -> Option<Instance> {
        self.nodes
            .get(&vm)?
            .as_ref()
            .map(|node| node.state.instance)
    }

    /// Tokens that a process gives out, best first; the first own one where there is one.
    pub fn token_of(&mut self, vm: Vm) -> Option<String> {
        let ring = ring();
        let own =
            |text: &String| Token::decode(text, &ring).is_ok_and(|token| token.owner.vm == vm);
        self.tokens_of(vm).into_iter().find(own)
    }

    /// Asks a process for entries and gives their tokens, best first.
    fn tokens_of(&mut self, vm: Vm) -> Vec<String> {
        let exchange = self.next_exchange();
        self.feed(
            vm,
            Event::EntriesRequested {
                exchange,
                zone: None,
            },
        );
        self.tokens.remove(&(vm, exchange)).unwrap_or_default()
    }

    fn next_exchange(&mut self) -> Exchange {
        self.last_exchange += 1;
        self.last_exchange
    }

    /// Sends a request to a process; gives the place of its exchange in `opens`.
    pub fn call(&mut self, vm: Vm, id: Option<String>, work: Work, after: u64) -> Option<usize> {
        let exchange = self.next_exchange();
        let endpoint = if matches!(work, Work::Model { .. }) {
            "model"
        } else {
            "app"
        };
        let arrival = Arrival {
            exchange,
            id: id.clone(),
            endpoint: endpoint.into(),
            fingerprint: Fingerprint::of("POST", &format!("{work:?}"), b""),
            work,
            organisation: "org".into(),
            forwarded: false,
            after,
        };
        self.arrivals.insert((vm, exchange), arrival.clone());
        self.opens.push(Open {
            node: vm,
            exchange,
            id,
            told: Vec::new(),
        });
        let place = self.opens.len() - 1;
        if !self.feed(vm, Event::Arrived(arrival)) {
            self.opens.pop();
            return None;
        }
        Some(place)
    }

    /// Delivers, and maybe keeps, a message under way.
    pub fn deliver(&mut self, at: usize, keep: bool) {
        let parcel = if keep {
            self.parcels[at].clone()
        } else {
            self.parcels.remove(at)
        };
        if self.is_cut(parcel.from.vm, parcel.to) {
            return;
        }
        self.feed(
            parcel.to,
            Event::Received {
                from: parcel.from,
                message: parcel.message,
            },
        );
    }

    /// Lets a passed request reach the node that it was passed to, or fail.
    pub fn deliver_passed(&mut self, at: usize, lost: bool) {
        let passed = self.passed[at].clone();
        if passed.arrival.forwarded {
            return;
        }
        let reachable =
            !lost && !self.is_cut(passed.from.vm, passed.to) && self.instance(passed.to).is_some();
        if !reachable {
            self.passed.remove(at);
            self.feed(
                passed.from.vm,
                Event::ForwardFailed {
                    exchange: passed.exchange,
                },
            );
            return;
        }
        let exchange = self.next_exchange();
        let arrival = Arrival {
            exchange,
            forwarded: true,
            ..passed.arrival.clone()
        };
        self.passed[at].arrival = arrival.clone();
        self.arrivals.insert((passed.to, exchange), arrival.clone());
        if !self.feed(passed.to, Event::Arrived(arrival)) {
            self.passed[at].arrival = passed.arrival;
        }
    }

    fn is_cut(&self, a: Vm, b: Vm) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    /// Lets a runner begin what was sent to it.
    pub fn execute(&mut self, at: usize) {
        if self.sent[at].executed {
            return;
        }
        self.sent[at].executed = true;
        let sent = self.sent[at].clone();
        if let Stage::Resume { previous, .. } = &sent.stage {
            // The engine gives the stream its new name.
            if let Some(address) = self.engine_holds.remove(previous) {
                self.engine_holds.insert(sent.request, address);
            }
        } else if !matches!(sent.stage, Stage::Plain { .. }) {
            self.engine_holds.insert(sent.request, sent.address);
        } else {
            *self.executions.entry(sent.key).or_default() += 1;
        }
    }

    /// Ends a dispatch with a runner's result.
    pub fn respond(&mut self, at: usize) {
        self.execute(at);
        let sent = self.sent.remove(at);
        if self.instance(sent.node.vm) != Some(sent.node) {
            return;
        }
        let event = match sent.stage {
            Stage::Plain { .. } => Event::Answered {
                attempt: sent.attempt,
                status: 200,
                bytes: 10,
                small: Some(("".into(), sent.key.0[..].into())),
            },
            Stage::Prefill => {
                // An engine drops the result by itself when nobody imports it.
                self.engine_holds.remove(&sent.request);
                let kv = KvCache {
                    handle: sent.request,
                    address: sent.address,
                };
                Event::Prefilled {
                    attempt: sent.attempt,
                    kv,
                }
            }
            Stage::Resume { .. } => {
                self.engine_holds.remove(&sent.request);
                Event::Finished {
                    attempt: sent.attempt,
                }
            }
            Stage::Decode { kv, .. } => {
                self.engine_holds.remove(&sent.request);
                self.engine_holds.remove(&kv.handle);
                Event::Finished {
                    attempt: sent.attempt,
                }
            }
        };
        self.feed(sent.node.vm, event);
    }

    /// Ends a dispatch with a failure that the node sees.
    pub fn fail(&mut self, at: usize, failure: Failure) {
        if failure == Failure::TooLarge {
            self.execute(at);
        }
        let sent = self.sent[at].clone();
        // A runner that has begun can't refuse any more, nor was the request never written.
        let early = matches!(
            failure,
            Failure::NotWritten | Failure::Full | Failure::KvGone
        );
        let failure = if early && sent.executed {
            Failure::Lost
        } else {
            failure
        };
        if early || sent.executed {
            self.sent.remove(at);
        } else {
            // The node has given up, and the runner may still get the request.
            self.sent[at].node.incarnation = NOBODY;
        }
        if self.instance(sent.node.vm) == Some(sent.node) {
            let attempt = sent.attempt;
            self.feed(sent.node.vm, Event::Failed { attempt, failure });
        }
    }

    /// Lets an engine take, or lose, a cancel.
    pub fn deliver_cancel(&mut self, at: usize, lost: bool) {
        let (instance, cancel, request) = self.cancels.remove(at);
        if !lost {
            self.engine_holds.remove(&request);
            self.sent.retain(|sent| sent.request != request);
        }
        if self.instance(instance.vm) == Some(instance) {
            self.feed(
                instance.vm,
                Event::CancelEnded {
                    cancel,
                    acknowledged: !lost,
                },
            );
        }
    }

    /// Lets time pass; every process that runs ticks.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.answer_watches();
        let vms: Vec<Vm> = self.nodes.keys().copied().collect();
        for vm in vms {
            self.feed(vm, Event::Tick);
        }
    }

    /// Lets time pass without faults: messages arrive in order at once.
    pub fn run_calm(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance(TICK);
            self.deliver_all();
        }
    }

    /// Delivers all messages, also those that come of them.
    pub fn deliver_all(&mut self) {
        while !self.parcels.is_empty() {
            self.deliver(0, false);
        }
        let waiting = |passed: &Passed| !passed.arrival.forwarded;
        while let Some(at) = self.passed.iter().position(waiting) {
            let before = self.passed.len();
            self.deliver_passed(at, false);
            if self.passed.len() == before && self.passed.get(at).is_some_and(waiting) {
                break;
            }
        }
    }

    /// Lets everything end without further faults: heals, wakes, delivers and answers.
    pub fn drain(&mut self) {
        self.cut.clear();
        self.platform_up = true;
        self.nodes
            .values_mut()
            .flatten()
            .for_each(|node| node.paused = false);
        for _ in 0..100 {
            self.run_calm(TICK * 5);
            while !self.sent.is_empty() {
                self.respond(0);
            }
            while !self.cancels.is_empty() {
                self.deliver_cancel(0, false);
            }
        }
    }

    /// Checks what must hold at any time.
    pub fn check(&self) -> Result<(), String> {
        for (key, count) in &self.executions {
            let once = self
                .opens
                .iter()
                .any(|open| open.id.as_deref().map(Key::of) == Some(*key));
            if once && *count > 1 && !self.is_repeatable(*key) {
                return Err(format!("{key} ran {count} times"));
            }
        }
        self.opens.iter().try_for_each(|open| self.check_open(open))
    }

    fn is_repeatable(&self, key: Key) -> bool {
        let mine = |arrival: &&Arrival| arrival.id.as_deref().map(Key::of) == Some(key);
        self.arrivals
            .values()
            .find(mine)
            .is_some_and(|arrival| match &arrival.work {
                Work::Service { method, .. } => method == "GET",
                Work::Model { .. } => true,
            })
    }

    fn check_open(&self, open: &Open) -> Result<(), String> {
        let key = open.id.as_deref().map(Key::of);
        let finals = open
            .told
            .iter()
            .filter(|told| !matches!(told, Told::Following { .. }))
            .count();
        if finals > 1 {
            return Err(format!(
                "exchange {} was told {:?}",
                open.exchange, open.told
            ));
        }
        for told in &open.told {
            match told {
                Told::Answered { key: of, .. } | Told::Following { key: of, .. }
                    if key.is_some_and(|key| key != *of) =>
                {
                    return Err(format!("exchange {} got another's answer", open.exchange));
                }
                Told::Refused(Refusal {
                    code: Code::NotRun,
                    reason,
                    ..
                }) => {
                    let ran = key
                        .and_then(|key| self.executions.get(&key))
                        .copied()
                        .unwrap_or(0);
                    if ran > 0 {
                        return Err(format!(
                            "exchange {} was told not_run ({reason:?}), and it ran",
                            open.exchange
                        ));
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn listed(vm: Vm) -> Listing {
    let zone = ["za", "zb", "zc"][vm as usize % 3].into();
    Listing {
        vm,
        zone,
        caller_address: address(vm, 80),
        peer_address: address(vm, 81),
        leaving: false,
    }
}

/// A call that may run only once.
pub fn once() -> Work {
    Work::Service {
        method: "POST".to_owned(),
        path: "/top-up".to_owned(),
    }
}

/// A call that may be repeated.
pub fn read() -> Work {
    Work::Service {
        method: "GET".to_owned(),
        path: "/read".to_owned(),
    }
}

/// A model request.
pub fn model() -> Work {
    Work::Model {
        prompt_tokens: 100,
        max_tokens: 20,
    }
}

impl World {
    /// Publishes the next ticket, which sets the limit of an organisation to its own number.
    pub fn publish(&mut self) {
        let number = self.tickets.len() + 1;
        let limit = 1_000 + number;
        let text = format!(
            r#"{{"number":{number},"items":{{"organisation/o":{{"concurrent":{limit}}}}}}}"#
        );
        self.tickets
            .push(Ticket::parse(&text).expect("a good ticket"));
    }

    /// Highest ticket in force at a process that runs.
    pub fn ticket_at(&self, vm: Vm) -> Option<u64> {
        self.nodes[&vm]
            .as_ref()
            .map(|node| node.state.table.newest())
    }

    /// Tells whether one process takes another for dead.
    pub fn counts_as_down(&self, at: Vm, vm: Vm) -> bool {
        let node = self.nodes[&at].as_ref();
        let member = node.and_then(|node| node.state.members.get(vm));
        member.is_some_and(|member| !member.is_reachable())
    }
}

impl World {
    /// Addresses that a process gives out, best first.
    pub fn entries_of(&mut self, vm: Vm) -> Vec<String> {
        let ring = ring();
        let owner = |text: &String| {
            let token = Token::decode(text, &ring);
            token
                .map(|token| token.owner.vm.to_string())
                .unwrap_or_default()
        };
        self.tokens_of(vm).iter().map(owner).collect()
    }
}
