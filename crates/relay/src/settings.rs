//! Bounds and intervals of the decisions.

use std::time::Duration;

use crate::id;

/// Bounds and intervals.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This VM.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Second tries allowed for each request of the last window, over all VMs.
    pub retry_ratio: f64,
    /// Second tries allowed besides in a window, over all VMs.
    pub retry_slack: f64,
    /// Length of the window of second tries.
    pub retry_window: Duration,
    /// How long callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// Time from the order to leave until the process is killed.
    pub grace_period: Duration,
    /// Time after which a leaving runner must get no new work.
    pub drain_timeout: Duration,
}
