//! Fleet membership, failure detection and graceful shutdown.

mod support;

use std::time::Duration;

use hornbeamtiller_relay::event::{Arrival, Effect, Event, Outcome};
use hornbeamtiller_relay::member::{Status, View};
use hornbeamtiller_relay::pool::Role;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use support::{
    descriptor, dispatch, has, manifest, member, ms, refusal, routes, stream_arrival, view,
    Harness, IDEMPOTENT, NON_IDEMPOTENT, STREAM,
};

fn published_views(effects: &[Effect]) -> Vec<View> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::PublishView { view, .. } => Some(view.clone()),
            _ => None,
        })
        .collect()
}

fn directory_vms(harness: &Harness) -> Vec<String> {
    let directory = harness.state.directory(Some("a"));
    directory
        .members
        .iter()
        .map(|descriptor| descriptor.vm.to_string())
        .collect()
}

#[test]
fn directory_lists_ready() {
    let mut harness = Harness::new(1);
    assert_eq!(directory_vms(&harness), ["vm-1"]);
    harness.receive_view(member("vm-2", 2, 7), false);
    assert_eq!(directory_vms(&harness), ["vm-1", "vm-2"]);
}

#[test]
fn directory_empty_before_manifest() {
    let harness = Harness::unconfigured(1);
    assert!(directory_vms(&harness).is_empty());
    assert!(!harness.state.is_ready());
}

#[test]
fn leave_publishes_immediately() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 7), false);
    let effects = harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    let status: Vec<Status> = published_views(&effects)
        .iter()
        .map(|view| view.sender.status)
        .collect();
    assert!(status.contains(&Status::Leaving));
    assert_eq!(directory_vms(&harness), ["vm-2"]);
    assert!(!harness.state.is_ready());
}

/// Callers keep sending to a VM that shuts down until their cached directory response expires.
#[test]
fn leave_serves_late_arrivals() {
    let mut harness = Harness::new(1);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    harness.now += ms(2_000);
    dispatch(&harness.arrive(NON_IDEMPOTENT));
}

/// Guards against a stream that is taken shortly before the process exits and cut by the exit.
#[test]
fn leave_refuses_stream_that_cannot_end() {
    let mut harness = Harness::new(1);
    let run = harness.start_stream(STREAM);
    harness.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    harness.now += ms(3_000);
    harness.end_attempt(run.attempt, Outcome::Ended);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    harness.now += ms(6_000);
    let refused = refusal(&harness.arrive(STREAM)).expect("a refusal");
    assert_eq!(
        (refused.claim, refused.reason),
        (Claim::NotRun, Reason::Leaving)
    );
    assert!(refused.retry_after.is_some());
}

/// Guards against a stream that is taken late, as the streams before were short, and cut by the exit.
#[test]
fn leave_refuses_late_stream_after_short_ones() {
    let mut harness = Harness::new(1);
    let run = harness.start_stream(STREAM);
    harness.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    harness.now += ms(100);
    harness.end_attempt(run.attempt, Outcome::Ended);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    harness.now += ms(2_000);
    assert!(refusal(&harness.arrive(STREAM)).is_none());
    harness.now += ms(1_000);
    let refused = refusal(&harness.arrive(STREAM)).expect("a refusal");
    assert_eq!(
        (refused.claim, refused.reason),
        (Claim::NotRun, Reason::Leaving)
    );
}

/// Guards against a stream that is taken for an early one, and cut by a kill, since the process noticed SIGTERM late.
#[test]
fn leave_noticed_late_refuses_late_stream() {
    let mut harness = Harness::new(1);
    let run = harness.start_stream(STREAM);
    harness.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    harness.now += ms(100);
    harness.end_attempt(run.attempt, Outcome::Ended);
    harness.now += ms(1_000);
    harness.apply(Event::Leave {
        noticed_after: ms(880),
    });
    harness.now += ms(1_500);
    assert!(refusal(&harness.arrive(STREAM)).is_none());
    harness.now += ms(500);
    let refused = refusal(&harness.arrive(STREAM)).expect("a refusal");
    assert_eq!(
        (refused.claim, refused.reason),
        (Claim::NotRun, Reason::Leaving)
    );
}

