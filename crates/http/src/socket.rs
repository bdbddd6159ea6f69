//! Listeners, and the socket options of connections: `TCP_NODELAY` and dead peer detection.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first keepalive probe (`TCP_KEEPIDLE`).
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Interval between keepalive probes (`TCP_KEEPINTVL`).
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which the connection is lost (`TCP_KEEPCNT`).
const KEEPALIVE_PROBES: u32 = 3;
/// How long the listener of a process that ends may outlive its connections.
const LISTENER_MARGIN: Duration = Duration::from_millis(100);
/// Default time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
pub const USER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);

/// Receive buffer of a client's connection, in bytes. A VM's link of 10 Mbit/s is full with that at 25 ms of round trip.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Send buffer of a client's connection, in bytes. With a smaller one, loopback connections wait for delayed
/// acknowledgements: 4 MiB took 2 s instead of 2 ms.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// A listening socket whose address is known. Connections wait in its backlog until they are
/// accepted.
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds to an address that no other socket may share; port 0 lets the system choose a port.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Bounds what the system holds for each connection that is accepted from now on.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn bound_buffers(&self) -> io::Result<()> {
        // SAFETY: The descriptor is open as long as the listener, which is borrowed for longer than `fd`.
        let fd = unsafe { BorrowedFd::borrow_raw(self.listener.as_raw_fd()) };
        let socket = SockRef::from(&fd);
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)
    }

    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the underlying listener.
    pub(crate) fn into_listener(self) -> TcpListener {
        self.listener
    }
}

/// Listens on an address that no other socket may share; port 0 lets the system choose a port.
///
/// # Errors
///
/// The error of the operating system if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}

/// What a connection that is opened and closed shows of its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Something listens there.
    Listening,
    /// The connection was refused: nothing does.
    Refused,
    /// Nothing was learnt: it took too long, or failed in another way.
    Unknown,
}

/// Opens a connection and closes it; logs an error that tells nothing.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Finding {
    let connecting = TcpStream::connect_addr(address);
    let connected = monoio::time::timeout(timeout, connecting).await;
    match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(_) => Finding::Listening,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Finding::Refused,
        Err(error) => {
            log::info!(runner_address:% = address, error:% = error; "presence_unknown");
            Finding::Unknown
        }
    }
}

/// Whether nothing listens at an address once a connection of its process has ended. A system closes the connections and the
/// listener of a process that ends one after the other, so it is looked twice. A `timeout` or another error of a look
/// tells nothing.
pub async fn has_stopped_listening(address: SocketAddr, timeout: Duration) -> bool {
    if probe(address, timeout).await == Finding::Refused {
        return true;
    }
    monoio::time::sleep(LISTENER_MARGIN).await;
    probe(address, timeout).await == Finding::Refused
}

/// Sets the socket options of a connection. It is lost when sent bytes stay unacknowledged for
/// `user_timeout`, or keepalive probes unanswered. With no `user_timeout` the system ends it for neither:
/// the user of the connection has to end each exchange that takes too long.
///
/// # Errors
///
/// The error of the operating system; the connection is unusable then.
pub fn configure(stream: &TcpStream, user_timeout: Option<Duration>) -> io::Result<()> {
    // SAFETY: The descriptor is open as long as `stream` is borrowed, which is longer than `fd`.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let socket = SockRef::from(&fd);
    socket.set_nodelay(true)?;
    if user_timeout.is_none() {
        return Ok(());
    }
    socket.set_tcp_keepalive(&keepalive())?;
    socket.set_tcp_user_timeout(user_timeout)
}

/// Sets the socket options of a client's connection. It is lost when keepalive probes stay unacknowledged. There is no
/// `TCP_USER_TIMEOUT`: the system counts it from the first time that it found the client's receive buffer full, also if the
/// client has taken all since then, so it would end the connection of a client that is merely slow.
///
/// # Errors
///
/// The error of the operating system; the connection is unusable then.
pub(crate) fn configure_client(stream: &TcpStream) -> io::Result<()> {
    // SAFETY: The descriptor is open as long as `stream` is borrowed, which is longer than `fd`.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let socket = SockRef::from(&fd);
    socket.set_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive())
}

fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES)
}

/// Bytes that were written to a connection and that its other side has not acknowledged; none of one that is lost.
pub(crate) fn unacknowledged_bytes(socket: BorrowedFd<'_>) -> u64 {
    let mut bytes: libc::c_int = 0;
    // SAFETY: The socket is open while it is borrowed, and the call writes one `c_int`.
    let failed = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) } != 0;
    let bytes = if failed { 0 } else { bytes };
    u64::try_from(bytes).unwrap_or(0)
}

/// Lets the close of a connection reset it, so that nothing more is sent, not even bytes that the
/// system has accepted already.
///
/// # Errors
///
/// The error of the operating system.
pub(crate) fn reset_on_close(stream: &impl AsRawFd) -> io::Result<()> {
    // SAFETY: The descriptor is open as long as `stream` is borrowed, which is longer than `fd`.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    SockRef::from(&fd).set_linger(Some(Duration::ZERO))
}
