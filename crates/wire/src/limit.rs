//! Conversion of the limits of runners to and from the fleet schema.

use std::time::Duration;

use hornbeamtiller_relay::limit::{Rate, Record};
use hornbeamtiller_relay::pool::Instance;

use crate::fleet_capnp as schema;
use crate::view::{millis, Error};

/// Rate on the wire of a runner that has stopped to name one.
const RATE_NONE: Rate = 0.0;

/// Encodes a record.
pub fn write(record: &Record, mut out: schema::limit::Builder<'_>) {
    out.set_runner(&*record.instance.runner);
    out.set_born(record.instance.started_at_ms);
    out.set_rate(record.rate.unwrap_or(RATE_NONE));
    out.set_age_millis(millis(record.age));
}

/// Decodes a record. A rate that is no number above 0 counts as none.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read(record: schema::limit::Reader<'_>) -> Result<Record, Error> {
    let rate = record.get_rate();
    Ok(Record {
        instance: Instance {
            runner: record.get_runner()?.to_str()?.into(),
            started_at_ms: record.get_born(),
        },
        rate: (rate.is_finite() && rate > RATE_NONE).then_some(rate),
        age: Duration::from_millis(record.get_age_millis().into()),
    })
}
