//! Who is let in: keys of organisations, when they are revoked, and what other VMs vouch for.

mod support;

use std::sync::Arc;

use hornbeamtiller_relay::event::{Arrival, Effect, Event};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::Manifest;
use hornbeamtiller_relay::organisation::{
    Cap, Credential, Digest, Identity, Organisation, Table, Unit,
};
use hornbeamtiller_relay::refusal::{Claim, Reason};
use proptest::prelude::*;
use support::{dispatches, member, ms, refusal, stream_arrival, view, Harness, NON_IDEMPOTENT};

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        priority: None,
        cap: None,
    }
}

fn key(text: &str) -> Credential {
    Credential::Key(Digest::of(text.as_bytes()))
}

/// A manifest with organisations, each with one key that has its name.
fn manifest(version: id::Version, names: &[&str]) -> Arc<Manifest> {
    let mut table = Table::default();
    for name in names {
        table.insert(organisation(name), [Digest::of(name.as_bytes())]);
    }
    let mut manifest = Manifest::clone(&support::manifest(version, support::routes()));
    manifest.organisations = Some(table);
    Arc::new(manifest)
}

fn open_harness() -> Harness {
    let mut harness = Harness::new(1);
    let manifest = manifest(100, &["one", "two"]);
    harness.apply(Event::ManifestRead { manifest });
    harness
}

fn arrive(harness: &mut Harness, credential: Credential) -> Vec<Effect> {
    harness.last_call += 1;
    let arrival = Arrival {
        prompt: None,
        credential,
        ..stream_arrival(harness.last_call, NON_IDEMPOTENT)
    };
    harness.apply(Event::Arrived(arrival))
}

fn rejection(effects: &[Effect]) -> Option<(Reason, Claim)> {
    refusal(effects).map(|refusal| (refusal.reason, refusal.claim))
}

const UNAUTHORIZED: (Reason, Claim) = (Reason::Unauthorized, Claim::Invalid);

#[test]
fn arrive_valid_key_dispatched_with_organisation() {
    let mut harness = open_harness();
    let effects = arrive(&mut harness, key("two"));
    let dispatched = dispatches(&effects);
    let named = dispatched[0].identity.organisation();
    assert_eq!(named.map(|named| &*named.name), Some("two"));
}

#[test]
fn arrive_without_valid_key_rejected() {
    let mut harness = open_harness();
    for credential in [Credential::Missing, Credential::Invalid, key("three")] {
        let effects = arrive(&mut harness, credential);
        assert_eq!(rejection(&effects), Some(UNAUTHORIZED));
        assert!(dispatches(&effects).is_empty());
    }
}

/// Guards against a key that is revoked while the body of its request arrives.
#[test]
fn arrive_key_revoked_since_head_rejected() {
    let mut harness = open_harness();
    let manifest = manifest(101, &["one"]);
    harness.apply(Event::ManifestRead { manifest });
    let effects = arrive(&mut harness, key("two"));
    assert_eq!(rejection(&effects), Some(UNAUTHORIZED));
}

/// Guards against VMs that reject keys before they know any.
#[test]
fn arrive_no_manifest_is_not_unauthorized() {
    let mut harness = Harness::new(1);
    harness.state.manifest = None;
    let effects = arrive(&mut harness, key("one"));
    let expected = Some((Reason::NoManifest, Claim::NotRun));
    assert_eq!(rejection(&effects), expected);
}

#[test]
fn arrive_manifest_without_organisations_open() {
    let mut harness = Harness::new(1);
    let effects = arrive(&mut harness, key("one"));
    assert_eq!(dispatches(&effects)[0].identity, Identity::Open);
}

/// Guards against VMs that go on with keys of which they can't know whether they are revoked, where that is asked.
#[test]
fn arrive_fail_closed_no_news() {
    let mut harness = open_harness();
    harness.state.settings.revocation_timeout = Some(ms(5_000));
    harness.apply(Event::SourceReached { reached: true });
    harness.advance(ms(4_900));
    assert_eq!(rejection(&arrive(&mut harness, key("one"))), None);
    harness.advance(ms(200));
    let outdated = Some((Reason::KeysOutdated, Claim::NotRun));
    assert_eq!(rejection(&arrive(&mut harness, key("one"))), outdated);
    // A VM that reaches the configuration service has the same manifest.
    let mut told = view(member("vm-2", 2, 1), false);
    told.manifest_version = 100;
    told.source_reached = true;
    harness.apply(Event::ViewReceived { view: told.into() });
    assert_eq!(rejection(&arrive(&mut harness, key("one"))), None);
    // Without the setting, keys count for as long as no manifest revokes them.
    harness.advance(ms(60_000));
    harness.state.settings.revocation_timeout = None;
    assert_eq!(rejection(&arrive(&mut harness, key("one"))), None);
}

