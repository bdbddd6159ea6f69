//! Conversion of crashes and parts of prompts to and from the fleet schema.

use std::time::Duration;

use hornbeamtiller_relay::crash::{Circumstance, Crash, Feature, Hold, Record, Report, Suspect};
use hornbeamtiller_relay::pool::Instance;

use crate::fleet_capnp as schema;
use crate::view::{millis, Error};

/// Generation on the wire of a part that never was quarantined.
const GENERATION_NONE: u32 = 0;

/// Encodes a report into a view.
pub fn write(report: &Report, mut out: schema::view::Builder<'_>) {
    out.set_has_crashes(true);
    let mut crashes = out.reborrow().init_crashes(report.crashes.len() as u32);
    for (index, crash) in report.crashes.iter().enumerate() {
        write_crash(crash, crashes.reborrow().get(index as u32));
    }
    let mut parts = out.init_parts(report.features.len() as u32);
    for (index, record) in report.features.iter().enumerate() {
        write_part(record, parts.reborrow().get(index as u32));
    }
}

fn write_crash(crash: &Crash, mut out: schema::crash::Builder<'_>) {
    out.set_runner(&*crash.instance.runner);
    out.set_born(crash.instance.started_at_ms);
    out.set_age_millis(millis(crash.age));
    // VMs of older releases don't read what is late, as they would take it for as suspect as the others.
    let is_late = |suspect: &&Suspect| suspect.circumstance.is_late;
    let (late, early): (Vec<&Suspect>, Vec<&Suspect>) = crash.suspects.iter().partition(is_late);
    write_suspects(&early, out.reborrow().init_suspects(early.len() as u32));
    write_suspects(&late, out.init_late_suspects(late.len() as u32));
}

fn write_suspects(
    suspects: &[&Suspect],
    mut out: capnp::struct_list::Builder<'_, schema::suspect::Owned>,
) {
    for (index, suspect) in suspects.iter().enumerate() {
        let mut out = out.reborrow().get(index as u32);
        let (number, is_request) = write_feature(suspect.feature);
        out.set_part(number);
        out.set_is_request(is_request);
        out.set_position(suspect.circumstance.position);
        out.set_held_millis(millis(suspect.circumstance.held));
        out.set_was_sound(suspect.had_begun);
        out.set_was_proven(suspect.was_sound);
    }
}

fn write_part(record: &Record, mut out: schema::part::Builder<'_>) {
    let (number, is_request) = write_feature(record.feature);
    out.set_part(number);
    out.set_is_request(is_request);
    if let Some(age) = record.begun_age {
        out.set_is_sound(true);
        out.set_sound_millis(millis(age));
    }
    if let Some(age) = record.sound_age {
        out.set_is_proven(true);
        out.set_proven_millis(millis(age));
    }
    let Some(hold) = record.hold else {
        return out.set_generation(GENERATION_NONE);
    };
    out.set_generation(hold.generation);
    out.set_is_held(hold.is_active);
    out.set_held_millis(millis(hold.age));
    out.set_was_sound(hold.had_begun);
}

/// Decodes the report of a view, if it has one.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read(view: schema::view::Reader<'_>) -> Result<Option<Report>, Error> {
    if !view.get_has_crashes() {
        return Ok(None);
    }
    let crashes = view.get_crashes()?.iter().map(read_crash);
    Ok(Some(Report {
        crashes: crashes.collect::<Result<_, _>>()?,
        features: view.get_parts()?.iter().map(read_part).collect(),
    }))
}

fn read_crash(crash: schema::crash::Reader<'_>) -> Result<Crash, Error> {
    let early = crash.get_suspects()?;
    let late = crash.get_late_suspects()?;
    let early = early.iter().map(|suspect| read_suspect(suspect, false));
    let late = late.iter().map(|suspect| read_suspect(suspect, true));
    Ok(Crash {
        instance: Instance {
            runner: crash.get_runner()?.to_str()?.into(),
            started_at_ms: crash.get_born(),
        },
        age: Duration::from_millis(crash.get_age_millis().into()),
        suspects: early.chain(late).collect(),
    })
}

fn read_suspect(suspect: schema::suspect::Reader<'_>, is_late: bool) -> Suspect {
    Suspect {
        feature: read_feature(suspect.get_part(), suspect.get_is_request()),
        circumstance: Circumstance {
            position: suspect.get_position(),
            held: Duration::from_millis(suspect.get_held_millis().into()),
            is_late,
        },
        had_begun: suspect.get_was_sound(),
        was_sound: suspect.get_was_proven(),
    }
}

fn read_part(part: schema::part::Reader<'_>) -> Record {
    let begun_age = Duration::from_millis(part.get_sound_millis().into());
    let sound_age = Duration::from_millis(part.get_proven_millis().into());
    let hold = Hold {
        generation: part.get_generation(),
        is_active: part.get_is_held(),
        age: Duration::from_millis(part.get_held_millis().into()),
        had_begun: part.get_was_sound(),
    };
    Record {
        feature: read_feature(part.get_part(), part.get_is_request()),
        begun_age: part.get_is_sound().then_some(begun_age),
        sound_age: part.get_is_proven().then_some(sound_age),
        hold: (hold.generation != GENERATION_NONE).then_some(hold),
    }
}

/// The number of a part or a request, and whether it is a request.
fn write_feature(feature: Feature) -> (u64, bool) {
    match feature {
        Feature::Part(part) => (part, false),
        Feature::Request(fingerprint) => (fingerprint, true),
    }
}

fn read_feature(number: u64, is_request: bool) -> Feature {
    if is_request {
        Feature::Request(number)
    } else {
        Feature::Part(number)
    }
}
