//! Settings of the reducer, as a plain struct.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{Vm, Zone};

/// Identity of this VM, and the reducer's timeouts, intervals and limits.
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
    /// How long callers may cache a response of `/v1/entries`.
    pub entries_max_age: Duration,
    /// How long an entry token is valid.
    pub token_lifetime: Duration,
    /// Timeout for the witness's acknowledgement of an intent; the call is refused after it.
    pub intent_timeout: Duration,
    /// Timeout for the witness's reply to a seal; the caller is refused after it.
    pub seal_timeout: Duration,
    /// Maximum wait for an unreachable owner to return or to be considered dead.
    pub recovery_timeout: Duration,
    /// Time that the caller has to reconnect before a witness cancels a dead owner's stream.
    pub reconnect_grace: Duration,
    /// Maximum number of calls in progress or recorded.
    pub calls_max: usize,
    /// Maximum number of witness records, and of streams recorded as witness.
    pub witness_max: usize,
    /// Maximum total size of the recorded answers, in bytes.
    pub answer_bytes_max: usize,
    /// Maximum number of queued calls per endpoint.
    pub queue_max: usize,
    /// Maximum number of attempts per call where retrying is safe.
    pub attempts_max: u32,
    /// Interval between probes; each goes to one random member.
    pub probe_interval: Duration,
    /// Timeout for the acknowledgement of a probe.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion before it is considered down.
    pub suspect_timeout: Duration,
    /// Interval between retries of unacknowledged cancels, seals and outcomes.
    pub retry_interval: Duration,
    /// How long unacknowledged cancels and outcomes are retried.
    pub retry_window: Duration,
    /// How long a peer may know a newer ticket before this process is considered not ready.
    pub ticket_lag_max: Duration,
    /// How long after its start a process waits for a peer's first message before it accepts
    /// callers without any.
    pub peer_wait: Duration,
    /// Maximum wait of one long poll for tickets.
    pub watch_timeout: Duration,
    /// Interval at which a watcher reads the platform's VM list.
    pub list_interval: Duration,
    /// Number of processes in each zone that watch the platform for changes.
    pub watchers_per_zone: usize,
    /// Mean interval at which the other processes read the platform.
    pub poll_interval: Duration,
    /// Delay after a failed read of the platform.
    pub read_retry_delay: Duration,
    /// Maximum number of addresses in a response of `/v1/entries` or in a refusal.
    pub entries_max: usize,
    /// Maximum number of tombstones: refusals that are kept until their ids expire.
    pub tombstones_max: usize,
    /// Time between two ticks above which the process is considered to have stalled.
    pub stall_threshold: Duration,
}

impl Settings {
    /// Creates the default settings for a VM at these addresses.
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
