//! Membership, ticket distribution and leaving, in a fleet of simulated processes.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeamtiller_core::event::Event;
use hornbeamtiller_core::id::Vm;
use hornbeamtiller_core::message::Status;
use hornbeamtiller_core::refusal::{Claim, Reason};
use hornbeamtiller_core::token::Instance;
use proptest::prelude::*;

use world::{non_repeatable_call, property_config, repeatable_call, Response, World, TICK};

/// Number of generated cases, unless the environment sets it.
const CASES: u32 = 300;
/// Number of processes.
const NODES: u32 = 5;
/// Time within which a published ticket is applied by every process of this fleet.
const APPLIED_WITHIN: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
enum Step {
    Publish,
    ServeStale(usize),
    SetPlatformUp(bool),
    Advance(u32),
    DeliverAll,
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Crash(Vm),
    Start(Vm),
    Pause(Vm),
    Resume(Vm),
    Partition(Vm, Vm),
    Heal,
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 1..=NODES;
    let at = 0usize..64;
    prop_oneof![
        4 => Just(Step::Publish),
        2 => (1usize..6).prop_map(Step::ServeStale),
        2 => any::<bool>().prop_map(Step::SetPlatformUp),
        10 => (1u32..40).prop_map(Step::Advance),
        8 => Just(Step::DeliverAll),
        4 => at.clone().prop_map(Step::Deliver),
        2 => at.clone().prop_map(Step::Duplicate),
        2 => at.prop_map(Step::Drop),
        1 => vm.clone().prop_map(Step::Crash),
        2 => vm.clone().prop_map(Step::Start),
        1 => vm.clone().prop_map(Step::Pause),
        2 => vm.clone().prop_map(Step::Resume),
        2 => (vm.clone(), vm).prop_map(|(a, b)| Step::Partition(a.min(b), a.max(b))),
        1 => Just(Step::Heal),
    ]
}

fn apply_step(world: &mut World, step: &Step) {
    let pick = |number: usize, len: usize| (len > 0).then(|| number % len);
    match *step {
        Step::Publish => world.publish_ticket(),
        Step::ServeStale(back) => {
            world.platform_newest = world.tickets.len().saturating_sub(back).max(1)
        }
        Step::SetPlatformUp(up) => world.platform_up = up,
        Step::Advance(ticks) => (0..ticks).for_each(|_| world.advance(TICK)),
        Step::DeliverAll => world.deliver_all(),
        Step::Deliver(at) => pick(at, world.messages.len())
            .into_iter()
            .for_each(|at| world.deliver(at, false)),
        Step::Duplicate(at) => pick(at, world.messages.len())
            .into_iter()
            .for_each(|at| world.deliver(at, true)),
        Step::Drop(at) => pick(at, world.messages.len())
            .into_iter()
            .for_each(|at| _ = world.messages.remove(at)),
        Step::Crash(vm) => world.crash(vm),
        Step::Start(vm) => world.start(vm),
        Step::Pause(vm) => world.set_paused(vm, true),
        Step::Resume(vm) => world.set_paused(vm, false),
        Step::Partition(a, b) => _ = world.partitions.insert((a, b)),
        Step::Heal => world.partitions.clear(),
    }
}

