//! Ticket validation, and the table that tickets are applied to.

use expect_test::expect;
use hornbeamtiller_core::ticket::{Applied, Table, Ticket, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn limit(number: u64, concurrent: u64) -> Ticket {
    let text = format!(
        r#"{{"number":{number},"items":{{"organisation/o":{{"concurrent":{concurrent}}}}}}}"#
    );
    Ticket::parse(&text).expect("a valid ticket")
}

#[test]
fn parse_lists_all_faults() {
    let text = r#"{ "number": 0, "items": {
        "endpoint/a": { "kind": "service", "runners": [
            { "id": "r", "address": "127.0.0.1:1", "zone": "z", "role": "decode" },
            { "id": "r", "address": "127.0.0.1:2", "zone": "z" } ] },
        "class/c": { "priority": 1 },
        "what/ever": {},
        "service/other": {},
        "organisation/o": { "concurrent": 1, "more": 2 }
    } }"#;
    let faults = Ticket::parse(text).expect_err("an invalid ticket");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect![[r#"
        ticket number is 0; the first ticket is 1
        item "class/c": missing field `wait_ms`
        item "endpoint/a": runner "r" is listed twice
        item "endpoint/a": a runner of a plain service has the role prefill or decode
        item "organisation/o": unknown field `more`, expected `concurrent`
        item "service/other" is not endpoint/NAME, class/NAME, organisation/NAME or service/shutdown
        item "what/ever" is not endpoint/NAME, class/NAME, organisation/NAME or service/shutdown"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn apply_gap_and_known() {
    let mut table = Table::default();
    assert_eq!(table.apply(&limit(2, 5)), Applied::Gap { missing: 1 });
    assert_eq!(table.apply(&limit(1, 4)), Applied::New);
    assert_eq!(table.apply(&limit(1, 9)), Applied::Known);
    assert_eq!(
        table.organisation("o").map(|limit| limit.concurrent),
        Some(4)
    );
}

#[test]
fn skip_keeps_items() {
    let mut table = Table::default();
    table.apply(&limit(1, 4));
    assert_eq!(table.skip(2, "{}".into()), Applied::New);
    assert_eq!(
        table.organisation("o").map(|limit| limit.concurrent),
        Some(4)
    );
    assert_eq!(table.apply(&limit(3, 6)), Applied::New);
    assert_eq!(
        table.organisation("o").map(|limit| limit.concurrent),
        Some(6)
    );
}

#[test]
fn merge_older_snapshot_changes_nothing() {
    let mut old = Table::default();
    old.apply(&limit(1, 4));
    let mut table = old.clone();
    table.apply(&limit(2, 5));
    assert!(matches!(
        table.merge_snapshot(old.newest(), &old.snapshot()),
        Ok(false)
    ));
    assert_eq!(table.newest(), 2);
    assert_eq!(
        table.organisation("o").map(|limit| limit.concurrent),
        Some(5)
    );
    assert!(matches!(
        old.merge_snapshot(table.newest(), &table.snapshot()),
        Ok(true)
    ));
    assert_eq!(old.organisation("o").map(|limit| limit.concurrent), Some(5));
}

#[test]
fn apply_removed_item() {
    let mut table = Table::default();
    table.apply(&limit(1, 4));
    let removal =
        Ticket::parse(r#"{"number":2,"items":{"organisation/o":null}}"#).expect("a valid ticket");
    table.apply(&removal);
    assert_eq!(table.organisation("o"), None);
}

#[test]
fn is_repeatable_path_match() {
    let text = r#"{"number":1,"items":{"endpoint/a":{"kind":"service","runners":[],
        "repeatable":[{"method":"GET","path":"/balance/*"},{"method":"PUT","path":"/exact"}]}}}"#;
    let mut table = Table::default();
    table.apply(&Ticket::parse(text).expect("a valid ticket"));
    let endpoint = table.endpoint("a").expect("an endpoint");
    assert!(endpoint.is_repeatable("GET", "/balance/7?x=1"));
    assert!(!endpoint.is_repeatable("POST", "/balance/7"));
    assert!(!endpoint.is_repeatable("GET", "/balances/7"));
    assert!(endpoint.is_repeatable("PUT", "/exact"));
    assert!(!endpoint.is_repeatable("PUT", "/exact/more"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn apply_any_order_never_reverts(numbers in prop::collection::vec(1u64..8, 1..60)) {
        let mut table = Table::default();
        let mut newest = 0;
        for number in numbers {
            table.apply(&limit(number, 100 + number));
            prop_assert!(table.newest() >= newest);
            newest = table.newest();
            let value = table.organisation("o").map(|limit| u64::from(limit.concurrent));
            prop_assert_eq!(value, (newest > 0).then_some(100 + newest));
        }
    }
}

#[test]
fn merge_snapshot_with_faulty_item() {
    let mut newer = Table::default();
    newer.apply(&limit(1, 4));
    newer.apply(&limit(2, 5));
    let mut versions = newer.snapshot();
    versions.push(Version {
        name: "organisation/p".into(),
        ticket: 2,
        text: "{\"concurrent\":\"many\"}".into(),
    });
    let mut table = Table::default();
    table.apply(&limit(1, 4));
    let faults = table.merge_snapshot(2, &versions).expect_err("refused");
    assert_eq!(faults.len(), 1);
    assert_eq!(table.newest(), 1);
    assert_eq!(
        table.organisation("o").map(|limit| limit.concurrent),
        Some(4)
    );
}
