//! The runtime of every process and thread: monoio with its epoll driver.
//!
//! The VMs allow no io_uring, so the driver is always named; monoio's own choice is never used.

use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a future to its end on a new runtime of this thread.
///
/// # Errors
///
/// The system's error where the epoll instance can't be made.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
