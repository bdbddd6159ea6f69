//! Allocation of engine capacity: what an allocator grants, and what callers of a fleet get from it
//! under a load that exceeds the engines.

mod support;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use hornbeamtiller_relay::allocation::{
    group_count, group_of, rank, Allocator, Ask, Claim, Delivery, Grant, Limits, Urgency,
};
use hornbeamtiller_relay::event::{Effect, Event, Outcome};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::Engine;
use hornbeamtiller_relay::member::Descriptor as MemberDescriptor;
use hornbeamtiller_relay::pool::{self, Load, Pool, Role};
use hornbeamtiller_relay::refusal::Claim as RefusalClaim;
use proptest::prelude::*;
use support::cases::proptest_config;
use support::fleet::Fleet;
use support::{
    descriptor, descriptors, member, ms, refusal, refuse_grant, Harness, BUILD, KV_TOKENS, STREAM,
};

/// A software version other than that of the harness's runners.
const OTHER_BUILD: &str = "v1.2";

const LIMITS: Limits = Limits {
    memory_fraction: 1.0,
    memory_fraction_late: 0.8,
    kv_across_builds: false,
    overload_control: true,
};

fn pool() -> Pool {
    let mut pool = Pool::default();
    pool.replace(descriptors(), 10, ms(0));
    pool
}

fn engines() -> BTreeMap<id::Endpoint, Engine> {
    let engine = Engine {
        slots: 16,
        kv_capacity_tokens: KV_TOKENS,
    };
    BTreeMap::from([("llm".into(), engine)])
}

fn ask(call: id::Call, tokens: u64, urgency: Urgency) -> Ask {
    Ask {
        call,
        endpoint: "llm".into(),
        build: None,
        tokens,
        prefill_tokens: 5_000,
        group: 0,
        groups: 1,
        urgency,
        holder: None,
        excluded: Vec::new(),
        priority: 1,
        organisation: None,
        patience: None,
    }
}

fn claim(vm: &str, sequence: u64, asks: Vec<Ask>) -> Claim {
    Claim {
        vm: vm.into(),
        incarnation: 1,
        peer_address: member(vm, 2, 1).peer_address,
        sequence,
        last_grant: 0,
        loads: Vec::new(),
        asks,
        readings: Vec::new(),
    }
}

fn in_time(call: id::Call, tokens: u64) -> Ask {
    ask(call, tokens, Urgency::InTime(ms(500)))
}

fn allocate(allocator: &mut Allocator, now: Duration) -> Vec<(id::Vm, Grant)> {
    allocate_from(&pool(), allocator, now)
}

fn allocate_from(pool: &Pool, allocator: &mut Allocator, now: Duration) -> Vec<(id::Vm, Grant)> {
    let deliveries = allocator.allocate(pool, &engines(), LIMITS, HashMap::new(), now);
    let by_vm = deliveries.into_iter().flat_map(|delivery| {
        let vm = delivery.vm;
        let grants = delivery.grants.into_iter();
        grants.map(move |grant| (vm.clone(), grant))
    });
    by_vm.collect()
}

fn granted_calls(allocator: &mut Allocator, now: Duration) -> Vec<id::Call> {
    let grants = allocate(allocator, now);
    grants.into_iter().map(|(_, grant)| grant.call).collect()
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// However VMs ask, no engine is promised more than its memory and slots.
    #[test]
    fn allocate_within_capacity(asks in prop::collection::vec((0..5_usize, 500_u64..60_000, any::<bool>()), 1..80)) {
        let mut allocator = Allocator::default();
        let mut by_vm: BTreeMap<usize, Vec<Ask>> = BTreeMap::new();
        for (number, (vm, tokens, is_late)) in asks.iter().enumerate() {
            let urgency = if *is_late { Urgency::Late } else { Urgency::InTime(ms(300)) };
            by_vm.entry(*vm).or_default().push(ask(number as u64, *tokens, urgency));
        }
        let mut promised: BTreeMap<id::Runner, (u32, u64)> = BTreeMap::new();
        for (vm, of_vm) in by_vm {
            allocator.record(claim(&format!("vm-{vm}"), 1, of_vm), ms(0));
            for (_, grant) in allocate(&mut allocator, ms(0)) {
                let (requests, tokens) = promised.entry(grant.decode).or_default();
                *requests += 1;
                *tokens += asks[grant.call as usize].1;
            }
        }
        for (requests, tokens) in promised.values() {
            prop_assert!(*requests <= 16 && *tokens <= KV_TOKENS);
        }
    }
}

