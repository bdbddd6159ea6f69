//! Settings of the reducer.

use std::time::Duration;

use crate::id;

/// Limits and intervals that decisions depend on.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Availability zone of this VM.
    pub zone: id::Zone,
    /// Retries allowed per request in the window, over all VMs.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition, over all VMs.
    pub retry_slack: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// How long callers may cache a response of the directory.
    pub directory_ttl: Duration,
    /// Time from the request to shut down until the process is killed.
    pub grace_period: Duration,
    /// Time after which a leaving runner must not get new requests.
    pub drain_timeout: Duration,
    /// Window over which the use of an organisation is counted.
    pub quota_window: Duration,
    /// Part of its cap by which an organisation may exceed it in a window.
    pub quota_overage: f64,
    /// Tokens by which it may exceed its cap in a window in addition.
    pub quota_slack: f64,
    /// Whether demand may exceed what runners can serve: calls then wait by priority and organisation, hopeless ones are
    /// refused, and VMs tell each other of engines that fail and of plain endpoints that are overloaded.
    pub overload_control: bool,
    /// How long after the last news of the manifest requests with a key are refused, since their keys may have been
    /// revoked; never without a time.
    pub revocation_timeout: Option<Duration>,
}