/// Guards against a request that has been read and gets no answer, since it was completed after the process had left.
#[test]
fn leave_refuses_arrival_after_exit() {
    let mut harness = Harness::new(1);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    harness.advance(ms(5_000));
    assert!(harness.state.exited);
    // A caller that goes on with a stream would have to wait until it is known where that began.
    let resumption = Event::Arrived(Arrival {
        resume_after: Some(3),
        ..stream_arrival(1, STREAM)
    });
    let mut answers = vec![harness.apply(resumption)];
    answers.extend([STREAM, NON_IDEMPOTENT, IDEMPOTENT].map(|path| harness.arrive(path)));
    for answer in answers {
        let refused = refusal(&answer).expect("a refusal");
        assert_eq!(
            (refused.claim, refused.reason),
            (Claim::NotRun, Reason::Leaving)
        );
    }
    assert!(harness.state.calls.is_empty());
}

/// A VM that leaves, one of whose streams is completed by its runner this long after that.
fn end_stream_while_leaving(after: Duration) -> Harness {
    let mut harness = Harness::new(1);
    let stream = harness.start_stream(STREAM);
    harness.apply(Event::StreamStarted {
        attempt: stream.attempt,
    });
    harness.stream_event(stream.attempt, 1);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    harness.advance(after);
    assert!(!harness.state.exited);
    let ended = harness.end_attempt(stream.attempt, Outcome::Ended);
    assert!(has(&ended, |effect| matches!(
        effect,
        Effect::EndStream { .. }
    )));
    harness
}

/// Guards against a stream that is cut although its runner has ended, since its last events reach this process late.
#[test]
fn leave_completes_stream_that_arrives_late() {
    let mut harness = end_stream_while_leaving(ms(7_400));
    harness.advance(ms(100));
    assert!(harness.state.exited);
}

/// Guards against streams that are cut although their runners have ended, since the process did not run and has not read
/// their last events.
#[test]
fn leave_reads_what_has_arrived_before_cut() {
    let mut harness = end_stream_while_leaving(ms(7_700));
    harness.advance(ms(15));
    assert!(harness.state.exited);
}

/// Guards against a connection that is closed without an answer because the process exits.
#[test]
fn leave_answers_all_calls_before_exit() {
    let mut harness = Harness::new(1);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    let mut answered = 0;
    let mut count_answers = |effects: &[Effect]| {
        let is_answer = |effect: &&Effect| matches!(effect, Effect::Refuse { .. });
        answered += effects.iter().filter(is_answer).count();
    };
    // The runners are silent.
    while !harness.state.exited {
        for path in [STREAM, NON_IDEMPOTENT, IDEMPOTENT] {
            count_answers(&harness.arrive(path));
        }
        count_answers(&harness.advance(ms(200)));
    }
    assert_eq!(answered as u64, harness.last_call);
    assert!(harness.state.calls.is_empty());
}

#[test]
fn leave_exits_when_idle() {
    let mut harness = Harness::new(1);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    let exits = |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Exit));
    assert!(!exits(&harness.advance(ms(3_000))));
    assert!(exits(&harness.advance(ms(1_000))));
}

#[test]
fn leave_exits_within_grace_period() {
    let mut harness = Harness::new(1);
    harness.apply(Event::Leave {
        noticed_after: ms(0),
    });
    let mut exited_at = None;
    while harness.elapsed() < ms(9_000) && exited_at.is_none() {
        // A caller that keeps sending requests.
        harness.arrive(NON_IDEMPOTENT);
        let effects = harness.advance(ms(50));
        if effects.iter().any(|effect| matches!(effect, Effect::Exit)) {
            exited_at = Some(harness.elapsed());
        }
    }
    assert!(exited_at.is_some_and(|at| at < ms(8_000)), "{exited_at:?}");
}

#[test]
fn peer_unresponsive_twice_is_down() {
    let mut harness = Harness::new(1);
    let peer = member("vm-2", 2, 7);
    harness.receive_view(peer.clone(), false);
    harness.apply(Event::PeerUnresponsive {
        address: peer.peer_address,
    });
    assert_eq!(
        directory_vms(&harness),
        ["vm-1"],
        "an unresponsive VM is not listed"
    );
    harness.now += ms(300);
    harness.apply(Event::PeerUnresponsive {
        address: peer.peer_address,
    });
    let known = harness.state.members.get(&"vm-2".into()).expect("known");
    assert_eq!(known.descriptor.status, Status::Down);
}

