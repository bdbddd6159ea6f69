//! An HTTP/1.1 server with limits on connections, request heads, bodies and idle time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd as _;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{select, Either};
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use monoio::io::IntoPollIo as _;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::MonoioIo;

use crate::body::{Outgoing, Source};
use crate::connection::{Control, Monitored, Tracked};
use crate::memory::{Budget, Cut};
use crate::parse_refusal::{Rewriter, MARKER_HEADER};
use crate::pulse::Pulse;
use crate::socket::{self, Listener};

pub use crate::connection::{Handle, State, Timeouts, Unreceived};

/// Target of log lines that are needed to examine the stop of a process. No rate limit of the log may leave one out.
pub const STOP_LOG_TARGET: &str = "stop";
/// Target of log lines of requests that can't be served as they are, by any process. Clients may cause any number of them.
pub const INVALID_LOG_TARGET: &str = "invalid";

/// Delay after an error of `accept`, such as running out of file descriptors, and between checks of
/// the connection limit.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that `hyper` accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8192;

/// Interval at which it is checked whether a client has received its last response.
const LINGER_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which connections are checked for timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it is checked whether clients' systems acknowledge what they are sent.
const ACKNOWLEDGEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// The part of the connections with unread responses that is closed at a time while memory is short.
const SHORTAGE_PART: usize = 4;
/// A check that is this much later shows that the process did not run.
const SWEEP_DELAY_MAX: Duration = Duration::from_millis(500);
/// Requests in a row that a client may send ahead of responses without delay.
const AHEAD_MAX: u32 = 4;
/// Delay of a further one for each open connection, and the least number of connections that it is reckoned with.
const AHEAD_DELAY: Duration = Duration::from_millis(1);
const AHEAD_CONNECTIONS_MIN: u32 = 10;
/// How long a client may leave its response unread. A runner's cut-off of such a response is of the same order.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Resource limits of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections at a time. For a further one, one that is idle or slow is closed; if there is none, it waits in the
    /// listen backlog.
    pub connections: usize,
    /// Memory of a connection with heads of `head_bytes`, in bytes. With larger ones there are fewer connections.
    pub connection_bytes: usize,
    /// Size of a request head, in bytes, unless the handler states one.
    pub head_bytes: usize,
    /// Number of headers of a request of `head_bytes`; a larger one may have more.
    pub headers: usize,
    /// Time to receive a request head, which also limits the idle time between requests, unless the handler states
    /// timeouts.
    pub head_timeout: Duration,
    /// Size of a request body, in bytes. The handler applies it.
    pub body_bytes: usize,
    /// Time to receive a request body. The handler applies it.
    pub body_timeout: Duration,
    /// Counts the connections that are closed.
    pub budget: Budget,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            connection_bytes: 48 << 10,
            head_bytes: 16 << 10,
            headers: 64,
            head_timeout: Duration::from_secs(30),
            body_bytes: 1 << 20,
            body_timeout: Duration::from_secs(20),
            budget: Budget::unlimited(),
        }
    }
}

impl Limits {
    /// The same for connections whose heads may have `head_bytes`, if the handler states that.
    fn with_head_bytes(&self, head_bytes: Option<usize>) -> Self {
        let head_bytes = head_bytes.unwrap_or(self.head_bytes);
        let surplus = head_bytes.saturating_sub(self.head_bytes);
        let bytes = self.connection_bytes.max(1);
        let connections = self.connections as f64 * bytes as f64 / (bytes + surplus) as f64;
        Self {
            connections: (connections as usize).max(1),
            head_bytes,
            headers: self.headers * head_bytes.div_ceil(self.head_bytes.max(1)).max(1),
            ..self.clone()
        }
    }
}

