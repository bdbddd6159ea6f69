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
    Arrival, Effect, Event, Failure, KvCache, Listing, Now, Operation, Read, Work,
};
use hornbeamtiller_core::id::{Attempt, Call, Exchange, Fingerprint, Key, Vm};
use hornbeamtiller_core::message::Message;
use hornbeamtiller_core::reduce::reduce;
use hornbeamtiller_core::refusal::{Claim, Refusal};
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
pub fn property_config(cases: u32) -> ProptestConfig {
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
    /// Events of its own connections that wait until the process runs again.
    unread: Vec<Event>,
}

/// A message in flight.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: Instance,
    pub to: Vm,
    pub message: Message,
}

/// A dispatch that is in flight to a runner or running there.
#[derive(Debug, Clone)]
pub struct Dispatch {
    pub node: Instance,
    pub attempt: Attempt,
    pub key: Key,
    pub operation: Operation,
    pub address: SocketAddr,
    pub request: String,
    /// Whether the runner has started to execute it.
    pub executed: bool,
}

/// A response to an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    Answered { key: Key, replay: bool },
    Refused(Refusal),
    Following { key: Key, resume_after: u64 },
}

/// An exchange that a caller has opened with a node.
#[derive(Debug, Clone)]
pub struct OpenExchange {
    pub node: Vm,
    pub exchange: Exchange,
    pub id: Option<String>,
    pub responses: Vec<Response>,
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
pub struct Forward {
    pub from: Instance,
    pub exchange: Exchange,
    pub to: Vm,
    pub arrival: Arrival,
}

/// The whole simulation.
pub struct World {
    pub now: Duration,
    pub nodes: BTreeMap<Vm, Option<Node>>,
    pub messages: Vec<Envelope>,
    pub dispatches: Vec<Dispatch>,
    pub forwards: Vec<Forward>,
    pub exchanges: Vec<OpenExchange>,
    pub executions: BTreeMap<Key, u32>,
    pub partitions: BTreeSet<(Vm, Vm)>,
    pub tickets: Vec<Ticket>,
    pub platform_up: bool,
    /// Highest ticket number that the platform shows.
    pub platform_newest: usize,
    /// Number of reads of the platform so far.
    pub reads: u64,
    /// Engine requests that occupy memory, with the address of their engine.
    pub engine_requests: BTreeMap<String, SocketAddr>,
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
pub fn keyring() -> Keyring {
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
    pub fn converged(nodes: u32, seed: u64) -> Self {
        Self::with_settings(nodes, seed, |_| {})
    }

    /// Like [`World::converged`], with changed settings.
    pub fn with_settings(nodes: u32, seed: u64, configure: fn(&mut Settings)) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            messages: Vec::new(),
            dispatches: Vec::new(),
            forwards: Vec::new(),
            exchanges: Vec::new(),
            executions: BTreeMap::new(),
            partitions: BTreeSet::new(),
            tickets: vec![first_ticket()],
            platform_up: true,
            platform_newest: usize::MAX,
            reads: 0,
            engine_requests: BTreeMap::new(),
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
        world.run_without_faults(Duration::from_secs(4));
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
        let keyring = keyring();
        let state = State::new(
            settings,
            instance,
            keyring,
            self.seed ^ self.last_incarnation,
        );
        self.nodes.insert(
            vm,
            Some(Node {
                state,
                started: self.now,
                paused: false,
                unread: Vec::new(),
            }),
        );
        self.exited.remove(&vm);
        self.feed(vm, Event::Tick);
    }

    /// Ends a process without notice.
    pub fn crash(&mut self, vm: Vm) {
        self.nodes.insert(vm, None);
        self.exchanges
            .retain(|open| open.node != vm || !open.responses.is_empty());
    }

    /// Passes an event to a process; returns false if the process is paused or not running.
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

    /// Passes an event of one of its own connections to a process. The sockets of a paused process
    /// keep what they receive, so that it gets the event when it is resumed.
    pub fn feed_from_connection(&mut self, vm: Vm, event: Event) {
        match self.nodes.get_mut(&vm) {
            Some(Some(node)) if node.paused => node.unread.push(event),
            _ => _ = self.feed(vm, event),
        }
    }

    /// Pauses a process, or resumes it.
    pub fn set_paused(&mut self, vm: Vm, paused: bool) {
        let Some(Some(node)) = self.nodes.get_mut(&vm) else {
            return;
        };
        node.paused = paused;
        if paused {
            return;
        }
        for event in std::mem::take(&mut node.unread) {
            self.feed(vm, event);
        }
    }

