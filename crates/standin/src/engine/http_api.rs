//! The engine's HTTP API: completions with `kv_transfer_params`, cancellation, load reports, cache
//! events and orders.

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

use super::cache::{prefix_digests, BYTES_PER_TOKEN};
use super::decode::{Chunks, StreamBody};
use super::state::{Order, Prefill, State, Stream};
use crate::fault::Fault;
use crate::json;

/// Largest request body, in bytes.
const BODY_BYTES_MAX: usize = 16 << 20;
/// Timeout for receiving a request body and for importing a KV cache.
const IO_TIMEOUT: Duration = Duration::from_secs(30);
/// Header with the request ID.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Tokens to generate if the request has no `max_tokens`.
const OUTPUT_TOKENS_DEFAULT: u64 = 256;
/// Priority of a request that has none.
const PRIORITY_DEFAULT: u8 = 100;

type HttpResponse = Response<Outgoing<Chunks>>;

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
    kv_transfer_params: KvTransfer,
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
struct KvTransfer {
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
struct KvExport {
    tokens: u64,
}

impl Completion {
    fn prompt_text(&self) -> String {
        let messages: String = self
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        format!("{}{messages}", self.prompt)
    }

    /// Returns the length of the prompt and the output generated so far, in tokens.
    fn prompt_tokens(&self, text: &str) -> u64 {
        (text.len() / BYTES_PER_TOKEN).max(1) as u64 + self.resume.emitted_tokens
    }
}

/// Handler of requests to one engine.
#[derive(Clone)]
pub struct Api {
    state: State,
    client: Client,
}

impl Api {
    /// Creates the handler.
    pub fn new(state: State, client: Client) -> Self {
        Self { state, client }
    }
}

impl Handler for Api {
    type Source = Chunks;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> HttpResponse {
        let fault_switch = self.state.fault_switch().clone();
        if fault_switch.get() == Fault::Refuse {
            return json::error(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let response = self.route(request).await;
        match fault_switch.get() {
            Fault::DropAnswer => truncated_response(),
            Fault::Silent => {
                fault_switch.wait_while(Fault::Silent).await;
                truncated_response()
            }
            _ => response,
        }
    }
}

impl Api {
    async fn route(&self, request: Request<hyper::body::Incoming>) -> HttpResponse {
        let (head, body) = request.into_parts();
        let Ok(body) = body::read(body, BODY_BYTES_MAX, IO_TIMEOUT).await else {
            return json::error(StatusCode::BAD_REQUEST, "body");
        };
        let path = head.uri.path();
        if head.method == Method::DELETE {
            return self.cancel(path);
        }
        if let Some(handle) = path.strip_prefix("/v1/kv/") {
            return self.export_kv(handle).await;
        }
        if let Some(previous) = path
            .strip_prefix("/v1/requests/")
            .and_then(|rest| rest.strip_suffix("/resume"))
        {
            return self.resume_stream(&head, previous);
        }
        match path {
            "/v1/load" => json::response(StatusCode::OK, &self.state.load_report()),
            "/v1/cache-events" => self.cache_events(head.uri.query()),
            "/v1/orders" => self.handle_order(&body),
            "/v1/completions" | "/v1/chat/completions" => self.complete(&head, &body).await,
            _ => json::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn cancel(&self, path: &str) -> HttpResponse {
        let Some(request_id) = path.strip_prefix("/v1/requests/") else {
            return json::error(StatusCode::NOT_FOUND, "no such path");
        };
        self.state.cancel(request_id);
        json::response(
            StatusCode::OK,
            &serde_json::json!({ "cancelled": request_id }),
        )
    }

    fn cache_events(&self, query: Option<&str>) -> HttpResponse {
        let after = json::query_number(query, "after").unwrap_or(0);
        let events = self
            .state
            .cache()
            .events_after(after, self.state.settings().report_delay);
        json::response(StatusCode::OK, &serde_json::json!({ "events": events }))
    }

    fn handle_order(&self, body: &Bytes) -> HttpResponse {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return json::error(StatusCode::BAD_REQUEST, "order");
        };
        if self.state.apply_order(&order) {
            json::response(StatusCode::OK, &order)
        } else {
            json::error(
                StatusCode::PRECONDITION_FAILED,
                "order has an old fencing token",
            )
        }
    }

    /// Resumes a stream for another request and moves it to that request's ID.
    fn resume_stream(&self, head: &http::request::Parts, previous: &str) -> HttpResponse {
        let request_id = head
            .headers
            .get(REQUEST_ID_HEADER)
            .and_then(|request_id| request_id.to_str().ok());
        let after = json::query_number(head.uri.query(), "after").unwrap_or(0);
        let Some(request_id) = request_id.filter(|request_id| !self.state.is_cancelled(request_id))
        else {
            return json::error(StatusCode::GONE, "cancelled");
        };
        let Some(stream) = self.state.rename_stream(previous, request_id) else {
            return json::error(StatusCode::GONE, "no such stream");
        };
        let emitted_before = stream.borrow().emitted_before;
        if after < emitted_before {
            return json::error(StatusCode::GONE, "stream begins at a later token");
        }
        self.stream_response(stream, (after - emitted_before) as usize)
    }

    fn stream_response(&self, stream: super::Shared<Stream>, next: usize) -> HttpResponse {
        let body = StreamBody::starting_at(stream, self.state.fault_switch().clone(), next);
        let mut response = Response::new(Outgoing::Stream(Chunks::Stream(body)));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    async fn complete(&self, head: &http::request::Parts, body: &Bytes) -> HttpResponse {
        let Ok(completion) = serde_json::from_slice::<Completion>(body) else {
            return json::error(StatusCode::BAD_REQUEST, "completion");
        };
        let request_id = head
            .headers
            .get(REQUEST_ID_HEADER)
            .and_then(|request_id| request_id.to_str().ok());
        let Some(request_id) = request_id.map(str::to_owned) else {
            return json::error(StatusCode::BAD_REQUEST, "x-request-id header is missing");
        };
        if self.state.is_cancelled(&request_id) {
            return json::error(StatusCode::GONE, "cancelled");
        }
        self.state
            .update_counters(|counters| counters.requests += 1);
        if completion.kv_transfer_params.do_remote_decode {
            self.prefill_prompt(request_id, &completion).await
        } else if completion.kv_transfer_params.do_remote_prefill {
            self.start_decode(request_id, &completion, head.uri.path().contains("chat"))
                .await
        } else {
            json::error(
                StatusCode::BAD_REQUEST,
                "request asks for neither a remote prefill nor a remote decode",
            )
        }
    }

    async fn prefill_prompt(&self, request_id: String, completion: &Completion) -> HttpResponse {
        let text = completion.prompt_text();
        let tokens = completion.prompt_tokens(&text);
        if !self.state.allocate_pieces(State::pieces_needed(tokens)) {
            self.state.update_counters(|counters| counters.refused += 1);
            return json::error(StatusCode::TOO_MANY_REQUESTS, "no free memory");
        }
        let (done, finished) = oneshot::channel();
        let prefill = Prefill {
            request_id: request_id.clone(),
            tokens,
            prefixes: prefix_digests(&text),
            done,
        };
        let priority = completion.priority.unwrap_or(PRIORITY_DEFAULT);
        self.state.enqueue(priority, prefill);
        if finished.await.is_err() {
            return truncated_response();
        }
        let response = serde_json::json!({
            "kv_transfer_params": { "handle": request_id },
            "usage": { "prompt_tokens": tokens },
        });
        json::response(StatusCode::OK, &response)
    }

    /// Transfers a KV cache to the engine that imports it, at the rate of the link.
    async fn export_kv(&self, handle: &str) -> HttpResponse {
        let Some(result) = self.state.take_result(handle) else {
            return json::error(StatusCode::NOT_FOUND, "no such KV cache");
        };
        let transferred_at = self.state.schedule_transfer(result.tokens);
        monoio::time::sleep(transferred_at.saturating_duration_since(Instant::now())).await;
        json::response(
            StatusCode::OK,
            &KvExport {
                tokens: result.tokens,
            },
        )
    }

    async fn start_decode(
        &self,
        request_id: String,
        completion: &Completion,
        chat: bool,
    ) -> HttpResponse {
        let text = completion.prompt_text();
        let max_tokens = completion.max_tokens.unwrap_or(OUTPUT_TOKENS_DEFAULT);
        let tokens = completion.prompt_tokens(&text) + max_tokens;
        let Some(reservation) = self.state.reserve(tokens) else {
            return json::error(
                StatusCode::TOO_MANY_REQUESTS,
                "no free batch slot or memory",
            );
        };
        let epoch = self.state.epoch();
        let imported = self.import_kv(&completion.kv_transfer_params).await;
        if self.state.epoch() != epoch {
            return truncated_response();
        }
        if !imported || self.state.is_cancelled(&request_id) {
            return json::error(
                StatusCode::CONFLICT,
                "KV cache was not imported, or the request was cancelled",
            );
        }
        let stream = Rc::new(RefCell::new(Stream {
            prompt_digest: prompt_digest(&text),
            chat,
            emitted_before: completion.resume.emitted_tokens,
            frames: Vec::new(),
            last_position: max_tokens,
            pieces: State::pieces_needed(tokens),
            broken: false,
            wakers: Vec::new(),
        }));
        self.state
            .start_stream(reservation, request_id, stream.clone());
        self.stream_response(stream, 0)
    }

    async fn import_kv(&self, transfer: &KvTransfer) -> bool {
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
            .send(address, request, Reuse::Allowed, IO_TIMEOUT)
            .await;
        sent.is_ok_and(|response| response.head.status.is_success())
    }
}

/// Returns the digest of a prompt that is written into each token's text.
pub fn prompt_digest(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |digest, byte| {
        (digest ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// A response whose body is interrupted, which closes the connection.
fn truncated_response() -> HttpResponse {
    let (sender, channel) = Channel::new();
    _ = sender.unbounded_send(Err(Truncated));
    Response::new(Outgoing::Stream(Chunks::Channel(channel)))
}
