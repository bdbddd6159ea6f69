//! Fleets of which some VMs reach no runner, while callers and the other VMs reach them.

mod support;

use std::time::Duration;

use support::fleet::Barrier;
use support::reach::{play, Cut, Play, Report, ALL, STABILITY_WINDOW};
use support::{many_descriptors, ms};

/// Seeds of each play.
const SEEDS: u64 = 4;
/// A cut VM has to serve its callers at least this often, against the others.
const SHARE_MIN: f64 = 2.0 / 3.0;

/// VMs of a large fleet, unless the environment sets another number.
const LARGE_FLEET: usize = 66;

fn read_large_fleet() -> usize {
    let given = std::env::var("HORNBEAMTILLER_REACH_VMS");
    given.map_or(LARGE_FLEET, |text| text.parse().expect("a number of VMs"))
}

fn cut(vms: &[usize], barrier: Barrier) -> Cut {
    Cut {
        vms: vms.to_vec(),
        time: ms(12_000)..ms(24_000),
        barrier,
        runners: ALL.to_vec(),
    }
}

/// What must hold of a play: from the stability window on, callers of cut VMs are served at least two thirds as
/// often as the others, and no more than 10 and 1 in 50 of all requests fail there.
fn check_play(name: &str, play_: &Play) -> Report {
    let report = play(play_);
    for cut in &play_.cuts {
        let time = cut.time.start + STABILITY_WINDOW..cut.time.end;
        let (served, all) = report.count_served(time.clone(), |vm| cut.vms.contains(&vm));
        let (others, all_others) = report.count_served(time, |vm| !cut.vms.contains(&vm));
        println!(
            "{name}, seed {}: {served} of {all}, others {others} of {all_others}",
            play_.seed
        );
        let share = |served: usize, all: usize| served as f64 / all.max(1) as f64;
        let is_worse = share(served, all) < SHARE_MIN * share(others, all_others);
        let failed_max = 10 + (all + all_others) / 50;
        assert!(
            !is_worse || all - served <= failed_max,
            "{name}, seed {}: {served} of {all}, others {others} of {all_others}",
            play_.seed
        );
    }
    report
}

fn check_seeds(name: &str, play_: impl Fn(u64) -> Play) {
    for seed in 1..=SEEDS {
        check_play(name, &play_(seed));
    }
}

fn check_cut(name: &str, vms: &[usize], barrier: Barrier) {
    check_seeds(name, |seed| Play {
        seed,
        cuts: vec![cut(vms, barrier)],
        ..Play::default()
    });
}

/// Guards against callers of VMs that reach no runner, who are refused while the other VMs have room.
#[test]
fn cut_vm_serves_its_callers() {
    check_cut("one, refusing", &[0], Barrier::Refusing);
    check_cut("one, hanging", &[0], Barrier::Hanging);
}

#[test]
fn cut_vms_serve_their_callers() {
    check_cut("three, refusing", &[1, 2, 5], Barrier::Refusing);
    check_cut("three, hanging", &[1, 2, 5], Barrier::Hanging);
}

#[test]
fn all_but_one_vm_cut() {
    check_cut("seven", &[0, 1, 2, 3, 4, 5, 6], Barrier::Refusing);
}

/// A play of a large fleet, in which each VM has few calls, and of which the first VMs alone reach runners.
fn large_play(vms: usize, reaching: usize, barrier: Barrier) -> Play {
    Play {
        seed: 1,
        vms,
        runners: many_descriptors(6, 14, 24),
        plain: 200.0,
        streams: 20.0,
        cuts: vec![cut(&(reaching..vms).collect::<Vec<_>>(), barrier)],
        length: ms(20_000),
        ..Play::default()
    }
}

/// Guards against callers of a large fleet who are refused since most VMs that are asked are cut off as well.
#[test]
fn cut_vms_of_large_fleet_serve_their_callers() {
    let vms = read_large_fleet();
    for cut_share in [0.05, 0.3, 0.75, 0.92] {
        let reaching = vms - (vms as f64 * cut_share).round() as usize;
        for barrier in [Barrier::Refusing, Barrier::Hanging] {
            let name = format!("{reaching} of {vms} reach, {barrier:?}");
            let report = check_play(&name, &large_play(vms, reaching, barrier));
            let fleet = &report.fleet;
            println!("{} views, {} probes", fleet.views, fleet.probes);
        }
    }
}

