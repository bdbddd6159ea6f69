//! The order of calls that wait: its bounds, and what callers get of it above capacity.

#![allow(
    clippy::disallowed_methods,
    reason = "the figures of tests are in range"
)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::event::{Arrival, Effect, Event};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::limit::{Rate, Record};
use hornbeamtiller_relay::manifest::{Manifest, Route};
use hornbeamtiller_relay::order::{
    arrange, Entry, History, Queue, Refusal, Urgency, Work, MINIMUM_SHARE,
};
use hornbeamtiller_relay::organisation::{Credential, Digest, Organisation, Table};
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_relay::refusal::Claim;
use proptest::prelude::*;
use support::cases::proptest_config;
use support::fleet::Fleet;
use support::order::{play, Load, Report, Rule, Size, Tally, ORGANISATIONS, RULES};
use support::{
    dispatch, dispatches, has, manifest, ms, refusal, routes, stream_arrival, Harness, IDEMPOTENT,
    STREAM,
};

/// Bursts beside a flood of one organisation, while two of five decode engines are lost.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

fn overload(seed: u64) -> Load {
    Load {
        seed,
        rate: 15.4,
        burst: 2.4,
        flood: 5.0,
        engines: 5,
        lost: 2,
        groups: 1,
    }
}

/// A call that waits, with what its entry refers to.
#[derive(Debug, Clone)]
struct Item {
    call: id::Call,
    vm: id::Vm,
    organisation: Option<id::Organisation>,
    urgency: Urgency,
    priority: u8,
    need: Duration,
    work: Work,
    patience: Option<Duration>,
}

impl Item {
    fn new(call: id::Call) -> Self {
        Self {
            call,
            vm: "vm-1".into(),
            organisation: None,
            urgency: Urgency::InTime(ms(500)),
            priority: 1,
            need: Duration::ZERO,
            work: 10_000,
            patience: None,
        }
    }

    fn entry(&self) -> Entry<'_> {
        Entry {
            call: self.call,
            vm: &self.vm,
            urgency: self.urgency,
            priority: self.priority,
            organisation: self.organisation.as_ref(),
            need: self.need,
            work: self.work,
            patience: self.patience,
        }
    }
}

fn entries(items: &[Item]) -> Vec<Entry<'_>> {
    items.iter().map(Item::entry).collect()
}

/// Calls in the order in which they are served, by VM and number.
fn arranged(history: &History, items: &[Item]) -> Vec<(id::Vm, id::Call)> {
    let order = arrange(history, entries(items), ms(0));
    let calls = order.into_iter().map(|index| &items[index]);
    calls.map(|item| (item.vm.clone(), item.call)).collect()
}

/// A history of passes that left calls without capacity.
fn pressed() -> History {
    let mut history = History::default();
    serve(&mut history, &[Item::new(1)], ms(0), 0);
    history
}

/// One pass in which this many calls get capacity; returns these, and the refusals.
fn serve(
    history: &mut History,
    items: &[Item],
    now: Duration,
    places: usize,
) -> (Vec<usize>, Vec<Refusal>) {
    let mut queue = Queue::new(history, entries(items), now);
    let mut placed = Vec::new();
    while let Some(index) = queue.pop() {
        if placed.len() < places {
            queue.place(index);
            placed.push(index);
        } else {
            queue.leave(index);
        }
    }
    (placed, queue.finish())
}

fn urgency() -> impl Strategy<Value = Urgency> {
    prop_oneof![
        1 => Just(Urgency::Started),
        5 => (0..2_000_u64).prop_map(|slack| Urgency::InTime(ms(slack))),
        2 => Just(Urgency::Late),
    ]
}

