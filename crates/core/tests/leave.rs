//! A process that has left answers every request at once: it has no ticks any more that could end a wait.

mod world;

use std::time::Duration;

use hornbeamtiller_core::event::{Event, Failure, Work};
use hornbeamtiller_core::refusal::{Claim, Reason, Refusal};
use hornbeamtiller_core::token::Token;

use world::{keyring, model_call, non_repeatable_call, repeatable_call, Response, World, TICK};

/// Time within which a process that leaves has exited: it serves for 10 s, and sends outcomes to a dead witness for 30 s.
const EXIT_WITHIN: Duration = Duration::from_secs(60);
/// Longer than a process that has exited waits for its callers.
const CLOSED_AFTER: Duration = Duration::from_secs(10);

fn leave(world: &mut World, vm: u32) {
    world.feed(vm, Event::Leave);
    let end = world.now + EXIT_WITHIN;
    while world.now < end && !world.exited.contains(&vm) {
        world.run_without_faults(TICK);
    }
    assert!(world.exited.contains(&vm));
}

fn lose_forwards(world: &mut World) {
    while !world.forwards.is_empty() {
        world.deliver_forward(0, true);
    }
}

/// Sends a request to a process that has exited; returns its only response, a refusal.
fn refusal_after_exit(
    world: &mut World,
    vm: u32,
    id: String,
    work: Work,
    resume_after: u64,
) -> Refusal {
    let index = world.call(vm, Some(id), work, resume_after).expect("open");
    assert_eq!(world.exchanges[index].responses.len(), 1, "at once");
    lose_forwards(world);
    let end = world.now + CLOSED_AFTER;
    while world.now < end {
        world.run_without_faults(TICK);
        lose_forwards(world);
    }
    match &world.exchanges[index].responses[..] {
        [Response::Refused(refusal)] => *refusal,
        other => panic!("expected one refusal, got {other:?}"),
    }
}

/// Returns a world in which process 2 has exited, and process 1 has died unnoticed after it issued the returned token.
fn world_with_lost_owner(seed: u64) -> (World, String) {
    let mut world = World::converged(3, seed);
    leave(&mut world, 2);
    let token = world.owned_token(1).expect("token");
    let parsed = Token::decode(&token, &keyring()).expect("a good token");
    assert_eq!(parsed.witness.map(|witness| witness.vm), Some(3));
    world.crash(1);
    (world, token)
}

fn assert_unknown(refusal: Refusal) {
    assert_eq!(
        (refusal.claim, refusal.reason),
        (Claim::Unknown, Reason::Leaving)
    );
}

/// Guards against a connection that is closed without an answer since the recovery of a stream waits for a tick.
#[test]
fn leave_refuses_stream_of_lost_owner_after_exit() {
    let (mut world, token) = world_with_lost_owner(1);
    let refusal = refusal_after_exit(&mut world, 2, format!("{token}.a"), model_call(), 5);
    assert_unknown(refusal);
}

#[test]
fn leave_refuses_repeatable_call_of_lost_owner_after_exit() {
    let (mut world, token) = world_with_lost_owner(2);
    let refusal = refusal_after_exit(&mut world, 2, format!("{token}.a"), repeatable_call(), 0);
    assert_unknown(refusal);
}

/// The witness is lost too, so that nothing answers the request to seal the id.
#[test]
fn leave_refuses_call_of_lost_owner_and_witness_after_exit() {
    let (mut world, token) = world_with_lost_owner(3);
    world.crash(3);
    let id = format!("{token}.a");
    let refusal = refusal_after_exit(&mut world, 2, id, non_repeatable_call(), 0);
    assert_unknown(refusal);
}

/// A refusal after the exit must not say "not run" of a call that its owner has run.
#[test]
fn leave_claims_nothing_of_other_owners_call_after_exit() {
    for work in [repeatable_call(), non_repeatable_call()] {
        let mut world = World::converged(3, 4);
        leave(&mut world, 2);
        let token = world.owned_token(1).expect("token");
        let id = format!("{token}.a");
        world.call(1, Some(id.clone()), work.clone(), 0);
        world.run_without_faults(TICK);
        world.execute(0);
        world.call(2, Some(id), work, 0);
        world.run_without_faults(CLOSED_AFTER);
        world.check_invariants().expect("the invariants hold");
    }
}

/// Guards against work that is dispatched after the exit, and a caller that waits for a runner without ticks.
#[test]
fn leave_refuses_parked_call_after_exit() {
    let mut world = World::converged(1, 5);
    let token = world.owned_token(1).expect("token");
    let id = format!("{token}.a");
    let index = world
        .call(1, Some(id.clone()), model_call(), 0)
        .expect("open");
    let exchange = world.exchanges[index].exchange;
    world.feed(1, Event::CallerDisconnected { exchange });
    world.run_without_faults(Duration::from_secs(3));
    while !world.cancels.is_empty() {
        world.deliver_cancel(0, false);
    }
    leave(&mut world, 1);
    world.dispatches.clear();
    let refusal = refusal_after_exit(&mut world, 1, id, model_call(), 0);
    assert_unknown(refusal);
    assert!(world.dispatches.is_empty());
}

