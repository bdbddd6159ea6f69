//! The caller listener: reads requests whole, and answers them.

use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use hornbeamtiller_http::body::{self, Channel, Outgoing as Body, Source, Truncated};
use hornbeamtiller_http::server::Handler;
use hornbeamtiller_relay::event::{Arrival, Event};
use hornbeamtiller_relay::id;
use hornbeamtiller_relay::refusal::{Reason, Refusal};
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response};

use crate::dialect::{Dialect, Facts, Kept};
use crate::shell::{Reply, Shell};

/// Bytes of a body before the first manifest says how many.
const BODY_BYTES_DEFAULT: usize = 4 << 20;
/// Time for a body to come.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers callers.
pub struct Caller<D> {
    shell: Shell<D>,
}

impl<D> Clone for Caller<D> {
    fn clone(&self) -> Self {
        Self {
            shell: self.shell.clone(),
        }
    }
}

/// Tells the reducer that the caller has left, unless its answer was sent to its end.
struct Guard<D: Dialect> {
    shell: Shell<D>,
    call: id::Call,
    armed: bool,
}

impl<D: Dialect> Drop for Guard<D> {
    fn drop(&mut self) {
        if self.armed {
            self.shell
                .apply(Event::CallerDisconnected { call: self.call });
        }
    }
}

/// A streamed answer on its way to a caller.
pub struct Stream<D: Dialect> {
    channel: Channel,
    guard: Guard<D>,
}

impl<D: Dialect> Unpin for Stream<D> {}

impl<D: Dialect> Source for Stream<D> {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        let next = std::task::ready!(self.channel.poll_chunk(cx));
        if !matches!(next, Some(Ok(_))) {
            self.guard.armed = false;
        }
        Poll::Ready(next)
    }
}

type Answer<D> = Response<Body<Stream<D>>>;

impl<D: Dialect> Handler for Caller<D> {
    type Source = Stream<D>;

    async fn handle(&self, request: Request<hyper::body::Incoming>) -> Answer<D> {
        let mut answer = match self.answer(request).await {
            Ok(answer) => answer,
            Err(refusal) => {
                log::info!(outcome:% = refusal.reason; "refused");
                self.refuse(&refusal)
            }
        };
        if self.shell.read(|state| state.leaving_since.is_some()) {
            let headers = answer.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

impl<D: Dialect> Caller<D> {
    /// Makes the handler.
    pub fn new(shell: Shell<D>) -> Self {
        Self { shell }
    }

    async fn answer(&self, request: Request<hyper::body::Incoming>) -> Result<Answer<D>, Refusal> {
        let (head, body) = request.into_parts();
        let dialect = self.shell.dialect();
        let facts = dialect.facts(&head).map_err(Refusal::invalid)?;
        let body = self.body(body).await?;
        let path: Arc<str> = head.uri.path().into();
        let kept = Kept {
            head,
            body,
            facts: facts.clone(),
        };
        let (call, reply) = self.shell.begin(kept);
        let mut guard = Guard {
            shell: self.shell.clone(),
            call,
            armed: true,
        };
        self.shell.apply(Event::Arrived(arrival(call, path, facts)));
        match self.wait(reply).await {
            Reply::Whole(head, body) => {
                guard.armed = false;
                Ok(Response::from_parts(head, Body::full(body)))
            }
            Reply::Refused(refusal) => {
                guard.armed = false;
                Ok(self.refuse(&refusal))
            }
            Reply::Stream(head, channel) => Ok(Response::from_parts(
                head,
                Body::Stream(Stream { channel, guard }),
            )),
        }
    }

    /// Waits for the reply; one that is dropped without a word says nothing of the request.
    async fn wait(&self, reply: oneshot::Receiver<Reply>) -> Reply {
        reply.await.unwrap_or_else(|_| {
            log::error!("a call ended without a reply");
            Reply::Refused(Refusal {
                reason: Reason::RunnersFailed,
                claim: hornbeamtiller_relay::refusal::Claim::Unknown,
                retry_after: None,
            })
        })
    }

    async fn body(&self, body: hyper::body::Incoming) -> Result<Bytes, Refusal> {
        let max = self.shell.read(|state| {
            let manifest = state.manifest.as_ref();
            manifest.map_or(BODY_BYTES_DEFAULT, |manifest| manifest.limits.body_bytes)
        });
        body::read(body, max, BODY_TIMEOUT).await.map_err(|error| {
            let reason = match error {
                body::Error::TooLarge(_) => Reason::BodyTooLarge,
                body::Error::TimedOut(_) | body::Error::Interrupted(_) => Reason::Malformed,
            };
            Refusal::invalid(reason)
        })
    }

    fn refuse(&self, refusal: &Refusal) -> Answer<D> {
        self.shell.dialect().refusal(refusal).map(Body::full)
    }
}

fn arrival(call: id::Call, path: Arc<str>, facts: Facts) -> Arrival {
    Arrival {
        call,
        id: facts.id,
        host: facts.host,
        path,
        time_limit: facts.time_limit,
        prompt: facts.prompt,
        resume_after: facts.after,
    }
}