fn items() -> impl Strategy<Value = Vec<Item>> {
    let item = (
        urgency(),
        0..4_u8,
        prop::option::of(0..5_u8),
        1..60_000_u64,
        0..300_u64,
        prop::option::of(0..5_000_u64),
        0..3_u8,
    );
    prop::collection::vec(item, 1..60).prop_map(|drawn| {
        let items = drawn.into_iter().enumerate();
        let items = items.map(
            |(number, (urgency, priority, organisation, work, need, patience, vm))| Item {
                vm: format!("vm-{vm}").as_str().into(),
                organisation: organisation.map(|name| format!("o-{name}").as_str().into()),
                urgency,
                priority,
                need: ms(need),
                work,
                patience: patience.map(ms),
                ..Item::new(number as id::Call)
            },
        );
        items.collect()
    })
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// Guards against an order that depends on which VM's claim comes first, or that loses or repeats calls.
    #[test]
    fn arrange_is_total(items in items(), is_pressed in any::<bool>(), rotation in 0..60_usize) {
        let history = if is_pressed { pressed() } else { History::default() };
        let order = arranged(&history, &items);
        let distinct: BTreeSet<_> = order.iter().collect();
        prop_assert_eq!(distinct.len(), items.len());
        let mut rotated = items.clone();
        rotated.rotate_left(rotation % items.len());
        rotated.reverse();
        prop_assert_eq!(arranged(&history, &rotated), order);
    }

    /// Guards against earlier deployments that are served in another order than before: with one priority, no
    /// organisations and no call left over, calls go by the time left, then by their number and VM.
    #[test]
    fn arrange_one_priority_as_before(items in items(), priority in 0..10_u8) {
        let items: Vec<Item> = items
            .into_iter()
            .map(|item| Item { priority, organisation: None, ..item })
            .collect();
        let mut before: Vec<_> = items
            .iter()
            .map(|item| (item.urgency, item.call, item.vm.clone()))
            .collect();
        before.sort_unstable();
        let before: Vec<_> = before.into_iter().map(|(_, call, vm)| (vm, call)).collect();
        prop_assert_eq!(arranged(&History::default(), &items), before);
    }

    /// Guards against streams that are cut for the sake of others, and late calls that take capacity from calls that can
    /// be in time.
    #[test]
    fn arrange_by_standing(items in items(), is_pressed in any::<bool>()) {
        let history = if is_pressed { pressed() } else { History::default() };
        let order = arrange(&history, entries(&items), ms(0));
        let standing = |index: &usize| match items[*index].urgency {
            Urgency::Started => 0,
            Urgency::InTime(slack) if !is_pressed || slack >= items[*index].need => 1,
            _ => 2,
        };
        prop_assert!(order.is_sorted_by_key(standing));
    }

    /// Bound of an organisation's wait: while all have calls, none gets less work than another by more than their two
    /// largest calls, however many calls the others send and whatever their sizes.
    #[test]
    fn organisations_share_by_work(
        sizes in prop::collection::vec(1..40_000_u64, 200),
        counts in prop::collection::vec(1..20_usize, 2..8),
    ) {
        let mut history = pressed();
        let mut served: BTreeMap<usize, Work> = BTreeMap::new();
        let mut sizes = sizes.into_iter().cycle();
        let mut call = 0;
        let mut new_item = |organisation: usize| {
            call += 1;
            Item {
                organisation: Some(format!("o-{organisation}").as_str().into()),
                work: sizes.next().expect("a size"),
                ..Item::new(call)
            }
        };
        // As many calls of each organisation wait at any time.
        let of_counts = |counts: &[usize]| {
            let counts = counts.iter().enumerate();
            counts.flat_map(|(organisation, count)| vec![organisation; *count]).collect::<Vec<_>>()
        };
        let organisations = of_counts(&counts);
        let mut items: Vec<Item> = organisations.iter().map(|name| new_item(*name)).collect();
        for step in 0..300 {
            let (placed, _) = serve(&mut history, &items, ms(step), 1);
            let index = placed[0];
            *served.entry(organisations[index]).or_default() += items[index].work;
            items[index] = new_item(organisations[index]);
        }
        let least = (0..counts.len()).map(|name| served.get(&name).copied().unwrap_or(0)).min();
        let most = served.values().max().copied();
        prop_assert!(most <= least.map(|least| least + 2 * 40_000));
    }

    /// Bound of a less urgent priority's wait: while its calls wait, it gets its part of the work that more urgent ones
    /// get, but for one call of its own and the part of one of theirs.
    #[test]
    fn priorities_get_minimum_share(
        urgent in prop::collection::vec(1..30_000_u64, 50),
        other in prop::collection::vec(1..30_000_u64, 50),
    ) {
        let mut history = pressed();
        let (mut urgent, mut other) = (urgent.into_iter().cycle(), other.into_iter().cycle());
        let mut new_item = |call: id::Call, priority: u8| {
            let sizes = if priority == 0 { &mut urgent } else { &mut other };
            Item { priority, work: sizes.next().expect("a size"), ..Item::new(call) }
        };
        let mut items = vec![new_item(1, 0), new_item(2, 0), new_item(3, 2), new_item(4, 2)];
        let mut served = [0.0, 0.0, 0.0];
        for step in 0..600_u64 {
            let (placed, _) = serve(&mut history, &items, ms(step), 1);
            let index = placed[0];
            let item = &items[index];
            let priority = item.priority;
            served[usize::from(priority)] += item.work as f64;
            prop_assert!(
                served[2] + 30_000.0 * (1.0 + MINIMUM_SHARE) >= served[0] * MINIMUM_SHARE,
                "{served:?}"
            );
            items[index] = new_item(5 + step, priority);
        }
        prop_assert!(served[0] > 4.0 * served[2], "{served:?}");
    }

    /// Bound of an expensive call's wait: a cheap call goes ahead of it only if it came at most 20 us for each token of
    /// the difference later.
    #[test]
    fn expensive_call_is_overtaken_for_a_while(expensive in 20_000..80_000_u64, cheap in 1..20_000_u64, later in 0..3_000_u64) {
        let first = Item { work: expensive, urgency: Urgency::InTime(ms(5_000)), ..Item::new(1) };
        let second = Item { work: cheap, urgency: Urgency::InTime(ms(5_000 + later)), ..Item::new(2) };
        let order = arranged(&pressed(), &[first, second]);
        let is_overtaken = order[0].1 == 2;
        prop_assert_eq!(is_overtaken, ms(later) < Duration::from_micros((expensive - cheap) * 20));
    }
}

