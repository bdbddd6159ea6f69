//! Reads of the platform's configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_core::event::{Event, Listed, Read};
use hornbeamtiller_core::ticket::Ticket;
use hornbeamtiller_http::client::Reuse;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use serde_json::Value;

use crate::caller::render;
use crate::shell::Shell;

/// Wait for an answer beyond what the read itself waits.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes: the service's values go up to a megabyte, and one answer holds few.
const ANSWER_MAX: usize = 8 << 20;

#[derive(Deserialize)]
struct Tickets {
    newest: u64,
    tickets: Vec<Value>,
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
    let (_, bytes) = answer.whole(ANSWER_MAX, READ_TIMEOUT).await.ok()?;
    Some(bytes)
}

fn parse_tickets(bytes: &[u8]) -> Option<Event> {
    let answer: Tickets = serde_json::from_slice(bytes).ok()?;
    let mut tickets = Vec::with_capacity(answer.tickets.len());
    for value in answer.tickets {
        let number = value.get("number").and_then(Value::as_u64)?;
        tickets.push(check(number, value));
    }
    Some(Event::TicketsRead {
        tickets,
        newest: answer.newest,
    })
}

fn check(number: u64, value: Value) -> Result<Ticket, u64> {
    Ticket::check(value).map_err(|faults| {
        for fault in faults {
            log::warn!(ticket = number; "ticket {number} is refused: {fault}");
        }
        number
    })
}

fn parse_list(bytes: &[u8]) -> Option<Event> {
    let list: List = serde_json::from_slice(bytes).ok()?;
    let vms = list
        .vms
        .into_iter()
        .map(|vm| Listed {
            vm: vm.id,
            zone: vm.zone.into(),
            caller_address: vm.caller,
            peer_address: vm.peer,
            leaving: vm.leaving,
        })
        .collect();
    Some(Event::ListRead { vms })
}
