//! Streams that callers take up again: at which software version they may go on.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hornbeamtiller_relay::allocation::Urgency;
use hornbeamtiller_relay::event::{Arrival, Effect, Event};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::Manifest;
use hornbeamtiller_relay::origin::{self, Origin, Record, Source, Table, REPLICAS};
use hornbeamtiller_relay::pool::Role;
use hornbeamtiller_relay::refusal::{Claim, Reason};
use proptest::prelude::*;
use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use rand::Rng as _;
use support::cases::proptest_config;
use support::resume::{Fleet, Network, Resumption};
use support::{has, manifest, ms, routes, stream_arrival, Harness, STREAM};

const TWO_BUILDS: [&str; 2] = ["v1", "v2"];

fn bound(build: &id::Build) -> Resumption {
    Resumption::Bound(Some(build.clone()))
}

/// The refusal of a resumption: its reason, and whether the caller may come back.
fn refused(resumption: Resumption) -> (Reason, bool) {
    match resumption {
        Resumption::Refused(refusal) => {
            assert_eq!(refusal.claim, Claim::NotRun);
            (refusal.reason, refusal.retry_after.is_some())
        }
        Resumption::Bound(build) => panic!("goes on at {build:?}"),
    }
}

/// Begins a stream at a VM and lets it tell others.
fn begin(fleet: &mut Fleet, vm: usize) -> (String, id::Build) {
    let begun = fleet.begin(vm).expect("a stream");
    fleet.advance(ms(30));
    begun
}

fn record(stream: id::Stream, build: &str) -> Record {
    Record {
        stream,
        session: None,
        origin: Origin {
            endpoint: "llm".into(),
            build: build.into(),
        },
        lifetime: ms(28_000),
    }
}

/// Streams that begin at all VMs in turn.
fn begin_all(fleet: &mut Fleet, vms: usize) -> Vec<(String, id::Build)> {
    (0..40)
        .map(|number| begin(fleet, 1 + number % vms))
        .collect()
}

/// Streams of a fleet whose VMs are all killed then, in two builds.
fn begin_and_restart_all(fleet: &mut Fleet, vms: usize) -> Vec<(String, id::Build)> {
    let streams = begin_all(fleet, vms);
    fleet.restart_all(vms);
    streams
}

#[test]
fn resume_same_vm() {
    let mut fleet = Fleet::new(3, &TWO_BUILDS, 1);
    for _ in 0..20 {
        let (request, build) = begin(&mut fleet, 1);
        assert_eq!(fleet.resume(1, Some(&request)), bound(&build));
    }
    assert_eq!(fleet.decided_by(Source::Local), 20);
}

#[test]
fn resume_other_vm() {
    let mut fleet = Fleet::new(12, &TWO_BUILDS, 1);
    for number in 0..60 {
        let (request, build) = begin(&mut fleet, 1);
        let vm = 2 + number % 11;
        assert_eq!(fleet.resume(vm, Some(&request)), bound(&build));
    }
    assert!(fleet.decided_by(Source::Peer) > 20);
}

#[test]
fn resume_first_vm_killed() {
    let mut fleet = Fleet::new(12, &TWO_BUILDS, 1);
    let streams: Vec<_> = (0..40).map(|_| begin(&mut fleet, 1)).collect();
    fleet.kill(1);
    for (number, (request, build)) in streams.iter().enumerate() {
        let vm = 2 + number % 11;
        assert_eq!(fleet.resume(vm, Some(request)), bound(build));
    }
}

#[test]
fn resume_first_vm_restarted() {
    let mut fleet = Fleet::new(5, &TWO_BUILDS, 1);
    let streams: Vec<_> = (0..20).map(|_| begin(&mut fleet, 1)).collect();
    fleet.kill(1);
    fleet.start(1);
    for (request, build) in &streams {
        assert_eq!(fleet.resume(1, Some(request)), bound(build));
    }
}

#[test]
fn resume_first_vm_down() {
    let mut fleet = Fleet::new(5, &TWO_BUILDS, 1);
    let streams: Vec<_> = (0..20).map(|_| begin(&mut fleet, 1)).collect();
    fleet.kill(1);
    fleet.report_down(1);
    for (request, build) in &streams {
        assert_eq!(fleet.resume(2, Some(request)), bound(build));
    }
}