/// Guards against an order that ignores the priorities of the manifest when there is too little for all.
#[test]
fn arrange_by_priority() {
    let item = |call, priority, slack| Item {
        priority,
        urgency: Urgency::InTime(ms(slack)),
        ..Item::new(call)
    };
    let items = [item(1, 2, 100), item(2, 0, 900), item(3, 0, 300)];
    let calls: Vec<id::Call> = arranged(&History::default(), &items)
        .into_iter()
        .map(|(_, call)| call)
        .collect();
    assert_eq!(calls, [3, 2, 1]);
}

/// Calls of one organisation that wait for capacity of which one call's is found in 100 ms.
fn long_queue(calls: id::Call) -> Vec<Item> {
    let item = |call| Item {
        organisation: Some("o-1".into()),
        patience: Some(ms(2_000)),
        ..Item::new(call)
    };
    (1..=calls).map(item).collect()
}

/// Guards against calls that are held though they can't be served, and against callers that are told to come again all
/// at once, or before there is capacity.
#[test]
fn finish_refuses_hopeless_calls() {
    let mut history = History::default();
    let items = long_queue(200);
    let mut refusals = Vec::new();
    for step in 0..40 {
        (_, refusals) = serve(&mut history, &items, ms(100 * step), 1);
        if !refusals.is_empty() {
            break;
        }
    }
    // Ten a second for 2 s are 20 calls; refused are those for which even half as much again would not do.
    assert!((100..=180).contains(&refusals.len()), "{}", refusals.len());
    let times: Vec<Duration> = refusals.iter().map(|refusal| refusal.retry_after).collect();
    assert!(times.iter().all(|time| *time > ms(1_500)), "{times:?}");
    let distinct: BTreeSet<_> = times.iter().collect();
    assert!(distinct.len() * 10 > times.len() * 9, "{times:?}");
}

