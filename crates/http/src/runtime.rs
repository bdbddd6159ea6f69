//! The async runtime of every process and thread: monoio with its epoll driver.
//!
//! The driver is chosen explicitly because the VMs do not allow io_uring.

use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::pulse;

/// Runs a future to completion on a new runtime of the current thread.
///
/// # Errors
///
/// The error of the operating system if the epoll instance can't be created.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    pulse::reset();
    Ok(runtime.block_on(future))
}