/// Guards against a caller who is told not to come back while the VM that began its stream may only be paused.
#[test]
fn resume_first_vm_killed_before_telling() {
    let mut fleet = Fleet::new(5, &TWO_BUILDS, 1);
    let (request, _) = fleet.begin(1).expect("a stream");
    fleet.held.clear();
    fleet.kill(1);
    fleet.report_down(1);
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
    fleet.advance(ms(5_000));
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnknown, false));
}

/// A record that a replica does not take goes to the VM that ranks next.
#[test]
fn tell_replica_killed() {
    let mut fleet = Fleet::new(9, &TWO_BUILDS, 1);
    fleet.kill(9);
    for _ in 0..30 {
        begin(&mut fleet, 1);
    }
    let holders = |stream: id::Stream| {
        let vms = 2..=8;
        let knows = |vm: &usize| {
            fleet
                .harness(*vm)
                .state
                .origins
                .get(stream, ms(0))
                .is_some()
        };
        vms.filter(knows).count()
    };
    for number in 1..=30 {
        let stream = origin::stream(&format!("request-{number}"));
        assert_eq!(holders(stream), REPLICAS);
    }
}

/// Guards against streams that are forgotten because each VM is replaced in its turn.
#[test]
fn resume_all_vms_replaced_in_turn() {
    let mut fleet = Fleet::new(6, &TWO_BUILDS, 1);
    let streams: Vec<_> = (0..20).map(|_| begin(&mut fleet, 1)).collect();
    for vm in 1..=6 {
        fleet.leave(vm);
        fleet.start(vm);
    }
    for (request, build) in &streams {
        assert_eq!(fleet.resume(2, Some(request)), bound(build));
    }
}

#[test]
fn resume_all_vms_restarted_prompt_dropped_refused() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    let (request, _) = begin(&mut fleet, 1);
    fleet.restart_all(4);
    fleet.held.clear();
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
    fleet.advance(ms(3_000));
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnknown, false));
    // Streams that begin from now on are known.
    let (request, build) = begin(&mut fleet, 1);
    fleet.kill(1);
    assert_eq!(fleet.resume(3, Some(&request)), bound(&build));
}

/// Guards against streams that are refused wholesale since all VMs were killed at once.
#[test]
fn resume_all_vms_killed_two_builds_go_on() {
    let mut fleet = Fleet::new(7, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 7);
    for (number, (request, build)) in streams.iter().enumerate() {
        let resumption = fleet.resume(1 + number % 7, Some(request));
        assert_eq!(resumption, bound(build), "{request}");
    }
    assert_eq!(fleet.decided_by(Source::Engines), 40);
}

/// A caller that does not name its stream is known by its prompt.
#[test]
fn resume_all_vms_killed_not_named_go_on() {
    let mut fleet = Fleet::new(7, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 7);
    for (number, (request, build)) in streams.iter().enumerate() {
        let resumption = fleet.resume_unnamed(1 + number % 7, request);
        assert_eq!(resumption, bound(build), "{request}");
    }
}

/// However many streams are taken up, an engine is asked once per interval, not once by each VM.
#[test]
fn resume_all_vms_killed_listings_bounded() {
    let mut fleet = Fleet::new(60, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 60);
    let start = fleet.now;
    fleet.listings = 0;
    for (number, (request, _)) in streams.iter().enumerate() {
        fleet.resume(1 + number % 60, Some(request));
    }
    let intervals = (fleet.now - start).as_secs() / 2 + 1;
    assert!(fleet.listings <= 2 * intervals as u32);
}

#[test]
fn resume_prompt_at_two_builds_refused() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    let (request, _) = begin(&mut fleet, 1);
    fleet.restart_all(4);
    for engine in ["make-0", "make-1"] {
        let held = fleet.held.entry(engine.into()).or_default();
        held.insert(origin::stream(&request));
    }
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
}

/// A prefill engine has read the prompt; it says nothing of who went on with it.
#[test]
fn resume_prompt_at_prefill_engine_alone_refused() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    let (request, _) = begin(&mut fleet, 1);
    fleet.restart_all(4);
    let read = BTreeSet::from([origin::stream(&request)]);
    fleet.held = BTreeMap::from([("read-1".into(), read)]);
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
}

