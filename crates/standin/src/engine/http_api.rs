//! The engine's protocol: completions with `kv_transfer_params`, cancels, load, orders.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use hornbeamtiller_http::body::{self, Channel, Outgoing, Truncated};
use hornbeamtiller_http::client::{Client, Reuse};
use hornbeamtiller_http::server::Handler;
use http::header::{HeaderValue, CONTENT_TYPE, HOST};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::cache::{prefixes, BYTES_PER_TOKEN};
use super::decode::{Chunks, Follower};
use super::model::{Model, Order, Prefill, Stream};
use crate::fault::Fault;
use crate::json;

/// Largest request body, in bytes.
const BODY_MAX: usize = 16 << 20;
/// Time for a request body to come, and for a KV cache beyond its time on the link.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Header with the request's name.
const REQUEST_ID: &str = "x-request-id";
/// Tokens to generate where the request says nothing.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Priority of a request that states none.
const DEFAULT_PRIORITY: u8 = 100;

type Answer = Response<Outgoing<Chunks>>;

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    kv_transfer_params: Transfer,
    #[serde(default)]
    resume: Resume,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Transfer {
    do_remote_decode: bool,
    do_remote_prefill: bool,
    remote_address: Option<SocketAddr>,
    handle: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Resume {
    emitted_tokens: u64,
}

#[derive(Serialize, Deserialize)]
struct Exported {
    tokens: u64,
}

impl Completion {
    fn text(&self) -> String {
        let messages: String = self
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        format!("{}{messages}", self.prompt)
    }

    /// Length of the prompt with what was generated, in tokens.
    fn tokens(&self, text: &str) -> u64 {
        (text.len() / BYTES_PER_TOKEN).max(1) as u64 + self.resume.emitted_tokens
    }
}

/// Answers requests to one engine.
#[derive(Clone)]
pub struct Api {
    model: Model,
    client: Client,
}

impl Api {
    /// Makes the handler.
    pub fn new(model: Model, client: Client) -> Self {
        Self { model, client }
    }
}

impl Handler for Api {
    type Source = Chunks;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> Answer {
        let faults = self.model.switch().clone();
        if faults.get() == Fault::Refuse {
            return json::error(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let answer = self.answer(request).await;
        match faults.get() {
            Fault::DropAnswer => cut(),
            Fault::Silent => {
                faults.wait_out(Fault::Silent).await;
                cut()
            }
            _ => answer,
        }
    }
}

impl Api {
    async fn answer(&self, request: Request<hyper::body::Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Ok(body) = body::read(body, BODY_MAX, WAIT_MAX).await else {
            return json::error(StatusCode::BAD_REQUEST, "body");
        };
        let path = head.uri.path();
        if head.method == Method::DELETE {
            return self.cancel(path);
        }
        if let Some(handle) = path.strip_prefix("/v1/kv/") {
            return self.export(handle).await;
        }
        if let Some(previous) = path
            .strip_prefix("/v1/requests/")
            .and_then(|rest| rest.strip_suffix("/resume"))
        {
            return self.resume(&head, previous);
        }
        match path {
            "/v1/load" => json::reply(StatusCode::OK, &self.model.load_report()),
            "/v1/cache-events" => self.cache_events(head.uri.query()),
            "/v1/orders" => self.order(&body),
            "/v1/completions" | "/v1/chat/completions" => self.complete(&head, &body).await,
            _ => json::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn cancel(&self, path: &str) -> Answer {
        let Some(request) = path.strip_prefix("/v1/requests/") else {
            return json::error(StatusCode::NOT_FOUND, "no such path");
        };
        self.model.cancel(request);
        json::reply(StatusCode::OK, &serde_json::json!({ "cancelled": request }))
    }

    fn cache_events(&self, query: Option<&str>) -> Answer {
        let after = json::number(query, "after").unwrap_or(0);
        let events = self
            .model
            .cache()
            .events_after(after, self.model.settings().report_lag);
        json::reply(StatusCode::OK, &serde_json::json!({ "events": events }))
    }

    fn order(&self, body: &Bytes) -> Answer {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return json::error(StatusCode::BAD_REQUEST, "order");
        };
        if self.model.order(&order) {
            json::reply(StatusCode::OK, &order)
        } else {
            json::error(StatusCode::PRECONDITION_FAILED, "old fencing number")
        }
    }

    /// Gives a stream to whoever asks for it, under the name of that request.
    fn resume(&self, head: &http::request::Parts, previous: &str) -> Answer {
        let name = head
            .headers
            .get(REQUEST_ID)
            .and_then(|name| name.to_str().ok());
        let after = json::number(head.uri.query(), "after").unwrap_or(0);
        let Some(name) = name.filter(|name| !self.model.is_cancelled(name)) else {
            return json::error(StatusCode::GONE, "cancelled");
        };
        let Some(stream) = self.model.rename(previous, name) else {
            return json::error(StatusCode::GONE, "no such stream");
        };
        let from = stream.borrow().from;
        if after < from {
            return json::error(StatusCode::GONE, "begins later");
        }
        self.stream_reply(stream, (after - from) as usize)
    }

    fn stream_reply(&self, stream: super::Cell<Stream>, next: usize) -> Answer {
        let follower = Follower::after(stream, self.model.switch().clone(), next);
        let mut response = Response::new(Outgoing::Stream(Chunks::Follow(follower)));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    async fn complete(&self, head: &http::request::Parts, body: &Bytes) -> Answer {
        let Ok(completion) = serde_json::from_slice::<Completion>(body) else {
            return json::error(StatusCode::BAD_REQUEST, "completion");
        };
        let name = head
            .headers
            .get(REQUEST_ID)
            .and_then(|name| name.to_str().ok());
        let Some(name) = name.map(str::to_owned) else {
            return json::error(StatusCode::BAD_REQUEST, "x-request-id is missing");
        };
        if self.model.is_cancelled(&name) {
            return json::error(StatusCode::GONE, "cancelled");
        }
        self.model.count(|counts| counts.requests += 1);
        if completion.kv_transfer_params.do_remote_decode {
            self.prefill(name, &completion).await
        } else if completion.kv_transfer_params.do_remote_prefill {
            self.decode(name, &completion, head.uri.path().contains("chat"))
                .await
        } else {
            json::error(
                StatusCode::BAD_REQUEST,
                "neither a remote prefill nor a remote decode",
            )
        }
    }

    async fn prefill(&self, name: String, completion: &Completion) -> Answer {
        let text = completion.text();
        let tokens = completion.tokens(&text);
        if !self.model.take_pieces(Model::pieces_for(tokens)) {
            self.model.count(|counts| counts.refused += 1);
            return json::error(StatusCode::TOO_MANY_REQUESTS, "no memory");
        }
        let (done, finished) = oneshot::channel();
        let prefill = Prefill {
            request: name.clone(),
            tokens,
            prefixes: prefixes(&text),
            done,
        };
        let priority = completion.priority.unwrap_or(DEFAULT_PRIORITY);
        self.model.queue(priority, prefill);
        if finished.await.is_err() {
            return cut();
        }
        let answer = serde_json::json!({
            "kv_transfer_params": { "handle": name },
            "usage": { "prompt_tokens": tokens },
        });
        json::reply(StatusCode::OK, &answer)
    }

    /// Gives a KV cache to the engine that imports it, at the rate of the link.
    async fn export(&self, handle: &str) -> Answer {
        let Some(held) = self.model.take_held(handle) else {
            return json::error(StatusCode::NOT_FOUND, "no such cache");
        };
        let end = self.model.link_slot(held.tokens);
        monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
        json::reply(
            StatusCode::OK,
            &Exported {
                tokens: held.tokens,
            },
        )
    }

    async fn decode(&self, name: String, completion: &Completion, chat: bool) -> Answer {
        let text = completion.text();
        let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let tokens = completion.tokens(&text) + max_tokens;
        let Some(reservation) = self.model.reserve(tokens) else {
            return json::error(StatusCode::TOO_MANY_REQUESTS, "no room");
        };
        let epoch = self.model.epoch();
        let imported = self.import(&completion.kv_transfer_params).await;
        if self.model.epoch() != epoch {
            return cut();
        }
        if !imported || self.model.is_cancelled(&name) {
            return json::error(StatusCode::CONFLICT, "the cache is gone");
        }
        let stream = Rc::new(RefCell::new(Stream {
            digest: prompt_digest(&text),
            chat,
            from: completion.resume.emitted_tokens,
            frames: Vec::new(),
            last: max_tokens,
            pieces: Model::pieces_for(tokens),
            broken: false,
            wakers: Vec::new(),
        }));
        self.model.start(reservation, name, stream.clone());
        self.stream_reply(stream, 0)
    }

    async fn import(&self, transfer: &Transfer) -> bool {
        let Some(address) = transfer.remote_address else {
            return false;
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        let (Ok(uri), Ok(host)) = (
            format!("/v1/kv/{}", transfer.handle).parse(),
            HeaderValue::from_str(&address.to_string()),
        ) else {
            return false;
        };
        *request.uri_mut() = uri;
        request.headers_mut().insert(HOST, host);
        let sent = self
            .client
            .send(address, request, Reuse::Allowed, WAIT_MAX)
            .await;
        sent.is_ok_and(|answer| answer.head.status.is_success())
    }
}

/// Digest of a prompt, as it stands in each token's text.
pub fn prompt_digest(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |digest, byte| {
        (digest ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

fn cut() -> Answer {
    let (feed, channel) = Channel::new();
    _ = feed.unbounded_send(Err(Truncated));
    Response::new(Outgoing::Stream(Chunks::Channel(channel)))
}
