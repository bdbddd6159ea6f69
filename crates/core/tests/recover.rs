//! Reads and streams of a dead entry VM are taken over, resumed, or cancelled.

mod world;

use std::time::Duration;

use hornbeamtiller_core::event::{Event, Operation};
use hornbeamtiller_core::refusal::{Claim, Reason};

use hornbeamtiller_core::token::Token;
use world::{keyring, model_call, repeatable_call, Response, World, TICK};

/// Maximum time from the death of an entry VM until the memory of its streams is free.
const FREED_WITHIN: Duration = Duration::from_secs(15);

/// Creates a fleet in which process 1 has a stream of five tokens; returns the stream's request id.
fn world_with_stream(seed: u64) -> (World, String) {
    let mut world = World::converged(3, seed);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), model_call(), 0);
    world.respond(0);
    world.run_without_faults(TICK);
    world.execute(0);
    let attempt = world.dispatches[0].attempt;
    for position in 1..=5 {
        world.feed(1, Event::Token { attempt, position });
    }
    (world, id)
}

fn witness_of(id: &str) -> u32 {
    let keyring = keyring();
    let token = Token::parse_id(id, &keyring).expect("a good id");
    token.witness.expect("a converged fleet has a witness").vm
}

#[test]
fn stream_resumed_after_owner_died() {
    let (mut world, id) = world_with_stream(1);
    let previous = world.dispatches[0].request.clone();
    world.crash(1);
    world.dispatches.clear();
    let index = world.call(2, Some(id), model_call(), 5).expect("open");
    world.run_without_faults(Duration::from_secs(4));
    assert_eq!(world.dispatches.len(), 1);
    assert_eq!(
        world.dispatches[0].operation,
        Operation::Resume { previous, from: 5 }
    );
    world.execute(0);
    let attempt = world.dispatches[0].attempt;
    world.feed(
        2,
        Event::Token {
            attempt,
            position: 6,
        },
    );
    assert!(matches!(
        world.exchanges[index].responses[..],
        [Response::Following {
            resume_after: 5,
            ..
        }]
    ));
    // The witness records the stream for its new owner, and nobody cancels it.
    world.run_without_faults(FREED_WITHIN);
    assert!(world.cancels.is_empty());
}

#[test]
fn stream_cancelled_after_owner_died() {
    let (mut world, _) = world_with_stream(2);
    assert_eq!(world.engine_requests.len(), 1);
    world.crash(1);
    world.run_without_faults(FREED_WITHIN);
    while !world.cancels.is_empty() {
        world.deliver_cancel(0, false);
    }
    assert!(world.engine_requests.is_empty());
}

#[test]
fn stream_cancel_lost_then_owner_died() {
    let (mut world, _) = world_with_stream(7);
    let exchange = world.exchanges[0].exchange;
    world.feed(1, Event::CallerDisconnected { exchange });
    // The owner sends the cancel, the engine does not get it, and the owner dies.
    world.run_without_faults(Duration::from_secs(2));
    assert_eq!(world.cancels.len(), 1);
    world.deliver_cancel(0, true);
    world.crash(1);
    world.cancels.clear();
    world.run_without_faults(FREED_WITHIN);
    while !world.cancels.is_empty() {
        world.deliver_cancel(0, false);
    }
    assert!(world.engine_requests.is_empty());
}

#[test]
fn stream_released_after_cancel() {
    let (mut world, id) = world_with_stream(8);
    let exchange = world.exchanges[0].exchange;
    world.feed(1, Event::CallerDisconnected { exchange });
    world.run_without_faults(Duration::from_secs(2));
    world.deliver_cancel(0, false);
    world.run_without_faults(TICK);
    let witness = world.nodes[&witness_of(&id)].as_ref().expect("runs");
    assert!(witness.state.witnessed_streams.is_empty());
}

#[test]
fn stream_not_cancelled_while_owner_alive() {
    let (mut world, _) = world_with_stream(3);
    world.run_without_faults(Duration::from_secs(30));
    assert!(world.cancels.is_empty());
}

#[test]
fn stream_of_dead_owner_and_witness() {
    let (mut world, id) = world_with_stream(4);
    let witness = witness_of(&id);
    world.crash(1);
    world.crash(witness);
    let index = world
        .call(5 - witness, Some(id), model_call(), 5)
        .expect("open");
    world.run_without_faults(Duration::from_secs(8));
    // No process that the id names is left, so the answer can't be continued.
    let Response::Refused(refusal) = world.exchanges[index].responses[0] else {
        panic!(
            "expected a refusal, got {:?}",
            world.exchanges[index].responses
        );
    };
    assert_eq!(refusal.claim, Claim::Unknown);
    // The backup witness of the stream frees its memory.
    world.run_without_faults(FREED_WITHIN);
    while !world.cancels.is_empty() {
        world.deliver_cancel(0, false);
    }
    assert!(world.engine_requests.is_empty());
}

#[test]
fn recovery_after_owner_died() {
    let mut world = World::converged(3, 5);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    world.call(1, Some(id.clone()), repeatable_call(), 0);
    world.crash(1);
    let index = world.call(2, Some(id), repeatable_call(), 0).expect("open");
    world.run_without_faults(Duration::from_secs(4));
    world.run_to_completion();
    assert!(matches!(
        world.exchanges[index].responses[..],
        [Response::Answered { .. }]
    ));
}

#[test]
fn recovery_owner_unresponsive() {
    let mut world = World::converged(3, 6);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    // The owner acknowledges probes, but requests forwarded to it are lost.
    let index = world.call(2, Some(id), repeatable_call(), 0).expect("open");
    let end = world.now + Duration::from_secs(8);
    while world.now < end && world.exchanges[index].responses.is_empty() {
        while !world.forwards.is_empty() {
            world.deliver_forward(0, true);
        }
        world.advance(TICK);
        while !world.messages.is_empty() {
            world.deliver(0, false);
        }
    }
    let Response::Refused(refusal) = world.exchanges[index].responses[0] else {
        panic!("expected a refusal");
    };
    assert_eq!(
        (refusal.claim, refusal.reason),
        (Claim::Unknown, Reason::OwnerUnreachable)
    );
}
