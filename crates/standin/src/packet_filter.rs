//! Loss of the packets that a socket receives, by a socket filter that accepts none.

use std::io;
use std::os::fd::{AsRawFd, BorrowedFd};

use socket2::{SockRef, Socket};

/// The instruction that drops a packet: return a length of 0 (`BPF_RET | BPF_K`).
const DROP: libc::sock_filter = libc::sock_filter {
    code: 0x06,
    jt: 0,
    jf: 0,
    k: 0,
};

/// Returns another descriptor of a socket. The socket stays open until both are closed.
///
/// # Errors
///
/// The error of the operating system if there are no descriptors left.
pub fn share(socket: &impl AsRawFd) -> io::Result<Socket> {
    // SAFETY: The descriptor is open as long as `socket` is borrowed, which is longer than `fd`.
    let fd = unsafe { BorrowedFd::borrow_raw(socket.as_raw_fd()) };
    SockRef::from(&fd).try_clone()
}

/// Drops all packets that a socket receives. At a listener these are new connections.
pub fn attach(socket: &Socket) {
    if let Err(error) = socket.attach_filter(&[DROP]) {
        log::warn!("a packet filter is not attached: {error}");
    }
}

/// Accepts packets again.
pub fn detach(socket: &Socket) {
    if let Err(error) = socket.detach_filter() {
        log::warn!("a packet filter is not detached: {error}");
    }
}
