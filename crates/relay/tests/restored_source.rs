//! The configuration service is restored from a copy: revisions go back, and entries are older than what is known.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::event::Event;
use hornbeamtiller_relay::pool::{Descriptor, Status};
use hornbeamtiller_relay::revision;
use support::{descriptor, descriptors, ms, Harness};

/// Time after which an entry that is still listed is taken for true.
const SETTLED: Duration = Duration::from_secs(6);

fn entry(era: u16, number: u64) -> Descriptor {
    Descriptor {
        revision: revision::compose(era, number),
        ..descriptor("pay-2", "pay", 12, None)
    }
}

fn draining(era: u16, number: u64) -> Descriptor {
    Descriptor {
        draining: true,
        ..entry(era, number)
    }
}

fn update(harness: &mut Harness, descriptor: Descriptor) {
    harness.apply(Event::RunnerUpdated { descriptor });
}

/// Reads the list of an era, with this entry of one runner, if any.
fn read(harness: &mut Harness, era: u16, number: u64, changed: Option<Descriptor>) {
    let others = descriptors()
        .into_iter()
        .filter(|descriptor| &*descriptor.runner != "pay-2");
    let others = others.map(|descriptor| Descriptor {
        revision: revision::compose(era, descriptor.revision),
        ..descriptor
    });
    let event = Event::PoolRead {
        descriptors: others.chain(changed).collect(),
        revision: revision::compose(era, number),
    };
    harness.apply(event);
}

fn is_ready(harness: &Harness) -> bool {
    let runner = harness.state.pool.get(&"pay-2".into()).expect("known");
    runner.status == Status::Ready
}

/// A process that has read the list in the first era, up to a high revision.
fn open() -> Harness {
    let mut harness = Harness::new(1);
    read(&mut harness, 1, 90, Some(entry(1, 90)));
    harness
}

#[test]
fn restored_draining_at_lower_number_counts() {
    let mut harness = open();
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    assert!(is_ready(&harness));
    update(&mut harness, draining(2, 41));
    assert!(!is_ready(&harness));
}

#[test]
fn restored_removal_at_lower_number_counts() {
    let mut harness = open();
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    harness.apply(Event::RunnerRemoved {
        runner: "pay-2".into(),
        revision: revision::compose(2, 41),
    });
    assert!(!is_ready(&harness));
}

/// Guards against requests to a runner that is known to drain, since the copy is from before it said so.
#[test]
fn restored_copy_from_before_draining_is_doubted() {
    let mut harness = open();
    update(&mut harness, draining(1, 95));
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    assert!(!is_ready(&harness));
    harness.advance(ms(1_000));
    update(&mut harness, draining(2, 45));
    harness.advance(SETTLED);
    assert!(!is_ready(&harness));
}

/// Guards against requests to a runner that is known to be gone, since the copy is from before it went.
#[test]
fn restored_copy_from_before_removal_is_doubted() {
    let mut harness = open();
    let removal = |era, number| Event::RunnerRemoved {
        runner: "pay-2".into(),
        revision: revision::compose(era, number),
    };
    harness.apply(removal(1, 95));
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    assert!(!is_ready(&harness));
    harness.advance(ms(3_000));
    harness.apply(removal(2, 50));
    harness.advance(SETTLED);
    assert!(!is_ready(&harness));
}

#[test]
fn restored_copy_still_listed_is_settled() {
    let mut harness = open();
    update(&mut harness, draining(1, 95));
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    harness.advance(SETTLED);
    assert!(is_ready(&harness));
}

/// A runner that writes its entry anew is there.
#[test]
fn restored_copy_entry_written_again_counts() {
    let mut harness = open();
    update(&mut harness, draining(1, 95));
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    update(&mut harness, entry(2, 42));
    assert!(is_ready(&harness));
}

/// An entry that the copy lacks, and that is written again.
#[test]
fn restored_missing_entry_written_again_counts() {
    let mut harness = open();
    read(&mut harness, 2, 40, None);
    assert!(!is_ready(&harness));
    update(&mut harness, entry(2, 41));
    assert!(is_ready(&harness));
}

/// Guards against requests to the address of an earlier process of a runner.
#[test]
fn restored_copy_of_earlier_process_ignored() {
    let mut harness = open();
    let later = Descriptor {
        address: "127.0.0.99:80".parse().expect("an address"),
        started_at_ms: 99_999,
        ..entry(1, 95)
    };
    update(&mut harness, later.clone());
    read(&mut harness, 2, 40, Some(entry(2, 30)));
    let known = harness.state.pool.get(&"pay-2".into()).expect("known");
    assert_eq!(known.descriptor.address, later.address);
    assert!(is_ready(&harness));
}
