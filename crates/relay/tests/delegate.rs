//! Calls that a VM which reaches no runner has another VM run.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::crash::{Crash, Feature, Report, Suspect};
use hornbeamtiller_relay::event::{
    Arrival, Decline, Dispatch, Effect, Event, Operation, Outcome, Presence,
};
use hornbeamtiller_relay::member::Status;
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::{
    dispatch, dispatches, has, member, ms, refusal, stream_arrival, view, Harness, IDEMPOTENT,
    NON_IDEMPOTENT, STREAM,
};

/// Time after which a VM that shuts down starts no attempt any more.
const LATE: Duration = Duration::from_millis(7_500);

/// A VM that knows these others.
fn fleet(others: u8) -> Harness {
    let mut harness = Harness::new(1);
    for number in 2..2 + others {
        harness.receive_view(member(&format!("vm-{number}"), number, 1), false);
    }
    harness
}

fn is_delegated(dispatch: &Dispatch) -> bool {
    matches!(dispatch.operation, Operation::Delegate { .. })
}

/// Delivers a request at a VM that reaches no runner, up to the attempt at another VM.
fn delegate(harness: &mut Harness, path: &str) -> Dispatch {
    let mut next = dispatch(&harness.arrive(path));
    for _ in 0..6 {
        if is_delegated(&next) {
            return next;
        }
        next = dispatch(&harness.end_attempt(next.attempt, Outcome::Unwritten));
    }
    panic!("no other VM was asked");
}

#[test]
fn call_without_reach_is_delegated() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT, STREAM] {
        let mut harness = fleet(2);
        harness.state.policy.allocators = false;
        let attempt = delegate(&mut harness, path).attempt;
        let outcome = Outcome::Answered { status: 200 };
        let effects = harness.end_attempt(attempt, outcome);
        let is_forwarded = |effect: &Effect| matches!(effect, Effect::ForwardResponse { .. });
        assert!(has(&effects, is_forwarded), "{path}");
        // The next one is not tried here at all.
        assert!(is_delegated(&dispatch(&harness.arrive(path))), "{path}");
    }
}

#[test]
fn call_without_peers_is_refused() {
    let mut harness = fleet(0);
    let mut effects = harness.arrive(NON_IDEMPOTENT);
    for _ in 0..100 {
        if let Some(refused) = refusal(&effects) {
            return assert_eq!(refused.claim, Claim::NotRun);
        }
        effects = match dispatches(&effects).first() {
            Some(next) => {
                assert!(!is_delegated(next));
                harness.end_attempt(next.attempt, Outcome::Unwritten)
            }
            None => harness.advance(ms(15)),
        };
    }
    panic!("it is not refused");
}

/// To a VM that is cut off runners seem to have ended; one that they respond to knows better.
#[test]
fn told_crash_of_responding_runner_is_passed_over() {
    let mut harness = fleet(1);
    let run = dispatch(&harness.arrive(NON_IDEMPOTENT));
    harness.now += ms(60);
    harness.end_attempt(run.attempt, Outcome::Answered { status: 200 });
    let runner = harness.state.pool.get(&run.runner).expect("a runner");
    let instance = runner.descriptor.instance();
    for (age, is_known) in [(ms(20), false), (ms(0), true)] {
        let suspect = Suspect {
            feature: Feature::Request(7),
            circumstance: support::circumstance(0),
            had_begun: false,
            was_sound: false,
        };
        let crash = Crash {
            instance: instance.clone(),
            age,
            suspects: vec![suspect],
        };
        let mut told = view(member("vm-2", 2, 1), false);
        told.crashes = Some(Report {
            crashes: vec![crash],
            features: Vec::new(),
        });
        harness.apply(Event::ViewReceived { view: told.into() });
        assert_eq!(harness.state.evidence.has_crashed(&instance), is_known);
        harness.now += ms(10);
    }
}

/// A VM that reaches no runner either is not asked.
#[test]
fn peer_without_reach_is_passed_over() {
    let mut harness = fleet(2);
    let mut told = view(member("vm-2", 2, 1), false);
    told.unreached = vec!["pay".into()];
    harness.apply(Event::ViewReceived { view: told.into() });
    for _ in 0..5 {
        let delegated = delegate(&mut harness, NON_IDEMPOTENT);
        assert_eq!(&*delegated.runner, "vm-3");
        harness.end_attempt(delegated.attempt, Outcome::Answered { status: 200 });
    }
}