/// A caller without a prompt of its own is no evidence to look for.
#[test]
fn resume_without_prompt_refused() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    begin(&mut fleet, 1);
    fleet.restart_all(4);
    fleet.advance(ms(600));
    let listings = fleet.listings;
    let resumption = fleet.resume(2, None);
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
    assert_eq!(fleet.listings, listings);
}

/// Asserts that no stream goes on at a software version that did not begin it; returns how many go on.
fn resume_all(fleet: &mut Fleet, streams: &[(String, id::Build)]) -> usize {
    let mut gone_on = 0;
    for (request, build) in streams {
        if let Resumption::Bound(at) = fleet.resume(2, Some(request)) {
            assert_eq!(at.as_ref(), Some(build), "{request}");
            gone_on += 1;
        }
    }
    gone_on
}

/// Guards against a stream that goes on at the version of an earlier request of its session, since the engine that began
/// it does not list what it holds. Once it does, the streams go on.
#[test]
fn resume_all_vms_killed_engine_mute_session_at_other_build() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 4);
    fleet.mute.insert("make-0".into());
    let of_v1 = |stream: &&(String, id::Build)| &*stream.1 == "v1";
    let (of_v1, of_v2): (Vec<_>, Vec<_>) = streams.iter().partition(of_v1);
    let of_v1: Vec<_> = of_v1.into_iter().cloned().collect();
    fleet.hold_sessions("make-1", &of_v1);
    assert_eq!(resume_all(&mut fleet, &streams), 0);
    fleet.mute.clear();
    fleet.advance(ms(2_500));
    let of_v2: Vec<_> = of_v2.into_iter().cloned().collect();
    assert_eq!(resume_all(&mut fleet, &of_v2), of_v2.len());
    assert_eq!(resume_all(&mut fleet, &of_v1), 0);
}

/// Guards against the same where the engine that began the stream has left before the VMs are back.
#[test]
fn resume_all_vms_killed_engine_left_session_at_other_build() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    fleet.has_history = true;
    let streams = begin_all(&mut fleet, 4);
    fleet.hold_sessions("make-1", &streams);
    fleet.unlist("make-0");
    fleet.restart_all(4);
    assert_eq!(resume_all(&mut fleet, &streams), 0);
}

/// Guards against the same where that engine has started anew under its name, and holds nothing any more.
#[test]
fn resume_all_vms_killed_engine_restarted_session_at_other_build() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    fleet.has_history = true;
    let streams = begin_all(&mut fleet, 4);
    fleet.hold_sessions("make-1", &streams);
    fleet.list("make-0", "v1", Role::Decode);
    fleet.restart_all(4);
    assert_eq!(resume_all(&mut fleet, &streams), 0);
}

/// Guards against streams of a small fleet that are refused because all VMs but one were killed while the engines of another
/// version left. The engines prove nothing then: their prompts may be of earlier requests of the sessions.
#[test]
fn resume_all_vms_but_one_killed_build_gone_go_on() {
    let mut fleet = Fleet::new(8, &["v1", "v2", "v2"], 1);
    fleet.has_history = true;
    let streams = begin_all(&mut fleet, 8);
    fleet.hold_sessions("make-1", &streams);
    for vm in 2..=8 {
        fleet.kill(vm);
    }
    fleet.unlist("make-0");
    for vm in 2..=8 {
        fleet.start(vm);
    }
    let of_v2 = |stream: &&(String, id::Build)| &*stream.1 == "v2";
    let of_v2 = streams.iter().filter(of_v2).count();
    assert!(of_v2 >= 20, "{of_v2}");
    assert!(resume_all(&mut fleet, &streams) >= of_v2);
}

/// A fleet of nine engines of two versions, with streams of all VMs, some of which began at the engine `make-0` of `v1`.
fn begin_at_nine_engines(seed: u64) -> (Fleet, Vec<(String, id::Build)>) {
    let builds = ["v1", "v1", "v1", "v1", "v1", "v1", "v2", "v2", "v2"];
    let mut fleet = Fleet::new(4, &builds, seed);
    fleet.has_history = true;
    let streams = (0..54)
        .map(|number| begin(&mut fleet, 1 + number % 4))
        .collect();
    (fleet, streams)
}

