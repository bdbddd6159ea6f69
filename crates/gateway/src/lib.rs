//! Runs the reducer of `hornbeamtiller-relay` in a process, with sockets, timers, peer connections,
//! logs and metrics.
//!
//! The headers and paths of callers and runners come from a [`protocol::Protocol`]; this crate has
//! none of its own. Configuration is fed in as events by the embedding process.

mod attempt;
pub mod caller;
pub mod driver;
pub mod fingerprint;
pub mod gateway;
mod log_line;
pub mod metrics;
mod peer;
mod presence;
pub mod protocol;
pub mod settings;
pub mod source;

pub use driver::Driver;
pub use gateway::Gateway;
pub use settings::Settings;
