//! Messages are unchanged by encoding and decoding, and the handshake accepts only a MAC under the
//! shared key.

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

fn all_messages() -> Vec<Message> {
    let key = Key(*b"0123456789abcdef");
    let expiry = Duration::from_secs(1_800_000_000);
    let stream = StreamRecord {
        address: "127.0.0.1:80".parse().expect("address"),
        request: "1-2-3".to_owned(),
    };
    let with_status = |status| Descriptor {
        vm: 7,
        incarnation: 8,
        version: 9,
        zone: "zone".into(),
        caller_address: "127.0.0.1:1".parse().expect("address"),
        peer_address: "[::1]:2".parse().expect("address"),
        status,
    };
    let statuses = [
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
    let mut messages = vec![
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
            descriptors: statuses.map(with_status).to_vec(),
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
    messages.extend(
        records
            .clone()
            .map(|record| Message::Outcome { key, record }),
    );
    messages.extend(records.map(|record| Message::SealAck {
        key,
        record: Some(record),
    }));
    messages
}

#[test]
fn read_batch_round_trip() {
    let messages = all_messages();
    let stamp = Stamp {
        micros: 5,
        counter: 6,
    };
    let mut builder = capnp::message::Builder::new_default();
    write_batch(builder.init_root::<batch::Builder<'_>>(), stamp, &messages);
    let bytes = capnp::serialize::write_message_to_words(&builder);
    let reader =
        capnp::serialize::read_message(&mut &bytes[..], Default::default()).expect("encoding");
    let (decoded_stamp, decoded_messages) =
        read_batch(reader.get_root().expect("root")).expect("batch");
    assert_eq!((decoded_stamp, decoded_messages), (stamp, messages));
}

#[test]
fn verify_wrong_key_part_nonce_instance() {
    let keyring = |text| Keyring::new(Secret::derive(text), None);
    let (signer_nonce, receiver_nonce) = ([1; 16], [2; 16]);
    let instance = Instance {
        vm: 1,
        incarnation: 2,
    };
    let mac = sign(
        &keyring("k"),
        Part::Initiator,
        &signer_nonce,
        &receiver_nonce,
        instance,
    );
    assert!(verify(
        &keyring("k"),
        Part::Initiator,
        &signer_nonce,
        &receiver_nonce,
        instance,
        &mac
    ));
    assert!(!verify(
        &keyring("l"),
        Part::Initiator,
        &signer_nonce,
        &receiver_nonce,
        instance,
        &mac
    ));
    assert!(!verify(
        &keyring("k"),
        Part::Listener,
        &signer_nonce,
        &receiver_nonce,
        instance,
        &mac
    ));
    assert!(!verify(
        &keyring("k"),
        Part::Initiator,
        &receiver_nonce,
        &signer_nonce,
        instance,
        &mac
    ));
    assert!(!verify(
        &keyring("k"),
        Part::Initiator,
        &signer_nonce,
        &receiver_nonce,
        Instance { vm: 2, ..instance },
        &mac
    ));
    assert!(!verify(
        &keyring("k"),
        Part::Initiator,
        &signer_nonce,
        &receiver_nonce,
        instance,
        &mac[..16]
    ));
}
