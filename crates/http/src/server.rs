//! A server with bounds on connections, heads and idle time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{select, Either};
use http::header::HeaderValue;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use monoio::io::IntoPollIo as _;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use crate::body::{Outgoing, Source};
use crate::parse_refusal::{Typed, MARK};
use crate::socket::{self, Listener};

/// Pause after an error of `accept`, such as having no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest buffer that the codec allows for a head, in bytes.
const HEAD_BYTES_MIN: usize = 8192;

/// Bounds of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections at a time; more wait in the system's backlog.
    pub connections: usize,
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Headers of a head.
    pub headers: usize,
    /// Time for a head to come, which also bounds idle time between requests.
    pub head_timeout: Duration,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a body to come.
    pub body_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_bytes: 16 << 10,
            headers: 64,
            head_timeout: Duration::from_secs(30),
            body_bytes: 1 << 20,
            body_timeout: Duration::from_secs(20),
        }
    }
}

/// What answers requests.
pub trait Handler: Clone + 'static {
    /// Source of streamed replies.
    type Source: Source;

    /// Answers one request. Dropping the future, or the reply's source, means that the caller is
    /// gone.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Outgoing<Self::Source>>>;
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    closing: Rc<Closing>,
    _listening: oneshot::Sender<()>,
}

/// How a server ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// Exchanges under way go to their end.
    Graceful,
    /// All connections are cut.
    Abort,
}

impl Server {
    /// Listens at an address and answers until closed.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be listened at.
    pub fn bind<H: Handler>(address: SocketAddr, limits: Limits, handler: H) -> io::Result<Self> {
        Ok(Self::spawn(Listener::bind(address)?, limits, handler))
    }

    /// Begins to answer at a listener.
    pub fn spawn<H: Handler>(bound: Listener, limits: Limits, handler: H) -> Self {
        let (listening, stopped) = oneshot::channel();
        let closing = Rc::new(Closing::default());
        let address = bound.address();
        monoio::spawn(accept(
            bound.into_listener(),
            limits,
            handler,
            stopped,
            closing.clone(),
        ));
        Self {
            address,
            closing,
            _listening: listening,
        }
    }

    /// The address listened at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.closing.connections.borrow().len()
    }

    /// Stops listening, and closes connections where no exchange is under way.
    pub fn close(self) {
        self.closing.stop(Stop::Graceful);
    }

    /// Stops listening and cuts all connections, as the end of the process would.
    pub fn abort(self) {
        self.closing.stop(Stop::Abort);
    }
}

/// What connections look at to learn that the server ends.
#[derive(Debug, Default)]
struct Closing {
    stop: Cell<Option<Stop>>,
    connections: RefCell<HashMap<u64, Waker>>,
    last: Cell<u64>,
}

impl Closing {
    fn stop(&self, stop: Stop) {
        self.stop.set(Some(stop));
        let wakers: Vec<Waker> = self.connections.borrow().values().cloned().collect();
        wakers.into_iter().for_each(Waker::wake);
    }
}

/// One connection's place in the count, as long as it lives.
struct Counted {
    closing: Rc<Closing>,
    number: u64,
}

impl Counted {
    fn new(closing: Rc<Closing>) -> Self {
        let number = closing.last.get() + 1;
        closing.last.set(number);
        Self { closing, number }
    }

    /// Has the task of this connection woken when the server ends.
    fn register(&self, waker: &Waker) {
        self.closing
            .connections
            .borrow_mut()
            .insert(self.number, waker.clone());
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.closing.connections.borrow_mut().remove(&self.number);
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    mut stopped: oneshot::Receiver<()>,
    closing: Rc<Closing>,
) {
    loop {
        while closing.connections.borrow().len() >= limits.connections {
            monoio::time::sleep(ACCEPT_PAUSE).await;
        }
        let next = pin!(listener.accept());
        match select(next, &mut stopped).await {
            Either::Left((Ok((stream, _)), _)) => {
                let counted = Counted::new(closing.clone());
                monoio::spawn(serve(stream, limits.clone(), handler.clone(), counted));
            }
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => return,
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, limits: Limits, handler: H, counted: Counted) {
    if socket::configure(&stream, socket::DEFAULT_USER_TIMEOUT).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(marked(handler.handle(request).await)) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(Typed::new(MonoioIo::new(stream)), service);
    let mut connection = pin!(connection);
    let mut registered = false;
    let mut asked = false;
    poll_fn(|cx| {
        // A spawned task keeps one waker, so that one registration will do.
        if !std::mem::replace(&mut registered, true) {
            counted.register(cx.waker());
        }
        match counted.closing.stop.get() {
            Some(Stop::Abort) => return Poll::Ready(()),
            Some(Stop::Graceful) if !asked => {
                asked = true;
                connection.as_mut().graceful_shutdown();
            }
            _ => {}
        }
        connection.as_mut().poll(cx).map(|_| ())
    })
    .await;
}

fn marked<S>(mut response: Response<Outgoing<S>>) -> Response<Outgoing<S>> {
    response
        .headers_mut()
        .insert(MARK, HeaderValue::from_static("1"));
    response
}
