//! At most once, and refusals that tell the truth: over all orders of what can happen to attempts.

mod support;

use std::collections::HashMap;

use hornbeamtiller_relay::event::{Decline, Effect, Event, Operation, Outcome};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use proptest::prelude::*;
use support::{dispatch, dispatches, has, ms, refusal, World, ONCE, READ, STREAM, STREAM_ONCE};

#[test]
fn closed_lost_once() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(ONCE));
    let effects = world.close(first.attempt, Outcome::Lost);
    assert!(dispatches(&effects).is_empty());
    let refused = refusal(&effects).expect("a final answer");
    assert_eq!(refused.claim, Claim::Unknown);
    assert_eq!(refused.retry_after, None);
}

#[test]
fn closed_unwritten_once() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(ONCE));
    let second = dispatch(&world.close(first.attempt, Outcome::Unwritten));
    assert_ne!(first.runner, second.runner);
}

#[test]
fn closed_declined_once() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(ONCE));
    let second = dispatch(&world.close(first.attempt, Outcome::Declined(Decline::Full)));
    assert_ne!(first.runner, second.runner);
}

#[test]
fn closed_foreign_answer_once() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(ONCE));
    let effects = world.close(first.attempt, Outcome::Mismatched);
    assert_eq!(
        refusal(&effects).map(|refused| refused.claim),
        Some(Claim::Unknown)
    );
}

#[test]
fn tick_time_limit_once() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(ONCE));
    assert!(refusal(&world.pass(ms(780))).is_none());
    let effects = world.pass(ms(25));
    let refused = refusal(&effects).expect("a final answer at the route's timeout");
    assert_eq!(refused.claim, Claim::UnknownTimedOut);
    let abandoned = |effect: &Effect| matches!(effect, Effect::CancelAttempt { attempt } if *attempt == first.attempt);
    assert!(has(&effects, abandoned));
}

#[test]
fn closed_failure_read() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(READ));
    let second = dispatch(&world.close(first.attempt, Outcome::Answered { status: 500 }));
    assert_ne!(first.runner, second.runner);
    // The route allows two runners, so that the second failure is the answer.
    let effects = world.close(second.attempt, Outcome::Answered { status: 500 });
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::ForwardResponse { .. }
    )));
}

#[test]
fn tick_silent_read() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(READ));
    world.now += ms(40);
    world.close(first.attempt, Outcome::Answered { status: 200 });
    let lost = dispatch(&world.arrive(READ));
    let mut effects = Vec::new();
    while dispatches(&effects).is_empty() && world.now < ms(2_000) {
        effects = world.pass(ms(15));
    }
    let again = dispatch(&effects);
    assert_ne!(lost.runner, again.runner);
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::CancelAttempt { .. }
    )));
}

#[test]
fn gone_read() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(READ));
    let effects = world.apply(Event::CallerDisconnected { call: first.call });
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::CancelAttempt { .. }
    )));
    assert!(world.state.calls.is_empty());
}

#[test]
fn gone_once() {
    let mut world = World::open(1);
    let first = dispatch(&world.arrive(ONCE));
    let effects = world.apply(Event::CallerDisconnected { call: first.call });
    assert!(!has(&effects, |effect| matches!(
        effect,
        Effect::CancelAttempt { .. }
    )));
    world.close(first.attempt, Outcome::Answered { status: 200 });
    assert!(world.state.calls.is_empty());
}

#[test]
fn gone_prefill() {
    let mut world = World::open(1);
    let read = dispatch(&world.arrive(STREAM));
    assert_eq!(read.operation, Operation::Prefill);
    let effects = world.apply(Event::CallerDisconnected { call: read.call });
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::CancelAttempt { .. }
    )));
    assert!(world.state.charges.is_empty());
}

#[test]
fn arrived_no_manifest() {
    let mut world = World::empty(1);
    let refused = refusal(&world.arrive(ONCE)).expect("a refusal");
    assert_eq!(refused.claim, Claim::NotRun);
    assert_eq!(refused.reason, Reason::NoManifest);
    assert!(refused.retry_after.is_some());
}