/// Views that time out together, in one short outage, are one sign of it and not two.
#[test]
fn peer_unresponsive_in_one_outage_is_not_down() {
    let mut harness = Harness::new(1);
    let peer = member("vm-2", 2, 7);
    harness.receive_view(peer.clone(), false);
    for _ in 0..5 {
        harness.now += ms(20);
        harness.apply(Event::PeerUnresponsive {
            address: peer.peer_address,
        });
    }
    harness.receive_view(peer, false);
    assert_eq!(directory_vms(&harness), ["vm-1", "vm-2"]);
}

/// A VM that a peer took for down raises its version, so that its own descriptor prevails.
#[test]
fn view_received_down_is_refuted() {
    let mut harness = Harness::new(1);
    let mut received = view(member("vm-2", 2, 7), false);
    let mut reported = harness.state.local.clone();
    reported.status = Status::Down;
    received.members = vec![reported.clone()];
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(harness.state.local.version > reported.version);
}

/// A VM whose clock was set back before a restart gets a lower incarnation than before.
/// Peers would ignore its descriptors unless it raised its incarnation.
#[test]
fn view_received_higher_incarnation_is_superseded() {
    let mut harness = Harness::new(1);
    let mut received = view(member("vm-2", 2, 7), false);
    let mut earlier = harness.state.local.clone();
    earlier.incarnation += 5_000;
    received.members = vec![earlier.clone()];
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(harness.state.local.incarnation > earlier.incarnation);
}

/// A seed that has not sent a view yet is queried again, even if it missed an earlier query.
#[test]
fn tick_unresponsive_seed_is_queried_again() {
    let mut harness = Harness::unconfigured(1);
    harness.state.seeds = vec![member("vm-9", 9, 1).peer_address];
    assert_eq!(published_views(&harness.advance(ms(10))).len(), 1);
    assert_eq!(published_views(&harness.advance(ms(600))).len(), 1);
}

/// A peer that can't read the configuration service gets a newer manifest and list of runners.
#[test]
fn view_received_stale_peer_gets_manifest() {
    let mut harness = Harness::new(1);
    let mut query = view(member("vm-2", 2, 7), true);
    query.manifest_version = 0;
    query.revision = 0;
    query.source_reached = false;
    let replies = published_views(&harness.apply(Event::ViewReceived { view: query.into() }));
    let manifest = replies.iter().find_map(|view| view.manifest.clone());
    assert_eq!(manifest.map(|manifest| manifest.version), Some(2));
    assert!(replies.iter().any(|view| view.runners.is_some()));
}

/// A VM that reads the configuration service itself is sent neither manifest nor list, however old
/// its own are.
#[test]
fn view_received_connected_peer_gets_no_manifest() {
    let mut harness = Harness::new(1);
    for vm in 0..60_u8 {
        harness.receive_view(member(&format!("vm-x{vm}"), 100 + vm, 7), false);
    }
    let mut query = view(member("vm-2", 2, 7), true);
    query.manifest_version = 0;
    query.revision = 0;
    harness.receive_view(member("vm-2", 2, 7), true);
    let replies = published_views(&harness.apply(Event::ViewReceived { view: query.into() }));
    assert!(replies
        .iter()
        .all(|view| view.manifest.is_none() && view.runners.is_none()));
    assert!(replies.iter().all(|view| view.members.len() <= 10));
}

#[test]
fn view_received_manifest_takes_effect() {
    let mut harness = Harness::unconfigured(1);
    let mut received = view(member("vm-2", 2, 7), false);
    received.manifest = Some(manifest(6, routes()));
    received.manifest_version = 6;
    received.runners = Some(support::descriptors());
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(harness.state.is_ready());
    dispatch(&harness.arrive(NON_IDEMPOTENT));
}

/// A request with its own id costs no message: only load at engines is published.
#[test]
fn arrived_plain_publishes_nothing() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 7), false);
    harness.now += ms(50);
    let effects = harness.arrive(NON_IDEMPOTENT);
    assert!(published_views(&effects).is_empty());
    let run = dispatch(&effects);
    let outcome = hornbeamtiller_relay::event::Outcome::Answered { status: 200 };
    assert!(published_views(&harness.end_attempt(run.attempt, outcome)).is_empty());
}

