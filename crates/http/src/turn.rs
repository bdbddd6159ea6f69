//! Bounds what one connection reads in one turn of its task, so that a peer that sends without end takes no more than
//! its share of the only thread. Also notes how far its requests were sent when the peer ends the connection.

use std::cell::Cell;
use std::io::{self, Read as _};
use std::os::fd::{BorrowedFd, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use socket2::SockRef;

use crate::delivery::Delivery;

/// Reads of a connection in one turn, each of at most the size of its buffer.
const READS_MAX: usize = 8;

/// Most bytes that are read of what nobody asked for; more than none close the connection.
const UNASKED_BYTES_MAX: usize = 64;

/// Counts the reads of the present turn.
#[derive(Debug, Clone, Default)]
pub(crate) struct Turn {
    reads: Rc<Cell<usize>>,
    /// Whether the connection was idle until a moment ago.
    was_idle: Rc<Cell<bool>>,
}

impl Turn {
    /// Begins a turn of the connection's task.
    pub(crate) fn begin(&self) {
        self.reads.set(0);
    }

    /// Has the next read ask the system whether the connection has ended, which the driver may not know yet: `hyper` reads
    /// before it writes a request.
    pub(crate) fn end_idleness(&self) {
        self.was_idle.set(true);
    }
}

/// A socket from which is read a bounded number of times in a turn.
#[derive(Debug)]
pub(crate) struct Bounded<T> {
    inner: T,
    turn: Turn,
    delivery: Delivery,
    /// The socket of `inner`.
    socket: RawFd,
}

impl<T> Bounded<T> {
    pub(crate) fn new(inner: T, turn: Turn, delivery: Delivery, socket: RawFd) -> Self {
        Self {
            inner,
            turn,
            delivery,
            socket,
        }
    }

    pub(crate) fn into_inner(self) -> T {
        self.inner
    }

    fn socket(&self) -> BorrowedFd<'_> {
        // SAFETY: The socket is open as long as `inner`.
        unsafe { BorrowedFd::borrow_raw(self.socket) }
    }

    /// Reads what has arrived, without the driver.
    fn read_arrived(&self, buf: &mut ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        let socket = self.socket();
        let mut bytes = [0; UNASKED_BYTES_MAX];
        let length = bytes.len().min(buf.remaining());
        match (&*SockRef::from(&socket)).read(&mut bytes[..length]) {
            Ok(count) => {
                buf.put_slice(&bytes[..count]);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl<T: Read + Unpin> Read for Bounded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let reads = self.turn.reads.get();
        if reads >= READS_MAX {
            // The task goes on after the others have had their turns.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.turn.reads.set(reads + 1);
        if self.turn.was_idle.take() {
            let arrived = self.read_arrived(&mut buf);
            if arrived.is_ready() {
                return arrived;
            }
        }
        // SAFETY: Nothing that is initialized is uninitialized here; `inner` only writes.
        let space = unsafe { buf.as_mut() };
        let has_space = !space.is_empty();
        let mut own = ReadBuf::uninit(space);
        ready!(Pin::new(&mut self.inner).poll_read(cx, own.unfilled()))?;
        let count = own.filled().len();
        // SAFETY: `inner` has filled so many bytes of the space.
        unsafe { buf.advance(count) };
        if has_space && count == 0 {
            self.delivery.record_end(self.socket());
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for Bounded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.delivery.record_write(buf.len(), count_taken(&written));
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        let bytes = bufs.iter().map(|buf| buf.len()).sum();
        self.delivery.record_write(bytes, count_taken(&written));
        written
    }
}

/// The bytes that a write has handed to the system.
pub(crate) fn count_taken(written: &Poll<io::Result<usize>>) -> usize {
    match written {
        Poll::Ready(Ok(bytes)) => *bytes,
        Poll::Ready(Err(_)) | Poll::Pending => 0,
    }
}
