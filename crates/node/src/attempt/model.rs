//! Prefill, decode and resume at model engines.
//!
//! The engines speak the OpenAI-compatible protocol with `kv_transfer_params`: a prefill is a
//! completion of one token that leaves its KV cache for a remote decode, and a decode is a
//! streamed completion that imports it. The `resume` field of either holds the number and the text
//! of the tokens generated so far.

use bytes::Bytes;
use hornbeamtiller_core::event::{Event, Failure, KvCache};
use hornbeamtiller_http::client::{Response, Reuse};
use hornbeamtiller_http::sse;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{classify_error, Job};
use crate::caller::render;
use crate::driver::Driver;

/// Header with the request's id at the engine.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Maximum size of a response to a prefill, in bytes.
const PREFILL_RESPONSE_BYTES_MAX: usize = 64 << 10;

#[derive(Deserialize)]
struct PrefillResponse {
    kv_transfer_params: KvTransferParams,
}

#[derive(Deserialize)]
struct KvTransferParams {
    handle: String,
}

#[derive(Serialize)]
struct Resume {
    emitted_tokens: usize,
    text: String,
}

pub(super) async fn prefill(driver: &Driver, job: &Job) -> Result<(), Failure> {
    let mut body = engine_body(job)?;
    body.insert("stream".into(), false.into());
    body.insert("max_tokens".into(), 1.into());
    body.insert(
        "kv_transfer_params".into(),
        serde_json::json!({ "do_remote_decode": true }),
    );
    let response = post(driver, job, &body).await?;
    let read = response
        .collect(PREFILL_RESPONSE_BYTES_MAX, job.timeout)
        .await;
    let (_, bytes) = read.map_err(|error| classify_error(&error))?;
    let response: PrefillResponse =
        serde_json::from_slice(&bytes).map_err(|_| Failure::Rejected)?;
    let kv = KvCache {
        handle: response.kv_transfer_params.handle,
        address: job.address,
    };
    driver.apply(Event::Prefilled {
        attempt: job.attempt,
        kv,
    });
    Ok(())
}

pub(super) async fn decode(
    driver: &Driver,
    job: &Job,
    kv: &KvCache,
    from: u64,
) -> Result<(), Failure> {
    let mut body = engine_body(job)?;
    body.insert("stream".into(), true.into());
    let transfer = serde_json::json!({
        "do_remote_prefill": true,
        "remote_address": kv.address.to_string(),
        "handle": kv.handle,
    });
    body.insert("kv_transfer_params".into(), transfer);
    let response = post(driver, job, &body).await?;
    relay_tokens(driver, job, response, from).await
}

/// Attaches to a stream that runs at the engine under another request id.
pub(super) async fn resume(
    driver: &Driver,
    job: &Job,
    previous: &str,
    from: u64,
) -> Result<(), Failure> {
    let path = format!("/v1/requests/{previous}/resume?after={from}");
    let response = post_bytes(driver, job, &path, Bytes::new()).await?;
    relay_tokens(driver, job, response, from).await
}

/// Applies the tokens of a stream to the reducer.
async fn relay_tokens(
    driver: &Driver,
    job: &Job,
    mut response: Response,
    from: u64,
) -> Result<(), Failure> {
    let mut parser = sse::Parser::default();
    let mut position = from;
    while let Some(chunk) = response
        .chunk(job.timeout)
        .await
        .map_err(|error| classify_error(&error))?
    {
        parser.push(&chunk).map_err(|_| Failure::Rejected)?;
        while let Some(event) = parser.next_event() {
            if &*event.data == b"[DONE]" {
                driver.apply(Event::Finished {
                    attempt: job.attempt,
                });
                return Ok(());
            }
            position = event.id.unwrap_or(position + 1);
            driver.apply_token(job.attempt, position, event.data);
        }
    }
    // The stream ended without `[DONE]`.
    Err(Failure::Lost)
}

/// Returns the caller's body with the fields added that the engine needs.
fn engine_body(job: &Job) -> Result<Map<String, Value>, Failure> {
    let body = serde_json::from_slice(&job.caller_request.body).map_err(|_| Failure::Rejected)?;
    let Value::Object(mut body) = body else {
        return Err(Failure::Rejected);
    };
    body.insert("priority".into(), job.priority.into());
    let buffer = job.buffer.borrow();
    if !buffer.tokens().is_empty() {
        let resume = Resume {
            emitted_tokens: buffer.tokens().len(),
            text: render::emitted_text(&buffer),
        };
        body.insert("resume".into(), serde_json::json!(resume));
    }
    Ok(body)
}

async fn post(driver: &Driver, job: &Job, body: &Map<String, Value>) -> Result<Response, Failure> {
    let path = job.caller_request.target.split('?').next().unwrap_or("/");
    let bytes = serde_json::to_vec(body).map_err(|_| Failure::Rejected)?;
    post_bytes(driver, job, path, bytes.into()).await
}

async fn post_bytes(
    driver: &Driver,
    job: &Job,
    path: &str,
    body: Bytes,
) -> Result<Response, Failure> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().map_err(|_| Failure::Rejected)?;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        REQUEST_ID_HEADER,
        HeaderValue::from_str(&job.request_id).map_err(|_| Failure::Rejected)?,
    );
    render::set_host(headers, job.address);
    // A fresh connection, so that the client does not resend the request: the engine would compute
    // it twice.
    let client = driver.client();
    let sent = client
        .send(job.address, request, Reuse::Fresh, job.timeout)
        .await;
    let response = sent.map_err(|error| classify_error(&error))?;
    match response.head.status {
        status if status.is_success() => Ok(response),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Full),
        StatusCode::CONFLICT | StatusCode::GONE => Err(Failure::KvGone),
        status if status.is_client_error() => Err(Failure::Rejected),
        _ => Err(Failure::Lost),
    }
}
