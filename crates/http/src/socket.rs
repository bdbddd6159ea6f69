//! Options of sockets: no delay, and an end to connections that are silent for good.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use socket2::{SockRef, TcpKeepalive};

/// Silence after which the system begins to probe a connection.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(5);
/// Interval of those probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes after which the connection is lost.
const KEEPALIVE_PROBES: u32 = 3;
/// How long sent bytes may stay unacknowledged where nothing else is asked for.
pub const DEFAULT_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// A listener whose address is known but that accepts nothing yet.
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Listens at an address that no other socket may share; port 0 lets the system choose one.
    ///
    /// # Errors
    ///
    /// The system's error where the address can't be listened at.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// The address listened at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The listener itself.
    pub(crate) fn into_listener(self) -> TcpListener {
        self.listener
    }
}

/// Listens at an address that no other socket may share; port 0 lets the system choose one.
///
/// # Errors
///
/// The system's error where the address can't be listened at.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}

/// Sets the options on a connection, whose sent bytes may stay unacknowledged for so long.
///
/// # Errors
///
/// The system's error; the connection is of no use then.
pub fn configure(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    // SAFETY: The descriptor is open as long as `stream` is borrowed, which is longer than `fd`.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let socket = SockRef::from(&fd);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged))
}