fn held_by(holder: &str, ask: Ask) -> Ask {
    Ask {
        holder: Some(holder.into()),
        ..ask
    }
}

/// The engine that holds the prompt is granted, and no prefill, also where another one is idle.
#[test]
fn allocate_holder_with_room() {
    let mut allocator = Allocator::default();
    let first = allocate_one(&mut allocator, in_time(1, 1_000));
    let second = allocate_one(&mut allocator, held_by(&first.decode, in_time(2, 1_000)));
    assert_eq!(second.decode, first.decode);
    assert_eq!((second.prefill, second.queued_tokens), (None, 0));
    assert_eq!(allocator.load_at(&first.decode).prefill_tokens, 0);
}

/// The holder is promised no more than any other engine; the prompt is read anew where there is room.
#[test]
fn allocate_holder_full_elsewhere() {
    let mut allocator = Allocator::default();
    let first = allocate_one(&mut allocator, in_time(1, 60_000));
    let second = allocate_one(&mut allocator, held_by(&first.decode, in_time(2, 50_000)));
    assert_ne!(second.decode, first.decode);
    assert!(second.prefill.is_some());
}

#[test]
fn allocate_holder_unknown_elsewhere() {
    let mut allocator = Allocator::default();
    let grant = allocate_one(&mut allocator, held_by("gone", in_time(1, 1_000)));
    assert!(grant.prefill.is_some());
}

/// Claims capacity for one more call of a VM of its own.
fn allocate_one(allocator: &mut Allocator, ask: Ask) -> Grant {
    allocator.record(claim(&format!("vm-{}", ask.call), 1, vec![ask]), ms(0));
    allocate(allocator, ms(0)).remove(0).1
}

#[test]
fn record_older_claim_is_ignored() {
    let mut allocator = Allocator::default();
    allocator.record(claim("vm-2", 2, Vec::new()), ms(0));
    allocator.record(claim("vm-2", 1, vec![in_time(1, 1_000)]), ms(0));
    assert!(!allocator.has_waiting());
}

/// A grant counts until the VM's claim contains it, and once only after that.
#[test]
fn allocate_counts_grant_once() {
    let mut allocator = Allocator::default();
    allocator.record(claim("vm-2", 1, vec![in_time(1, 60_000)]), ms(0));
    let (_, grant) = allocate(&mut allocator, ms(0)).remove(0);
    assert_eq!(allocator.load_at(&grant.decode).tokens, 60_000);
    // A claim that was sent before the grant arrived.
    allocator.record(claim("vm-2", 2, Vec::new()), ms(5));
    assert_eq!(allocator.load_at(&grant.decode).tokens, 60_000);
    let load = Load {
        requests: 1,
        tokens: 60_000,
        prefill_tokens: 0,
    };
    let reported = Claim {
        last_grant: grant.number,
        loads: vec![(grant.decode.clone(), load)],
        ..claim("vm-2", 3, Vec::new())
    };
    allocator.record(reported, ms(10));
    assert_eq!(allocator.load_at(&grant.decode).tokens, 60_000);
}

/// A grant that the VM did not use, as its call was gone, is free again with its next claim.
#[test]
fn record_unused_grant_is_given_back() {
    let mut allocator = Allocator::default();
    allocator.record(claim("vm-2", 1, vec![in_time(1, 60_000)]), ms(0));
    let (_, grant) = allocate(&mut allocator, ms(0)).remove(0);
    let unused = Claim {
        last_grant: grant.number,
        ..claim("vm-2", 2, Vec::new())
    };
    allocator.record(unused, ms(10));
    assert_eq!(allocator.load_at(&grant.decode).tokens, 0);
}

/// The load of a VM that died is not counted for long.
#[test]
fn expire_dead_vm() {
    let mut allocator = Allocator::default();
    let calls = (0..40).map(|call| in_time(call, 40_000)).collect();
    allocator.record(claim("vm-2", 1, calls), ms(0));
    assert_eq!(granted_calls(&mut allocator, ms(0)).len(), 4);
    allocator.expire(ms(2_100));
    allocator.record(claim("vm-3", 1, vec![in_time(1, 40_000)]), ms(2_100));
    assert_eq!(granted_calls(&mut allocator, ms(2_100)), [1]);
}

