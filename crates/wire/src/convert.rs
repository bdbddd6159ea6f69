//! Conversion between the reducer's messages and those of the peer schema.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_core::id::{Fingerprint, Key};
use hornbeamtiller_core::message::{Answer, Descriptor, Message, Record, Status, StreamRecord};
use hornbeamtiller_core::ticket::Version;
use hornbeamtiller_core::timeline::Stamp;

use crate::peer_capnp as schema;

/// Why a message could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid Cap'n Proto encoding.
    #[error("invalid encoding: {0}")]
    Encoding(#[from] capnp::Error),
    /// A union variant or enumerant that is not in this version of the schema.
    #[error("variant {0} is not in the schema")]
    UnknownVariant(u16),
    /// A text field is not UTF-8.
    #[error("text field is not UTF-8")]
    InvalidUtf8(#[from] std::str::Utf8Error),
    /// An IP address has a length other than 4 or 16 bytes.
    #[error("IP address has {0} bytes; expected 4 or 16")]
    AddressLength(usize),
}

impl From<capnp::NotInSchema> for Error {
    fn from(unknown: capnp::NotInSchema) -> Self {
        Self::UnknownVariant(unknown.0)
    }
}

type Result<T> = std::result::Result<T, Error>;

/// Encodes a stamp.
pub fn write_stamp(mut out: schema::stamp::Builder<'_>, stamp: Stamp) {
    out.set_micros(stamp.micros);
    out.set_counter(stamp.counter);
}

/// Decodes a stamp.
pub fn read_stamp(stamp: schema::stamp::Reader<'_>) -> Stamp {
    Stamp {
        micros: stamp.get_micros(),
        counter: stamp.get_counter(),
    }
}

/// Encodes a batch of messages; expiries are truncated to whole seconds.
pub fn write_batch(mut out: schema::batch::Builder<'_>, stamp: Stamp, messages: &[Message]) {
    write_stamp(out.reborrow().init_stamp(), stamp);
    let mut list = out.init_messages(messages.len() as u32);
    for (index, message) in messages.iter().enumerate() {
        write_message(list.reborrow().get(index as u32), message);
    }
}

/// Decodes a batch of messages.
///
/// # Errors
///
/// [`Error`] for the first message that can't be decoded; the whole batch is rejected then.
pub fn read_batch(batch: schema::batch::Reader<'_>) -> Result<(Stamp, Vec<Message>)> {
    let stamp = read_stamp(batch.get_stamp()?);
    let messages = batch
        .get_messages()?
        .iter()
        .map(read_message)
        .collect::<Result<_>>()?;
    Ok((stamp, messages))
}

fn write_message(mut out: schema::message::Builder<'_>, message: &Message) {
    match message {
        Message::Probe { number, ticket } => write_probe(out.init_probe(), *number, *ticket),
        Message::ProbeAck { number, ticket } => write_probe(out.init_probe_ack(), *number, *ticket),
        Message::IndirectProbe { number, target } => {
            let mut out = out.init_probe_for();
            out.set_number(*number);
            out.set_target(*target);
        }
        Message::TicketQuery { after } => out.set_ticket_ask(*after),
        Message::Tickets { texts } => {
            let mut list = out.init_tickets(texts.len() as u32);
            for (index, text) in texts.iter().enumerate() {
                list.set(index as u32, &**text);
            }
        }
        Message::Snapshot {
            newest,
            part,
            parts,
            versions,
        } => {
            let mut out = out.init_snapshot();
            out.set_newest(*newest);
            out.set_part(*part);
            out.set_parts(*parts);
            write_versions(out.init_versions(versions.len() as u32), versions);
        }
        Message::Descriptors { descriptors } => {
            let mut list = out.init_cards(descriptors.len() as u32);
            for (index, descriptor) in descriptors.iter().enumerate() {
                write_descriptor(list.reborrow().get(index as u32), descriptor);
            }
        }
        Message::Intent {
            key,
            witness,
            expiry,
        } => {
            let mut out = out.init_intent();
            write_key(out.reborrow().init_key(), *key);
            out.set_witness(*witness);
            out.set_expiry_seconds(expiry.as_secs());
        }
        Message::IntentAck { key, granted } => {
            let mut out = out.init_intent_ack();
            write_key(out.reborrow().init_key(), *key);
            out.set_granted(*granted);
        }
        Message::Outcome { key, record } => write_outcome(out.init_outcome(), *key, Some(record)),
        Message::OutcomeAck { key } => write_key(out.init_outcome_ack(), *key),
        Message::Seal {
            key,
            witness,
            expiry,
        } => {
            let mut out = out.init_seal();
            write_key(out.reborrow().init_key(), *key);
            out.set_witness(*witness);
            out.set_expiry_seconds(expiry.as_secs());
        }
        Message::StreamRecord {
            key,
            expiry,
            stream,
        } => {
            write_stream_record(out.init_hold(), *key, *expiry, stream.as_ref());
        }
        Message::StreamQuery { key } => write_key(out.init_hold_ask(), *key),
        Message::StreamReply { key, stream } => {
            write_stream_record(out.init_hold_told(), *key, Duration::ZERO, stream.as_ref());
        }
        Message::SealAck { key, record } => {
            write_outcome(out.init_seal_ack(), *key, record.as_ref())
        }
    }
}

fn read_message(message: schema::message::Reader<'_>) -> Result<Message> {
    use schema::message::Which;
    Ok(match message.which()? {
        Which::Probe(probe) => {
            let probe = probe?;
            Message::Probe {
                number: probe.get_number(),
                ticket: probe.get_ticket(),
            }
        }
        Which::ProbeAck(probe) => {
            let probe = probe?;
            Message::ProbeAck {
                number: probe.get_number(),
                ticket: probe.get_ticket(),
            }
        }
        Which::ProbeFor(probe) => {
            let probe = probe?;
            Message::IndirectProbe {
                number: probe.get_number(),
                target: probe.get_target(),
            }
        }
        Which::Cards(descriptors) => Message::Descriptors {
            descriptors: descriptors?
                .iter()
                .map(read_descriptor)
                .collect::<Result<_>>()?,
        },
        Which::Intent(intent) => {
            let intent = intent?;
            Message::Intent {
                key: read_key(intent.get_key()?),
                witness: intent.get_witness(),
                expiry: Duration::from_secs(intent.get_expiry_seconds()),
            }
        }
        Which::IntentAck(ack) => {
            let ack = ack?;
            Message::IntentAck {
                key: read_key(ack.get_key()?),
                granted: ack.get_granted(),
            }
        }
        Which::Outcome(outcome) => {
            let (key, record) = read_outcome(outcome?)?;
            Message::Outcome {
                key,
                record: record.unwrap_or(Record::Uncertain),
            }
        }
        Which::OutcomeAck(key) => Message::OutcomeAck {
            key: read_key(key?),
        },
        Which::Seal(seal) => {
            let seal = seal?;
            Message::Seal {
                key: read_key(seal.get_key()?),
                witness: seal.get_witness(),
                expiry: Duration::from_secs(seal.get_expiry_seconds()),
            }
        }
        Which::TicketAsk(after) => Message::TicketQuery { after },
        Which::Tickets(texts) => {
            let read_text =
                |text: capnp::Result<capnp::text::Reader<'_>>| Ok(text?.to_str()?.into());
            Message::Tickets {
                texts: texts?.iter().map(read_text).collect::<Result<_>>()?,
            }
        }
        Which::Snapshot(snapshot) => {
            let snapshot = snapshot?;
            Message::Snapshot {
                newest: snapshot.get_newest(),
                part: snapshot.get_part(),
                parts: snapshot.get_parts(),
                versions: snapshot
                    .get_versions()?
                    .iter()
                    .map(read_version)
                    .collect::<Result<_>>()?,
            }
        }
        Which::Hold(record) => {
            let (key, expiry, stream) = read_stream_record(record?)?;
            Message::StreamRecord {
                key,
                expiry,
                stream,
            }
        }
        Which::HoldAsk(key) => Message::StreamQuery {
            key: read_key(key?),
        },
        Which::HoldTold(record) => {
            let (key, _, stream) = read_stream_record(record?)?;
            Message::StreamReply { key, stream }
        }
        Which::SealAck(ack) => {
            let (key, record) = read_outcome(ack?)?;
            Message::SealAck { key, record }
        }
    })
}

fn write_probe(mut out: schema::probe::Builder<'_>, number: u64, ticket: u64) {
    out.set_number(number);
    out.set_ticket(ticket);
}

fn write_key(mut out: schema::key::Builder<'_>, key: Key) {
    let bits = u128::from_be_bytes(key.0);
    out.set_high((bits >> 64) as u64);
    out.set_low(bits as u64);
}

fn read_key(key: schema::key::Reader<'_>) -> Key {
    let bits = (u128::from(key.get_high()) << 64) | u128::from(key.get_low());
    Key(bits.to_be_bytes())
}

fn write_answer(mut out: schema::answer::Builder<'_>, answer: &Answer) {
    out.set_status(answer.status);
    write_key(out.reborrow().init_fingerprint(), Key(answer.fingerprint.0));
    out.set_kind(&*answer.content_type);
    if let Some(body) = &answer.body {
        out.set_body(body);
        out.set_has_body(true);
    }
}

fn read_answer(answer: schema::answer::Reader<'_>) -> Result<Answer> {
    let body = answer
        .get_has_body()
        .then(|| answer.get_body())
        .transpose()?;
    Ok(Answer {
        status: answer.get_status(),
        fingerprint: Fingerprint(read_key(answer.get_fingerprint()?).0),
        content_type: answer.get_kind()?.to_str()?.into(),
        body: body.map(Into::into),
    })
}

fn write_outcome(mut out: schema::outcome::Builder<'_>, key: Key, record: Option<&Record>) {
    write_key(out.reborrow().init_key(), key);
    let mut out = out.init_record();
    match record {
        None => out.set_none(()),
        Some(Record::Sealed) => out.set_sealed(()),
        Some(Record::Intent) => out.set_intent(()),
        Some(Record::Answered(answer)) => write_answer(out.init_answered(), answer),
        Some(Record::NeverRan) => out.set_never_ran(()),
        Some(Record::Uncertain) => out.set_uncertain(()),
    }
}

fn read_outcome(outcome: schema::outcome::Reader<'_>) -> Result<(Key, Option<Record>)> {
    use schema::record::Which;
    let record = match outcome.get_record()?.which()? {
        Which::None(()) => None,
        Which::Sealed(()) => Some(Record::Sealed),
        Which::Intent(()) => Some(Record::Intent),
        Which::Answered(answer) => Some(Record::Answered(Arc::new(read_answer(answer?)?))),
        Which::NeverRan(()) => Some(Record::NeverRan),
        Which::Uncertain(()) => Some(Record::Uncertain),
    };
    Ok((read_key(outcome.get_key()?), record))
}

fn write_versions(
    mut list: capnp::struct_list::Builder<'_, schema::version::Owned>,
    versions: &[Version],
) {
    for (index, version) in versions.iter().enumerate() {
        let mut out = list.reborrow().get(index as u32);
        out.set_name(&*version.name);
        out.set_ticket(version.ticket);
        out.set_text(&*version.text);
    }
}

fn read_version(version: schema::version::Reader<'_>) -> Result<Version> {
    Ok(Version {
        name: version.get_name()?.to_str()?.to_owned(),
        ticket: version.get_ticket(),
        text: version.get_text()?.to_str()?.into(),
    })
}

fn write_stream_record(
    mut out: schema::hold::Builder<'_>,
    key: Key,
    expiry: Duration,
    stream: Option<&StreamRecord>,
) {
    write_key(out.reborrow().init_key(), key);
    out.set_expiry_seconds(expiry.as_secs());
    if let Some(stream) = stream {
        write_address(out.reborrow().init_address(), stream.address);
        out.set_request(&*stream.request);
    }
}

fn read_stream_record(
    record: schema::hold::Reader<'_>,
) -> Result<(Key, Duration, Option<StreamRecord>)> {
    let key = read_key(record.get_key()?);
    let expiry = Duration::from_secs(record.get_expiry_seconds());
    let request = record.get_request()?.to_str()?;
    if request.is_empty() {
        return Ok((key, expiry, None));
    }
    let address = read_address(record.get_address()?)?;
    Ok((
        key,
        expiry,
        Some(StreamRecord {
            address,
            request: request.to_owned(),
        }),
    ))
}

fn write_address(mut out: schema::address::Builder<'_>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => out.set_ip(&ip.octets()),
        IpAddr::V6(ip) => out.set_ip(&ip.octets()),
    }
    out.set_port(address.port());
}

