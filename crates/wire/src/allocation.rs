//! Conversion of claims and grants to and from the fleet schema.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeamtiller_relay::allocation::{Ask, Batch, Claim, Grant, Refusal, Urgency};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::pool::Load;
use hornbeamtiller_relay::speed::Reading;

use crate::fleet_capnp as schema;
use crate::view::{millis, read_load, write_load, Error};

/// Encodes a claim.
pub fn write_claim(claim: &Claim, mut out: schema::claim::Builder<'_>) {
    out.set_vm(&*claim.vm);
    out.set_incarnation(claim.incarnation);
    out.set_peer_address(claim.peer_address.to_string().as_str());
    out.set_sequence(claim.sequence);
    out.set_last_grant(claim.last_grant);
    write_loads(claim, &mut out);
    let mut asks = out.init_asks(claim.asks.len() as u32);
    for (index, ask) in claim.asks.iter().enumerate() {
        write_ask(ask, asks.reborrow().get(index as u32));
    }
}

/// Encodes the load and the readings of each engine as one entry.
fn write_loads(claim: &Claim, out: &mut schema::claim::Builder<'_>) {
    let mut engines: BTreeMap<&id::Runner, (Load, Option<Reading>)> = BTreeMap::new();
    for (runner, load) in &claim.loads {
        engines.entry(runner).or_default().0.add(*load);
    }
    for (runner, reading) in &claim.readings {
        engines.entry(runner).or_default().1 = Some(*reading);
    }
    let mut loads = out.reborrow().init_loads(engines.len() as u32);
    for (index, (runner, (load, reading))) in engines.into_iter().enumerate() {
        let mut out = loads.reborrow().get(index as u32);
        write_load(runner, load, out.reborrow());
        if let Some(reading) = reading {
            write_reading(&reading, out);
        }
    }
}

fn write_reading(reading: &Reading, mut out: schema::load::Builder<'_>) {
    let age = reading.age.as_millis().min(u16::MAX.into());
    out.set_slowdown(reading.slowdown.unwrap_or(0));
    out.set_slowdown_age_millis(age as u16);
    let nanos = reading.unit_time.as_nanos().min(u32::MAX.into());
    out.set_unit_nanos(nanos as u32);
    out.set_samples(reading.samples);
}

/// Decodes what a claim says of the speed of an engine; none if it says nothing, as the claims of older
/// VMs.
fn read_reading(load: schema::load::Reader<'_>) -> Result<Option<(id::Runner, Reading)>, Error> {
    let reading = Reading {
        unit_time: Duration::from_nanos(load.get_unit_nanos().into()),
        samples: load.get_samples(),
        slowdown: Some(load.get_slowdown()).filter(|slowdown| *slowdown > 0),
        age: Duration::from_millis(load.get_slowdown_age_millis().into()),
    };
    if reading.samples == 0 && reading.slowdown.is_none() {
        return Ok(None);
    }
    Ok(Some((load.get_runner()?.to_str()?.into(), reading)))
}

fn write_ask(ask: &Ask, mut out: schema::ask::Builder<'_>) {
    out.set_call(ask.call);
    out.set_endpoint(&*ask.endpoint);
    out.set_tokens(ask.tokens);
    out.set_prefill_tokens(ask.prefill_tokens);
    out.set_group(ask.group);
    out.set_groups(ask.groups);
    out.set_build(ask.build.as_deref().unwrap_or_default());
    out.set_holder(ask.holder.as_deref().unwrap_or_default());
    let (urgency, slack) = match ask.urgency {
        Urgency::Started => (schema::Urgency::Started, Duration::ZERO),
        Urgency::InTime(slack) => (schema::Urgency::InTime, slack),
        Urgency::Late => (schema::Urgency::Late, Duration::ZERO),
    };
    out.set_urgency(urgency);
    out.set_slack_millis(slack.as_millis() as u32);
    out.set_priority(ask.priority);
    if let Some(organisation) = &ask.organisation {
        out.set_organisation(&**organisation);
    }
    // A call that can be refused and has no time left is refused at the next occasion.
    let patience = ask.patience.map_or(0, |patience| millis(patience).max(1));
    out.set_patience_millis(patience);
    let mut excluded = out.init_excluded(ask.excluded.len() as u32);
    for (index, runner) in ask.excluded.iter().enumerate() {
        excluded.set(index as u32, &**runner);
    }
}

