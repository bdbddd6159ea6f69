//! Decisions for calls that bring their own id and stay with the VM that read them.
//!
//! Such a call needs no witness: one process decides alone whether it may be sent again, from what
//! its own attempts showed. [`reduce::reduce`] takes the state, the time and one event, and appends
//! effects. The shell in `hornbeamtiller-gateway` turns sockets and timers into events and performs
//! the effects; it decides nothing.

pub mod breaker;
pub mod budget;
pub mod call;
pub mod decision_log;
pub mod event;
pub mod id;
pub mod manifest;
pub mod member;
pub mod placement;
pub mod pool;
pub mod reduce;
pub mod refusal;
pub mod settings;
pub mod state;
