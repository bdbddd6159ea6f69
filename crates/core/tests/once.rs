//! Calls run at most once, each exchange gets at most one response, and refusals are truthful,
//! under arbitrary interleavings of lost, duplicated, reordered and delayed messages, crashes,
//! restarts, pauses and partitions.

mod world;

use std::time::Duration;

use hornbeamtiller_core::event::{Event, Failure, Work};
use hornbeamtiller_core::id::Key;
use hornbeamtiller_core::message::Message;
use hornbeamtiller_core::refusal::{Claim, Reason, Refusal};
use hornbeamtiller_core::token::Token;
use proptest::prelude::*;

use world::{
    keyring, non_repeatable_call, property_config, repeatable_call, Envelope, Response, World, TICK,
};

/// Number of generated cases, unless the environment sets it.
const CASES: u32 = 1_500;
/// Number of processes.
const NODES: u32 = 4;

/// One step of a generated schedule.
#[derive(Debug, Clone)]
enum Step {
    /// Sends a new request whose id is under a token of the process.
    New {
        vm: u32,
        read: bool,
    },
    /// Sends a request with an id used before, to any process.
    Repeat {
        id: usize,
        vm: u32,
    },
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    DeliverForwarded {
        at: usize,
        lost: bool,
    },
    Execute(usize),
    Respond(usize),
    Fail {
        at: usize,
        failure: Failure,
    },
    Disconnect(usize),
    Advance(u64),
    Crash(u32),
    Start(u32),
    Pause(u32),
    Resume(u32),
    Partition {
        a: u32,
        b: u32,
    },
    Heal,
    SetPlatformUp(bool),
    Leave(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 1..=NODES;
    let index = 0usize..64;
    let failure = prop_oneof![
        Just(Failure::NotWritten),
        Just(Failure::Lost),
        Just(Failure::TimedOut),
        Just(Failure::TooLarge)
    ];
    prop_oneof![
        6 => (vm.clone(), prop::bool::weighted(0.2)).prop_map(|(vm, read)| Step::New { vm, read }),
        6 => (index.clone(), vm.clone()).prop_map(|(id, vm)| Step::Repeat { id, vm }),
        20 => index.clone().prop_map(Step::Deliver),
        3 => index.clone().prop_map(Step::Duplicate),
        2 => index.clone().prop_map(Step::Drop),
        6 => (index.clone(), prop::bool::weighted(0.2)).prop_map(|(at, lost)| Step::DeliverForwarded { at, lost }),
        4 => index.clone().prop_map(Step::Execute),
        5 => index.clone().prop_map(Step::Respond),
        3 => (index.clone(), failure).prop_map(|(at, failure)| Step::Fail { at, failure }),
        2 => index.prop_map(Step::Disconnect),
        8 => (1u64..60).prop_map(Step::Advance),
        2 => vm.clone().prop_map(Step::Crash),
        3 => vm.clone().prop_map(Step::Start),
        1 => vm.clone().prop_map(Step::Pause),
        2 => vm.clone().prop_map(Step::Resume),
        1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::Partition { a: a.min(b), b: a.max(b) }),
        1 => Just(Step::Heal),
        1 => any::<bool>().prop_map(Step::SetPlatformUp),
        1 => vm.prop_map(Step::Leave),
    ]
}

