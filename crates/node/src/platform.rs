//! Reads of the platform's configuration service.

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
use crate::shell::Shell;

/// Wait for an answer beyond what the read itself waits.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes: the service's values go up to a megabyte, and one answer holds few.
const ANSWER_MAX: usize = 8 << 20;

#[derive(Deserialize)]
struct Tickets {
    newest: u64,
    tickets: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct List {
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

/// Performs one read and feeds its result to the reducer.
pub async fn read(shell: Shell, read: Read) {
    let event = match fetch(&shell, read).await {
        Some(event) => event,
        None => Event::ReadFailed { read },
    };
    shell.apply(event);
}

async fn fetch(shell: &Shell, read: Read) -> Option<Event> {
    let (path, wait) = match read {
        Read::Tickets { after, wait_ms } => (
            format!("/v1/tickets?after={after}&wait_ms={wait_ms}"),
            wait_ms,
        ),
        Read::List => ("/v1/vms".to_owned(), 0),
    };
    let bytes = get(shell, &path, READ_TIMEOUT + Duration::from_millis(wait)).await?;
    match read {
        Read::Tickets { .. } => parse_tickets(&bytes),
        Read::List => parse_list(&bytes),
    }
}

async fn get(shell: &Shell, path: &str, timeout: Duration) -> Option<Bytes> {
    let address = shell.settings().flags.platform;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    render::set_host(request.headers_mut(), address);
    let answer = shell
        .client()
        .send(address, request, Reuse::Allowed, timeout)
        .await
        .ok()?;
    if !answer.head.status.is_success() {
        return None;
    }
    let (_, bytes) = answer.collect(ANSWER_MAX, READ_TIMEOUT).await.ok()?;
    Some(bytes)
}

fn parse_tickets(bytes: &[u8]) -> Option<Event> {
    let answer: Tickets = serde_json::from_slice(bytes).ok()?;
    let tickets = answer
        .tickets
        .into_iter()
        .map(|ticket| ticket.get().into())
        .collect();
    Some(Event::TicketsRead {
        tickets,
        newest: answer.newest,
    })
}

fn parse_list(bytes: &[u8]) -> Option<Event> {
    let list: List = serde_json::from_slice(bytes).ok()?;
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
