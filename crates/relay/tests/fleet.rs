//! The fleet: who takes callers, who leaves, who is silent; and leaving itself.

mod support;

use hornbeamtiller_relay::event::{Effect, Event};
use hornbeamtiller_relay::member::{Status, View};
use hornbeamtiller_relay::pool::Role;
use support::{descriptor, dispatch, manifest, member, ms, routes, view, World, ONCE};

fn reported(effects: &[Effect]) -> Vec<View> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::PublishView { view, .. } => Some(view.clone()),
            _ => None,
        })
        .collect()
}

fn listed(world: &World) -> Vec<String> {
    let directory = world.state.directory(Some("a"));
    directory
        .members
        .iter()
        .map(|descriptor| descriptor.vm.to_string())
        .collect()
}

#[test]
fn directory_lists_ready() {
    let mut world = World::open(1);
    assert_eq!(listed(&world), ["vm-1"]);
    world.hear(member("vm-2", 2, 7), false);
    assert_eq!(listed(&world), ["vm-1", "vm-2"]);
}

#[test]
fn directory_empty_before_manifest() {
    let world = World::empty(1);
    assert!(listed(&world).is_empty());
    assert!(!world.state.is_ready());
}

#[test]
fn leave_is_told_at_once() {
    let mut world = World::open(1);
    world.hear(member("vm-2", 2, 7), false);
    let effects = world.apply(Event::Leave);
    let status: Vec<Status> = reported(&effects)
        .iter()
        .map(|view| view.sender.status)
        .collect();
    assert!(status.contains(&Status::Leaving));
    assert_eq!(listed(&world), ["vm-2"]);
    assert!(!world.state.is_ready());
}

#[test]
fn leaving_still_serves_kept_answers() {
    let mut world = World::open(1);
    world.apply(Event::Leave);
    world.now += ms(2_000);
    dispatch(&world.arrive(ONCE));
}

#[test]
fn leaving_exits_when_idle() {
    let mut world = World::open(1);
    world.apply(Event::Leave);
    let exits = |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Exit));
    assert!(!exits(&world.pass(ms(3_000))));
    assert!(exits(&world.pass(ms(1_000))));
}

#[test]
fn leaving_exits_before_grace_ends() {
    let mut world = World::open(1);
    world.apply(Event::Leave);
    let mut left_at = None;
    while world.now < ms(9_000) && left_at.is_none() {
        // A caller that does not stop.
        world.arrive(ONCE);
        let effects = world.pass(ms(50));
        if effects.iter().any(|effect| matches!(effect, Effect::Exit)) {
            left_at = Some(world.now);
        }
    }
    assert!(left_at.is_some_and(|at| at < ms(8_000)), "{left_at:?}");
}

#[test]
fn silent_twice_is_down() {
    let mut world = World::open(1);
    let peer = member("vm-2", 2, 7);
    world.hear(peer.clone(), false);
    world.apply(Event::PeerUnresponsive {
        address: peer.peer_address,
    });
    assert_eq!(listed(&world), ["vm-1"], "a silent VM is not offered");
    world.apply(Event::PeerUnresponsive {
        address: peer.peer_address,
    });
    let known = world.state.members.get(&"vm-2".into()).expect("known");
    assert_eq!(known.descriptor.status, Status::Down);
}

#[test]
fn down_is_refuted() {
    let mut world = World::open(1);
    let mut said = view(member("vm-2", 2, 7), false);
    let mut me = world.state.local.clone();
    me.status = Status::Down;
    said.members = vec![me.clone()];
    world.apply(Event::ViewReceived { view: said });
    assert!(world.state.local.version > me.version);
}

#[test]
fn restart_with_clock_behind_is_heard() {
    let mut world = World::open(1);
    let mut said = view(member("vm-2", 2, 7), false);
    let mut earlier = world.state.local.clone();
    earlier.incarnation += 5_000;
    said.members = vec![earlier.clone()];
    world.apply(Event::ViewReceived { view: said });
    assert!(world.state.local.incarnation > earlier.incarnation);
}

#[test]
fn silent_seed_is_asked_again() {
    let mut world = World::empty(1);
    world.state.seeds = vec![member("vm-9", 9, 1).peer_address];
    assert_eq!(reported(&world.pass(ms(10))).len(), 1);
    assert_eq!(reported(&world.pass(ms(600))).len(), 1);
}

#[test]
fn peer_without_manifest_is_given_it() {
    let mut world = World::open(1);
    let mut asked = view(member("vm-2", 2, 7), true);
    asked.manifest_version = 0;
    asked.revision = 0;
    asked.source_reached = false;
    let answers = reported(&world.apply(Event::ViewReceived { view: asked }));
    let given = answers.iter().find_map(|view| view.manifest.clone());
    assert_eq!(given.map(|manifest| manifest.version), Some(2));
    assert!(answers.iter().any(|view| view.runners.is_some()));
}