/// Applies a step; indexes are taken modulo the number of items.
fn apply_step(world: &mut World, ids: &mut Vec<(String, bool)>, step: &Step) {
    let pick = |number: usize, len: usize| (len > 0).then(|| number % len);
    match *step {
        Step::New { vm, read: is_read } => {
            if let Some(token) = world.owned_token(vm) {
                let id = format!("{token}.n{}", ids.len());
                ids.push((id.clone(), is_read));
                world.call(
                    vm,
                    Some(id),
                    if is_read {
                        repeatable_call()
                    } else {
                        non_repeatable_call()
                    },
                    0,
                );
            }
        }
        Step::Repeat { id, vm } => {
            if let Some(index) = pick(id, ids.len()) {
                let (id, is_read) = ids[index].clone();
                world.call(
                    vm,
                    Some(id),
                    if is_read {
                        repeatable_call()
                    } else {
                        non_repeatable_call()
                    },
                    0,
                );
            }
        }
        Step::Deliver(number) => pick(number, world.messages.len())
            .into_iter()
            .for_each(|at| world.deliver(at, false)),
        Step::Duplicate(number) => pick(number, world.messages.len())
            .into_iter()
            .for_each(|at| world.deliver(at, true)),
        Step::Drop(number) => pick(number, world.messages.len())
            .into_iter()
            .for_each(|at| _ = world.messages.remove(at)),
        Step::DeliverForwarded { at: number, lost } => {
            pick(number, world.forwards.len())
                .into_iter()
                .for_each(|at| world.deliver_forward(at, lost));
        }
        Step::Execute(number) => pick(number, world.dispatches.len())
            .into_iter()
            .for_each(|at| world.execute(at)),
        Step::Respond(number) => pick(number, world.dispatches.len())
            .into_iter()
            .for_each(|at| world.respond(at)),
        Step::Fail {
            at: number,
            failure,
        } => {
            pick(number, world.dispatches.len())
                .into_iter()
                .for_each(|at| world.fail(at, failure));
        }
        Step::Disconnect(number) => {
            if let Some(index) = pick(number, world.exchanges.len()) {
                let (vm, exchange) = (world.exchanges[index].node, world.exchanges[index].exchange);
                world.feed_from_connection(vm, Event::CallerDisconnected { exchange });
            }
        }
        Step::Advance(ticks) => world.advance(TICK * ticks as u32),
        Step::Crash(vm) => world.crash(vm),
        Step::Start(vm) => world.start(vm),
        Step::Pause(vm) => world.set_paused(vm, true),
        Step::Resume(vm) => world.set_paused(vm, false),
        Step::Partition { a, b } => _ = world.partitions.insert((a, b)),
        Step::Heal => world.partitions.clear(),
        Step::SetPlatformUp(up) => world.platform_up = up,
        Step::Leave(vm) => _ = world.feed(vm, Event::Leave),
    }
}

proptest! {
    #![proptest_config(property_config(CASES))]

    #[test]
    fn calls_any_interleaving(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::converged(NODES, seed);
        let mut ids = Vec::new();
        for step in &steps {
            apply_step(&mut world, &mut ids, step);
            world.check_invariants().map_err(TestCaseError::fail)?;
        }
        world.run_to_completion();
        world.check_invariants().map_err(TestCaseError::fail)?;
        for open in world.exchanges.iter().filter(|open| world.instance(open.node).is_some()) {
            let has_lost_callers = steps.iter().any(|step| matches!(step, Step::Disconnect(_) | Step::Crash(_)));
            prop_assert!(has_lost_callers || !open.responses.is_empty(), "exchange {} got no reply", open.exchange);
        }
    }

    #[test]
    fn calls_without_faults(seed in any::<u64>(), calls in prop::collection::vec((1..=NODES, 1..=NODES, any::<bool>()), 1..20)) {
        let mut world = World::converged(NODES, seed);
        for (number, (owner, asked, is_read)) in calls.iter().enumerate() {
            let token = world.owned_token(*owner).expect("a converged process issues tokens");
            let work = if *is_read { repeatable_call() } else { non_repeatable_call() };
            world.call(*asked, Some(format!("{token}.n{number}")), work, 0);
            world.run_without_faults(TICK);
            while !world.dispatches.is_empty() {
                world.respond(0);
            }
        }
        world.run_to_completion();
        for open in &world.exchanges {
            prop_assert!(matches!(&open.responses[..], [Response::Answered { .. }]), "{:?}", open.responses);
        }
    }
}

fn only_refusal(world: &World, index: usize) -> Refusal {
    match &world.exchanges[index].responses[..] {
        [Response::Refused(refusal)] => *refusal,
        other => panic!("expected one refusal, got {other:?}"),
    }
}

#[test]
fn intent_witness_unresponsive() {
    let mut world = World::converged(3, 1);
    let token = world.owned_token(1).expect("token");
    let index = world
        .call(1, Some(format!("{token}.a")), non_repeatable_call(), 0)
        .expect("open");
    world.messages.clear();
    for _ in 0..50 {
        world.advance(TICK);
        world.messages.clear();
    }
    let refusal = only_refusal(&world, index);
    assert_eq!(
        (refusal.claim, refusal.reason),
        (Claim::NotRun, Reason::WitnessUnreachable)
    );
    assert!(world.dispatches.is_empty());
}

