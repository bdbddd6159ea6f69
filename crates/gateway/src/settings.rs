//! Settings of a gateway process.

use std::net::SocketAddr;

use hornbeamtiller_relay::policy::Policy;
use hornbeamtiller_relay::{id, settings};

use crate::fingerprint;

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Bounds and intervals of the reducer.
    pub relay: settings::Settings,
    /// Switches and parameters of the decisions.
    pub policy: Policy,
    /// How much this VM can do compared to others; see [`hornbeamtiller_relay::member::Descriptor`].
    pub weight: u32,
    /// Incarnation of this VM. A later start has a higher number, unless the clock was set back.
    pub incarnation: id::Incarnation,
    /// Address of the caller listener.
    pub caller_listen: SocketAddr,
    /// Address of the peer listener.
    pub peer_listen: SocketAddr,
    /// Addresses of peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of concurrent caller connections, as far as descriptors allow.
    pub connections_max: usize,
    /// Memory of the process that may be used, in bytes.
    pub memory_bytes: usize,
    /// The key under which requests are hashed, the same on all VMs.
    pub fingerprint_key: fingerprint::Key,
    /// Seed of the random number generator.
    pub seed: u64,
}
