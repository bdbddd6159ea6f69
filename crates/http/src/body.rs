//! Request and response bodies, complete or streamed chunk by chunk.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::future::{select, Either};
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Response, StatusCode};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;
use serde::Serialize;

use crate::memory::{Budget, Exhausted, Guard, Holder, Incoming};

/// The interval over which the rate of a body is measured. A sender whose packets are lost several times in a row still
/// gets some through in it.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// Bytes that have to arrive in each window: 1 KiB a second, a thousandth of the smallest VM's link.
const RATE_BYTES_MIN: usize = 3 << 10;
/// A timer that is this late shows that the process did not run.
const STANDSTILL_MIN: Duration = Duration::from_millis(500);
/// Size of the pieces in which a complete body is handed to `hyper`, which copies them into a buffer that it keeps for
/// as long as the connection.
const PIECE_BYTES: usize = 8 << 10;
/// Bytes in a channel from which on its client counts as slow.
const LAGGING_BYTES: usize = 16 << 10;
/// What an event that waits for its client costs beside its bytes.
const EVENT_OVERHEAD_BYTES: usize = 64;

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body exceeds the limit, in bytes.
    #[error("body exceeds {0} bytes")]
    TooLarge(usize),
    /// The complete body did not arrive in time.
    #[error("body did not arrive within {0:?}")]
    TimedOut(Duration),
    /// The body arrives more slowly than the least rate.
    #[error("body arrives too slowly")]
    TooSlow,
    /// There is no memory for the body.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// The connection was lost or the framing is invalid.
    #[error("body is incomplete: {0}")]
    Interrupted(hyper::Error),
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
///
/// [`Error`], after `timeout` at the latest.
pub async fn read(
    body: hyper::body::Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Error> {
    match monoio::time::timeout(timeout, read_bounded(body, max_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(Error::TimedOut(timeout)),
    }
}

async fn read_bounded(mut body: hyper::body::Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Error::TooLarge(max_bytes));
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(Error::Interrupted)?.into_data() else {
            continue;
        };
        if buffer.len() + chunk.len() > max_bytes {
            return Err(Error::TooLarge(max_bytes));
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

/// Reads a complete body of at most `max_bytes` into memory of a budget. In each `RATE_WINDOW` at least
/// `RATE_BYTES_MIN` have to arrive.
///
/// # Errors
///
/// [`Error`], after `timeout` at the latest. With a length that exceeds `max_bytes`, or that the budget has no room for,
/// nothing is read.
pub async fn receive(
    body: &mut hyper::body::Incoming,
    max_bytes: usize,
    timeout: Duration,
    budget: &Budget,
) -> Result<Bytes, Error> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(Error::TooLarge(max_bytes));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // The length fits, as it is at most `max_bytes`.
    let declared = size.exact().map(|length| length as usize);
    let incoming = budget.wait_to_receive(declared).await?;
    let received = receive_bounded(body, declared.unwrap_or(max_bytes), &incoming);
    let ended = match select(pin!(received), pin!(watch_rate(&incoming, timeout))).await {
        Either::Left((ended, _)) => ended,
        Either::Right((error, _)) => Err(error),
    };
    ended?;
    Ok(incoming.finish()?)
}

async fn receive_bounded(
    body: &mut hyper::body::Incoming,
    max_bytes: usize,
    incoming: &Incoming,
) -> Result<(), Error> {
    let mut next = |cx: &mut Context<'_>| {
        if let Poll::Ready(exhausted) = incoming.poll_evicted(cx) {
            return Poll::Ready(Err(exhausted));
        }
        Pin::new(&mut *body).poll_frame(cx).map(Ok)
    };
    while let Some(frame) = poll_fn(&mut next).await? {
        let Ok(chunk) = frame.map_err(Error::Interrupted)?.into_data() else {
            continue;
        };
        if incoming.received() + chunk.len() > max_bytes {
            return Err(Error::TooLarge(max_bytes));
        }
        incoming.push(&chunk, max_bytes)?;
    }
    Ok(())
}

/// Returns once a body takes too long or arrives too slowly.
async fn watch_rate(incoming: &Incoming, timeout: Duration) -> Error {
    let mut left = timeout;
    loop {
        let (before, started_at) = (incoming.received(), Instant::now());
        monoio::time::sleep(left.min(RATE_WINDOW)).await;
        // If this process did not run, it has not given the sender its time.
        if started_at.elapsed() > RATE_WINDOW + STANDSTILL_MIN {
            continue;
        }
        if left <= RATE_WINDOW {
            return Error::TimedOut(timeout);
        }
        left -= RATE_WINDOW;
        if incoming.received() - before < RATE_BYTES_MIN {
            return Error::TooSlow;
        }
    }
}

/// Reads up to `max_bytes` of a body and drops them, so that a response can be sent before its end.
pub async fn discard(body: hyper::body::Incoming, max_bytes: usize, timeout: Duration) {
    // The request is refused, whatever becomes of its body.
    _ = monoio::time::timeout(timeout, discard_bounded(body, max_bytes)).await;
}

async fn discard_bounded(mut body: hyper::body::Incoming, max_bytes: usize) {
    let mut bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > max_bytes {
            return;
        }
    }
}