/// A restarted VM has none of the load of its earlier incarnation.
#[test]
fn record_later_incarnation_replaces_load() {
    let mut allocator = Allocator::default();
    allocator.record(claim("vm-2", 9, vec![in_time(1, 60_000)]), ms(0));
    let (_, grant) = allocate(&mut allocator, ms(0)).remove(0);
    let restarted = Claim {
        incarnation: 2,
        ..claim("vm-2", 1, Vec::new())
    };
    allocator.record(restarted, ms(10));
    assert_eq!(allocator.load_at(&grant.decode).tokens, 0);
}

/// Started streams go first, then the call with the least time left; late calls get what is left.
#[test]
fn allocate_by_urgency() {
    let mut allocator = Allocator::default();
    let asks = vec![
        ask(1, 70_000, Urgency::Late),
        ask(2, 70_000, Urgency::InTime(ms(500))),
        ask(3, 70_000, Urgency::InTime(ms(100))),
        ask(4, 70_000, Urgency::Started),
    ];
    allocator.record(claim("vm-2", 1, asks), ms(0));
    // There is room for two.
    let granted: BTreeSet<id::Call> = granted_calls(&mut allocator, ms(0)).into_iter().collect();
    assert_eq!(granted, BTreeSet::from([3, 4]));
}

/// A late call leaves the reserve to calls that can be in time.
#[test]
fn allocate_late_call_leaves_reserve() {
    let mut allocator = Allocator::default();
    let asks = vec![ask(1, 70_000, Urgency::Late), ask(2, 70_000, Urgency::Late)];
    allocator.record(claim("vm-2", 1, asks), ms(0));
    assert_eq!(granted_calls(&mut allocator, ms(0)).len(), 2);
    let more = vec![
        ask(3, 20_000, Urgency::Late),
        ask(4, 20_000, Urgency::InTime(ms(100))),
    ];
    allocator.record(claim("vm-3", 1, more), ms(0));
    assert_eq!(granted_calls(&mut allocator, ms(0)), [4]);
}

/// Time that passes at the allocator makes a call late too.
#[test]
fn allocate_call_turns_late() {
    let mut allocator = Allocator::default();
    let asks = (1..=2)
        .map(|call| ask(call, 70_000, Urgency::Late))
        .collect();
    allocator.record(claim("vm-2", 1, asks), ms(0));
    allocate(&mut allocator, ms(0));
    let waiting = vec![ask(3, 20_000, Urgency::InTime(ms(100)))];
    allocator.record(claim("vm-3", 1, waiting), ms(0));
    assert!(granted_calls(&mut allocator, ms(150)).is_empty());
}

/// Guards against urgent calls that wait behind others when there is no room for all.
#[test]
fn allocate_by_priority() {
    let mut allocator = Allocator::default();
    let with_priority = |call, priority| Ask {
        priority,
        ..in_time(call, 50_000)
    };
    let mut asks: Vec<Ask> = (1..=8).map(|call| with_priority(call, 2)).collect();
    asks.extend((9..=11).map(|call| with_priority(call, 0)));
    allocator.record(claim("vm-2", 1, asks), ms(0));
    // There is room for four.
    assert_eq!(granted_calls(&mut allocator, ms(0)), [9, 10, 11, 1]);
}

fn ask_of(organisation: &str, call: id::Call) -> Ask {
    Ask {
        organisation: Some(organisation.into()),
        ..in_time(call, 50_000)
    }
}

/// Guards against an organisation that gets all that there is, as it sends more calls, earlier and at more VMs.
#[test]
fn allocate_shared_by_organisations() {
    let mut allocator = Allocator::default();
    let flood = |first: id::Call| {
        (first..first + 20)
            .map(|call| ask_of("flood", call))
            .collect()
    };
    allocator.record(claim("vm-2", 1, flood(1)), ms(0));
    allocator.record(claim("vm-3", 1, flood(1)), ms(0));
    let other = (91..=92).map(|call| ask_of("other", call)).collect();
    allocator.record(claim("vm-4", 1, other), ms(0));
    // There is room for four.
    let granted = allocate(&mut allocator, ms(0));
    let of_other = granted.iter().filter(|(vm, _)| &**vm == "vm-4");
    assert_eq!((granted.len(), of_other.count()), (4, 2));
}

