//! Admission to plain endpoints that get more requests than their runners can do.
//!
//! A VM sees a few of the requests of an endpoint and can't tell its state from them. So one VM for each endpoint, its
//! monitor, collects what all VMs see while there is queueing, and tells them what fraction of the requests of each
//! class to admit. Nothing is sent while no VM sees a queue.

mod monitor;
mod observer;
mod share;
mod window;

use std::collections::HashMap;
use std::time::Duration;

use crate::duration;
use crate::id;
use crate::origin;

pub use monitor::{Change, Monitor};
pub use observer::{Observer, Sight};
pub use share::share;
pub use window::Window;

/// Requests per second.
pub type Rate = f64;
/// A number that stands for the name of a runner or an organisation in messages.
pub type Key = u64;

/// Key of requests without an organisation.
const NO_ORGANISATION: Key = 0;
/// Shortest interval between two reports of a VM.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Reports that a monitor gets per second at most. With 500, the VMs of a fleet of 195 learned of the loss of a runner so
/// late that queues filled and then ran empty.
const REPORTS_PER_SECOND: f64 = 800.0;

/// Requests that are admitted alike: those of one organisation with one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The organisation.
    pub organisation: Key,
}

impl Class {
    /// The class of a priority and an organisation.
    pub fn new(priority: u8, organisation: Option<&str>) -> Self {
        Self {
            priority,
            organisation: organisation.map_or(NO_ORGANISATION, origin::name_key),
        }
    }
}

/// Requests of a class that callers send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The class.
    pub class: Class,
    /// How many.
    pub rate: Rate,
}

/// The queue of a runner, as a response of it said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The runner.
    pub runner: Key,
    /// Requests that are executing.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// How long ago the response was received.
    pub age: Duration,
}

/// What one VM sees of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The VM.
    pub vm: id::Vm,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What its callers send.
    pub demand: Vec<Demand>,
    /// Requests that runners have answered.
    pub served: Rate,
    /// Requests that runners have declined.
    pub declined: Rate,
    /// How long a request takes at a runner without a queue.
    pub work: Duration,
    /// The queues of the runners.
    pub samples: Vec<Sample>,
}

/// The fraction of the requests of a class that is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fraction {
    /// The class.
    pub class: Class,
    /// The fraction, from 0 to 1.
    pub fraction: f64,
}

/// What a monitor tells VMs of an overloaded endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    /// What is admitted of each class that has been seen lately.
    pub fractions: Vec<Fraction>,
    /// Requests that are admitted at all VMs together.
    pub rate: Rate,
    /// The part of all requests that is admitted.
    pub part: f64,
}

impl Admission {
    /// The fraction of the requests of a class that is admitted. A class that the monitor has not seen is small, and
    /// treated like the best of its priority or of a less urgent one.
    pub fn fraction(&self, class: Class) -> f64 {
        let listed = self.fractions.iter();
        let known = listed.clone().find(|known| known.class == class);
        if let Some(known) = known {
            return known.fraction;
        }
        let alike = listed.clone();
        let alike = alike.filter(|known| known.class.priority >= class.priority);
        let best = alike.map(|known| known.fraction).max_by(f64::total_cmp);
        let least = listed.map(|known| known.fraction).min_by(f64::total_cmp);
        best.or(least).unwrap_or(1.0)
    }
}

/// Interval between two reports of a VM, in a fleet of this size.
pub fn report_interval(vms: usize) -> Duration {
    let by_load = duration::from_seconds(vms as f64 / REPORTS_PER_SECOND);
    INTERVAL_MIN.max(by_load)
}

/// What a VM knows of the load of plain endpoints, as one of many and as their monitor.
#[derive(Debug, Clone, Default)]
pub struct Control {
    /// What this VM sees, by endpoint.
    pub observers: HashMap<id::Endpoint, Observer>,
    /// The endpoints that other VMs report to this one.
    pub monitors: HashMap<id::Endpoint, Monitor>,
    /// Until when each VM that took no report is passed over as a monitor.
    pub silent_until: HashMap<id::Vm, Duration>,
}

impl Control {
    /// What this VM, as the monitor of an endpoint, answers to a report; none if it is not overloaded.
    pub fn admission(&self, endpoint: &id::Endpoint) -> Option<&Admission> {
        self.monitors.get(endpoint)?.admission()
    }
}
