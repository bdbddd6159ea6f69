//! Load reports and admissions survive the encoding.

mod samples;

use hornbeamtiller_relay::overload::{Admission, Report};
use hornbeamtiller_wire::fleet_capnp::{admission, load_report};
use hornbeamtiller_wire::overload::{read_admission, read_report, write_admission, write_report};
use samples::report;

fn round_trip(report: &Report) -> Report {
    let mut message = capnp::message::Builder::new_default();
    write_report(report, message.init_root::<load_report::Builder<'_>>());
    let reader = message.get_root_as_reader::<load_report::Reader<'_>>();
    read_report(reader.expect("a report")).expect("valid fields")
}

fn round_trip_admission(known: Option<&Admission>) -> Option<Admission> {
    let mut message = capnp::message::Builder::new_default();
    write_admission(known, message.init_root::<admission::Builder<'_>>());
    let reader = message.get_root_as_reader::<admission::Reader<'_>>();
    read_admission(reader.expect("an admission")).expect("valid fields")
}

#[test]
fn report_complete() {
    assert_eq!(round_trip(&report()), report());
}

/// Guards against rates from the wire that would make a monitor admit nothing, or anything.
#[test]
fn report_invalid_rate() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let sent = Report {
            served: rate,
            ..report()
        };
        assert_eq!(round_trip(&sent).served, 0.0);
    }
}

#[test]
fn admission_complete() {
    let known = samples::admission();
    assert_eq!(round_trip_admission(Some(&known)), Some(known));
}

/// The default values of the schema mean that everything is admitted.
#[test]
fn admission_none() {
    assert_eq!(round_trip_admission(None), None);
}
