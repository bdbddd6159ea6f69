//! Storms: runners that fail most attempts, under more requests than usual.

mod support;

use proptest::prelude::*;
use support::storm::{play, Failures, Storm};

/// Weights of the ways in which attempts fail.
fn failures() -> impl Strategy<Value = Failures> {
    (0_u32..8, 0_u32..8, 0_u32..4, 0_u32..4, 0_u32..8, 0_u32..8).prop_map(
        |(declined, lost, status, unwritten, silent, none)| Failures {
            declined: declined + 1,
            lost,
            status,
            unwritten,
            silent,
            none,
        },
    )
}

fn storms(restarts: usize) -> impl Strategy<Value = Storm> {
    let restarts = proptest::collection::vec((0_usize..6, 12_000_u64..28_000), 0..=restarts);
    let moves_at = proptest::option::of(17_000_u64..26_000);
    (
        any::<u32>(),
        1_usize..6,
        4_u32..24,
        failures(),
        restarts,
        moves_at,
    )
        .prop_map(|(seed, vms, rate, failures, restarts, moves_at)| Storm {
            seed: u64::from(seed),
            vms,
            rate,
            failures,
            restarts,
            moves_at,
        })
}

const DECLINING: Storm = Storm {
    seed: 1,
    vms: 4,
    rate: 10,
    failures: Failures {
        declined: 7,
        lost: 0,
        status: 0,
        unwritten: 0,
        silent: 0,
        none: 3,
    },
    restarts: Vec::new(),
    moves_at: None,
};

/// Guards against attempts at runners that decline them and are not charged to the retry budget.
#[test]
fn retry_budget_declined_prefills() {
    let count = play(&DECLINING);
    assert_eq!(count.find_excess(), None);
    assert!(count.repeats() > 50, "the storm is too weak");
}

/// Guards against the replacements of silent streams that are not charged to the retry budget.
#[test]
fn retry_budget_silent_runners() {
    let storm = Storm {
        failures: Failures {
            declined: 2,
            silent: 6,
            none: 2,
            ..DECLINING.failures
        },
        ..DECLINING
    };
    let count = play(&storm);
    assert_eq!(count.find_excess(), None);
    assert!(count.repeats() > 50, "the storm is too weak");
}

/// Guards against a VM that spends its share of the slack again after a restart.
#[test]
fn retry_budget_restarted_vms() {
    let storm = Storm {
        restarts: (0..4).map(|vm| (vm, 20_000)).collect(),
        ..DECLINING
    };
    assert_eq!(play(&storm).find_excess(), None);
}

/// Guards against requests that move to another VM and earn retries at both.
#[test]
fn retry_budget_moving_requests() {
    let storm = Storm {
        rate: 20,
        moves_at: Some(21_000),
        ..DECLINING
    };
    assert_eq!(play(&storm).find_excess(), None);
}

proptest! {
    #![proptest_config(support::cases::proptest_config(24))]

    #[test]
    fn retry_budget_any_storm(storm in storms(0)) {
        prop_assert_eq!(play(&storm).find_excess(), None);
    }

    #[test]
    fn retry_budget_any_storm_with_restarts(storm in storms(8)) {
        prop_assert_eq!(play(&storm).find_excess(), None);
    }
}