fn arrive_delegated(harness: &mut Harness, path: &str) -> Vec<Effect> {
    harness.last_call += 1;
    let arrival = Arrival {
        prompt: None,
        delegated_by: Some("vm-2".into()),
        ..stream_arrival(harness.last_call, path)
    };
    harness.apply(Event::Arrived(arrival))
}

/// What was delegated is not delegated again, and refused at once.
#[test]
fn delegated_call_is_not_delegated_again() {
    let mut harness = fleet(2);
    let first = delegate(&mut harness, NON_IDEMPOTENT);
    harness.end_attempt(first.attempt, Outcome::Answered { status: 200 });
    let refused = refusal(&arrive_delegated(&mut harness, IDEMPOTENT)).expect("a refusal");
    assert_eq!(refused.reason, Reason::OutOfReach);
    assert_eq!(refused.claim, Claim::NotRun);
}

/// It runs once at most where it is delegated to: who delegates it counts its attempts.
#[test]
fn delegated_call_runs_once() {
    let mut harness = Harness::new(1);
    let run = dispatch(&arrive_delegated(&mut harness, IDEMPOTENT));
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    assert!(dispatches(&effects).is_empty());
    assert_eq!(refusal(&effects).map(|it| it.claim), Some(Claim::Unknown));
}

/// A VM that refuses a call has not sent it to a runner: another one is asked, a few times.
#[test]
fn refused_by_peer_asks_next() {
    let mut harness = fleet(5);
    let mut asked = vec![delegate(&mut harness, NON_IDEMPOTENT)];
    loop {
        let refused = Outcome::Declined(Decline::Refused);
        let last = asked.last().expect("an attempt").attempt;
        let effects = harness.end_attempt(last, refused);
        let Some(next) = dispatches(&effects).first().cloned() else {
            break;
        };
        if !is_delegated(&next) {
            break;
        }
        asked.push(next);
    }
    assert_eq!(asked.len(), 3);
    let mut names: Vec<_> = asked.iter().map(|attempt| &attempt.runner).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 3);
}

/// Guards against callers that are refused for want of a retry, while no runner has got their request.
#[test]
fn peer_out_of_reach_costs_no_retry() {
    for (decline, is_asked) in [
        (Decline::OutOfReach, true),
        (Decline::Leaving, true),
        (Decline::Refused, false),
    ] {
        let mut harness = fleet(3);
        harness.state.settings.retry_slack = 0.0;
        harness.state.settings.retry_ratio = 0.0;
        let first = delegate(&mut harness, NON_IDEMPOTENT);
        let effects = harness.end_attempt(first.attempt, Outcome::Declined(decline));
        let next = dispatches(&effects);
        assert_eq!(next.iter().any(is_delegated), is_asked, "{decline}");
    }
}

/// A VM that has run for a while.
fn long_running() -> Harness {
    let mut harness = Harness::new(1);
    harness.now += LATE;
    harness
}

/// Has a VM notice that it was asked to shut down some time ago.
fn leave_late(harness: &mut Harness) {
    harness.apply(Event::Leave {
        noticed_after: LATE,
    });
}

/// Guards against callers that are refused for want of a retry, since a VM that shuts down refuses what it has sent to
/// no runner as if it had.
#[test]
fn delegated_call_refused_leaving_unsent() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT, STREAM] {
        let mut harness = long_running();
        leave_late(&mut harness);
        let refused = refusal(&arrive_delegated(&mut harness, path)).expect("a refusal");
        assert_eq!(refused.reason, Reason::LeavingUnsent, "{path}");
        assert_eq!(refused.claim, Claim::NotRun, "{path}");
        let refused = refusal(&harness.arrive(path)).expect("a refusal");
        assert_eq!(refused.reason, Reason::Leaving, "{path}: a caller's");
    }
}

/// The same of a call that could not be written to a runner before, and of one that comes after the exit.
#[test]
fn delegated_call_refused_leaving_unwritten() {
    let mut harness = long_running();
    let reached = dispatch(&harness.arrive(NON_IDEMPOTENT));
    harness.end_attempt(reached.attempt, Outcome::Answered { status: 200 });
    let run = dispatch(&arrive_delegated(&mut harness, NON_IDEMPOTENT));
    leave_late(&mut harness);
    let refused = refusal(&harness.end_attempt(run.attempt, Outcome::Unwritten));
    assert_eq!(refused.map(|it| it.reason), Some(Reason::LeavingUnsent));
    harness.advance(LATE);
    assert!(harness.state.exited);
    let refused = refusal(&arrive_delegated(&mut harness, NON_IDEMPOTENT));
    assert_eq!(refused.map(|it| it.reason), Some(Reason::LeavingUnsent));
}