/// Handles requests.
pub trait Handler: Clone + 'static {
    /// The source of streamed response bodies.
    type Source: Source;

    /// Handles one request. The future or the response's source is dropped early if the client
    /// disconnects.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Outgoing<Self::Source>>>;

    /// The timeouts now in force; `None` for those of the server's limits.
    fn timeouts(&self) -> Option<Timeouts> {
        None
    }

    /// The size of a request head now in force, in bytes; `None` for that of the server's limits. It applies to connections
    /// that are opened from now on, and others are closed after their next response.
    fn head_bytes(&self) -> Option<usize> {
        None
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Rc<Connections>,
    _stop_listening: oneshot::Sender<()>,
}

/// How a server shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shutdown {
    /// Requests are served as before, and connections that end are kept until their clients have received all.
    Leaving,
    /// Exchanges in progress are completed.
    Graceful,
    /// All connections are closed immediately.
    Abort,
}

impl Server {
    /// Binds to an address and serves requests until closed.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address can't be bound.
    pub fn bind<H: Handler>(address: SocketAddr, limits: Limits, handler: H) -> io::Result<Self> {
        Ok(Self::spawn(Listener::bind(address)?, limits, handler))
    }

    /// Starts to serve requests on a listener.
    pub fn spawn<H: Handler>(listener: Listener, limits: Limits, handler: H) -> Self {
        let (stop_listening, stop_signal) = oneshot::channel();
        let connections = Rc::new(Connections::default());
        let address = listener.address();
        monoio::spawn(sweep(
            Rc::downgrade(&connections),
            limits.clone(),
            handler.clone(),
        ));
        monoio::spawn(accept(
            listener.into_listener(),
            limits,
            handler,
            stop_signal,
            connections.clone(),
        ));
        Self {
            address,
            connections,
            _stop_listening: stop_listening,
        }
    }

    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.open.borrow().len()
    }

    /// Prepares for [`Server::close`]: a connection that ends from now on stays open until its client has received the last
    /// response, so that [`Closing`] tells of it. Requests are served as before.
    pub fn leave(&self) {
        self.connections.shut_down(Shutdown::Leaving);
    }

    /// Shuts down gracefully: stops listening and closes each connection once its exchange, if any,
    /// is complete and the client has received the response. Returns a handle by which to wait for that.
    pub fn close(self) -> Closing {
        self.connections.shut_down(Shutdown::Graceful);
        Closing(vec![self.connections])
    }

    /// Stops listening and closes all connections immediately, as the exit of the process would.
    pub fn abort(self) {
        self.connections.shut_down(Shutdown::Abort);
    }
}

/// Servers that are shutting down.
#[derive(Debug)]
pub struct Closing(Vec<Rc<Connections>>);

impl Closing {
    /// Whether all clients have received the responses to the requests that the servers have begun to read.
    pub fn is_complete(&self) -> bool {
        !self.0.iter().any(|server| server.has_unreceived())
    }

    /// The responses that clients have not received.
    pub fn unreceived(&self) -> Vec<Unreceived> {
        self.0
            .iter()
            .flat_map(|server| server.unreceived())
            .collect()
    }
}

impl FromIterator<Closing> for Closing {
    fn from_iter<T: IntoIterator<Item = Closing>>(servers: T) -> Self {
        Self(servers.into_iter().flat_map(|closing| closing.0).collect())
    }
}

/// The open connections of a server, and their shutdown signal.
#[derive(Debug, Default)]
struct Connections {
    shutdown: Cell<Option<Shutdown>>,
    open: RefCell<HashMap<u64, Rc<Control>>>,
    last_id: Cell<u64>,
}

impl Connections {
    fn shut_down(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.open
            .borrow()
            .values()
            .for_each(|control| control.wake());
    }

    fn count(&self) -> usize {
        self.open.borrow().len()
    }

    fn has_unreceived(&self) -> bool {
        let open = self.open.borrow();
        open.values().any(|control| control.has_unreceived())
    }