    fn perform(&mut self, instance: Instance, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.messages.push(Envelope {
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
                self.deliver_response(instance.vm, exchange, Response::Answered { key, replay });
            }
            Effect::Refuse {
                exchange, refusal, ..
            } => self.deliver_response(instance.vm, exchange, Response::Refused(refusal)),
            Effect::Attach {
                exchange,
                call,
                resume_after,
            } => {
                let key = self.call_keys[&(instance, call)];
                self.deliver_response(
                    instance.vm,
                    exchange,
                    Response::Following { key, resume_after },
                );
            }
            Effect::Forward { exchange, vm, .. } => {
                let Some(arrival) = self.arrivals.get(&(instance.vm, exchange)).cloned() else {
                    return;
                };
                self.forwards.push(Forward {
                    from: instance,
                    exchange,
                    to: vm,
                    arrival,
                });
            }
            Effect::Dispatch {
                attempt,
                call,
                operation,
                address,
                request,
                ..
            } => {
                let key = self.call_keys[&(instance, call)];
                self.dispatches.push(Dispatch {
                    node: instance,
                    attempt,
                    key,
                    operation,
                    address,
                    request,
                    executed: false,
                });
            }
            Effect::AbortAttempt { attempt } => self.abandon(instance, attempt),
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
                self.deliver_response(
                    instance.vm,
                    exchange,
                    Response::Answered { key, replay: true },
                );
            }
            Effect::ReleaseCall { .. }
            | Effect::CompleteStream { .. }
            | Effect::StoreAnswer { .. }
            | Effect::AppendTimeline(_) => {}
        }
    }