/// A source of body chunks.
pub trait Source: Unpin + 'static {
    /// Polls for the next chunk; `None` marks the end of the body.
    ///
    /// # Errors
    ///
    /// [`Truncated`] aborts the connection, so that the receiver sees an incomplete body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>>;
}

/// The rest of a body is not available.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the source ended before the body was complete")]
pub struct Truncated;

/// The body of a response that is sent.
#[derive(Debug)]
pub enum Outgoing<S> {
    /// A complete body; `None` once it is sent.
    Full(Option<Bytes>),
    /// Chunks, sent as the source yields them.
    Stream(S),
}

impl<S> Outgoing<S> {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize, S>(status: StatusCode, value: &T) -> Response<Outgoing<S>> {
    // Serialization can't fail: the types used here have no maps with non-string keys and no
    // fallible `Serialize` implementations.
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
            Self::Full(bytes) => Poll::Ready(take_piece(bytes).map(|piece| Ok(Frame::data(piece)))),
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

/// Takes the next piece of a complete body.
fn take_piece(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    match bytes {
        Some(rest) if rest.len() > PIECE_BYTES => Some(rest.split_to(PIECE_BYTES)),
        _ => bytes.take(),
    }
}

/// The source type of handlers that stream no bodies.
#[derive(Debug)]
pub enum Never {}

impl Source for Never {
    fn poll_chunk(&mut self, _cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        match *self {}
    }
}

/// A source that receives its chunks over a channel.
#[derive(Debug)]
pub struct Channel {
    receiver: Receiver,
    /// What the chunks in the channel hold of a budget, if it is bounded by one.
    account: Option<Rc<Account>>,
}

type Chunk = Result<Bytes, Truncated>;
type Receiver = futures::channel::mpsc::UnboundedReceiver<Chunk>;

/// The sending half of a [`Channel`] without a bound.
pub type Sender = futures::channel::mpsc::UnboundedSender<Chunk>;

/// The sending half of a [`Channel`] that is bounded by a budget.
#[derive(Debug)]
pub struct BoundedSender {
    sender: Sender,
    account: Rc<Account>,
}

/// What the chunks in a channel hold of a budget.
#[derive(Debug)]
struct Account {
    budget: Budget,
    guard: RefCell<Guard>,
    bytes_max: usize,
}

impl Account {
    /// Adds a chunk, if there is room for it.
    fn add(&self, chunk: &Bytes) -> Result<(), Exhausted> {
        let mut guard = self.guard.borrow_mut();
        let bytes = guard.bytes() + chunk.len() + EVENT_OVERHEAD_BYTES;
        if bytes > self.bytes_max {
            return Err(Exhausted);
        }
        self.budget.resize(&mut guard, bytes)
    }

    fn remove(&self, chunk: &Bytes) {
        let mut guard = self.guard.borrow_mut();
        let left = guard.bytes() - chunk.len() - EVENT_OVERHEAD_BYTES;
        guard.shrink(left);
    }
}

impl BoundedSender {
    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the receiver has left so many that there is no room. The chunk is dropped, so the body can't be
    /// completed.
    pub fn send(&self, chunk: Chunk) -> Result<(), Exhausted> {
        let chunk = match chunk {
            Ok(bytes) => {
                self.account.add(&bytes)?;
                let is_lagging = self.account.guard.borrow().bytes() > LAGGING_BYTES;
                Ok(if is_lagging {
                    // Events share the buffer in which they were received, which may be far larger than they are.
                    Bytes::copy_from_slice(&bytes)
                } else {
                    bytes
                })
            }
            Err(truncated) => Err(truncated),
        };
        // If the receiver is gone, nobody needs the chunk.
        _ = self.sender.unbounded_send(chunk);
        Ok(())
    }
}

impl Channel {
    /// Creates a sender and the source that it feeds.
    pub fn new() -> (Sender, Self) {
        let (sender, receiver) = futures::channel::mpsc::unbounded();
        let account = None;
        (sender, Self { receiver, account })
    }

    /// The same, with at most `bytes_max` of a budget in the channel.
    pub fn bounded(budget: &Budget, bytes_max: usize) -> (BoundedSender, Self) {
        let account = Rc::new(Account {
            guard: RefCell::new(budget.empty_guard(Holder::Stream)),
            budget: budget.clone(),
            bytes_max,
        });
        let (sender, receiver) = futures::channel::mpsc::unbounded();
        let sender = BoundedSender {
            sender,
            account: account.clone(),
        };
        let account = Some(account);
        (sender, Self { receiver, account })
    }
}

impl Source for Channel {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        let next = ready!(futures::Stream::poll_next(Pin::new(&mut self.receiver), cx));
        if let (Some(Ok(chunk)), Some(account)) = (&next, &self.account) {
            account.remove(chunk);
        }
        Poll::Ready(next)
    }
}