/// What a runner has got counts for the retries of the VM that asked: the refusal does not say that none has.
#[test]
fn delegated_call_refused_leaving_after_decline() {
    let mut harness = long_running();
    let run = dispatch(&arrive_delegated(&mut harness, NON_IDEMPOTENT));
    leave_late(&mut harness);
    let declined = Outcome::Declined(Decline::Full);
    let refused = refusal(&harness.end_attempt(run.attempt, declined)).expect("a refusal");
    assert_eq!(refused.reason, Reason::Leaving);
    assert_eq!(refused.claim, Claim::NotRun);
}

/// Guards against callers that are refused as all VMs that reach runners shut down at the same time: these still
/// serve whom they have.
#[test]
fn call_without_reach_others_leaving_is_delegated() {
    let mut harness = fleet(2);
    for number in 2..4 {
        let mut leaving = member(&format!("vm-{number}"), number, 2);
        leaving.status = Status::Leaving;
        harness.receive_view(leaving, false);
    }
    delegate(&mut harness, NON_IDEMPOTENT);
}

/// A VM that serves is asked before one that shuts down.
#[test]
fn call_without_reach_serving_before_leaving() {
    for seed in 0..8 {
        let mut harness = Harness::new(seed);
        harness.receive_view(member("vm-2", 2, 1), false);
        let mut leaving = member("vm-3", 3, 2);
        leaving.status = Status::Leaving;
        harness.receive_view(leaving, false);
        let asked = delegate(&mut harness, NON_IDEMPOTENT);
        assert_eq!(&*asked.runner, "vm-2");
    }
}

/// The link to the other VM breaks: what may run once is not sent again, a read is.
#[test]
fn lost_at_peer() {
    let mut harness = fleet(3);
    let once = delegate(&mut harness, NON_IDEMPOTENT);
    let effects = harness.end_attempt(once.attempt, Outcome::Lost);
    assert!(dispatches(&effects).is_empty());
    assert_eq!(refusal(&effects).map(|it| it.claim), Some(Claim::Unknown));
    let read = delegate(&mut harness, IDEMPOTENT);
    let again = dispatch(&harness.end_attempt(read.attempt, Outcome::Lost));
    assert!(is_delegated(&again));
    let effects = harness.end_attempt(again.attempt, Outcome::Lost);
    assert!(dispatches(&effects).is_empty(), "two attempts are allowed");
}

/// A caller who leaves ends the attempt at the other VM.
#[test]
fn caller_gone_aborts_delegated() {
    let mut harness = fleet(2);
    let read = delegate(&mut harness, IDEMPOTENT);
    let effects = harness.apply(Event::CallerDisconnected { call: read.call });
    let is_abort = |effect: &Effect| matches!(effect, Effect::AbortAttempt { attempt } if *attempt == read.attempt);
    assert!(has(&effects, is_abort));
}

/// A VM that is found to be down gives its reads back.
#[test]
fn peer_down_takes_back() {
    let mut harness = fleet(2);
    let read = delegate(&mut harness, IDEMPOTENT);
    let down = harness.state.members.get(&read.runner).expect("a member");
    let address = down.descriptor.peer_address;
    let mut effects = Vec::new();
    for _ in 0..3 {
        effects.extend(harness.apply(Event::PeerUnresponsive { address }));
        harness.now += ms(400);
    }
    let next = dispatches(&effects);
    assert!(next.iter().any(is_delegated), "{effects:?}");
    assert_ne!(next[0].runner, read.runner);
}

/// Once a probe gets through, calls go to runners here again.
#[test]
fn probe_ends_delegation() {
    let mut harness = fleet(2);
    let first = delegate(&mut harness, NON_IDEMPOTENT);
    harness.end_attempt(first.attempt, Outcome::Answered { status: 200 });
    let mut probed = Vec::new();
    for effect in harness.advance(ms(1_500)) {
        if let Effect::CheckRunner { instance, .. } = effect {
            probed.push(instance);
        }
    }
    assert!(!probed.is_empty() && probed.len() <= 3);
    for instance in probed {
        let presence = Presence::Listening;
        harness.apply(Event::RunnerChecked { instance, presence });
    }
    assert!(!is_delegated(&dispatch(&harness.arrive(NON_IDEMPOTENT))));
}

