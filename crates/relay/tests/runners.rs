//! Placement, circuit breakers, and updates of the list of runners and the manifest.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::breaker::{Breaker, Observation};
use hornbeamtiller_relay::event::{Event, Outcome};
use hornbeamtiller_relay::pool::{Descriptor, Status};
use support::{
    descriptor, descriptors, dispatch, dispatches, manifest, ms, routes, Harness, IDEMPOTENT,
    NON_IDEMPOTENT,
};

fn runners_used(harness: &mut Harness, count: usize) -> Vec<String> {
    let mut used: Vec<String> = Vec::new();
    for _ in 0..count {
        let run = dispatch(&harness.arrive(IDEMPOTENT));
        used.push(run.runner.to_string());
        harness.now += ms(30);
        harness.end_attempt(run.attempt, Outcome::Answered { status: 200 });
    }
    used.sort();
    used.dedup();
    used
}

fn draining(name: &str, host: u8) -> Descriptor {
    Descriptor {
        draining: true,
        revision: 20,
        ..descriptor(name, "pay", host, None)
    }
}

#[test]
fn pick_leaving_runner() {
    let mut harness = Harness::new(1);
    harness.apply(Event::RunnerUpdated {
        descriptor: draining("pay-1", 11),
    });
    assert_eq!(runners_used(&mut harness, 60), ["pay-2", "pay-3"]);
}

#[test]
fn pick_removed_runner() {
    let mut harness = Harness::new(1);
    harness.apply(Event::RunnerRemoved {
        runner: "pay-2".into(),
        revision: 20,
    });
    assert_eq!(runners_used(&mut harness, 60), ["pay-1", "pay-3"]);
}

#[test]
fn pick_leaving_runner_as_last_resort() {
    let mut harness = Harness::new(1);
    for (name, host) in [("pay-1", 11), ("pay-2", 12), ("pay-3", 13)] {
        harness.apply(Event::RunnerUpdated {
            descriptor: draining(name, host),
        });
    }
    assert_eq!(dispatches(&harness.arrive(NON_IDEMPOTENT)).len(), 1);
    // Leaving runners stop getting requests well before the end of their drain timeout.
    harness.now += ms(1_500);
    assert!(dispatches(&harness.arrive(NON_IDEMPOTENT)).is_empty());
}

#[test]
fn pick_open_breaker() {
    let mut harness = Harness::new(1);
    let first = dispatch(&harness.arrive(NON_IDEMPOTENT));
    harness.end_attempt(first.attempt, Outcome::Unwritten);
    assert!(!runners_used(&mut harness, 60).contains(&first.runner.to_string()));
    harness.now += Duration::from_secs(5);
    assert_eq!(runners_used(&mut harness, 60).len(), 3);
}

/// A runner whose breaker is open is skipped even if the others fail more often.
#[test]
fn pick_open_breaker_among_failing() {
    let mut harness = Harness::new(1);
    let now = harness.now;
    let broken: hornbeamtiller_relay::id::Runner = "pay-1".into();
    for (name, observation, times) in [
        ("pay-1", Observation::Broken, 1),
        ("pay-2", Observation::Failed, 30),
        ("pay-3", Observation::Failed, 30),
    ] {
        let runner = harness.state.pool.get_mut(&name.into()).expect("known");
        for _ in 0..times {
            runner.breaker.record(now, observation);
        }
    }
    for _ in 0..40 {
        assert_ne!(dispatch(&harness.arrive(NON_IDEMPOTENT)).runner, broken);
    }
    harness.now += ms(200);
    let used: Vec<_> = (0..40)
        .map(|_| dispatch(&harness.arrive(NON_IDEMPOTENT)).runner)
        .collect();
    assert!(used.contains(&broken));
}

/// A runner at whose address another one listens gets no more requests.
#[test]
fn pick_displaced_runner() {
    let mut harness = Harness::new(1);
    let first = dispatch(&harness.arrive(NON_IDEMPOTENT));
    let displaced = Outcome::Declined(hornbeamtiller_relay::event::Decline::Displaced);
    harness.end_attempt(first.attempt, displaced);
    harness.now += Duration::from_secs(30);
    assert!(!runners_used(&mut harness, 60).contains(&first.runner.to_string()));
}

