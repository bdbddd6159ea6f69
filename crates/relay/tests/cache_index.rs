//! What engines list of the prompts that they hold, as evidence of where streams began.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeamtiller_relay::cache_index::{Index, LISTING_INTERVAL, LISTING_TIMEOUT};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::origin::Origin;
use hornbeamtiller_relay::pool::Instance;

const LIFETIME: Duration = Duration::from_secs(28);

fn endpoint() -> id::Endpoint {
    "llm".into()
}

fn engine(number: u64) -> Instance {
    Instance {
        runner: format!("engine-{number}").into(),
        started_at_ms: number,
    }
}

fn origin(build: &str) -> Origin {
    Origin {
        endpoint: endpoint(),
        build: build.into(),
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Asks these engines, which are all of the endpoint and of one software version.
fn start(index: &mut Index, engines: BTreeSet<Instance>, now: Duration) {
    let builds = engines.iter().cloned().map(|engine| (engine, "v1".into()));
    let builds = builds.collect();
    index.start(&endpoint(), engines, builds, now);
}

#[test]
fn unlisted_elsewhere_until_listed() {
    let mut index = Index::default();
    start(&mut index, BTreeSet::from([engine(1)]), seconds(10));
    assert!(index.is_unlisted_elsewhere(&origin("v2")));
    assert!(!index.is_unlisted_elsewhere(&origin("v1")));
    index.end(&endpoint(), &engine(1), false);
    assert!(index.is_unlisted_elsewhere(&origin("v2")));
    // Evidence outlasts the listing, so an engine that has answered once may be silent later.
    start(&mut index, BTreeSet::from([engine(1)]), seconds(13));
    index.end(&endpoint(), &engine(1), true);
    start(&mut index, BTreeSet::from([engine(1)]), seconds(16));
    assert!(!index.is_unlisted_elsewhere(&origin("v2")));
}

/// An engine that does not answer beside others of its version, as it is leaving, speaks against nothing.
#[test]
fn unlisted_elsewhere_beside_listed() {
    let mut index = Index::default();
    start(
        &mut index,
        BTreeSet::from([engine(1), engine(2)]),
        seconds(10),
    );
    index.end(&endpoint(), &engine(1), false);
    assert!(index.is_unlisted_elsewhere(&origin("v2")));
    index.end(&endpoint(), &engine(2), true);
    assert!(!index.is_unlisted_elsewhere(&origin("v2")));
    start(&mut index, BTreeSet::from([engine(1)]), seconds(13));
    assert!(!index.is_unlisted_elsewhere(&origin("v2")));
}

#[test]
fn pending_until_all_answered() {
    let mut index = Index::default();
    let now = seconds(10);
    assert!(index.is_pending(&endpoint(), now));
    start(&mut index, BTreeSet::from([engine(1), engine(2)]), now);
    index.end(&endpoint(), &engine(1), true);
    assert!(index.is_pending(&endpoint(), now));
    index.end(&endpoint(), &engine(2), true);
    assert!(!index.is_pending(&endpoint(), now));
}

#[test]
fn pending_engine_silent_ends() {
    let mut index = Index::default();
    let now = seconds(10);
    start(&mut index, BTreeSet::from([engine(1)]), now);
    assert!(index.is_pending(&endpoint(), now));
    assert!(!index.is_pending(&endpoint(), now + LISTING_TIMEOUT));
}

#[test]
fn due_once_per_interval() {
    let mut index = Index::default();
    let now = seconds(10);
    assert!(index.is_due(&endpoint(), now));
    start(&mut index, BTreeSet::new(), now);
    assert!(!index.is_due(&endpoint(), now + LISTING_INTERVAL / 2));
    assert!(index.is_due(&endpoint(), now + LISTING_INTERVAL));
    assert!(index.is_due(&"other".into(), now));
}

#[test]
fn find_two_builds_none() {
    let mut index = Index::default();
    let now = seconds(10);
    index.record(&engine(1).runner, &origin("v1"), &[1, 2], LIFETIME, now);
    index.record(&engine(1).runner, &origin("v1"), &[2], LIFETIME, now);
    let build = |part| index.find(part, now).map(|holding| holding.origin.build);
    assert_eq!(build(2), Some("v1".into()));
    index.record(&engine(1).runner, &origin("v2"), &[2], LIFETIME, now);
    let build = |part| index.find(part, now).map(|holding| holding.origin.build);
    assert_eq!(build(1), Some("v1".into()));
    assert_eq!(build(2), None);
}

#[test]
fn find_after_lifetime_none() {
    let mut index = Index::default();
    index.record(
        &engine(1).runner,
        &origin("v1"),
        &[1],
        LIFETIME,
        seconds(10),
    );
    assert!(index.find(1, seconds(37)).is_some());
    assert!(index.find(1, seconds(38)).is_none());
    index.evict(seconds(38), seconds(10));
    assert!(index.is_empty());
}

#[test]
fn record_bounded() {
    let mut index = Index::default();
    index.record(
        &engine(1).runner,
        &origin("v1"),
        &(0..100_000).collect::<Vec<_>>(),
        LIFETIME,
        seconds(10),
    );
    assert_eq!(index.len(), 65_536);
}

/// An engine is named as long as its last list has the part; what it held before still tells the version.
#[test]
fn find_engine_of_last_listing() {
    let mut index = Index::default();
    let now = seconds(10);
    for (number, parts) in [(1, vec![1, 2]), (2, vec![2])] {
        let now = now + LISTING_INTERVAL * number;
        start(&mut index, BTreeSet::from([engine(1)]), now);
        index.record(&engine(1).runner, &origin("v1"), &parts, LIFETIME, now);
        index.end(&endpoint(), &engine(1), true);
    }
    let now = now + LISTING_INTERVAL * 2;
    let engine_of = |part| index.find(part, now).map(|holding| holding.engine);
    assert_eq!(engine_of(2), Some(Some(engine(1).runner)));
    assert_eq!(engine_of(1), Some(None));
    assert_eq!(engine_of(3), None);
}