/// One runner that fails while others respond is no reason to ask another VM, and is not probed.
#[test]
fn one_failing_runner_is_not_out_of_reach() {
    let mut harness = fleet(2);
    let first = dispatch(&harness.arrive(NON_IDEMPOTENT));
    let second = dispatch(&harness.end_attempt(first.attempt, Outcome::Unwritten));
    assert!(!is_delegated(&second));
    harness.end_attempt(second.attempt, Outcome::Answered { status: 200 });
    let effects = harness.advance(ms(1_500));
    let is_probe = |effect: &Effect| matches!(effect, Effect::CheckRunner { .. });
    assert!(!has(&effects, is_probe));
}

fn leave(harness: &mut Harness, runners: &[&str]) {
    for runner in runners {
        let instance = Instance {
            runner: (*runner).into(),
            started_at_ms: 1,
        };
        harness.apply(Event::DepartureTold { instance });
    }
}

/// Guards against callers that are refused at a VM that reaches no runner, as it has been told that all of them leave:
/// they still serve whom nobody else can, and another VM reaches them.
#[test]
fn call_without_reach_runners_leaving_is_delegated() {
    for (path, leaving) in [
        (NON_IDEMPOTENT, &["pay-1", "pay-2", "pay-3"][..]),
        (IDEMPOTENT, &["pay-1", "pay-2", "pay-3"]),
        (STREAM, &["make-1", "make-2", "read-1", "read-2"]),
    ] {
        let mut harness = fleet(2);
        harness.state.policy.allocators = false;
        leave(&mut harness, leaving);
        let attempt = delegate(&mut harness, path).attempt;
        harness.end_attempt(attempt, Outcome::Answered { status: 200 });
        // The next one is not tried here at all.
        assert!(is_delegated(&dispatch(&harness.arrive(path))), "{path}");
    }
}

/// A runner that leaves gets no request from any VM once its drain timeout has passed, so none is asked then.
#[test]
fn call_without_reach_runners_left_is_not_delegated() {
    let mut harness = fleet(2);
    leave(&mut harness, &["pay-1", "pay-2", "pay-3"]);
    let first = delegate(&mut harness, NON_IDEMPOTENT);
    harness.end_attempt(first.attempt, Outcome::Answered { status: 200 });
    harness.now += harness.state.settings.drain_timeout;
    assert!(dispatches(&harness.arrive(NON_IDEMPOTENT)).is_empty());
}

/// Guards against a VM that refuses a delegated call at the first runner that has ended, while it reaches another one
/// that leaves too.
#[test]
fn delegated_call_runners_leaving_tries_next() {
    let mut harness = Harness::new(1);
    leave(&mut harness, &["pay-1", "pay-2", "pay-3"]);
    let reached = dispatch(&harness.arrive(NON_IDEMPOTENT));
    harness.now += ms(10);
    harness.end_attempt(reached.attempt, Outcome::Answered { status: 200 });
    let first = dispatch(&arrive_delegated(&mut harness, NON_IDEMPOTENT));
    let effects = harness.end_attempt(first.attempt, Outcome::Unwritten);
    assert!(refusal(&effects).is_none(), "{effects:?}");
    assert_eq!(dispatches(&effects).len(), 1);
}

/// Guards against a stream of two software versions: one that began at a runner of another VM goes on at one of this VM,
/// which does not know its version.
#[test]
fn stream_begun_elsewhere_never_goes_on_here() {
    let mut harness = fleet(1);
    harness.state.policy.allocators = false;
    let stream = delegate(&mut harness, STREAM);
    let attempt = stream.attempt;
    harness.apply(Event::StreamStarted { attempt });
    harness.stream_event(attempt, 1);
    for number in 1..3 {
        for kind in ["make", "read"] {
            let runner = format!("{kind}-{number}").into();
            let known = harness.state.pool.get_mut(&runner).expect("a runner");
            known.last_seen_at = Some(harness.now);
            known.breaker.end_failures();
        }
    }
    harness.state.unreached.clear();
    let mut effects = harness.end_attempt(attempt, Outcome::Lost);
    effects.extend(harness.advance(ms(500)));
    let here = dispatches(&effects);
    assert!(here.iter().all(is_delegated), "{here:?}");
}