/// Answers small calls without end, which take each place that becomes free. Guards against a large one that never
/// finds room.
#[test]
fn allocate_large_call_among_small_ones() {
    const LARGE: id::Call = 1_000_000;
    let mut allocator = Allocator::default();
    let small = |call| ask(call, 10_000, Urgency::InTime(ms(5_000)));
    let large = ask(LARGE, 70_000, Urgency::InTime(ms(900)));
    let mut held: Vec<id::Runner> = Vec::new();
    let mut next = 0;
    for step in 1..200_u64 {
        let mut asks: Vec<Ask> = (next..next + 10).map(small).collect();
        asks.push(large.clone());
        next += 10;
        let mut loads: BTreeMap<id::Runner, Load> = BTreeMap::new();
        for runner in &held {
            let load = Load {
                requests: 1,
                tokens: 10_000,
                prefill_tokens: 0,
            };
            loads.entry(runner.clone()).or_default().add(load);
        }
        let reported = Claim {
            last_grant: 1_000 * step,
            loads: loads.into_iter().collect(),
            ..claim(
                "vm-2",
                step,
                if step == 1 { asks[..10].to_vec() } else { asks },
            )
        };
        allocator.record(reported, ms(10 * step));
        for (_, grant) in allocate(&mut allocator, ms(10 * step)) {
            if grant.call == LARGE {
                // One place of twenty becomes free in a step, and seven of one engine are needed.
                assert!(step < 40, "granted in step {step}");
                return;
            }
            held.push(grant.decode);
        }
        if step > 2 {
            held.remove(0);
        }
    }
    panic!("the large call found no room");
}

/// Deliveries while one call in 100 ms gets capacity, until calls are refused.
fn refuse_surplus(allocator: &mut Allocator) -> (Duration, Vec<Delivery>) {
    for step in 1..40_u64 {
        let asks = (step..200).map(|call| Ask {
            patience: Some(ms(1_000)),
            ..in_time(call, 90_000)
        });
        let now = ms(100 * step);
        // Nothing that was granted before is still in use, and one engine is lost.
        let claim = Claim {
            last_grant: 1_000 * step,
            loads: vec![(
                "make-2".into(),
                Load {
                    requests: 16,
                    tokens: KV_TOKENS,
                    prefill_tokens: 0,
                },
            )],
            ..claim("vm-2", step, asks.collect())
        };
        allocator.record(claim, now);
        let deliveries = allocator.allocate(&pool(), &engines(), LIMITS, HashMap::new(), now);
        if deliveries.iter().any(|sent| !sent.refusals.is_empty()) {
            return (now, deliveries);
        }
    }
    panic!("no call is refused");
}

/// Guards against calls that wait though there will be no capacity for them before their VM gives them up.
#[test]
fn allocate_refuses_surplus() {
    let mut allocator = Allocator::default();
    let (now, deliveries) = refuse_surplus(&mut allocator);
    let refusals = &deliveries[0].refusals;
    assert!(refusals.len() > 100, "{}", refusals.len());
    let granted = deliveries[0].grants.iter().map(|grant| grant.call);
    let refused: BTreeSet<id::Call> = refusals.iter().map(|refusal| refusal.call).collect();
    assert!(granted.into_iter().all(|call| !refused.contains(&call)));
    assert!(refusals
        .iter()
        .all(|refusal| refusal.retry_after > ms(1_000)));
    // The calls that are not refused still wait.
    assert!(allocator.has_waiting() && now > ms(400));
}

/// Guards against a refusal that is lost: its call would wait without being in the order any more.
#[test]
fn allocate_repeats_refusals() {
    let mut allocator = Allocator::default();
    let (now, deliveries) = refuse_surplus(&mut allocator);
    let refused = deliveries[0].refusals[0];
    let again = Ask {
        patience: Some(ms(800)),
        ..in_time(refused.call, 90_000)
    };
    allocator.record(claim("vm-2", 50, vec![again]), now + ms(500));
    let limits = LIMITS;
    let deliveries = allocator.allocate(&pool(), &engines(), limits, HashMap::new(), now + ms(500));
    let repeated: Vec<_> = deliveries.iter().flat_map(|sent| &sent.refusals).collect();
    assert_eq!(repeated.len(), 1);
    assert_eq!(repeated[0].call, refused.call);
    assert_eq!(repeated[0].retry_after, refused.retry_after - ms(500));
}

