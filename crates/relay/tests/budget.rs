//! The retry budget: all VMs together stay within the platform's limit.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::arrivals::{Arrival, Arrivals, Step};
use hornbeamtiller_relay::budget::{Budget, Charge, Share};
use hornbeamtiller_relay::event::{Decline, Effect, Event, Outcome};
use hornbeamtiller_relay::refusal::{Claim, Reason};
use hornbeamtiller_relay::settings::Settings;
use proptest::prelude::*;
use support::{dispatch, dispatches, has, ms, refusal, Harness, IDEMPOTENT, STREAM};

/// Length of the retry window.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed per request in the window.
const RATIO: f64 = 0.2;
/// Retries allowed per window in addition.
const SLACK: f64 = 54.0;

/// Spends one retry if the budget allows it.
fn try_take(budget: &mut Budget, now: Duration, vms: usize) -> bool {
    let held = budget.try_hold(now, share(vms), 1);
    let is_allowed = held.is_some();
    for retry in held.into_iter().flatten() {
        budget.spend(now, retry);
    }
    is_allowed
}

/// The share of a VM that has run for long among this many.
fn share(vms: usize) -> Share {
    Share {
        fraction: 1.0 / vms as f64,
        is_new: false,
    }
}

/// Simulates requests that all want a retry, spread over several VMs; returns the numbers of
/// requests and retries in each second.
fn simulate(vms: usize, per_second: &[u32]) -> Vec<(u32, u32)> {
    let mut budgets: Vec<Budget> = (0..vms)
        .map(|_| Budget::new(RATIO, SLACK, WINDOW))
        .collect();
    let mut seconds = Vec::new();
    for (second, count) in per_second.iter().enumerate() {
        let mut retries = 0;
        for number in 0..*count {
            let now = Duration::from_secs(second as u64)
                + ms(u64::from(number) * 1_000 / u64::from(*count));
            let budget = &mut budgets[number as usize % vms];
            budget.record_request(share(vms));
            retries += u32::from(try_take(budget, now, vms));
        }
        seconds.push((*count, retries));
    }
    seconds
}

proptest! {
    #![proptest_config(support::cases::proptest_config(200))]

    /// However many requests come in each second, and over however many VMs, no window has more
    /// retries than the limit allows.
    #[test]
    fn try_take_any_window(
        vms in 1_usize..10,
        per_second in proptest::collection::vec(0_u32..200, 30..60),
    ) {
        let seconds = simulate(vms, &per_second);
        let window = WINDOW.as_secs() as usize;
        for start in 0..seconds.len().saturating_sub(window) {
            let sum = |from: usize| -> (u32, u32) {
                let span = seconds.iter().skip(from).take(window);
                span.fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1))
            };
            let (requests, retries) = sum(start);
            // Requests count in this window, the one before, or one half a window earlier,
            // whichever has most.
            let before = sum(start.saturating_sub(window)).0;
            let half = sum(start.saturating_sub(window / 2)).0;
            let counted = requests.max(before).max(half);
            prop_assert!(f64::from(retries) <= RATIO * f64::from(counted) + SLACK);
        }
    }
}

/// Each of several VMs gets only its share of the slack.
#[test]
fn try_take_splits_slack() {
    let mut budget = Budget::new(0.0, 54.0, WINDOW);
    let taken = (0..100).filter(|_| try_take(&mut budget, ms(0), 9)).count();
    assert!((1..=6).contains(&taken), "{taken} retries of 54 over 9 VMs");
}

#[test]
fn try_take_recovers_after_window() {
    let mut budget = Budget::new(0.0, 10.0, WINDOW);
    while try_take(&mut budget, ms(0), 1) {}
    assert!(!try_take(&mut budget, ms(9_000), 1));
    assert!(try_take(&mut budget, ms(12_000), 1));
}

#[test]
fn attempt_ended_failures_within_budget() {
    let mut harness = Harness::new(1);
    let mut retries = 0;
    for _ in 0..400 {
        harness.now += ms(5);
        for run in dispatches(&harness.arrive(IDEMPOTENT)) {
            let again =
                dispatches(&harness.end_attempt(run.attempt, Outcome::Answered { status: 500 }));
            retries += again.len();
            for run in again {
                harness.end_attempt(run.attempt, Outcome::Answered { status: 500 });
            }
        }
    }
    assert!(retries as f64 <= 0.2 * 400.0 + 50.0, "{retries} retries");
    assert!(retries > 40, "{retries} retries");
}

/// Requests of an endpoint that was called before a reload follow the reloaded bounds.
#[test]
fn settings_reloaded_known_endpoint() {
    let mut harness = Harness::new(1);
    dispatches(&harness.arrive(IDEMPOTENT));
    let settings = Settings {
        retry_ratio: 0.0,
        retry_slack: 0.0,
        ..harness.state.settings.clone()
    };
    harness.apply(Event::SettingsReloaded {
        settings,
        seeds: Vec::new(),
    });
    let run = dispatch(&harness.arrive(IDEMPOTENT));
    let again = harness.end_attempt(run.attempt, Outcome::Answered { status: 500 });
    assert!(dispatches(&again).is_empty());
}

/// A process whose retry budget allows nothing.
fn without_retries() -> Harness {
    let mut harness = Harness::new(1);
    harness.state.settings.retry_ratio = 0.0;
    harness.state.settings.retry_slack = 0.0;
    harness
}