/// Takes all streams up again; returns how many go on, and how many of these at another version than the one that began them.
fn count_resumed(fleet: &mut Fleet, streams: &[(String, id::Build)]) -> (usize, usize) {
    let (mut gone_on, mut joined) = (0, 0);
    for (request, build) in streams {
        if let Resumption::Bound(at) = fleet.resume(2, Some(request)) {
            gone_on += 1;
            joined += usize::from(at.as_ref() != Some(build));
        }
    }
    (gone_on, joined)
}

/// Most streams that may hold events of two versions.
const JOINED_MAX: usize = 2;

/// Guards against streams that go on at the version of an earlier request of their session, since one of several engines of
/// the version that began them is lost with what it held.
#[test]
fn resume_all_vms_killed_one_engine_lost_session_at_other_build() {
    for seed in 0..8 {
        for is_listed in [true, false] {
            let (mut fleet, streams) = begin_at_nine_engines(seed);
            fleet.hold_sessions("make-6", &streams);
            if is_listed {
                fleet.mute.insert("make-0".into());
            } else {
                fleet.unlist("make-0");
            }
            fleet.restart_all(4);
            let (_, joined) = count_resumed(&mut fleet, &streams);
            assert!(joined <= JOINED_MAX, "seed {seed}: {joined}");
        }
    }
}

/// The same where the entry of the engine is removed after the VMs are back, and callers come later.
#[test]
fn resume_all_vms_killed_one_engine_lost_entry_removed_later() {
    for seed in 0..8 {
        let (mut fleet, streams) = begin_at_nine_engines(seed);
        fleet.hold_sessions("make-6", &streams);
        fleet.mute.insert("make-0".into());
        fleet.restart_all(4);
        fleet.advance(ms(3_000));
        fleet.unlist("make-0");
        fleet.advance(ms(4_000));
        let (_, joined) = count_resumed(&mut fleet, &streams);
        assert!(joined <= JOINED_MAX, "seed {seed}: {joined}");
    }
}

/// Guards against streams that are refused because an engine is lost, though no session has had requests at two versions.
#[test]
fn resume_all_vms_killed_one_engine_lost_sessions_at_one_build_go_on() {
    let (mut fleet, streams) = begin_at_nine_engines(1);
    let lost = fleet.held.get("make-0").cloned().unwrap_or_default();
    fleet.mute.insert("make-0".into());
    fleet.restart_all(4);
    let (gone_on, joined) = count_resumed(&mut fleet, &streams);
    let lost = streams
        .iter()
        .filter(|(stream, _)| lost.contains(&origin::stream(stream)));
    assert_eq!((gone_on, joined), (streams.len() - lost.count(), 0));
}

/// An engine that has left proves nothing against streams of its own version.
#[test]
fn resume_all_vms_killed_engine_left_same_build_go_on() {
    let mut fleet = Fleet::new(4, &["v1", "v1"], 1);
    fleet.has_history = true;
    let streams = begin_all(&mut fleet, 4);
    fleet.unlist("make-0");
    fleet.restart_all(4);
    assert!(resume_all(&mut fleet, &streams) >= 10);
}

/// Another VM asks the engines where the one that should does not respond.
#[test]
fn resume_lister_killed() {
    let mut fleet = Fleet::new(7, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 7);
    let endpoint: id::Endpoint = "llm".into();
    let rank = |vm: &usize| origin::rank(&format!("vm-{vm}").into(), origin::name_key(&endpoint));
    let lister = (1..=7).max_by_key(rank).expect("a VM");
    fleet.kill(lister);
    let vm = 1 + lister % 7;
    for (request, build) in &streams {
        assert_eq!(fleet.resume(vm, Some(request)), bound(build));
    }
}

/// What an engine held when it was first asked counts after it has dropped it.
#[test]
fn resume_prompt_dropped_after_listing() {
    let mut fleet = Fleet::new(7, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 7);
    fleet.resume(1, Some(&streams[0].0));
    fleet.held.clear();
    fleet.advance(ms(5_000));
    for (request, build) in &streams {
        assert_eq!(fleet.resume(2, Some(request)), bound(build));
    }
}

