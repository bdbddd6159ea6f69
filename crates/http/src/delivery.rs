//! Whether a server had received all of a request when it ended its side of the connection.

use std::cell::Cell;
use std::os::fd::BorrowedFd;
use std::rc::Rc;

use crate::socket;

/// What a connection knows of the bytes that were to be sent; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Delivery(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// Bytes that `hyper` wanted to write when it wrote last, and that the system did not take.
    unwritten: Cell<usize>,
    /// Whether the server ended its side before it had received all of the request.
    is_cut_short: Cell<bool>,
}

impl Delivery {
    /// Records a write of which the system took some of the bytes.
    pub(crate) fn record_write(&self, bytes: usize, taken: usize) {
        self.0.unwritten.set(bytes.saturating_sub(taken));
    }

    /// Records that the server has ended its side of the connection. Its end acknowledges all that it had received.
    pub(crate) fn record_end(&self, socket: BorrowedFd<'_>) {
        let is_unsent = self.0.unwritten.get() > 0;
        let is_cut_short = is_unsent || socket::unacknowledged_bytes(socket) > 0;
        self.0.is_cut_short.set(is_cut_short);
    }

    /// Whether the server ended its side before it had received all of the request.
    pub(crate) fn is_cut_short(&self) -> bool {
        self.0.is_cut_short.get()
    }
}