#[test]
fn arrived_no_route() {
    let mut world = World::open(1);
    let refused = refusal(&world.arrive("/unknown/1")).expect("a refusal");
    assert_eq!(
        (refused.claim, refused.reason),
        (Claim::Invalid, Reason::NoRoute)
    );
}

/// What a test does next.
#[derive(Debug, Clone, Copy)]
enum Move {
    Arrive(u8),
    Close(u8, u8),
    Piece(u8),
    Gone(u8),
    Pass(u16),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        3 => any::<u8>().prop_map(Move::Arrive),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(which, how)| Move::Close(which, how)),
        3 => any::<u8>().prop_map(Move::Piece),
        1 => any::<u8>().prop_map(Move::Gone),
        4 => (1_u16..600).prop_map(Move::Pass),
    ];
    proptest::collection::vec(one, 1..120)
}

/// What is known of one attempt from outside.
#[derive(Debug, Clone, Copy)]
struct Seen {
    call: id::Call,
    prefill: bool,
    /// Whether the runner may have run the request; an attempt under way may.
    may_have_run: bool,
    open: bool,
}

/// What is known of one call from outside.
#[derive(Debug, Default, Clone, Copy)]
struct Report {
    repeatable: bool,
    finals: u32,
    streaming: bool,
    last: u64,
}

/// Follows a world from outside and checks the promises at each effect.
#[derive(Default)]
struct Watch {
    attempts: HashMap<id::Attempt, Seen>,
    calls: HashMap<id::Call, Report>,
}

impl Watch {
    fn take(&mut self, effects: &[Effect], piece: Option<u64>) {
        for effect in effects {
            match effect {
                Effect::Dispatch(dispatch) => self.begun(dispatch),
                Effect::CancelAttempt { attempt } => self.abandoned(*attempt),
                Effect::Refuse { call, refusal } => self.refused(*call, refusal.claim),
                Effect::ForwardResponse { call }
                | Effect::EndStream { call }
                | Effect::AbortStream { call } => self.ended(*call),
                Effect::ForwardHead { call } => {
                    let reported = self.calls.entry(*call).or_default();
                    assert!(
                        !std::mem::replace(&mut reported.streaming, true),
                        "one head"
                    );
                }
                Effect::ForwardEvent { call } => {
                    let reported = self.calls.entry(*call).or_default();
                    let piece = piece.expect("a piece came");
                    assert!(piece > reported.last, "each event once and in order");
                    reported.last = piece;
                }
                _ => {}
            }
        }
    }

    fn begun(&mut self, dispatch: &hornbeamtiller_relay::event::Dispatch) {
        let prefill = dispatch.operation == Operation::Prefill;
        let reported = self.calls.entry(dispatch.call).or_default();
        assert_eq!(reported.finals, 0, "no attempt after the final answer");
        let ran = self
            .attempts
            .values()
            .filter(|seen| seen.call == dispatch.call && !seen.prefill && seen.may_have_run)
            .count();
        let open = self
            .attempts
            .values()
            .any(|seen| seen.call == dispatch.call && seen.open);
        assert!(!open, "one attempt of a call at a time");
        assert!(
            ran == 0 || reported.repeatable,
            "a call that runs once was sent again"
        );
        assert!(ran < 2, "more runners than the route allows");
        let seen = Seen {
            call: dispatch.call,
            prefill,
            may_have_run: true,
            open: true,
        };
        self.attempts.insert(dispatch.attempt, seen);
    }

    fn abandoned(&mut self, attempt: id::Attempt) {
        if let Some(seen) = self.attempts.get_mut(&attempt) {
            seen.open = false;
        }
    }

    fn refused(&mut self, call: id::Call, claim: Claim) {
        let ran = self
            .attempts
            .values()
            .any(|seen| seen.call == call && !seen.prefill && seen.may_have_run);
        assert!(
            claim != Claim::NotRun || !ran,
            "said not to have run, though it may have"
        );
        self.ended(call);
    }

