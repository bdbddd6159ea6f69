//! The decisions of hornbeamtiller, without clock, I/O or runtime.
//!
//! [`reduce::reduce`] takes the state, the time, and one event, and appends effects. The shell in
//! `hornbeamtiller-node` turns sockets and timers into events and performs the effects; it
//! decides nothing. The same events, times and seed give the same effects, so that every promise
//! can be tested here with messages lost, doubled and reordered.

pub mod event;
pub mod id;
pub mod member;
pub mod message;
pub mod placement;
pub mod reduce;
pub mod refusal;
pub mod settings;
pub mod state;
pub mod ticket;
pub mod timeline;
pub mod token;
