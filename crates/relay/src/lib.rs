//! Routing decisions for requests that carry their own id and are owned by the VM that received
//! them.
//!
//! Such a request needs no witness: a single process decides whether it may be retried, based on
//! the outcomes of its own attempts. [`reduce::reduce`] takes the state, the current time and one
//! event, and appends effects. The driver in `hornbeamtiller-gateway` turns socket and timer
//! activity into events and performs the effects; it makes no decisions.

pub mod allocation;
pub mod arrivals;
pub mod backlog;
pub mod breaker;
pub mod budget;
pub mod cache_index;
pub mod call;
pub mod cap;
pub mod crash;
pub mod decision_log;
pub mod departure;
pub mod duration;
pub mod event;
pub mod expiry;
pub mod id;
pub mod leave;
pub mod limit;
pub mod manifest;
pub mod member;
pub mod order;
pub mod organisation;
pub mod origin;
pub mod overload;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod reduce;
pub mod refusal;
pub mod revision;
pub mod session;
pub mod settings;
pub mod speed;
pub mod state;
