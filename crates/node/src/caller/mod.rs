//! Caller API: entry addresses, OpenAI-compatible model requests, and calls to plain services.

mod chunk;
mod input;
pub mod render;

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use hornbeamtiller_core::event::{Arrival, Event};
use hornbeamtiller_core::refusal::{Reason, Refusal};
use hornbeamtiller_http::body::{Outgoing, Source, Truncated};
use hornbeamtiller_http::client::{Passthrough, Reuse};
use hornbeamtiller_http::server::Handler;
use http::{Request, Response};
use http_body_util::Full;

use crate::driver::{CallerRequest, Decision, Driver, Guard};
use crate::stream::{Follower, Signal};

/// Header that marks a request as forwarded by another entry VM.
const FORWARDED_HEADER: &str = "x-hornbeamtiller-forwarded";
/// Time to wait for the response head, and for each chunk of a body that is not streamed, from the
/// VM that owns an id. Model requests may queue there, so this must be longer than the queue timeout
/// (`wait_ms`) of every class, which is not checked.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(600);

/// Handles requests on the caller listener.
#[derive(Debug, Clone)]
pub struct Api {
    driver: Driver,
}

/// Source of a streamed response.
#[derive(Debug)]
pub enum Stream {
    /// Tokens in this VM's buffer.
    Local(Follower),
    /// The response of the VM that owns the id.
    Forwarded(Box<ForwardedStream>),
}

/// A streamed response of the VM that owns the id, and the local exchange that relays it.
#[derive(Debug)]
pub struct ForwardedStream {
    body: Passthrough,
    _guard: Guard,
}

impl Source for Stream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self {
            Self::Local(follower) => follower.poll_chunk(cx),
            Self::Forwarded(forwarded) => forwarded.body.poll_chunk(cx),
        }
    }
}

type CallerResponse = Response<Outgoing<Stream>>;

impl Handler for Api {
    type Source = Stream;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> CallerResponse {
        match self.route(request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.driver.metrics().count_listener_refusal(&refusal);
                render::refusal(&refusal, &[])
            }
        }
    }
}

impl Api {
    /// Creates the handler.
    pub fn new(driver: Driver) -> Self {
        Self { driver }
    }

    async fn route(
        &self,
        request: Request<hyper::body::Incoming>,
    ) -> Result<CallerResponse, Refusal> {
        let (head, body) = request.into_parts();
        input::check_framing(&head)?;
        if head.uri.path() == "/v1/entries" {
            return Ok(self.entries(&head).await);
        }
        let route = input::Route::parse(&head)?;
        let limits = self.driver.settings().caller_limits();
        let body = input::read_body(body, &limits).await?;
        let parsed = input::Request::new(route, &head, body)?;
        Ok(self.submit(parsed).await)
    }

    async fn entries(&self, head: &http::request::Parts) -> CallerResponse {
        let (guard, decision, _) = self.driver.open_exchange(None);
        let zone = input::query_parameter(head, "zone");
        self.driver.apply(Event::EntriesRequested {
            exchange: guard.exchange(),
            zone,
        });
        match decision.await {
            Ok(Decision::Entries { entries, max_age }) => render::entries(&entries, max_age),
            _ => render::refusal(&Refusal::unknown(Reason::NotReady), &[]),
        }
    }

    async fn submit(&self, parsed: input::Request) -> CallerResponse {
        let started_at = self.driver.now().up;
        let caller_request = Rc::new(parsed.caller_request);
        let (guard, decision, signal) = self.driver.open_exchange(Some(caller_request.clone()));
        let arrival = Arrival {
            exchange: guard.exchange(),
            ..parsed.arrival
        };
        let is_model = parsed.is_model;
        let model = arrival.endpoint.clone();
        self.driver.apply(Event::Arrived(arrival));
        let response = self
            .respond(guard, decision, signal, &caller_request, &model)
            .await;
        if !is_model {
            self.driver
                .metrics()
                .observe_service_call(self.driver.now().up.saturating_sub(started_at));
        }
        response
    }