/// Guards against engines that are asked only once callers come back, when new streams have taken the place of
/// the prompts.
#[test]
fn resume_prompt_dropped_soon_after_start() {
    let mut fleet = Fleet::new(7, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 7);
    fleet.advance(ms(600));
    fleet.held.clear();
    fleet.advance(ms(2_000));
    for (number, (request, build)) in streams.iter().enumerate() {
        let resumption = fleet.resume(1 + number % 7, Some(request));
        assert_eq!(resumption, bound(build), "{request}");
    }
    assert!(fleet.listings <= 2 * 3);
}

/// Streams of a version whose last engine has gone are refused, whoever else has read their prompts. Those of the other
/// version go on, as that engine had listed what it held.
#[test]
fn resume_all_vms_killed_build_gone_refused() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    let streams = begin_and_restart_all(&mut fleet, 4);
    fleet.advance(ms(600));
    fleet.unlist("make-0");
    for (request, build) in &streams {
        match fleet.resume(2, Some(request)) {
            Resumption::Bound(at) => assert_eq!(at.as_ref(), Some(build)),
            refusal => {
                assert_eq!(&**build, "v1", "{request}");
                assert_eq!(refused(refusal).0, Reason::OriginUnreachable);
            }
        }
    }
}

/// The operators' bounds, on days on which all VMs are killed while versions are replaced and engines
/// drop a part of what they hold: no stream is joined from two versions, and of those whose version still
/// serves at least half go on.
#[test]
fn resume_all_vms_killed_amid_releases_half_go_on() {
    let (mut taken_up, mut gone_on) = (0, 0);
    for seed in 0..6 {
        let mut fleet = Fleet::new(9, &["v1", "v1", "v2", "v2"], seed);
        fleet.has_history = true;
        let mut streams = Vec::new();
        for number in 0..30 {
            streams.push(begin(&mut fleet, 1 + number % 9));
            if number == 20 {
                fleet.list("make-4", "v3", Role::Decode);
                fleet.unlist("make-0");
            }
        }
        fleet.restart_all(9);
        let mut rng = fleet.rng.clone();
        for parts in fleet.held.values_mut() {
            parts.retain(|_| rng.random_bool(0.8));
        }
        for (number, (request, build)) in streams.iter().enumerate() {
            let listed = fleet.decode_runners();
            let is_served = listed.iter().any(|runner| runner.build == *build);
            let resumption = fleet.resume(1 + number % 9, Some(request));
            taken_up += u32::from(is_served);
            if let Resumption::Bound(at) = resumption {
                assert_eq!(at.as_ref(), Some(build), "seed {seed}, {request}");
                gone_on += u32::from(is_served);
            }
        }
    }
    assert!(2 * gone_on >= taken_up, "{gone_on} of {taken_up}");
}

/// Guards against a fleet that has just started and takes the version listed now for the only one.
#[test]
fn resume_all_vms_restarted_after_replacement_refused() {
    let mut fleet = Fleet::new(4, &["v1"], 1);
    let (request, _) = begin(&mut fleet, 1);
    for vm in fleet.running() {
        fleet.kill(vm);
    }
    fleet.unlist("make-0");
    fleet.list("make-1", "v2", Role::Decode);
    for vm in 1..=4 {
        fleet.start(vm);
    }
    let resumption = fleet.resume(2, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
}

/// A VM that has just started relies on others that have known one version alone.
#[test]
fn resume_one_build_at_new_vm() {
    let mut fleet = Fleet::new(4, &["v1"], 1);
    fleet.kill(1);
    fleet.start(1);
    assert_eq!(fleet.resume(1, None), bound(&"v1".into()));
    assert_eq!(fleet.resume(1, Some("forged")), bound(&"v1".into()));
    assert_eq!(fleet.decided_by(Source::SoleBuild), 2);
}

#[test]
fn resume_origin_not_named() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    begin(&mut fleet, 1);
    assert_eq!(
        refused(fleet.resume(1, None)),
        (Reason::OriginUnknown, false)
    );
    let forged = fleet.resume(1, Some("forged"));
    assert_eq!(refused(forged), (Reason::OriginUnknown, false));
}

/// Runners that left still count for as long as streams that they began may go on.
#[test]
fn resume_origin_not_named_after_replacement() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    fleet.unlist("make-0");
    fleet.advance(ms(40_000));
    assert_eq!(
        refused(fleet.resume(1, None)),
        (Reason::OriginUnknown, false)
    );
    fleet.advance(ms(30_000));
    assert_eq!(fleet.resume(1, None), bound(&"v2".into()));
}

