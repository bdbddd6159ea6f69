//! The process of one entry VM: sockets and timers around the sans-I/O reducer.
//!
//! Each module turns one kind of I/O into events for [`hornbeamtiller_core::reduce`] and performs
//! the effects that it returns. All decisions about a request are made in the reducer.

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