fn fill_engines(harness: &mut Harness) {
    let full = Load {
        requests: 16,
        tokens: KV_TOKENS,
        prefill_tokens: 0,
    };
    harness.last_claim += 1;
    let loads = ["make-1", "make-2"].map(|runner| (runner.into(), full));
    let claim = Claim {
        loads: loads.into(),
        ..claim("vm-2", harness.last_claim, Vec::new())
    };
    harness.apply(Event::ClaimReceived { claim });
}

/// Guards against a caller that is held, or told another time, though the allocator knows when there is capacity.
#[test]
fn grants_received_refusal_is_passed_on() {
    let mut harness = Harness::new(1);
    fill_engines(&mut harness);
    let effects = harness.arrive(STREAM);
    assert!(refusal(&effects).is_none());
    let refused = refusal(&harness.apply(refuse_grant(harness.last_call, 0))).expect("a refusal");
    assert_eq!(refused.claim, RefusalClaim::NotRun);
    assert_eq!(refused.retry_after, Some(ms(1_234)));
    assert!(harness.state.calls.is_empty());
}

/// Guards against a stream that has begun and is cut, since a refusal of before comes late.
#[test]
fn grants_received_refusal_of_begun_stream() {
    let mut harness = Harness::new(1);
    let run = harness.start_stream(STREAM);
    harness.apply(Event::StreamStarted {
        attempt: run.attempt,
    });
    harness.stream_event(run.attempt, 0);
    fill_engines(&mut harness);
    harness.end_attempt(run.attempt, Outcome::Lost);
    assert!(harness.state.calls[&run.call].ask.is_some(), "it waits");
    let effects = harness.apply(refuse_grant(run.call, 0));
    assert!(refusal(&effects).is_none());
    assert!(harness.state.calls.contains_key(&run.call));
}

#[test]
fn allocate_excluded_engine() {
    let mut allocator = Allocator::default();
    for call in 1..=6 {
        let excluding = Ask {
            excluded: vec!["make-1".into()],
            ..in_time(call, 1_000)
        };
        allocator.record(claim("vm-2", call, vec![excluding]), ms(0));
        let (_, grant) = allocate(&mut allocator, ms(0)).remove(0);
        assert_eq!(&*grant.decode, "make-2");
    }
}

/// Two decode engines of another build beside those of the harness.
fn pool_of_two_builds() -> Pool {
    let engine = |runner, host| pool::Descriptor {
        build: OTHER_BUILD.into(),
        ..descriptor(runner, "llm", host, Some(Role::Decode))
    };
    let mut listed = descriptors();
    listed.extend([engine("make-3", 33), engine("make-4", 34)]);
    let mut pool = Pool::default();
    pool.replace(listed, 10, ms(0));
    pool
}

fn bound(build: &str, ask: Ask) -> Ask {
    Ask {
        build: Some(build.into()),
        ..ask
    }
}

/// An allocator grants a stream engines of its build alone, and none while these are full.
#[test]
fn allocate_engines_of_build() {
    let mut allocator = Allocator::default();
    let asks = (1..=6).map(|call| bound(OTHER_BUILD, in_time(call, 50_000)));
    allocator.record(claim("vm-2", 1, asks.collect()), ms(0));
    let grants = allocate_from(&pool_of_two_builds(), &mut allocator, ms(0));
    let mut engines: Vec<&str> = grants.iter().map(|(_, grant)| &*grant.decode).collect();
    engines.sort_unstable();
    assert_eq!(engines, ["make-3", "make-3", "make-4", "make-4"]);
}

/// Guards against a full build for whose sake the calls of another build get nothing.
#[test]
fn allocate_full_build_leaves_other() {
    let mut allocator = Allocator::default();
    let full = (1..=5).map(|call| bound(OTHER_BUILD, in_time(call, 50_000)));
    let asks = full.chain([bound(BUILD, in_time(6, 50_000)), in_time(7, 50_000)]);
    allocator.record(claim("vm-2", 1, asks.collect()), ms(0));
    let grants = allocate_from(&pool_of_two_builds(), &mut allocator, ms(0));
    let calls: Vec<id::Call> = grants.iter().map(|(_, grant)| grant.call).collect();
    assert_eq!(calls, [1, 2, 3, 4, 6, 7]);
}

