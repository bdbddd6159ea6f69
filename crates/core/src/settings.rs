//! Settings of the decisions, as a plain struct.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{Vm, Zone};

/// Bounds and intervals that the reducer works with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This VM.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// How long callers may keep an answer of `/v1/entries`.
    pub entries_max_age: Duration,
    /// How long an entry token is good for.
    pub token_lifetime: Duration,
    /// Wait for the witness's acknowledgement before the call is refused.
    pub intent_timeout: Duration,
    /// Wait for the witness's word on a seal before the caller is told.
    pub seal_timeout: Duration,
    /// Longest wait for an unreachable owner to return or to count as dead.
    pub recovery_timeout: Duration,
    /// Grace for the caller's return before a witness cancels a dead owner's stream.
    pub reconnect_grace: Duration,
    /// Largest number of calls in progress or recorded.
    pub calls_max: usize,
    /// Largest number of witness records.
    pub witness_max: usize,
    /// Largest number of bytes of recorded answers.
    pub answer_bytes_max: usize,
    /// Largest number of calls that wait for a runner, per endpoint.
    pub queue_max: usize,
    /// Attempts per call where repeating is safe.
    pub attempts_max: u32,
    /// Interval of probes; one random member is probed in each.
    pub probe_interval: Duration,
    /// Wait for a probe's answer.
    pub probe_timeout: Duration,
    /// How long a suspected member has for refuting before it counts as down.
    pub suspect_timeout: Duration,
    /// Interval of retries of unacknowledged cancels, seals and outcomes.
    pub retry_interval: Duration,
    /// How long unacknowledged cancels and outcomes are retried.
    pub retry_window: Duration,
    /// How long a peer may know a newer ticket before this process counts as not ready.
    pub ticket_lag_max: Duration,
    /// How long after its start a process waits to hear from a peer before it takes callers alone.
    pub peer_wait: Duration,
    /// Longest wait of one watch on the tickets.
    pub watch_timeout: Duration,
    /// Interval of reads of the platform's list by those who watch it.
    pub list_interval: Duration,
    /// Number of processes in each zone that watch the platform.
    pub watchers_per_zone: usize,
    /// Mean interval of reads by those who do not watch.
    pub poll_interval: Duration,
    /// Wait after a failed read of the platform.
    pub read_retry_delay: Duration,
    /// Number of addresses in an answer of `/v1/entries`.
    pub entries_max: usize,
    /// Largest number of claims kept beyond their calls.
    pub tombstones_max: usize,
    /// A gap between two ticks that counts as a late wake-up.
    pub stall_threshold: Duration,
}

impl Settings {
    /// The defaults for a VM at these addresses.
    pub fn new(vm: Vm, zone: Zone, caller_address: SocketAddr, peer_address: SocketAddr) -> Self {
        Self {
            vm,
            zone,
            caller_address,
            peer_address,
            entries_max_age: Duration::from_secs(10),
            token_lifetime: Duration::from_secs(600),
            intent_timeout: Duration::from_millis(500),
            seal_timeout: Duration::from_secs(1),
            recovery_timeout: Duration::from_secs(5),
            reconnect_grace: Duration::from_secs(5),
            calls_max: 100_000,
            witness_max: 100_000,
            answer_bytes_max: 32 << 20,
            queue_max: 1_000,
            attempts_max: 3,
            probe_interval: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(300),
            suspect_timeout: Duration::from_millis(900),
            retry_interval: Duration::from_millis(250),
            retry_window: Duration::from_secs(30),
            ticket_lag_max: Duration::from_secs(3),
            peer_wait: Duration::from_secs(3),
            watch_timeout: Duration::from_secs(10),
            list_interval: Duration::from_secs(2),
            watchers_per_zone: 2,
            poll_interval: Duration::from_secs(30),
            read_retry_delay: Duration::from_millis(500),
            entries_max: 8,
            tombstones_max: 500_000,
            stall_threshold: Duration::from_secs(1),
        }
    }
}
