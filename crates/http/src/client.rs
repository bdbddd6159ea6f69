//! A client that tells a request that was never written from one that may have been.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::Request;
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use crate::body::{Source, Truncated};
use crate::cancel;
use crate::idle_timeout;
use crate::socket;

/// Bounds of a client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// How long an idle connection may be kept for reuse.
    pub idle_timeout: Duration,
    /// Idle connections kept per address.
    pub max_idle_per_address: usize,
    /// How long sent bytes may stay unacknowledged.
    pub user_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(5),
            max_idle_per_address: 32,
            user_timeout: socket::DEFAULT_USER_TIMEOUT,
        }
    }
}

/// Whether a connection that was used before will do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A kept-open connection will do; the request is sent a second time if that one turns out dead,
    /// so that only cheap work that may be repeated should go this way.
    Allowed,
    /// Only a connection made just now.
    Fresh,
}

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made; not one byte was written.
    #[error("no connection to {address}: {error}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The connection was closed before a byte of the request was written.
    #[error("connection closed before the request was written")]
    Unwritten,
    /// The connection was lost after the request was, or may have been, written.
    #[error("connection lost: {0}")]
    Lost(#[from] hyper::Error),
    /// Nothing came for too long.
    #[error("nothing came for {0:?}")]
    TimedOut(Duration),
    /// The answer's body is over the bound.
    #[error("answer is over {0} bytes")]
    TooLarge(usize),
}

/// How much sooner than the far end an idle connection is given up.
const KEEP_ALIVE_LEAD: Duration = Duration::from_millis(700);

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Dropping this closes the socket at once, whatever is under way on it.
    _guard: cancel::Guard,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// A client of one thread.
#[derive(Clone)]
pub struct Client {
    settings: Settings,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Error {
    /// Tells whether not one byte of the request was written.
    pub fn is_unwritten(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unwritten)
    }
}

/// An answer whose body is still to be read. Dropping it closes the connection.
pub struct Response {
    /// The head.
    pub head: http::response::Parts,
    body: Incoming,
    silence: idle_timeout::Timer,
    connection: Option<Connection>,
    /// How long the connection may be kept idle.
    keep: Duration,
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
    /// Makes a client without connections.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            idle: Rc::default(),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error`]; [`Error::Connect`] alone proves that nothing was written.
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
                // The far end may have closed a kept-open connection; a fresh one tells.
                Err(Error::Lost(_)) => {}
                other => return other,
            }
        }
        let connection = self.connect(address).await?;
        self.exchange(connection, address, request, timeout).await
    }

    /// Sends a request to its end at most once and waits for the head of its answer. Kept-open
    /// connections that turn out closed before a byte was written are passed over.
    ///
    /// # Errors
    ///
    /// [`Error`]; [`Error::is_unwritten`] tells whether the request can have arrived.
    pub async fn send_once(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let mut kept = reuse == Reuse::Allowed;
        loop {
            let idle = self.take_idle(address).filter(|_| kept);
            kept = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            let mut silence = idle_timeout::Timer::new(timeout);
            let sent = connection.sender.try_send_request(request);
            let sent = silence.wait(sent).await;
            match sent.map_err(|_| Error::TimedOut(timeout))? {
                Ok(response) => return Ok(self.answer(address, connection, response, silence)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if kept => request = unsent,
                    Some(_) => return Err(Error::Unwritten),
                    None => return Err(Error::Lost(error.into_error())),
                },
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let fail = |error| Error::Connect { address, error };
        let connecting = TcpStream::connect_addr(address);
        let stream = match monoio::time::timeout(self.settings.connect_timeout, connecting).await {
            Ok(result) => result.map_err(fail)?,
            Err(_) => return Err(fail(io::ErrorKind::TimedOut.into())),
        };
        socket::configure(&stream, self.settings.user_timeout).map_err(fail)?;
        let io = MonoioIo::new(stream.into_poll_io().map_err(fail)?);
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|error| fail(io::Error::other(error)))?;
        let (guard, token) = cancel::Guard::new();
        monoio::spawn(async move {
            _ = token.run_until_cancelled(connection).await;
        });
        Ok(Connection {
            sender,
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
        let mut silence = idle_timeout::Timer::new(timeout);
        let sent = silence.wait(connection.sender.send_request(request)).await;
        let response = sent.map_err(|_| Error::TimedOut(timeout))??;
        Ok(self.answer(address, connection, response, silence))
    }

    fn answer(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: http::Response<Incoming>,
        silence: idle_timeout::Timer,
    ) -> Response {
        let (head, body) = response.into_parts();
        let keep = keep_alive(&head).map_or(self.settings.idle_timeout, |told| {
            told.saturating_sub(KEEP_ALIVE_LEAD)
                .min(self.settings.idle_timeout)
        });
        Response {
            head,
            body,
            silence,
            connection: Some(connection),
            keep,
            address,
            client: self.clone(),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(last) = list.pop() {
            if last.until > Instant::now() && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn give_back(&self, address: SocketAddr, connection: Connection, keep: Duration) {
        // A connection whose far end asked for its close is closed a little later.
        if connection.sender.is_closed() || keep.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        let now = Instant::now();
        list.retain(|idle| idle.until > now);
        if list.len() < self.settings.max_idle_per_address {
            list.push(Idle {
                connection,
                until: now + keep,
            });
        }
    }
}

impl Response {
    /// Waits for the next chunk; none at the whole end.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] where the body was cut, [`Error::TimedOut`] after `timeout` of silence.
    pub async fn chunk(&mut self, timeout: Duration) -> Result<Option<Bytes>, Error> {
        loop {
            self.silence.set_timeout(timeout);
            let frame = self.silence.wait(self.body.frame()).await;
            let frame = frame.map_err(|_| Error::TimedOut(timeout))?;
            let Some(frame) = frame else {
                self.finish();
                return Ok(None);
            };
            if let Ok(chunk) = frame?.into_data() {
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads the whole body; `timeout` bounds each silence.
    ///
    /// # Errors
    ///
    /// As [`Response::chunk`], and [`Error::TooLarge`].
    pub async fn collect(
        mut self,
        max: usize,
        timeout: Duration,
    ) -> Result<(http::response::Parts, Bytes), Error> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.chunk(timeout).await? {
            if whole.len() + chunk.len() > max {
                return Err(Error::TooLarge(max));
            }
            whole.extend_from_slice(&chunk);
        }
        let head = std::mem::replace(&mut self.head, http::Response::new(()).into_parts().0);
        Ok((head, whole.freeze()))
    }

    /// Passes the body on chunk by chunk.
    pub fn into_source(self) -> Passthrough {
        Passthrough(self)
    }

    /// Gives the connection back for reuse once the body has ended whole.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.client.give_back(self.address, connection, self.keep);
        }
    }
}

/// How long the far end says that it keeps the connection; nothing if it is about to close it.
fn keep_alive(head: &http::response::Parts) -> Option<Duration> {
    let value = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let closes = |value: &str| value.to_ascii_lowercase().contains("close");
    if value("connection").is_some_and(closes) {
        return Some(Duration::ZERO);
    }
    let part = value("keep-alive")?
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(part.parse().ok()?))
}

/// The body of an answer as the source of a reply.
#[derive(Debug)]
pub struct Passthrough(Response);

impl Source for Passthrough {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        loop {
            match std::task::ready!(Pin::new(&mut self.0.body).poll_frame(cx)) {
                None => {
                    self.0.finish();
                    return Poll::Ready(None);
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
