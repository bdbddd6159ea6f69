//! A caller: asks for entries, sends calls and follows streams, and takes times.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use hornbeamtiller_http::client::{self, Client, Reuse};
use hornbeamtiller_http::sse;
use http::header::{HeaderName, HeaderValue, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::error::{Error, Result};

/// Largest answer read, in bytes.
const ANSWER_MAX: usize = 64 << 20;
/// Longest silence within an answer.
const SILENCE_MAX: Duration = Duration::from_secs(40);
/// Part of an unexpected body that is shown.
const SHOWN_BYTES: usize = 300;

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Ask {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    reuse: Reuse,
}

impl Ask {
    /// A request without a body.
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

    /// A GET.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// A POST of a JSON value.
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

    /// Sends it on a connection made for it alone.
    pub fn fresh(mut self) -> Self {
        self.reuse = Reuse::Fresh;
        self
    }

    fn build(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
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

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: Bytes,
    /// From the first byte sent to the last one received.
    pub took: Duration,
}

impl Answer {
    /// The refusal's code and reason, where it is one.
    pub fn refusal(&self) -> Option<(String, String)> {
        let out: RefusalBody = serde_json::from_slice(&self.body).ok()?;
        Some((out.error.code, out.error.reason))
    }
}

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalText,
}

#[derive(Deserialize)]
struct RefusalText {
    code: String,
    reason: String,
}

/// Sends a request and reads its whole answer.
///
/// # Errors
///
/// The client's error; the connection says nothing about whether the request ran.
pub async fn send(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
) -> std::result::Result<Answer, client::Error> {
    let started = Instant::now();
    let request = ask.build(address).unwrap_or_default();
    let answer = client
        .send(address, request, ask.reuse, SILENCE_MAX)
        .await?;
    let (head, body) = answer.collect(ANSWER_MAX, SILENCE_MAX).await?;
    Ok(Answer {
        head,
        body,
        took: started.elapsed(),
    })
}

/// Sends a request and reads its answer as JSON.
///
/// # Errors
///
/// [`Error::Unreachable`], or [`Error::Answer`] for a status other than success.
pub async fn json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    ask: Ask,
) -> Result<T> {
    let answer = send(client, address, &ask)
        .await
        .change_context(Error::Unreachable(address))?;
    let unexpected = || {
        let shown = &answer.body[..answer.body.len().min(SHOWN_BYTES)];
        let body = String::from_utf8_lossy(shown).into_owned();
        Report::new(Error::Answer {
            address,
            status: answer.head.status.as_u16(),
            body,
        })
    };
    if !answer.head.status.is_success() {
        return Err(unexpected());
    }
    serde_json::from_slice(&answer.body).map_err(|_| unexpected())
}

/// An address to use, with a token for ids of requests that go there.
#[derive(Debug, Clone, Deserialize)]
pub struct Entry {
    /// Its VM.
    pub vm: u32,
    /// Its zone.
    pub zone: String,
    /// The address.
    pub address: SocketAddr,
    /// The token.
    pub token: String,
}

/// The answer of `/v1/entries`.
#[derive(Debug, Clone, Deserialize)]
pub struct Entries {
    /// Best first.
    pub entries: Vec<Entry>,
    /// How long to keep the answer, in milliseconds.
    pub keep_ms: u64,
}

/// Asks a process which addresses to use.
///
/// # Errors
///
/// As [`json`].
pub async fn entries(client: &Client, address: SocketAddr) -> Result<Entries> {
    json(client, address, Ask::get("/v1/entries")).await
}

/// A streamed answer as it came.
#[derive(Debug, Default)]
pub struct Streamed {
    /// Positions of the tokens, in the order in which they came.
    pub positions: Vec<u64>,
    /// The texts of the tokens, joined.
    pub text: String,
    /// From the request to the first token.
    pub first_token: Duration,
    /// Times between tokens.
    pub intervals: Vec<Duration>,
    /// Whether the end mark came.
    pub done: bool,
    /// The refusal's body, where there was one.
    pub refusal: Option<String>,
    /// The request's id as echoed.
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

/// Sends a request and follows its stream for at most `tokens_max` tokens.
///
/// # Errors
///
/// The client's error before the head; a stream that is cut later is returned as far as it came.
pub async fn stream(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
    tokens_max: usize,
) -> std::result::Result<Streamed, client::Error> {
    let started = Instant::now();
    let request = ask.build(address).unwrap_or_default();
    let mut answer = client
        .send(address, request, Reuse::Fresh, SILENCE_MAX)
        .await?;
    let id = answer
        .head
        .headers
        .get("idempotency-key")
        .and_then(|id| id.to_str().ok());
    let mut streamed = Streamed {
        id: id.map(str::to_owned),
        ..Streamed::default()
    };
    if answer.head.status != StatusCode::OK {
        let (_, body) = answer.collect(ANSWER_MAX, SILENCE_MAX).await?;
        streamed.refusal = Some(String::from_utf8_lossy(&body).into_owned());
        return Ok(streamed);
    }
    let mut reader = sse::Parser::default();
    let mut latest = started;
    while let Ok(Some(chunk)) = answer.chunk(SILENCE_MAX).await {
        if reader.push(&chunk).is_err() {
            break;
        }
        while let Some(event) = reader.next_event() {
            streamed.take(&event, started, &mut latest);
        }
        if streamed.positions.len() >= tokens_max && !streamed.done {
            break;
        }
    }
    Ok(streamed)
}

impl Streamed {
    fn take(&mut self, event: &sse::Event, started: Instant, latest: &mut Instant) {
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
            self.intervals.push(now - *latest);
        }
        *latest = now;
        self.positions.push(event.id.unwrap_or(0));
        for choice in chunk.choices {
            self.text.push_str(&choice.text);
            self.text.push_str(&choice.delta.content);
        }
    }

    /// Tells whether the tokens are 1, 2, 3 and so on up to the end mark.
    pub fn is_whole(&self) -> bool {
        self.done
            && self
                .positions
                .iter()
                .enumerate()
                .all(|(at, position)| *position == at as u64 + 1)
    }
}
