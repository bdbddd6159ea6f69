//! One entry VM's process: sockets and timers around the reducer.
//!
//! Each module turns one kind of I/O into events for [`hornbeamtiller_core::reduce`] and performs
//! the effects that come back. No module here decides anything about a request.

mod attempt;
mod caller;
mod clock;
mod driver;
mod metrics;
mod node;
mod operator;
mod peer;
mod platform;
mod settings;
mod stream;

pub use node::{Error, Node};
pub use settings::{Fault, Flags, Settings};
