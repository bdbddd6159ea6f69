//! Streamed answers have no missing or repeated token, and no engine memory stays allocated for
//! disconnected callers.

mod world;

use std::time::Duration;

use hornbeamtiller_core::event::{Event, Failure, Operation};
use hornbeamtiller_core::refusal::Claim;
use proptest::prelude::*;

use world::{model_call, property_config, Response, World, TICK};

/// Number of generated cases, unless the environment sets it.
const CASES: u32 = 1_500;
/// Maximum time from a caller's disconnect until its engine memory is free.
const FREED_WITHIN: Duration = Duration::from_secs(5);

/// One step of a generated schedule; indexes are taken modulo the number of items.
#[derive(Debug, Clone)]
enum Step {
    New,
    Reconnect {
        id: usize,
        after: u64,
    },
    Disconnect(usize),
    /// Sends a token at this distance from the expected position.
    Token {
        at: usize,
        offset: i64,
    },
    Respond(usize),
    Fail {
        at: usize,
        failure: Failure,
    },
    Execute(usize),
    Cancel {
        at: usize,
        lost: bool,
    },
    Advance(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0usize..64;
    let failure = prop_oneof![
        Just(Failure::NotWritten),
        Just(Failure::Lost),
        Just(Failure::TimedOut),
        Just(Failure::Full),
        Just(Failure::KvGone),
    ];
    prop_oneof![
        3 => Just(Step::New),
        3 => (at.clone(), 0u64..6).prop_map(|(id, after)| Step::Reconnect { id, after }),
        2 => at.clone().prop_map(Step::Disconnect),
        8 => (at.clone(), prop_oneof![8 => Just(0i64), 1 => Just(-1), 1 => Just(1)])
            .prop_map(|(at, offset)| Step::Token { at, offset }),
        6 => at.clone().prop_map(Step::Respond),
        3 => (at.clone(), failure).prop_map(|(at, failure)| Step::Fail { at, failure }),
        3 => at.clone().prop_map(Step::Execute),
        3 => (at, prop::bool::weighted(0.3)).prop_map(|(at, lost)| Step::Cancel { at, lost }),
        6 => (1u32..100).prop_map(Step::Advance),
    ]
}

fn apply_step(world: &mut World, ids: &mut Vec<String>, step: &Step) -> Result<(), TestCaseError> {
    let pick = |number: usize, len: usize| (len > 0).then(|| number % len);
    match *step {
        Step::New => {
            let token = world.owned_token(1).expect("the only process runs");
            let id = format!("{token}.n{}", ids.len());
            ids.push(id.clone());
            world.call(1, Some(id), model_call(), 0);
        }
        Step::Reconnect { id, after } => {
            if let Some(index) = pick(id, ids.len()) {
                world.call(1, Some(ids[index].clone()), model_call(), after);
            }
        }
        Step::Disconnect(number) => {
            if let Some(index) = pick(number, world.exchanges.len()) {
                let exchange = world.exchanges[index].exchange;
                world.feed(1, Event::CallerDisconnected { exchange });
            }
        }
        Step::Token { at, offset } => {
            if let Some(at) = pick(at, world.dispatches.len()) {
                send_token(world, at, offset)?;
            }
        }
        Step::Respond(number) => pick(number, world.dispatches.len())
            .into_iter()
            .for_each(|at| world.respond(at)),
        Step::Fail { at, failure } => {
            pick(at, world.dispatches.len())
                .into_iter()
                .for_each(|at| world.fail(at, failure));
        }
        Step::Execute(number) => pick(number, world.dispatches.len())
            .into_iter()
            .for_each(|at| world.execute(at)),
        Step::Cancel { at, lost } => {
            pick(at, world.cancels.len())
                .into_iter()
                .for_each(|at| world.deliver_cancel(at, lost));
        }
        Step::Advance(ticks) => world.advance(TICK * ticks),
    }
    Ok(())
}

/// Sends a token and checks that it is accepted only at the expected position.
fn send_token(world: &mut World, at: usize, offset: i64) -> Result<(), TestCaseError> {
    let dispatch = world.dispatches[at].clone();
    let Operation::Decode { .. } = dispatch.operation else {
        return Ok(());
    };
    world.execute(at);
    let total = |world: &World| world.appended.values().sum::<u64>();
    let state = &world.nodes[&1].as_ref().expect("runs").state;
    let call = state
        .by_attempt
        .get(&dispatch.attempt)
        .copied()
        .filter(|_| world.instance(1) == Some(dispatch.node));
    let emitted = call.map_or(0, |call| state.requests[&call].emitted);
    let position = (emitted as i64 + 1 + offset).max(0) as u64;
    let before = total(world);
    if world.instance(1) == Some(dispatch.node) {
        world.feed(
            1,
            Event::Token {
                attempt: dispatch.attempt,
                position,
            },
        );
    }
    let accepted = total(world) - before;
    prop_assert_eq!(
        accepted,
        u64::from(call.is_some() && offset == 0),
        "position {} after {}",
        position,
        emitted
    );
    Ok(())
}

/// Disconnects all callers and lets time pass, with engines that accept cancels.
fn disconnect_all(world: &mut World) {
    let exchanges: Vec<u64> = world.exchanges.iter().map(|open| open.exchange).collect();
    for exchange in exchanges {
        world.feed(1, Event::CallerDisconnected { exchange });
    }
    let end = world.now + FREED_WITHIN;
    while world.now < end {
        world.advance(TICK);
        while !world.cancels.is_empty() {
            world.deliver_cancel(0, false);
        }
        // Requests still in flight arrive, unless they were cancelled at their engine.
        (0..world.dispatches.len()).for_each(|at| world.execute(at));
    }
}

proptest! {
    #![proptest_config(property_config(CASES))]

    #[test]
    fn streams_any_interleaving(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..100)) {
        let mut world = World::converged(1, seed);
        let mut ids = Vec::new();
        for step in &steps {
            apply_step(&mut world, &mut ids, step)?;
            world.check_invariants().map_err(TestCaseError::fail)?;
        }
        disconnect_all(&mut world);
        prop_assert!(world.engine_requests.is_empty(), "still allocated: {:?}", world.engine_requests);
        let state = &world.nodes[&1].as_ref().expect("runs").state;
        prop_assert!(state.pending_cancels.is_empty());
        prop_assert!(state.active.is_empty());
        prop_assert!(state.active_by_organisation.is_empty());
        for (runner, load) in &state.loads {
            prop_assert_eq!(load.running, 0, "slots held at {:?}", runner);
        }
    }
}