/// Checks that no incarnation's configuration reverted, and that each is one that was published.
fn check_monotonic(
    world: &World,
    newest_by_boot: &mut BTreeMap<Instance, u64>,
) -> Result<(), TestCaseError> {
    for node in world.nodes.values().flatten() {
        let table = &node.state.table;
        let before = newest_by_boot
            .insert(node.state.instance, table.newest())
            .unwrap_or(0);
        prop_assert!(
            table.newest() >= before,
            "{:?} reverted",
            node.state.instance
        );
        let limit = table
            .organisation("o")
            .map(|limit| u64::from(limit.concurrent));
        let expected = (table.newest() > 1).then_some(1_000 + table.newest());
        prop_assert_eq!(
            limit,
            expected,
            "not the state of ticket {}",
            table.newest()
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(property_config(CASES))]

    #[test]
    fn tickets_any_interleaving(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::converged(NODES, seed);
        let mut newest_by_boot = BTreeMap::new();
        for step in &steps {
            apply_step(&mut world, step);
            check_monotonic(&world, &mut newest_by_boot)?;
        }
        // Once the faults end, every process has the newest ticket and considers no other down.
        world.partitions.clear();
        world.platform_up = true;
        world.platform_newest = usize::MAX;
        (1..=NODES).for_each(|vm| {
            world.set_paused(vm, false);
            world.start(vm);
        });
        world.run_without_faults(Duration::from_secs(45));
        check_monotonic(&world, &mut newest_by_boot)?;
        let newest = world.tickets.len() as u64;
        for vm in 1..=NODES {
            prop_assert_eq!(world.newest_ticket(vm), Some(newest), "vm {}", vm);
            for other in (1..=NODES).filter(|other| *other != vm) {
                prop_assert!(!world.considers_down(vm, other), "vm {} considers {} down", vm, other);
            }
        }
    }

    #[test]
    fn detect_late_wakeup_keeps_members(seed in any::<u64>(), paused in 1..=NODES, ticks in 10u32..400) {
        let mut world = World::converged(NODES, seed);
        world.set_paused(paused, true);
        world.run_without_faults(TICK * ticks);
        world.set_paused(paused, false);
        let end = world.now + Duration::from_secs(8);
        while world.now < end {
            world.run_without_faults(TICK);
            for vm in 1..=NODES {
                for other in (1..=NODES).filter(|other| *other != vm && *other != paused) {
                    prop_assert!(!world.considers_down(vm, other), "vm {} considers {} down", vm, other);
                }
            }
        }
        for vm in (1..=NODES).filter(|vm| *vm != paused) {
            prop_assert!(!world.considers_down(vm, paused), "vm {} still considers the resumed one down", vm);
        }
    }

    #[test]
    fn indirect_probe_keeps_members(seed in any::<u64>(), partitioned in 1..=NODES, lost in prop::collection::vec(1..=NODES, 2)) {
        let mut world = World::converged(NODES, seed);
        for other in lost.iter().filter(|other| **other != partitioned) {
            world.partitions.insert((partitioned.min(*other), partitioned.max(*other)));
        }
        let end = world.now + Duration::from_secs(10);
        while world.now < end {
            world.run_without_faults(TICK);
            for vm in 1..=NODES {
                for other in (1..=NODES).filter(|other| *other != vm) {
                    prop_assert!(!world.considers_down(vm, other), "vm {} considers {} down", vm, other);
                }
            }
        }
    }

    #[test]
    fn leave_interrupts_no_call(seed in any::<u64>(), leaver in 1..=NODES, calls in prop::collection::vec((1..=NODES, any::<bool>()), 1..30)) {
        let mut world = World::converged(NODES, seed);
        let tokens: Vec<String> = (1..=NODES).map(|vm| world.owned_token(vm).expect("settled")).collect();
        world.feed(leaver, Event::Leave);
        for (number, (owner, is_read)) in calls.iter().enumerate() {
            let id = format!("{}.n{number}", tokens[*owner as usize - 1]);
            world.call(*owner, Some(id), if *is_read { repeatable_call() } else { non_repeatable_call() }, 0);
            world.run_without_faults(TICK * 30);
            while !world.dispatches.is_empty() {
                world.respond(0);
            }
        }
        world.run_without_faults(Duration::from_secs(12));
        prop_assert!(world.exited.contains(&leaver));
        for (number, open) in world.exchanges.iter().enumerate() {
            let is_allowed = match &open.responses[..] {
                [Response::Answered { .. }] => true,
                // Callers may cache entries for 10 s; one call is sent every 0.6 s.
                [Response::Refused(refusal)] => {
                    let is_read = calls[number].1;
                    let claim = if is_read { Claim::Unknown } else { Claim::NotRun };
                    number >= 16 && refusal.claim == claim && refusal.reason == Reason::Leaving
                }
                _ => false,
            };
            prop_assert!(is_allowed, "{:?}", open.responses);
        }
    }
}

#[test]
fn ticket_applied_everywhere_in_time() {
    let mut world = World::converged(NODES, 1);
    world.run_without_faults(Duration::from_secs(5));
    world.publish_ticket();
    world.run_without_faults(APPLIED_WITHIN);
    assert!((1..=NODES).all(|vm| world.newest_ticket(vm) == Some(2)));
}

#[test]
fn ticket_reaches_node_without_platform() {
    let mut world = World::converged(NODES, 2);
    world.publish_ticket();
    world.run_without_faults(APPLIED_WITHIN);
    // A node that starts while the platform is down gets the tickets from its peers.
    world.crash(3);
    world.platform_up = false;
    world.start(3);
    world.run_without_faults(Duration::from_secs(12));
    assert_eq!(world.newest_ticket(3), Some(2));
    let node = world.nodes[&3].as_ref().expect("runs");
    assert_eq!(node.state.unready_reason(Duration::from_secs(12)), None);
}

#[test]
fn ticket_stale_platform_at_start() {
    let mut world = World::converged(NODES, 3);
    world.publish_ticket();
    world.publish_ticket();
    world.run_without_faults(APPLIED_WITHIN);
    world.crash(2);
    world.platform_newest = 1;
    world.start(2);
    world.run_without_faults(Duration::from_secs(5));
    assert_eq!(world.newest_ticket(2), Some(3));
}

/// A process that starts must not serve by the tickets of a stale platform before a peer has told
/// what is newest.
#[test]
fn ready_stale_platform_at_start() {
    let mut world = World::converged(NODES, 3);
    world.publish_ticket();
    world.run_without_faults(APPLIED_WITHIN);
    world.crash(2);
    world.platform_newest = 1;
    world.start(2);
    let started = world.now;
    while world.now < started + Duration::from_secs(5) {
        world.run_without_faults(TICK);
        let node = world.nodes[&2].as_ref().expect("runs");
        let is_ready = node.state.unready_reason(world.now - started).is_none();
        assert!(!is_ready || world.newest_ticket(2) == Some(2));
    }
    assert_eq!(world.newest_ticket(2), Some(2));
}

#[test]
fn snapshot_to_lagging_node() {
    let mut world = World::converged(3, 4);
    world.crash(3);
    (0..100).for_each(|_| world.publish_ticket());
    world.run_without_faults(Duration::from_secs(5));
    world.platform_up = false;
    world.start(3);
    world.run_without_faults(Duration::from_secs(12));
    assert_eq!(world.newest_ticket(3), Some(101));
    let node = world.nodes[&3].as_ref().expect("runs");
    assert_eq!(
        node.state
            .table
            .organisation("o")
            .map(|limit| limit.concurrent),
        Some(1_101)
    );
}

/// A process that stalls while it suspects members finds their suspicion timeouts exceeded when it
/// resumes. It must restart the timeouts rather than declare the members down.
#[test]
fn detect_late_wakeup_gives_suspects_time() {
    let mut world = World::converged(3, 9);
    world.partitions.insert((1, 2));
    world.partitions.insert((1, 3));
    let suspects = |world: &World| {
        let node = world.nodes[&1].as_ref().expect("runs");
        node.state
            .members
            .iter()
            .filter(|member| member.descriptor.status == Status::Suspect)
            .count()
    };
    while suspects(&world) == 0 {
        world.run_without_faults(TICK);
    }
    world.set_paused(1, true);
    world.run_without_faults(Duration::from_secs(5));
    world.partitions.clear();
    world.set_paused(1, false);
    world.advance(TICK);
    assert!(!world.considers_down(1, 2) && !world.considers_down(1, 3));
}

#[test]
fn can_accept_callers_dead_node() {
    let mut world = World::converged(NODES, 5);
    world.crash(4);
    world.run_without_faults(Duration::from_secs(3));
    for vm in (1..=NODES).filter(|vm| *vm != 4) {
        let node = world.nodes[&vm].as_ref().expect("runs");
        let member = node.state.members.get(4).expect("known");
        assert!(
            !member.can_accept_callers(),
            "vm {vm}: {:?}",
            member.descriptor.status
        );
    }
}

#[test]
fn leave_status_reaches_members() {
    let mut world = World::converged(NODES, 6);
    world.feed(4, Event::Leave);
    world.run_without_faults(Duration::from_secs(2));
    for vm in (1..=NODES).filter(|vm| *vm != 4) {
        let node = world.nodes[&vm].as_ref().expect("runs");
        assert_eq!(
            node.state.members.get(4).expect("known").descriptor.status,
            Status::Leaving
        );
    }
}

#[test]
fn entries_spread_evenly() {
    let mut world = World::converged(8, 7);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let first = world.entry_owners(1).into_iter().next().expect("entries");
        *counts.entry(first).or_default() += 1;
    }
    let max = counts.values().copied().max().unwrap_or(0);
    assert_eq!(counts.len(), 8);
    assert!(
        max <= 162,
        "one node got {max} of 1000, over 1.3 times the mean"
    );
}

#[test]
fn reads_bounded_by_watchers() {
    let mut world = World::converged(9, 8);
    world.run_without_faults(Duration::from_secs(10));
    let before = world.reads;
    world.run_without_faults(Duration::from_secs(60));
    // Two watchers in each of three zones read the list every 2 s and poll for tickets with a wait
    // of 10 s; the others read both every 15 s at most.
    let watching = 6 * (60 / 2 + 60 / 10);
    let polling = 3 * 2 * (60 / 15);
    assert!(
        world.reads - before <= watching + polling,
        "{} reads",
        world.reads - before
    );
}
