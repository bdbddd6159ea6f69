//! Limits that runners name: requests a second that they take from all VMs together.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeamtiller_relay::event::{Effect, Event, Operation, Outcome};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::limit::{Rate, Record, Statement};
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::limits::{play, Incident, Play, Report, ALL};
use support::{
    dispatch, dispatches, member, ms, prefilled, refusal, view, Harness, IDEMPOTENT,
    NON_IDEMPOTENT, STREAM,
};

/// Rates of the plain runners, if all name limits.
const RATES: [Rate; 3] = [5.3, 6.0, 8.0];
/// When all VMs keep limits that are named at 11 s.
const SETTLED: Duration = Duration::from_secs(15);

fn all_limited(rates: [Rate; 3]) -> Incident {
    Incident::Limits(ALL.into_iter().zip(rates).collect())
}

/// Plays, and checks that no runner gets more than it may.
fn check(name: &str, played: &Play) -> Report {
    let report = play(played);
    for runner in ALL {
        let worst = report.worst_ratio(runner);
        let seed = played.seed;
        assert!(
            worst <= 1.0,
            "{name}, seed {seed}, {runner}: {worst:.2} of what is allowed"
        );
    }
    report
}

/// Guards against a runner that gets far more requests than the limit that it has named.
#[test]
fn fleet_keeps_limits() {
    for seed in 1..=3 {
        let report = check(
            "default",
            &Play {
                seed,
                ..Play::default()
            },
        );
        // The third runner names none, and takes the others.
        assert!(report.served_share(SETTLED..ms(29_000)) > 0.98);
    }
}

#[test]
fn fleet_keeps_limits_71_vms() {
    check(
        "71 VMs",
        &Play {
            vms: 71,
            length: ms(22_000),
            ..Play::default()
        },
    );
}

/// Where all runners name limits, they get what they take, and the other requests are refused at once or soon,
/// to come back when there is room.
#[test]
fn fleet_all_runners_limited() {
    for (seed, is_uneven) in [(1, false), (2, true)] {
        let incidents = vec![(ms(11_000), all_limited(RATES))];
        let report = check(
            "all limited",
            &Play {
                seed,
                is_uneven,
                incidents,
                ..Play::default()
            },
        );
        for (runner, rate) in ALL.iter().zip(RATES) {
            let got = report.rate_at(runner, SETTLED..ms(29_000));
            assert!(got > 0.9 * rate, "{runner} got {got:.1} of {rate}");
        }
        let refusals = report.refusals(SETTLED..ms(29_000));
        assert!(!refusals.is_empty());
        for (held, retry_after) in refusals {
            assert!(held <= ms(200), "held for {held:?}");
            assert!(retry_after.is_some());
        }
    }
}

/// VMs that start, leave or are cut off neither add to what a runner gets nor take it away for long.
#[test]
fn fleet_membership_changes() {
    for seed in 1..=3 {
        let mut incidents = vec![(ms(11_000), all_limited(RATES))];
        for vm in 0..8 {
            incidents.push((ms(14_000 + 900 * vm), Incident::Restart(vm as usize)));
        }
        incidents.push((ms(21_500), Incident::Restart(8)));
        incidents.push((ms(23_000), Incident::Leave(2)));
        incidents.push((ms(24_000), Incident::Cut(3, ms(2_000))));
        let report = check(
            "membership",
            &Play {
                seed,
                incidents,
                ..Play::default()
            },
        );
        for (runner, rate) in ALL.iter().zip(RATES) {
            let got = report.rate_at(runner, SETTLED..ms(29_000));
            assert!(got > 0.6 * rate, "{runner} got {got:.1} of {rate}");
        }
    }
}

/// A limit that falls is kept; one that is no longer named is lifted at all VMs.
#[test]
fn fleet_limits_change() {
    let incidents = vec![
        (ms(11_000), all_limited([12.0, 12.0, 12.0])),
        (ms(18_000), all_limited([3.0, 0.5, 12.0])),
        (ms(26_000), Incident::Limits(Vec::new())),
    ];
    let report = check(
        "changing",
        &Play {
            incidents,
            length: ms(36_000),
            ..Play::default()
        },
    );
    assert!(report.served_share(ms(31_000)..ms(35_000)) > 0.98);
}

fn instance(runner: &str) -> Instance {
    Instance {
        runner: runner.into(),
        started_at_ms: 1,
    }
}

/// Lets a VM know a limit that another one tells it.
fn tell(harness: &mut Harness, runner: &str, rate: Option<Rate>, age: Duration) {
    let mut told = view(member("vm-2", 2, 1), false);
    told.limits = vec![Record {
        instance: instance(runner),
        rate,
        age,
    }];
    harness.apply(Event::ViewReceived { view: told.into() });
}

/// The limit is taken from any response: here from that of a prefill.
#[test]
fn limit_stated_in_any_response() {
    let mut harness = Harness::new(1);
    let prefill = dispatch(&harness.arrive(STREAM));
    assert_eq!(prefill.operation, Operation::Prefill);
    harness.apply(Event::LimitStated {
        attempt: prefill.attempt,
        statement: Statement::Limited(2.0),
    });
    let rate = harness.state.limits.rate(&instance(&prefill.runner));
    assert_eq!(rate, Some(2.0));
}

