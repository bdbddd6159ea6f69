//! Origins of streams survive the encoding.

use std::time::Duration;

use hornbeamtiller_relay::cache_index::Holding;
use hornbeamtiller_relay::origin::{Answer, Origin, Record};
use hornbeamtiller_wire::fleet_capnp::{fleet, origin_answer};
use hornbeamtiller_wire::origin::{
    read_answer, read_records, read_stream, write_answer, write_records, write_stream,
};

fn origin(build: &str) -> Origin {
    Origin {
        endpoint: "llm".into(),
        build: build.into(),
    }
}

fn holding(engine: Option<&str>) -> Holding {
    Holding {
        origin: origin("v1"),
        engine: engine.map(Into::into),
    }
}

#[test]
fn records_complete() {
    let record = |stream, build| Record {
        stream,
        session: Some(5),
        origin: origin(build),
        lifetime: Duration::from_secs(28),
    };
    let sent = vec![record(u64::MAX, "v1"), record(1, "v1.2")];
    let mut message = capnp::message::Builder::new_default();
    let params = message.init_root::<fleet::record_origins_params::Builder<'_>>();
    write_records(&sent, params.init_records(2));
    let reader = message.get_root_as_reader::<fleet::record_origins_params::Reader<'_>>();
    let records = reader.expect("parameters").get_records();
    let received = read_records(records.expect("records")).expect("valid records");
    assert_eq!(received, sent);
}

#[test]
fn answer_each() {
    let encode = |answer: &Answer| {
        let mut message = capnp::message::Builder::new_default();
        write_answer(answer, message.init_root());
        let reader = message.get_root_as_reader::<origin_answer::Reader<'_>>();
        read_answer(reader.expect("an answer")).expect("a valid answer")
    };
    for answer in [
        Answer::Known(origin("v2")),
        Answer::Sole("v1".into()),
        Answer::Mixed,
        Answer::Unknown,
        Answer::Pending,
        Answer::Held(holding(Some("i-1"))),
        Answer::Held(holding(None)),
    ] {
        assert_eq!(encode(&answer), answer);
    }
    assert_eq!(encode(&Answer::Unresponsive), Answer::Unknown);
}

#[test]
fn stream_each() {
    for stream in [None, Some(1), Some(u64::MAX)] {
        assert_eq!(read_stream(write_stream(stream)), stream);
    }
}
