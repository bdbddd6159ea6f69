//! Prefill and decode at model engines.
//!
//! The engines speak the OpenAI-compatible protocol with `kv_transfer_params`: a prefill is a
//! completion of one token that leaves its KV cache for a remote decode, and a decode is a
//! streamed completion that imports it. `resume` carries what was generated before.

use bytes::Bytes;
use hornbeamtiller_core::event::{Event, Failure, KvCache};
use hornbeamtiller_http::client::{Response, Reuse};
use hornbeamtiller_http::sse;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{failure, Job};
use crate::caller::render;
use crate::shell::Shell;

/// Header with the request's name at the engine.
const REQUEST_ID: &str = "x-request-id";
/// Largest answer of a prefill, in bytes.
const PREFILL_ANSWER_MAX: usize = 64 << 10;

#[derive(Deserialize)]
struct PrefillAnswer {
    kv_transfer_params: Transfer,
}

#[derive(Deserialize)]
struct Transfer {
    handle: String,
}

#[derive(Serialize)]
struct Resume {
    emitted_tokens: usize,
    text: String,
}

pub(super) async fn prefill(shell: &Shell, job: &Job) -> Result<(), Failure> {
    let mut body = caller_body(job)?;
    body.insert("stream".into(), false.into());
    body.insert("max_tokens".into(), 1.into());
    body.insert(
        "kv_transfer_params".into(),
        serde_json::json!({ "do_remote_decode": true }),
    );
    let answer = post(shell, job, &body).await?;
    let read = answer.collect(PREFILL_ANSWER_MAX, job.timeout).await;
    let (_, bytes) = read.map_err(|error| failure(&error))?;
    let answer: PrefillAnswer = serde_json::from_slice(&bytes).map_err(|_| Failure::Rejected)?;
    let kv = KvCache {
        handle: answer.kv_transfer_params.handle,
        address: job.address,
    };
    shell.apply(Event::Prefilled {
        attempt: job.attempt,
        kv,
    });
    Ok(())
}

pub(super) async fn decode(
    shell: &Shell,
    job: &Job,
    kv: &KvCache,
    from: u64,
) -> Result<(), Failure> {
    let mut body = caller_body(job)?;
    body.insert("stream".into(), true.into());
    let transfer = serde_json::json!({
        "do_remote_prefill": true,
        "remote_address": kv.address.to_string(),
        "handle": kv.handle,
    });
    body.insert("kv_transfer_params".into(), transfer);
    let answer = post(shell, job, &body).await?;
    follow(shell, job, answer, from).await
}

/// Takes over a stream that runs at the engine under another name.
pub(super) async fn resume(
    shell: &Shell,
    job: &Job,
    previous: &str,
    from: u64,
) -> Result<(), Failure> {
    let path = format!("/v1/requests/{previous}/resume?after={from}");
    let answer = post_to(shell, job, &path, Bytes::new()).await?;
    follow(shell, job, answer, from).await
}

/// Passes on the tokens of a stream.
async fn follow(shell: &Shell, job: &Job, mut answer: Response, from: u64) -> Result<(), Failure> {
    let mut reader = sse::Parser::default();
    let mut position = from;
    while let Some(chunk) = answer
        .chunk(job.timeout)
        .await
        .map_err(|error| failure(&error))?
    {
        reader.push(&chunk).map_err(|_| Failure::Rejected)?;
        while let Some(event) = reader.next_event() {
            if &*event.data == b"[DONE]" {
                shell.apply(Event::Finished {
                    attempt: job.attempt,
                });
                return Ok(());
            }
            position = event.id.unwrap_or(position + 1);
            shell.apply_token(job.attempt, position, event.data);
        }
    }
    // The stream ended without its end mark.
    Err(Failure::Lost)
}

/// The caller's body with what the engine has to know besides.
fn caller_body(job: &Job) -> Result<Map<String, Value>, Failure> {
    let body = serde_json::from_slice(&job.incoming.body).map_err(|_| Failure::Rejected)?;
    let Value::Object(mut body) = body else {
        return Err(Failure::Rejected);
    };
    body.insert("priority".into(), job.priority.into());
    let record = job.record.borrow();
    if !record.frames().is_empty() {
        let resume = Resume {
            emitted_tokens: record.frames().len(),
            text: render::emitted_text(&record),
        };
        body.insert("resume".into(), serde_json::json!(resume));
    }
    Ok(body)
}

async fn post(shell: &Shell, job: &Job, body: &Map<String, Value>) -> Result<Response, Failure> {
    let path = job.incoming.target.split('?').next().unwrap_or("/");
    let bytes = serde_json::to_vec(body).map_err(|_| Failure::Rejected)?;
    post_to(shell, job, path, bytes.into()).await
}

async fn post_to(shell: &Shell, job: &Job, path: &str, body: Bytes) -> Result<Response, Failure> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| Failure::Rejected)?;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        REQUEST_ID,
        HeaderValue::from_str(&job.request).map_err(|_| Failure::Rejected)?,
    );
    render::set_host(headers, job.address);
    // A request that is sent twice would be computed twice.
    let client = shell.client();
    let sent = client
        .send(job.address, request, Reuse::Fresh, job.timeout)
        .await;
    let answer = sent.map_err(|error| failure(&error))?;
    match answer.head.status {
        status if status.is_success() => Ok(answer),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Full),
        StatusCode::CONFLICT | StatusCode::GONE => Err(Failure::KvGone),
        status if status.is_client_error() => Err(Failure::Rejected),
        _ => Err(Failure::Lost),
    }
}
