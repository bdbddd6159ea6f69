//! Responses to callers.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamtiller_core::event::Entry;
use hornbeamtiller_core::refusal::Refusal;
use hornbeamtiller_http::body::Outgoing;
use http::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use serde::Serialize;

use super::chunk;
use super::input::{is_connection_header, ID_HEADER};
use super::Stream;
use crate::driver::ServiceResponse;
use crate::stream::Buffer;

/// Header that marks a repeat of an earlier response.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

type CallerResponse = Response<Outgoing<Stream>>;

#[derive(Serialize)]
struct EntriesBody<'a> {
    entries: Vec<EntryBody<'a>>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct EntryBody<'a> {
    vm: u32,
    zone: &'a str,
    address: String,
    token: &'a str,
}

#[derive(Serialize)]
struct ErrorBody {
    error: RefusalBody,
}

#[derive(Serialize)]
struct RefusalBody {
    code: &'static str,
    reason: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    elsewhere: Vec<String>,
}

pub use hornbeamtiller_http::body::json;

/// Renders the entry addresses to use.
pub fn entries(entries: &[Entry], max_age: Duration) -> CallerResponse {
    let entries = entries
        .iter()
        .map(|entry| EntryBody {
            vm: entry.vm,
            zone: &entry.zone,
            address: entry.address.to_string(),
            token: &entry.token,
        })
        .collect();
    json(
        StatusCode::OK,
        &EntriesBody {
            entries,
            keep_ms: max_age.as_millis() as u64,
        },
    )
}

/// Returns the JSON body of a refusal.
pub fn refusal_json(refusal: &Refusal, elsewhere: &[SocketAddr]) -> String {
    let code: &'static str = refusal.claim.into();
    let reason: &'static str = refusal.reason.into();
    let out = ErrorBody {
        error: RefusalBody {
            code,
            reason,
            message: format!("{code}: {}", reason.replace('_', " ")),
            retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis() as u64),
            elsewhere: elsewhere.iter().map(SocketAddr::to_string).collect(),
        },
    };
    serde_json::to_string(&out).unwrap_or_default()
}

/// Renders a refusal.
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

/// Renders a plain service's response.
pub fn service_response(from: &ServiceResponse, id: &str, replay: bool) -> CallerResponse {
    let mut response = Response::new(Outgoing::full(from.body.clone()));
    *response.status_mut() = from.status;
    for (name, value) in &from.headers {
        if !is_connection_header(name) {
            response.headers_mut().append(name, value.clone());
        }
    }
    set_id(response.headers_mut(), id);
    if replay {
        response
            .headers_mut()
            .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

/// Renders a model's answer as an event stream.
pub fn token_stream(id: &str, stream: Stream) -> CallerResponse {
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

/// Renders a model's complete answer as one JSON object.
pub fn completion(id: &str, model: &str, target: &str, buffer: &Buffer) -> CallerResponse {
    let chat = target.starts_with("/v1/chat/");
    let text: String = buffer
        .tokens()
        .iter()
        .map(|data| chunk::text(data))
        .collect();
    let last = buffer
        .tokens()
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
            completion_tokens: buffer.tokens().len(),
        },
    };
    let mut response = json(StatusCode::OK, &completion);
    set_id(response.headers_mut(), id);
    response
}

/// Writes one server-sent event.
pub fn write_event(out: &mut Vec<u8>, position: u64, data: &[u8]) {
    use std::io::Write as _;
    // Writing to a `Vec` can't fail.
    _ = write!(out, "id: {position}\ndata: ");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
}

/// Returns the text of all tokens in a buffer.
pub fn emitted_text(buffer: &Buffer) -> String {
    buffer
        .tokens()
        .iter()
        .map(|data| chunk::text(data))
        .collect()
}

fn set_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(ID_HEADER, value);
    }
}

/// Sets the `Host` header of a request to another process.
pub fn set_host(headers: &mut HeaderMap, address: SocketAddr) {
    if let Ok(value) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, value);
    }
}
