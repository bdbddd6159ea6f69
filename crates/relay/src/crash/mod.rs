//! Crashes of runners, and the requests that cause them.
//!
//! A request may crash each runner that begins to respond to it, and come again; or a part of a prompt does, so
//! that a few requests with it take down a whole pool. What a runner had been given when it crashed is suspect:
//! the requests that it had not begun to respond to, or only just, and the shared parts of their prompts; less so those
//! whose responses had gone on for a moment. VMs tell each other of crashes and suspects, and a crash that several of
//! them see is one. Responses that end, or go on for long, clear their requests and parts of earlier crashes. What was
//! there at several crashes, and nothing has cleared, is quarantined: such requests are refused by all VMs.
//!
//! What is sound and quarantined by mistake can't clear itself, so at times one VM lets one request through.

mod candidate;
mod evidence;
mod feature;
mod loss;
mod quarantine;
mod recent;

use std::time::Duration;

use crate::pool::Instance;

pub use candidate::{Count, Culprit};
pub use evidence::Evidence;
pub use feature::{shared_parts, Feature};
pub use loss::{Abandoned, Loss, Suspects, SUSPECTS_MAX};
pub use quarantine::Quarantine;
pub use recent::Recent;

/// How long a response has to go on after its first event before its request is less suspect, if a runner crashes.
pub const BEGIN_MARGIN: Duration = Duration::from_millis(250);
/// How long it has to go on, if it does not end before, to show that its request is sound. A clear hides all earlier crashes,
/// so it must not come before the crash of a runner that takes a moment to end.
pub const SOUND_TIME: Duration = Duration::from_secs(2);
/// Crashes at the beginning of its response after which a call is sent to no other runner.
pub const CRASHES_PER_CALL_MAX: usize = 2;

/// How long a runner may still be at work on a request that it was no longer asked to run.
pub const ABANDONED_TIME: Duration = Duration::from_millis(500);

/// How a runner had a suspect when it crashed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Circumstance {
    /// Position in the features of the request, from 0.
    pub position: u32,
    /// How long it had had the latest such request.
    pub held: Duration,
    /// Whether the responses to all such requests had gone on for a moment.
    pub is_late: bool,
}

impl Circumstance {
    /// Takes over how another request was there; returns whether that changes anything.
    pub fn merge(&mut self, other: Self) -> bool {
        let merged = Self {
            position: self.position.max(other.position),
            held: self.held.min(other.held),
            is_late: self.is_late && other.is_late,
        };
        std::mem::replace(self, merged) != merged
    }
}

/// Something of a request that a runner had when it crashed, and whose response had not shown that it is sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// What it is.
    pub feature: Feature,
    /// How the runner had it.
    pub circumstance: Circumstance,
    /// Whether responses to requests with it had gone on for a moment before.
    pub had_begun: bool,
    /// Whether a request with it is known to have been sound.
    pub was_sound: bool,
}

/// A crash of a runner, as told to other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The process that has ended.
    pub instance: Instance,
    /// How long ago.
    pub age: Duration,
    /// What may have caused it.
    pub suspects: Vec<Suspect>,
}

/// What is known of a part or a request, as told to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// What it is.
    pub feature: Feature,
    /// How long ago a response to a request with it last went on for a moment.
    pub begun_age: Option<Duration>,
    /// How long ago a request with it was last known to be sound.
    pub sound_age: Option<Duration>,
    /// Its quarantine, if it ever was in one.
    pub hold: Option<Hold>,
}

/// A quarantine, as told to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Number of times that it was quarantined, or that a request was let through.
    pub generation: u32,
    /// Whether it still is.
    pub is_active: bool,
    /// How long ago this generation began.
    pub age: Duration,
    /// Whether responses to requests with it had gone on for a moment before.
    pub had_begun: bool,
}

/// Crashes, parts and requests, as told to other VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Parts and requests.
    pub features: Vec<Record>,
}

impl Report {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.features.is_empty()
    }
}