/// A VM that reads the service itself is sent neither manifest nor list, however old its own are.
#[test]
fn peer_that_reads_itself_is_sent_little() {
    let mut world = World::open(1);
    for vm in 0..60_u8 {
        world.hear(member(&format!("vm-x{vm}"), 100 + vm, 7), false);
    }
    let mut asked = view(member("vm-2", 2, 7), true);
    asked.manifest_version = 0;
    asked.revision = 0;
    world.hear(member("vm-2", 2, 7), true);
    let answers = reported(&world.apply(Event::ViewReceived { view: asked }));
    assert!(answers
        .iter()
        .all(|view| view.manifest.is_none() && view.runners.is_none()));
    assert!(answers.iter().all(|view| view.members.len() <= 10));
}

#[test]
fn manifest_of_peer_is_taken() {
    let mut world = World::empty(1);
    let mut said = view(member("vm-2", 2, 7), false);
    said.manifest = Some(manifest(6, routes()));
    said.manifest_version = 6;
    said.runners = Some(support::descriptors());
    world.apply(Event::ViewReceived { view: said });
    assert!(world.state.is_ready());
    dispatch(&world.arrive(ONCE));
}

/// A call with its own id costs no message: at engines alone is work told to others.
#[test]
fn plain_call_costs_no_message() {
    let mut world = World::open(1);
    world.hear(member("vm-2", 2, 7), false);
    world.now += ms(50);
    let effects = world.arrive(ONCE);
    assert!(reported(&effects).is_empty());
    let run = dispatch(&effects);
    let outcome = hornbeamtiller_relay::event::Outcome::Answered { status: 200 };
    assert!(reported(&world.close(run.attempt, outcome)).is_empty());
}

#[test]
fn load_of_silent_vm_lapses() {
    let mut world = World::open(1);
    let mut said = view(member("vm-2", 2, 7), false);
    let load = hornbeamtiller_relay::pool::Load {
        requests: 3,
        tokens: 9_000,
        prefill_tokens: 0,
    };
    said.loads = vec![("make-1".into(), load)];
    world.apply(Event::ViewReceived { view: said });
    let others = |world: &World| {
        let runner = world.state.pool.get(&"make-1".into()).expect("known");
        runner.peer_load.requests
    };
    assert_eq!(others(&world), 3);
    world.pass(ms(6_000));
    assert_eq!(others(&world), 0);
}

/// What a VM tells of a runner that is not listed here yet counts once it is listed, and what another
/// VM told is not lost when the first one has less to do there.
#[test]
fn load_of_runner_that_is_listed_later() {
    let mut world = World::open(1);
    let tell = |world: &mut World, vm: &str, host: u8, requests: u32| {
        let mut said = view(member(vm, host, 7), false);
        let load = hornbeamtiller_relay::pool::Load {
            requests,
            tokens: u64::from(requests) * 5_000,
            prefill_tokens: 0,
        };
        said.loads = vec![("make-9".into(), load)];
        world.apply(Event::ViewReceived { view: said });
    };
    tell(&mut world, "vm-2", 2, 5);
    let descriptor = hornbeamtiller_relay::pool::Descriptor {
        revision: 30,
        ..descriptor("make-9", "llm", 39, Some(Role::Decode))
    };
    world.apply(Event::RunnerUpdated { descriptor });
    let others = |world: &World| {
        let runner = world.state.pool.get(&"make-9".into()).expect("known");
        runner.peer_load.requests
    };
    assert_eq!(others(&world), 5);
    tell(&mut world, "vm-3", 3, 3);
    assert_eq!(others(&world), 8);
    tell(&mut world, "vm-2", 2, 1);
    assert_eq!(others(&world), 4);
}

/// The first three by name that reach the service ask it often, whoever else there is.
#[test]
fn watchers_first_by_name() {
    let mut world = World::open(1);
    assert!(world.state.is_frequent_poller());
    for (vm, host) in [("vm-01", 2), ("vm-02", 3), ("vm-2", 4)] {
        world.hear(member(vm, host, 1), false);
    }
    assert!(world.state.is_frequent_poller());
    world.hear(member("vm-03", 5, 1), false);
    assert!(!world.state.is_frequent_poller());
    // One of them loses the service, and this VM is one of the first three again.
    let mut said = view(member("vm-03", 5, 1), false);
    said.source_reached = false;
    world.apply(Event::ViewReceived { view: said });
    assert!(world.state.is_frequent_poller());
}

#[test]
fn behind_manifest_until_read() {
    let mut world = World::open(1);
    assert!(!world.state.is_manifest_stale());
    let mut said = view(member("vm-2", 2, 1), false);
    said.manifest_version = 3;
    world.apply(Event::ViewReceived { view: said });
    assert!(world.state.is_manifest_stale());
    world.apply(Event::ManifestRead {
        manifest: manifest(3, routes()),
    });
    assert!(!world.state.is_manifest_stale());
}

/// A VM is behind by changes, not by how lately another one has read the list.
#[test]
fn behind_runners_by_changes() {
    let mut world = World::open(1);
    let mut said = view(member("vm-2", 2, 1), false);
    (said.revision, said.last_change) = (50, 10);
    world.apply(Event::ViewReceived { view: said.clone() });
    assert!(!world.state.is_runner_list_stale());
    said.last_change = 11;
    world.apply(Event::ViewReceived { view: said });
    assert!(world.state.is_runner_list_stale());
    world.apply(Event::RunnerRemoved {
        runner: "pay-1".into(),
        revision: 11,
    });
    assert!(!world.state.is_runner_list_stale());
    assert_eq!(world.state.pool.last_change, 11);
}
