//! A caller that fetches entries, sends requests and reads streams, and measures their latency.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::client::{self, Client, Reuse};
use hornbeamtiller_http::sse;
use http::header::{HeaderName, HeaderValue, HOST};
use http::{Method, Request as HttpRequest, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::error::{Error, Result};

/// Size limit of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 << 20;
/// Longest wait for the next data of a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Part of an invalid response body that an error shows, in bytes.
const EXCERPT_BYTES: usize = 300;

/// A request that can be sent any number of times, to any address.
#[derive(Debug, Clone)]
pub struct Request {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    reuse: Reuse,
}

impl Request {
    /// Creates a request without a body.
    pub fn new(method: Method, path: &str) -> Self {
        let path = path.to_owned();
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            reuse: Reuse::Allowed,
        }
    }

    /// Creates a GET request.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a POST request with a JSON body.
    pub fn post(path: &str, body: &serde_json::Value) -> Self {
        Self::new(Method::POST, path).body(body.to_string())
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request on a new connection instead of a pooled one.
    pub fn on_new_connection(mut self) -> Self {
        self.reuse = Reuse::Fresh;
        self
    }

    fn build(&self, address: SocketAddr) -> Option<HttpRequest<Full<Bytes>>> {
        let mut request = HttpRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
        for (name, value) in &self.headers {
            headers.insert(
                HeaderName::from_bytes(name.as_bytes()).ok()?,
                HeaderValue::from_str(value).ok()?,
            );
        }
        Some(request)
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Time from sending the request to the last byte of the response.
    pub elapsed: Duration,
}

impl Response {
    /// Code and reason of a refusal, or `None` if the response isn't one.
    pub fn refusal(&self) -> Option<(String, String)> {
        let body: RefusalBody = serde_json::from_slice(&self.body).ok()?;
        Some((body.error.code, body.error.reason))
    }
}

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalError,
}

#[derive(Deserialize)]
struct RefusalError {
    code: String,
    reason: String,
}

/// Sends a request and reads its complete response.
///
/// # Errors
///
/// The client's error, which doesn't tell whether the request was executed.
pub async fn send(
    client: &Client,
    address: SocketAddr,
    request: &Request,
) -> std::result::Result<Response, client::Error> {
    let started = Instant::now();
    let http_request = request.build(address).unwrap_or_default();
    let response = client
        .send(address, http_request, request.reuse, IDLE_TIMEOUT)
        .await?;
    let (head, body) = response.collect(RESPONSE_BYTES_MAX, IDLE_TIMEOUT).await?;
    Ok(Response {
        head,
        body,
        elapsed: started.elapsed(),
    })
}

/// Sends a request and decodes the JSON body of its response.
///
/// # Errors
///
/// [`Error::Unreachable`] if the request fails, [`Error::InvalidResponse`] for a status other than
/// success or a body that can't be decoded.
pub async fn send_for_json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    request: Request,
) -> Result<T> {
    let response = send(client, address, &request)
        .await
        .change_context(Error::Unreachable(address))?;
    let unexpected = || {
        let excerpt = &response.body[..response.body.len().min(EXCERPT_BYTES)];
        let body = String::from_utf8_lossy(excerpt).into_owned();
        Report::new(Error::InvalidResponse {
            address,
            status: response.head.status.as_u16(),
            body,
        })
    };
    if !response.head.status.is_success() {
        return Err(unexpected());
    }
    serde_json::from_slice(&response.body).map_err(|_| unexpected())
}

/// The caller address of an entry VM, with the token for ids of requests sent to it.
#[derive(Debug, Clone, Deserialize)]
pub struct Entry {
    /// Number of the VM.
    pub vm: u32,
    /// Zone of the VM.
    pub zone: String,
    /// Caller address of the VM.
    pub address: SocketAddr,
    /// Token that ids of requests to this VM start with.
    pub token: String,
}

/// The response of `/v1/entries`.
#[derive(Debug, Clone, Deserialize)]
pub struct Entries {
    /// Entries by preference, the preferred one first.
    pub entries: Vec<Entry>,
    /// Time for which the entries may be used, in milliseconds.
    pub keep_ms: u64,
}

/// Fetches the entry addresses from a process.
///
/// # Errors
///
/// As [`send_for_json`].
pub async fn fetch_entries(client: &Client, address: SocketAddr) -> Result<Entries> {
    send_for_json(client, address, Request::get("/v1/entries")).await
}

/// A streamed response as far as it was received.
#[derive(Debug, Default)]
pub struct StreamedResponse {
    /// Positions of the tokens, in order of arrival.
    pub positions: Vec<u64>,
    /// Concatenated text of the tokens.
    pub text: String,
    /// Time from the request to the first token.
    pub first_token: Duration,
    /// Times between successive tokens.
    pub intervals: Vec<Duration>,
    /// Whether the `[DONE]` event was received.
    pub done: bool,
    /// Body of a response other than 200, or the last event that is neither a token nor `[DONE]`.
    pub refusal: Option<String>,
    /// Id of the request, as echoed in the response head.
    pub id: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// Sends a request on a new connection and reads its stream to its end, or disconnects once at
/// least `tokens_max` tokens were received.
///
/// # Errors
///
/// The client's error if it occurs before the response head or in the body of a refusal. A stream
/// that breaks later is returned as far as it was received.
pub async fn stream(
    client: &Client,
    address: SocketAddr,
    request: &Request,
    tokens_max: usize,
) -> std::result::Result<StreamedResponse, client::Error> {
    let started = Instant::now();
    let http_request = request.build(address).unwrap_or_default();
    let mut response = client
        .send(address, http_request, Reuse::Fresh, IDLE_TIMEOUT)
        .await?;
    let id = response
        .head
        .headers
        .get("idempotency-key")
        .and_then(|id| id.to_str().ok());
    let mut streamed = StreamedResponse {
        id: id.map(str::to_owned),
        ..StreamedResponse::default()
    };
    if response.head.status != StatusCode::OK {
        let (_, body) = response.collect(RESPONSE_BYTES_MAX, IDLE_TIMEOUT).await?;
        streamed.refusal = Some(String::from_utf8_lossy(&body).into_owned());
        return Ok(streamed);
    }
    let mut parser = sse::Parser::default();
    let mut last_token_at = started;
    while let Ok(Some(chunk)) = response.chunk(IDLE_TIMEOUT).await {
        if parser.push(&chunk).is_err() {
            break;
        }
        while let Some(event) = parser.next_event() {
            streamed.record_event(&event, started, &mut last_token_at);
        }
        if streamed.positions.len() >= tokens_max && !streamed.done {
            break;
        }
    }
    Ok(streamed)
}

impl StreamedResponse {
    fn record_event(&mut self, event: &sse::Event, started: Instant, last_token_at: &mut Instant) {
        if &*event.data == b"[DONE]" {
            self.done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(&event.data) else {
            self.refusal = Some(String::from_utf8_lossy(&event.data).into_owned());
            return;
        };
        let now = Instant::now();
        if self.positions.is_empty() {
            self.first_token = now - started;
        } else {
            self.intervals.push(now - *last_token_at);
        }
        *last_token_at = now;
        self.positions.push(event.id.unwrap_or(0));
        for choice in chunk.choices {
            self.text.push_str(&choice.text);
            self.text.push_str(&choice.delta.content);
        }
    }

    /// Whether the positions are 1, 2, 3 and so on without a gap, and the `[DONE]` event was
    /// received.
    pub fn is_complete(&self) -> bool {
        self.done
            && self
                .positions
                .iter()
                .enumerate()
                .all(|(index, position)| *position == index as u64 + 1)
    }
}
