//! Attempts: one dispatch of a call to one runner, from the first byte to its end.

mod model;
mod plain;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamtiller_core::event::{Effect, Event, Failure, Stage};
use hornbeamtiller_core::id::Attempt;
use hornbeamtiller_http::cancel;
use hornbeamtiller_http::client::{self, Reuse};
use http::Request;
use http_body_util::Full;

use crate::caller::render;
use crate::shell::{Incoming, Kept, Shell};
use crate::stream;

/// Wait for the acknowledgement of one cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// All that an attempt needs.
pub struct Job {
    attempt: Attempt,
    address: SocketAddr,
    stage: Stage,
    request: String,
    priority: u8,
    timeout: Duration,
    incoming: Rc<Incoming>,
    id: Rc<str>,
    record: stream::Shared,
}

impl Job {
    /// Takes the parts from a dispatch and from what is kept for its call.
    pub fn new(effect: &Effect, kept: &Kept) -> Option<Self> {
        let Effect::Dispatch {
            attempt,
            address,
            stage,
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
            stage: stage.clone(),
            request: request.clone(),
            priority: *priority,
            timeout: *timeout,
            incoming: kept.request.clone(),
            id: kept.id.clone(),
            record: kept.record.clone(),
        })
    }
}

/// Runs an attempt unless it is abandoned, which closes its connection at once.
pub async fn run(shell: Shell, job: Job, abandoned: cancel::Token) {
    let attempt = job.attempt;
    if let Some(Err(failure)) = abandoned.run_until_cancelled(perform(&shell, &job)).await {
        shell.apply(Event::Failed { attempt, failure });
    }
    shell.attempt_ended(attempt);
}

async fn perform(shell: &Shell, job: &Job) -> Result<(), Failure> {
    match &job.stage {
        Stage::Plain { reuse } => plain::run(shell, job, *reuse).await,
        Stage::Prefill => model::prefill(shell, job).await,
        Stage::Decode { kv, from } => model::decode(shell, job, kv, *from).await,
        Stage::Resume { previous, from } => model::resume(shell, job, previous, *from).await,
    }
}

/// Tells how far an attempt got from what the client saw.
fn failure(error: &client::Error) -> Failure {
    match error {
        client::Error::Connect { .. } | client::Error::Unwritten => Failure::NotWritten,
        client::Error::Lost(_) => Failure::Lost,
        client::Error::TimedOut(_) => Failure::TimedOut,
        client::Error::TooLarge(_) => Failure::TooLarge,
    }
}

/// Orders an engine to drop a request.
pub async fn cancel(shell: Shell, cancel: u64, address: SocketAddr, request: String) {
    let mut order = Request::new(Full::new(Bytes::new()));
    *order.method_mut() = http::Method::DELETE;
    if let Ok(uri) = format!("/v1/requests/{request}").parse() {
        *order.uri_mut() = uri;
    }
    render::set_host(order.headers_mut(), address);
    let sent = shell
        .client()
        .send(address, order, Reuse::Allowed, CANCEL_TIMEOUT)
        .await;
    let acknowledged = sent.is_ok_and(|answer| answer.head.status.is_success());
    shell.apply(Event::CancelEnded {
        cancel,
        acknowledged,
    });
}
