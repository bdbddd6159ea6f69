//! Replies to callers.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamtiller_core::event::Entry;
use hornbeamtiller_core::refusal::Refusal;
use hornbeamtiller_http::body::Outgoing;
use http::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;

use super::chunk;
use super::input::{is_connection_header, ID};
use super::Stream;
use crate::shell::Whole;
use crate::stream::Record;

/// Header that marks an answer given before.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

type Answer = Response<Outgoing<Stream>>;

#[derive(Serialize)]
struct Entries<'a> {
    entries: Vec<EntryOut<'a>>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct EntryOut<'a> {
    vm: u32,
    zone: &'a str,
    address: String,
    token: &'a str,
}

#[derive(Serialize)]
struct ErrorOut {
    error: RefusalOut,
}

#[derive(Serialize)]
struct RefusalOut {
    code: &'static str,
    reason: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    elsewhere: Vec<String>,
}

pub use hornbeamtiller_http::body::json;

/// The addresses to use.
pub fn entries(entries: &[Entry], max_age: Duration) -> Answer {
    let entries = entries
        .iter()
        .map(|entry| EntryOut {
            vm: entry.vm,
            zone: &entry.zone,
            address: entry.address.to_string(),
            token: &entry.token,
        })
        .collect();
    json(
        StatusCode::OK,
        &Entries {
            entries,
            keep_ms: max_age.as_millis() as u64,
        },
    )
}

/// The JSON of a refusal.
pub fn refusal_json(refusal: &Refusal, elsewhere: &[SocketAddr]) -> String {
    let code: &'static str = refusal.code.into();
    let reason: &'static str = refusal.reason.into();
    let out = ErrorOut {
        error: RefusalOut {
            code,
            reason,
            message: format!("{code}: {}", reason.replace('_', " ")),
            retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis() as u64),
            elsewhere: elsewhere.iter().map(SocketAddr::to_string).collect(),
        },
    };
    serde_json::to_string(&out).unwrap_or_default()
}

/// A refusal.
pub fn refusal<S>(refusal: &Refusal, elsewhere: &[SocketAddr]) -> Response<Outgoing<S>> {
    let mut response = Response::new(Outgoing::full(refusal_json(refusal, elsewhere)));
    *response.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = refusal.retry_after {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(delay.as_secs_f64().ceil() as u64),
        );
    }
    response
}

/// A plain service's answer.
pub fn whole(whole: &Whole, id: &str, replay: bool) -> Answer {
    let mut response = Response::new(Outgoing::full(whole.body.clone()));
    *response.status_mut() = whole.status;
    for (name, value) in &whole.headers {
        if !is_connection_header(name) {
            response.headers_mut().append(name, value.clone());
        }
    }
    set_id(response.headers_mut(), id);
    if replay {
        response
            .headers_mut()
            .insert(REPLAYED, HeaderValue::from_static("true"));
    }
    response
}

/// A model's answer as a stream.
pub fn stream(id: &str, stream: Stream) -> Answer {
    let mut response = Response::new(Outgoing::Stream(stream));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response.headers_mut().insert(
        http::header::CACHE_CONTROL,
        HeaderValue::from_static("no-store"),
    );
    set_id(response.headers_mut(), id);
    response
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    finish_reason: String,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: usize,
}

/// A model's whole answer as one JSON.
pub fn collected(id: &str, model: &str, target: &str, record: &Record) -> Answer {
    let chat = target.starts_with("/v1/chat/");
    let text: String = record
        .frames()
        .iter()
        .map(|data| chunk::text(data))
        .collect();
    let last = record
        .frames()
        .last()
        .and_then(|data| serde_json::from_slice::<chunk::Chunk<'_>>(data).ok());
    let finish_reason = last
        .and_then(|last| last.finish_reason)
        .map_or("stop".to_owned(), |reason| reason.into_owned());
    let (text, message) = if chat {
        (
            None,
            Some(Message {
                role: "assistant",
                content: text,
            }),
        )
    } else {
        (Some(text), None)
    };
    let completion = Completion {
        id,
        object: if chat {
            "chat.completion"
        } else {
            "text_completion"
        },
        model,
        choices: [Choice {
            index: 0,
            text,
            message,
            finish_reason,
        }],
        usage: Usage {
            completion_tokens: record.frames().len(),
        },
    };
    let mut response = json(StatusCode::OK, &completion);
    set_id(response.headers_mut(), id);
    response
}

/// Writes one event of a stream.
pub fn event(out: &mut Vec<u8>, position: u64, data: &[u8]) {
    use std::io::Write as _;
    // Writing into a vector does not fail.
    _ = write!(out, "id: {position}\ndata: ");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
}

/// Joins the texts of the tokens that a caller has already.
pub fn emitted_text(record: &Record) -> String {
    record
        .frames()
        .iter()
        .map(|data| chunk::text(data))
        .collect()
}

fn set_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(ID, value);
    }
}

/// Sets the host of a request to another process.
pub fn set_host(headers: &mut HeaderMap, address: SocketAddr) {
    if let Ok(value) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, value);
    }
}
