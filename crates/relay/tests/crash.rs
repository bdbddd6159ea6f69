//! Runners that crash, and the parts of the prompts that they were given.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::crash::BEGIN_MARGIN;
use hornbeamtiller_relay::decision_log::Kind;
use hornbeamtiller_relay::event::{Arrival, Dispatch, Effect, Event, Outcome, Presence};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::refusal::Claim;
use support::poison::{play, Play, POISON};
use support::{dispatch, ms, prefilled, refusal, stream_arrival, Harness, STREAM_NOT_RESUMABLE};

/// The first part of all prompts.
const FIRST: id::Part = 0xf;
/// A part that only some prompts have.
const SECOND: id::Part = 0xa;

fn arrive(harness: &mut Harness, parts: &[id::Part]) -> Vec<Effect> {
    harness.last_call += 1;
    let arrival = stream_arrival(harness.last_call, STREAM_NOT_RESUMABLE);
    harness.apply(Event::Arrived(Arrival {
        parts: parts.into(),
        ..arrival
    }))
}

/// Delivers a request with these shared parts, up to the attempt that generates its stream.
fn generate(harness: &mut Harness, shared: &[id::Part]) -> Dispatch {
    let mut parts = shared.to_vec();
    parts.push(1_000 + harness.last_call);
    let prefill = dispatch(&arrive(harness, &parts));
    harness.now += ms(50);
    dispatch(&harness.end_attempt(prefill.attempt, prefilled()))
}

fn checks(effects: &[Effect]) -> Vec<Instance> {
    let checks = effects.iter().filter_map(|effect| match effect {
        Effect::CheckRunner { instance, .. } => Some(instance.clone()),
        _ => None,
    });
    checks.collect()
}

/// The parts that a crash was logged with, if one was.
fn crashed(effects: &[Effect]) -> Option<Vec<id::Part>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Log(entry) if entry.kind == Kind::RunnerCrashed => Some(entry.parts.0.clone()),
        _ => None,
    })
}

fn report(harness: &mut Harness, instance: &Instance, presence: Presence) -> Vec<Effect> {
    let instance = instance.clone();
    harness.apply(Event::RunnerChecked { instance, presence })
}

#[test]
fn lost_attempt_checks_runner() {
    let mut harness = Harness::new(1);
    let run = generate(&mut harness, &[FIRST, SECOND]);
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    let checks = checks(&effects);
    assert_eq!(checks.len(), 1);
    assert_eq!(checks[0].runner, run.runner);
    let effects = report(&mut harness, &checks[0], Presence::Refused);
    assert_eq!(crashed(&effects), Some(vec![SECOND, FIRST]));
}

/// A connection that breaks, or a link, says nothing of the prompt.
#[test]
fn lost_attempt_runner_not_ended() {
    for presence in [Presence::Listening, Presence::Unknown] {
        let mut harness = Harness::new(1);
        let run = generate(&mut harness, &[FIRST]);
        let effects = harness.end_attempt(run.attempt, Outcome::Lost);
        let checks = checks(&effects);
        let effects = report(&mut harness, &checks[0], presence);
        assert_eq!(crashed(&effects), None, "{presence:?}");
    }
}

fn lose_after(harness: &mut Harness, run: &Dispatch, time: Duration) -> Vec<Effect> {
    let attempt = run.attempt;
    harness.apply(Event::StreamStarted { attempt });
    harness.stream_event(attempt, 1);
    harness.now += time;
    harness.end_attempt(attempt, Outcome::Lost)
}

/// A runner may write an event and crash on the part all the same.
#[test]
fn lost_attempt_just_begun_is_suspect() {
    let mut harness = Harness::new(1);
    let run = generate(&mut harness, &[FIRST]);
    let effects = lose_after(&mut harness, &run, BEGIN_MARGIN - ms(1));
    assert_eq!(checks(&effects).len(), 1);
}

#[test]
fn lost_attempt_begun_is_no_suspect() {
    let mut harness = Harness::new(1);
    let run = generate(&mut harness, &[FIRST]);
    let effects = lose_after(&mut harness, &run, BEGIN_MARGIN);
    assert!(checks(&effects).is_empty());
}

/// The last part belongs to the request alone.
#[test]
fn lost_attempt_without_shared_parts() {
    for parts in [&[][..], &[FIRST][..]] {
        let mut harness = Harness::new(1);
        let prefill = dispatch(&arrive(&mut harness, parts));
        let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
        let effects = harness.end_attempt(run.attempt, Outcome::Lost);
        assert!(checks(&effects).is_empty(), "{parts:?}");
    }
}

/// A runner that leaves ends as planned.
#[test]
fn lost_attempt_leaving_runner() {
    let mut harness = Harness::new(1);
    let run = generate(&mut harness, &[FIRST]);
    harness.apply(Event::RunnerRemoved {
        runner: run.runner.clone(),
        revision: 20,
    });
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    assert!(checks(&effects).is_empty());
}

/// Attempts that are lost together are checked once.
#[test]
fn lost_attempts_checked_once() {
    let mut harness = Harness::new(1);
    let mut runs = Vec::new();
    for part in 1..7 {
        runs.push(generate(&mut harness, &[part]));
    }
    let runner = runs[0].runner.clone();
    runs.retain(|run| run.runner == runner);
    assert!(runs.len() > 1, "the runs are at one runner each");
    let mut all = Vec::new();
    for run in &runs {
        all.extend(harness.end_attempt(run.attempt, Outcome::Lost));
    }
    assert_eq!(checks(&all).len(), 1);
    let effects = report(&mut harness, &checks(&all)[0], Presence::Refused);
    assert_eq!(crashed(&effects).map(|parts| parts.len()), Some(runs.len()));
}

/// Has a runner crash while it begins to respond to a request with these shared parts, and be replaced.
fn crash(harness: &mut Harness, shared: &[id::Part]) {
    let run = generate(harness, shared);
    harness.now += ms(60);
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    let checks = checks(&effects);
    report(harness, &checks[0], Presence::Refused);
    let mut runner = harness
        .state
        .pool
        .get(&run.runner)
        .expect("a runner")
        .descriptor
        .clone();
    runner.started_at_ms += 1;
    runner.revision += 1;
    harness.apply(Event::RunnerUpdated { descriptor: runner });
    harness.advance(ms(500));
}

/// Guards against a part of prompts that crashes one runner after the other.
#[test]
#[ignore = "known red: issue 33, BUDGET"]
fn crashing_part_is_refused() {
    let mut harness = Harness::new(1);
    for _ in 0..5 {
        let second = 0x100 + harness.last_call;
        if let Some(refused) = refusal(&arrive(&mut harness, &[FIRST, SECOND, second, 1])) {
            assert_eq!((refused.claim, refused.retry_after), (Claim::NotRun, None));
            return;
        }
        crash(&mut harness, &[FIRST, SECOND, second]);
    }
    panic!("five runners have crashed");
}

/// Guards against requests with a part under which five runners have crashed, sent to runners by any VM.
#[test]
#[ignore = "known red: issue 33, BUDGET"]
fn fleet_sends_no_more_crashing_requests() {
    let report = play(&Play::default());
    assert!(report.crashes_of(POISON) >= 3);
    assert!(
        report.sent_too_late(POISON) <= 3,
        "{}",
        report.sent_too_late(POISON)
    );
    let before = report.begun_share(ms(1_000)..ms(4_000), Some(1));
    let during = report.begun_share(ms(14_000)..ms(24_000), Some(1));
    assert!(before > 0.9, "{before}");
    assert!(during > before * 0.9, "{before} {during}");
}
