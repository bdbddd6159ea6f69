//! Bodies: whole ones, and ones whose chunks come one at a time.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Response, StatusCode};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;
use serde::Serialize;

/// Why a body was not read whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is over the bound.
    #[error("body is over {0} bytes")]
    TooLarge(usize),
    /// It did not come in time.
    #[error("body did not come within {0:?}")]
    TimedOut(Duration),
    /// The connection was lost or the framing is broken.
    #[error("body was cut: {0}")]
    Interrupted(hyper::Error),
}

/// Reads a body whole.
///
/// # Errors
///
/// [`Error`], at the latest after `timeout`.
pub async fn read(
    body: hyper::body::Incoming,
    max: usize,
    timeout: Duration,
) -> Result<Bytes, Error> {
    match monoio::time::timeout(timeout, read_untimed(body, max)).await {
        Ok(result) => result,
        Err(_) => Err(Error::TimedOut(timeout)),
    }
}

async fn read_untimed(mut body: hyper::body::Incoming, max: usize) -> Result<Bytes, Error> {
    if body.size_hint().lower() > max as u64 {
        return Err(Error::TooLarge(max));
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(Error::Interrupted)?.into_data() else {
            continue;
        };
        if whole.len() + chunk.len() > max {
            return Err(Error::TooLarge(max));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// A source of chunks that is polled for the next one.
pub trait Source: Unpin + 'static {
    /// Gives the next chunk, or none at the end.
    ///
    /// # Errors
    ///
    /// [`Truncated`] ends the connection, so that the receiver sees the body as cut.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>>;
}

/// A body that can't be continued.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the source of the body ended before its end")]
pub struct Truncated;

/// A body of a reply: whole, or from a source.
#[derive(Debug)]
pub enum Outgoing<S> {
    /// A whole body, taken when sent.
    Full(Option<Bytes>),
    /// Chunks as they come.
    Stream(S),
}

impl<S> Outgoing<S> {
    /// A whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

/// A value as a JSON reply.
pub fn json<T: Serialize, S>(status: StatusCode, value: &T) -> Response<Outgoing<S>> {
    // The types that come here have neither maps with odd keys nor failing visitors.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Outgoing::full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

impl<S: Source> http_body::Body for Outgoing<S> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(source) => source
                .poll_chunk(cx)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// The source of a body that has none.
#[derive(Debug)]
pub enum Never {}

impl Source for Never {
    fn poll_chunk(&mut self, _cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match *self {}
    }
}

/// A source fed through a channel.
#[derive(Debug)]
pub struct Channel(futures::channel::mpsc::UnboundedReceiver<Result<Bytes, Truncated>>);

/// The feeding end of a [`Channel`].
pub type Sender = futures::channel::mpsc::UnboundedSender<Result<Bytes, Truncated>>;

impl Channel {
    /// Makes a channel and its feeding end.
    pub fn new() -> (Sender, Self) {
        let (feed, receiver) = futures::channel::mpsc::unbounded();
        (feed, Self(receiver))
    }
}

impl Source for Channel {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        futures::Stream::poll_next(Pin::new(&mut self.0), cx)
    }
}