/// Decodes a claim.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_claim(claim: schema::claim::Reader<'_>) -> Result<Claim, Error> {
    let loads = claim.get_loads()?.iter().map(read_load);
    let readings = claim.get_loads()?.iter().map(read_reading);
    let readings = readings.filter_map(Result::transpose);
    let asks = claim.get_asks()?.iter().map(read_ask);
    Ok(Claim {
        vm: claim.get_vm()?.to_str()?.into(),
        incarnation: claim.get_incarnation(),
        peer_address: claim.get_peer_address()?.to_str()?.parse()?,
        sequence: claim.get_sequence(),
        last_grant: claim.get_last_grant(),
        loads: loads.collect::<Result<_, _>>()?,
        asks: asks.collect::<Result<_, _>>()?,
        readings: readings.collect::<Result<_, _>>()?,
    })
}

fn read_ask(ask: schema::ask::Reader<'_>) -> Result<Ask, Error> {
    let slack = Duration::from_millis(ask.get_slack_millis().into());
    let excluded = ask.get_excluded()?.iter().map(read_runner);
    let build = ask.get_build()?.to_str()?;
    let holder = ask.get_holder()?.to_str()?;
    let organisation = ask.get_organisation()?.to_str()?;
    let patience = ask.get_patience_millis();
    Ok(Ask {
        call: ask.get_call(),
        endpoint: ask.get_endpoint()?.to_str()?.into(),
        build: (!build.is_empty()).then(|| build.into()),
        tokens: ask.get_tokens(),
        prefill_tokens: ask.get_prefill_tokens(),
        group: ask.get_group(),
        groups: ask.get_groups(),
        urgency: match ask.get_urgency()? {
            schema::Urgency::Started => Urgency::Started,
            schema::Urgency::InTime => Urgency::InTime(slack),
            schema::Urgency::Late => Urgency::Late,
        },
        holder: (!holder.is_empty()).then(|| holder.into()),
        excluded: excluded.collect::<Result<_, _>>()?,
        priority: ask.get_priority(),
        organisation: (!organisation.is_empty()).then(|| organisation.into()),
        patience: (patience > 0).then(|| Duration::from_millis(patience.into())),
    })
}

fn read_runner(name: capnp::Result<capnp::text::Reader<'_>>) -> Result<id::Runner, Error> {
    Ok(name?.to_str()?.into())
}

/// Encodes a batch of grants.
pub fn write_batch(batch: &Batch, mut out: schema::batch::Builder<'_>) {
    out.set_allocator(&*batch.allocator);
    out.set_incarnation(batch.incarnation);
    let mut grants = out.reborrow().init_grants(batch.grants.len() as u32);
    for (index, grant) in batch.grants.iter().enumerate() {
        let mut out = grants.reborrow().get(index as u32);
        out.set_number(grant.number);
        out.set_call(grant.call);
        out.set_decode(&*grant.decode);
        out.set_prefill(grant.prefill.as_deref().unwrap_or_default());
        out.set_queued_tokens(grant.queued_tokens);
    }
    if batch.refusals.is_empty() {
        return;
    }
    let mut refusals = out.init_refusals(batch.refusals.len() as u32);
    for (index, refusal) in batch.refusals.iter().enumerate() {
        let mut out = refusals.reborrow().get(index as u32);
        out.set_call(refusal.call);
        out.set_group(refusal.group);
        out.set_retry_millis(millis(refusal.retry_after));
    }
}

/// Decodes a batch of grants.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read_batch(batch: schema::batch::Reader<'_>) -> Result<Batch, Error> {
    let grants = batch.get_grants()?.iter().map(read_grant);
    let refusals = batch.get_refusals()?.iter().map(|refusal| Refusal {
        call: refusal.get_call(),
        group: refusal.get_group(),
        retry_after: Duration::from_millis(refusal.get_retry_millis().into()),
    });
    Ok(Batch {
        allocator: batch.get_allocator()?.to_str()?.into(),
        incarnation: batch.get_incarnation(),
        grants: grants.collect::<Result<_, _>>()?,
        refusals: refusals.collect(),
    })
}

fn read_grant(grant: schema::grant::Reader<'_>) -> Result<Grant, Error> {
    let prefill = grant.get_prefill()?.to_str()?;
    Ok(Grant {
        number: grant.get_number(),
        call: grant.get_call(),
        decode: grant.get_decode()?.to_str()?.into(),
        prefill: (!prefill.is_empty()).then(|| prefill.into()),
        queued_tokens: grant.get_queued_tokens(),
    })
}
