//! Small stand-ins for the external systems that hornbeamtiller talks to: the platform's
//! configuration service, model engines and plain services. They speak the real protocols over
//! real sockets.
//!
//! Tests, the demo and the benchmarks use them. Engines and services can be told to refuse, stall,
//! crash, drop responses or stop responding, and they count the work that they were asked to do.

pub mod control;
pub mod deployment;
pub mod engine;
pub mod fault;
pub mod fixture;
mod json;
pub mod observed;
mod packet_filter;
pub mod platform;
pub mod relay;
pub mod service;
