//! Bounds what one connection reads in one turn of its task, so that a peer that sends without end takes no more than
//! its share of the only thread.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Reads of a connection in one turn, each of at most the size of its buffer.
const READS_MAX: usize = 8;

/// Counts the reads of the present turn.
#[derive(Debug, Clone, Default)]
pub(crate) struct Turn(Rc<Cell<usize>>);

impl Turn {
    /// Begins a turn of the connection's task.
    pub(crate) fn begin(&self) {
        self.0.set(0);
    }
}

/// A socket from which is read a bounded number of times in a turn.
#[derive(Debug)]
pub(crate) struct Bounded<T> {
    inner: T,
    turn: Turn,
}

impl<T> Bounded<T> {
    pub(crate) fn new(inner: T, turn: Turn) -> Self {
        Self { inner, turn }
    }

    pub(crate) fn into_inner(self) -> T {
        self.inner
    }
}

impl<T: Read + Unpin> Read for Bounded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let reads = self.turn.0.get();
        if reads >= READS_MAX {
            // The task goes on after the others have had their turns.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.turn.0.set(reads + 1);
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Write for Bounded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
