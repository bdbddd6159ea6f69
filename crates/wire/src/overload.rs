//! Conversion of load reports and admissions of plain endpoints to and from the fleet schema.

use std::time::Duration;

use hornbeamtiller_relay::overload::{Admission, Class, Demand, Fraction, Report, Sample};

use crate::fleet_capnp as schema;
use crate::view::Error;

/// Encodes a report.
pub fn write_report(report: &Report, mut out: schema::load_report::Builder<'_>) {
    out.set_vm(&*report.vm);
    out.set_endpoint(&*report.endpoint);
    out.set_served(report.served as f32);
    out.set_declined(report.declined as f32);
    out.set_work_micros(u32::try_from(report.work.as_micros()).unwrap_or(u32::MAX));
    let mut demand = out.reborrow().init_demand(report.demand.len() as u32);
    for (index, known) in report.demand.iter().enumerate() {
        let entry = demand.reborrow().get(index as u32);
        write_demand(known.class, known.rate, entry);
    }
    let mut queues = out.init_queues(report.samples.len() as u32);
    for (index, sample) in report.samples.iter().enumerate() {
        let mut entry = queues.reborrow().get(index as u32);
        entry.set_runner(sample.runner);
        entry.set_running(narrow(sample.running));
        entry.set_waiting(narrow(sample.waiting));
        entry.set_slots(narrow(sample.slots));
        entry.set_age_millis(u16::try_from(sample.age.as_millis()).unwrap_or(u16::MAX));
    }
}

/// Decodes a report. A rate that is no number from 0 on counts as 0.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_report(report: schema::load_report::Reader<'_>) -> Result<Report, Error> {
    let demand = report.get_demand()?.into_iter();
    let samples = report.get_queues()?.into_iter();
    Ok(Report {
        vm: report.get_vm()?.to_str()?.into(),
        endpoint: report.get_endpoint()?.to_str()?.into(),
        demand: demand
            .map(|known| Demand {
                class: read_class(known),
                rate: read_rate(known.get_rate()),
            })
            .collect(),
        served: read_rate(report.get_served()),
        declined: read_rate(report.get_declined()),
        work: Duration::from_micros(report.get_work_micros().into()),
        samples: samples
            .map(|sample| Sample {
                runner: sample.get_runner(),
                running: sample.get_running().into(),
                waiting: sample.get_waiting().into(),
                slots: sample.get_slots().into(),
                age: Duration::from_millis(sample.get_age_millis().into()),
            })
            .collect(),
    })
}

/// Encodes what to admit; none if the endpoint is not overloaded.
pub fn write_admission(admission: Option<&Admission>, mut out: schema::admission::Builder<'_>) {
    out.set_is_overloaded(admission.is_some());
    let Some(admission) = admission else {
        return;
    };
    out.set_rate(admission.rate as f32);
    out.set_part(admission.part as f32);
    let mut fractions = out.init_fractions(admission.fractions.len() as u32);
    for (index, known) in admission.fractions.iter().enumerate() {
        let entry = fractions.reborrow().get(index as u32);
        write_demand(known.class, known.fraction, entry);
    }
}

/// Decodes what to admit; none if the endpoint is not overloaded.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_admission(
    admission: schema::admission::Reader<'_>,
) -> Result<Option<Admission>, Error> {
    if !admission.get_is_overloaded() {
        return Ok(None);
    }
    let fractions = admission.get_fractions()?.into_iter();
    Ok(Some(Admission {
        rate: read_rate(admission.get_rate()),
        part: read_rate(admission.get_part()).min(1.0),
        fractions: fractions
            .map(|known| Fraction {
                class: read_class(known),
                fraction: read_rate(known.get_rate()).min(1.0),
            })
            .collect(),
    }))
}

fn write_demand(class: Class, rate: f64, mut out: schema::demand::Builder<'_>) {
    out.set_organisation(class.organisation);
    out.set_priority(class.priority);
    out.set_rate(rate as f32);
}

fn read_class(demand: schema::demand::Reader<'_>) -> Class {
    Class {
        priority: demand.get_priority(),
        organisation: demand.get_organisation(),
    }
}

fn read_rate(rate: f32) -> f64 {
    if rate.is_finite() {
        f64::from(rate.max(0.0))
    } else {
        0.0
    }
}

fn narrow(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
