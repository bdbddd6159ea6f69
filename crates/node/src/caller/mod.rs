//! The caller listener: entries, model requests in the OpenAI-compatible shape, and calls to plain
//! services.

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

use crate::shell::{Guard, Incoming, Shell, Verdict};
use crate::stream::{Follower, Signal};

/// Header that marks a request passed on by another entry VM.
const FORWARDED: &str = "x-hornbeamtiller-forwarded";
/// Longest wait for the head of an answer from the VM that owns an id. Model requests may queue
/// there, so it is longer than any class's wait.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(600);

/// Answers callers.
#[derive(Debug, Clone)]
pub struct Caller {
    shell: Shell,
}

/// Where a streamed reply comes from.
#[derive(Debug)]
pub enum Stream {
    /// From this VM's record.
    Follow(Follower),
    /// From the VM that owns the id.
    Relay(Box<Relayed>),
}

/// A stream from the VM that owns the id, and the exchange here that it goes to.
#[derive(Debug)]
pub struct Relayed {
    relay: Passthrough,
    _guard: Guard,
}

impl Source for Stream {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match self {
            Self::Follow(follower) => follower.poll_chunk(cx),
            Self::Relay(relayed) => relayed.relay.poll_chunk(cx),
        }
    }
}

type Answer = Response<Outgoing<Stream>>;

impl Handler for Caller {
    type Source = Stream;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> Answer {
        match self.answer(request).await {
            Ok(answer) => answer,
            Err(refusal) => {
                self.shell.metrics().refused_at_door(&refusal);
                render::refusal(&refusal, &[])
            }
        }
    }
}

impl Caller {
    /// Makes the handler.
    pub fn new(shell: Shell) -> Self {
        Self { shell }
    }

    async fn answer(&self, request: Request<hyper::body::Incoming>) -> Result<Answer, Refusal> {
        let (head, body) = request.into_parts();
        input::check_framing(&head)?;
        if head.uri.path() == "/v1/entries" {
            return Ok(self.entries(&head).await);
        }
        let route = input::Route::find(&head)?;
        let limits = self.shell.settings().caller_limits();
        let body = input::read_body(body, &limits).await?;
        let parsed = input::Parsed::new(route, &head, body)?;
        Ok(self.request(parsed).await)
    }

    async fn entries(&self, head: &http::request::Parts) -> Answer {
        let (guard, verdict, _) = self.shell.begin(None);
        let zone = input::query(head, "zone");
        self.shell.apply(Event::EntriesRequested {
            exchange: guard.exchange(),
            zone,
        });
        match verdict.await {
            Ok(Verdict::Entries { entries, max_age }) => render::entries(&entries, max_age),
            _ => render::refusal(&Refusal::unknown(Reason::NotReady), &[]),
        }
    }

    async fn request(&self, parsed: input::Parsed) -> Answer {
        let began = self.shell.now().up;
        let incoming = Rc::new(parsed.incoming);
        let (guard, verdict, signal) = self.shell.begin(Some(incoming.clone()));
        let arrival = Arrival {
            exchange: guard.exchange(),
            ..parsed.arrival
        };
        let is_model = parsed.is_model;
        let model = arrival.endpoint.clone();
        self.shell.apply(Event::Arrived(arrival));
        let answer = self.follow(guard, verdict, signal, &incoming, &model).await;
        if !is_model {
            self.shell
                .metrics()
                .plain_answered(self.shell.now().up.saturating_sub(began));
        }
        answer
    }

    /// Waits for the first word and answers accordingly.
    async fn follow(
        &self,
        guard: Guard,
        verdict: oneshot::Receiver<Verdict>,
        signal: Rc<RefCell<Signal>>,
        incoming: &Rc<Incoming>,
        model: &str,
    ) -> Answer {
        let Ok(verdict) = verdict.await else {
            return render::refusal(&Refusal::unknown(Reason::NotReady), &[]);
        };
        match verdict {
            Verdict::Whole { whole, id, replay } => render::whole(&whole, &id, replay),
            Verdict::Refused { refusal, elsewhere } => render::refusal(&refusal, &elsewhere),
            Verdict::Stream { record, id, after } if incoming.streamed => render::stream(
                &id,
                Stream::Follow(Follower::new(record, signal, after, guard)),
            ),
            Verdict::Stream { record, id, .. } => {
                let refused = poll_fn(|cx| match record.borrow_mut().poll_complete(cx) {
                    Poll::Ready(()) => Poll::Ready(None),
                    Poll::Pending => signal.borrow_mut().poll_refusal(cx).map(Some),
                });
                match refused.await {
                    None => render::collected(&id, model, &incoming.target, &record.borrow()),
                    Some(refusal) => render::refusal(&refusal, &[]),
                }
            }
            Verdict::Forward { address } => {
                self.forward(guard, signal, incoming, model, address).await
            }
            Verdict::Entries { entries, max_age } => render::entries(&entries, max_age),
        }
    }

    /// Passes a request on to the VM that owns its id.
    async fn forward(
        &self,
        guard: Guard,
        signal: Rc<RefCell<Signal>>,
        incoming: &Rc<Incoming>,
        model: &str,
        address: std::net::SocketAddr,
    ) -> Answer {
        let request = forwarded_request(incoming, address);
        let client = self.shell.client();
        let sent = client
            .send(address, request, Reuse::Fresh, FORWARD_TIMEOUT)
            .await;
        match sent {
            Ok(answer) if is_event_stream(&answer.head) => {
                let head = answer.head.clone();
                let relay = answer.into_source();
                let relayed = Relayed {
                    relay,
                    _guard: guard,
                };
                return passed_on(&head, Outgoing::Stream(Stream::Relay(Box::new(relayed))));
            }
            Ok(answer) => {
                let max = self.shell.settings().flags.answer_bytes.saturating_mul(2);
                if let Ok((head, body)) = answer.collect(max, FORWARD_TIMEOUT).await {
                    return passed_on(&head, Outgoing::full(body));
                }
            }
            Err(_) => {}
        }
        let verdict = self.shell.begin_again(guard.exchange());
        self.shell.apply(Event::ForwardFailed {
            exchange: guard.exchange(),
        });
        Box::pin(self.follow(guard, verdict, signal, incoming, model)).await
    }
}

fn forwarded_request(incoming: &Incoming, address: std::net::SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    if let Ok(uri) = incoming.target.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = incoming.headers.clone();
    render::set_host(request.headers_mut(), address);
    request
        .headers_mut()
        .insert(FORWARDED, http::HeaderValue::from_static("1"));
    request
}

/// The owner's reply with another body, as this VM's own.
fn passed_on(head: &http::response::Parts, body: Outgoing<Stream>) -> Answer {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    copy_headers(&head.headers, response.headers_mut());
    response
}

fn is_event_stream(head: &http::response::Parts) -> bool {
    let kind = head.headers.get(http::header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn copy_headers(from: &http::HeaderMap, to: &mut http::HeaderMap) {
    for (name, value) in from {
        if !input::is_connection_header(name) {
            to.append(name, value.clone());
        }
    }
}
