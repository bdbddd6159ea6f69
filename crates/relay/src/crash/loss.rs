//! What was lost at a runner, and how long it is watched for signs that its process has ended.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Circumstance, Feature};

/// What may have crashed a runner, and how the runner had it.
pub type Suspects = BTreeMap<Feature, Circumstance>;

/// Maximum number of suspects that are kept for a runner. Callers may name 1,500 parts with each request.
pub const SUSPECTS_MAX: usize = 1_024;

/// When it is looked again whether a process has ended, since the loss. A system closes the connections and the listener of
/// a process one after the other.
const LOOKS_AFTER: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
    Duration::from_millis(2_500),
];
/// How long a process is watched: a new one at its address, or under its name, may be listed that much later.
const WATCHED_TIME: Duration = Duration::from_secs(6);
/// Later than this after the loss, a loss at the same process is another matter.
const GROUPING_TIME: Duration = Duration::from_secs(1);
/// Looks after which a call is not kept waiting for what else is found.
const DECISIVE_LOOKS: usize = 2;

/// What this VM lost at a runner, while it is watched whether that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// When the first attempt was lost.
    pub at: Duration,
    /// Where the runner listened.
    pub address: SocketAddr,
    /// What may have crashed the runner, if it has crashed.
    pub suspects: Suspects,
    /// Number of looks that have found something listening, or nothing.
    looks: usize,
    /// Whether a look is in progress.
    is_looking: bool,
}

impl Loss {
    /// Begins to watch a runner at which an attempt was lost; the first look is in progress.
    pub fn new(at: Duration, address: SocketAddr) -> Self {
        Self {
            at,
            address,
            suspects: Suspects::new(),
            looks: 0,
            is_looking: true,
        }
    }

    /// Whether a loss at this time may have the same cause.
    pub fn is_grouped(&self, now: Duration) -> bool {
        now < self.at + GROUPING_TIME
    }

    /// Adds the suspects of another request.
    pub fn add(&mut self, suspects: Suspects) {
        merge(&mut self.suspects, suspects);
    }

    /// Records that a look did not find that the process has ended. A look for another purpose stands for those that are due.
    pub fn end_look(&mut self, now: Duration) {
        let is_own = std::mem::take(&mut self.is_looking);
        let due = LOOKS_AFTER.iter().filter(|after| self.at + **after <= now);
        self.looks = match is_own {
            true => self.looks + 1,
            false => self.looks.max(1 + due.count()),
        };
    }

    /// Begins the next look if it is due; returns whether it is.
    pub fn start_look(&mut self, now: Duration) -> bool {
        let after = self.looks.checked_sub(1);
        let after = after.and_then(|number| LOOKS_AFTER.get(number));
        let is_due = after.is_some_and(|after| self.at + *after <= now);
        let starts = is_due && !self.is_looking;
        self.is_looking |= starts;
        starts
    }

    /// Whether the first looks may still find that the process has ended.
    pub fn is_unclear(&self) -> bool {
        self.looks < DECISIVE_LOOKS
    }

    /// Whether the process is not watched any more.
    pub fn is_over(&self, now: Duration) -> bool {
        !self.is_looking && self.at + WATCHED_TIME <= now
    }
}

/// What was given up at a runner a moment ago.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// What may have crashed the runner, if it has crashed, by when it was given up; the earliest first.
    given_up: VecDeque<(Duration, Suspects)>,
    /// Number of suspects, counted for each attempt.
    count: usize,
}

impl Abandoned {
    /// Adds the suspects of a request that was given up. The earliest ones go while there are too many.
    pub fn add(&mut self, at: Duration, mut suspects: Suspects) {
        // The parts in front are the ones that requests share.
        suspects.retain(|feature, circumstance| {
            let is_request = matches!(feature, Feature::Request(_));
            is_request || (circumstance.position as usize) < SUSPECTS_MAX - 1
        });
        while self.count + suspects.len() > SUSPECTS_MAX {
            self.remove_first();
        }
        self.count += suspects.len();
        self.given_up.push_back((at, suspects));
    }

    /// Forgets what was given up before a time; returns whether anything is left.
    pub fn expire(&mut self, before: Duration) -> bool {
        while self.given_up.front().is_some_and(|(at, _)| *at <= before) {
            self.remove_first();
        }
        !self.given_up.is_empty()
    }

    /// Number of suspects that are kept, counted for each attempt.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.given_up.is_empty()
    }

    /// All suspects.
    pub fn into_suspects(self) -> Suspects {
        let mut suspects = Suspects::new();
        for (_, more) in self.given_up {
            merge(&mut suspects, more);
        }
        suspects
    }

    fn remove_first(&mut self) {
        if let Some((_, suspects)) = self.given_up.pop_front() {
            self.count -= suspects.len();
        }
    }
}

/// Adds suspects, as far as there is room for them.
fn merge(known: &mut Suspects, more: Suspects) {
    for (feature, circumstance) in more {
        if let Some(known) = known.get_mut(&feature) {
            known.merge(circumstance);
        } else if known.len() < SUSPECTS_MAX {
            known.insert(feature, circumstance);
        }
    }
}