#[test]
fn seal_owner_crashed_before_intent() {
    let mut world = World::converged(3, 2);
    let token = world.owned_token(1).expect("token");
    world.crash(1);
    let index = world
        .call(2, Some(format!("{token}.a")), non_repeatable_call(), 0)
        .expect("open");
    world.run_to_completion();
    let refusal = only_refusal(&world, index);
    assert_eq!(
        (refusal.claim, refusal.reason),
        (Claim::NotRun, Reason::Sealed)
    );
}

#[test]
fn seal_owner_crashed_after_intent() {
    let mut world = World::converged(3, 3);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), non_repeatable_call(), 0);
    world.run_without_faults(TICK);
    assert_eq!(world.dispatches.len(), 1);
    world.crash(1);
    let index = world
        .call(2, Some(id), non_repeatable_call(), 0)
        .expect("open");
    world.run_to_completion();
    assert_eq!(only_refusal(&world, index).claim, Claim::Unknown);
}

#[test]
fn seal_witness_restarted() {
    let mut world = World::converged(3, 10);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), non_repeatable_call(), 0);
    world.run_without_faults(TICK);
    let keyring = keyring();
    let parsed = Token::parse_id(&id, &keyring).expect("a good id");
    let witness = parsed.witness.expect("a converged fleet has a witness");
    world.crash(1);
    world.crash(witness.vm);
    world.start(witness.vm);
    world.run_without_faults(Duration::from_secs(3));
    // A node that doesn't know the new incarnation yet asks it for a record of the old one.
    let asker = world
        .instance(5 - witness.vm)
        .expect("the third process runs");
    let (key, expiry) = (Key::of(&id), parsed.expiry);
    let message = Message::Seal {
        key,
        witness: witness.incarnation,
        expiry,
    };
    world.feed(
        witness.vm,
        Event::Received {
            from: asker,
            message,
        },
    );
    let unknown = Message::SealAck { key, record: None };
    assert!(world
        .messages
        .iter()
        .any(|envelope| envelope.message == unknown));
}

/// Pauses VM 1, the owner of a call, while its intent is in flight, and has VM 2 refuse the call as
/// not run. Returns the index of the owner's exchange, and the intent.
fn seal_behind_paused_owner(world: &mut World, id: &str) -> (usize, Vec<Envelope>) {
    let first = world
        .call(1, Some(id.to_owned()), non_repeatable_call(), 0)
        .expect("open");
    world.set_paused(1, true);
    world.forwards.clear();
    let intents = std::mem::take(&mut world.messages);
    world.run_without_faults(Duration::from_secs(5));
    let index = world
        .call(2, Some(id.to_owned()), non_repeatable_call(), 0)
        .expect("open");
    world.run_without_faults(Duration::from_secs(2));
    assert_eq!(only_refusal(world, index).claim, Claim::NotRun);
    (first, intents)
}

#[test]
fn seal_owner_resumes_late() {
    let mut world = World::converged(3, 4);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    let (first, intents) = seal_behind_paused_owner(&mut world, &id);
    world.messages = intents;
    world.run_to_completion();
    assert!(world.executions.is_empty());
    assert_eq!(only_refusal(&world, first).claim, Claim::NotRun);
}

/// An intent that arrives after the id has expired must be refused for its age alone: the witness
/// has dropped the seal by then.
#[test]
fn intent_id_expired() {
    let mut world = World::with_settings(3, 4, |settings| {
        settings.token_lifetime = Duration::from_secs(20)
    });
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    let (_, intents) = seal_behind_paused_owner(&mut world, &id);
    // Long enough for the witness to drop its records.
    for _ in 0..4 {
        world.advance(Duration::from_secs(120));
        world.messages.clear();
    }
    // The owner resumes, and the reply to its intent arrives before it checks its clock.
    world.set_paused(1, false);
    world.messages = intents;
    world.deliver_all();
    assert!(
        world.dispatches.is_empty(),
        "a call was dispatched after it was refused as not run"
    );
}

