//! The HTTP service for callers: buffers their requests and returns the responses.

use std::ops::Range;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use hornbeamtiller_http::body::{self, Channel, Outgoing as Body, Source, Truncated};
use hornbeamtiller_http::memory::{Exhausted, Guard, Holder};
use hornbeamtiller_http::server::{Handle, Handler, Timeouts, INVALID_LOG_TARGET, UNREAD_TIMEOUT};
use hornbeamtiller_relay::duration;
use hornbeamtiller_relay::event::{Arrival, Event};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::manifest::Limits;
use hornbeamtiller_relay::organisation::Identity;
use hornbeamtiller_relay::refusal::{Claim, Reason, Refusal};
use http::header::{HeaderValue, CONNECTION, EXPECT};
use http::{request, Request, Response};
use rand::Rng as _;

use crate::driver::{Decision, Driver};
use crate::gateway::head_bytes;
use crate::protocol::{CallerRequest, Metadata, Protocol};

/// Maximum size of a request body, in bytes, until a manifest sets it.
const BODY_BYTES_DEFAULT: usize = 4 << 20;
/// Time limits for a request head and for the next request, until a manifest sets them.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// How much of the body of a request that is refused by its head is read before the refusal. A connection that is
/// closed with unread bytes is reset, and its client may lose the refusal.
const UNREAD_BODY_BYTES_MAX: usize = 64 << 10;
/// How long that may take.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Memory that a call needs beside its request: its state and the buffers of the connection to its runner.
const CALL_BYTES: usize = 40 << 10;
/// Memory of a header field in the map that holds it, beside name and value: 104 bytes in a table with free places, and
/// 72 more if its name is repeated.
const FIELD_BYTES: usize = 160;
/// Largest memory of a request that waits for it.
const WAITING_BYTES_MAX: usize = 64 << 10;
/// Copies of a request's head: the caller's and the runner's.
const HEAD_COPIES: usize = 2;
/// When a request for which there is no memory may come again, in seconds: bodies that are stalled are dropped in this
/// time.
const NO_MEMORY_RETRY_AFTER: Range<f64> = 0.3..1.0;

/// Handles callers' requests.
pub struct Api<P> {
    driver: Driver<P>,
}

impl<P> Clone for Api<P> {
    fn clone(&self) -> Self {
        Self {
            driver: self.driver.clone(),
        }
    }
}

/// Reports to the reducer, when dropped while armed, that the caller disconnected. It is disarmed
/// once a complete response was handed to the HTTP server, or a stream has ended or was aborted.
struct DisconnectGuard<P: Protocol> {
    driver: Driver<P>,
    call: id::Call,
    armed: bool,
}

impl<P: Protocol> Drop for DisconnectGuard<P> {
    fn drop(&mut self) {
        if self.armed {
            self.driver
                .apply(Event::CallerDisconnected { call: self.call });
        }
    }
}

/// The body of a streamed response to a caller.
pub struct Stream<P: Protocol> {
    channel: Channel,
    guard: DisconnectGuard<P>,
}

impl<P: Protocol> Unpin for Stream<P> {}

impl<P: Protocol> Source for Stream<P> {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        let next = std::task::ready!(self.channel.poll_chunk(cx));
        if !matches!(next, Some(Ok(_))) {
            self.guard.armed = false;
        }
        Poll::Ready(next)
    }
}

type CallerResponse<P> = Response<Body<Stream<P>>>;

impl<P: Protocol> Handler for Api<P> {
    type Source = Stream<P>;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> CallerResponse<P> {
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(refusal) => {
                let target = match refusal.claim {
                    Claim::Invalid => INVALID_LOG_TARGET,
                    _ => module_path!(),
                };
                log::info!(target: target, outcome:% = refusal.reason; "refused");
                self.build_refusal(&refusal)
            }
        };
        if self.driver.with_state(|state| state.leave.is_some()) {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn head_bytes(&self) -> Option<usize> {
        self.limits().map(|limits| head_bytes(limits.head_bytes))
    }

    fn timeouts(&self) -> Option<Timeouts> {
        let limits = self.limits();
        Some(Timeouts {
            head: limits.map_or(HEAD_TIMEOUT, |limits| limits.head_timeout),
            idle: limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout),
            unread: UNREAD_TIMEOUT,
        })
    }
}