fn start_stream(world: &mut World) -> (String, usize) {
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    let index = world
        .call(1, Some(id.clone()), model_call(), 0)
        .expect("open");
    world.respond(0);
    (id, index)
}

fn send_tokens(world: &mut World, positions: std::ops::RangeInclusive<u64>) {
    let attempt = world.dispatches[0].attempt;
    world.execute(0);
    for position in positions {
        world.feed(1, Event::Token { attempt, position });
    }
}

#[test]
fn decode_lost_resumes_after_last_token() {
    let mut world = World::converged(1, 1);
    start_stream(&mut world);
    send_tokens(&mut world, 1..=5);
    world.fail(0, Failure::Lost);
    assert_eq!(
        world.cancels.len(),
        1,
        "the request is cancelled at the lost engine"
    );
    assert_eq!(world.dispatches[0].operation, Operation::Prefill);
    world.respond(0);
    assert!(matches!(
        world.dispatches[0].operation,
        Operation::Decode { from: 5, .. }
    ));
}

#[test]
fn decode_full_keeps_prefill() {
    let mut world = World::converged(1, 2);
    start_stream(&mut world);
    world.fail(0, Failure::Full);
    assert!(
        matches!(world.dispatches[0].operation, Operation::Decode { .. }),
        "another decode runner imports the KV cache"
    );
    assert_eq!(
        world.nodes[&1]
            .as_ref()
            .expect("runs")
            .state
            .counters
            .prefills,
        1
    );
}

