//! A deterministic simulation of several reducers, the messages between them, and fake runners,
//! advanced one step at a time.
//!
//! The test chooses every step. A message or dispatch stays in flight until a step delivers,
//! duplicates or drops it, so every order of events can occur.

// Each test file uses only some of these items.
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

/// Start of the simulation, since the Unix epoch.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Seed of all property tests unless the environment sets one.
const SEED: u64 = 20_261_203;
/// Largest number of steps to shrink a failing case.
const SHRINK_STEPS: u32 = 2_000;

/// Configuration of a property test. The cases are the same in every run unless the environment
/// sets another number of cases or another seed.
pub fn config(cases: u32) -> ProptestConfig {
    let env_number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    ProptestConfig {
        cases: env_number("HORNBEAMTILLER_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(env_number("HORNBEAMTILLER_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: SHRINK_STEPS,
        ..ProptestConfig::default()
    }
}

/// Incarnation given to the sender of a dispatch whose result is no longer awaited.
const DETACHED: u64 = u64::MAX;
/// Interval between ticks.
pub const TICK: Duration = Duration::from_millis(20);

/// A running process.
pub struct Node {
    pub state: State,
    started: Duration,
    pub paused: bool,
}

/// A message in flight.
#[derive(Debug, Clone)]
pub struct Parcel {
    pub from: Instance,
    pub to: Vm,
    pub message: Message,
}

/// A dispatch that is in flight to a runner or running there.
#[derive(Debug, Clone)]
pub struct Sent {
    pub node: Instance,
    pub attempt: Attempt,
    pub key: Key,
    pub stage: Stage,
    pub address: SocketAddr,
    pub request: String,
    /// Whether the runner has started to execute it.
    pub executed: bool,
}

/// A reply to an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Answered { key: Key, replay: bool },
    Refused(Refusal),
    Following { key: Key, after: u64 },
}

/// An exchange that a caller has opened with a node.
#[derive(Debug, Clone)]
pub struct Open {
    pub node: Vm,
    pub exchange: Exchange,
    pub id: Option<String>,
    pub told: Vec<Told>,
}

/// A read of the tickets that waits at the platform for the next ticket.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    instance: Instance,
    after: u64,
    deadline: Duration,
}

/// A request that is being forwarded from one node to another.
#[derive(Debug, Clone)]
pub struct Passed {
    pub from: Instance,
    pub exchange: Exchange,
    pub to: Vm,
    pub arrival: Arrival,
}

/// The whole simulation.
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
    /// Highest ticket number that the platform shows.
    pub platform_shows: usize,
    /// Number of reads of the platform so far.
    pub reads: u64,
    /// Engine requests that occupy memory, with the address of their engine.
    pub engine_holds: BTreeMap<String, SocketAddr>,
    /// Cancels in flight: node, number, and engine request.
    pub cancels: Vec<(Instance, u64, String)>,
    /// Number of tokens appended to each call of each incarnation.
    pub appended: BTreeMap<(Instance, Call), u64>,
    pub exited: BTreeSet<Vm>,
    pending_reads: Vec<PendingRead>,
    call_keys: BTreeMap<(Instance, Call), Key>,
    arrivals: BTreeMap<(Vm, Exchange), Arrival>,
    issued_tokens: BTreeMap<(Vm, Exchange), Vec<String>>,
    last_exchange: Exchange,
    last_incarnation: u64,
    seed: u64,
    configure: fn(&mut Settings),
}

/// Key ring that signs the tokens of the simulation.
pub fn ring() -> Keyring {
    Keyring::new(Secret::derive("the key of the test world"), None)
}

fn address(vm: Vm, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, vm as u8], port))
}

/// The ticket that is in force at the start of every simulation.
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
    Ticket::parse(text).expect("the first ticket is valid")
}

impl World {
    /// Creates a simulation whose nodes know each other and the first ticket.
    pub fn settled(nodes: u32, seed: u64) -> Self {
        Self::tuned(nodes, seed, |_| {})
    }

