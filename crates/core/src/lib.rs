//! The decision logic of an entry VM, without clock, I/O or runtime.
//!
//! [`reduce::reduce`] takes the state, the current time and one event, and appends effects. The
//! driver in `hornbeamtiller-node` turns socket activity and timers into events and carries out
//! the effects; it makes no decisions. The reducer is deterministic: the same events, times and
//! seed give the same effects, so tests can check every guarantee while messages are lost,
//! duplicated and reordered.

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