    fn unreceived(&self) -> Vec<Unreceived> {
        let open = self.open.borrow();
        open.values()
            .filter_map(|control| control.unreceived())
            .collect()
    }

    /// Closes a connection to make room for another one; returns whether there was one to close.
    fn displace(&self) -> bool {
        let open = self.open.borrow();
        let control = Control::pick(open.values());
        control
            .inspect(|control| control.cut(Cut::Displaced))
            .is_some()
    }

    /// Closes a part of the connections whose clients leave responses unread, those first that have done so for longest.
    fn cut_unread(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let unread = open
            .values()
            .filter_map(|control| Some((control.unread_for(now)?, control)));
        let mut unread: Vec<_> = unread.collect();
        unread.sort_by_key(|(time, _)| std::cmp::Reverse(*time));
        let count = unread.len().div_ceil(SHORTAGE_PART);
        for (_, control) in &unread[..count] {
            control.cut(Cut::Unread);
        }
    }

    /// Closes the connections whose clients' systems acknowledge nothing.
    fn cut_unacknowledged(&self) {
        let now = Instant::now();
        for control in self.open.borrow().values() {
            if control.is_unacknowledged(now) {
                control.cut(Cut::Unread);
            }
        }
    }

    /// Closes the connections whose timeout has passed.
    fn cut_overdue(&self, timeouts: &Timeouts) {
        let now = Instant::now();
        for control in self.open.borrow().values() {
            if let Some(cut) = control.overdue(now, timeouts) {
                control.cut(cut);
            }
        }
    }
}

/// Counts one connection as open until dropped.
struct Registration {
    connections: Rc<Connections>,
    control: Rc<Control>,
    id: u64,
}

impl Registration {
    fn new(connections: Rc<Connections>, stream: &TcpStream) -> Self {
        let id = connections.last_id.get() + 1;
        connections.last_id.set(id);
        let control = Control::new(stream.as_raw_fd());
        connections.open.borrow_mut().insert(id, control.clone());
        Self {
            connections,
            control,
            id,
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

/// Closes connections whose timeout has passed, for as long as the server has any or listens.
async fn sweep<H: Handler>(connections: Weak<Connections>, limits: Limits, handler: H) {
    let default = Timeouts {
        head: limits.head_timeout,
        idle: limits.head_timeout,
        unread: UNREAD_TIMEOUT,
    };
    let mut last = Instant::now();
    let mut last_acknowledgement = last;
    loop {
        monoio::time::sleep(SWEEP_INTERVAL).await;
        let Some(connections) = connections.upgrade() else {
            return;
        };
        let is_late = last.elapsed() > SWEEP_INTERVAL + SWEEP_DELAY_MAX;
        last = Instant::now();
        if limits.budget.take_shortage() {
            connections.cut_unread();
        }
        // If this process did not run, it has not given clients their time.
        if !is_late {
            connections.cut_overdue(&handler.timeouts().unwrap_or(default));
        }
        if last_acknowledgement.elapsed() >= ACKNOWLEDGEMENT_INTERVAL {
            last_acknowledgement = Instant::now();
            connections.cut_unacknowledged();
        }
        limits.budget.log_changes();
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    mut stop_signal: oneshot::Receiver<()>,
    connections: Rc<Connections>,
) {
    loop {
        let next = pin!(listener.accept());
        match select(next, &mut stop_signal).await {
            Either::Left((Ok((stream, _)), _)) => {
                let limits = limits.with_head_bytes(handler.head_bytes());
                let place = pin!(wait_for_place(&connections, limits.connections));
                if let Either::Right(_) = select(place, &mut stop_signal).await {
                    return;
                }
                let registration = Registration::new(connections.clone(), &stream);
                monoio::spawn(serve(stream, limits, handler.clone(), registration));
                // Its request may have come already, and is seen before the connection could make room for another.
                yield_now().await;
            }
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return,
        }
    }
}

/// Waits until there are fewer than `max` connections, or one that is idle or slow was closed.
async fn wait_for_place(connections: &Connections, max: usize) {
    while connections.count() >= max && !connections.displace() {
        monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    limits: Limits,
    handler: H,
    registration: Registration,
) {
    if socket::configure_client(&stream).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let (control, connections) = (
        registration.control.clone(),
        registration.connections.clone(),
    );
    let head_bytes = limits.head_bytes;
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (handler, control) = (handler.clone(), control.clone());
        let ahead = control.begin_exchange();
        let version = request.version();
        let open = connections.count();
        request.extensions_mut().insert(control.handle().clone());
        async move {
            wait_for_turn(&control, ahead, open).await;
            let mut response = add_marker(handler.handle(request).await);
            if handler
                .head_bytes()
                .is_some_and(|bytes| bytes != head_bytes)
            {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, control, version)))
        }
    });
    let control = registration.control.clone();
    let io = Monitored::new(
        Rewriter::new(MonoioIo::new(stream), control.clone()),
        control.clone(),
    );
    let connection = hyper::server::conn::http1::Builder::new()
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut shutdown = None;
    let mut pulse = Pulse::default();
    let drive = |cx: &mut Context<'_>| {
        ready!(pulse.poll_beat(cx));
        control.register(cx.waker());
        if let Some(cut) = control.cut_reason() {
            limits.budget.count_cut(cut);
            log_cut(&control, cut);
            return Poll::Ready(());
        }
        let requested = registration.connections.shutdown.get();
        if shutdown != requested {
            shutdown = requested;
            match requested {
                None | Some(Shutdown::Leaving) => {}
                Some(Shutdown::Graceful) => {
                    control.extend_send_buffer();
                    connection.as_mut().graceful_shutdown();
                }
                Some(Shutdown::Abort) => return Poll::Ready(()),
            }
        }
        control.begin_turn();
        connection.as_mut().poll(cx).map(|_| ())
    };
    poll_fn(drive).await;
    let shutdown = registration.connections.shutdown.get();
    if matches!(shutdown, Some(Shutdown::Leaving | Shutdown::Graceful)) {
        linger(&registration.control).await;
    }
}

