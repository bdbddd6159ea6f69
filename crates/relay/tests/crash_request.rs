//! Requests that crash each runner that runs them, and come again.

mod support;

use hornbeamtiller_relay::crash::{
    Abandoned, Feature, Hold, Record, Report, Suspects, SUSPECTS_MAX,
};
use hornbeamtiller_relay::decision_log::Kind;
use hornbeamtiller_relay::event::{Decline, Effect, Event, Outcome, Presence};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::{
    circumstance, dispatch, has, ms, refusal, Harness, IDEMPOTENT, NON_IDEMPOTENT, STREAM,
    STREAM_NOT_RESUMABLE,
};

/// What a caller asks for that crashes runners.
const CRASHING: id::Fingerprint = 0xbad;

fn checks(effects: &[Effect]) -> Vec<Instance> {
    let checks = effects.iter().filter_map(|effect| match effect {
        Effect::CheckRunner { instance, .. } => Some(instance.clone()),
        _ => None,
    });
    checks.collect()
}

/// Finds that a runner has ended, and starts it anew.
fn restart(harness: &mut Harness, instance: &Instance) {
    harness.apply(Event::RunnerChecked {
        instance: instance.clone(),
        presence: Presence::Refused,
    });
    let known = harness.state.pool.get(&instance.runner).expect("a runner");
    let mut descriptor = known.descriptor.clone();
    descriptor.started_at_ms += 1;
    descriptor.revision += 1;
    harness.apply(Event::RunnerUpdated { descriptor });
    harness.advance(ms(500));
}

/// Delivers a request on which its runner crashes, and starts the runner anew.
fn crash(harness: &mut Harness, path: &str, fingerprint: id::Fingerprint) {
    let run = dispatch(&harness.arrive_asking(path, fingerprint));
    harness.now += ms(60);
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    restart(harness, &checks(&effects)[0]);
}

/// Guards against a request that crashes one runner after the other, sent on each time that it comes.
#[test]
fn crashing_request_is_refused() {
    let mut harness = Harness::new(1);
    for _ in 0..3 {
        crash(&mut harness, NON_IDEMPOTENT, CRASHING);
    }
    let refused = refusal(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
    let refused = refused.expect("three runners have crashed");
    assert_eq!((refused.claim, refused.retry_after), (Claim::NotRun, None));
    assert_eq!(refused.reason, Reason::RequestQuarantined);
    dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING + 1));
    dispatch(&harness.arrive_asking(IDEMPOTENT, CRASHING + 2));
}

/// Two crashes may be chance: a read that is sent again is at two of them where runners end for other reasons.
#[test]
fn request_with_two_crashes_is_sent() {
    let mut harness = Harness::new(1);
    for _ in 0..2 {
        crash(&mut harness, NON_IDEMPOTENT, CRASHING);
    }
    dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
}

/// A caller who polls is in flight at each of the crashes, and its responses in between clear it.
#[test]
fn polled_request_is_cleared() {
    let mut harness = Harness::new(1);
    for _ in 0..8 {
        let run = dispatch(&harness.arrive_asking(IDEMPOTENT, 1));
        harness.end_attempt(run.attempt, Outcome::Answered { status: 200 });
        crash(&mut harness, NON_IDEMPOTENT, 1);
    }
    dispatch(&harness.arrive_asking(IDEMPOTENT, 1));
}

/// A request that was sound and crashes runners now takes more crashes, and is found all the same.
#[test]
fn request_once_sound_is_quarantined() {
    let mut harness = Harness::new(1);
    let run = dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
    harness.end_attempt(run.attempt, Outcome::Answered { status: 200 });
    let mut crashes = 0;
    while harness.state.quarantine.is_empty() {
        crash(&mut harness, NON_IDEMPOTENT, CRASHING);
        crashes += 1;
    }
    assert_eq!(crashes, 5);
}

