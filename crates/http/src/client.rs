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
use http::{Request, Response};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo as _;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use crate::body::{Broken, Source};
use crate::lifeline::Lifeline;
use crate::silence::Silence;
use crate::socket;

/// Bounds of a client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// How long an idle connection may be kept for reuse.
    pub idle: Duration,
    /// Idle connections kept per address.
    pub idle_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle: Duration::from_secs(5),
            idle_max: 32,
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

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Dropping this closes the socket at once, whatever is under way on it.
    _open: Lifeline,
}

struct Idle {
    connection: Connection,
    since: Instant,
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

/// An answer whose body is still to be read. Dropping it closes the connection.
pub struct Answer {
    /// The head.
    pub head: http::response::Parts,
    body: Incoming,
    silence: Silence,
    connection: Option<Connection>,
    address: SocketAddr,
    client: Client,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Makes a client without connections.
    pub fn open(settings: Settings) -> Self {
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
    ) -> Result<Answer, Error> {
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

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let fail = |error| Error::Connect { address, error };
        let connecting = TcpStream::connect_addr(address);
        let stream = match monoio::time::timeout(self.settings.connect_timeout, connecting).await {
            Ok(result) => result.map_err(fail)?,
            Err(_) => return Err(fail(io::ErrorKind::TimedOut.into())),
        };
        socket::prepare(&stream).map_err(fail)?;
        let io = MonoioIo::new(stream.into_poll_io().map_err(fail)?);
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|error| fail(io::Error::other(error)))?;
        let (open, watch) = Lifeline::open();
        monoio::spawn(async move {
            _ = watch.run(connection).await;
        });
        Ok(Connection {
            sender,
            _open: open,
        })
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let mut silence = Silence::open(timeout);
        let sent = silence.bound(connection.sender.send_request(request)).await;
        let response: Response<Incoming> = sent.map_err(|_| Error::TimedOut(timeout))??;
        let (head, body) = response.into_parts();
        Ok(Answer {
            head,
            body,
            silence,
            connection: Some(connection),
            address,
            client: self.clone(),
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(last) = list.pop() {
            let usable =
                last.since.elapsed() < self.settings.idle && last.connection.sender.is_ready();
            if usable {
                return Some(last.connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn give_back(&self, address: SocketAddr, connection: Connection) {
        if !connection.sender.is_ready() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        list.retain(|idle| idle.since.elapsed() < self.settings.idle);
        if list.len() < self.settings.idle_max {
            list.push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }
}

impl Answer {
    /// Waits for the next chunk; none at the whole end.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] where the body was cut, [`Error::TimedOut`] after `timeout` of silence.
    pub async fn chunk(&mut self, timeout: Duration) -> Result<Option<Bytes>, Error> {
        loop {
            self.silence.set_max(timeout);
            let frame = self.silence.bound(self.body.frame()).await;
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
    /// As [`Answer::chunk`], and [`Error::TooLarge`].
    pub async fn whole(
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
        let head = std::mem::replace(&mut self.head, Response::new(()).into_parts().0);
        Ok((head, whole.freeze()))
    }

    /// Passes the body on chunk by chunk.
    pub fn into_source(self) -> Relay {
        Relay(self)
    }

    /// Gives the connection back for reuse once the body has ended whole.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.client.give_back(self.address, connection);
        }
    }
}

/// The body of an answer as the source of a reply.
#[derive(Debug)]
pub struct Relay(Answer);

impl Source for Relay {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        loop {
            match std::task::ready!(Pin::new(&mut self.0.body).poll_frame(cx)) {
                None => {
                    self.0.finish();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(Broken))),
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Poll::Ready(Some(Ok(chunk)));
                    }
                }
            }
        }
    }
}