/// A call gets a decode engine for which a prefill engine can prefill, as long as one has room, so that
/// a release does not push prompts onto decode engines.
#[test]
fn allocate_prefers_build_with_prefill() {
    let mut allocator = Allocator::default();
    let asks = (1..=8).map(|call| in_time(call, 50_000));
    allocator.record(claim("vm-2", 1, asks.collect()), ms(0));
    let grants = allocate_from(&pool_of_two_builds(), &mut allocator, ms(0));
    let has_prefill: Vec<bool> = grants
        .iter()
        .map(|(_, grant)| grant.prefill.is_some())
        .collect();
    assert_eq!(
        has_prefill,
        [true, true, true, true, false, false, false, false]
    );
    let is_of_build = |grant: &Grant| matches!(&*grant.decode, "make-1" | "make-2");
    assert!(grants
        .iter()
        .all(|(_, grant)| is_of_build(grant) == grant.prefill.is_some()));
}

/// A claim is sent again if a call that asks has been bound to a build.
#[test]
fn is_same_as_other_build() {
    let unbound = claim("vm-2", 1, vec![in_time(1, 1_000)]);
    let bound = claim("vm-2", 2, vec![bound(BUILD, in_time(1, 1_000))]);
    assert!(!unbound.is_same_as(&bound) && bound.is_same_as(&bound));
}

/// Groups have about the same size, and the allocators of many groups follow the weights of the VMs.
#[test]
fn rank_follows_weight() {
    let groups = group_count(400, 16);
    assert_eq!(groups, 32);
    let mut sizes = vec![0; groups as usize];
    for number in 0..400 {
        sizes[group_of(&format!("i-{number}").as_str().into(), groups) as usize] += 1;
    }
    assert!(
        sizes.iter().all(|size| (3..=30).contains(size)),
        "{sizes:?}"
    );
    let vms: Vec<(id::Vm, u32)> = (0..20)
        .map(|number| {
            (
                format!("vm-{number}").as_str().into(),
                if number < 4 { 64 } else { 1 },
            )
        })
        .collect();
    let strong = (0..1_000).filter(|group| {
        let highest = vms
            .iter()
            .max_by(|(one, weight), (other, weight_of_other)| {
                rank(one, *weight, *group).total_cmp(&rank(other, *weight_of_other, *group))
            });
        highest.is_some_and(|(_, weight)| *weight > 1)
    });
    // Four VMs have 256 of 272.
    assert!((900..=980).contains(&strong.count()));
}

/// Probes do not repeat what claims say, so that their size does not depend on the load.
#[test]
fn probe_has_no_load() {
    let mut harness = Harness::new(1);
    harness.receive_view(member("vm-2", 2, 7), false);
    harness.arrive(STREAM);
    let effects = harness.advance(ms(400));
    let mut views = effects.iter().filter_map(|effect| match effect {
        Effect::PublishView { view, .. } => Some(view),
        _ => None,
    });
    assert!(views.next().is_some_and(|view| view.loads.is_empty()));
}

/// Answers twice the load that the engines can hold, for a while: no prompt is prefilled in vain, and
/// the calls that get capacity get it in time, although each VM sees only its own calls.
#[test]
fn burst_no_prefill_in_vain() {
    let mut fleet = Fleet::new(12);
    let mut call = 0;
    // Two engines hold 24 streams of 2 s: 12 a second. Ten seconds of 24 a second.
    for step in 0..1_000_u64 {
        fleet.run_until(ms(step * 10));
        if step % 4 == 0 {
            call += 1;
            fleet.arrive((call * 7 % 12) as usize, call);
        }
    }
    for step in 1_000..1_600_u64 {
        fleet.run_until(ms(step * 10));
    }
    let streams = fleet.started_after.len() as u32;
    let in_time = fleet
        .started_after
        .iter()
        .filter(|after| **after <= ms(900))
        .count() as u32;
    assert_eq!(fleet.declines, 0, "declined by a full engine");
    assert!(
        fleet.prefills <= streams + 1,
        "{} prefills for {streams}",
        fleet.prefills
    );
    // Ten seconds of twelve a second, less the time to fill the engines.
    assert!(streams >= 110, "{streams} streams");
    assert!(
        in_time * 10 >= streams * 7,
        "{in_time} of {streams} in time"
    );
    // A call takes a claim, a grant, a claim with the changed load, and one when it ends.
    assert!(
        fleet.messages <= 8 * call as u32,
        "{} messages",
        fleet.messages
    );
}