/// Loses both requests with their runner, of which the crashing one came later.
fn crash_beside(harness: &mut Harness, beside: id::Fingerprint) {
    let mut runs = Vec::new();
    // Placement is random: other requests fill the rest.
    let first = dispatch(&harness.arrive_asking(NON_IDEMPOTENT, beside));
    harness.now += ms(200);
    while runs.is_empty() {
        let run = dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
        if run.runner == first.runner {
            runs.push(run);
        } else {
            harness.end_attempt(run.attempt, Outcome::Unwritten);
        }
    }
    runs.push(first);
    harness.now += ms(60);
    let mut instance = None;
    for run in &runs {
        let effects = harness.end_attempt(run.attempt, Outcome::Lost);
        instance = instance.or(checks(&effects).pop());
    }
    let instance = instance.expect("a check");
    restart(harness, &instance);
}

/// Of requests that were at the same crashes, the one that runners had had the shortest is taken for the cause.
#[test]
fn long_request_beside_crashing_one_is_sent() {
    let mut harness = Harness::new(1);
    let beside = CRASHING - 1;
    for _ in 0..3 {
        crash_beside(&mut harness, beside);
    }
    assert!(harness.state.quarantine.holds(Feature::Request(CRASHING)));
    dispatch(&harness.arrive_asking(NON_IDEMPOTENT, beside));
}

/// Guards against a runner that crashes on a request just after its attempt was given up.
#[test]
fn abandoned_request_is_suspect() {
    for disconnects in [false, true] {
        let mut harness = Harness::new(1);
        let run = dispatch(&harness.arrive_asking(IDEMPOTENT, CRASHING));
        if disconnects {
            let call = run.call;
            harness.apply(Event::CallerDisconnected { call });
        }
        while harness.state.by_attempt.contains_key(&run.attempt) {
            harness.advance(ms(15));
        }
        // The other runners are full, so that the next request goes to the same one.
        let mut next = dispatch(&harness.arrive_asking(NON_IDEMPOTENT, 1));
        for _ in 0..2 {
            if next.runner != run.runner {
                let full = Outcome::Declined(Decline::Full);
                next = dispatch(&harness.end_attempt(next.attempt, full));
            }
        }
        assert_eq!(next.runner, run.runner);
        let mut found = checks(&harness.end_attempt(next.attempt, Outcome::Unwritten));
        let instance = found.pop().expect("a check");
        let presence = Presence::Refused;
        let effects = harness.apply(Event::RunnerChecked { instance, presence });
        let is_named = |effect: &Effect| {
            matches!(effect, Effect::Log(entry) if entry.kind == Kind::RunnerCrashed
                && entry.fingerprints.0.contains(&CRASHING))
        };
        assert!(has(&effects, is_named), "{disconnects}: {effects:?}");
    }
}

/// Guards against a process that runs out of memory since what clients who leave early have asked for is kept for as long as others
/// leave too: 24 a second, each with 1,500 parts of its own.
#[test]
fn abandoned_requests_are_forgotten() {
    const PARTS: u64 = 1_500;
    let mut harness = Harness::new(1);
    for number in 0..400 {
        let first = 1 + number * PARTS;
        let parts: Vec<id::Part> = (first..first + PARTS).collect();
        harness.arrive_asking_with_parts(STREAM, number, &parts);
        harness.advance(ms(30));
        let call = harness.last_call;
        harness.apply(Event::CallerDisconnected { call });
        harness.advance(ms(12));
        let kept = harness.state.abandoned.values().map(Abandoned::len);
        assert!(kept.max().unwrap_or(0) <= SUSPECTS_MAX, "{number}");
    }
    assert!(!harness.state.abandoned.is_empty());
    harness.advance(ms(600));
    assert!(harness.state.abandoned.is_empty());
}