/// Guards against a runner that came back under its name with another version and hid the earlier one.
#[test]
fn resume_origin_not_named_after_runner_replaced() {
    let mut fleet = Fleet::new(2, &["v1"], 1);
    fleet.list("make-0", "v2", Role::Decode);
    assert_eq!(
        refused(fleet.resume(1, None)),
        (Reason::OriginUnknown, false)
    );
}

/// Guards against a VM that has not heard of a new version and takes the one that it knows for the only
/// one.
#[test]
fn resume_list_behind_refused() {
    let mut fleet = Fleet::new(6, &["v1"], 1);
    fleet.list_at(&[2, 3, 4, 5, 6], "make-1", "v2");
    let forged = fleet.resume(1, Some("forged"));
    assert_eq!(refused(forged), (Reason::OriginUnknown, false));
}

/// A stream that has begun at a version of which one VM, which is cut off from the others, has not heard.
fn begin_unheard_of(fleet: &mut Fleet) -> String {
    let others = [2, 3, 4, 5, 6];
    fleet.list_at(&others, "make-1", "v2");
    fleet.isolate(1);
    loop {
        let (request, build) = begin(fleet, 2);
        if &*build == "v2" {
            return request;
        }
    }
}

/// Guards against a stream that goes on at another version at a VM that was out of step while runners of a new version
/// joined.
#[test]
fn resume_at_isolated_vm_new_build_not_joined() {
    let mut fleet = Fleet::new(6, &["v1"], 1);
    let request = begin_unheard_of(&mut fleet);
    let resumption = fleet.resume(1, Some(&request));
    assert_ne!(resumption, bound(&"v1".into()));
}

/// The same where that VM does not reach the configuration service either, and has not noticed.
#[test]
fn resume_at_isolated_vm_source_not_reached_refused() {
    let mut fleet = Fleet::new(6, &["v1"], 1);
    let request = begin_unheard_of(&mut fleet);
    fleet.without_source.insert(1);
    let resumption = fleet.resume(1, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnreachable, true));
}

#[test]
fn resume_source_was_lost_refused() {
    let mut harness = Harness::new(1);
    harness.apply(Event::SourceReached { reached: true });
    harness.advance(ms(40_000));
    let resume = |harness: &mut Harness, call| {
        let effects = harness.apply(Event::Arrived(Arrival {
            resume_after: Some(3),
            ..stream_arrival(call, STREAM)
        }));
        support::refusal(&effects).map(|refusal| refusal.reason)
    };
    assert_eq!(resume(&mut harness, 1), None);
    harness.apply(Event::SourceReached { reached: false });
    harness.apply(Event::SourceReached { reached: true });
    assert_eq!(resume(&mut harness, 2), Some(Reason::OriginUnknown));
}

/// A caller that has no event yet begins anew, whatever it names.
#[test]
fn arrived_without_event_unbound() {
    let mut harness = Harness::new(1);
    let arrivals = [(None, None), (Some(0), None), (None, Some("request-9"))];
    for (call, (resume_after, resumes)) in arrivals.into_iter().enumerate() {
        let call = call as id::Call + 1;
        let effects = harness.apply(Event::Arrived(Arrival {
            resume_after,
            resumes: resumes.map(Into::into),
            ..stream_arrival(call, STREAM)
        }));
        assert!(!has(&effects, |effect| matches!(
            effect,
            Effect::Refuse { .. } | Effect::AskOrigin { .. }
        )));
        assert_eq!(harness.state.calls[&call].build, None);
    }
}

/// A chain over several tries names the first one each time, and each VM that has forwarded an event
/// records it again.
#[test]
fn resume_chain() {
    let mut fleet = Fleet::new(6, &TWO_BUILDS, 1);
    let (request, build) = begin(&mut fleet, 1);
    for number in 0..30 {
        let vm = fleet.running()[1];
        assert_eq!(
            fleet.resume(vm, Some(&request)),
            bound(&build),
            "try {number}"
        );
        fleet.advance(ms(30));
        fleet.kill(vm);
        fleet.advance(ms(4_000));
        fleet.start(vm);
    }
}