/// Guards against a refusal that was not needed: the rate is not known yet, or the call has no patience that is known, or
/// its stream has begun.
#[test]
fn finish_keeps_calls() {
    let mut history = History::default();
    let (_, refusals) = serve(&mut history, &long_queue(200), ms(0), 1);
    assert!(refusals.is_empty(), "a burst that has just come");
    // An allocator that has just started, and finds all engines full for the time of a stream.
    let mut history = History::default();
    for step in 0..20 {
        let (_, refusals) = serve(&mut history, &long_queue(50), ms(100 * step), 0);
        assert!(refusals.is_empty(), "nothing is known of the rate");
    }
    let unknown = |item: Item| Item {
        patience: None,
        ..item
    };
    let begun = |item: Item| Item {
        urgency: Urgency::Started,
        ..item
    };
    let unknown: Vec<Item> = long_queue(200).into_iter().map(unknown).collect();
    let begun: Vec<Item> = long_queue(200).into_iter().map(begun).collect();
    for items in [unknown, begun] {
        let mut history = History::default();
        for step in 0..40 {
            let (_, refusals) = serve(&mut history, &items, ms(100 * step), 1);
            assert!(refusals.is_empty());
        }
    }
}

/// A manifest with an urgent organisation and another one, whose keys are their names.
fn manifest_of_organisations() -> Arc<Manifest> {
    let mut table = Table::default();
    for (name, priority) in [("urgent", Some(0)), ("lenient", None)] {
        let organisation = Organisation {
            name: name.into(),
            priority,
            cap: None,
        };
        table.insert(organisation, [Digest::of(name.as_bytes())]);
    }
    let mut manifest = (*manifest(3, routes())).clone();
    manifest.organisations = Some(table);
    Arc::new(manifest)
}

fn arrival_of(organisation: &str, call: id::Call, path: &str) -> Arrival {
    Arrival {
        credential: Credential::Key(Digest::of(organisation.as_bytes())),
        ..stream_arrival(call, path)
    }
}

/// Has all plain runners name a limit.
fn limit_plain_runners(harness: &mut Harness, rate: Rate) {
    let runners = ["pay-1", "pay-2", "pay-3"];
    let limits = runners.map(|runner| Record {
        instance: Instance {
            runner: runner.into(),
            started_at_ms: 1,
        },
        rate: Some(rate),
        age: Duration::ZERO,
    });
    let mut view = support::view(support::member("vm-2", 2, 7), false);
    view.limits = limits.into();
    harness.apply(Event::ViewReceived { view: view.into() });
}

/// Guards against plain calls that wait for permits by the priority of their route, where that of their organisation
/// takes precedence: there is a permit for one call at most, and the less urgent one is refused though it came first.
#[test]
fn permit_for_urgent_organisation() {
    let mut harness = Harness::new(1);
    harness.state.settings.overload_control = true;
    harness.apply(Event::ManifestRead {
        manifest: manifest_of_organisations(),
    });
    limit_plain_runners(&mut harness, 5.0);
    let usual = harness.apply(Event::Arrived(arrival_of("lenient", 1, IDEMPOTENT)));
    assert!(refusal(&usual).is_none() && dispatches(&usual).is_empty());
    let urgent = harness.apply(Event::Arrived(arrival_of("urgent", 2, IDEMPOTENT)));
    assert!(has(&urgent, |effect| matches!(
        effect,
        Effect::Refuse { call: 1, .. }
    )));
    let instance = Instance {
        runner: "pay-1".into(),
        started_at_ms: 1,
    };
    let effects = harness.apply(Event::PermitReceived { instance });
    assert_eq!(dispatch(&effects).call, 2);
}