fn read_address(address: schema::address::Reader<'_>) -> Result<SocketAddr> {
    let bytes = address.get_ip()?;
    let ip = if let Ok(ip) = <[u8; 4]>::try_from(bytes) {
        IpAddr::from(ip)
    } else if let Ok(ip) = <[u8; 16]>::try_from(bytes) {
        IpAddr::from(ip)
    } else {
        return Err(Error::AddressLength(bytes.len()));
    };
    Ok(SocketAddr::new(ip, address.get_port()))
}

fn write_descriptor(mut out: schema::card::Builder<'_>, descriptor: &Descriptor) {
    out.set_vm(descriptor.vm);
    out.set_incarnation(descriptor.incarnation);
    out.set_version(descriptor.version);
    out.set_zone(&*descriptor.zone);
    write_address(
        out.reborrow().init_caller_address(),
        descriptor.caller_address,
    );
    write_address(out.reborrow().init_peer_address(), descriptor.peer_address);
    out.set_standing(match descriptor.status {
        Status::Joining => schema::Standing::Joining,
        Status::Up => schema::Standing::Up,
        Status::Suspect => schema::Standing::Suspect,
        Status::Leaving => schema::Standing::Leaving,
        Status::Down => schema::Standing::Down,
    });
}

fn read_descriptor(descriptor: schema::card::Reader<'_>) -> Result<Descriptor> {
    Ok(Descriptor {
        vm: descriptor.get_vm(),
        incarnation: descriptor.get_incarnation(),
        version: descriptor.get_version(),
        zone: descriptor.get_zone()?.to_str()?.into(),
        caller_address: read_address(descriptor.get_caller_address()?)?,
        peer_address: read_address(descriptor.get_peer_address()?)?,
        status: match descriptor.get_standing()? {
            schema::Standing::Joining => Status::Joining,
            schema::Standing::Up => Status::Up,
            schema::Standing::Suspect => Status::Suspect,
            schema::Standing::Leaving => Status::Leaving,
            schema::Standing::Down => Status::Down,
        },
    })
}