/// Every second VM is of the release before, which does not say what it reaches.
#[test]
fn cut_vms_beside_older_release_serve_their_callers() {
    for barrier in [Barrier::Refusing, Barrier::Hanging] {
        let play = Play {
            older: (0..LARGE_FLEET).step_by(2).collect(),
            ..large_play(LARGE_FLEET, LARGE_FLEET / 4, barrier)
        };
        check_play(&format!("older release, {barrier:?}"), &play);
        let all_older = Play {
            older: (0..LARGE_FLEET / 4).collect(),
            ..large_play(LARGE_FLEET, LARGE_FLEET / 4, barrier)
        };
        check_play(&format!("all that reach older, {barrier:?}"), &all_older);
    }
}

/// Views of one VM a second, of about 0.3 KB each, that keep control within 7 KB/s.
const VIEWS_MAX: f64 = 20.0;

/// Guards against a fleet that is busy asking itself who reaches the runners, where none does.
#[test]
fn no_vm_reaches_runners_few_views() {
    let play_ = large_play(LARGE_FLEET, 0, Barrier::Refusing);
    let calm = Play {
        cuts: Vec::new(),
        ..play_.clone()
    };
    let views = |play_: &Play| play(play_).fleet.views as f64;
    let time = (play_.length - play_.cuts[0].time.start).as_secs_f64();
    let extra = (views(&play_) - views(&calm)) / time / LARGE_FLEET as f64;
    println!("{extra:.1} views a second and VM more than without a cut");
    assert!(extra < VIEWS_MAX, "{extra}");
}

/// Few callers, so that a VM learns little from them.
#[test]
fn cut_vm_few_callers() {
    check_seeds("few", |seed| Play {
        seed,
        plain: 6.0,
        streams: 1.0,
        cuts: vec![cut(&[0, 1], Barrier::Hanging)],
        length: ms(26_000),
        ..Play::default()
    });
}

/// One endpoint, or one stage of it, is out of reach.
#[test]
fn cut_vm_reaches_some() {
    for runners in [vec!["pay"], vec!["read"], vec!["make"]] {
        check_seeds(runners[0], |seed| Play {
            seed,
            cuts: vec![Cut {
                runners: runners.clone(),
                ..cut(&[0, 1], Barrier::Refusing)
            }],
            ..Play::default()
        });
    }
}

/// VMs that start anew, and one that joins, while others are cut off.
#[test]
fn cut_vms_amid_restarts() {
    check_seeds("restarts", |seed| Play {
        seed,
        cuts: vec![cut(&[0, 3], Barrier::Hanging)],
        restarts: vec![
            (ms(13_000), 1),
            (ms(15_500), 0),
            (ms(18_000), 2),
            (ms(20_000), 8),
        ],
        ..Play::default()
    });
}

/// A VM that is cut off again and again.
#[test]
fn cut_vm_flaps() {
    check_seeds("flaps", |seed| {
        let cuts = (0..8).map(|number| Cut {
            time: ms(11_000 + 1_900 * number)..ms(12_000 + 1_900 * number),
            ..cut(&[0], Barrier::Refusing)
        });
        Play {
            seed,
            cuts: cuts.collect(),
            ..Play::default()
        }
    });
}

/// Within two seconds of its end a cut leaves no trace.
#[test]
fn healed_vm_serves() {
    for seed in 1..=SEEDS {
        let report = check_play(
            "healed",
            &Play {
                seed,
                cuts: vec![cut(&[0, 1, 2], Barrier::Hanging)],
                ..Play::default()
            },
        );
        let time: std::ops::Range<Duration> = ms(26_000)..ms(30_000);
        let (served, all) = report.count_served(time, |_| true);
        assert!(served * 50 >= all * 49, "seed {seed}: {served} of {all}");
    }
}
