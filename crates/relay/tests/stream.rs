//! Streams: read at one runner, generated at another, and gone on with where the route allows.

mod support;

use hornbeamtiller_relay::event::{Decline, Dispatch, Effect, Event, Operation, Outcome};
use hornbeamtiller_relay::pool::{Descriptor, Load, Role};
use hornbeamtiller_relay::refusal::Claim;
use support::{
    descriptor, descriptors, dispatch, dispatches, has, member, ms, prefilled, refusal, view,
    World, KV_TOKENS, STREAM, STREAM_ONCE,
};

fn is_head(effect: &Effect) -> bool {
    matches!(effect, Effect::ForwardHead { .. })
}

fn is_piece(effect: &Effect) -> bool {
    matches!(effect, Effect::ForwardEvent { .. })
}

/// Has a stream come as far as its first event.
fn begin_stream(world: &mut World) -> Dispatch {
    let run = world.start_stream(STREAM);
    world.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    world.piece(run.attempt, 1);
    run
}

/// The decode engine that is not this one.
fn other_engine(run: &Dispatch) -> &'static str {
    match &*run.runner {
        "make-1" => "make-2",
        _ => "make-1",
    }
}

#[test]
fn prefilled_generates_with_kv() {
    let mut world = World::open(1);
    let run = world.start_stream(STREAM);
    let Operation::Generate {
        kv: Some(kv),
        resume_after,
    } = &run.operation
    else {
        panic!("a generation with the KV cache: {run:?}");
    };
    assert_eq!((&*kv.handle, *resume_after), ("kv-1", None));
    assert!(run.runner.starts_with("make-"));
}

#[test]
fn closed_lost_resumes_after_last_event() {
    let mut world = World::open(1);
    let run = world.start_stream(STREAM);
    assert!(has(
        &world.apply(Event::StreamStarted {
            attempt: run.attempt
        }),
        is_head
    ));
    for position in 1..=3 {
        assert!(has(&world.piece(run.attempt, position), is_piece));
    }
    let read = dispatch(&world.close(run.attempt, Outcome::Lost));
    let again = dispatch(&world.close(read.attempt, prefilled()));
    let Operation::Generate { resume_after, .. } = &again.operation else {
        panic!("a generation: {again:?}");
    };
    assert_eq!(*resume_after, Some(3));
    assert_ne!(again.runner, run.runner);
    // The caller has its head already, and events that it has are left out.
    let began = world.apply(Event::StreamStarted {
        attempt: again.attempt,
    });
    assert!(!has(&began, is_head));
    assert!(!has(&world.piece(again.attempt, 3), is_piece));
    assert!(has(&world.piece(again.attempt, 4), is_piece));
    let effects = world.close(again.attempt, Outcome::Ended);
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::EndStream { .. }
    )));
}

#[test]
fn closed_lost_once_breaks() {
    let mut world = World::open(1);
    let run = world.start_stream(STREAM_ONCE);
    world.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    world.piece(run.attempt, 1);
    let effects = world.close(run.attempt, Outcome::Lost);
    assert!(dispatches(&effects).is_empty());
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::AbortStream { .. }
    )));
}

#[test]
fn closed_lost_once_before_head() {
    let mut world = World::open(1);
    let run = world.start_stream(STREAM_ONCE);
    let effects = world.close(run.attempt, Outcome::Lost);
    assert_eq!(
        refusal(&effects).map(|refused| refused.claim),
        Some(Claim::Unknown)
    );
}

#[test]
fn closed_lost_prefill_is_repeated() {
    let mut world = World::open(1);
    let read = dispatch(&world.arrive(STREAM_ONCE));
    let again = dispatch(&world.close(read.attempt, Outcome::Lost));
    assert_ne!(read.runner, again.runner);
}

#[test]
fn arrived_after_goes_on() {
    let mut world = World::open(1);
    let read = dispatch(&world.arrive_with(STREAM, None, Some(12)));
    let run = dispatch(&world.close(read.attempt, prefilled()));
    assert!(matches!(
        run.operation,
        Operation::Generate {
            resume_after: Some(12),
            ..
        }
    ));
}

