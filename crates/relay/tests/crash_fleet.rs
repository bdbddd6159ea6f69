//! Fleets under requests with a part in their prompt that crashes runners.

mod support;

use hornbeamtiller_relay::refusal::Reason;
use support::check::Check;
use support::ms;
use support::poison::{play, Incident, Play, POISON};

/// Seeds of each play.
const SEEDS: u64 = 3;

const CHECK: Check = Check {
    seeds: SEEDS,
    never: &[Reason::PromptQuarantined],
};

/// Seeds of engines whose listeners outlive their connections at the start: at 4 the first part was quarantined.
const SEEDS_AT_START: u64 = 4;

/// Guards against requests with a part under which five runners have crashed, sent to runners by any VM.
#[test]
fn fleet_sends_no_more_crashing_requests() {
    for seed in 1..=SEEDS {
        let report = CHECK.play(
            "default",
            &Play {
                seed,
                ..Play::default()
            },
        );
        assert!(report.crashes_of(POISON) >= 3);
        let before = report.begun_share(ms(1_000)..ms(10_000), Some(1));
        let during = report.begun_share(ms(19_000)..ms(29_000), Some(1));
        assert!(before > 0.9, "{before}");
        assert!(during > before / 2.0, "{before} {during}");
    }
}

#[test]
fn fleet_slow_crashing_requests() {
    CHECK.seeds("slow", |seed| Play {
        seed,
        poison: 0.5,
        ..Play::default()
    });
}

#[test]
fn fleet_two_crashing_parts() {
    CHECK.seeds("two parts", |seed| Play {
        seed,
        culprits: vec![POISON, POISON + 1],
        ..Play::default()
    });
}

/// A VM that starts knows before it serves.
#[test]
fn fleet_restarts_and_joins() {
    let restart = |number: u64| {
        let vm = number as usize % 10;
        (ms(11_500 + 900 * number), Incident::Restart { vm })
    };
    CHECK.seeds("restarts", |seed| Play {
        seed,
        incidents: (8..27).map(restart).collect(),
        ..Play::default()
    });
}

/// VMs that were cut off while the part became known learn of it when they are back.
#[test]
fn fleet_vms_cut_off() {
    let cut = |vm: usize| {
        let time = ms(5_000);
        (ms(10_500 + 100 * vm as u64), Incident::Cut { vm, time })
    };
    CHECK.seeds("cut off", |seed| Play {
        seed,
        incidents: (0..3).map(cut).collect(),
        ..Play::default()
    });
}

/// After the loss of all VMs the part is learnt anew, and not more runners crash than at first.
#[test]
fn fleet_all_restart() {
    for seed in 1..=SEEDS {
        let restart = |vm| (ms(18_000), Incident::Restart { vm });
        let report = play(&Play {
            seed,
            incidents: (0..8).map(restart).collect(),
            ..Play::default()
        });
        let crashes = report.crashes_of(POISON);
        assert!(crashes <= 20, "seed {seed}: {crashes} crashes");
        let served = report.begun_share(ms(25_000)..ms(29_000), None);
        assert!(served > 0.5, "seed {seed}: {served}");
    }
}

/// Guards against sound parts that are taken for the cause when runners crash for other reasons, together or one
/// after the other.
#[test]
fn fleet_runners_crash_for_other_reasons() {
    for gap in [0, 20, 120, 250, 1_000] {
        CHECK.seeds("storm", |seed| {
            let crash = |number: u64| {
                let engines = 8;
                let gap = ms(gap);
                (
                    ms(11_000 + 5_000 * number),
                    Incident::Crash { engines, gap },
                )
            };
            Play {
                seed,
                poisoned: Vec::new(),
                incidents: (0..3).map(crash).collect(),
                ..Play::default()
            }
        });
    }
}

/// The same just after the start, when no VM knows which parts are sound.
#[test]
fn fleet_runners_crash_at_start() {
    CHECK.seeds("storm at start", |seed| {
        let (engines, gap) = (12, ms(200));
        Play {
            seed,
            poisoned: Vec::new(),
            incidents: vec![(ms(200), Incident::Crash { engines, gap })],
            length: ms(15_000),
            ..Play::default()
        }
    });
}

/// Both at once: the part is found among crashes that it does not explain.
#[test]
fn fleet_crashing_requests_amid_other_crashes() {
    CHECK.seeds("both", |seed| {
        let crash = |number: u64| {
            let (engines, gap) = (4, ms(150));
            (
                ms(11_500 + 5_000 * number),
                Incident::Crash { engines, gap },
            )
        };
        Play {
            seed,
            incidents: (0..3).map(crash).collect(),
            ..Play::default()
        }
    });
}

/// A part that comes back after a while without it is known still.
#[test]
fn fleet_part_comes_back() {
    CHECK.seeds("comes back", |seed| Play {
        seed,
        sound: 10.0,
        poisoned: vec![ms(11_000)..ms(15_000), ms(40_000)..ms(45_000)],
        length: ms(45_000),
        ..Play::default()
    });
}

/// Guards against a part whose crashes are put down to the requests that have it, each of which comes again.
#[test]
fn fleet_crashing_requests_each_repeated() {
    for poison in [0.3, 0.5, 1.0, 2.0] {
        CHECK.seeds("each repeated", |seed| Play {
            seed,
            poison,
            tries: 4,
            ..Play::default()
        });
    }
}

/// Guards against crashes that are taken for broken connections, as something listens for a moment more.
#[test]
fn fleet_listener_outlives_connections() {
    for time in [20, 80, 300] {
        CHECK.seeds("listener outlives", |seed| Play {
            seed,
            listening_time: ms(time),
            ..Play::default()
        });
    }
}

/// Guards against a sound first part that is taken for the cause, at the start of a fleet whose VMs learn of a crash one after
/// the other.
#[test]
fn fleet_listener_outlives_connections_at_start() {
    for time in [20, 80, 300] {
        let check = Check {
            seeds: SEEDS_AT_START,
            ..CHECK
        };
        check.seeds("listener outlives at start", |seed| Play {
            seed,
            poison: 8.0,
            poisoned: vec![ms(100)..ms(15_000)],
            listening_time: ms(time),
            length: ms(15_000),
            ..Play::default()
        });
    }
}

/// Guards against crashes some time after the first event that clear the part which caused them.
#[test]
fn fleet_late_crashes() {
    for time in [300, 400, 700] {
        CHECK.seeds("late crashes", |seed| Play {
            seed,
            crash_after: Some(ms(time)),
            ..Play::default()
        });
    }
}
