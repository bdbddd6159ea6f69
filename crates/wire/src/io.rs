//! Adapts monoio connections to the byte streams that `capnp-rpc` reads and writes.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};
use monoio::io::poll_io::{AsyncRead as _, AsyncWrite as _, ReadBuf};
use monoio::net::tcp::stream_poll::TcpStreamPoll;

/// A connection that can be both read and written. Clones share it, so that one can be used as the
/// reader and one as the writer.
#[derive(Clone)]
pub struct Connection {
    stream: Rc<RefCell<TcpStreamPoll>>,
    sent: WriteCounter,
}

/// Counts what all connections of a process have sent to peers; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct WriteCounter(Rc<Cell<(u64, u64)>>);

impl WriteCounter {
    /// Returns the bytes sent, and the number of writes that sent them.
    pub fn get(&self) -> (u64, u64) {
        self.0.get()
    }
}

impl Connection {
    /// Wraps a connection, whose writes are added to `sent`.
    pub fn new(stream: TcpStreamPoll, sent: WriteCounter) -> Self {
        Self {
            stream: Rc::new(RefCell::new(stream)),
            sent,
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buf = ReadBuf::new(buf);
        let mut stream = self.stream.borrow_mut();
        std::task::ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf))?;
        Poll::Ready(Ok(buf.filled().len()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written =
            std::task::ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf))?;
        let (bytes, writes) = self.sent.0.get();
        self.sent.0.set((bytes + written as u64, writes + 1));
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
