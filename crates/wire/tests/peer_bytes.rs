//! Messages of peers whose bytes were changed, through decoding and the reducer: none ends the process, nothing runs twice,
//! refusals are true, and nothing is left of any call.
//!
//! `HORNBEAMTILLER_CASES` sets the number of cases, `HORNBEAMTILLER_SEED` the seed.

mod samples;
#[path = "../../relay/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize::{read_message, write_message_to_words};
use hornbeamtiller_relay::allocation::{Ask, Batch, Claim, Grant, Refusal, Urgency};
use hornbeamtiller_relay::cap::{self, Answer, Entry, Verdict, Want};
use hornbeamtiller_relay::crash::{Crash, Feature, Hold, Record as CrashRecord, Suspect};
use hornbeamtiller_relay::departure;
use hornbeamtiller_relay::event::{Effect, Event};
use hornbeamtiller_relay::limit;
use hornbeamtiller_relay::origin::{self, Origin};
use hornbeamtiller_relay::pool::{Instance, Load};
use hornbeamtiller_relay::speed::Reading;
use hornbeamtiller_wire::fleet_capnp as schema;
use hornbeamtiller_wire::fleet_capnp::fleet;
use hornbeamtiller_wire::{allocation, cap as cap_wire, origin as origin_wire};
use hornbeamtiller_wire::{overload as overload_wire, view};
use proptest::prelude::*;
use proptest::sample::select;
use support::caps;
use support::observe::{self, arrive, check_end, numbers, Observer};
use support::{member, ms, Harness};

/// The peer that sends.
const PEER: &str = "vm-2";
/// Bytes of the table of segments, which stays as it is, and of a word.
const TABLE_BYTES: usize = 8;
const WORD_BYTES: usize = 8;
/// Tokens a second and seconds of the quota of an organisation.
const QUOTA_RATE: f64 = 29_000.0;
const QUOTA_BURST_S: f64 = 1.0;

/// What peers send.
#[derive(Debug, Clone, Copy)]
enum Kind {
    View,
    Claim,
    Grants,
    Origins,
    CreditAsk,
    Credit,
    LoadReport,
    Admission,
}

const KINDS: [Kind; 8] = [
    Kind::View,
    Kind::Claim,
    Kind::Grants,
    Kind::Origins,
    Kind::CreditAsk,
    Kind::Credit,
    Kind::LoadReport,
    Kind::Admission,
];

fn instance() -> Instance {
    Instance {
        runner: "decode-1".into(),
        started_at_ms: 1,
    }
}

fn sample_view() -> view::View {
    let suspect = |feature| Suspect {
        had_begun: true,
        feature,
        circumstance: support::circumstance(3),
        was_sound: false,
    };
    let report = hornbeamtiller_relay::crash::Report {
        crashes: vec![Crash {
            instance: instance(),
            age: ms(1_250),
            suspects: vec![suspect(Feature::Part(4)), suspect(Feature::Request(5))],
        }],
        features: vec![CrashRecord {
            feature: Feature::Part(4),
            begun_age: Some(ms(40)),
            sound_age: Some(ms(70)),
            hold: Some(Hold {
                generation: 2,
                is_active: true,
                age: ms(500),
                had_begun: true,
            }),
        }],
    };
    let mut view = support::view(member(PEER, 2, 1), true).with_manifest(None);
    view.members = vec![member("vm-3", 3, 1)];
    view.revision = 11;
    view.last_change = 11;
    view.runners = Some(support::descriptors());
    view.loads = vec![("decode-1".into(), load())];
    view.limits = vec![limit::Record {
        instance: instance(),
        rate: Some(5.5),
        age: ms(200),
    }];
    view.crashes = Some(report);
    view.departures = vec![departure::Record {
        instance: instance(),
        age: ms(100),
    }];
    view.unreached = vec!["llm".into()];
    view.reached = vec!["pay".into()];
    view
}

fn load() -> Load {
    Load {
        requests: 2,
        tokens: 8_000,
        prefill_tokens: 3_200,
    }
}

fn sample_claim() -> Claim {
    let ask = |call, urgency, holder: Option<&str>| Ask {
        call,
        endpoint: "llm".into(),
        build: None,
        tokens: 4_000,
        prefill_tokens: 3_200,
        group: 0,
        groups: 1,
        urgency,
        holder: holder.map(Into::into),
        excluded: vec!["decode-2".into()],
        priority: 0,
        organisation: None,
        patience: Some(ms(1_900)),
    };
    Claim {
        vm: PEER.into(),
        incarnation: 1,
        peer_address: member(PEER, 2, 1).peer_address,
        sequence: 1,
        last_grant: 0,
        loads: vec![("decode-1".into(), load())],
        asks: vec![
            ask(1, Urgency::Started, Some("prefill-1")),
            ask(2, Urgency::InTime(ms(620)), None),
            ask(3, Urgency::Late, None),
        ],
        readings: vec![(
            "decode-1".into(),
            Reading {
                unit_time: Duration::from_micros(18),
                samples: 3,
                slowdown: Some(250),
                age: ms(120),
            },
        )],
    }
}

