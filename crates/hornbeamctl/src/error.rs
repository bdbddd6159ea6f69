//! Failures of commands.

use std::net::SocketAddr;

use error_stack::Report;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime can't be made.
    #[error("can't make the runtime")]
    Runtime,
    /// A process can't be reached.
    #[error("can't reach {0}")]
    Unreachable(SocketAddr),
    /// A process answered with something else than was asked for.
    #[error("{address} answered {status}: {body}")]
    InvalidResponse {
        /// The process.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Start of the body.
        body: String,
    },
    /// A part of a fleet on this machine did not start.
    #[error("can't start {0}")]
    Start(&'static str),
    /// A file can't be read.
    #[error("can't read {0}")]
    File(String),
    /// Nothing was found.
    #[error("{0}")]
    NotFound(String),
    /// A check failed.
    #[error("{0} faults")]
    Faults(usize),
    /// A stated bound was broken.
    #[error("bound broken: {0}")]
    Bound(String),
    /// An answer was not what a caller may expect.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

impl Error {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Faults(_) | Error::Bound(_) | Error::Unexpected(_) | Error::NotFound(_) => 1,
            _ => 3,
        }
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Report<Error>>;
