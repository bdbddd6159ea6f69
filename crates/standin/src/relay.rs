//! A TCP relay between two processes that can delay, stall or reset its connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::select;
use hornbeamtiller_http::socket;
use monoio::io::{AsyncWriteRentExt as _, Splitable as _};
use monoio::net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};
use socket2::Socket;

use crate::packet_filter;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Delay before `accept` is retried after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Network impairment that a relay applies to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impairment {
    /// All bytes are forwarded.
    #[default]
    #[serde(rename = "open")]
    None,
    /// Connections that are already open stay open but forward nothing, also after the impairment
    /// has changed; new ones work.
    OldSilent,
    /// Nothing is forwarded, on existing or new connections.
    Silent,
    /// As [`Impairment::Silent`], and packets from clients are lost: what they send stays
    /// unacknowledged, and new connections are not established. The clients' system retransmits
    /// both after the impairment.
    Partition,
    /// Bytes are forwarded to the target, but not back to the client.
    OneWay,
    /// All bytes are forwarded, after a delay.
    Late,
}

/// Delay of each new connection and of each chunk read from it under [`Impairment::Late`].
const LATE_DELAY: Duration = Duration::from_millis(120);

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// An open connection of a client. Dropping it closes the connection.
struct Connection {
    socket: Socket,
    _end: oneshot::Sender<()>,
}

struct Inner {
    listener: Socket,
    /// Whether it has stopped listening.
    is_closed: Cell<bool>,
    impairment: Cell<Impairment>,
    /// Connections with a lower number forward nothing any more.
    stalled_below: Cell<u64>,
    /// Number of the newest connection.
    last_connection: Cell<u64>,
    /// Notified when the impairment changes.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Open connections by number.
    connections: RefCell<BTreeMap<u64, Connection>>,
}

/// A running TCP relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    inner: Rc<Inner>,
}

impl Relay {
    /// Listens at `address` and forwards each connection to the target as it is at that time.
    ///
    /// # Errors
    ///
    /// Returns the OS error if the address can't be bound.
    pub fn bind(address: SocketAddr, target: Rc<Cell<SocketAddr>>) -> io::Result<Self> {
        let listener = socket::listen(address)?;
        let address = listener.local_addr()?;
        let inner = Rc::new(Inner::new(packet_filter::share(&listener)?));
        monoio::spawn(accept(listener, target, inner.clone()));
        Ok(Self { address, inner })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the impairment.
    pub fn set_impairment(&self, impairment: Impairment) {
        if impairment == Impairment::OldSilent {
            self.inner
                .stalled_below
                .set(self.inner.last_connection.get() + 1);
        }
        let before = self.inner.impairment.replace(impairment);
        if before != impairment {
            self.inner.filter_packets(before);
        }
        self.inner
            .waiters
            .borrow_mut()
            .drain(..)
            .for_each(|waiter| _ = waiter.send(()));
    }

    /// Stops listening and closes all connections, as the exit of the target's process would.
    pub fn close(self) {
        self.inner.is_closed.set(true);
        if let Err(error) = self.inner.listener.shutdown(std::net::Shutdown::Both) {
            log::warn!("a relay can't stop listening: {error}");
        }
        self.reset();
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.inner.connections.borrow_mut().clear();
    }
}

impl Inner {
    fn new(listener: Socket) -> Self {
        Self {
            listener,
            is_closed: Cell::default(),
            impairment: Cell::default(),
            stalled_below: Cell::default(),
            last_connection: Cell::default(),
            waiters: RefCell::default(),
            connections: RefCell::default(),
        }
    }

    /// Lets packets of clients be lost while the impairment is [`Impairment::Partition`].
    fn filter_packets(&self, before: Impairment) {
        let connections = self.connections.borrow();
        let sockets = connections.values().map(|connection| &connection.socket);
        for socket in sockets.chain([&self.listener]) {
            if self.impairment.get() == Impairment::Partition {
                packet_filter::attach(socket);
            } else if before == Impairment::Partition {
                packet_filter::detach(socket);
            }
        }
    }

    /// Registers a connection; the receiver is notified when it is to be closed.
    fn register(&self, client: &TcpStream) -> io::Result<(u64, oneshot::Receiver<()>)> {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let socket = packet_filter::share(client)?;
        if self.impairment.get() == Impairment::Partition {
            packet_filter::attach(&socket);
        }
        let (end, ended) = oneshot::channel();
        let connection = Connection { socket, _end: end };
        self.connections.borrow_mut().insert(number, connection);
        Ok((number, ended))
    }

    /// Waits until a connection's bytes may be forwarded.
    async fn wait_until_passable(&self, connection: u64, direction: Direction) {
        if self.impairment.get() == Impairment::Late {
            monoio::time::sleep(LATE_DELAY).await;
        }
        while self.is_blocked(connection, direction) {
            let (sender, changed) = oneshot::channel();
            self.waiters.borrow_mut().push(sender);
            _ = changed.await;
        }
    }

    fn is_blocked(&self, connection: u64, direction: Direction) -> bool {
        match self.impairment.get() {
            Impairment::Silent | Impairment::Partition => true,
            Impairment::OneWay if direction == Direction::ToClient => true,
            _ => connection < self.stalled_below.get(),
        }
    }
}

async fn accept(listener: TcpListener, target: Rc<Cell<SocketAddr>>, inner: Rc<Inner>) {
    loop {
        let accepted = listener.accept().await;
        if inner.is_closed.get() {
            return;
        }
        let Ok((stream, _)) = accepted else {
            monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (connection, ended) = match inner.register(&stream) {
            Ok(registered) => registered,
            Err(error) => {
                log::warn!("a relayed connection is closed: {error}");
                continue;
            }
        };
        let (target, inner) = (target.get(), inner.clone());
        monoio::spawn(async move {
            // The end of either direction closes the connection, and so does a reset.
            select(pin!(forward(stream, target, connection, &inner)), ended).await;
            inner.connections.borrow_mut().remove(&connection);
        });
    }
}

async fn forward(client: TcpStream, target: SocketAddr, connection: u64, inner: &Inner) {
    inner
        .wait_until_passable(connection, Direction::ToTarget)
        .await;
    let Ok(upstream) = TcpStream::connect_addr(target).await else {
        return;
    };
    _ = client.set_nodelay(true);
    _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let to_target = pin!(copy(
        client_read,
        upstream_write,
        (connection, Direction::ToTarget),
        inner
    ));
    let to_client = pin!(copy(
        upstream_read,
        client_write,
        (connection, Direction::ToClient),
        inner
    ));
    select(to_target, to_client).await;
}

async fn copy<R, W>(
    mut reader: R,
    mut writer: W,
    (connection, direction): (u64, Direction),
    inner: &Inner,
) where
    R: monoio::io::AsyncReadRent,
    W: monoio::io::AsyncWriteRent,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let (read, mut data) = reader.read(buffer).await;
        let Ok(count @ 1..) = read else {
            return;
        };
        inner.wait_until_passable(connection, direction).await;
        data.truncate(count);
        let (written, mut returned) = writer.write_all(data).await;
        if written.is_err() {
            return;
        }
        returned.resize(BUFFER_BYTES, 0);
        buffer = returned;
    }
}
