//! Parsing and validation of caller requests.

use bytes::Bytes;
use hornbeamtiller_core::event::{Arrival, Work};
use hornbeamtiller_core::id::{Fingerprint, Zone};
use hornbeamtiller_core::refusal::{Reason, Refusal};
use hornbeamtiller_http::body;
use hornbeamtiller_http::server::Limits;
use http::header::{self, HeaderName};
use serde::Deserialize;

use super::FORWARDED_HEADER;
use crate::driver::CallerRequest;

/// Header that carries the id of a request.
pub const ID_HEADER: &str = "idempotency-key";
/// Header that names the organisation whose limits apply to a request.
const ORGANISATION_HEADER: &str = "openai-organization";
/// Organisation of requests without that header.
const ORGANISATION_DEFAULT: &str = "none";
/// Longest accepted organisation name, in bytes.
const ORGANISATION_BYTES_MAX: usize = 128;
/// Header with the position of the last token that the caller already has.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens to generate if the request sets no limit.
const OUTPUT_TOKENS_DEFAULT: u64 = 256;
/// Maximum number of tokens to generate that a request may ask for.
const OUTPUT_TOKENS_MAX: u64 = 32_768;

/// The target of a request, from its path.
pub enum Route {
    /// A model request.
    Model,
    /// A call to a plain service: the endpoint, and the path and query below its prefix.
    Service(String, String),
}

impl Route {
    /// Parses the target from a request's path.
    ///
    /// # Errors
    ///
    /// [`Reason::NotFound`] for an unknown path or method.
    pub fn parse(head: &http::request::Parts) -> Result<Self, Refusal> {
        let path = head.uri.path();
        match path {
            "/v1/completions" | "/v1/chat/completions" if head.method == http::Method::POST => {
                Ok(Self::Model)
            }
            _ => Self::service(head, path).ok_or(Refusal::not_run(Reason::NotFound)),
        }
    }

    fn service(head: &http::request::Parts, path: &str) -> Option<Self> {
        let rest = path.strip_prefix("/v1/services/")?;
        let (endpoint, below) = rest.split_once('/').unwrap_or((rest, ""));
        if endpoint.is_empty() {
            return None;
        }
        let query = head
            .uri
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        Some(Self::Service(
            endpoint.to_owned(),
            format!("/{below}{query}"),
        ))
    }
}

/// A validated request.
pub struct Request {
    /// The arrival for the reducer; its exchange number is set later.
    pub arrival: Arrival,
    /// The request for the driver.
    pub caller_request: CallerRequest,
    /// Whether this is a model request.
    pub is_model: bool,
}

#[derive(Deserialize)]
struct ModelRequest {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Vec<ChatMessage>>,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(rename = "role")]
    _role: String,
    content: String,
}

impl ModelRequest {
    fn parse(path: &str, body: &[u8]) -> Option<Self> {
        let request: Self = serde_json::from_slice(body).ok()?;
        let has_prompt = if path.contains("chat") {
            request.messages.is_some()
        } else {
            request.prompt.is_some()
        };
        let in_range = request
            .max_tokens
            .is_none_or(|max| (1..=OUTPUT_TOKENS_MAX).contains(&max));
        (has_prompt && in_range).then_some(request)
    }

    fn prompt_tokens(&self) -> u64 {
        let prompt = self.prompt.as_deref().map_or(0, str::len);
        let messages: usize = self
            .messages
            .iter()
            .flatten()
            .map(|message| message.content.len())
            .sum();
        ((prompt + messages) / BYTES_PER_TOKEN).max(1) as u64
    }
}

