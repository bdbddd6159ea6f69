//! Errors of commands and their exit codes.

use std::net::SocketAddr;

use error_stack::Report;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime can't be created.
    #[error("can't create the runtime")]
    Runtime,
    /// A process can't be reached.
    #[error("can't reach {0}")]
    Unreachable(SocketAddr),
    /// A process responded with an error status or a body that can't be decoded.
    #[error("{address} responded with status {status}: {body}")]
    InvalidResponse {
        /// Address of the process.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Beginning of the body.
        body: String,
    },
    /// A component of a fleet on this machine failed to start.
    #[error("can't start {0}")]
    Start(&'static str),
    /// A file can't be read.
    #[error("can't read {0}")]
    File(String),
    /// The search found nothing.
    #[error("{0}")]
    NotFound(String),
    /// A check found this many faults.
    #[error("the check found {0} faults")]
    Faults(usize),
    /// A measurement violated a stated bound.
    #[error("bound violated: {0}")]
    Bound(String),
    /// A response breaks what callers are promised.
    #[error("unexpected response: {0}")]
    Unexpected(String),
}

impl Error {
    /// Exit code of the process: 1 if a check failed or nothing was found, 3 if a process or file
    /// can't be used.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Faults(_) | Error::Bound(_) | Error::Unexpected(_) | Error::NotFound(_) => 1,
            _ => 3,
        }
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Report<Error>>;
