//! Runners that decline a request and ask for no further ones for a time.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::event::{Decline, Effect, Event, Operation, Outcome};
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::{
    descriptor, dispatch, dispatches, has, member, ms, prefilled, refusal, Harness, IDEMPOTENT,
    NON_IDEMPOTENT, STREAM,
};

/// Has the runner of an attempt decline it and ask for a rest.
fn decline(harness: &mut Harness, attempt: u64, time: Duration) -> Vec<Effect> {
    harness.apply(Event::RestAsked { attempt, time });
    harness.end_attempt(attempt, Outcome::Declined(Decline::Full))
}

/// Has the plain runners rest, one after the other.
fn rest_all(harness: &mut Harness, times: [Duration; 3]) -> Vec<Effect> {
    let mut effects = harness.arrive(NON_IDEMPOTENT);
    for time in times {
        let attempt = dispatch(&effects).attempt;
        effects = decline(harness, attempt, time);
    }
    effects
}

#[test]
fn all_resting_is_refused_until_first_ends() {
    let mut harness = Harness::new(1);
    rest_all(&mut harness, [ms(9_000), ms(4_000), ms(6_000)]);
    let refused = refusal(&harness.arrive(IDEMPOTENT)).expect("a refusal");
    assert_eq!(
        (refused.reason, refused.claim),
        (Reason::Resting, Claim::NotRun)
    );
    let delay = refused.retry_after.expect("a delay");
    assert!(delay >= ms(4_000) && delay <= ms(5_600), "{delay:?}");
    harness.now += ms(4_001);
    assert!(refusal(&harness.arrive(IDEMPOTENT)).is_none());
}

/// The longest of several counts, and a success does not end it.
#[test]
fn longest_rest_counts() {
    let mut harness = Harness::new(1);
    let mut effects = Vec::new();
    for path in [IDEMPOTENT; 12] {
        effects.push(dispatch(&harness.arrive(path)));
    }
    let runner = effects[0].runner.clone();
    let of_runner: Vec<_> = effects.iter().filter(|run| run.runner == runner).collect();
    assert!(of_runner.len() >= 3);
    decline(&mut harness, of_runner[0].attempt, ms(5_000));
    decline(&mut harness, of_runner[1].attempt, ms(1_000));
    harness.end_attempt(of_runner[2].attempt, Outcome::Answered { status: 200 });
    harness.now += ms(4_900);
    for _ in 0..40 {
        assert_ne!(dispatch(&harness.arrive(NON_IDEMPOTENT)).runner, runner);
    }
}

/// A new process under the name starts free.
#[test]
fn rest_ends_with_process() {
    let mut harness = Harness::new(1);
    rest_all(&mut harness, [ms(9_000); 3]);
    let mut descriptor = descriptor("pay-1", "pay", 11, None);
    (descriptor.started_at_ms, descriptor.revision) = (2, 20);
    harness.apply(Event::RunnerUpdated { descriptor });
    assert_eq!(&*dispatch(&harness.arrive(IDEMPOTENT)).runner, "pay-1");
}

/// It binds this VM alone, so another one may run the call.
#[test]
fn call_with_all_resting_is_delegated() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 1), false);
    let effects = rest_all(&mut harness, [ms(9_000); 3]);
    // The call that runners declined has arrived there, and stays.
    assert_eq!(refusal(&effects).map(|it| it.reason), Some(Reason::Resting));
    let next = dispatch(&harness.arrive(NON_IDEMPOTENT));
    assert!(matches!(next.operation, Operation::Delegate { .. }));
}

/// A call that was granted, or has a cache at, an engine that rests now goes elsewhere or is refused.
#[test]
fn call_with_reserved_resting_engine_goes_elsewhere() {
    let mut harness = Harness::with_shared_loads(1);
    let first = dispatch(&harness.arrive(STREAM));
    let run = dispatch(&harness.end_attempt(first.attempt, prefilled()));
    let second = dispatch(&harness.arrive(STREAM));
    let reserved = harness.state.calls[&second.call].reserved_decode.clone();
    let reserved = reserved.expect("a reservation");
    harness.apply(Event::RestAsked {
        attempt: run.attempt,
        time: ms(9_000),
    });
    let next = dispatch(&harness.end_attempt(second.attempt, prefilled()));
    assert_ne!(next.runner, run.runner);
    assert!(reserved == run.runner || next.runner == reserved);
}

/// A stream that has started is not cut for it: it waits, as long as its caller does.
#[test]
fn started_stream_waits() {
    let mut harness = Harness::with_shared_loads(1);
    let prefill = dispatch(&harness.arrive(STREAM));
    let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
    harness.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    harness.apply(Event::StreamEvent {
        attempt: run.attempt,
        position: Some(1),
    });
    let mut attempts = vec![run.attempt];
    for _ in 0..3 {
        let effects = match attempts.pop() {
            Some(attempt) => decline(&mut harness, attempt, ms(1_000)),
            None => break,
        };
        attempts.extend(dispatches(&effects).iter().map(|next| next.attempt));
        let is_cut = |effect: &Effect| matches!(effect, Effect::AbortStream { .. });
        assert!(!has(&effects, is_cut));
    }
}

/// Guards against requests to a runner that has asked for none for longer than a minute.
#[test]
fn rest_of_many_minutes_counts() {
    let mut harness = Harness::new(1);
    let minutes = |minutes: u64| Duration::from_secs(60 * minutes);
    rest_all(&mut harness, [minutes(50), minutes(20), minutes(30)]);
    for _ in 0..19 {
        harness.now += minutes(1);
        let refused = refusal(&harness.arrive(IDEMPOTENT)).expect("a refusal");
        assert_eq!(refused.reason, Reason::Resting);
    }
    harness.now += minutes(2);
    assert!(refusal(&harness.arrive(IDEMPOTENT)).is_none());
}
