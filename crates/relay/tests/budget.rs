//! Second tries: what all VMs together spend stays within what the platform allows.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::budget::Budget;
use hornbeamtiller_relay::event::Outcome;
use proptest::prelude::*;
use support::{dispatches, ms, World, READ};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;

/// Plays requests that all want a second try over some VMs and gives, for each second of the day,
/// the requests and the second tries.
fn play(vms: usize, per_second: &[u32]) -> Vec<(u32, u32)> {
    let mut budgets: Vec<Budget> = (0..vms)
        .map(|_| Budget::new(RATIO, SLACK, WINDOW))
        .collect();
    let mut seconds = Vec::new();
    for (second, count) in per_second.iter().enumerate() {
        let mut extra = 0;
        for number in 0..*count {
            let now = Duration::from_secs(second as u64)
                + ms(u64::from(number) * 1_000 / u64::from(*count));
            let budget = &mut budgets[number as usize % vms];
            budget.record_request(now);
            extra += u32::from(budget.try_take(now, vms));
        }
        seconds.push((*count, extra));
    }
    seconds
}

proptest! {
    #![proptest_config(support::config(200))]

    #[test]
    fn take_any_window(
        vms in 1_usize..10,
        per_second in proptest::collection::vec(0_u32..200, 30..60),
    ) {
        let seconds = play(vms, &per_second);
        let window = WINDOW.as_secs() as usize;
        for start in 0..seconds.len().saturating_sub(window) {
            let sum = |from: usize| -> (u32, u32) {
                let span = seconds.iter().skip(from).take(window);
                span.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
            };
            let (requests, extra) = sum(start);
            // Requests are counted in that window or in the one before, whichever has most.
            let before = sum(start.saturating_sub(window)).0;
            let half = sum(start.saturating_sub(window / 2)).0;
            let counted = requests.max(before).max(half);
            prop_assert!(f64::from(extra) <= RATIO * f64::from(counted) + SLACK);
        }
    }
}

#[test]
fn take_spreads_slack() {
    let mut budget = Budget::new(0.0, 54.0, WINDOW);
    let taken = (0..100).filter(|_| budget.try_take(ms(0), 9)).count();
    assert!(
        (1..=6).contains(&taken),
        "{taken} second tries of 54 over 9 VMs"
    );
}

#[test]
fn take_returns_after_window() {
    let mut budget = Budget::new(0.0, 10.0, WINDOW);
    while budget.try_take(ms(0), 1) {}
    assert!(!budget.try_take(ms(9_000), 1));
    assert!(budget.try_take(ms(12_000), 1));
}

#[test]
fn closed_failures_stay_within_allowance() {
    let mut world = World::open(1);
    let mut extra = 0;
    for _ in 0..400 {
        world.now += ms(5);
        for run in dispatches(&world.arrive(READ)) {
            let again = dispatches(&world.close(run.attempt, Outcome::Answered { status: 500 }));
            extra += again.len();
            for run in again {
                world.close(run.attempt, Outcome::Answered { status: 500 });
            }
        }
    }
    assert!(extra as f64 <= 0.2 * 400.0 + 50.0, "{extra} second tries");
    assert!(extra > 40, "{extra} second tries");
}
