//! Figures at the ends of their ranges: none ends the process.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::duration::{self, Scale as _, LONGEST};
use hornbeamtiller_relay::event::{Arrival, Event};
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