/// The last report of a VM that has failed does not keep an engine's capacity allocated forever.
#[test]
fn tick_load_of_unresponsive_vm_expires() {
    let mut harness = Harness::new(1);
    let mut received = view(member("vm-2", 2, 7), false);
    let load = hornbeamtiller_relay::pool::Load {
        requests: 3,
        tokens: 9_000,
        prefill_tokens: 0,
    };
    received.loads = vec![("make-1".into(), load)];
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    let peer_requests = |harness: &Harness| {
        let runner = harness.state.pool.get(&"make-1".into()).expect("known");
        runner.peer_load.requests
    };
    assert_eq!(peer_requests(&harness), 3);
    harness.advance(ms(6_000));
    assert_eq!(peer_requests(&harness), 0);
}

/// Load reported for a runner that is not listed here yet counts once it is listed, and the load
/// reported by one VM is kept when another one reports less.
#[test]
fn view_received_load_of_unlisted_runner() {
    let mut harness = Harness::new(1);
    let report = |harness: &mut Harness, vm: &str, host: u8, requests: u32| {
        let mut received = view(member(vm, host, 7), false);
        let load = hornbeamtiller_relay::pool::Load {
            requests,
            tokens: u64::from(requests) * 5_000,
            prefill_tokens: 0,
        };
        received.loads = vec![("make-9".into(), load)];
        harness.apply(Event::ViewReceived {
            view: received.into(),
        });
    };
    report(&mut harness, "vm-2", 2, 5);
    let descriptor = hornbeamtiller_relay::pool::Descriptor {
        revision: 30,
        ..descriptor("make-9", "llm", 39, Some(Role::Decode))
    };
    harness.apply(Event::RunnerUpdated { descriptor });
    let peer_requests = |harness: &Harness| {
        let runner = harness.state.pool.get(&"make-9".into()).expect("known");
        runner.peer_load.requests
    };
    assert_eq!(peer_requests(&harness), 5);
    report(&mut harness, "vm-3", 3, 3);
    assert_eq!(peer_requests(&harness), 8);
    report(&mut harness, "vm-2", 2, 1);
    assert_eq!(peer_requests(&harness), 4);
}

/// The first three VMs by name that reach the service poll it frequently, whatever others there
/// are.
#[test]
fn is_frequent_poller_first_by_name() {
    let mut harness = Harness::new(1);
    assert!(harness.state.is_frequent_poller());
    for (vm, host) in [("vm-01", 2), ("vm-02", 3), ("vm-2", 4)] {
        harness.receive_view(member(vm, host, 1), false);
    }
    assert!(harness.state.is_frequent_poller());
    harness.receive_view(member("vm-03", 5, 1), false);
    assert!(!harness.state.is_frequent_poller());
    // One of them loses the service, so this VM is among the first three again.
    let mut received = view(member("vm-03", 5, 1), false);
    received.source_reached = false;
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(harness.state.is_frequent_poller());
}

#[test]
fn is_manifest_stale_until_read() {
    let mut harness = Harness::new(1);
    assert!(!harness.state.is_manifest_stale());
    let mut received = view(member("vm-2", 2, 1), false);
    received.manifest_version = 3;
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(harness.state.is_manifest_stale());
    harness.apply(Event::ManifestRead {
        manifest: manifest(3, routes()),
    });
    assert!(!harness.state.is_manifest_stale());
}

/// A higher revision at another VM does not make the list stale, only a later change does: the
/// revision also rises with other keys of the configuration service.
#[test]
fn is_runner_list_stale_by_changes() {
    let mut harness = Harness::new(1);
    let mut received = view(member("vm-2", 2, 1), false);
    (received.revision, received.last_change) = (50, 10);
    harness.apply(Event::ViewReceived {
        view: received.clone().into(),
    });
    assert!(!harness.state.is_runner_list_stale());
    received.last_change = 11;
    harness.apply(Event::ViewReceived {
        view: received.into(),
    });
    assert!(harness.state.is_runner_list_stale());
    harness.apply(Event::RunnerRemoved {
        runner: "pay-1".into(),
        revision: 11,
    });
    assert!(!harness.state.is_runner_list_stale());
    assert_eq!(harness.state.pool.last_change, 11);
}