/// A restarted witness has lost its seals, so it must grant no intent addressed to its previous
/// incarnation.
#[test]
fn intent_witness_restarted() {
    let mut world = World::converged(3, 4);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    let parsed = Token::parse_id(&id, &keyring()).expect("a good id");
    let witness = parsed.witness.expect("a converged fleet has a witness");
    let owner = world.instance(1).expect("the owner runs");
    world.crash(witness.vm);
    world.start(witness.vm);
    world.run_without_faults(Duration::from_secs(3));
    let key = Key::of(&id);
    let message = Message::Intent {
        key,
        witness: witness.incarnation,
        expiry: parsed.expiry,
    };
    let from = owner;
    world.feed(witness.vm, Event::Received { from, message });
    let denied = Message::IntentAck {
        key,
        granted: false,
    };
    assert!(world
        .messages
        .iter()
        .any(|envelope| envelope.message == denied));
}

#[test]
fn seal_owner_restarted_answer_at_witness() {
    let mut world = World::converged(3, 5);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), non_repeatable_call(), 0);
    world.run_without_faults(TICK);
    world.respond(0);
    world.crash(1);
    world.start(1);
    world.run_without_faults(Duration::from_secs(3));
    // The witness has the outcome, including the answer.
    let index = world
        .call(1, Some(id.clone()), non_repeatable_call(), 0)
        .expect("open");
    let other = Work::Service {
        method: "POST".to_owned(),
        path: "/other".to_owned(),
    };
    let reused = world.call(1, Some(id), other, 0).expect("open");
    world.run_to_completion();
    assert!(matches!(
        world.exchanges[index].responses[..],
        [Response::Answered { replay: true, .. }]
    ));
    let refusal = only_refusal(&world, reused);
    assert_eq!(
        (refusal.claim, refusal.reason),
        (Claim::Unknown, Reason::IdReused)
    );
    assert_eq!(world.executions.values().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn handle_repeat_takes_over_running_call() {
    let mut world = World::converged(3, 6);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    let first = world
        .call(1, Some(id.clone()), non_repeatable_call(), 0)
        .expect("open");
    world.run_without_faults(TICK);
    let second = world
        .call(2, Some(id), non_repeatable_call(), 0)
        .expect("open");
    world.run_without_faults(TICK);
    assert_eq!(only_refusal(&world, first).reason, Reason::TakenOver);
    world.respond(0);
    assert!(matches!(
        world.exchanges[second].responses[..],
        [Response::Answered { .. }]
    ));
}

#[test]
fn handle_repeat_other_body() {
    let mut world = World::converged(3, 7);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), non_repeatable_call(), 0);
    world.run_without_faults(TICK);
    let index = world.call(1, Some(id), repeatable_call(), 0).expect("open");
    let refusal = only_refusal(&world, index);
    assert_eq!(
        (refusal.claim, refusal.reason),
        (Claim::InProgress, Reason::IdReused)
    );
}

#[test]
fn arrived_isolated_node() {
    let mut world = World::converged(2, 8);
    world.crash(2);
    world.run_without_faults(Duration::from_secs(6));
    let token = world.owned_token(1).expect("token");
    let index = world
        .call(1, Some(format!("{token}.a")), non_repeatable_call(), 0)
        .expect("open");
    world.run_without_faults(TICK);
    world.respond(0);
    assert!(matches!(
        world.exchanges[index].responses[..],
        [Response::Answered { .. }]
    ));
}

#[test]
fn store_tombstone_limit() {
    let mut world = World::with_settings(2, 9, |settings| {
        settings.calls_max = 3;
        settings.tombstones_max = 2;
    });
    let token = world.owned_token(1).expect("token");
    let mut refusals = Vec::new();
    for number in 0..8 {
        let index = world
            .call(
                1,
                Some(format!("{token}.n{number}")),
                non_repeatable_call(),
                0,
            )
            .expect("open");
        if number >= 3 {
            refusals.push(only_refusal(&world, index).claim);
        }
    }
    assert_eq!(
        refusals,
        [
            Claim::NotRun,
            Claim::NotRun,
            Claim::Unknown,
            Claim::Unknown,
            Claim::Unknown
        ]
    );
    world.run_to_completion();
    world.check_invariants().expect("the replies are truthful");
}
