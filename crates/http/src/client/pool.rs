//! The idle connections of a client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Connection;

/// Interval at which expired idle connections are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections of a client.
#[derive(Default)]
pub(super) struct Pool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// When expired connections were last dropped; none if never.
    swept_at: Option<Instant>,
}

impl Pool {
    /// Drops the expired connections of all addresses, unless that was done a moment ago. The system
    /// does not where the connections have no user timeout.
    fn sweep(&mut self, now: Instant) {
        if self.swept_at.is_some_and(|at| at + SWEEP_INTERVAL > now) {
            return;
        }
        self.swept_at = Some(now);
        self.idle.retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Takes an idle connection to an address.
    pub(super) fn take(&mut self, address: SocketAddr, now: Instant) -> Option<Connection> {
        self.sweep(now);
        let connections = self.idle.get_mut(&address)?;
        while let Some(last) = connections.pop() {
            if last.expires_at > now && last.connection.sender.is_ready() {
                last.connection.is_answered.set(false);
                last.connection.turn.end_idleness();
                return Some(last.connection);
            }
        }
        self.idle.remove(&address);
        None
    }

    /// Keeps a connection until it expires, unless there are `max` of them to this address.
    pub(super) fn put(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        now: Instant,
        expires_at: Instant,
        max: usize,
    ) {
        self.sweep(now);
        let connections = self.idle.entry(address).or_default();
        connections.retain(|idle| idle.expires_at > now);
        if connections.len() < max {
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }
}
