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
    let suspect = |feature, was_sound| Suspect {
        feature,
        circumstance: Circumstance {
            position: 3,
            held: Duration::from_millis(70),
        },
        was_sound,
    };
    let record = |feature, sound_age, hold| Record {
        feature,
        sound_age,
        hold,
    };
    let hold = Hold {
        generation: 2,
        is_active: true,
        age: Duration::from_secs(50),
        was_sound: true,
    };
    let released = Hold {
        is_active: false,
        was_sound: false,
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
                suspect(Feature::Part(u64::MAX), true),
                suspect(Feature::Part(0), false),
                suspect(Feature::Request(u64::MAX), false),
            ],
        }],
        features: vec![
            record(Feature::Part(1), Some(Duration::ZERO), None),
            record(Feature::Part(2), None, Some(hold)),
            record(
                Feature::Request(3),
                Some(Duration::from_secs(9)),
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