#[test]
fn resume_after_lifetime_refused() {
    let mut fleet = Fleet::new(4, &TWO_BUILDS, 1);
    let (request, _) = begin(&mut fleet, 1);
    fleet.advance(ms(29_000));
    fleet.held.clear();
    let resumption = fleet.resume(1, Some(&request));
    assert_eq!(refused(resumption), (Reason::OriginUnknown, false));
    assert!(fleet.harness(1).state.origins.is_empty());
}

/// A route that leads to several endpoints.
fn split_manifest(version: id::Version, targets: &[(&str, u32)]) -> std::sync::Arc<Manifest> {
    let targets: Vec<_> = targets
        .iter()
        .map(|(at, weight)| ((*at).into(), *weight))
        .collect();
    let mut routes = routes();
    for route in &mut routes {
        if &*route.prefix == "/stream/" {
            route.targets.clone_from(&targets);
        }
    }
    let mut manifest = (*manifest(version, routes)).clone();
    let engines = manifest.endpoints["llm"].clone();
    manifest.endpoints.insert("llm-2".into(), engines);
    manifest.into()
}

fn resume_recorded(
    harness: &mut Harness,
    record: Record,
) -> (Option<Reason>, Option<id::Endpoint>) {
    harness.state.origins.insert(record, harness.now);
    harness.last_call += 1;
    let call = harness.last_call;
    let effects = harness.apply(Event::Arrived(Arrival {
        resume_after: Some(3),
        resumes: Some("first".into()),
        ..stream_arrival(call, STREAM)
    }));
    let reason = support::refusal(&effects).map(|refusal| refusal.reason);
    let call = harness.state.calls.get(&call);
    (reason, call.map(|call| call.endpoint.clone()))
}

/// A route that leads to several endpoints picks the one where the stream began.
#[test]
fn resume_at_endpoint_of_origin() {
    let mut harness = Harness::new(1);
    harness.apply(Event::ManifestRead {
        manifest: split_manifest(3, &[("llm", 1), ("llm-2", 1)]),
    });
    for _ in 0..10 {
        let resumed = resume_recorded(&mut harness, record(origin::stream("first"), "v1"));
        assert_eq!(resumed, (None, Some("llm".into())));
    }
}

/// A stream that began at an endpoint that the route does not lead to is not known.
#[test]
fn resume_at_endpoint_off_route_refused() {
    let mut harness = Harness::new(1);
    harness.apply(Event::ManifestRead {
        manifest: split_manifest(3, &[("llm", 0), ("llm-2", 1)]),
    });
    let resumed = resume_recorded(&mut harness, record(origin::stream("first"), "v1"));
    assert_eq!(resumed, (Some(Reason::OriginUnknown), None));
}

/// Guards against streams that are taken up again and starve behind new ones while engines are full.
#[test]
fn resume_full_engines_goes_before_new() {
    let mut harness = Harness::new(1);
    harness.state.policy.allocators = true;
    harness.state.policy.memory_fraction = 0.0;
    for number in 0..4 {
        // An idle engine takes any call.
        harness.apply(Event::Arrived(stream_arrival(100 + number, STREAM)));
    }
    harness.apply(Event::Arrived(stream_arrival(200, STREAM)));
    harness.last_call = 200;
    resume_recorded(&mut harness, record(origin::stream("first"), "v1"));
    let claims = harness.state.claims.sent.values();
    let asks: Vec<_> = claims.flat_map(|sent| &sent.claim.asks).collect();
    let urgency = |call| {
        asks.iter()
            .find(|ask| ask.call == call)
            .map(|ask| ask.urgency)
    };
    assert_eq!(urgency(201), Some(Urgency::Started));
    assert!(matches!(urgency(200), Some(Urgency::InTime(_))));
}

#[test]
fn table_different_origins_unknown() {
    let mut table = Table::default();
    table.insert(record(1, "v1"), ms(0));
    table.insert(record(1, "v1"), ms(10));
    assert!(table.get(1, ms(20)).is_some());
    table.insert(record(1, "v2"), ms(20));
    assert!(table.get(1, ms(30)).is_none());
    table.insert(record(1, "v1"), ms(30));
    assert!(table.get(1, ms(40)).is_none());
}

#[test]
fn table_bounded() {
    let mut table = Table::default();
    for stream in 0..100_000 {
        table.insert(record(stream, "v1"), ms(stream));
    }
    assert_eq!(table.len(), 65_536);
    assert!(table.get(99_999, ms(100_000)).is_some());
    table.evict(ms(1_000_000));
    assert!(table.is_empty());
}

