//! Connections between entry VMs: `capnp-rpc`, authenticated with the shared key.

mod link;
mod listener;

pub use link::Links;
pub use listener::spawn;