/// Guards against engines that have been replaced and still count, so that those that serve are split into
/// groups of which one has most decode engines and another most prefill engines.
#[test]
fn ask_groups_without_departed_engines() {
    let mut harness = Harness::new(1);
    let allocator = MemberDescriptor {
        weight: u32::MAX,
        ..member("vm-2", 2, 1)
    };
    harness.receive_view(allocator, false);
    for number in 0..30 {
        let name = format!("decode-{number}");
        let mut descriptor = descriptor(&name, "llm", 100 + number, Some(Role::Decode));
        descriptor.revision = 20 + u64::from(number);
        harness.apply(Event::RunnerUpdated { descriptor });
        let runner = name.into();
        let revision = 60 + u64::from(number);
        harness.apply(Event::RunnerRemoved { runner, revision });
    }
    let effects = harness.arrive(STREAM);
    let claim = effects.iter().find_map(|effect| match effect {
        Effect::SendClaim { claim, .. } => Some(claim),
        _ => None,
    });
    let groups: Vec<u32> = claim
        .expect("a claim")
        .asks
        .iter()
        .map(|ask| ask.groups)
        .collect();
    assert_eq!(groups, [1]);
}

fn excluding(ask: Ask, engine: &str) -> Ask {
    Ask {
        excluded: vec![engine.into()],
        ..ask
    }
}

/// The decode engines that are granted to a VM which excludes none, after others have excluded some.
fn decodes_after(limits: Limits, reports: &[(&str, &str)]) -> BTreeSet<id::Runner> {
    let mut allocator = Allocator::default();
    for (number, (vm, engine)) in reports.iter().enumerate() {
        let asks = vec![excluding(in_time(1, 500), engine)];
        allocator.record(claim(vm, number as u64 + 1, asks), ms(0));
        allocator.record(claim(vm, number as u64 + 2, Vec::new()), ms(0));
    }
    let asks = (1..=6).map(|call| in_time(call, 500)).collect();
    allocator.record(claim("vm-9", 1, asks), ms(1));
    let deliveries = allocator.allocate(&pool(), &engines(), limits, HashMap::new(), ms(1));
    let grants = deliveries.into_iter().flat_map(|delivery| delivery.grants);
    grants.map(|grant| grant.decode).collect()
}

fn names(engines: &[&str]) -> BTreeSet<id::Runner> {
    engines.iter().map(|engine| (*engine).into()).collect()
}

/// Guards against an engine that has crashed and is granted to one VM after the other, until each has failed at it.
#[test]
fn allocate_engine_that_several_vms_exclude_passed_over() {
    let both = names(&["make-1", "make-2"]);
    let one = [("vm-1", "make-1")];
    assert_eq!(decodes_after(LIMITS, &one), both);
    let two = [("vm-1", "make-1"), ("vm-2", "make-1")];
    assert_eq!(decodes_after(LIMITS, &two), names(&["make-2"]));
    // If none is left, any is better than none.
    let all = [two[0], two[1], ("vm-1", "make-2"), ("vm-2", "make-2")];
    assert_eq!(decodes_after(LIMITS, &all), both);
    let off = Limits {
        overload_control: false,
        ..LIMITS
    };
    assert_eq!(decodes_after(off, &two), both);
}

/// Guards against an engine that serves again and gets nothing.
#[test]
fn allocate_excluded_engine_tried_again() {
    let mut allocator = Allocator::default();
    for vm in ["vm-1", "vm-2"] {
        let asks = vec![excluding(in_time(1, 500), "make-1")];
        allocator.record(claim(vm, 1, asks), ms(0));
        allocator.record(claim(vm, 2, Vec::new()), ms(0));
    }
    let mut granted = BTreeSet::new();
    for call in 1..=6 {
        allocator.record(claim("vm-9", call, vec![in_time(call, 500)]), ms(1_100));
        let grants = allocate(&mut allocator, ms(1_100));
        granted.extend(grants.into_iter().map(|(_, grant)| grant.decode));
    }
    assert_eq!(granted, names(&["make-1", "make-2"]));
}
