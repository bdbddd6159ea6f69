//! Small stand-ins for what the system meets: the platform's configuration service, model engines
//! and plain services, over their protocols on real sockets.
//!
//! They serve tests, the demo and the bench. Each can refuse, stall, crash, drop answers and go
//! silent on order, and counts what it was asked to do.

pub mod control;
pub mod deployment;
pub mod engine;
pub mod fault;
pub mod fixture;
mod json;
pub mod observed;
pub mod platform;
pub mod relay;
pub mod service;
