//! A pooling client whose errors tell a request that was never written from one that may have
//! been.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future as _};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd as _;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo as _;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use crate::body::{Source, Truncated};
use crate::cancel;
use crate::delivery::Delivery;
use crate::idle_timeout;
use crate::memory::{grow, grown_capacity, Budget, Holder};
use crate::pulse::Pulse;
use crate::socket;
use crate::turn::{Bounded, Turn};

mod error;
mod pool;

pub use error::{Cause, Error};
use pool::Pool;

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept in the pool.
    pub idle_timeout: Duration,
    /// Largest number of idle connections per address.
    pub idle_per_address_max: usize,
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`). With none, only the timeouts of
    /// the exchanges end a connection whose server is silent, no option of the socket.
    pub user_timeout: Option<Duration>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(5),
            idle_per_address_max: 32,
            user_timeout: Some(socket::USER_TIMEOUT_DEFAULT),
        }
    }
}

/// Whether a request may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A pooled connection may be used. [`Client::send`] repeats the request on a new connection if
    /// the pooled one was lost, so use this only for cheap requests that may run twice.
    /// [`Client::send_once`] repeats it only if nothing was written.
    Allowed,
    /// The request needs a new connection.
    Fresh,
}

/// Highest valid status code (RFC 9110, 15).
const STATUS_MAX: u16 = 599;
/// How much earlier than the server's advertised keep-alive timeout an idle connection is dropped,
/// to avoid sending a request while the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum size of a response head, in bytes, and of the buffer that holds received bytes.
const HEAD_BYTES_MAX: usize = 32 << 10;
/// Header fields of a request whose connection may be used again. `hyper` keeps the table of the largest head for as long
/// as the connection.
const POOLED_FIELDS_MAX: usize = 128;
/// Largest first buffer of a body with a length, in bytes: the server may be slow to send what it has declared.
const FIRST_BYTES_MAX: usize = 1 << 20;

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    turn: Turn,
    delivery: Delivery,
    /// Whether the last exchange has its complete response.
    is_answered: Rc<Cell<bool>>,
    /// Closes the socket immediately when dropped, even with an exchange in progress.
    _guard: cancel::Guard,
}

/// The side of a connection that hyper drives.
type Driven = http1::Connection<Bounded<MonoioIo<TcpStreamPoll>>, Full<Bytes>>;

/// An HTTP client of one thread; clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    settings: Settings,
    pool: Rc<RefCell<Pool>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// Drives a connection until it ends or its guard is dropped. If that leaves a request without its
/// response, the server must not receive the rest of the request later.
async fn run_connection(
    mut connection: Driven,
    turn: Turn,
    token: cancel::Token,
    is_answered: Rc<Cell<bool>>,
) {
    let mut pulse = Pulse::default();
    let drive = poll_fn(|cx| {
        ready!(pulse.poll_beat(cx));
        turn.begin();
        Pin::new(&mut connection).poll(cx)
    });
    let result = token.run_until_cancelled(drive).await;
    if is_answered.get() || matches!(result, Some(Ok(()))) {
        return;
    }
    let io = connection.into_parts().io.into_inner();
    if let Err(error) = socket::reset_on_close(&*io) {
        log::warn!("can't reset a connection: {error}");
    }
}

/// A response whose body is still to be read. Dropping it before the end closes the connection.
pub struct Response {
    /// Status line and headers.
    pub head: http::response::Parts,
    body: Incoming,
    ends_with_connection: bool,
    idle_timer: idle_timeout::Timer,
    connection: Option<Connection>,
    /// How long the connection may stay in the pool after this exchange.
    pool_timeout: Duration,
    address: SocketAddr,
    client: Client,
}

impl std::fmt::Debug for Response {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Response")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            pool: Rc::default(),
        }
    }

    /// Sends a request and waits for the head of the response. With [`Reuse::Allowed`], the request
    /// is repeated on a new connection if a pooled one is lost.
    ///
    /// # Errors
    ///
    /// [`Error`]; only [`Error::Connect`] proves that nothing was written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Response, Error> {
        if reuse == Reuse::Fresh {
            let connection = self.connect(address).await?;
            return self.exchange(connection, address, request, timeout).await;
        }
        if let Some(connection) = self.take_idle(address) {
            match self
                .exchange(connection, address, request.clone(), timeout)
                .await
            {
                // The server may have closed the pooled connection; retry on a new one.
                Err(Error::Lost(_)) => {}
                other => return other,
            }
        }
        let connection = self.connect(address).await?;
        self.exchange(connection, address, request, timeout).await
    }

    /// Sends a request at most once and waits for the head of the response. Pooled connections that
    /// are found closed before a byte was written are skipped.
    ///
    /// # Errors
    ///
    /// [`Error`]; if [`Error::is_unwritten`], the request can't have reached the server.
    pub async fn send_once(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let mut may_reuse = reuse == Reuse::Allowed;
        loop {
            let pooled = match may_reuse {
                true => self.take_idle(address),
                false => None,
            };
            may_reuse = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            let is_large = request.headers().len() > POOLED_FIELDS_MAX;
            let mut idle_timer = idle_timeout::Timer::new(timeout);
            let sending = connection.sender.try_send_request(request);
            let result = idle_timer.wait(sending).await;
            match result.map_err(|_| Error::TimedOut(timeout))? {
                Ok(response) => {
                    let mut response =
                        self.wrap_response(address, connection, response, idle_timer)?;
                    if is_large {
                        response.pool_timeout = Duration::ZERO;
                    }
                    return Ok(response);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if may_reuse => request = unsent,
                    Some(_) => return Err(Error::Unwritten),
                    None => return Err(Error::Lost(error.into_error())),
                },
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let connect_error = |error| Error::Connect { address, error };
        let connecting = TcpStream::connect_addr(address);
        let stream = match monoio::time::timeout(self.settings.connect_timeout, connecting).await {
            Ok(result) => result.map_err(connect_error)?,
            Err(_) => return Err(connect_error(io::ErrorKind::TimedOut.into())),
        };
        socket::configure(&stream, self.settings.user_timeout).map_err(connect_error)?;
        let socket = stream.as_raw_fd();
        let turn = Turn::default();
        let delivery = Delivery::default();
        let io = MonoioIo::new(stream.into_poll_io().map_err(connect_error)?);
        let io = Bounded::new(io, turn.clone(), delivery.clone(), socket);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(io)
            .await
            .map_err(|error| connect_error(io::Error::other(error)))?;
        let (guard, token) = cancel::Guard::new();
        let is_answered = Rc::<Cell<bool>>::default();
        monoio::spawn(run_connection(
            connection,
            turn.clone(),
            token,
            is_answered.clone(),
        ));
        Ok(Connection {
            sender,
            turn,
            delivery,
            is_answered,
            _guard: guard,
        })
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let mut idle_timer = idle_timeout::Timer::new(timeout);
        let result = idle_timer
            .wait(connection.sender.send_request(request))
            .await;
        let response = result.map_err(|_| Error::TimedOut(timeout))??;
        self.wrap_response(address, connection, response, idle_timer)
    }

    fn wrap_response(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: http::Response<Incoming>,
        idle_timer: idle_timeout::Timer,
    ) -> Result<Response, Error> {
        let (head, body) = response.into_parts();
        if !is_expected(&head) {
            return Err(Error::Unexpected);
        }
        let pool_timeout =
            parse_keep_alive(&head).map_or(self.settings.idle_timeout, |advertised| {
                advertised
                    .saturating_sub(KEEP_ALIVE_MARGIN)
                    .min(self.settings.idle_timeout)
            });
        Ok(Response {
            ends_with_connection: ends_with_connection(&head),
            head,
            body,
            idle_timer,
            connection: Some(connection),
            pool_timeout,
            address,
            client: self.clone(),
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.pool.borrow_mut().take(address, Instant::now())
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection, pool_timeout: Duration) {
        // A zero timeout means that the server has announced the close of the connection, which
        // `sender` reports only once the connection is closed.
        if connection.sender.is_closed() || pool_timeout.is_zero() {
            return;
        }
        let now = Instant::now();
        let max = self.settings.idle_per_address_max;
        let mut pool = self.pool.borrow_mut();
        pool.put(address, connection, now, now + pool_timeout, max);
    }
}

impl Response {
    /// Whether the body has neither a length nor chunks and ends with the connection. The end of such a body
    /// looks the same if the server's process has ended.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Waits for the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the body is incomplete, [`Error::EndedEarly`] if it may be, [`Error::TimedOut`] if nothing is
    /// received for `timeout`.
    pub async fn chunk(&mut self, timeout: Duration) -> Result<Option<Bytes>, Error> {
        loop {
            self.idle_timer.set_timeout(timeout);
            let frame = self.idle_timer.wait(self.body.frame()).await;
            let frame = frame.map_err(|_| Error::TimedOut(timeout))?;
            let Some(frame) = frame else {
                return self.finish().map(|()| None);
            };
            if let Ok(chunk) = frame?.into_data() {
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads the complete body, of at most `max_bytes`; `timeout` applies to each chunk.
    ///
    /// # Errors
    ///
    /// As for [`Response::chunk`], and [`Error::TooLarge`] if the body exceeds `max_bytes`.
    pub async fn collect(
        mut self,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<(http::response::Parts, Bytes), Error> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk(timeout).await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(Error::TooLarge(max_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        let head = std::mem::replace(&mut self.head, http::Response::new(()).into_parts().0);
        Ok((head, body.freeze()))
    }

    /// Reads the complete body as [`Response::collect`] does, into memory of a budget, which is held until the last
    /// clone of the body is dropped.
    ///
    /// # Errors
    ///
    /// As for [`Response::collect`], and [`Error::Exhausted`].
    pub async fn receive(
        mut self,
        max_bytes: usize,
        timeout: Duration,
        budget: &Budget,
        holder: Holder,
    ) -> Result<(http::response::Parts, Bytes), Error> {
        let mut guard = budget.empty_guard(holder);
        // A length that is too great is found out by the bytes that come.
        let declared = self.body.size_hint().exact();
        let limit = declared.map_or(max_bytes, |length| max_bytes.min(length as usize));
        let first = declared.map_or(0, |_| limit.min(FIRST_BYTES_MAX));
        budget.wait_to_resize(&mut guard, first).await?;
        let mut body = BytesMut::with_capacity(first);
        while let Some(chunk) = self.chunk(timeout).await? {
            let length = body.len() + chunk.len();
            if length > max_bytes {
                return Err(Error::TooLarge(max_bytes));
            }
            if length > body.capacity() {
                let capacity = grown_capacity(&body, length, limit);
                budget.wait_to_resize(&mut guard, capacity).await?;
                grow(&mut body, capacity);
            }
            body.extend_from_slice(&chunk);
        }
        let head = std::mem::replace(&mut self.head, http::Response::new(()).into_parts().0);
        Ok((head, guard.attach(body.freeze())))
    }

    /// Reads at most `max_bytes` of the body and drops them, so that the connection may be used again.
    pub async fn discard(mut self, max_bytes: usize, timeout: Duration) {
        let mut bytes = 0;
        while let Ok(Some(chunk)) = self.chunk(timeout).await {
            bytes += chunk.len();
            if bytes > max_bytes {
                return;
            }
        }
    }

    /// Turns the rest of the body into a source that forwards each chunk as it arrives.
    pub fn into_source(self) -> Passthrough {
        Passthrough(self)
    }

    /// Returns the connection to the pool after the end of the body was read, unless the body may be a part only: it ended
    /// with the connection before the server had received all of the request.
    fn finish(&mut self) -> Result<(), Error> {
        let connection = self.connection.as_ref();
        let is_cut_short = connection.is_some_and(|connection| connection.delivery.is_cut_short());
        if self.ends_with_connection && is_cut_short {
            return Err(Error::EndedEarly);
        }
        if let Some(connection) = self.connection.take() {
            connection.is_answered.set(true);
            self.client
                .put_idle(self.address, connection, self.pool_timeout);
        }
        Ok(())
    }
}

/// Whether a body with this head has neither a length nor chunks, so that it ends with the connection, if there is one.
fn ends_with_connection(head: &http::response::Parts) -> bool {
    let headers = &head.headers;
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Whether a response has a form that requests ask for: no other protocol, and no transfer coding but chunks. Another
/// coding is lost on the way to the client, and `hyper` takes an unknown one for a body that ends with its connection.
fn is_expected(head: &http::response::Parts) -> bool {
    if head.status.as_u16() > STATUS_MAX {
        return false;
    }
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).into_iter();
    let is_plain = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    is_plain && head.status != StatusCode::SWITCHING_PROTOCOLS
}

/// Parses the keep-alive timeout that the server advertises: zero if it is about to close the
/// connection, `None` if it states no timeout.
fn parse_keep_alive(head: &http::response::Parts) -> Option<Duration> {
    let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let asks_to_close = |value: &str| value.to_ascii_lowercase().contains("close");
    if header("connection").is_some_and(asks_to_close) {
        return Some(Duration::ZERO);
    }
    let seconds = header("keep-alive")?
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

/// The body of a received response as the source of a response that is sent.
#[derive(Debug)]
pub struct Passthrough(Response);

impl Source for Passthrough {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        loop {
            match std::task::ready!(Pin::new(&mut self.0.body).poll_frame(cx)) {
                None => {
                    let finished = self.0.finish();
                    return Poll::Ready(finished.err().map(|_| Err(Truncated)));
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(Truncated))),
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Poll::Ready(Some(Ok(chunk)));
                    }
                }
            }
        }
    }
}
