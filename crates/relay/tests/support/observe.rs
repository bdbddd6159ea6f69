//! Checks of the reducer that hold whatever is told to it: nothing runs twice, and refusals are true.

use std::collections::BTreeMap;

use hornbeamtiller_relay::duration::LONGEST;
use hornbeamtiller_relay::event::{Arrival, Decline, Effect, Event, Operation, Outcome};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::Load;
use hornbeamtiller_relay::refusal::Claim;
use proptest::prelude::*;
use proptest::sample::select;

use super::{
    ms, prefilled, stream_arrival, Harness, IDEMPOTENT, NON_IDEMPOTENT, STREAM,
    STREAM_NOT_RESUMABLE,
};

/// Numbers at the ends of the ranges of their types and of what VMs exchange.
const NUMBERS: [u64; 12] = [
    0,
    1,
    2,
    4_000,
    65_535,
    65_536,
    0xffff_ffff,
    0x1_0000_0000,
    (1 << 48) - 1,
    1 << 63,
    u64::MAX - 1,
    u64::MAX,
];
/// Any number, those above all.
pub fn numbers() -> impl Strategy<Value = u64> {
    prop_oneof![4 => select(&NUMBERS[..]), 1 => any::<u64>()]
}

/// What is known of an attempt.
pub struct Attempt {
    pub call: id::Call,
    pub is_prefill: bool,
    is_open: bool,
    may_have_run: bool,
}

/// Checks that nothing runs twice and that refusals are true.
#[derive(Default)]
pub struct Observer {
    pub attempts: BTreeMap<id::Attempt, Attempt>,
    /// Whether the request of a call may be repeated, and the final responses to it.
    calls: BTreeMap<id::Call, (bool, u32)>,
}

impl Observer {
    fn may_have_run(&self, call: id::Call) -> bool {
        let mut attempts = self.attempts.values();
        attempts.any(|known| known.call == call && known.may_have_run && !known.is_prefill)
    }

    /// Checks what the reducer does.
    pub fn observe(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => {
                    let (is_repeatable, responses) = self.calls[&dispatch.call];
                    assert_eq!(responses, 0, "an attempt after the final response");
                    let is_repeat = self.may_have_run(dispatch.call);
                    assert!(is_repeatable || !is_repeat, "runs twice");
                    let attempt = Attempt {
                        call: dispatch.call,
                        is_prefill: dispatch.operation == Operation::Prefill,
                        is_open: true,
                        may_have_run: true,
                    };
                    self.attempts.insert(dispatch.attempt, attempt);
                }
                Effect::AbortAttempt { attempt } => {
                    if let Some(attempt) = self.attempts.get_mut(attempt) {
                        attempt.is_open = false;
                    }
                }
                Effect::Refuse { call, refusal } => {
                    let is_false = refusal.claim == Claim::NotRun && self.may_have_run(*call);
                    assert!(!is_false, "{refusal:?}, though it may have run");
                    assert!(refusal.retry_after.is_none_or(|after| after <= LONGEST));
                    self.end(*call);
                }
                Effect::ForwardResponse { call }
                | Effect::EndStream { call }
                | Effect::AbortStream { call } => self.end(*call),
                _ => {}
            }
        }
    }

    fn end(&mut self, call: id::Call) {
        let (_, responses) = self.calls.get_mut(&call).expect("a call");
        *responses += 1;
        assert_eq!(*responses, 1, "a second final response");
    }

    /// Ends one of the open attempts, by drawn numbers; returns which, and how.
    pub fn end_one(&mut self, which: usize, how: usize) -> Option<(id::Attempt, Outcome)> {
        let attempt = self.pick(which)?;
        let known = self.attempts.get_mut(&attempt)?;
        let outcome = outcome(how, known.is_prefill);
        known.is_open = false;
        known.may_have_run = !matches!(outcome, Outcome::Unwritten | Outcome::Declined(_));
        Some((attempt, outcome))
    }

    /// One of the open attempts.
    pub fn pick(&self, which: usize) -> Option<id::Attempt> {
        let open = self.attempts.iter().filter(|(_, known)| known.is_open);
        let open: Vec<_> = open.map(|(attempt, _)| *attempt).collect();
        open.get(which % open.len().max(1)).copied()
    }
}

/// How an attempt ends, by a drawn number.
fn outcome(how: usize, is_prefill: bool) -> Outcome {
    match how % 7 {
        0 => Outcome::Unwritten,
        1 => Outcome::Declined(Decline::Full),
        2 => Outcome::Lost,
        3 => Outcome::Answered { status: 500 },
        _ if is_prefill => prefilled(),
        4 => Outcome::Ended,
        _ => Outcome::Answered { status: 200 },
    }
}

/// Delivers a request for one of four paths, as [`stream_arrival`] makes it but for a change.
pub fn arrive(
    harness: &mut Harness,
    observer: &mut Observer,
    path: usize,
    change: impl FnOnce(Arrival) -> Arrival,
) -> Vec<Effect> {
    let path = [NON_IDEMPOTENT, IDEMPOTENT, STREAM, STREAM_NOT_RESUMABLE][path % 4];
    harness.last_call += 1;
    let is_repeatable = [IDEMPOTENT, STREAM].contains(&path);
    let call = harness.last_call;
    observer.calls.insert(call, (is_repeatable, 0));
    let arrival = stream_arrival(call, path);
    let prompt = arrival.prompt.filter(|_| path.starts_with("/stream"));
    let arrival = change(Arrival { prompt, ..arrival });
    harness.apply(Event::Arrived(arrival))
}

/// A VM, which for one seed in four places calls by shared loads.
pub fn open(seed: u64) -> Harness {
    if seed % 4 == 0 {
        Harness::with_shared_loads(seed)
    } else {
        Harness::new(seed)
    }
}

/// Waits until all calls are over, and checks that nothing is left of them.
pub fn check_end(harness: &mut Harness, observer: &mut Observer) {
    for _ in 0..40 {
        let effects = harness.advance(ms(500));
        observer.observe(&effects);
    }
    assert!(harness.state.calls.is_empty(), "calls are left");
    assert!(harness.state.by_attempt.is_empty(), "attempts are left");
    assert!(harness.state.in_flight.is_empty(), "attempts are left");
    assert!(harness.state.charges.is_empty(), "load is left");
    let mut runners = harness.state.pool.iter();
    assert!(
        runners.all(|runner| runner.local_load == Load::default()),
        "load is left"
    );
}
