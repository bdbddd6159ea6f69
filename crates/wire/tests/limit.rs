//! Limits of runners survive the encoding.

use std::time::Duration;

use hornbeamtiller_relay::limit::{Rate, Record};
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_wire::fleet_capnp::limit;
use hornbeamtiller_wire::limit::{read, write};

fn record(rate: Option<Rate>) -> Record {
    Record {
        instance: Instance {
            runner: "pay-1".into(),
            started_at_ms: u64::MAX,
        },
        rate,
        age: Duration::from_millis(1_250),
    }
}

fn round_trip(record: &Record) -> Record {
    let mut message = capnp::message::Builder::new_default();
    write(record, message.init_root::<limit::Builder<'_>>());
    let reader = message.get_root_as_reader::<limit::Reader<'_>>();
    read(reader.expect("a limit")).expect("a record")
}

#[test]
fn record_complete() {
    for rate in [Some(5.3), Some(0.4), None] {
        assert_eq!(round_trip(&record(rate)), record(rate));
    }
}

/// Guards against rates that no VM would divide by or wait for.
#[test]
fn record_invalid_rate() {
    for rate in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        assert_eq!(round_trip(&record(Some(rate))), record(None));
    }
}