/// A call that is denied a retry is refused at once, and says whether it may have run.
#[test]
fn attempt_ended_no_retry_left_refuses() {
    for (outcome, claim) in [
        (Outcome::Declined(Decline::Full), Claim::NotRun),
        (Outcome::Lost, Claim::Unknown),
    ] {
        let mut harness = without_retries();
        let run = dispatch(&harness.arrive(IDEMPOTENT));
        let effects = harness.end_attempt(run.attempt, outcome);
        let refused = refusal(&effects).expect("a refusal");
        assert_eq!(
            (refused.claim, refused.reason),
            (claim, Reason::NoRetryLeft)
        );
        assert_eq!(refused.retry_after.is_some(), claim == Claim::NotRun);
    }
}

/// Guards against a runner's answer that is replaced because no retry is left.
#[test]
fn attempt_ended_no_retry_left_forwards_failure() {
    let mut harness = without_retries();
    let run = dispatch(&harness.arrive(IDEMPOTENT));
    let effects = harness.end_attempt(run.attempt, Outcome::Answered { status: 500 });
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::ForwardResponse { .. }
    )));
}

/// A stream that has started waits for a retry, since a refusal would cut it.
#[test]
fn attempt_ended_no_retry_left_stream_waits() {
    let mut harness = without_retries();
    let run = harness.start_stream(STREAM);
    harness.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    harness.stream_event(run.attempt, 1);
    let effects = harness.end_attempt(run.attempt, Outcome::Lost);
    assert!(!has(&effects, |effect| matches!(
        effect,
        Effect::AbortStream { .. }
    )));
}

#[test]
fn reconfigure_window_keeps_counts() {
    let mut budget = Budget::new(0.0, 10.0, WINDOW);
    while try_take(&mut budget, ms(0), 1) {}
    budget.reconfigure(ms(1_000), 0.0, 10.0, WINDOW / 2);
    assert!(!try_take(&mut budget, ms(1_000), 1));
    assert!(!try_take(&mut budget, ms(5_900), 1));
    assert!(try_take(&mut budget, ms(7_000), 1));
}

/// A held retry counts like a spent one, until it is given back.
#[test]
fn try_hold_counts_until_released() {
    let mut budget = Budget::new(0.0, 10.0, WINDOW);
    let held = budget.try_hold(ms(0), share(1), 5).expect("5 retries");
    assert!(!budget.allows(ms(20_000), share(1), 5));
    for retry in held {
        budget.release(retry);
    }
    assert!(budget.allows(ms(20_000), share(1), 5));
}

/// Earned retries that are given back are carried over within the same limit as others.
#[test]
fn release_earned_within_carry() {
    let mut budget = Budget::new(RATIO, SLACK, WINDOW);
    let new = Share {
        is_new: true,
        ..share(10)
    };
    let mut held = Vec::new();
    for _ in 0..60 {
        budget.record_request(new);
        held.extend(budget.try_hold(ms(0), new, 1).into_iter().flatten());
    }
    assert!(held.len() > 5, "{} retries", held.len());
    for retry in held {
        budget.release(retry);
    }
    let again = (0..10).filter(|_| budget.try_hold(ms(0), new, 1).is_some());
    assert_eq!(again.count(), 1);
}

/// A VM that has just started has only what its requests have earned.
#[test]
fn try_hold_new_process() {
    let new = Share {
        is_new: true,
        ..share(1)
    };
    let mut budget = Budget::new(RATIO, SLACK, WINDOW);
    assert!(!budget.allows(ms(0), new, 1));
    for _ in 0..6 {
        budget.record_request(new);
    }
    assert!(budget.allows(ms(0), new, 1));
    assert!(!budget.allows(ms(0), new, 2));
}

/// Arrivals with enough retries held for the next attempt.
fn hold(arrivals: &mut Arrivals, step: Step) {
    let mut budget = Budget::new(0.0, 100.0, WINDOW);
    let retries = budget.try_hold(ms(0), share(1), arrivals.missing(step));
    arrivals.hold(retries.expect("enough retries"));
}

/// A first prefill that is declined is the first arrival; the run after it costs a retry.
#[test]
fn settle_declined_prefill() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.missing(Step::Prefill), 0);
    assert_eq!(arrivals.start(Step::Prefill), Charge::None);
    assert_eq!(arrivals.settle(Arrival::Other), None);
    assert_eq!(arrivals.missing(Step::Run), 1);
}

/// The retry that is held for a second prefill goes over to the run if the prefill is completed.
#[test]
fn settle_completed_prefill_keeps_retry() {
    let mut arrivals = Arrivals::default();
    arrivals.start(Step::Prefill);
    arrivals.settle(Arrival::Other);
    hold(&mut arrivals, Step::Prefill);
    assert_eq!(arrivals.start(Step::Prefill), Charge::Held);
    assert_eq!(arrivals.settle(Arrival::Prefilled), None);
    assert_eq!(arrivals.missing(Step::Run), 0);
    assert_eq!(arrivals.start(Step::Run), Charge::Retry);
    assert!(arrivals.settle(Arrival::Other).is_some());
}

/// A prefill after one that was completed counts, so it and its run cost two retries.
#[test]
fn missing_second_completed_prefill() {
    let mut arrivals = Arrivals::default();
    arrivals.start(Step::Prefill);
    arrivals.settle(Arrival::Prefilled);
    arrivals.start(Step::Run);
    assert_eq!(arrivals.missing_after_abort(Step::Prefill), 2);
    arrivals.settle(Arrival::Other);
    assert_eq!(arrivals.missing(Step::Prefill), 2);
}

/// An attempt of which no byte was written costs nothing.
#[test]
fn settle_unwritten_keeps_retry() {
    let mut arrivals = Arrivals::default();
    arrivals.start(Step::Run);
    arrivals.settle(Arrival::Other);
    hold(&mut arrivals, Step::Run);
    arrivals.start(Step::Run);
    assert_eq!(arrivals.settle(Arrival::None), None);
    assert_eq!((arrivals.counted(), arrivals.missing(Step::Run)), (1, 0));
}
