//! Figures at the ends of their ranges: none ends the process.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::duration::{self, Scale as _, LONGEST};
use hornbeamtiller_relay::event::{Arrival, Effect, Event, Prompt};
use hornbeamtiller_relay::limit::Statement;
use hornbeamtiller_relay::pool::{Descriptor, Load, Report};
use proptest::prelude::*;
use proptest::sample::select;
use support::observe::{self, arrive, check_end, numbers, Observer};
use support::{dispatch, ms, prefilled, refusal, stream_arrival, Harness, STREAM};

#[test]
fn from_seconds_out_of_range() {
    let cases = [
        (f64::NAN, Duration::ZERO),
        (-1.0, Duration::ZERO),
        (f64::NEG_INFINITY, Duration::ZERO),
        (f64::INFINITY, LONGEST),
        (f64::MAX, LONGEST),
        (1.5, ms(1_500)),
    ];
    for (seconds, expected) in cases {
        assert_eq!(duration::from_seconds(seconds), expected, "{seconds}");
    }
}

#[test]
fn scale_out_of_range() {
    for (factor, expected) in [
        (f64::NAN, Duration::ZERO),
        (-2.0, Duration::ZERO),
        (f64::INFINITY, LONGEST),
        (2.0, ms(20)),
    ] {
        assert_eq!(ms(10).scale(factor), expected, "{factor}");
    }
    assert_eq!(Duration::MAX.scale(1.0), LONGEST);
}