    /// Waits for the reducer's decision and responds accordingly.
    async fn respond(
        &self,
        guard: Guard,
        decision: oneshot::Receiver<Decision>,
        signal: Rc<RefCell<Signal>>,
        caller_request: &Rc<CallerRequest>,
        model: &str,
    ) -> CallerResponse {
        let Ok(decision) = decision.await else {
            return render::refusal(&Refusal::unknown(Reason::NotReady), &[]);
        };
        match decision {
            Decision::Response {
                response,
                id,
                replay,
            } => render::service_response(&response, &id, replay),
            Decision::Refused { refusal, elsewhere } => render::refusal(&refusal, &elsewhere),
            Decision::Stream {
                buffer,
                id,
                resume_after,
            } if caller_request.streamed => render::token_stream(
                &id,
                Stream::Local(Follower::new(buffer, signal, resume_after, guard)),
            ),
            Decision::Stream { buffer, id, .. } => {
                let refused = poll_fn(|cx| match buffer.borrow_mut().poll_complete(cx) {
                    Poll::Ready(()) => Poll::Ready(None),
                    Poll::Pending => signal.borrow_mut().poll_refusal(cx).map(Some),
                });
                match refused.await {
                    None => {
                        render::completion(&id, model, &caller_request.target, &buffer.borrow())
                    }
                    Some(refusal) => render::refusal(&refusal, &[]),
                }
            }
            Decision::Forward { address } => {
                self.forward(guard, signal, caller_request, model, address)
                    .await
            }
            Decision::Entries { entries, max_age } => render::entries(&entries, max_age),
        }
    }

    /// Forwards a request to the VM that owns its id. If that fails, asks the reducer for another
    /// decision.
    async fn forward(
        &self,
        guard: Guard,
        signal: Rc<RefCell<Signal>>,
        caller_request: &Rc<CallerRequest>,
        model: &str,
        address: std::net::SocketAddr,
    ) -> CallerResponse {
        let request = forwarded_request(caller_request, address);
        let client = self.driver.client();
        let sent = client
            .send(address, request, Reuse::Fresh, FORWARD_TIMEOUT)
            .await;
        match sent {
            Ok(response) if is_event_stream(&response.head) => {
                let head = response.head.clone();
                let body = response.into_source();
                let forwarded = ForwardedStream {
                    body,
                    _guard: guard,
                };
                return forwarded_response(
                    &head,
                    Outgoing::Stream(Stream::Forwarded(Box::new(forwarded))),
                );
            }
            Ok(response) => {
                let max = self.driver.settings().flags.answer_bytes.saturating_mul(2);
                if let Ok((head, body)) = response.collect(max, FORWARD_TIMEOUT).await {
                    return forwarded_response(&head, Outgoing::full(body));
                }
            }
            Err(_) => {}
        }
        let decision = self.driver.reopen_decision(guard.exchange());
        self.driver.apply(Event::ForwardFailed {
            exchange: guard.exchange(),
        });
        Box::pin(self.respond(guard, decision, signal, caller_request, model)).await
    }
}

fn forwarded_request(
    caller_request: &CallerRequest,
    address: std::net::SocketAddr,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(caller_request.body.clone()));
    *request.method_mut() = caller_request.method.clone();
    if let Ok(uri) = caller_request.target.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = caller_request.headers.clone();
    render::set_host(request.headers_mut(), address);
    request
        .headers_mut()
        .insert(FORWARDED_HEADER, http::HeaderValue::from_static("1"));
    request
}

/// Builds the caller's response from the owner's response head and a body.
fn forwarded_response(head: &http::response::Parts, body: Outgoing<Stream>) -> CallerResponse {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    copy_headers(&head.headers, response.headers_mut());
    response
}

fn is_event_stream(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    content_type
        .is_some_and(|content_type| content_type.as_bytes().starts_with(b"text/event-stream"))
}

fn copy_headers(from: &http::HeaderMap, to: &mut http::HeaderMap) {
    for (name, value) in from {
        if !input::is_connection_header(name) {
            to.append(name, value.clone());
        }
    }
}