impl<P: Protocol> Api<P> {
    /// Creates the handler.
    pub fn new(driver: Driver<P>) -> Self {
        Self { driver }
    }

    /// The limits of the manifest in force.
    fn limits(&self) -> Option<Limits> {
        self.driver.with_state(|state| {
            let manifest = state.manifest.as_ref();
            manifest.map(|manifest| manifest.limits)
        })
    }

    async fn serve(
        &self,
        request: Request<hyper::body::Incoming>,
    ) -> Result<CallerResponse<P>, Refusal> {
        let (mut head, body) = request.into_parts();
        let connection: Option<Handle> = head.extensions.remove();
        let expects_continue = head.headers.contains_key(EXPECT);
        let (metadata, guard) = match self.check_head(&head).await {
            Ok(checked) => checked,
            Err(refusal) => {
                // Parsed, a head may be far larger than it was on the wire.
                drop(head);
                discard(body, expects_continue).await;
                return Err(refusal);
            }
        };
        if let Some(connection) = &connection {
            connection.set_request(metadata.id.clone());
        }
        if !self.has_route(&metadata, head.uri.path()) {
            // The reducer refuses it, whatever its body is. It decides before anything is awaited, so by the same manifest.
            let answer = self.answer(head, Bytes::new(), metadata, connection, guard);
            let response = answer.await;
            discard(body, expects_continue).await;
            return Ok(response);
        }
        let received = self.receive_body(body, expects_continue, connection.as_ref());
        let is_delegated = metadata.delegated_by.is_some();
        let body = received
            .await
            .map_err(|refusal| refusal.for_sender(is_delegated))?;
        Ok(self.answer(head, body, metadata, connection, guard).await)
    }

    /// Checks a request by its head, and takes the memory that it needs beside its body.
    async fn check_head(&self, head: &request::Parts) -> Result<(Metadata, Guard), Refusal> {
        let protocol = self.driver.protocol();
        let mut metadata = protocol
            .parse_request_head(head)
            .map_err(Refusal::invalid)?;
        let identity = self.authenticate(&metadata, head.uri.path())?;
        let organisation = identity.organisation();
        metadata.organisation = organisation.map(|organisation| organisation.name.clone());
        let budget = self.driver.budget();
        let bytes = estimate_bytes(head);
        let mut guard = budget.empty_guard(Holder::Request);
        // While a large head waits, it would hold memory that nobody has counted.
        let taken = if bytes > WAITING_BYTES_MAX {
            budget.resize(&mut guard, bytes)
        } else {
            budget.wait_to_resize(&mut guard, bytes).await
        };
        match taken {
            Ok(()) => Ok((metadata, guard)),
            Err(Exhausted) => Err(no_memory()),
        }
    }

    /// Whether a manifest is in force that has a route for a request.
    fn has_route(&self, metadata: &Metadata, path: &str) -> bool {
        self.driver.with_state(|state| {
            let manifest = state.manifest.as_ref();
            manifest.is_some_and(|manifest| manifest.find_route(&metadata.host, path).is_some())
        })
    }

    /// Has the reducer decide on a request. It does so at once if there is no manifest or no route.
    async fn answer(
        &self,
        head: request::Parts,
        body: Bytes,
        metadata: Metadata,
        connection: Option<Handle>,
        guard: Guard,
    ) -> CallerResponse<P> {
        let path: Arc<str> = head.uri.path().into();
        let fingerprint = self.driver.fingerprint_key().hash(&head, &metadata, &body);
        let caller_request = CallerRequest {
            head,
            body,
            metadata: metadata.clone(),
        };
        let registered = self.driver.register_call(caller_request, connection, guard);
        let (call, decision) = registered;
        let mut guard = DisconnectGuard {
            driver: self.driver.clone(),
            call,
            armed: true,
        };
        self.driver.apply(Event::Arrived(build_arrival(
            call,
            path,
            fingerprint,
            metadata,
        )));
        match self.receive_decision(decision).await {
            Decision::Buffered(head, body) => {
                guard.armed = false;
                Response::from_parts(head, Body::full(body))
            }
            Decision::Refused(refusal) => {
                guard.armed = false;
                self.build_refusal(&refusal)
            }
            Decision::Stream(head, channel) => {
                Response::from_parts(head, Body::Stream(Stream { channel, guard }))
            }
        }
    }

