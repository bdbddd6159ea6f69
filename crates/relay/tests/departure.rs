//! Runners that say in their own responses that they leave.

mod support;

use hornbeamtiller_relay::departure::{Record, Table};
use hornbeamtiller_relay::event::{Decline, Event, Outcome};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::{Descriptor, Instance, Status};
use support::{
    descriptor, descriptors, dispatch, dispatches, member, ms, prefilled, view, Harness,
    IDEMPOTENT, NON_IDEMPOTENT, STREAM,
};

fn instance(runner: &str) -> Instance {
    Instance {
        runner: runner.into(),
        started_at_ms: 1,
    }
}

/// Delivers requests until one is sent to a runner, which answers it and says that it leaves.
fn depart(harness: &mut Harness, runner: &str) {
    for _ in 0..100 {
        let run = dispatch(&harness.arrive(IDEMPOTENT));
        if &*run.runner == runner {
            let attempt = run.attempt;
            harness.apply(Event::DepartureStated { attempt });
        }
        harness.now += ms(10);
        harness.end_attempt(run.attempt, Outcome::Answered { status: 200 });
        if &*run.runner == runner {
            return;
        }
    }
    panic!("{runner} got no request");
}

fn is_ready(harness: &Harness, runner: &str) -> bool {
    let runner: id::Runner = runner.into();
    let known = harness.state.pool.get(&runner).expect("a runner");
    known.status == Status::Ready
}

fn entry(draining: bool, started_at_ms: u64, revision: u64) -> Descriptor {
    Descriptor {
        draining,
        started_at_ms,
        revision,
        ..descriptor("pay-1", "pay", 11, None)
    }
}

fn update(harness: &mut Harness, descriptor: Descriptor) {
    harness.apply(Event::RunnerUpdated { descriptor });
}

/// Guards against a runner that has said that it leaves and is in use again by a list that says it is ready.
#[test]
fn departing_runner_listed_as_ready_stays_leaving() {
    let mut harness = Harness::new(1);
    depart(&mut harness, "pay-1");
    update(&mut harness, entry(false, 1, 20));
    assert!(!is_ready(&harness, "pay-1"), "written anew");
    harness.apply(Event::PoolRead {
        descriptors: descriptors(),
        revision: 30,
    });
    assert!(!is_ready(&harness, "pay-1"), "the complete list");
    harness.apply(Event::RunnerRemoved {
        runner: "pay-1".into(),
        revision: 40,
    });
    harness.now += ms(60_000);
    harness.advance(ms(10));
    update(&mut harness, entry(false, 1, 50));
    assert!(
        !is_ready(&harness, "pay-1"),
        "listed again after its removal"
    );
}

/// A new process under the same name, and an entry that took the word back, count.
#[test]
fn departing_runner_back() {
    let mut harness = Harness::new(1);
    depart(&mut harness, "pay-1");
    update(&mut harness, entry(false, 2, 20));
    assert!(is_ready(&harness, "pay-1"), "a new process");
    let mut harness = Harness::new(1);
    depart(&mut harness, "pay-1");
    update(&mut harness, entry(true, 1, 20));
    assert!(!is_ready(&harness, "pay-1"));
    update(&mut harness, entry(false, 1, 21));
    assert!(is_ready(&harness, "pay-1"), "an entry of another state");
}

/// The word of one process says nothing of another one under its name.
#[test]
fn word_of_earlier_process_is_passed_over() {
    let mut harness = Harness::new(1);
    let run = (0..100)
        .map(|_| dispatch(&harness.arrive(NON_IDEMPOTENT)))
        .find(|run| &*run.runner == "pay-1")
        .expect("a request");
    update(&mut harness, entry(false, 2, 20));
    let attempt = run.attempt;
    harness.apply(Event::DepartureStated { attempt });
    assert!(is_ready(&harness, "pay-1"));
}

/// What was granted, prefilled for or held back at the runner goes elsewhere.
#[test]
fn call_with_reserved_departing_runner_goes_elsewhere() {
    let mut harness = Harness::with_shared_loads(1);
    let prefill = dispatch(&harness.arrive(STREAM));
    let call = harness.state.calls.values().next().expect("a call");
    let reserved = call.reserved_decode.clone().expect("a reservation");
    harness.apply(Event::DepartureTold {
        instance: instance(&reserved),
    });
    let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
    assert_ne!(run.runner, reserved);
}

/// A call that waits is not sent to a runner whose drain timeout has passed meanwhile.
#[test]
fn waiting_call_is_not_sent_after_drain_timeout() {
    let mut harness = Harness::new(1);
    for name in ["pay-1", "pay-2", "pay-3"] {
        harness.apply(Event::DepartureTold {
            instance: instance(name),
        });
    }
    // The last resort until shortly before the end of the drain timeout.
    let run = dispatch(&harness.arrive(IDEMPOTENT));
    let declined = Outcome::Declined(Decline::Full);
    harness.end_attempt(run.attempt, declined);
    harness.now += harness.state.settings.drain_timeout - ms(700);
    assert!(dispatches(&harness.arrive(IDEMPOTENT)).is_empty());
    for _ in 0..100 {
        assert!(dispatches(&harness.advance(ms(15))).is_empty());
    }
}

/// Guards against VMs that send requests to a runner of which others know that it leaves.
#[test]
fn departure_is_told() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 1), false);
    depart(&mut harness, "pay-1");
    let effects = harness.advance(ms(10));
    let told = support::published_views(&effects);
    let records: Vec<&Record> = told.iter().flat_map(|view| &view.departures).collect();
    assert!(records
        .iter()
        .any(|record| record.instance == instance("pay-1")));
    let mut other = Harness::new(2);
    let mut received = view(member("vm-3", 3, 1), false);
    received.departures = records.into_iter().cloned().collect();
    other.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(!is_ready(&other, "pay-1"));
}

/// A VM that lacks the word gets it with the next view, one of the release before too.
#[test]
fn departure_is_told_to_who_lacks_it() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 1), false);
    depart(&mut harness, "pay-1");
    harness.advance(ms(1_000));
    let effects = harness.receive_view(member("vm-2", 2, 1), true);
    let told = support::published_views(&effects);
    assert!(told.iter().any(|view| !view.departures.is_empty()));
}

#[test]
fn table_is_bounded() {
    let mut table = Table::default();
    for number in 0..10_000 {
        table.record(&instance(&format!("pay-{number}")), ms(number));
    }
    assert!(table.describe_all(ms(10_000)).len() <= 4_096);
    assert!(table.said_at(&instance("pay-9999")).is_some());
    table.expire(ms(10_000_000));
    assert_eq!(table.digest(), 0);
}