/// One step of a random course of events.
fn step(fleet: &mut Fleet, streams: &mut Vec<(String, id::Build)>, runners: &mut u32) {
    let running = fleet.running();
    match fleet.rng.random_range(0..100) {
        0..30 => {
            let vm = running.choose(&mut fleet.rng).copied();
            streams.extend(vm.and_then(|vm| fleet.begin(vm)));
        }
        30..65 => resume_any(fleet, streams),
        65..75 if running.len() > 1 => {
            let vm = running.choose(&mut fleet.rng).copied();
            let vm = vm.expect("a VM that runs");
            if fleet.rng.random_bool(0.3) {
                fleet.leave(vm);
            } else {
                fleet.kill(vm);
            }
        }
        75..83 => {
            let stopped = (1..=6).filter(|vm| !running.contains(vm));
            if let Some(vm) = stopped.choose(&mut fleet.rng) {
                let alone = fleet.rng.random_bool(0.3);
                if alone {
                    fleet.start_alone(vm);
                } else {
                    fleet.start(vm);
                }
            }
        }
        83..88 => {
            let vms: Vec<usize> = (1..=6).choose_multiple(&mut fleet.rng, 2);
            fleet.introduce(vms[0], vms[1]);
        }
        88..92 => {
            *runners += 1;
            let build = format!("v{}", fleet.rng.random_range(1..4));
            let name = format!("more-{}", *runners % 3);
            fleet.list(&name, &build, Role::Decode);
        }
        92..95 => {
            let listed = fleet.decode_runners();
            if let Some(runner) = listed.choose(&mut fleet.rng).filter(|_| listed.len() > 1) {
                fleet.unlist(&runner.runner);
            }
        }
        _ => {
            let time = ms(fleet.rng.random_range(15..3_000));
            fleet.advance(time);
        }
    }
}

/// Takes a stream up again at any VM, and checks the version that it goes on at.
fn resume_any(fleet: &mut Fleet, streams: &[(String, id::Build)]) {
    let recent = streams.len().saturating_sub(20);
    let Some((request, build)) = streams[recent..].choose(&mut fleet.rng) else {
        return;
    };
    let running = fleet.running();
    let vm = running.choose(&mut fleet.rng).copied().expect("a VM");
    let is_named = fleet.rng.random_bool(0.9);
    match fleet.resume(vm, is_named.then_some(request)) {
        Resumption::Bound(at) => assert_eq!(at.as_ref(), Some(build), "{request} at vm-{vm}"),
        Resumption::Refused(refusal) => assert_eq!(refusal.claim, Claim::NotRun),
    }
}

proptest! {
    #![proptest_config(proptest_config(60))]

    /// Whatever VMs and runners come and go, and whatever becomes of messages, a stream goes on at the
    /// software version that began it or not at all.
    #[test]
    fn resume_never_at_other_build(
        seed in any::<u64>(),
        lost in 0..40_u32,
        duplicated in 0..30_u32,
        late in 0..40_u32,
    ) {
        let mut fleet = Fleet::new(6, &TWO_BUILDS, seed);
        fleet.network = Network { lost, duplicated, late };
        let (mut streams, mut runners) = (Vec::new(), 0);
        for _ in 0..150 {
            step(&mut fleet, &mut streams, &mut runners);
        }
    }

    /// In a fleet in which nothing else happens, all streams of one VM that is killed go on.
    #[test]
    fn resume_one_vm_killed_all_go_on(seed in any::<u64>(), vms in 3..12_usize) {
        let mut fleet = Fleet::new(vms, &TWO_BUILDS, seed);
        let mut streams = Vec::new();
        for _ in 0..40 {
            let vm = fleet.rng.random_range(1..=vms);
            streams.extend(fleet.begin(vm));
        }
        fleet.advance(ms(30));
        let killed = fleet.rng.random_range(1..=vms);
        fleet.kill(killed);
        for (request, build) in &streams {
            let running = fleet.running();
            let vm = running.choose(&mut fleet.rng).copied().expect("a VM");
            prop_assert_eq!(fleet.resume(vm, Some(request)), bound(build));
        }
    }
}
