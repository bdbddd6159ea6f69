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