    /// A node that abandons an attempt closes its connection, but the request may still arrive.
    fn abandon(&mut self, instance: Instance, attempt: Attempt) {
        for dispatch in &mut self.dispatches {
            if dispatch.node == instance && dispatch.attempt == attempt {
                dispatch.node.incarnation = DETACHED;
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
        let newest = self.tickets.len().min(self.platform_newest) as u64;
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

    fn deliver_response(&mut self, vm: Vm, exchange: Exchange, response: Response) {
        // A node that forwarded a request relays the owner's response to its caller.
        let forward = self
            .forwards
            .iter()
            .position(|forward| forward.to == vm && forward.arrival.exchange == exchange);
        if let Some(index) = forward {
            let forward = self.forwards.remove(index);
            let is_same_instance = self.instance(forward.from.vm) == Some(forward.from);
            if is_same_instance {
                self.deliver_response(forward.from.vm, forward.exchange, response);
                self.feed(
                    forward.from.vm,
                    Event::CallerDisconnected {
                        exchange: forward.exchange,
                    },
                );
            }
            return;
        }
        if let Some(open) = self
            .exchanges
            .iter_mut()
            .find(|open| open.node == vm && open.exchange == exchange)
        {
            open.responses.push(response);
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
    pub fn owned_token(&mut self, vm: Vm) -> Option<String> {
        let keyring = keyring();
        let is_owned =
            |text: &String| Token::decode(text, &keyring).is_ok_and(|token| token.owner.vm == vm);
        self.entry_tokens(vm).into_iter().find(is_owned)
    }

    /// Requests entries from a process; returns their tokens, best first.
    fn entry_tokens(&mut self, vm: Vm) -> Vec<String> {
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

    /// Sends a request to a process; returns the index of its exchange in `exchanges`, or `None` if
    /// the process is paused or not running.
    pub fn call(
        &mut self,
        vm: Vm,
        id: Option<String>,
        work: Work,
        resume_after: u64,
    ) -> Option<usize> {
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
            resume_after,
        };
        self.arrivals.insert((vm, exchange), arrival.clone());
        self.exchanges.push(OpenExchange {
            node: vm,
            exchange,
            id,
            responses: Vec::new(),
        });
        let index = self.exchanges.len() - 1;
        if !self.feed(vm, Event::Arrived(arrival)) {
            self.exchanges.pop();
            return None;
        }
        Some(index)
    }

    /// Delivers a message, and with `duplicate` also leaves it in flight.
    pub fn deliver(&mut self, index: usize, duplicate: bool) {
        let envelope = if duplicate {
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        if self.is_partitioned(envelope.from.vm, envelope.to) {
            return;
        }
        self.feed(
            envelope.to,
            Event::Received {
                from: envelope.from,
                message: envelope.message,
            },
        );
    }

    /// Delivers a forwarded request to its destination, or lets the forwarding fail.
    pub fn deliver_forward(&mut self, index: usize, lost: bool) {
        let forward = self.forwards[index].clone();
        if forward.arrival.forwarded {
            return;
        }
        let is_reachable = !lost
            && !self.is_partitioned(forward.from.vm, forward.to)
            && self.instance(forward.to).is_some();
        if !is_reachable {
            self.forwards.remove(index);
            self.feed_from_connection(
                forward.from.vm,
                Event::ForwardFailed {
                    exchange: forward.exchange,
                },
            );
            return;
        }
        let exchange = self.next_exchange();
        let arrival = Arrival {
            exchange,
            forwarded: true,
            ..forward.arrival.clone()
        };
        self.forwards[index].arrival = arrival.clone();
        self.arrivals
            .insert((forward.to, exchange), arrival.clone());
        if !self.feed(forward.to, Event::Arrived(arrival)) {
            self.forwards[index].arrival = forward.arrival;
        }
    }

    fn is_partitioned(&self, a: Vm, b: Vm) -> bool {
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    /// Lets a runner start to execute a dispatch.
    pub fn execute(&mut self, index: usize) {
        if self.dispatches[index].executed {
            return;
        }
        self.dispatches[index].executed = true;
        let dispatch = self.dispatches[index].clone();
        if let Operation::Resume { previous, .. } = &dispatch.operation {
            // The stream is renamed at the engine.
            if let Some(address) = self.engine_requests.remove(previous) {
                self.engine_requests.insert(dispatch.request, address);
            }
        } else if !matches!(dispatch.operation, Operation::Plain { .. }) {
            self.engine_requests
                .insert(dispatch.request, dispatch.address);
        } else {
            *self.executions.entry(dispatch.key).or_default() += 1;
        }
    }

    /// Ends a dispatch with the runner's result.
    pub fn respond(&mut self, index: usize) {
        self.execute(index);
        let dispatch = self.dispatches.remove(index);
        if self.instance(dispatch.node.vm) != Some(dispatch.node) {
            return;
        }
        let event = match dispatch.operation {
            Operation::Plain { .. } => Event::Answered {
                attempt: dispatch.attempt,
                status: 200,
                bytes: 10,
                small: Some(("".into(), dispatch.key.0[..].into())),
            },
            Operation::Prefill => {
                // An engine frees the result by itself if nobody imports it.
                self.engine_requests.remove(&dispatch.request);
                let kv = KvCache {
                    handle: dispatch.request,
                    address: dispatch.address,
                };
                Event::Prefilled {
                    attempt: dispatch.attempt,
                    kv,
                }
            }
            Operation::Resume { .. } => {
                self.engine_requests.remove(&dispatch.request);
                Event::Finished {
                    attempt: dispatch.attempt,
                }
            }
            Operation::Decode { kv, .. } => {
                self.engine_requests.remove(&dispatch.request);
                self.engine_requests.remove(&kv.handle);
                Event::Finished {
                    attempt: dispatch.attempt,
                }
            }
        };
        self.feed_from_connection(dispatch.node.vm, event);
    }

    /// Ends a dispatch with a failure that the node sees.
    pub fn fail(&mut self, index: usize, failure: Failure) {
        if failure == Failure::TooLarge {
            self.execute(index);
        }
        let dispatch = self.dispatches[index].clone();
        // A runner that has started can't refuse the request any more, and its request was written.
        let is_before_execution = matches!(
            failure,
            Failure::NotWritten | Failure::Full | Failure::KvGone
        );
        let failure = if is_before_execution && dispatch.executed {
            Failure::Lost
        } else {
            failure
        };
        if is_before_execution || dispatch.executed {
            self.dispatches.remove(index);
        } else {
            // The node has stopped waiting, but the runner may still receive the request.
            self.dispatches[index].node.incarnation = DETACHED;
        }
        if self.instance(dispatch.node.vm) == Some(dispatch.node) {
            let attempt = dispatch.attempt;
            self.feed_from_connection(dispatch.node.vm, Event::Failed { attempt, failure });
        }
    }

    /// Delivers a cancel to its engine, or loses it.
    pub fn deliver_cancel(&mut self, index: usize, lost: bool) {
        let (instance, cancel, request) = self.cancels.remove(index);
        if !lost {
            self.engine_requests.remove(&request);
            self.dispatches
                .retain(|dispatch| dispatch.request != request);
        }
        if self.instance(instance.vm) == Some(instance) {
            self.feed_from_connection(
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

    /// Advances the time without faults: messages are delivered immediately and in order.
    pub fn run_without_faults(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.advance(TICK);
            self.deliver_all();
        }
    }

    /// Delivers all messages, including those sent in response.
    pub fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
        let is_waiting = |forward: &Forward| !forward.arrival.forwarded;
        while let Some(index) = self.forwards.iter().position(is_waiting) {
            let previous_len = self.forwards.len();
            self.deliver_forward(index, false);
            if self.forwards.len() == previous_len
                && self.forwards.get(index).is_some_and(is_waiting)
            {
                break;
            }
        }
    }

    /// Runs until all work has ended, without further faults: heals partitions, resumes paused
    /// nodes, and delivers and answers everything.
    pub fn run_to_completion(&mut self) {
        self.partitions.clear();
        self.platform_up = true;
        let vms: Vec<Vm> = self.nodes.keys().copied().collect();
        for vm in vms {
            self.set_paused(vm, false);
        }
        for _ in 0..100 {
            self.run_without_faults(TICK * 5);
            while !self.dispatches.is_empty() {
                self.respond(0);
            }
            while !self.cancels.is_empty() {
                self.deliver_cancel(0, false);
            }
        }
    }

    /// Checks the invariants that must hold at any time: a call that may run only once has run at
    /// most once, no exchange has more than one final response or another call's answer, and no
    /// call that was refused with "not run" has run.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (key, count) in &self.executions {
            let has_caller_id = self
                .exchanges
                .iter()
                .any(|open| open.id.as_deref().map(Key::of) == Some(*key));
            if has_caller_id && *count > 1 && !self.is_repeatable(*key) {
                return Err(format!("{key} ran {count} times"));
            }
        }
        self.exchanges
            .iter()
            .try_for_each(|open| self.check_open(open))
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

    fn check_open(&self, open: &OpenExchange) -> Result<(), String> {
        let key = open.id.as_deref().map(Key::of);
        let final_responses = open
            .responses
            .iter()
            .filter(|response| !matches!(response, Response::Following { .. }))
            .count();
        if final_responses > 1 {
            return Err(format!(
                "exchange {} received more than one final reply: {:?}",
                open.exchange, open.responses
            ));
        }
        for response in &open.responses {
            match response {
                Response::Answered {
                    key: answered_key, ..
                }
                | Response::Following {
                    key: answered_key, ..
                } if key.is_some_and(|key| key != *answered_key) => {
                    return Err(format!(
                        "exchange {} received the answer of another call",
                        open.exchange
                    ));
                }
                Response::Refused(Refusal {
                    claim: Claim::NotRun,
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
pub fn non_repeatable_call() -> Work {
    Work::Service {
        method: "POST".to_owned(),
        path: "/top-up".to_owned(),
    }
}

/// A call that may be repeated.
pub fn repeatable_call() -> Work {
    Work::Service {
        method: "GET".to_owned(),
        path: "/read".to_owned(),
    }
}

/// A model request.
pub fn model_call() -> Work {
    Work::Model {
        prompt_tokens: 100,
        max_tokens: 20,
    }
}

impl World {
    /// Publishes the next ticket, which sets an organisation's limit to a value derived from the
    /// ticket's number.
    pub fn publish_ticket(&mut self) {
        let number = self.tickets.len() + 1;
        let limit = 1_000 + number;
        let text = format!(
            r#"{{"number":{number},"items":{{"organisation/o":{{"concurrent":{limit}}}}}}}"#
        );
        self.tickets
            .push(Ticket::parse(&text).expect("the ticket is valid"));
    }

    /// Returns the highest ticket in force at a running process.
    pub fn newest_ticket(&self, vm: Vm) -> Option<u64> {
        self.nodes[&vm]
            .as_ref()
            .map(|node| node.state.table.newest())
    }

    /// Returns whether one process considers another one down.
    pub fn considers_down(&self, at: Vm, vm: Vm) -> bool {
        let node = self.nodes[&at].as_ref();
        let member = node.and_then(|node| node.state.members.get(vm));
        member.is_some_and(|member| !member.is_reachable())
    }
}

impl World {
    /// Requests entries from a process; returns the VMs that own their tokens, best first.
    pub fn entry_owners(&mut self, vm: Vm) -> Vec<String> {
        let keyring = keyring();
        let owner_of = |text: &String| {
            let token = Token::decode(text, &keyring);
            token
                .map(|token| token.owner.vm.to_string())
                .unwrap_or_default()
        };
        self.entry_tokens(vm).iter().map(owner_of).collect()
    }
}