    /// Finds out by the head of a request who sent it; the reducer does so again once the body has arrived. Without
    /// a manifest nobody is known, and the reducer refuses the request.
    fn authenticate(&self, metadata: &Metadata, path: &str) -> Result<Identity, Refusal> {
        let manifest = self.driver.with_state(|state| state.manifest.clone());
        let Some(manifest) = manifest else {
            return Ok(Identity::Open);
        };
        let route = manifest.find_route(&metadata.host, path);
        let authenticated = manifest.authenticate(
            &metadata.credential,
            &metadata.id,
            route.map(|route| &**route),
        );
        // The reducer refuses what a VM has delegated, so that this VM may find another one.
        if metadata.delegated_by.is_some() {
            return Ok(authenticated.unwrap_or(Identity::Anonymous));
        }
        authenticated.map_err(|_| {
            let request = metadata.id.clone();
            self.driver.apply(Event::Rejected { request });
            Refusal::invalid(Reason::Unauthorized)
        })
    }

    /// Waits for the decision. If the sender is dropped without one, it is unknown whether the
    /// request ran, so the refusal claims neither that it ran nor that it did not.
    async fn receive_decision(&self, decision: oneshot::Receiver<Decision>) -> Decision {
        decision.await.unwrap_or_else(|_| {
            log::error!("a call ended without a response");
            Decision::Refused(Refusal {
                reason: Reason::RunnersFailed,
                claim: Claim::Unknown,
                retry_after: None,
            })
        })
    }

    async fn receive_body(
        &self,
        mut body: hyper::body::Incoming,
        expects_continue: bool,
        connection: Option<&Handle>,
    ) -> Result<Bytes, Refusal> {
        let limits = self.limits();
        let max = limits.map_or(BODY_BYTES_DEFAULT, |limits| limits.body_bytes);
        let mark = |is_receiving| {
            if let Some(connection) = connection {
                connection.set_receiving(is_receiving);
            }
        };
        mark(true);
        let received = body::receive(&mut body, max, BODY_TIMEOUT, self.driver.budget()).await;
        mark(false);
        let refusal = match received {
            Ok(received) => return Ok(received),
            Err(error) => refuse_body(&error),
        };
        discard(body, expects_continue).await;
        Err(refusal)
    }

    fn build_refusal(&self, refusal: &Refusal) -> CallerResponse<P> {
        self.driver
            .protocol()
            .build_refusal(refusal)
            .map(Body::full)
    }
}

/// The refusal of a request whose body was not received.
fn refuse_body(error: &body::Error) -> Refusal {
    match error {
        body::Error::TooLarge(_) => Refusal::invalid(Reason::BodyTooLarge),
        body::Error::TimedOut(_) | body::Error::TooSlow => Refusal::invalid(Reason::BodyTooSlow),
        body::Error::Interrupted(_) => Refusal::invalid(Reason::Malformed),
        body::Error::Exhausted(_) => no_memory(),
    }
}

/// The refusal of a request for which there is no memory. The time is spread, so that not all come back at once.
fn no_memory() -> Refusal {
    let delay = rand::rng().random_range(NO_MEMORY_RETRY_AFTER);
    Refusal::not_run(Reason::NoMemory, duration::from_seconds(delay))
}

/// Estimates the memory that a request needs beside its body, in bytes.
fn estimate_bytes(head: &request::Parts) -> usize {
    let fields = head.headers.iter();
    let text: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    CALL_BYTES + HEAD_COPIES * (text + head.headers.len() * FIELD_BYTES)
}

/// Reads a part of the body of a request that is refused, unless the client waits for leave to send it.
async fn discard(body: hyper::body::Incoming, expects_continue: bool) {
    if !expects_continue {
        body::discard(body, UNREAD_BODY_BYTES_MAX, UNREAD_BODY_TIMEOUT).await;
    }
}

fn build_arrival(
    call: id::Call,
    path: Arc<str>,
    fingerprint: id::Fingerprint,
    metadata: Metadata,
) -> Arrival {
    Arrival {
        call,
        id: metadata.id,
        host: metadata.host,
        path,
        time_limit: metadata.time_limit,
        prompt: metadata.prompt,
        stated_tokens: metadata.stated_tokens,
        resume_after: metadata.resume_after,
        resumes: metadata.resumes,
        parts: metadata.parts,
        fingerprint,
        delegated_by: metadata.delegated_by,
        credential: metadata.credential,
    }
}
