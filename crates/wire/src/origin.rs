//! Conversion of the origins of streams to and from the fleet schema.

use std::time::Duration;

use hornbeamtiller_relay::cache_index::Holding;
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::origin::{Answer, Origin, Record};

use crate::fleet_capnp as schema;
use crate::view::{millis, Error};

/// Number on the wire in place of a stream that is not named.
const STREAM_UNNAMED: id::Stream = 0;
/// Number on the wire in place of a session that is not known.
const SESSION_NONE: id::Part = 0;

/// Encodes records.
pub fn write_records(
    records: &[Record],
    mut out: capnp::struct_list::Builder<'_, schema::origin_record::Owned>,
) {
    for (index, record) in records.iter().enumerate() {
        let mut out = out.reborrow().get(index as u32);
        out.set_stream(record.stream);
        out.set_endpoint(&*record.origin.endpoint);
        out.set_build(&*record.origin.build);
        out.set_lifetime_millis(millis(record.lifetime));
        out.set_session(record.session.unwrap_or(SESSION_NONE));
    }
}

/// Decodes records.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_records(
    records: capnp::struct_list::Reader<'_, schema::origin_record::Owned>,
) -> Result<Vec<Record>, Error> {
    records.iter().map(read_record).collect()
}

fn read_record(record: schema::origin_record::Reader<'_>) -> Result<Record, Error> {
    Ok(Record {
        stream: record.get_stream(),
        session: Some(record.get_session()).filter(|session| *session != SESSION_NONE),
        origin: Origin {
            endpoint: record.get_endpoint()?.to_str()?.into(),
            build: record.get_build()?.to_str()?.into(),
        },
        lifetime: Duration::from_millis(record.get_lifetime_millis().into()),
    })
}

/// Encodes the number of a stream, which may not be named.
pub fn write_stream(stream: Option<id::Stream>) -> u64 {
    stream.unwrap_or(STREAM_UNNAMED)
}

/// Decodes the number of a stream, which may not be named.
pub fn read_stream(stream: u64) -> Option<id::Stream> {
    (stream != STREAM_UNNAMED).then_some(stream)
}

/// Encodes an answer. That a VM did not respond is no answer, and encoded as one that knows nothing.
pub fn write_answer(answer: &Answer, mut out: schema::origin_answer::Builder<'_>) {
    match answer {
        Answer::Known(origin) => write_origin(origin, out.init_known()),
        Answer::Held(holding) => {
            let mut out = out.init_held();
            out.set_engine(holding.engine.as_deref().unwrap_or_default());
            write_origin(&holding.origin, out.init_origin());
        }
        Answer::Sole(build) => out.set_sole(&**build),
        Answer::Mixed => out.set_mixed(()),
        Answer::Pending => out.set_pending(()),
        Answer::Unknown | Answer::Unresponsive => out.set_unknown(()),
    }
}

fn write_origin(origin: &Origin, mut out: schema::origin::Builder<'_>) {
    out.set_endpoint(&*origin.endpoint);
    out.set_build(&*origin.build);
}

fn read_origin(origin: schema::origin::Reader<'_>) -> Result<Origin, Error> {
    Ok(Origin {
        endpoint: origin.get_endpoint()?.to_str()?.into(),
        build: origin.get_build()?.to_str()?.into(),
    })
}

/// Decodes an answer.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_answer(answer: schema::origin_answer::Reader<'_>) -> Result<Answer, Error> {
    use schema::origin_answer::Which;
    Ok(match answer.which()? {
        Which::Known(origin) => Answer::Known(read_origin(origin?)?),
        Which::Held(holding) => {
            let holding = holding?;
            let engine = holding.get_engine()?.to_str()?;
            Answer::Held(Holding {
                origin: read_origin(holding.get_origin()?)?,
                engine: (!engine.is_empty()).then(|| engine.into()),
            })
        }
        Which::Sole(build) => Answer::Sole(build?.to_str()?.into()),
        Which::Mixed(()) => Answer::Mixed,
        Which::Unknown(()) => Answer::Unknown,
        Which::Pending(()) => Answer::Pending,
    })
}