#[test]
fn breaker_silent_opens_longer() {
    let mut broken = Breaker::default();
    broken.record(ms(0), Observation::Broken);
    let mut silent = Breaker::default();
    silent.record(ms(0), Observation::Silent);
    assert!(silent.open_until() > broken.open_until());
    silent.record(ms(10), Observation::Good);
    assert!(!silent.is_open(ms(10)));
}

#[test]
fn breaker_failure_rate_decays() {
    let mut breaker = Breaker::default();
    for _ in 0..20 {
        breaker.record(ms(0), Observation::Failed);
    }
    assert!(breaker.failure_rate(ms(0)) > 0.9);
    assert!(breaker.failure_rate(ms(30_000)) < 0.01);
}

#[test]
fn pick_failing_runner_gets_less() {
    let mut harness = Harness::new(1);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..300 {
        harness.now += ms(10);
        let run = dispatch(&harness.arrive(NON_IDEMPOTENT));
        let status = if &*run.runner == "pay-1" { 500 } else { 200 };
        *counts.entry(run.runner.to_string()).or_insert(0) += 1;
        harness.now += ms(30);
        harness.end_attempt(run.attempt, Outcome::Answered { status });
    }
    assert!(counts["pay-1"] < 40, "{counts:?}");
}

/// A read that is older than the removal of an entry does not restore the entry.
#[test]
fn upsert_older_entry() {
    let mut harness = Harness::new(1);
    harness.apply(Event::RunnerRemoved {
        runner: "pay-2".into(),
        revision: 20,
    });
    // A stale read delivers the old entry again.
    harness.apply(Event::RunnerUpdated {
        descriptor: descriptor("pay-2", "pay", 12, None),
    });
    let runner = harness.state.pool.get(&"pay-2".into()).expect("known");
    assert!(matches!(runner.status, Status::Leaving { .. }));
}

#[test]
fn upsert_restored_entry() {
    let mut harness = Harness::new(1);
    harness.apply(Event::RunnerRemoved {
        runner: "pay-2".into(),
        revision: 20,
    });
    harness.apply(Event::RunnerUpdated {
        descriptor: Descriptor {
            revision: 21,
            ..descriptor("pay-2", "pay", 12, None)
        },
    });
    let runner = harness.state.pool.get(&"pay-2".into()).expect("known");
    assert_eq!(runner.status, Status::Ready);
}

#[test]
fn replace_missing_entry() {
    let mut harness = Harness::new(1);
    let descriptors = descriptors()
        .into_iter()
        .filter(|descriptor| &*descriptor.runner != "pay-3");
    harness.apply(Event::PoolRead {
        descriptors: descriptors.collect(),
        revision: 30,
    });
    let runner = harness.state.pool.get(&"pay-3".into()).expect("known");
    assert!(matches!(runner.status, Status::Leaving { .. }));
}

#[test]
fn manifest_read_older_version() {
    let mut harness = Harness::new(1);
    harness.apply(Event::ManifestRead {
        manifest: manifest(9, routes()),
    });
    harness.apply(Event::ManifestRead {
        manifest: manifest(4, Vec::new()),
    });
    let version = harness.state.manifest.as_ref().map(|known| known.version);
    assert_eq!(version, Some(9));
    assert_eq!(dispatches(&harness.arrive(NON_IDEMPOTENT)).len(), 1);
}

#[test]
fn find_route_longest_prefix() {
    let mut routes = routes();
    let mut longer = routes[0].clone();
    longer.prefix = "/once/special/".into();
    longer.name = "longer".into();
    routes.push(longer);
    let manifest = manifest(3, routes);
    let name = |path: &str| {
        let route = manifest.find_route(support::HOST, path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("/once/special/x").as_deref(), Some("longer"));
    assert_eq!(name("/once/specialx").as_deref(), Some("/once/"));
    assert_eq!(name("/once"), None);
    assert_eq!(name("/"), None);
}
