//! Why a request has no complete response.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::memory::Exhausted;

/// Why there is no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established; nothing was written.
    #[error("no connection to {address}: {error}")]
    Connect {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The connection was closed before a byte of the request was written.
    #[error("connection closed before the request was written")]
    Unwritten,
    /// The connection was lost after the request was, or may have been, written.
    #[error("connection lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The response has a transfer coding other than chunks or switches protocols, which was not asked for, or its status is
    /// invalid.
    #[error("response in a form that was not asked for")]
    Unexpected,
    /// The body ended with the connection, and the server had not received all of the request: it may be a part only.
    #[error("connection ended before the server had received the request")]
    EndedEarly,
    /// Nothing was received within the timeout.
    #[error("nothing received for {0:?}")]
    TimedOut(Duration),
    /// No memory is left for the response.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// The response body exceeds the limit.
    #[error("response body exceeds {0} bytes")]
    TooLarge(usize),
}

/// Which failure of an exchange an [`Error`] is, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Connecting took too long.
    ConnectTimeout,
    /// Connecting failed.
    ConnectFailed,
    /// The connection was closed before a byte of the request was written.
    Unwritten,
    /// Sent bytes stayed unacknowledged for too long.
    Unacknowledged,
    /// The server closed or reset the connection.
    Closed,
    /// The bytes received are no HTTP response, or one in a form that was not asked for.
    Malformed,
    /// The server ended the connection, and with it the body, before it had received all of the request.
    EndedEarly,
    /// Nothing was received within the timeout of the client.
    TimedOut,
    /// The body exceeds the limit.
    TooLarge,
    /// No memory was left for the response.
    Exhausted,
}

impl Error {
    /// Whether no byte of the request was written, so that it can't have been executed.
    pub fn is_unwritten(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unwritten)
    }

    /// Which failure it is.
    pub fn cause(&self) -> Cause {
        match self {
            Self::Connect { error, .. } if error.kind() == io::ErrorKind::TimedOut => {
                Cause::ConnectTimeout
            }
            Self::Connect { .. } => Cause::ConnectFailed,
            Self::Unwritten => Cause::Unwritten,
            Self::Lost(error) if is_system_timeout(error) => Cause::Unacknowledged,
            Self::Lost(error) if error.is_parse() => Cause::Malformed,
            Self::Unexpected => Cause::Malformed,
            Self::Lost(_) => Cause::Closed,
            Self::EndedEarly => Cause::EndedEarly,
            Self::TimedOut(_) => Cause::TimedOut,
            Self::TooLarge(_) => Cause::TooLarge,
            Self::Exhausted(_) => Cause::Exhausted,
        }
    }
}

/// Whether the operating system gave up a connection (`ETIMEDOUT`).
fn is_system_timeout(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}
