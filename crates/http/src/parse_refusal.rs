//! JSON refusals for request heads that `hyper` itself rejects.
//!
//! `hyper` answers a head that it can't parse, or that exceeds its limits, with an error status and
//! an empty body. The wrapper in this module replaces that response by a JSON refusal. It does so only while no response of
//! a handler is being written: whatever a body holds is passed on as it is.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

use crate::connection::Control;

/// Header of every response that a handler creates; responses that `hyper` creates lack it.
pub const MARKER_HEADER: &str = "x-hornbeamtiller";

/// A connection that replaces `hyper`'s own error responses by JSON refusals.
pub struct Rewriter<T> {
    inner: T,
    control: Rc<Control>,
    /// The bytes of a replacement response that are still to be written.
    pending: Vec<u8>,
}

impl<T> Rewriter<T> {
    /// Wraps a connection.
    pub(crate) fn new(inner: T, control: Rc<Control>) -> Self {
        Self {
            inner,
            control,
            pending: Vec::new(),
        }
    }
}

/// Returns the replacement if `bytes` is an error response that `hyper` created.
fn rewrite(bytes: &[u8]) -> Option<Vec<u8>> {
    if !bytes.starts_with(b"HTTP/1.1 4") {
        return None;
    }
    let head = std::str::from_utf8(bytes).ok()?;
    if !head.ends_with("\r\n\r\n") || head.contains(MARKER_HEADER) {
        return None;
    }
    let (status, reason, name) = match head.get(9..12)? {
        "400" => (
            "400 Bad Request",
            "malformed",
            "request head or framing can't be parsed",
        ),
        "414" => (
            "414 URI Too Long",
            "head_too_large",
            "request target is over the bound",
        ),
        "431" => (
            "431 Request Header Fields Too Large",
            "head_too_large",
            "request head is over the bound",
        ),
        _ => return None,
    };
    let body = format!(
        "{{\"error\":{{\"code\":\"not_run\",\"reason\":\"{reason}\",\"message\":\"{name}\"}}}}"
    );
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\n{MARKER_HEADER}: refused\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    Some(text.into_bytes())
}

impl<T: Read + Unpin> Read for Rewriter<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Rewriter<T> {
    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let written =
                std::task::ready!(Pin::new(&mut self.inner).poll_write(cx, &self.pending))?;
            self.pending.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for Rewriter<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_pending(cx))?;
        let is_own = self.control.is_responding();
        match Some(buf).filter(|_| !is_own).and_then(rewrite) {
            Some(replacement) => {
                self.pending = replacement;
                Poll::Ready(Ok(buf.len()))
            }
            None => Pin::new(&mut self.inner).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