    fn ended(&mut self, call: id::Call) {
        let reported = self.calls.entry(call).or_default();
        reported.finals += 1;
        assert_eq!(reported.finals, 1, "one final answer");
    }

    fn open(&self, which: u8) -> Option<(id::Attempt, Seen)> {
        let mut open: Vec<_> = self.attempts.iter().filter(|(_, seen)| seen.open).collect();
        open.sort_by_key(|(attempt, _)| **attempt);
        let index = usize::from(which) % open.len().max(1);
        open.get(index).map(|(attempt, seen)| (**attempt, **seen))
    }
}

fn outcome(how: u8, prefill: bool, streaming: bool) -> Outcome {
    match how % 8 {
        0 => Outcome::Unwritten,
        1 => Outcome::Declined(Decline::Full),
        2 => Outcome::Declined(Decline::Displaced),
        3 => Outcome::Lost,
        4 => Outcome::Mismatched,
        _ if prefill => support::prefilled(),
        _ if streaming => Outcome::Ended,
        5 => Outcome::Answered { status: 500 },
        _ => Outcome::Answered { status: 200 },
    }
}

fn play(seed: u64, moves: Vec<Move>) {
    let mut world = World::open(seed);
    let mut watch = Watch::default();
    let mut pieces: HashMap<id::Attempt, u64> = HashMap::new();
    for step in moves {
        let mut piece = None;
        let effects = match step {
            Move::Arrive(kind) => {
                let path = [ONCE, READ, STREAM, STREAM_ONCE][usize::from(kind) % 4];
                let reported = Report {
                    repeatable: path == READ || path == STREAM,
                    ..Report::default()
                };
                watch.calls.insert(world.last_call + 1, reported);
                world.arrive(path)
            }
            Move::Close(which, how) => {
                let Some((attempt, seen)) = watch.open(which) else {
                    continue;
                };
                let streaming = pieces.contains_key(&attempt);
                let outcome = outcome(how, seen.prefill, streaming);
                let ran = !matches!(outcome, Outcome::Unwritten | Outcome::Declined(_));
                if let Some(seen) = watch.attempts.get_mut(&attempt) {
                    seen.open = false;
                    seen.may_have_run = ran;
                }
                world.close(attempt, outcome)
            }
            Move::Piece(which) => {
                let Some((attempt, seen)) = watch.open(which) else {
                    continue;
                };
                if seen.prefill {
                    continue;
                }
                let next = pieces.entry(attempt).or_insert(0);
                if *next == 0 {
                    let effects = world.apply(Event::StreamStarted { attempt });
                    watch.take(&effects, None);
                }
                *next += 1;
                piece = Some(*next);
                world.piece(attempt, *next)
            }
            Move::Gone(which) => {
                let Some((_, seen)) = watch.open(which) else {
                    continue;
                };
                watch.calls.entry(seen.call).or_default().finals = 1;
                let effects = world.apply(Event::CallerDisconnected { call: seen.call });
                // The caller has left: what is said to it now counts as nothing.
                watch.calls.entry(seen.call).or_default().finals = 0;
                effects
            }
            Move::Pass(time) => world.pass(ms(u64::from(time))),
        };
        watch.take(&effects, piece);
    }
    // Nothing is left behind once all time limits have passed.
    for _ in 0..40 {
        let effects = world.pass(ms(500));
        watch.take(&effects, None);
    }
    assert!(world.state.calls.is_empty(), "calls end");
    assert!(world.state.by_attempt.is_empty(), "attempts end");
    assert!(
        world.state.charges.is_empty(),
        "work is taken out of the count"
    );
    assert!(world
        .state
        .pool
        .iter()
        .all(|runner| runner.local_load.requests == 0));
}

proptest! {
    #![proptest_config(support::config(600))]

    #[test]
    fn reduce_any_order(seed in any::<u64>(), moves in moves()) {
        play(seed, moves);
    }
}
