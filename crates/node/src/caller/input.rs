//! Reading and checking of what callers send.

use bytes::Bytes;
use hornbeamtiller_core::event::{Arrival, Work};
use hornbeamtiller_core::id::{Fingerprint, Zone};
use hornbeamtiller_core::refusal::{Reason, Refusal};
use hornbeamtiller_http::body;
use hornbeamtiller_http::server::Limits;
use http::header::{self, HeaderName};
use serde::Deserialize;

use super::FORWARDED;
use crate::shell::Incoming;

/// Header with the id of a request.
pub const ID: &str = "idempotency-key";
/// Header with the name of the organisation that a request is counted under.
const ORGANISATION: &str = "openai-organization";
/// Organisation of requests that name none.
const NO_ORGANISATION: &str = "none";
/// Longest accepted organisation name, in bytes.
const ORGANISATION_MAX: usize = 128;
/// Header with the position after which a stream is wanted.
const LAST_EVENT: &str = "last-event-id";
/// Estimated bytes of text in one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens to generate where the caller says nothing.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Largest accepted number of tokens to generate.
const MAX_TOKENS_MAX: u64 = 32_768;

/// What a path names.
pub enum Route {
    /// A model request.
    Model,
    /// A call to a plain service: the endpoint, and the path and query below it.
    Service(String, String),
}

impl Route {
    /// Finds what a request's path names.
    ///
    /// # Errors
    ///
    /// A refusal for an unknown path or an unfit method.
    pub fn find(head: &http::request::Parts) -> Result<Self, Refusal> {
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

/// A checked request.
pub struct Parsed {
    /// For the reducer; the exchange is still to be filled in.
    pub arrival: Arrival,
    /// For the shell.
    pub incoming: Incoming,
    /// Whether it asks for a model.
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
        let fits = if path.contains("chat") {
            request.messages.is_some()
        } else {
            request.prompt.is_some()
        };
        let bounded = request
            .max_tokens
            .is_none_or(|max| (1..=MAX_TOKENS_MAX).contains(&max));
        (fits && bounded).then_some(request)
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

impl Parsed {
    /// Checks a request whose body has come whole.
    ///
    /// # Errors
    ///
    /// A refusal for a body or a header that is not of the documented shape.
    pub fn new(route: Route, head: &http::request::Parts, body: Bytes) -> Result<Self, Refusal> {
        let malformed = Refusal::not_run(Reason::Malformed);
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned();
        let fingerprint = Fingerprint::of(head.method.as_str(), &target, &body);
        let is_model = matches!(route, Route::Model);
        let (endpoint, work, streamed, below) = match route {
            Route::Model => {
                let request = ModelRequest::parse(head.uri.path(), &body).ok_or(malformed)?;
                let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
                let work = Work::Model {
                    prompt_tokens: request.prompt_tokens(),
                    max_tokens,
                };
                (request.model, work, request.stream, String::new())
            }
            Route::Service(endpoint, below) => {
                let work = Work::Service {
                    method: head.method.as_str().to_owned(),
                    path: below.clone(),
                };
                (endpoint, work, false, below)
            }
        };
        let arrival = Arrival {
            exchange: 0,
            id: text(head, ID)?,
            endpoint: endpoint.into(),
            work,
            organisation: organisation(head)?.into(),
            fingerprint,
            forwarded: head.headers.contains_key(FORWARDED),
            after: after(head)?,
        };
        let headers = passed_headers(&head.headers);
        let incoming = Incoming {
            method: head.method.clone(),
            target,
            below,
            headers,
            body,
            streamed,
        };
        Ok(Self {
            arrival,
            incoming,
            is_model,
        })
    }
}

/// Refuses a request whose length is stated in two ways.
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

/// Reads a body within the listener's bounds.
///
/// # Errors
///
/// A refusal that says which bound was broken.
pub async fn read_body(body: hyper::body::Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let read = body::read(body, limits.body_bytes, limits.body_timeout).await;
    read.map_err(|error| {
        Refusal::not_run(match error {
            body::Error::TooLarge(_) => Reason::BodyTooLarge,
            body::Error::TimedOut(_) => Reason::BodyTimeout,
            body::Error::Interrupted(_) => Reason::Malformed,
        })
    })
}

/// Finds a parameter of the query.
pub fn query(head: &http::request::Parts, name: &str) -> Option<Zone> {
    let pairs = head.uri.query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    Some(value.into())
}

fn text(head: &http::request::Parts, name: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = head.headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Refusal::not_run(Reason::Malformed))?;
    Ok(Some(text.to_owned()))
}

fn organisation(head: &http::request::Parts) -> Result<String, Refusal> {
    let name = text(head, ORGANISATION)?.unwrap_or_else(|| NO_ORGANISATION.to_owned());
    if name.len() > ORGANISATION_MAX {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    Ok(name)
}

fn after(head: &http::request::Parts) -> Result<u64, Refusal> {
    match text(head, LAST_EVENT)? {
        None => Ok(0),
        Some(text) => text
            .parse()
            .map_err(|_| Refusal::not_run(Reason::Malformed)),
    }
}

/// Tells whether a header speaks of the connection and not of the message.
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

fn passed_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut passed = http::HeaderMap::new();
    for (name, value) in headers {
        if !is_connection_header(name) && name.as_str() != FORWARDED {
            passed.append(name, value.clone());
        }
    }
    passed
}
