//! The socket and the responses of a connection as `hyper` sees them.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::Version;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

use super::{Control, Phase};
use crate::body::Truncated;
use crate::turn::count_taken;

/// A socket that tells its [`Control`] what happens, and from which nothing is read while a response is left unread.
pub(crate) struct Monitored<T> {
    inner: T,
    control: Rc<Control>,
}

impl<T> Monitored<T> {
    pub(crate) fn new(inner: T, control: Rc<Control>) -> Self {
        Self { inner, control }
    }
}

impl<T: Read + Unpin> Read for Monitored<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.control.blocked.get().is_some() {
            self.control.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let control = &self.control;
        control.last_read_at.set(Instant::now());
        control.has_head.set(true);
        if control.phase.get() == Phase::Idle {
            control.enter(Phase::Head);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for Monitored<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        let taken = count_taken(&written);
        self.control.unwritten.set(buf.len() - taken);
        let before = self.control.written.get();
        self.control.written.set(before + taken as u64);
        let blocked = &self.control.blocked;
        match (&written, blocked.get()) {
            (Poll::Pending, None) => blocked.set(Some((Instant::now(), 0))),
            (Poll::Ready(Ok(bytes)), Some((since, taken))) => {
                blocked.set(Some((since, taken + *bytes as u64)));
            }
            _ => {}
        }
        written
    }

    /// `hyper` flushes once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        if self.control.ends_after_flush.take() {
            self.control.set_reset_on_close(false);
        }
        if self.control.phase.get() != Phase::Exchange {
            self.control.is_responding.set(false);
        }
        if self.control.blocked.take().is_some() {
            if let Some(waker) = self.control.reader.take() {
                waker.wake();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// The body of a response, whose end is the end of its exchange.
pub(crate) struct Tracked<B> {
    body: B,
    control: Rc<Control>,
    /// Whether the body has neither a length nor chunks and ends with the connection.
    ends_with_connection: bool,
    /// How the body has failed, until `hyper` is told.
    failure: Option<Truncated>,
}

impl<B: Body> Tracked<B> {
    /// Has the connection reset if it ends before a body whose end is its own, as the client could not tell that.
    pub(crate) fn new(body: B, control: Rc<Control>, version: Version) -> Self {
        let ends_with_connection = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        if ends_with_connection {
            control.set_reset_on_close(true);
        }
        Self {
            body,
            control,
            ends_with_connection,
            failure: None,
        }
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.control.end_exchange();
    }
}

impl<B: Body<Data = Bytes, Error = Truncated> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        let next = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Err(failure)) = next {
            // `hyper` drops what it has not written when a body fails, and writes it while a body is pending.
            self.failure = Some(failure);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if next.is_none() && self.ends_with_connection {
            self.control.ends_after_flush.set(true);
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
