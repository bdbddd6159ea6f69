//! The process around the decisions of `hornbeamtiller-relay`: sockets, timers, peers and logs.
//!
//! What callers and runners speak is a [`dialect::Dialect`]; this crate knows no header or path of
//! its own. Configuration comes as events from whoever reads it.

mod attempt;
pub mod caller;
pub mod driver;
pub mod gateway;
mod log_line;
pub mod metrics;
mod peer;
pub mod protocol;
pub mod settings;

pub use driver::Driver;
pub use gateway::Gateway;
pub use settings::Settings;