#[test]
fn silent_stream_is_left_before_it_goes_on() {
    let mut world = World::open(1);
    let run = begin_stream(&mut world);
    let mut effects = Vec::new();
    while dispatches(&effects).is_empty() && world.now < ms(5_000) {
        effects = world.pass(ms(15));
    }
    let order: Vec<&str> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::CancelAttempt { attempt } if *attempt == run.attempt => Some("abandon"),
            Effect::Dispatch(_) => Some("dispatch"),
            _ => None,
        })
        .collect();
    assert_eq!(order, ["abandon", "dispatch"]);
}

/// Has a peer tell that an engine is full.
fn fill(world: &mut World, engine: &str) {
    let mut said = view(member("vm-2", 2, 1), false);
    let load = Load {
        requests: 16,
        tokens: KV_TOKENS,
        prefill_tokens: 0,
    };
    said.loads = vec![(engine.into(), load)];
    world.apply(Event::ViewReceived { view: said });
}

#[test]
fn silent_stream_stays_where_no_other_has_room() {
    let mut world = World::open(1);
    let run = begin_stream(&mut world);
    let other = other_engine(&run);
    let end = world.now + ms(6_000);
    while world.now < end {
        fill(&mut world, other);
        let effects = world.pass(ms(15));
        let left = has(&effects, |effect| {
            matches!(
                effect,
                Effect::CancelAttempt { .. } | Effect::AbortStream { .. }
            )
        });
        assert!(!left, "at {:?}: {effects:?}", world.now);
    }
    // It wakes, and its caller gets what comes.
    assert!(has(&world.piece(run.attempt, 2), is_piece));
}

#[test]
fn silent_stream_moves_once_another_has_room() {
    let mut world = World::open(1);
    let run = begin_stream(&mut world);
    let other = other_engine(&run);
    fill(&mut world, other);
    while world.now < ms(3_000) {
        let effects = world.pass(ms(15));
        assert!(dispatches(&effects).is_empty(), "{effects:?}");
    }
    world.apply(Event::ViewReceived {
        view: view(member("vm-2", 2, 1), false),
    });
    let mut effects = Vec::new();
    while dispatches(&effects).is_empty() && world.now < ms(3_100) {
        effects = world.pass(ms(15));
    }
    let read = dispatch(&effects);
    let again = dispatch(&world.close(read.attempt, prefilled()));
    assert_eq!(&*again.runner, other);
}

#[test]
fn declined_roomy_engine_blames_kv() {
    let mut world = World::open(1);
    let run = world.start_stream(STREAM);
    let Operation::Generate { kv: Some(kv), .. } = run.operation.clone() else {
        panic!("a KV cache");
    };
    let effects = world.close(run.attempt, Outcome::Declined(Decline::Full));
    let again = dispatch(&effects);
    assert!(matches!(
        again.operation,
        Operation::Generate { kv: None, .. }
    ));
    // The next prompt is read elsewhere.
    let next = dispatch(&world.arrive(STREAM));
    assert_eq!(next.operation, Operation::Prefill);
    assert_ne!(next.runner, kv.runner);
}

#[test]
fn arrived_no_prefill_runner() {
    let mut world = World::open(1);
    for name in ["read-1", "read-2"] {
        world.apply(Event::RunnerRemoved {
            runner: name.into(),
            revision: 20,
        });
    }
    world.now += ms(1_500);
    let run = dispatch(&world.arrive(STREAM));
    assert!(matches!(
        run.operation,
        Operation::Generate { kv: None, .. }
    ));
}

#[test]
fn arrived_full_engines_wait() {
    let mut world = World::open(1);
    let mut begun = 0;
    for _ in 0..60 {
        begun += dispatches(&world.arrive(STREAM)).len();
    }
    // Two engines of 100,000 tokens, 7,000 tokens a stream.
    assert!((20..=25).contains(&begun), "{begun} streams were begun");
    assert_eq!(world.state.calls.len(), 60);
}

#[test]
fn waiting_late_call_leaves_room() {
    let mut world = World::open(1);
    let mut reads: Vec<_> = Vec::new();
    for _ in 0..40 {
        reads.extend(dispatches(&world.arrive(STREAM)));
    }
    let waiting = world.state.calls.len() - reads.len();
    assert!(waiting > 0);
    // All that waits is late now; one stream ends, and its room goes to a new call.
    world.now += ms(1_000);
    let execution_count: Vec<_> = reads
        .iter()
        .map(|read| dispatch(&world.close(read.attempt, prefilled())))
        .collect();
    world.apply(Event::StreamStarted {
        attempt: execution_count[0].attempt,
    });
    world.piece(execution_count[0].attempt, 1);
    world.close(execution_count[0].attempt, Outcome::Ended);
    let late = dispatches(&world.pass(ms(30)));
    assert!(late.is_empty(), "late calls wait: {late:?}");
    assert_eq!(dispatches(&world.arrive(STREAM)).len(), 1);
}

