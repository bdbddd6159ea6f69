//! A refusal that says that a call was not run is true, whatever its attempts went through before.

mod world;

use std::time::Duration;

use hornbeamtiller_core::event::{Failure, Operation};
use hornbeamtiller_core::refusal::Claim;

use world::{model_call, repeatable_call, Response, World, TICK};

/// Longer than the queue timeout of the first ticket.
const QUEUE_TIMEOUT_PASSED: Duration = Duration::from_millis(10_100);

/// The claim of the only response of an exchange; `None` if it is no refusal.
fn claim(world: &World, index: usize) -> Option<Claim> {
    match &world.exchanges[index].responses[..] {
        [Response::Refused(refusal)] => Some(refusal.claim),
        _ => None,
    }
}

#[test]
fn refuse_overdue_after_execution() {
    let mut world = World::converged(1, 1);
    let token = world.owned_token(1).expect("token");
    let index = world
        .call(1, Some(format!("{token}.a")), repeatable_call(), 0)
        .expect("open");
    world.execute(0);
    world.run_without_faults(QUEUE_TIMEOUT_PASSED);
    for _ in 0..2 {
        world.execute(0);
        world.fail(0, Failure::TimedOut);
    }
    world.advance(TICK);
    world.check_invariants().expect("the refusal is truthful");
    assert_eq!(claim(&world, index), Some(Claim::Unknown));
}

#[test]
fn refuse_overdue_before_execution() {
    let mut world = World::converged(1, 1);
    let token = world.owned_token(1).expect("token");
    let index = world
        .call(1, Some(format!("{token}.a")), repeatable_call(), 0)
        .expect("open");
    world.run_without_faults(QUEUE_TIMEOUT_PASSED);
    for _ in 0..2 {
        world.fail(0, Failure::NotWritten);
    }
    world.advance(TICK);
    assert_eq!(claim(&world, index), Some(Claim::NotRun));
}

#[test]
fn refuse_overdue_after_prefill() {
    let mut world = World::converged(1, 1);
    let mut indexes = Vec::new();
    for number in 0..4 {
        let token = world.owned_token(1).expect("token");
        let id = format!("{token}.{number}");
        indexes.push(world.call(1, Some(id), model_call(), 0).expect("open"));
    }
    world.run_without_faults(QUEUE_TIMEOUT_PASSED);
    world.respond(0);
    let decode = world.dispatches.last().expect("the decode is dispatched");
    assert!(matches!(decode.operation, Operation::Decode { .. }));
    world.fail(world.dispatches.len() - 1, Failure::Full);
    world.advance(TICK);
    assert_eq!(claim(&world, indexes[0]), Some(Claim::Unknown));
}

#[test]
fn refuse_unwritten_after_take_over() {
    let mut world = World::converged(3, 2);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), repeatable_call(), 0);
    world.execute(0);
    world.crash(1);
    world.dispatches.clear();
    let index = world.call(2, Some(id), repeatable_call(), 0).expect("open");
    for _ in 0..8 {
        world.run_without_faults(Duration::from_secs(1));
        while !world.dispatches.is_empty() {
            world.fail(0, Failure::NotWritten);
        }
    }
    world.check_invariants().expect("the refusal is truthful");
    assert_eq!(claim(&world, index), Some(Claim::Unknown));
}