impl Request {
    /// Validates a request with its complete body.
    ///
    /// # Errors
    ///
    /// [`Reason::Malformed`] for an invalid body or header.
    pub fn new(route: Route, head: &http::request::Parts, body: Bytes) -> Result<Self, Refusal> {
        let malformed = Refusal::not_run(Reason::Malformed);
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned();
        let fingerprint = Fingerprint::of(head.method.as_str(), &target, &body);
        let is_model = matches!(route, Route::Model);
        let (endpoint, work, streamed, subpath) = match route {
            Route::Model => {
                let request = ModelRequest::parse(head.uri.path(), &body).ok_or(malformed)?;
                let max_tokens = request.max_tokens.unwrap_or(OUTPUT_TOKENS_DEFAULT);
                let work = Work::Model {
                    prompt_tokens: request.prompt_tokens(),
                    max_tokens,
                };
                (request.model, work, request.stream, String::new())
            }
            Route::Service(endpoint, subpath) => {
                let work = Work::Service {
                    method: head.method.as_str().to_owned(),
                    path: subpath.clone(),
                };
                (endpoint, work, false, subpath)
            }
        };
        let arrival = Arrival {
            exchange: 0,
            id: header_text(head, ID_HEADER)?,
            endpoint: endpoint.into(),
            work,
            organisation: organisation(head)?.into(),
            fingerprint,
            forwarded: head.headers.contains_key(FORWARDED_HEADER),
            resume_after: last_event_id(head)?,
        };
        let headers = end_to_end_headers(&head.headers);
        let caller_request = CallerRequest {
            method: head.method.clone(),
            target,
            subpath,
            headers,
            body,
            streamed,
        };
        Ok(Self {
            arrival,
            caller_request,
            is_model,
        })
    }
}

/// Refuses a request that has both `Transfer-Encoding` and `Content-Length`.
///
/// # Errors
///
/// [`Reason::Malformed`].
pub fn check_framing(head: &http::request::Parts) -> Result<(), Refusal> {
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    let sized = head.headers.contains_key(header::CONTENT_LENGTH);
    if chunked && sized {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    Ok(())
}

/// Reads a body within the listener's limits.
///
/// # Errors
///
/// A refusal that names the limit exceeded, or [`Reason::Malformed`] if the body is cut off or its
/// framing is invalid.
pub async fn read_body(body: hyper::body::Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let read = body::read(body, limits.body_bytes, limits.body_timeout).await;
    read.map_err(|error| {
        Refusal::not_run(match error {
            body::Error::TooLarge(_) => Reason::BodyTooLarge,
            body::Error::TimedOut(_) | body::Error::TooSlow => Reason::BodyTimeout,
            body::Error::Exhausted(_) => Reason::Busy,
            body::Error::Interrupted(_) => Reason::Malformed,
        })
    })
}

/// Returns the value of a query parameter.
pub fn query_parameter(head: &http::request::Parts, name: &str) -> Option<Zone> {
    let pairs = head.uri.query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    Some(value.into())
}

fn header_text(head: &http::request::Parts, name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = head.headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Refusal::not_run(Reason::Malformed))?;
    Ok(Some(text.to_owned()))
}

fn organisation(head: &http::request::Parts) -> Result<String, Refusal> {
    let name =
        header_text(head, ORGANISATION_HEADER)?.unwrap_or_else(|| ORGANISATION_DEFAULT.to_owned());
    if name.len() > ORGANISATION_BYTES_MAX {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    Ok(name)
}

fn last_event_id(head: &http::request::Parts) -> Result<u64, Refusal> {
    match header_text(head, LAST_EVENT_ID_HEADER)? {
        None => Ok(0),
        Some(text) => text
            .parse()
            .map_err(|_| Refusal::not_run(Reason::Malformed)),
    }
}

/// Returns whether a header applies to one connection and must not be forwarded.
pub fn is_connection_header(name: &HeaderName) -> bool {
    const NAMES: [HeaderName; 8] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::HOST,
        header::PROXY_AUTHORIZATION,
    ];
    NAMES.contains(name) || name.as_str() == "keep-alive" || name.as_str() == "expect"
}

fn end_to_end_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = http::HeaderMap::new();
    for (name, value) in headers {
        if !is_connection_header(name) && name.as_str() != FORWARDED_HEADER {
            kept.append(name, value.clone());
        }
    }
    kept
}
