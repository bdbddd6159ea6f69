//! Conversion of fleet views to and from the fleet schema.
//!
//! The manifest is sent as the bytes received from the configuration service, so that a VM of
//! another release parses them as if it had received them from the service itself.

use std::net::AddrParseError;
use std::str::Utf8Error;
use std::sync::Arc;
use std::time::Duration;

use hornbeamtiller_relay::departure;
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::member::{self, Descriptor, ManifestWish, Status};
use hornbeamtiller_relay::pool::{self, Instance, Load, Role};
use hornbeamtiller_relay::revision;

use crate::crash;
use crate::fleet_capnp as schema;
use crate::limit;

/// A view as it is sent, with the manifest in the configuration service's own encoding.
pub type View = member::View<Arc<[u8]>>;

/// Why a view could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a valid Cap'n Proto encoding.
    #[error("invalid encoding: {0}")]
    Encoding(#[from] capnp::Error),
    /// An enumerant is not in this version of the schema.
    #[error("enumerant is not in the schema")]
    NotInSchema(#[from] capnp::NotInSchema),
    /// A text field is not UTF-8.
    #[error("text field: {0}")]
    InvalidUtf8(#[from] Utf8Error),
    /// A socket address can't be parsed.
    #[error("socket address: {0}")]
    InvalidAddress(#[from] AddrParseError),
}

/// Encodes a duration, in milliseconds.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes a view.
pub fn write(view: &View, mut out: schema::view::Builder<'_>) {
    write_member(&view.sender, out.reborrow().init_from());
    let mut members = out.reborrow().init_members(view.members.len() as u32);
    for (index, member) in view.members.iter().enumerate() {
        write_member(member, members.reborrow().get(index as u32));
    }
    out.set_version(view.manifest_version);
    out.set_manifest(view.manifest.as_deref().unwrap_or_default());
    out.set_revision(revision::number(view.revision));
    out.set_revision_era(revision::era(view.revision));
    out.set_changed(revision::number(view.last_change));
    out.set_changed_era(revision::era(view.last_change));
    out.set_asks(view.reply_requested);
    out.set_waiting(view.waiting_calls);
    out.set_source_reached(view.source_reached);
    let mut loads = out.reborrow().init_loads(view.loads.len() as u32);
    for (index, (runner, load)) in view.loads.iter().enumerate() {
        write_load(runner, *load, loads.reborrow().get(index as u32));
    }
    out.set_digest(view.digest);
    let unreached = out.reborrow().init_unreached(view.unreached.len() as u32);
    write_endpoints(&view.unreached, unreached);
    let reached = out.reborrow().init_reached(view.reached.len() as u32);
    write_endpoints(&view.reached, reached);
    out.set_slowdowns(view.has_slowdowns);
    out.set_wish(match view.manifest_wish {
        ManifestWish::Always => schema::ManifestWish::Always,
        ManifestWish::NotNow => schema::ManifestWish::NotNow,
        ManifestWish::Reply => schema::ManifestWish::Reply,
    });
    out.set_departure_digest(view.departure_digest);
    let mut departures = out.reborrow().init_departures(view.departures.len() as u32);
    for (index, record) in view.departures.iter().enumerate() {
        write_departure(record, departures.reborrow().get(index as u32));
    }
    let mut limits = out.reborrow().init_limits(view.limits.len() as u32);
    for (index, record) in view.limits.iter().enumerate() {
        limit::write(record, limits.reborrow().get(index as u32));
    }
    if let Some(report) = &view.crashes {
        crash::write(report, out.reborrow());
    }
    let Some(list) = &view.runners else {
        return;
    };
    out.set_has_runners(true);
    let mut runners = out.init_runners(list.len() as u32);
    for (index, runner) in list.iter().enumerate() {
        write_runner(runner, runners.reborrow().get(index as u32));
    }
}

fn write_departure(record: &departure::Record, mut out: schema::departure::Builder<'_>) {
    out.set_runner(&*record.instance.runner);
    out.set_born(record.instance.started_at_ms);
    out.set_age_millis(millis(record.age));
}

fn read_departure(record: schema::departure::Reader<'_>) -> Result<departure::Record, Error> {
    Ok(departure::Record {
        instance: Instance {
            runner: record.get_runner()?.to_str()?.into(),
            started_at_ms: record.get_born(),
        },
        age: Duration::from_millis(record.get_age_millis().into()),
    })
}

fn write_endpoints(endpoints: &[id::Endpoint], mut out: capnp::text_list::Builder<'_>) {
    for (index, endpoint) in endpoints.iter().enumerate() {
        out.set(index as u32, &**endpoint);
    }
}

fn read_endpoints(endpoints: capnp::text_list::Reader<'_>) -> Result<Vec<id::Endpoint>, Error> {
    let read = endpoints.iter();
    read.map(|endpoint| Ok(endpoint?.to_str()?.into()))
        .collect()
}

pub(crate) fn write_load(runner: &id::Runner, load: Load, mut out: schema::load::Builder<'_>) {
    out.set_runner(&**runner);
    out.set_requests(load.requests);
    out.set_tokens(load.tokens);
    out.set_unread(load.prefill_tokens);
}

fn write_member(descriptor: &Descriptor, mut out: schema::member::Builder<'_>) {
    out.set_vm(&*descriptor.vm);
    out.set_incarnation(descriptor.incarnation);
    out.set_version(descriptor.version);
    out.set_zone(&*descriptor.zone);
    out.set_caller_address(descriptor.caller_address.to_string().as_str());
    out.set_peer_address(descriptor.peer_address.to_string().as_str());
    out.set_standing(match descriptor.status {
        Status::Joining => schema::Standing::Joining,
        Status::Ready => schema::Standing::Ready,
        Status::Leaving => schema::Standing::Leaving,
        Status::Down => schema::Standing::Down,
    });
    out.set_weight(descriptor.weight);
}

fn write_runner(descriptor: &pool::Descriptor, mut out: schema::runner::Builder<'_>) {
    out.set_name(&*descriptor.runner);
    out.set_endpoint(&*descriptor.endpoint);
    out.set_address(descriptor.address.to_string().as_str());
    out.set_zone(&*descriptor.zone);
    out.set_slots(descriptor.slots);
    out.set_draining(descriptor.draining);
    out.set_role(match descriptor.role {
        None => schema::Role::Plain,
        Some(Role::Prefill) => schema::Role::Prefill,
        Some(Role::Decode) => schema::Role::Decode,
    });
    out.set_born(descriptor.started_at_ms);
    out.set_revision(revision::number(descriptor.revision));
    out.set_era(revision::era(descriptor.revision));
    out.set_build(&*descriptor.build);
}

/// Decodes a view.
///
/// # Errors
///
/// [`Error`] for the first field that can't be decoded.
pub fn read(view: schema::view::Reader<'_>) -> Result<View, Error> {
    let members = view.get_members()?.iter().map(read_member);
    let runners = view.get_runners()?.iter().map(read_runner);
    Ok(View {
        sender: read_member(view.get_from()?)?,
        members: members.collect::<Result<_, _>>()?,
        manifest_version: view.get_version(),
        manifest: Some(view.get_manifest()?)
            .filter(|bytes| !bytes.is_empty())
            .map(Arc::from),
        revision: revision::compose(view.get_revision_era(), view.get_revision()),
        last_change: revision::compose(view.get_changed_era(), view.get_changed()),
        runners: match view.get_has_runners() {
            true => Some(runners.collect::<Result<_, _>>()?),
            false => None,
        },
        source_reached: view.get_source_reached(),
        waiting_calls: view.get_waiting(),
        loads: view
            .get_loads()?
            .iter()
            .map(read_load)
            .collect::<Result<_, _>>()?,
        digest: view.get_digest(),
        limits: view
            .get_limits()?
            .iter()
            .map(limit::read)
            .collect::<Result<_, _>>()?,
        crashes: crash::read(view)?,
        departure_digest: view.get_departure_digest(),
        departures: view
            .get_departures()?
            .iter()
            .map(read_departure)
            .collect::<Result<_, _>>()?,
        unreached: read_endpoints(view.get_unreached()?)?,
        reached: read_endpoints(view.get_reached()?)?,
        has_slowdowns: view.get_slowdowns(),
        manifest_wish: match view.get_wish()? {
            schema::ManifestWish::Always => ManifestWish::Always,
            schema::ManifestWish::NotNow => ManifestWish::NotNow,
            schema::ManifestWish::Reply => ManifestWish::Reply,
        },
        reply_requested: view.get_asks(),
    })
}

pub(crate) fn read_load(load: schema::load::Reader<'_>) -> Result<(id::Runner, Load), Error> {
    let runner = load.get_runner()?.to_str()?.into();
    let load = Load {
        requests: load.get_requests(),
        tokens: load.get_tokens(),
        prefill_tokens: load.get_unread(),
    };
    Ok((runner, load))
}

fn read_member(descriptor: schema::member::Reader<'_>) -> Result<Descriptor, Error> {
    Ok(Descriptor {
        vm: descriptor.get_vm()?.to_str()?.into(),
        incarnation: descriptor.get_incarnation(),
        version: descriptor.get_version(),
        zone: descriptor.get_zone()?.to_str()?.into(),
        caller_address: descriptor.get_caller_address()?.to_str()?.parse()?,
        peer_address: descriptor.get_peer_address()?.to_str()?.parse()?,
        status: match descriptor.get_standing()? {
            schema::Standing::Joining => Status::Joining,
            schema::Standing::Ready => Status::Ready,
            schema::Standing::Leaving => Status::Leaving,
            schema::Standing::Down => Status::Down,
        },
        weight: descriptor.get_weight(),
    })
}

fn read_runner(descriptor: schema::runner::Reader<'_>) -> Result<pool::Descriptor, Error> {
    Ok(pool::Descriptor {
        runner: descriptor.get_name()?.to_str()?.into(),
        endpoint: descriptor.get_endpoint()?.to_str()?.into(),
        address: descriptor.get_address()?.to_str()?.parse()?,
        zone: descriptor.get_zone()?.to_str()?.into(),
        slots: descriptor.get_slots(),
        draining: descriptor.get_draining(),
        role: match descriptor.get_role()? {
            schema::Role::Plain => None,
            schema::Role::Prefill => Some(Role::Prefill),
            schema::Role::Decode => Some(Role::Decode),
        },
        started_at_ms: descriptor.get_born(),
        revision: revision::compose(descriptor.get_era(), descriptor.get_revision()),
        build: descriptor.get_build()?.to_str()?.into(),
    })
}
