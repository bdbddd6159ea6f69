//! Crashes and parts of prompts survive the encoding.

use std::time::Duration;

use hornbeamtiller_relay::crash::{Circumstance, Crash, Feature, Hold, Record, Report, Suspect};
use hornbeamtiller_relay::pool::Instance;
use hornbeamtiller_wire::crash::{read, write};
use hornbeamtiller_wire::fleet_capnp::view;

fn round_trip(report: Option<&Report>) -> Option<Report> {
    let mut message = capnp::message::Builder::new_default();
    let out = message.init_root::<view::Builder<'_>>();
    if let Some(report) = report {
        write(report, out);
    }
    let reader = message.get_root_as_reader::<view::Reader<'_>>();
    read(reader.expect("a view")).expect("a report")
}

#[test]
fn report_complete() {
    let suspect = |feature, was_sound, is_late: bool| Suspect {
        had_begun: !is_late,
        feature,
        circumstance: Circumstance {
            position: 3,
            held: Duration::from_millis(70),
            is_late,
        },
        was_sound,
    };
    let record = |feature, begun_age, sound_age, hold| Record {
        feature,
        begun_age,
        sound_age,
        hold,
    };
    let hold = Hold {
        generation: 2,
        is_active: true,
        age: Duration::from_secs(50),
        had_begun: true,
    };
    let released = Hold {
        is_active: false,
        had_begun: false,
        ..hold
    };
    let report = Report {
        crashes: vec![Crash {
            instance: Instance {
                runner: "decode-1".into(),
                started_at_ms: u64::MAX,
            },
            age: Duration::from_millis(1_250),
            suspects: vec![
                suspect(Feature::Part(u64::MAX), true, false),
                suspect(Feature::Part(0), false, false),
                suspect(Feature::Request(u64::MAX), false, false),
                suspect(Feature::Part(4), false, true),
                suspect(Feature::Request(5), true, true),
            ],
        }],
        features: vec![
            record(Feature::Part(1), Some(Duration::ZERO), None, None),
            record(Feature::Part(2), None, None, Some(hold)),
            record(
                Feature::Request(3),
                Some(Duration::from_secs(9)),
                Some(Duration::from_secs(7)),
                Some(released),
            ),
        ],
    };
    assert_eq!(round_trip(Some(&report)), Some(report));
}

#[test]
fn report_none() {
    assert_eq!(round_trip(None), None);
    assert_eq!(
        round_trip(Some(&Report::default())),
        Some(Report::default())
    );
}