/// Guards against a path of very many slashes that costs as many look-ups of prefixes of all lengths: so many are found
/// in no time that a caller would notice.
#[test]
fn find_route_many_slashes() {
    let manifest = support::manifest(3, support::routes());
    let deep = format!("{STREAM}{}", "/".repeat(15_800));
    let started_at = std::time::Instant::now();
    for _ in 0..2_000 {
        let route = manifest.find_route("pay.example", &deep);
        assert_eq!(route.map(|route| &*route.prefix), Some("/stream/"));
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    // The longest prefix may end within a character of the path.
    for length in 0..40 {
        let path = format!("/{}\u{e9}\u{1f600}/", "a".repeat(length));
        assert!(manifest.find_route("pay.example", &path).is_none());
    }
}

fn arrive_with_prompt(
    harness: &mut Harness,
    tokens: u64,
) -> Vec<hornbeamtiller_relay::event::Effect> {
    harness.last_call += 1;
    let mut arrival = stream_arrival(harness.last_call, STREAM);
    if let Some(prompt) = &mut arrival.prompt {
        prompt.tokens = tokens;
    }
    harness.apply(Event::Arrived(Arrival { ..arrival }))
}

/// Guards against a process that ends when a runner that has read an empty prompt gets the next one.
#[test]
fn prefill_of_empty_prompt() {
    for first in [0, 1, u64::MAX] {
        for next in [0, 1, 1_460, u64::MAX] {
            let mut harness = Harness::new(1);
            let effects = arrive_with_prompt(&mut harness, first);
            if refusal(&effects).is_none() {
                let prefill = dispatch(&effects);
                harness.now += ms(5);
                harness.end_attempt(prefill.attempt, prefilled());
            }
            for _ in 0..4 {
                arrive_with_prompt(&mut harness, next);
                harness.advance(ms(200));
            }
        }
    }
}

/// The peer that reports loads.
const PEER: &str = "vm-2";

/// The same for a smaller type, whose ends are met as often.
fn small_numbers() -> impl Strategy<Value = u32> {
    numbers().prop_map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

fn loads() -> impl Strategy<Value = Load> {
    (small_numbers(), numbers(), numbers()).prop_map(|(requests, tokens, prefill_tokens)| Load {
        requests,
        tokens,
        prefill_tokens,
    })
}

fn reports() -> impl Strategy<Value = Report> {
    let slowdown = proptest::option::of(10_u16..=2_000);
    let counts = (small_numbers(), small_numbers(), small_numbers());
    (counts, slowdown).prop_map(|((running, waiting, slots), slowdown)| Report {
        running,
        waiting,
        slots,
        slowdown,
    })
}

/// The figures of a request.
#[derive(Debug, Clone)]
struct Figures {
    time_limit: Option<u64>,
    prompt: Option<(u64, u64)>,
    stated_tokens: Option<u64>,
    resume_after: Option<u64>,
}

fn request_figures() -> impl Strategy<Value = Figures> {
    use proptest::option::{of, weighted};
    let resume_after = weighted(0.2, numbers());
    let prompt = of((numbers(), numbers()));
    (of(numbers()), prompt, of(numbers()), resume_after).prop_map(
        |(time_limit, prompt, stated_tokens, resume_after)| Figures {
            time_limit,
            prompt,
            stated_tokens,
            resume_after,
        },
    )
}

/// One event, with figures as others may name them.
#[derive(Debug, Clone)]
enum Step {
    Arrive(usize, Figures),
    /// A request as the harness makes it, so that some are served between the others.
    ArriveUsual(usize),
    End(usize, usize, Option<Report>),
    Position(usize, Option<u64>),
    Load(usize, Report),
    Limit(usize, f64),
    Rest(usize, u64),
    List(usize, u32, u64, u64),
    Peer(usize, Load, u32),
    ClaimOf(usize, Load),
    Disconnect(usize),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = || 0_usize..64;
    let limits = select(&[1e-300, 0.5, 3.0, 1e19, f64::MAX][..]);
    let rests = select(&[1_u64, 200, 3_600_000][..]);
    let one = prop_oneof![
        3 => (index(), request_figures()).prop_map(|(path, figures)| Step::Arrive(path, figures)),
        2 => index().prop_map(Step::ArriveUsual),
        6 => (index(), index(), proptest::option::of(reports()))
            .prop_map(|(which, how, report)| Step::End(which, how, report)),
        3 => (index(), proptest::option::of(numbers()))
            .prop_map(|(which, position)| Step::Position(which, position)),
        1 => (index(), reports()).prop_map(|(which, report)| Step::Load(which, report)),
        1 => (index(), limits).prop_map(|(which, limit)| Step::Limit(which, limit)),
        1 => (index(), rests).prop_map(|(which, rest)| Step::Rest(which, rest)),
        1 => (index(), small_numbers(), numbers(), numbers())
            .prop_map(|(which, slots, born, revision)| Step::List(which, slots, born, revision)),
        1 => (index(), loads(), small_numbers())
            .prop_map(|(which, load, waiting)| Step::Peer(which, load, waiting)),
        1 => (index(), loads()).prop_map(|(which, load)| Step::ClaimOf(which, load)),
        1 => index().prop_map(Step::Disconnect),
        4 => prop_oneof![9 => 1_u64..400, 1 => 400_u64..3_600_000].prop_map(Step::Advance),
    ];
    proptest::collection::vec(one, 1..80)
}

fn with_figures(arrival: Arrival, figures: Figures) -> Arrival {
    let prompt = figures.prompt.map(|(tokens, output_tokens)| Prompt {
        tokens,
        output_tokens,
    });
    Arrival {
        time_limit: figures.time_limit.map(Duration::from_millis),
        prompt,
        stated_tokens: figures.stated_tokens,
        resume_after: figures.resume_after,
        ..arrival
    }
}

fn apply_step(harness: &mut Harness, observer: &mut Observer, step: Step) -> Option<Vec<Effect>> {
    let listed = support::descriptors();
    let runner = |which: usize| listed[which % listed.len()].clone();
    let effects = match step {
        Step::Arrive(path, figures) => arrive(harness, observer, path, |arrival| {
            with_figures(arrival, figures)
        }),
        Step::ArriveUsual(path) => arrive(harness, observer, path, |arrival| arrival),
        Step::End(which, how, reported) => {
            let (attempt, outcome) = observer.end_one(which, how)?;
            harness.apply(Event::AttemptEnded {
                attempt,
                outcome,
                reported,
            })
        }
        Step::Position(which, position) => {
            let attempt = observer.pick(which)?;
            if observer.attempts[&attempt].is_prefill {
                return None;
            }
            let effects = harness.apply(Event::StreamStarted { attempt });
            observer.observe(&effects);
            harness.apply(Event::StreamEvent { attempt, position })
        }
        Step::Load(which, reported) => {
            let attempt = observer.pick(which)?;
            harness.apply(Event::LoadStated { attempt, reported })
        }
        Step::Limit(which, rate) => {
            let attempt = observer.pick(which)?;
            let statement = Statement::Limited(rate);
            harness.apply(Event::LimitStated { attempt, statement })
        }
        Step::Rest(which, time) => {
            let attempt = observer.pick(which)?;
            let time = ms(time);
            harness.apply(Event::RestAsked { attempt, time })
        }
        Step::List(which, slots, started_at_ms, revision) => {
            let descriptor = Descriptor {
                slots,
                started_at_ms,
                revision,
                ..runner(which)
            };
            harness.apply(Event::RunnerUpdated { descriptor })
        }
        Step::Peer(which, load, waiting_calls) => {
            let mut view = support::view(support::member(PEER, 2, 1), false);
            view.loads = vec![(runner(which).runner, load)];
            view.waiting_calls = waiting_calls;
            harness.apply(Event::ViewReceived { view: view.into() })
        }
        Step::ClaimOf(which, load) => {
            let engine = runner(which).runner;
            harness.receive_claim(&engine, load)
        }
        Step::Disconnect(which) => {
            let attempt = observer.pick(which)?;
            let call = observer.attempts[&attempt].call;
            harness.apply(Event::CallerDisconnected { call })
        }
        Step::Advance(time) => harness.advance(ms(time)),
    };
    Some(effects)
}

proptest! {
    #![proptest_config(support::cases::proptest_config(1_000))]

    /// Over any sequence of events with any figures nothing panics and nothing runs twice, refusals are true, and
    /// nothing is left at the end.
    #[test]
    fn reduce_any_figures(seed in any::<u64>(), steps in steps()) {
        let mut harness = observe::open(seed);
        let mut observer = Observer::default();
        for step in steps {
            if let Some(effects) = apply_step(&mut harness, &mut observer, step) {
                observer.observe(&effects);
            }
        }
        check_end(&mut harness, &mut observer);
    }
}
