//! Client of the platform's configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_core::event::{Event, Listing, Read};
use hornbeamtiller_http::client::Reuse;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::caller::render;
use crate::driver::Driver;

/// Timeout for a response, on top of the read's own long-poll time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response, in bytes. Values of the platform are at most 1 MB, and a response
/// holds few of them.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

#[derive(Deserialize)]
struct TicketPage {
    newest: u64,
    tickets: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct Vm {
    id: u32,
    zone: String,
    caller: SocketAddr,
    peer: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

/// Performs one read and applies its result to the reducer.
pub async fn read(driver: Driver, read: Read) {
    let event = match fetch(&driver, read).await {
        Some(event) => event,
        None => Event::ReadFailed { read },
    };
    driver.apply(event);
}

async fn fetch(driver: &Driver, read: Read) -> Option<Event> {
    let (path, wait) = match read {
        Read::Tickets { after, wait_ms } => (
            format!("/v1/tickets?after={after}&wait_ms={wait_ms}"),
            wait_ms,
        ),
        Read::List => ("/v1/vms".to_owned(), 0),
    };
    let bytes = get(
        driver,
        &path,
        RESPONSE_TIMEOUT + Duration::from_millis(wait),
    )
    .await?;
    match read {
        Read::Tickets { .. } => parse_tickets(&bytes),
        Read::List => parse_list(&bytes),
    }
}

async fn get(driver: &Driver, path: &str, timeout: Duration) -> Option<Bytes> {
    let address = driver.settings().flags.platform;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    render::set_host(request.headers_mut(), address);
    let response = driver
        .client()
        .send(address, request, Reuse::Allowed, timeout)
        .await
        .ok()?;
    if !response.head.status.is_success() {
        return None;
    }
    let (_, bytes) = response
        .collect(RESPONSE_BYTES_MAX, RESPONSE_TIMEOUT)
        .await
        .ok()?;
    Some(bytes)
}

fn parse_tickets(bytes: &[u8]) -> Option<Event> {
    let response: TicketPage = serde_json::from_slice(bytes).ok()?;
    let tickets = response
        .tickets
        .into_iter()
        .map(|ticket| ticket.get().into())
        .collect();
    Some(Event::TicketsRead {
        tickets,
        newest: response.newest,
    })
}

fn parse_list(bytes: &[u8]) -> Option<Event> {
    let list: VmList = serde_json::from_slice(bytes).ok()?;
    let vms = list
        .vms
        .into_iter()
        .map(|vm| Listing {
            vm: vm.id,
            zone: vm.zone.into(),
            caller_address: vm.caller,
            peer_address: vm.peer,
            leaving: vm.leaving,
        })
        .collect();
    Some(Event::ListRead { vms })
}