#[test]
fn waiting_call_is_refused_in_time() {
    let mut world = World::open(1);
    let mut begun = Vec::new();
    for _ in 0..60 {
        let effects = world.arrive(STREAM);
        begun.extend(dispatches(&effects).iter().map(|dispatch| dispatch.call));
    }
    let mut refused = Vec::new();
    while world.now < ms(3_600) {
        for effect in world.pass(ms(15)) {
            match effect {
                Effect::Dispatch(dispatch) => begun.push(dispatch.call),
                Effect::Refuse { call, refusal } if !begun.contains(&call) => refused.push(refusal),
                _ => {}
            }
        }
    }
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|refused| refused.claim == Claim::NotRun));
    assert!(refused.iter().all(|refused| refused.retry_after.is_some()));
}

/// An engine that is told to be loaded gets no more.
#[test]
fn shared_load_decides() {
    let mut world = World::open(1);
    let load = hornbeamtiller_relay::pool::Load {
        requests: 12,
        tokens: 80_000,
        prefill_tokens: 0,
    };
    let mut view = support::view(support::member("vm-2", 2, 7), false);
    view.loads = vec![("make-1".into(), load)];
    world.apply(Event::ViewReceived { view });
    for _ in 0..4 {
        let run = world.start_stream(STREAM);
        assert_eq!(&*run.runner, "make-2");
    }
}

#[test]
fn replaced_card_is_another_runner() {
    let mut world = World::open(1);
    let reborn = Descriptor {
        started_at_ms: 2,
        revision: 30,
        ..descriptor("make-1", "llm", 31, Some(Role::Decode))
    };
    world.apply(Event::RunnerUpdated { descriptor: reborn });
    assert_eq!(world.state.pool.iter().count(), descriptors().len());
}

/// Many VMs see the same room. With as many calls waiting elsewhere as there is room for many times
/// over, few of the calls that come here take it; with none waiting, all do.
#[test]
fn waiting_elsewhere_room_is_shared() {
    let begun = |waiting: u32| {
        let mut world = World::open(3);
        let mut view = support::view(support::member("vm-2", 2, 7), false);
        view.waiting_calls = waiting;
        world.apply(Event::ViewReceived { view });
        let arrivals = (0..20).map(|_| dispatches(&world.arrive(STREAM)).len());
        arrivals.sum::<usize>()
    };
    assert_eq!(begun(0), 20);
    assert!(begun(2_000) <= 3, "{} of 20", begun(2_000));
}

/// Two VMs with the same view do not both take the same engine each time.
#[test]
fn pick_is_spread() {
    let used = |seed: u64| World::open(seed).start_stream(STREAM).runner;
    let first: Vec<_> = (0..30).map(used).collect();
    assert!(first.iter().any(|runner| *runner != first[0]));
}

/// An engine that sends other streams is busy, not dark: its silent stream is not read anew.
#[test]
fn silent_stream_of_engine_that_is_heard() {
    let mut world = World::open(1);
    let silent = world.start_stream(STREAM);
    let mut other = world.start_stream(STREAM);
    while other.runner != silent.runner {
        other = world.start_stream(STREAM);
    }
    world.apply(Event::StreamStarted {
        attempt: silent.attempt,
    });
    world.piece(silent.attempt, 1);
    world.apply(Event::StreamStarted {
        attempt: other.attempt,
    });
    let abandoned = |effects: &[Effect]| {
        has(
            effects,
            |effect| matches!(effect, Effect::CancelAttempt { attempt } if *attempt == silent.attempt),
        )
    };
    for position in 1..40 {
        world.piece(other.attempt, position);
        assert!(!abandoned(&world.pass(ms(50))));
    }
    // The engine falls silent altogether.
    let later: Vec<Effect> = (0..40).flat_map(|_| world.pass(ms(50))).collect();
    assert!(abandoned(&later));
}