fn sample_batch() -> Batch {
    Batch {
        allocator: "vm-1".into(),
        incarnation: 100,
        grants: vec![Grant {
            number: 1,
            call: 1,
            decode: "decode-1".into(),
            prefill: Some("prefill-1".into()),
            queued_tokens: 6_400,
        }],
        refusals: vec![Refusal {
            call: 2,
            group: 0,
            retry_after: ms(1_250),
        }],
    }
}

fn sample_answers() -> Vec<Answer> {
    let refused = Verdict::Refused {
        wait: ms(120),
        return_after: ms(4_999),
    };
    let verdicts = [Verdict::Granted, refused, Verdict::Unknown];
    let answers = verdicts.into_iter().zip(1..).map(|(verdict, number)| {
        let want = Want {
            number,
            cost: 9_000,
        };
        Answer {
            organisation: caps::name(0),
            want,
            verdict,
            is_scarce: true,
        }
    });
    answers.collect()
}

fn sample_entries() -> Vec<Entry> {
    let want = Want {
        number: 7,
        cost: 5_300,
    };
    [Some(want), None]
        .map(|want| Entry {
            organisation: caps::name(0),
            want,
            spent: 700,
        })
        .to_vec()
}

/// The bytes of a message as a sound peer sends it.
fn encode(kind: Kind) -> Vec<u8> {
    let mut message = Builder::<HeapAllocator>::new_default();
    match kind {
        Kind::View => view::write(&sample_view(), message.init_root()),
        Kind::Claim => allocation::write_claim(&sample_claim(), message.init_root()),
        Kind::Grants => allocation::write_batch(&sample_batch(), message.init_root()),
        Kind::Origins => {
            let record = origin::Record {
                stream: 7,
                session: Some(9),
                origin: Origin {
                    endpoint: "llm".into(),
                    build: support::BUILD.into(),
                },
                lifetime: ms(5_000),
            };
            let params = message.init_root::<fleet::record_origins_params::Builder<'_>>();
            origin_wire::write_records(&[record], params.init_records(1));
        }
        Kind::CreditAsk => {
            let entries = sample_entries();
            let params = message.init_root::<fleet::ask_credit_params::Builder<'_>>();
            cap_wire::write_entries(&entries, params.init_entries(entries.len() as u32));
        }
        Kind::Credit => {
            let answers = sample_answers();
            let params = message.init_root::<fleet::credit_params::Builder<'_>>();
            cap_wire::write_answers(&answers, params.init_answers(answers.len() as u32));
        }
        Kind::LoadReport => overload_wire::write_report(&samples::report(), message.init_root()),
        Kind::Admission => {
            overload_wire::write_admission(Some(&samples::admission()), message.init_root());
        }
    }
    write_message_to_words(&message)
}

