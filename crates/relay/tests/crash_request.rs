//! Requests that crash each runner that runs them, and come again.

mod support;

use hornbeamtiller_relay::event::{Effect, Event, Outcome, Presence};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::{dispatch, ms, refusal, Harness, IDEMPOTENT, NON_IDEMPOTENT};

/// What a caller asks for that crashes runners.
const CRASHING: id::Fingerprint = 0xbad;

/// Delivers a request on which its runner crashes, and starts the runner anew.
fn crash(harness: &mut Harness, path: &str, fingerprint: id::Fingerprint) -> Vec<Effect> {
    let run = dispatch(&harness.arrive_asking(path, fingerprint));
    harness.now += ms(60);
    let mut effects = harness.end_attempt(run.attempt, Outcome::Lost);
    let instances: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::CheckRunner { instance, .. } => Some(instance.clone()),
            _ => None,
        })
        .collect();
    for instance in instances {
        let presence = Presence::Refused;
        effects.extend(harness.apply(Event::RunnerChecked { instance, presence }));
    }
    let known = harness.state.pool.get(&run.runner).expect("a runner");
    let mut descriptor = known.descriptor.clone();
    descriptor.started_at_ms += 1;
    descriptor.revision += 1;
    harness.apply(Event::RunnerUpdated { descriptor });
    effects.extend(harness.advance(ms(500)));
    effects
}

/// Guards against a request that crashes one runner after the other, sent on each time that it comes.
#[test]
#[ignore = "known red: issue 36, BUDGET"]
fn crashing_request_is_refused() {
    let mut harness = Harness::new(1);
    for _ in 0..3 {
        crash(&mut harness, NON_IDEMPOTENT, CRASHING);
    }
    let refused = refusal(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING));
    let refused = refused.expect("three runners have crashed");
    assert_eq!((refused.claim, refused.retry_after), (Claim::NotRun, None));
    assert_ne!(refused.reason, Reason::PromptQuarantined);
    dispatch(&harness.arrive_asking(NON_IDEMPOTENT, CRASHING + 1));
    dispatch(&harness.arrive_asking(IDEMPOTENT, CRASHING + 2));
}
