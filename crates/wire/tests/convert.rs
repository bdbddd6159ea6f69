//! Messages survive the wire, and the handshake accepts nothing but proof of the key.

use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_core::id::{Fingerprint, Key};
use hornbeamtiller_core::message::{Answer, Descriptor, Message, Record, Status, StreamRecord};
use hornbeamtiller_core::ticket::Version;
use hornbeamtiller_core::timeline::Stamp;
use hornbeamtiller_core::token::{Instance, Keyring, Secret};
use hornbeamtiller_wire::convert::{read_batch, write_batch};
use hornbeamtiller_wire::handshake::{sign, verify, Part};
use hornbeamtiller_wire::peer_capnp::batch;

fn every_message() -> Vec<Message> {
    let key = Key(*b"0123456789abcdef");
    let expiry = Duration::from_secs(1_800_000_000);
    let stream = StreamRecord {
        address: "127.0.0.1:80".parse().expect("address"),
        request: "1-2-3".to_owned(),
    };
    let card = |status| Descriptor {
        vm: 7,
        incarnation: 8,
        version: 9,
        zone: "zone".into(),
        caller_address: "127.0.0.1:1".parse().expect("address"),
        peer_address: "[::1]:2".parse().expect("address"),
        status,
    };
    let standings = [
        Status::Joining,
        Status::Up,
        Status::Suspect,
        Status::Leaving,
        Status::Down,
    ];
    let records = [
        Record::Sealed,
        Record::Intent,
        Record::Answered(Arc::new(Answer {
            status: 201,
            fingerprint: Fingerprint([7; 16]),
            content_type: "text/plain".into(),
            body: Some(b"body"[..].into()),
        })),
        Record::NeverRan,
        Record::Uncertain,
    ];
    let mut all = vec![
        Message::Probe {
            number: 1,
            ticket: 2,
        },
        Message::ProbeAck {
            number: 3,
            ticket: 4,
        },
        Message::IndirectProbe {
            number: 5,
            target: 6,
        },
        Message::Descriptors {
            descriptors: standings.map(card).to_vec(),
        },
        Message::Intent {
            key,
            witness: 1,
            expiry,
        },
        Message::IntentAck { key, granted: true },
        Message::OutcomeAck { key },
        Message::Seal {
            key,
            witness: 2,
            expiry,
        },
        Message::SealAck { key, record: None },
        Message::StreamRecord {
            key,
            expiry,
            stream: Some(stream.clone()),
        },
        Message::StreamRecord {
            key,
            expiry,
            stream: None,
        },
        Message::StreamQuery { key },
        Message::TicketQuery { after: 7 },
        Message::Tickets {
            texts: vec!["{}".into(), "two".into()],
        },
        Message::Snapshot {
            newest: 9,
            part: 1,
            parts: 2,
            versions: vec![Version {
                name: "class/c".to_owned(),
                ticket: 8,
                text: "null".into(),
            }],
        },
        Message::StreamReply {
            key,
            stream: Some(stream),
        },
    ];
    all.extend(
        records
            .clone()
            .map(|record| Message::Outcome { key, record }),
    );
    all.extend(records.map(|record| Message::SealAck {
        key,
        record: Some(record),
    }));
    all
}

#[test]
fn batch_round_trip() {
    let messages = every_message();
    let stamp = Stamp {
        micros: 5,
        counter: 6,
    };
    let mut out = capnp::message::Builder::new_default();
    write_batch(out.init_root::<batch::Builder<'_>>(), stamp, &messages);
    let bytes = capnp::serialize::write_message_to_words(&out);
    let read =
        capnp::serialize::read_message(&mut &bytes[..], Default::default()).expect("encoding");
    let (read_stamp, read_messages) = read_batch(read.get_root().expect("root")).expect("batch");
    assert_eq!((read_stamp, read_messages), (stamp, messages));
}

#[test]
fn handshake_other_key_part_nonce_seat() {
    let ring = |text| Keyring::new(Secret::derive(text), None);
    let (own, other) = ([1; 16], [2; 16]);
    let instance = Instance {
        vm: 1,
        incarnation: 2,
    };
    let mac = sign(&ring("k"), Part::Initiator, &own, &other, instance);
    assert!(verify(
        &ring("k"),
        Part::Initiator,
        &own,
        &other,
        instance,
        &mac
    ));
    assert!(!verify(
        &ring("l"),
        Part::Initiator,
        &own,
        &other,
        instance,
        &mac
    ));
    assert!(!verify(
        &ring("k"),
        Part::Listener,
        &own,
        &other,
        instance,
        &mac
    ));
    assert!(!verify(
        &ring("k"),
        Part::Initiator,
        &other,
        &own,
        instance,
        &mac
    ));
    assert!(!verify(
        &ring("k"),
        Part::Initiator,
        &own,
        &other,
        Instance { vm: 2, ..instance },
        &mac
    ));
    assert!(!verify(
        &ring("k"),
        Part::Initiator,
        &own,
        &other,
        instance,
        &mac[..16]
    ));
}