#[test]
fn caller_disconnected_reconnects_within_grace() {
    let mut world = World::converged(1, 3);
    let (id, index) = start_stream(&mut world);
    send_tokens(&mut world, 1..=3);
    let exchange = world.exchanges[index].exchange;
    world.feed(1, Event::CallerDisconnected { exchange });
    world.run_without_faults(Duration::from_millis(500));
    let back = world.call(1, Some(id), model_call(), 3).expect("open");
    assert!(world.cancels.is_empty());
    assert!(matches!(
        world.exchanges[back].responses[..],
        [Response::Following {
            resume_after: 3,
            ..
        }]
    ));
}

#[test]
fn caller_disconnected_reconnects_after_cancel() {
    let mut world = World::converged(1, 4);
    let (id, index) = start_stream(&mut world);
    send_tokens(&mut world, 1..=3);
    let exchange = world.exchanges[index].exchange;
    world.feed(1, Event::CallerDisconnected { exchange });
    world.run_without_faults(Duration::from_secs(3));
    assert_eq!(world.cancels.len(), 1);
    world.deliver_cancel(0, false);
    world.call(1, Some(id), model_call(), 3);
    assert_eq!(
        world
            .dispatches
            .last()
            .map(|dispatch| dispatch.operation.clone()),
        Some(Operation::Prefill)
    );
}

#[test]
fn cancel_lost_is_retried() {
    let mut world = World::converged(1, 5);
    let (_, index) = start_stream(&mut world);
    send_tokens(&mut world, 1..=1);
    let exchange = world.exchanges[index].exchange;
    world.feed(1, Event::CallerDisconnected { exchange });
    world.run_without_faults(Duration::from_secs(2));
    for _ in 0..5 {
        world.deliver_cancel(0, true);
        world.run_without_faults(Duration::from_secs(1));
    }
    assert_eq!(world.cancels.len(), 1);
    world.deliver_cancel(0, false);
    assert!(world.engine_requests.is_empty());
}

#[test]
fn prefill_waits_for_decode_slot() {
    let mut world = World::converged(1, 6);
    for number in 0..6 {
        let token = world.owned_token(1).expect("token");
        world.call(1, Some(format!("{token}.{number}")), model_call(), 0);
    }
    assert_eq!(world.dispatches.len(), 4, "two decode runners of two slots");
    for _ in 0..4 {
        world.respond(0);
    }
    assert!(world
        .dispatches
        .iter()
        .all(|dispatch| matches!(dispatch.operation, Operation::Decode { .. })));
    world.respond(0);
    assert_eq!(
        world
            .dispatches
            .iter()
            .filter(|dispatch| dispatch.operation == Operation::Prefill)
            .count(),
        1
    );
}

#[test]
fn tick_queue_timeout() {
    let mut world = World::converged(1, 7);
    let mut indexes = Vec::new();
    for number in 0..5 {
        let token = world.owned_token(1).expect("token");
        indexes.push(
            world
                .call(1, Some(format!("{token}.{number}")), model_call(), 0)
                .expect("open"),
        );
    }
    world.run_without_faults(Duration::from_secs(11));
    let Some([Response::Refused(refusal)]) = indexes
        .last()
        .map(|index| &world.exchanges[*index].responses[..])
    else {
        panic!("the last call was not refused");
    };
    assert_eq!(refusal.claim, Claim::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn tick_queue_overdue_together_with_dispatched() {
    let mut world = World::converged(1, 0);
    let mut ids = Vec::new();
    let mut steps = vec![Step::New; 5];
    steps.extend([91, 51, 59, 35, 42, 38, 50, 59].map(Step::Advance));
    // The freed slot is usable only after its runner's cooldown, when both queued calls are overdue;
    // ending one of them must not strand the other.
    steps.extend([
        Step::Respond(0),
        Step::Fail {
            at: 59,
            failure: Failure::NotWritten,
        },
        Step::Advance(76),
    ]);
    for step in &steps {
        apply_step(&mut world, &mut ids, step).expect("no token is sent");
    }
    disconnect_all(&mut world);
    assert!(world.engine_requests.is_empty());
    let state = &world.nodes[&1].as_ref().expect("runs").state;
    assert!(state.loads.values().all(|load| load.running == 0));
}