/// Logs the request whose response is cut, if it has an id.
fn log_cut(control: &Control, cut: Cut) {
    let Some(unreceived) = control.unreceived() else {
        return;
    };
    let Some(request) = unreceived.request.as_deref() else {
        return;
    };
    let outcome: &str = cut.into();
    let (ms, bytes) = (unreceived.age.as_millis() as u64, unreceived.bytes);
    log::info!(request, outcome, ms, bytes; "response_cut");
}

/// Keeps a connection whose last response is written until its client has received all of it. What the client sends
/// meanwhile is dropped: a socket that is closed with unread bytes is reset, and what was not received yet is lost.
async fn linger(control: &Control) {
    while control.cut_reason().is_none() && control.has_undelivered() {
        control.discard_input();
        monoio::time::sleep(LINGER_INTERVAL).await;
    }
}

/// Keeps requests that were sent ahead of responses from taking the turns of others: after a few, all connections
/// together get through some 1,000 a second. A connection that waits here can make room for another one.
async fn wait_for_turn(control: &Control, ahead: u32, open_connections: usize) {
    match ahead {
        0 => {}
        1..=AHEAD_MAX => yield_now().await,
        _ => {
            let connections = u32::try_from(open_connections).unwrap_or(u32::MAX);
            control.set_delayed(true);
            monoio::time::sleep(AHEAD_DELAY * connections.max(AHEAD_CONNECTIONS_MIN)).await;
            control.set_delayed(false);
        }
    }
}

/// Lets other tasks run first.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

fn add_marker<S>(mut response: Response<Outgoing<S>>) -> Response<Outgoing<S>> {
    response
        .headers_mut()
        .insert(MARKER_HEADER, HeaderValue::from_static("1"));
    response
}