fn sum(reports: &[Report], of: impl Fn(&Report) -> Tally) -> Tally {
    reports
        .iter()
        .map(of)
        .fold(Tally::default(), |sum, tally| sum.plus(&tally))
}

fn print(rule: Rule, reports: &[Report]) {
    let row = |name: &str, tally: Tally| {
        let (in_time, served) = (tally.in_time_share(), tally.served_share());
        println!(
            "{rule} {name}: {} sent, {in_time:.3} in time, {served:.3} served",
            tally.sent
        );
    };
    let all = sum(reports, |report| report.all);
    row("all", all);
    println!(
        "{rule}: {} refusals, {:.0} s waited in vain",
        all.refused,
        all.waited_in_vain.as_secs_f64()
    );
    for priority in [0, 2] {
        row(
            &format!("priority {priority}"),
            sum(reports, |report| report.by_priority[&priority]),
        );
    }
    for size in [Size::Small, Size::Middle, Size::Large] {
        row(
            &size.to_string(),
            sum(reports, |report| report.by_size[&size]),
        );
    }
    row("flood", sum(reports, |report| report.by_organisation[&0]));
    row("others", sum(reports, Report::others));
}

/// Answers bursts of 2.4 times the load beside a flood of 5 times by one organisation, with two of five decode engines
/// lost for 6 s. Guards against an order that serves urgent streams no better than others, or lets one organisation
/// take what the others need. Prints what callers get of each order with `--nocapture`.
#[test]
fn play_overload() {
    let played = RULES.map(|rule| {
        let reports: Vec<Report> = SEEDS.map(|seed| play(overload(seed), rule)).collect();
        print(rule, &reports);
        (rule, reports)
    });
    let by_rule: BTreeMap<Rule, Vec<Report>> = played.into();
    let share = |rule: Rule, of: fn(&Report) -> Tally| sum(&by_rule[&rule], of).in_time_share();
    for rule in RULES {
        let (router, other) = (share(Rule::Router, |r| r.all), share(rule, |r| r.all));
        assert!(router >= other, "{rule}: {other:.3} in time, {router:.3}");
    }
    let urgent = |report: &Report| report.by_priority[&0];
    assert!(share(Rule::Router, urgent) > share(Rule::Before, urgent) + 0.2);
    assert!(share(Rule::Router, Report::others) > share(Rule::Before, Report::others) + 0.1);
    let router = &by_rule[&Rule::Router];
    let overall = sum(router, |report| report.all);
    for organisation in 0..ORGANISATIONS {
        let tally = sum(router, |report| report.by_organisation[&organisation]);
        assert!(tally.served_share() > overall.served_share() / 4.0);
    }
    for size in [Size::Small, Size::Middle, Size::Large] {
        let tally = sum(router, |report| report.by_size[&size]);
        assert!(tally.served_share() > overall.served_share() / 2.0);
    }
    let before = sum(&by_rule[&Rule::Before], |report| report.all);
    assert!(overall.waited_in_vain < before.waited_in_vain);
}

/// Answers the usual load with no engine lost. Guards against calls that are refused or late though there is capacity.
#[test]
fn play_calm() {
    for seed in SEEDS {
        let calm = Load {
            burst: 1.0,
            flood: 1.0,
            lost: 0,
            ..overload(seed)
        };
        let (router, before) = (play(calm, Rule::Router), play(calm, Rule::Before));
        assert_eq!(router.all.refused, 0);
        assert_eq!(router.all.in_time, before.all.in_time);
    }
}