fn arrive_delegated(harness: &mut Harness, credential: Credential) -> Vec<Effect> {
    harness.last_call += 1;
    let arrival = Arrival {
        prompt: None,
        delegated_by: Some("vm-2".into()),
        credential,
        ..stream_arrival(harness.last_call, NON_IDEMPOTENT)
    };
    harness.apply(Event::Arrived(arrival))
}

fn delegated(harness: &Harness, name: &str, key: &str) -> Credential {
    let request = format!("request-{}", harness.last_call + 1);
    Credential::Delegated {
        organisation: name.into(),
        proof: Digest::of(key.as_bytes()).prove(&request),
    }
}

/// A VM that has an older manifest must not make a client of another VM give up.
#[test]
fn arrive_delegated_needs_proof() {
    let mut harness = open_harness();
    let proven = delegated(&harness, "one", "one");
    let effects = arrive_delegated(&mut harness, proven.clone());
    assert_eq!(dispatches(&effects).len(), 1);
    let not_run = Some((Reason::Unauthorized, Claim::NotRun));
    for credential in [
        delegated(&harness, "one", "two"),
        delegated(&harness, "three", "three"),
        delegated(&harness, "", ""),
        Credential::Missing,
        // The proof is that of an earlier request.
        proven,
    ] {
        let effects = arrive_delegated(&mut harness, credential);
        assert_eq!(rejection(&effects), not_run);
    }
}

#[test]
fn priority_organisation_before_route() {
    let mut harness = open_harness();
    let mut manifest = Manifest::clone(&manifest(101, &["one"]));
    if let Some(table) = &mut manifest.organisations {
        let urgent = Organisation {
            priority: Some(7),
            ..organisation("seven")
        };
        table.insert(urgent, [Digest::of(b"seven")]);
    }
    let manifest = manifest.into();
    harness.apply(Event::ManifestRead { manifest });
    let priorities = ["one", "seven"].map(|name| {
        arrive(&mut harness, key(name));
        let call = &harness.state.calls[&harness.last_call];
        (call.priority(), call.route.priority)
    });
    assert_eq!(priorities[0].0, priorities[0].1);
    assert_eq!(priorities[1].0, 7);
}

#[test]
fn insert_key_of_two_organisations_stays() {
    let mut table = Table::default();
    let shared = Digest::of(b"shared");
    table.insert(organisation("one"), [shared]);
    table.insert(organisation("two"), [shared]);
    let owner = table.find(&shared).map(|owner| owner.name.clone());
    assert_eq!(owner.as_deref(), Some("one"));
}

#[test]
fn cost_by_unit() {
    let cap = |unit| Cap {
        unit,
        rate: 1.0,
        burst: 1.0,
        default_tokens: 200,
    };
    assert_eq!(cap(Unit::Tokens).cost(Some(5_300)), 5_300);
    assert_eq!(cap(Unit::Tokens).cost(None), 200);
    assert_eq!(cap(Unit::Requests).cost(Some(5_300)), 1);
}

/// Guards against keys, or what recognises them, in the output of a crash.
#[test]
fn debug_manifest_without_keys() {
    let mut manifest = Manifest::clone(&manifest(100, &["one"]));
    manifest.source = Arc::from(&b"banfqasnmgkcuyj8pjbv"[..]);
    let text = format!("{manifest:?}");
    let source = format!("{:?}", &b"banf"[..]);
    assert!(!text.contains("banf") && !text.contains(source.trim_matches(['[', ']'])));
    assert!(text.contains("Digest(..)"), "{text}");
}

proptest! {
    #![proptest_config(support::cases::proptest_config(64))]

    /// Whatever keys organisations have, a key is found if and only if it was inserted, with its first owner.
    #[test]
    fn find_any_table(keys in prop::collection::vec((0..8_u8, "[a-z]{1,4}"), 0..200), unknown in "[A-Z]{1,4}") {
        let mut by_name: std::collections::BTreeMap<String, Vec<&str>> = Default::default();
        for (number, key) in &keys {
            by_name.entry(format!("o{number}")).or_default().push(key);
        }
        let mut table = Table::default();
        let mut owners = std::collections::HashMap::new();
        for (name, keys) in &by_name {
            table.insert(organisation(name), keys.iter().map(|key| Digest::of(key.as_bytes())));
            for key in keys {
                owners.entry(*key).or_insert(name);
            }
        }
        for (key, owner) in owners {
            let found = table.find(&Digest::of(key.as_bytes()));
            prop_assert_eq!(found.map(|found| &*found.name), Some(&**owner));
        }
        prop_assert!(table.find(&Digest::of(unknown.as_bytes())).is_none());
    }
}