/// A response that was on its way when the limit was named does not lift it; a later one does.
#[test]
fn limit_lifted_by_later_response() {
    let mut harness = Harness::new(1);
    let mut attempts = BTreeMap::new();
    while attempts.len() < 3 {
        let sent = dispatch(&harness.arrive(NON_IDEMPOTENT));
        attempts.insert(sent.runner.clone(), sent.attempt);
    }
    let early = attempts[&id::Runner::from("pay-1")];
    harness.now += ms(10);
    tell(&mut harness, "pay-1", Some(1.0), Duration::ZERO);
    let statement = Statement::Unlimited;
    harness.apply(Event::LimitStated {
        attempt: early,
        statement,
    });
    assert_eq!(harness.state.limits.rate(&instance("pay-1")), Some(1.0));
    harness.apply(Event::PermitReceived {
        instance: instance("pay-1"),
    });
    harness.now += ms(10);
    let mut sent = dispatch(&harness.arrive(NON_IDEMPOTENT));
    while &*sent.runner != "pay-1" {
        sent = dispatch(&harness.arrive(NON_IDEMPOTENT));
    }
    let attempt = sent.attempt;
    harness.apply(Event::LimitStated { attempt, statement });
    assert_eq!(harness.state.limits.rate(&instance("pay-1")), None);
}

/// Another process under the runner's name has said nothing yet.
#[test]
fn limit_ends_with_its_process() {
    let mut harness = Harness::new(1);
    tell(&mut harness, "pay-1", Some(1.0), Duration::ZERO);
    let runner = harness.state.pool.get(&"pay-1".into()).expect("a runner");
    let mut descriptor = runner.descriptor.clone();
    descriptor.started_at_ms += 1;
    descriptor.revision += 1;
    harness.apply(Event::RunnerUpdated { descriptor });
    harness.advance(ms(20));
    let runner = harness.state.pool.get(&"pay-1".into()).expect("a runner");
    assert!(!runner.is_held_back);
    assert_eq!(harness.state.limits.limited().count(), 0);
}

/// A call that can't be served in time is refused as not run, and told when to come back.
#[test]
fn limited_calls_are_refused_at_once() {
    let mut harness = Harness::new(1);
    for runner in ALL {
        tell(&mut harness, runner, Some(0.5), Duration::ZERO);
    }
    harness.arrive(IDEMPOTENT);
    let refused = refusal(&harness.arrive(IDEMPOTENT)).expect("a refusal");
    assert_eq!(
        (refused.claim, refused.reason),
        (Claim::NotRun, Reason::Limited)
    );
    let first = refused.retry_after.expect("a delay");
    let refused = refusal(&harness.arrive(IDEMPOTENT)).expect("a refusal");
    // The next one comes back later.
    assert!(refused.retry_after.expect("a delay") > first);
}

/// Second attempts need a permit like first ones.
#[test]
fn limited_runner_gets_no_second_attempt_without_permit() {
    let mut harness = Harness::new(1);
    for runner in ALL {
        tell(&mut harness, runner, Some(5.0), Duration::ZERO);
    }
    harness.arrive(IDEMPOTENT);
    let effects = harness.apply(Event::PermitReceived {
        instance: instance("pay-1"),
    });
    let sent = dispatch(&effects);
    assert_eq!(&*sent.runner, "pay-1");
    let effects = harness.end_attempt(sent.attempt, Outcome::Answered { status: 500 });
    assert!(dispatches(&effects).is_empty());
}

/// Engines that name a limit get as many requests by grants, and the others take the rest.
#[test]
fn engine_limits_bound_grants() {
    let mut harness = Harness::new(1);
    for runner in ["read-1", "make-1"] {
        tell(&mut harness, runner, Some(1.0), Duration::ZERO);
    }
    harness.advance(ms(2_000));
    let mut counts: BTreeMap<id::Runner, u32> = BTreeMap::new();
    let mut begun = 0;
    for _ in 0..40 {
        let effects = harness.arrive(STREAM);
        let mut effects: Vec<Effect> = effects;
        effects.extend(harness.advance(ms(100)));
        for prefill in dispatches(&effects) {
            *counts.entry(prefill.runner).or_default() += 1;
            let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
            *counts.entry(run.runner.clone()).or_default() += 1;
            harness.end_attempt(run.attempt, Outcome::Ended);
            begun += 1;
        }
    }
    assert!(begun >= 39, "{begun} streams");
    for runner in ["read-1", "make-1"] {
        let count = counts.get(runner).copied().unwrap_or_default();
        assert!(count <= 6, "{runner}: {count}");
    }
    assert!(counts.contains_key("make-1"), "a limited engine gets none");
}

/// Where no runner names a limit, nothing is asked and told.
#[test]
fn unlimited_runners_ask_nothing() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 1), false);
    for _ in 0..20 {
        let mut effects = harness.arrive(IDEMPOTENT);
        let attempt = dispatch(&effects).attempt;
        effects.extend(harness.end_attempt(attempt, Outcome::Answered { status: 200 }));
        effects.extend(harness.advance(ms(400)));
        let is_about_limits = |effect: &Effect| match effect {
            Effect::AskPermit { .. } | Effect::SendPermit { .. } => true,
            Effect::PublishView { view, .. } => view.digest != 0 || !view.limits.is_empty(),
            _ => false,
        };
        assert!(!support::has(&effects, is_about_limits));
    }
}
