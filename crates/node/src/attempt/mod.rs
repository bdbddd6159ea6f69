//! Attempts: each dispatches a call to one runner and runs until the runner's response ends.

mod model;
mod plain;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_core::event::{Effect, Event, Failure, Operation};
use hornbeamtiller_core::id::Attempt;
use hornbeamtiller_http::cancel;
use hornbeamtiller_http::client::{self, Reuse};
use http::Request;
use http_body_util::Full;

use crate::caller::render;
use crate::driver::{CallRecord, CallerRequest, Driver};
use crate::stream;

/// Timeout for the acknowledgement of a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// The inputs of an attempt.
pub struct Job {
    attempt: Attempt,
    address: SocketAddr,
    operation: Operation,
    request_id: String,
    priority: u8,
    timeout: Duration,
    caller_request: Rc<CallerRequest>,
    id: Rc<str>,
    buffer: stream::SharedBuffer,
}

impl Job {
    /// Takes the inputs from a dispatch and the record of its call; `None` for any other effect.
    pub fn new(effect: &Effect, record: &CallRecord) -> Option<Self> {
        let Effect::Dispatch {
            attempt,
            address,
            operation,
            request,
            priority,
            timeout,
            ..
        } = effect
        else {
            return None;
        };
        Some(Self {
            attempt: *attempt,
            address: *address,
            operation: operation.clone(),
            request_id: request.clone(),
            priority: *priority,
            timeout: *timeout,
            caller_request: record.caller_request.clone(),
            id: record.id.clone(),
            buffer: record.buffer.clone(),
        })
    }
}

/// Runs an attempt. Aborting it closes its connection immediately.
pub async fn run(driver: Driver, job: Job, aborted: cancel::Token) {
    let attempt = job.attempt;
    if let Some(Err(failure)) = aborted.run_until_cancelled(perform(&driver, &job)).await {
        driver.apply(Event::Failed { attempt, failure });
    }
    driver.remove_attempt(attempt);
}

async fn perform(driver: &Driver, job: &Job) -> Result<(), Failure> {
    match &job.operation {
        Operation::Plain { reuse } => plain::run(driver, job, *reuse).await,
        Operation::Prefill => model::prefill(driver, job).await,
        Operation::Decode { kv, from } => model::decode(driver, job, kv, *from).await,
        Operation::Resume { previous, from } => model::resume(driver, job, previous, *from).await,
    }
}

/// Maps a client error to how far the attempt got.
fn classify_error(error: &client::Error) -> Failure {
    match error {
        client::Error::Connect { .. } | client::Error::Unwritten => Failure::NotWritten,
        client::Error::Lost(_) | client::Error::Unexpected | client::Error::EndedEarly => {
            Failure::Lost
        }
        client::Error::TimedOut(_) => Failure::TimedOut,
        client::Error::TooLarge(_) | client::Error::Exhausted(_) => Failure::TooLarge,
    }
}

/// Cancels a request at an engine, which then frees its KV cache.
pub async fn cancel_request(driver: Driver, cancel: u64, address: SocketAddr, request: String) {
    let mut delete = Request::new(Full::new(Bytes::new()));
    *delete.method_mut() = http::Method::DELETE;
    if let Ok(uri) = format!("/v1/requests/{request}").parse() {
        *delete.uri_mut() = uri;
    }
    render::set_host(delete.headers_mut(), address);
    let sent = driver
        .client()
        .send(address, delete, Reuse::Allowed, CANCEL_TIMEOUT)
        .await;
    let acknowledged = sent.is_ok_and(|response| response.head.status.is_success());
    driver.apply(Event::CancelEnded {
        cancel,
        acknowledged,
    });
}