/// Answers the overload of a larger deployment, with one allocator for all engines and with four of a quarter each.
/// Guards against an order that is lost when each allocator knows only a part of the calls.
#[test]
fn play_overload_groups() {
    let large = |seed, groups| Load {
        rate: 4.0 * 15.4,
        engines: 20,
        lost: 8,
        groups,
        ..overload(seed)
    };
    let urgent = |report: &Report| report.by_priority[&0];
    let [whole, divided] = [1, 4].map(|groups| {
        let reports = (1..=2).map(|seed| play(large(seed, groups), Rule::Router));
        let reports: Vec<Report> = reports.collect();
        println!("{groups} groups");
        print(Rule::Router, &reports);
        reports
    });
    for of in [urgent, Report::others, |report: &Report| report.all] {
        let (whole, divided) = (sum(&whole, of), sum(&divided, of));
        assert!(divided.in_time_share() > whole.in_time_share() - 0.1);
    }
}

/// What 12 VMs do with twice the streams that two engines hold, for 10 s; every third stream has this priority, and the
/// others 2.
struct Played {
    fleet: Fleet,
    arrived_at: BTreeMap<(usize, id::Call), Duration>,
}

fn play_fleet(priority: u8) -> Played {
    let mut fleet = Fleet::new(12);
    for vm in &mut fleet.vms {
        vm.settings.overload_control = true;
    }
    let mut listed = routes();
    let usual = listed
        .iter_mut()
        .find(|route| STREAM.starts_with(&*route.prefix));
    let usual = usual.expect("a route of streams");
    usual.priority = 2;
    let urgent = Route {
        name: "urgent".into(),
        prefix: "/urgent/".into(),
        priority,
        ..usual.clone()
    };
    listed.push(urgent);
    let manifest = manifest(3, listed);
    fleet.list(&Event::ManifestRead { manifest }, |_| ms(1));
    fleet.run_until(ms(1_000));
    let mut arrived_at = BTreeMap::new();
    for call in 1..=240 {
        let now = ms(1_000 + 42 * call);
        fleet.run_until(now);
        let vm = (call * 7 % 12) as usize;
        let path = if call % 3 == 0 { "/urgent/1" } else { STREAM };
        fleet.arrive_at(vm, call, path);
        arrived_at.insert((vm, call), now);
    }
    fleet.run_until(ms(18_000));
    Played { fleet, arrived_at }
}

impl Played {
    /// Fraction of the calls that got an engine in time for their target.
    fn in_time(&self, is_urgent: bool) -> f64 {
        let calls = self.arrived_at.iter();
        let calls: Vec<_> = calls
            .filter(|((_, call), _)| (call % 3 == 0) == is_urgent)
            .collect();
        let in_time = calls.iter().filter(|(call, arrived_at)| {
            let sent_at = self.fleet.sent_at.get(call);
            sent_at.is_some_and(|at| *at - **arrived_at <= ms(720))
        });
        in_time.count() as f64 / calls.len() as f64
    }
}

/// Guards against priorities that the manifest names and the reducers don't pass on, and against refusals that come late
/// or claim that the request may have run.
#[test]
fn fleet_urgent_streams_in_time() {
    let (equal, urgent) = (play_fleet(2), play_fleet(0));
    println!(
        "in time with equal priorities {:.3} and {:.3}, with an urgent one {:.3} and {:.3}",
        equal.in_time(true),
        equal.in_time(false),
        urgent.in_time(true),
        urgent.in_time(false)
    );
    assert!(urgent.in_time(true) > equal.in_time(true) + 0.2);
    assert!(urgent.in_time(false) > 0.1);
    let fleet = &urgent.fleet;
    assert_eq!(fleet.declines, 0, "declined by a full engine");
    assert!(!fleet.refusals.is_empty());
    let given_up = ms(900).mul_f64(3.5);
    let early = fleet.refused_at.iter().filter(|(call, at)| {
        let arrived_at = urgent.arrived_at.get(*call).copied();
        arrived_at.is_some_and(|arrived_at| **at - arrived_at < given_up)
    });
    println!(
        "{} refusals, {} before they are given up",
        fleet.refusals.len(),
        early.clone().count()
    );
    assert!(early.count() > 0);
    assert!(fleet
        .refusals
        .values()
        .all(|refusal| { refusal.claim == Claim::NotRun && refusal.retry_after.is_some() }));
}