    /// Like [`World::settled`], with changed settings.
    pub fn tuned(nodes: u32, seed: u64, configure: fn(&mut Settings)) -> Self {
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
            pending_reads: Vec::new(),
            call_keys: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            issued_tokens: BTreeMap::new(),
            last_exchange: 0,
            last_incarnation: 0,
            seed,
            configure,
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

    /// Starts the process of a VM, unless it is running.
    pub fn start(&mut self, vm: Vm) {
        if self.nodes[&vm].is_some() {
            return;
        }
        self.last_incarnation += 1;
        let zone = ["za", "zb", "zc"][vm as usize % 3];
        let mut settings = Settings::new(vm, zone.into(), address(vm, 80), address(vm, 81));
        (self.configure)(&mut settings);
        let instance = Instance {
            vm,
            incarnation: self.last_incarnation,
        };
        let ring = ring();
        let state = State::open(settings, instance, ring, self.seed ^ self.last_incarnation);
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

    /// Ends a process without notice.
    pub fn crash(&mut self, vm: Vm) {
        self.nodes.insert(vm, None);
        self.opens
            .retain(|open| open.node != vm || !open.told.is_empty());
    }

    /// Passes an event to a process; returns false if the process is not running or paused.
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
                _ = self.call_keys.insert((instance, call), Key::of(&id))
            }
            Effect::Answer {
                exchange,
                call,
                replay,
            } => {
                let key = self.call_keys[&(instance, call)];
                self.deliver_reply(instance.vm, exchange, Told::Answered { key, replay });
            }
            Effect::Refuse {
                exchange, refusal, ..
            } => self.deliver_reply(instance.vm, exchange, Told::Refused(refusal)),
            Effect::Attach {
                exchange,
                call,
                after,
            } => {
                let key = self.call_keys[&(instance, call)];
                self.deliver_reply(instance.vm, exchange, Told::Following { key, after });
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
                let key = self.call_keys[&(instance, call)];
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
                self.issued_tokens.insert((instance.vm, exchange), tokens);
            }
            Effect::ReplayWitnessed {
                exchange, answer, ..
            } => {
                // The fake runner's answer is the digest of the id that it ran.
                let body = answer.body.as_deref().and_then(|body| body.try_into().ok());
                let key = Key(body.expect("the body is a digest"));
                self.deliver_reply(instance.vm, exchange, Told::Answered { key, replay: true });
            }
            Effect::ReleaseCall { .. }
            | Effect::CompleteStream { .. }
            | Effect::StoreAnswer { .. }
            | Effect::AppendTimeline(_) => {}
        }
    }

    /// A node that abandons an attempt closes its connection, but the request may still arrive.
    fn abandon(&mut self, instance: Instance, attempt: Attempt) {
        for sent in &mut self.sent {
            if sent.node == instance && sent.attempt == attempt {
                sent.node.incarnation = DETACHED;
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
                let deadline = self.now + Duration::from_millis(wait_ms);
                self.pending_reads.push(PendingRead {
                    instance,
                    after,
                    deadline,
                });
                self.answer_pending_reads();
            }
            Read::List => {
                let vms = self.nodes.keys().map(|vm| listed(*vm)).collect();
                self.feed(vm, Event::ListRead { vms });
            }
        }
    }

    /// Answers the reads that have a newer ticket to return or have reached their deadline.
    fn answer_pending_reads(&mut self) {
        let newest = self.tickets.len().min(self.platform_shows) as u64;
        let is_due = |read: &PendingRead| {
            newest > read.after || self.now >= read.deadline || !self.platform_up
        };
        let (due, waiting): (Vec<PendingRead>, Vec<PendingRead>) =
            self.pending_reads.drain(..).partition(is_due);
        self.pending_reads = waiting;
        for PendingRead {
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

    fn deliver_reply(&mut self, vm: Vm, exchange: Exchange, told: Told) {
        // A node that forwarded a request relays the owner's reply to its caller.
        let passed = self
            .passed
            .iter()
            .position(|passed| passed.to == vm && passed.arrival.exchange == exchange);
        if let Some(index) = passed {
            let passed = self.passed.remove(index);
            let is_same_instance = self.instance(passed.from.vm) == Some(passed.from);
            if is_same_instance {
                self.deliver_reply(passed.from.vm, passed.exchange, told);
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

    /// Returns the incarnation that is running on a VM.
    pub fn instance(&self, vm: Vm) -> Option<Instance> {
        self.nodes
            .get(&vm)?
            .as_ref()
            .map(|node| node.state.instance)
    }

    /// Requests entries from a process; returns the first token that it owns itself, if any.
    pub fn token_of(&mut self, vm: Vm) -> Option<String> {
        let ring = ring();
        let is_owned =
            |text: &String| Token::decode(text, &ring).is_ok_and(|token| token.owner.vm == vm);
        self.tokens_of(vm).into_iter().find(is_owned)
    }

    /// Requests entries from a process; returns their tokens, best first.
    fn tokens_of(&mut self, vm: Vm) -> Vec<String> {
        let exchange = self.next_exchange();
        self.feed(
            vm,
            Event::EntriesRequested {
                exchange,
                zone: None,
            },
        );
        self.issued_tokens
            .remove(&(vm, exchange))
            .unwrap_or_default()
    }

    fn next_exchange(&mut self) -> Exchange {
        self.last_exchange += 1;
        self.last_exchange
    }

    /// Sends a request to a process; returns the index of its exchange in `opens`, or `None` if the
    /// process is not running or paused.
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
        let index = self.opens.len() - 1;
        if !self.feed(vm, Event::Arrived(arrival)) {
            self.opens.pop();
            return None;
        }
        Some(index)
    }

    /// Delivers a message, and with `duplicate` also leaves it in flight.
    pub fn deliver(&mut self, index: usize, duplicate: bool) {
        let parcel = if duplicate {
            self.parcels[index].clone()
        } else {
            self.parcels.remove(index)
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

    /// Delivers a forwarded request to its destination, or lets the forwarding fail.
    pub fn deliver_passed(&mut self, index: usize, lost: bool) {
        let passed = self.passed[index].clone();
        if passed.arrival.forwarded {
            return;
        }
        let reachable =
            !lost && !self.is_cut(passed.from.vm, passed.to) && self.instance(passed.to).is_some();
        if !reachable {
            self.passed.remove(index);
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
        self.passed[index].arrival = arrival.clone();
        self.arrivals.insert((passed.to, exchange), arrival.clone());
        if !self.feed(passed.to, Event::Arrived(arrival)) {
            self.passed[index].arrival = passed.arrival;
        }
    }

    fn is_cut(&self, a: Vm, b: Vm) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    /// Lets a runner start to execute a dispatch.
    pub fn execute(&mut self, index: usize) {
        if self.sent[index].executed {
            return;
        }
        self.sent[index].executed = true;
        let sent = self.sent[index].clone();
        if let Stage::Resume { previous, .. } = &sent.stage {
            // The stream is renamed at the engine.
            if let Some(address) = self.engine_holds.remove(previous) {
                self.engine_holds.insert(sent.request, address);
            }
        } else if !matches!(sent.stage, Stage::Plain { .. }) {
            self.engine_holds.insert(sent.request, sent.address);
        } else {
            *self.executions.entry(sent.key).or_default() += 1;
        }
    }

    /// Ends a dispatch with the runner's result.
    pub fn respond(&mut self, index: usize) {
        self.execute(index);
        let sent = self.sent.remove(index);
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
                // An engine frees the result by itself if nobody imports it.
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
    pub fn fail(&mut self, index: usize, failure: Failure) {
        if failure == Failure::TooLarge {
            self.execute(index);
        }
        let sent = self.sent[index].clone();
        // A runner that has started can't refuse the request any more, and its request was written.
        let is_before_execution = matches!(
            failure,
            Failure::NotWritten | Failure::Full | Failure::KvGone
        );
        let failure = if is_before_execution && sent.executed {
            Failure::Lost
        } else {
            failure
        };
        if is_before_execution || sent.executed {
            self.sent.remove(index);
        } else {
            // The node has stopped waiting, but the runner may still receive the request.
            self.sent[index].node.incarnation = DETACHED;
        }
        if self.instance(sent.node.vm) == Some(sent.node) {
            let attempt = sent.attempt;
            self.feed(sent.node.vm, Event::Failed { attempt, failure });
        }
    }

    /// Delivers a cancel to its engine, or loses it.
    pub fn deliver_cancel(&mut self, index: usize, lost: bool) {
        let (instance, cancel, request) = self.cancels.remove(index);
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

    /// Advances the time and ticks every running process.
    pub fn advance(&mut self, duration: Duration) {
        self.now += duration;
        self.answer_pending_reads();
        let vms: Vec<Vm> = self.nodes.keys().copied().collect();
        for vm in vms {
            self.feed(vm, Event::Tick);
        }
    }

    /// Advances the time without faults: messages are delivered at once and in order.
    pub fn run_calm(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.advance(TICK);
            self.deliver_all();
        }
    }

    /// Delivers all messages, including those sent in response.
    pub fn deliver_all(&mut self) {
        while !self.parcels.is_empty() {
            self.deliver(0, false);
        }
        let is_waiting = |passed: &Passed| !passed.arrival.forwarded;
        while let Some(index) = self.passed.iter().position(is_waiting) {
            let previous_len = self.passed.len();
            self.deliver_passed(index, false);
            if self.passed.len() == previous_len && self.passed.get(index).is_some_and(is_waiting) {
                break;
            }
        }
    }

    /// Runs until all work has ended, without further faults: heals partitions, resumes paused
    /// nodes, and delivers and answers everything.
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

    /// Checks the invariants that must hold at any time: a call that may run only once has run at
    /// most once, no exchange has more than one final reply or another call's answer, and no call
    /// that was refused with "not run" has run.
    pub fn check(&self) -> Result<(), String> {
        for (key, count) in &self.executions {
            let has_caller_id = self
                .opens
                .iter()
                .any(|open| open.id.as_deref().map(Key::of) == Some(*key));
            if has_caller_id && *count > 1 && !self.is_repeatable(*key) {
                return Err(format!("{key} ran {count} times"));
            }
        }
        self.opens.iter().try_for_each(|open| self.check_open(open))
    }

    fn is_repeatable(&self, key: Key) -> bool {
        let has_key = |arrival: &&Arrival| arrival.id.as_deref().map(Key::of) == Some(key);
        self.arrivals
            .values()
            .find(has_key)
            .is_some_and(|arrival| match &arrival.work {
                Work::Service { method, .. } => method == "GET",
                Work::Model { .. } => true,
            })
    }

    fn check_open(&self, open: &Open) -> Result<(), String> {
        let key = open.id.as_deref().map(Key::of);
        let final_replies = open
            .told
            .iter()
            .filter(|told| !matches!(told, Told::Following { .. }))
            .count();
        if final_replies > 1 {
            return Err(format!(
                "exchange {} received more than one final reply: {:?}",
                open.exchange, open.told
            ));
        }
        for told in &open.told {
            match told {
                Told::Answered {
                    key: answered_key, ..
                }
                | Told::Following {
                    key: answered_key, ..
                } if key.is_some_and(|key| key != *answered_key) => {
                    return Err(format!(
                        "exchange {} received the answer of another call",
                        open.exchange
                    ));
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
                            "exchange {} was refused with not_run ({reason:?}), but its call ran",
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
    /// Publishes the next ticket, which sets an organisation's limit to a value derived from the
    /// ticket's number.
    pub fn publish(&mut self) {
        let number = self.tickets.len() + 1;
        let limit = 1_000 + number;
        let text = format!(
            r#"{{"number":{number},"items":{{"organisation/o":{{"concurrent":{limit}}}}}}}"#
        );
        self.tickets
            .push(Ticket::parse(&text).expect("the ticket is valid"));
    }

    /// Returns the highest ticket in force at a running process.
    pub fn ticket_at(&self, vm: Vm) -> Option<u64> {
        self.nodes[&vm]
            .as_ref()
            .map(|node| node.state.table.newest())
    }

    /// Returns whether one process considers another one down.
    pub fn counts_as_down(&self, at: Vm, vm: Vm) -> bool {
        let node = self.nodes[&at].as_ref();
        let member = node.and_then(|node| node.state.members.get(vm));
        member.is_some_and(|member| !member.is_reachable())
    }
}

impl World {
    /// Requests entries from a process; returns the VMs that own their tokens, best first.
    pub fn entries_of(&mut self, vm: Vm) -> Vec<String> {
        let ring = ring();
        let owner_of = |text: &String| {
            let token = Token::decode(text, &ring);
            token
                .map(|token| token.owner.vm.to_string())
                .unwrap_or_default()
        };
        self.tokens_of(vm).iter().map(owner_of).collect()
    }
}
