//! What a process needs to start.

use std::net::SocketAddr;

use hornbeamtiller_relay::{id, settings};

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Bounds and intervals of the decisions.
    pub relay: settings::Settings,
    /// This boot; a later one has a higher number.
    pub incarnation: id::Incarnation,
    /// Where callers reach the process.
    pub caller_listen: SocketAddr,
    /// Where peers reach the process.
    pub peer_listen: SocketAddr,
    /// Addresses at which to look for peers.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of concurrent caller connections.
    pub connections_max: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}