/// Guards against what was given up long ago and is kept since a runner has had others given up after it.
#[test]
fn abandoned_suspects_expire_one_by_one() {
    let suspects = |part| Suspects::from([(Feature::Part(part), circumstance(0))]);
    let mut abandoned = Abandoned::default();
    for number in 1..=100 {
        let now = ms(number * 100);
        abandoned.add(now, suspects(number));
        assert!(abandoned.expire(now.saturating_sub(ms(500))));
        assert!(abandoned.len() <= 5, "{number}");
    }
    let newest = Feature::Part(100);
    assert!(abandoned.into_suspects().contains_key(&newest));
}

/// What is kept of one request has the request itself, and its first parts.
#[test]
fn abandoned_request_of_many_parts() {
    let parts = (0..3_000).map(|part| (Feature::Part(part), circumstance(part as u32)));
    let request = (Feature::Request(7), circumstance(3_000));
    let mut abandoned = Abandoned::default();
    abandoned.add(ms(0), parts.chain([request]).collect());
    assert_eq!(abandoned.len(), SUSPECTS_MAX);
    let suspects = abandoned.into_suspects();
    assert!(
        suspects.contains_key(&Feature::Request(7)) && suspects.contains_key(&Feature::Part(0))
    );
}

/// What waits when the request is quarantined is refused, also at a VM that is told.
#[test]
fn waiting_request_is_refused_when_told() {
    let mut harness = Harness::new(1);
    for number in 1..=3 {
        harness.apply(Event::RunnerRemoved {
            runner: format!("pay-{number}").into(),
            revision: 20,
        });
    }
    harness.advance(ms(3_000));
    let waiting = harness.arrive_asking(IDEMPOTENT, CRASHING);
    assert!(refusal(&waiting).is_none() && support::dispatches(&waiting).is_empty());
    let hold = Hold {
        generation: 1,
        is_active: true,
        age: ms(0),
        had_begun: false,
    };
    let mut told = support::view(support::member("vm-2", 2, 1), false);
    told.crashes = Some(Report {
        crashes: Vec::new(),
        features: vec![Record {
            feature: Feature::Request(CRASHING),
            begun_age: None,
            sound_age: None,
            hold: Some(hold),
        }],
    });
    let refused = refusal(&harness.apply(Event::ViewReceived { view: told.into() }));
    let refused = refused.expect("a refusal");
    assert_eq!(refused.reason, Reason::RequestQuarantined);
    assert_eq!((refused.claim, refused.retry_after), (Claim::NotRun, None));
}

/// One request is let through after a while; the response to it releases what is the same.
#[test]
fn trial_answered_releases_request() {
    let mut harness = Harness::new(1);
    for _ in 0..3 {
        crash(&mut harness, NON_IDEMPOTENT, CRASHING);
    }
    harness.advance(ms(47_000));
    assert!(refusal(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING)).is_some());
    harness.advance(ms(2_000));
    let run = dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
    assert!(refusal(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING)).is_some());
    harness.end_attempt(run.attempt, Outcome::Answered { status: 200 });
    dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
}

/// A prompt that comes again is stopped as a request, and the parts that it shares with others are not.
#[test]
fn crashing_prompt_again_is_refused() {
    let mut harness = Harness::new(1);
    let arrive = |harness: &mut Harness, own: id::Part| {
        let parts = [0xf, 0xa, own];
        harness.arrive_asking_with_parts(STREAM_NOT_RESUMABLE, own, &parts)
    };
    for _ in 0..3 {
        let prefill = dispatch(&arrive(&mut harness, CRASHING));
        let run = dispatch(&harness.end_attempt(prefill.attempt, support::prefilled()));
        harness.now += ms(60);
        let effects = harness.end_attempt(run.attempt, Outcome::Lost);
        restart(&mut harness, &checks(&effects)[0]);
    }
    let refused = refusal(&arrive(&mut harness, CRASHING)).expect("a refusal");
    assert_eq!(refused.reason, Reason::RequestQuarantined);
    dispatch(&arrive(&mut harness, CRASHING + 1));
}