/// Decodes a message as a VM does; none if it is refused.
fn decode(kind: Kind, bytes: &[u8]) -> Option<Event> {
    let message = read_message(bytes, ReaderOptions::new()).ok()?;
    Some(match kind {
        Kind::View => {
            let view = view::read(message.get_root::<schema::view::Reader<'_>>().ok()?).ok()?;
            let view = view.with_manifest::<Arc<_>>(None).into();
            Event::ViewReceived { view }
        }
        Kind::Claim => Event::ClaimReceived {
            claim: allocation::read_claim(message.get_root().ok()?).ok()?,
        },
        Kind::Grants => Event::GrantsReceived {
            batch: allocation::read_batch(message.get_root().ok()?).ok()?,
        },
        Kind::Origins => {
            let params = message.get_root::<fleet::record_origins_params::Reader<'_>>();
            let records = origin_wire::read_records(params.ok()?.get_records().ok()?).ok()?;
            Event::OriginsReceived { records }
        }
        Kind::CreditAsk => {
            let params = message.get_root::<fleet::ask_credit_params::Reader<'_>>();
            let entries = cap_wire::read_entries(params.ok()?.get_entries().ok()?).ok()?;
            let address = member(PEER, 2, 1).peer_address;
            let ask = cap::Ask { address, entries };
            Event::CreditAsked { ask }
        }
        Kind::Credit => {
            let params = message.get_root::<fleet::credit_params::Reader<'_>>();
            let answers = cap_wire::read_answers(params.ok()?.get_answers().ok()?).ok()?;
            Event::CreditReceived { answers }
        }
        Kind::LoadReport => Event::LoadReported {
            report: overload_wire::read_report(message.get_root().ok()?).ok()?,
        },
        Kind::Admission => Event::AdmissionTold {
            endpoint: "pay".into(),
            admission: overload_wire::read_admission(message.get_root().ok()?).ok()?,
        },
    })
}

/// How a part of a message is changed.
#[derive(Debug, Clone)]
enum Change {
    /// A whole word, where numbers of 64 bits and pointers stand.
    Word(usize, u64),
    /// A half of one, where a smaller number stands.
    Half(usize, u32),
    /// One bit.
    Bit(usize),
}

fn change(bytes: &mut [u8], change: &Change) {
    let body = &mut bytes[TABLE_BYTES..];
    let words = body.len() / WORD_BYTES;
    match *change {
        Change::Word(at, word) => {
            let start = at % words * WORD_BYTES;
            body[start..start + WORD_BYTES].copy_from_slice(&word.to_le_bytes());
        }
        Change::Half(at, half) => {
            let start = at % (2 * words) * (WORD_BYTES / 2);
            body[start..start + WORD_BYTES / 2].copy_from_slice(&half.to_le_bytes());
        }
        Change::Bit(at) => {
            let at = at % (body.len() * 8);
            body[at / 8] ^= 1 << (at % 8);
        }
    }
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let at = || any::<usize>();
    let one = prop_oneof![
        2 => (at(), numbers()).prop_map(|(at, word)| Change::Word(at, word)),
        3 => (at(), numbers()).prop_map(|(at, half)| Change::Half(at, half as u32)),
        2 => at().prop_map(Change::Bit),
    ];
    proptest::collection::vec(one, 0..6)
}

/// One event.
#[derive(Debug, Clone)]
enum Step {
    Message(Kind, Vec<Change>),
    Arrive(usize, bool),
    End(usize, usize),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = || 0_usize..64;
    let one = prop_oneof![
        6 => (select(&KINDS[..]), changes())
            .prop_map(|(kind, changes)| Step::Message(kind, changes)),
        3 => (index(), any::<bool>()).prop_map(|(path, has_key)| Step::Arrive(path, has_key)),
        2 => (index(), index()).prop_map(|(which, how)| Step::End(which, how)),
        3 => prop_oneof![9 => 1_u64..400, 1 => 400_u64..60_000].prop_map(Step::Advance),
    ];
    proptest::collection::vec(one, 1..40)
}

fn apply(harness: &mut Harness, observer: &mut Observer, step: Step) -> Vec<Effect> {
    match step {
        Step::Message(kind, changes) => {
            let mut bytes = encode(kind);
            changes.iter().for_each(|one| change(&mut bytes, one));
            decode(kind, &bytes).map_or_else(Vec::new, |event| harness.apply(event))
        }
        Step::Arrive(path, has_key) => arrive(harness, observer, path, |mut arrival| {
            if has_key {
                arrival.credential = caps::request(arrival.call, 0, 1).credential;
            }
            arrival
        }),
        Step::End(which, how) => {
            let ended = observer.end_one(which, how);
            ended.map_or_else(Vec::new, |(attempt, outcome)| {
                harness.end_attempt(attempt, outcome)
            })
        }
        Step::Advance(time) => harness.advance(ms(time)),
    }
}

fn open(seed: u64) -> Harness {
    let mut harness = observe::open(seed);
    harness.state.settings.overload_control = seed & 4 != 0;
    if seed & 8 != 0 {
        let quota = Some(caps::cap(QUOTA_RATE, QUOTA_BURST_S));
        let manifest = caps::manifest_with_caps(3, &[quota]);
        harness.apply(Event::ManifestRead { manifest });
    }
    harness
}

#[test]
fn decode_unchanged() {
    for kind in KINDS {
        assert!(decode(kind, &encode(kind)).is_some(), "{kind:?}");
    }
}

proptest! {
    #![proptest_config(support::cases::proptest_config(1_000))]

    #[test]
    fn reduce_any_peer_bytes(seed in any::<u64>(), steps in steps()) {
        let mut harness = open(seed);
        let mut observer = Observer::default();
        for step in steps {
            let effects = apply(&mut harness, &mut observer, step);
            observer.observe(&effects);
        }
        check_end(&mut harness, &mut observer);
    }
}
