//! What a VM and the monitor of an endpoint tell each other, as sound ones do.

use std::time::Duration;

use hornbeamtiller_relay::overload::{Admission, Class, Demand, Fraction, Report, Sample};

const CLASS: Class = Class {
    priority: 2,
    organisation: u64::MAX,
};

/// A report of a peer.
pub fn report() -> Report {
    Report {
        vm: "vm-2".into(),
        endpoint: "pay".into(),
        demand: vec![Demand {
            class: CLASS,
            rate: 7.5,
        }],
        served: 4.25,
        declined: 0.5,
        work: Duration::from_micros(30_250),
        samples: vec![Sample {
            runner: 1 << 63,
            running: 6,
            waiting: 24,
            slots: 6,
            age: Duration::from_millis(140),
        }],
    }
}

/// What to admit.
pub fn admission() -> Admission {
    Admission {
        fractions: vec![Fraction {
            class: CLASS,
            fraction: 0.75,
        }],
        rate: 590.5,
        part: 0.5,
    }
}