#[test]
fn leave_refuses_new_calls_after_exit() {
    let mut world = World::converged(1, 6);
    let token = world.owned_token(1).expect("token");
    leave(&mut world, 1);
    let calls = [
        (model_call(), Claim::Unknown),
        (repeatable_call(), Claim::Unknown),
        (non_repeatable_call(), Claim::NotRun),
    ];
    for (number, (work, claim)) in calls.into_iter().enumerate() {
        let id = format!("{token}.n{number}");
        let refusal = refusal_after_exit(&mut world, 1, id, work, 0);
        assert_eq!((refusal.claim, refusal.reason), (claim, Reason::Leaving));
    }
    assert!(world.dispatches.is_empty());
}

/// The next process of a VM runs what the one before it refused, even if there was no other process.
#[test]
fn leave_refused_call_not_run_after_restart() {
    for work in [model_call(), repeatable_call(), non_repeatable_call()] {
        let mut world = World::converged(1, 6);
        let token = world.owned_token(1).expect("token");
        let id = format!("{token}.a");
        leave(&mut world, 1);
        refusal_after_exit(&mut world, 1, id.clone(), work.clone(), 0);
        world.crash(1);
        world.start(1);
        world.run_without_faults(CLOSED_AFTER);
        world.call(1, Some(id), work.clone(), 0).expect("open");
        world.run_to_completion();
        let checked = world.check_invariants();
        assert!(checked.is_ok(), "{work:?}: {checked:?}");
    }
}

/// A call that was accepted before the leave, and that no runner takes, is refused while the process leaves.
#[test]
fn leave_refused_accepted_call_not_run_elsewhere() {
    for work in [non_repeatable_call(), repeatable_call(), model_call()] {
        let mut world = World::converged(3, 8);
        let token = world.owned_token(1).expect("token");
        let id = format!("{token}.a");
        let call = world.call(1, Some(id.clone()), work.clone(), 0);
        let index = call.expect("open");
        world.feed(1, Event::Leave);
        let end = world.now + EXIT_WITHIN;
        while world.now < end && !world.exited.contains(&1) {
            world.run_without_faults(TICK);
            while !world.dispatches.is_empty() {
                world.fail(0, Failure::NotWritten);
            }
        }
        let responses = &world.exchanges[index].responses;
        assert!(matches!(responses[..], [Response::Refused(_)]));
        world.crash(1);
        world.call(2, Some(id), work.clone(), 0).expect("open");
        world.run_to_completion();
        let checked = world.check_invariants();
        assert!(checked.is_ok(), "{work:?}: {checked:?}");
    }
}

/// A refusal as "not run" is final: the id must not run at another process once the one that refused it is gone.
#[test]
fn leave_refused_call_not_run_elsewhere() {
    for work in [non_repeatable_call(), repeatable_call()] {
        let mut world = World::converged(3, 6);
        let token = world.owned_token(1).expect("token");
        let id = format!("{token}.a");
        leave(&mut world, 1);
        refusal_after_exit(&mut world, 1, id.clone(), work.clone(), 0);
        world.crash(1);
        world.call(2, Some(id), work.clone(), 0);
        world.run_to_completion();
        let checked = world.check_invariants();
        assert!(checked.is_ok(), "{work:?}: {checked:?}");
    }
}

/// Callers go on to send requests of all kinds, their own and those of a lost owner, until the process exits.
#[test]
fn leave_answers_all_calls_before_exit() {
    let mut world = World::converged(3, 7);
    let (own, lost) = (world.owned_token(2), world.owned_token(1));
    let tokens = [own.expect("token"), lost.expect("token")];
    world.crash(1);
    world.feed(2, Event::Leave);
    let end = world.now + EXIT_WITHIN;
    let mut sent = 0;
    while world.now < end && !world.exited.contains(&2) {
        if sent < 120 {
            let token = &tokens[sent % 2];
            let work =
                [model_call(), repeatable_call(), non_repeatable_call()][sent / 2 % 3].clone();
            world.call(2, Some(format!("{token}.n{sent}")), work, 0);
            sent += 1;
        }
        world.run_without_faults(5 * TICK);
        while !world.dispatches.is_empty() {
            world.respond(0);
        }
        while !world.cancels.is_empty() {
            world.deliver_cancel(0, false);
        }
    }
    assert!(world.exited.contains(&2));
    let at_exited = world.exchanges.iter().filter(|open| open.node == 2);
    for open in at_exited {
        assert!(!open.responses.is_empty(), "exchange {}", open.exchange);
    }
    world.check_invariants().expect("the invariants hold");
}
