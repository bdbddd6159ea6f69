//! Runners that crash, and the parts of the prompts that they were given.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::crash::{
    Crash, Evidence, Hold, Record, Report, Suspect, BEGIN_MARGIN, SOUND_TIME,
};
use hornbeamtiller_relay::decision_log::Kind;
use hornbeamtiller_relay::event::{Decline, Dispatch, Effect, Event, Outcome, Presence};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::{dispatch, ms, prefilled, refusal, Harness, STREAM, STREAM_NOT_RESUMABLE};

/// The first part of all prompts.
const FIRST: id::Part = 0xf;
/// A part that only some prompts have.
const SECOND: id::Part = 0xa;

fn arrive(harness: &mut Harness, parts: &[id::Part]) -> Vec<Effect> {
    harness.arrive_with_parts(STREAM_NOT_RESUMABLE, parts)
}

/// Delivers a request with these shared parts, up to the attempt that generates its stream.
fn generate(harness: &mut Harness, shared: &[id::Part]) -> Dispatch {
    generate_at(harness, STREAM_NOT_RESUMABLE, shared)
}

fn generate_at(harness: &mut Harness, path: &str, shared: &[id::Part]) -> Dispatch {
    let mut parts = shared.to_vec();
    parts.push(1_000 + harness.last_call);
    let prefill = dispatch(&harness.arrive_with_parts(path, &parts));
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

/// Has an attempt lost whose runner still seems to listen; returns its process.
fn lose_listening(harness: &mut Harness) -> Instance {
    let run = generate(harness, &[FIRST, SECOND]);
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    let instance = checks(&effects).remove(0);
    let effects = report(harness, &instance, Presence::Listening);
    assert_eq!(crashed(&effects), None);
    instance
}

/// Guards against a process that is taken for alive as its listener ends after its connections.
#[test]
fn lost_attempt_listener_ends_later() {
    let mut harness = Harness::new(1);
    let instance = lose_listening(&mut harness);
    let effects = harness.advance(ms(120));
    assert_eq!(checks(&effects), std::slice::from_ref(&instance));
    let effects = report(&mut harness, &instance, Presence::Refused);
    assert_eq!(crashed(&effects), Some(vec![SECOND, FIRST]));
}

/// Guards against a process that is taken for alive as another one listens at its address.
#[test]
fn lost_attempt_address_taken_over() {
    for is_renamed in [false, true] {
        let mut harness = Harness::new(1);
        let instance = lose_listening(&mut harness);
        let known = harness.state.pool.get(&instance.runner).expect("a runner");
        let mut descriptor = known.descriptor.clone();
        descriptor.started_at_ms += 1;
        descriptor.revision += 1;
        if is_renamed {
            descriptor.runner = "another".into();
        }
        harness.now += ms(800);
        let effects = harness.apply(Event::RunnerUpdated { descriptor });
        assert_eq!(crashed(&effects), Some(vec![SECOND, FIRST]));
    }
}

#[test]
fn lost_attempt_another_process_responds() {
    let mut harness = Harness::new(1);
    let mut runs: Vec<Dispatch> = (1..7).map(|part| generate(&mut harness, &[part])).collect();
    let runner = runs[0].runner.clone();
    runs.retain(|run| run.runner == runner);
    let effects = harness.end_attempt(runs[0].attempt, Outcome::Lost);
    report(&mut harness, &checks(&effects)[0], Presence::Listening);
    let displaced = Outcome::Declined(Decline::Displaced);
    let effects = harness.end_attempt(runs[1].attempt, displaced);
    assert_eq!(crashed(&effects), Some(vec![1]));
}

/// A connection that breaks says nothing of a process that ends seconds later, or leaves as planned.
#[test]
fn lost_attempt_runner_ends_much_later() {
    for leaves in [false, true] {
        let mut harness = Harness::new(1);
        let instance = lose_listening(&mut harness);
        let runner = instance.runner.clone();
        harness.now += ms(500);
        report(&mut harness, &instance, Presence::Listening);
        if leaves {
            let revision = 20;
            harness.apply(Event::RunnerRemoved { runner, revision });
        } else {
            let known = harness.state.pool.get_mut(&runner).expect("a runner");
            known.last_seen_at = Some(harness.now);
        }
        harness.now += ms(2_000);
        let effects = report(&mut harness, &instance, Presence::Refused);
        assert_eq!(harness.state.counters.runners_crashed, 0, "{effects:?}");
    }
}

/// A runner that goes on is not looked at for ever.
#[test]
fn lost_attempt_looks_are_bounded() {
    let mut harness = Harness::new(1);
    let instance = lose_listening(&mut harness);
    let mut looks = 0;
    for _ in 0..800 {
        let effects = harness.advance(ms(15));
        if checks(&effects).contains(&instance) {
            looks += 1;
            report(&mut harness, &instance, Presence::Listening);
        }
    }
    assert_eq!((looks, harness.state.losses.len()), (4, 0));
}

/// Guards against looks that are skipped as the results of others, at the same runner, are counted for them.
#[test]
fn lost_attempt_other_looks_replace_none() {
    let mut harness = Harness::new(1);
    let instance = lose_listening(&mut harness);
    for _ in 0..3 {
        report(&mut harness, &instance, Presence::Listening);
    }
    let effects = harness.advance(ms(120));
    assert_eq!(checks(&effects), std::slice::from_ref(&instance));
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

/// The runner may have taken a moment to end.
#[test]
fn lost_attempt_gone_on_is_suspect() {
    let mut harness = Harness::new(1);
    let run = generate(&mut harness, &[FIRST]);
    let effects = lose_after(&mut harness, &run, SOUND_TIME - ms(1));
    assert_eq!(checks(&effects).len(), 1);
}

#[test]
fn lost_attempt_sound_is_no_suspect() {
    let mut harness = Harness::new(1);
    let run = generate(&mut harness, &[FIRST]);
    let effects = lose_after(&mut harness, &run, SOUND_TIME);
    assert!(checks(&effects).is_empty());
}

/// Has a runner crash some time after its response to a request with these shared parts has begun.
fn crash_late(harness: &mut Harness, shared: &[id::Part]) {
    let run = generate(harness, shared);
    let attempt = run.attempt;
    harness.apply(Event::StreamStarted { attempt });
    harness.stream_event(attempt, 1);
    harness.now += BEGIN_MARGIN;
    harness.stream_event(attempt, 2);
    crash_run(harness, &run);
}

/// Guards against crashes some time after the first event that clear the part which caused them.
#[test]
fn crashing_part_late_is_quarantined() {
    let mut harness = Harness::new(1);
    for second in 1..6 {
        assert!(!is_held(&harness, SECOND));
        crash_late(&mut harness, &[FIRST, SECOND, 0x100 + second]);
    }
    assert!(is_held(&harness, SECOND));
}

/// Guards against parts that are cleared by an answer for which no prompt was looked at.
#[test]
fn answer_without_success_clears_no_part() {
    let mut harness = Harness::new(1);
    for second in 1..4 {
        let run = generate(&mut harness, &[FIRST, SECOND, 0x100 + second]);
        harness.end_attempt(run.attempt, Outcome::Answered { status: 404 });
        harness.now += ms(200);
        crash(&mut harness, &[FIRST, SECOND, 0x200 + second]);
    }
    assert!(is_held(&harness, SECOND));
}

/// What was sound is in the middle of a response wherever a runner ends for another reason.
#[test]
fn part_once_sound_late_crashes_do_not_count() {
    let mut harness = Harness::new(1);
    respond(&mut harness, &[FIRST, SECOND]);
    for second in 1..9 {
        crash_late(&mut harness, &[FIRST, SECOND, 0x100 + second]);
    }
    assert!(!is_held(&harness, FIRST) && !is_held(&harness, SECOND));
}

/// A response that goes on for a moment releases nothing that was never sound.
#[test]
fn trial_late_crash_keeps_part() {
    let mut harness = Harness::new(1);
    quarantine(&mut harness, &[FIRST, SECOND]);
    harness.advance(ms(49_000));
    crash_late(&mut harness, &[FIRST, SECOND]);
    assert!(is_held(&harness, SECOND));
}

/// The last part belongs to the request alone: a runner has ended, but no part is suspect.
#[test]
fn lost_attempt_without_shared_parts() {
    for parts in [&[][..], &[FIRST][..]] {
        let mut harness = Harness::new(1);
        let prefill = dispatch(&arrive(&mut harness, parts));
        let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
        let effects = harness.end_attempt(run.attempt, Outcome::Lost);
        let checks = checks(&effects);
        let effects = report(&mut harness, &checks[0], Presence::Refused);
        assert_eq!(crashed(&effects), Some(Vec::new()), "{parts:?}");
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
    crash_run(harness, &run);
}

/// Has the runner of an attempt crash, and be replaced.
fn crash_run(harness: &mut Harness, run: &Dispatch) {
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
fn crashing_part_is_refused() {
    let mut harness = Harness::new(1);
    for _ in 0..5 {
        let second = 0x100 + harness.last_call;
        if let Some(refused) = refusal(&arrive(&mut harness, &[FIRST, SECOND, second, 1])) {
            assert_eq!(refused.reason, Reason::PromptQuarantined);
            assert_eq!((refused.claim, refused.retry_after), (Claim::NotRun, None));
            return;
        }
        crash(&mut harness, &[FIRST, SECOND, second]);
    }
    panic!("five runners have crashed");
}

/// Guards against a part whose crashes are put down to the requests that have it, each of which comes again.
#[test]
fn crashing_part_of_repeated_requests_is_refused() {
    let mut harness = Harness::new(1);
    for fingerprint in 1..4 {
        for _ in 0..3 {
            let parts = [FIRST, SECOND, 0x1000 + fingerprint];
            let path = STREAM_NOT_RESUMABLE;
            let effects = harness.arrive_asking_with_parts(path, fingerprint, &parts);
            if refusal(&effects).is_some_and(|refused| refused.reason == Reason::PromptQuarantined)
            {
                return;
            }
            let prefill = dispatch(&effects);
            let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
            crash_run(&mut harness, &run);
        }
    }
    panic!("nine runners have crashed");
}

/// Has a part quarantined: three runners crash on it, one after the other.
fn quarantine(harness: &mut Harness, shared: &[id::Part]) {
    for _ in 0..3 {
        crash(harness, shared);
    }
    let part = *shared.last().expect("a part");
    assert!(harness.state.quarantine.holds(part.into()));
}

fn is_held(harness: &Harness, part: id::Part) -> bool {
    harness.state.quarantine.holds(part.into())
}

/// Delivers a request with these shared parts, and lets its response go on and end.
fn respond(harness: &mut Harness, shared: &[id::Part]) {
    let run = generate(harness, shared);
    let attempt = run.attempt;
    harness.apply(Event::StreamStarted { attempt });
    harness.stream_event(attempt, 1);
    harness.now += SOUND_TIME;
    harness.stream_event(attempt, 2);
    harness.end_attempt(attempt, Outcome::Ended);
}

/// Of parts that are always together, the later one is taken for the cause, and only that.
#[test]
fn first_part_is_not_quarantined() {
    let mut harness = Harness::new(1);
    quarantine(&mut harness, &[FIRST, SECOND]);
    assert!(!is_held(&harness, FIRST));
    dispatch(&arrive(&mut harness, &[FIRST, 0xb, 1]));
}

/// What VMs know of crashes at which the first part was there each time, and the second one but once.
fn crashes_without_second_once(crashes: u64) -> Evidence {
    let mut evidence = Evidence::default();
    let suspect = |feature: id::Part, position| Suspect {
        feature: feature.into(),
        circumstance: support::circumstance(position),
        had_begun: false,
        was_sound: false,
    };
    for number in 0..crashes {
        let mut suspects = vec![suspect(FIRST, 0), suspect(0xc0 + number, 1)];
        suspects.extend((number > 0).then(|| suspect(SECOND, 1)));
        let crash = Crash {
            instance: Instance {
                runner: format!("runner-{number}").into(),
                started_at_ms: 1,
            },
            age: Duration::ZERO,
            suspects,
        };
        evidence.merge(crash, ms(200 * number));
    }
    evidence
}

/// Guards against a first part that is taken for the cause since of one crash its VM knows only what others had there.
#[test]
fn first_part_is_not_quarantined_if_later_explains_nearly_all() {
    for is_partial in [false, true] {
        for crashes in 4..12 {
            let evidence = crashes_without_second_once(crashes);
            let culprit = evidence.find_culprit(ms(60_000), |_| false, is_partial);
            let culprit = culprit.map(|culprit| culprit.feature);
            let is_known = !is_partial || crashes > 5;
            let expected = is_known.then(|| SECOND.into());
            assert_eq!(culprit, expected, "{crashes} crashes, {is_partial}");
        }
    }
}

/// A first part is taken for the cause once crashes go on without the later one.
#[test]
fn first_part_quarantined_after_more_crashes() {
    let mut harness = Harness::new(1);
    quarantine(&mut harness, &[FIRST, SECOND]);
    for second in 1..4 {
        crash(&mut harness, &[FIRST, 0xc0 + second]);
    }
    assert!(is_held(&harness, FIRST));
}

#[test]
fn part_cleared_between_crashes() {
    let mut harness = Harness::new(1);
    for _ in 0..6 {
        respond(&mut harness, &[FIRST, SECOND]);
        crash(&mut harness, &[FIRST, SECOND]);
    }
    assert!(harness.state.quarantine.is_empty());
}

/// A part that was sound and crashes runners now takes more crashes, and is found all the same.
#[test]
fn part_once_sound_is_quarantined() {
    let mut harness = Harness::new(1);
    respond(&mut harness, &[FIRST, SECOND]);
    let mut crashes = 0;
    while !is_held(&harness, SECOND) {
        crash(&mut harness, &[FIRST, SECOND]);
        crashes += 1;
    }
    assert_eq!(crashes, 5);
}

/// Runners that end at the same moment were not ended by a prompt.
#[test]
fn crashes_at_one_moment_count_once() {
    let mut harness = Harness::new(1);
    let suspect = Suspect {
        feature: SECOND.into(),
        circumstance: support::circumstance(1),
        had_begun: false,
        was_sound: false,
    };
    let crash = |runner: u64, millis: u64| Crash {
        instance: Instance {
            runner: format!("runner-{runner}").into(),
            started_at_ms: 1,
        },
        age: ms(millis),
        suspects: vec![suspect],
    };
    let mut told = support::view(support::member("vm-2", 2, 1), false);
    told.crashes = Some(Report {
        crashes: (0..9)
            .map(|number| crash(number, 900 + 10 * number))
            .collect(),
        features: Vec::new(),
    });
    // Told twice, and also by another VM.
    for _ in 0..2 {
        harness.apply(Event::ViewReceived {
            view: told.clone().into(),
        });
        harness.advance(ms(10));
    }
    assert!(harness.state.quarantine.is_empty());
    told.crashes = Some(Report {
        crashes: vec![crash(10, 700), crash(11, 500)],
        features: Vec::new(),
    });
    harness.apply(Event::ViewReceived { view: told.into() });
    harness.advance(ms(10));
    assert!(is_held(&harness, SECOND));
}

/// Guards against a call that takes one runner after the other with it.
#[test]
fn call_with_two_crashes_goes_to_no_third() {
    let mut harness = Harness::new(1);
    let mut routes = support::routes();
    routes.iter_mut().for_each(|route| route.attempts_max = 5);
    harness.apply(Event::ManifestRead {
        manifest: support::manifest(3, routes),
    });
    let mut run = generate_at(&mut harness, STREAM, &[FIRST]);
    for number in 0..2 {
        let effects = harness.end_attempt(run.attempt, Outcome::Lost);
        let lost = checks(&effects);
        assert_eq!(lost.len(), 1);
        if number == 1 {
            assert!(
                support::dispatches(&effects).is_empty(),
                "before it is checked"
            );
        }
        let mut effects_after = report(&mut harness, &lost[0], Presence::Refused);
        effects_after.extend(harness.advance(ms(30)));
        if number == 1 {
            let refused = refusal(&effects_after).expect("a refusal");
            assert_eq!(refused.reason, Reason::RunnersFailed);
            assert_eq!(refused.claim, Claim::Unknown);
            return;
        }
        let prefill = dispatch(&effects);
        run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
    }
}

/// Requests with the part that wait or are prefilled are refused as not run once it is quarantined.
#[test]
fn placed_calls_are_refused() {
    let mut harness = Harness::new(1);
    for _ in 0..2 {
        crash(&mut harness, &[FIRST, SECOND]);
    }
    let prefill = dispatch(&arrive(&mut harness, &[FIRST, SECOND, 1]));
    let run = generate(&mut harness, &[FIRST, SECOND]);
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    report(&mut harness, &checks(&effects)[0], Presence::Refused);
    let effects = harness.advance(ms(400));
    let refused = refusal(&effects).expect("a refusal");
    assert_eq!(
        (refused.claim, refused.reason, refused.retry_after),
        (Claim::NotRun, Reason::PromptQuarantined, None)
    );
    let aborts = |effect: &Effect| matches!(effect, Effect::AbortAttempt { attempt } if *attempt == prefill.attempt);
    assert!(support::has(&effects, aborts));
}

/// One request is let through after a while; if its response goes on, the part is released.
#[test]
fn trial_sound_releases_part() {
    let mut harness = Harness::new(1);
    quarantine(&mut harness, &[FIRST, SECOND]);
    harness.advance(ms(47_000));
    assert!(refusal(&arrive(&mut harness, &[FIRST, SECOND, 1])).is_some());
    harness.advance(ms(2_000));
    let prefill = dispatch(&arrive(&mut harness, &[FIRST, SECOND, 2]));
    assert!(refusal(&arrive(&mut harness, &[FIRST, SECOND, 3])).is_some());
    let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
    let attempt = run.attempt;
    harness.apply(Event::StreamStarted { attempt });
    harness.stream_event(attempt, 1);
    assert!(is_held(&harness, SECOND));
    harness.now += SOUND_TIME;
    harness.stream_event(attempt, 2);
    assert!(!is_held(&harness, SECOND));
}

/// If a runner crashes again, the next request is let through much later.
#[test]
fn trial_crash_keeps_part() {
    let mut harness = Harness::new(1);
    quarantine(&mut harness, &[FIRST, SECOND]);
    let mut trials = Vec::new();
    for second in 0..300 {
        harness.advance(ms(1_000));
        let effects = arrive(&mut harness, &[FIRST, SECOND, 1]);
        if let Some(prefill) = support::dispatches(&effects).first() {
            trials.push(second);
            let run = dispatch(&harness.end_attempt(prefill.attempt, prefilled()));
            let effects = harness.end_attempt(run.attempt, Outcome::Lost);
            report(&mut harness, &checks(&effects)[0], Presence::Refused);
        }
    }
    assert!(is_held(&harness, SECOND));
    assert_eq!(trials.len(), 2, "{trials:?}");
}

fn told_views(effects: &[Effect]) -> Vec<Report> {
    let views = effects.iter().filter_map(|effect| match effect {
        Effect::PublishView { view, .. } => view.crashes.clone(),
        _ => None,
    });
    views.collect()
}

/// A VM that starts learns what is quarantined before it sends a request with shared parts to a runner.
#[test]
fn starting_vm_knows_before_it_serves() {
    let mut other = Harness::new(2);
    quarantine(&mut other, &[FIRST, SECOND]);
    let peer = support::member("vm-2", 2, 1);
    other.state.local = peer.clone();
    let mut harness = Harness::just_started(1);
    harness.state.seeds = vec![peer.peer_address];
    assert!(support::dispatches(&arrive(&mut harness, &[FIRST, SECOND, 1])).is_empty());
    dispatch(&harness.arrive(support::NON_IDEMPOTENT));
    let probe = support::view(support::member("vm-1", 1, 100), true);
    let effects = other.apply(Event::ViewReceived { view: probe.into() });
    let mut view = support::view(peer, false);
    view.crashes = told_views(&effects).pop();
    view.digest = other.state.quarantine.digest();
    let effects = harness.apply(Event::ViewReceived { view: view.into() });
    let refused = refusal(&effects).expect("a refusal");
    assert_eq!(refused.reason, Reason::PromptQuarantined);
    dispatch(&arrive(&mut harness, &[FIRST, 0xb, 2]));
}

/// VMs that can't agree do not answer each other without end.
#[test]
fn differing_views_are_answered_at_intervals() {
    let mut harness = Harness::new(1);
    quarantine(&mut harness, &[FIRST, SECOND]);
    let mut view = support::view(support::member("vm-2", 2, 1), false);
    view.digest = 7;
    view.crashes = Some(Report::default());
    let mut answers = 0;
    for _ in 0..100 {
        let effects = harness.apply(Event::ViewReceived {
            view: view.clone().into(),
        });
        answers += told_views(&effects).len();
        harness.now += ms(1);
    }
    assert_eq!(answers, 1);
}

/// Nothing is told where nothing has crashed.
#[test]
fn sound_requests_tell_nothing() {
    let mut harness = Harness::new(1);
    harness.receive_view(support::member("vm-2", 2, 1), false);
    for second in 0..20 {
        respond(&mut harness, &[FIRST, second]);
        let effects = harness.advance(ms(400));
        assert!(told_views(&effects).is_empty());
        let views = effects.iter().filter_map(|effect| match effect {
            Effect::PublishView { view, .. } => Some(view.digest),
            _ => None,
        });
        assert!(views.into_iter().all(|digest| digest == 0));
    }
}

/// Prompts with very many parts, and very many crashes, take a bounded amount of memory.
#[test]
fn evidence_is_bounded() {
    let mut evidence = Evidence::default();
    let crash = |number: u64| Crash {
        instance: Instance {
            runner: format!("runner-{number}").into(),
            started_at_ms: 1,
        },
        age: Duration::ZERO,
        suspects: (0..2_000)
            .map(|part| Suspect {
                feature: (number * 2_000 + part).into(),
                circumstance: support::circumstance(0),
                had_begun: false,
                was_sound: false,
            })
            .chain([Suspect {
                feature: SECOND.into(),
                circumstance: support::circumstance(2_000),
                had_begun: false,
                was_sound: false,
            }])
            .collect(),
    };
    for number in 1..=200 {
        evidence.merge(crash(number), ms(200 * number));
    }
    let told = evidence.describe_all(ms(60_000));
    assert!(told.len() <= 32);
    assert!(told.iter().all(|crash| crash.suspects.len() <= 512));
    // The part that was there each time is found among thousands of others.
    let culprit = evidence.find_culprit(ms(60_000), |_| false, false);
    assert_eq!(culprit.map(|culprit| culprit.feature), Some(SECOND.into()));
}

/// Guards against a prefill that goes on beside the run on standby, to which its call goes back.
#[test]
fn quarantine_aborts_replacement_of_silent_run() {
    let mut harness = Harness::new(1);
    let run = generate_at(&mut harness, STREAM, &[FIRST, SECOND]);
    let attempt = run.attempt;
    harness.apply(Event::StreamStarted { attempt });
    harness.stream_event(attempt, 1);
    let mut replacement = None;
    while replacement.is_none() {
        let effects = harness.advance(ms(15));
        replacement = support::dispatches(&effects).first().cloned();
    }
    let replacement = replacement.expect("a replacement");
    let hold = Hold {
        generation: 1,
        is_active: true,
        age: Duration::ZERO,
        had_begun: false,
    };
    let mut told = support::view(support::member("vm-2", 2, 1), false);
    told.crashes = Some(Report {
        crashes: Vec::new(),
        features: vec![Record {
            feature: SECOND.into(),
            begun_age: None,
            sound_age: None,
            hold: Some(hold),
        }],
    });
    let effects = harness.apply(Event::ViewReceived { view: told.into() });
    let aborts = |effect: &Effect| matches!(effect, Effect::AbortAttempt { attempt } if *attempt == replacement.attempt);
    assert!(support::has(&effects, aborts), "{effects:?}");
    assert!(harness.state.by_attempt.contains_key(&attempt));
    assert_eq!(harness.state.by_attempt.len(), 1);
}
