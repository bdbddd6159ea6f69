//! Fleets under a request that crashes each runner that runs it, and comes again at any VM.

mod support;

use hornbeamtiller_relay::refusal::Reason;
use support::check::Check;
use support::ms;
use support::poison::{Incident, Play, Service, POISON};

/// Seeds of each play.
const SEEDS: u64 = 6;

fn plain(seed: u64) -> Play {
    Play {
        seed,
        service: Service::Plain,
        sound: 40.0,
        poison: 2.0,
        ..Play::default()
    }
}

const CHECK: Check = Check {
    seeds: SEEDS,
    never: &[Reason::PromptQuarantined, Reason::RequestQuarantined],
};

/// Guards against a request under which three runners have crashed, sent to runners by any VM.
#[test]
fn fleet_sends_no_more_repeated_crashing_requests() {
    for seed in 1..=SEEDS {
        let report = CHECK.play("default", &plain(seed));
        assert!(report.crashes_of(POISON) >= 3, "seed {seed}");
        let served = report.answered_share(ms(20_000)..ms(29_000));
        assert!(served > 0.95, "seed {seed}: {served}");
    }
}

#[test]
fn fleet_crashing_request_rare() {
    CHECK.seeds("rare", |seed| Play {
        poison: 0.4,
        ..plain(seed)
    });
}

/// Several copies at once, so that all runners run it before the first has ended.
#[test]
fn fleet_crashing_request_often() {
    CHECK.seeds("often", |seed| Play {
        poison: 30.0,
        ..plain(seed)
    });
}

#[test]
fn fleet_two_crashing_requests() {
    CHECK.seeds("two", |seed| Play {
        culprits: vec![POISON, POISON + 1],
        ..plain(seed)
    });
}

/// A VM that starts, or joins, knows what crashes runners.
#[test]
fn fleet_crashing_request_restarts_and_joins() {
    let restart = |number: u64| {
        let vm = number as usize % 10;
        (ms(11_500 + 900 * number), Incident::Restart { vm })
    };
    CHECK.seeds("restarts", |seed| Play {
        incidents: (8..27).map(restart).collect(),
        ..plain(seed)
    });
}

/// VMs that were cut off from the others learn of it when they are back.
#[test]
fn fleet_crashing_request_vms_cut_off() {
    let cut = |vm: usize| {
        let time = ms(5_000);
        (ms(10_500 + 100 * vm as u64), Incident::Cut { vm, time })
    };
    CHECK.seeds("cut off", |seed| Play {
        incidents: (0..3).map(cut).collect(),
        ..plain(seed)
    });
}

/// A request that comes back after a while without it is known still.
#[test]
fn fleet_crashing_request_comes_back() {
    CHECK.seeds("comes back", |seed| Play {
        poisoned: vec![ms(11_000)..ms(15_000), ms(40_000)..ms(45_000)],
        length: ms(45_000),
        ..plain(seed)
    });
}

/// Guards against sound requests that are taken for the cause when runners crash for other reasons.
#[test]
fn fleet_plain_runners_crash_for_other_reasons() {
    for gap in [0, 20, 120, 250, 1_000] {
        CHECK.seeds("storm", |seed| {
            let crash = |number: u64| {
                let (engines, gap) = (3, ms(gap));
                let at = ms(11_000 + 5_000 * number);
                (at, Incident::Crash { engines, gap })
            };
            Play {
                poisoned: Vec::new(),
                incidents: (0..4).map(crash).collect(),
                ..plain(seed)
            }
        });
    }
}

/// Both at once: the request is found among crashes that it does not explain.
#[test]
fn fleet_crashing_request_amid_other_crashes() {
    CHECK.seeds("both", |seed| {
        let crash = |number: u64| {
            let (engines, gap) = (1, ms(150));
            let at = ms(11_500 + 3_000 * number);
            (at, Incident::Crash { engines, gap })
        };
        Play {
            incidents: (0..5).map(crash).collect(),
            ..plain(seed)
        }
    });
}
