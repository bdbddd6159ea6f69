//! Which connection makes room for another one.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::{Control, Phase, SLOW_AFTER};

/// Connections that are looked at to find one that can make room.
const CANDIDATES_MAX: usize = 16;

/// How urgently a connection is closed to make room for another one; a greater one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Claim {
    /// A response is being written.
    Responding,
    /// A request was served a moment ago; the next one may be on its way.
    InUse,
    /// A request is being received.
    Receiving(Part),
    /// A request that was sent ahead waits for its turn.
    Ahead,
    /// No request has come for a while.
    Idle,
    /// The client lets the server wait.
    Slow,
}

/// What has come of a request that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    /// Nothing yet: the connection is new.
    Nothing,
    /// A part of the head.
    Head,
    /// The head, and perhaps a part of the body.
    Body,
}

/// Number of connections whose requests have come as far, by [`Part`].
#[derive(Debug, Default)]
struct Crowd([usize; 3]);

impl Crowd {
    fn count(claims: impl Iterator<Item = Claim>) -> Self {
        let mut crowd = Self::default();
        for claim in claims {
            if let Claim::Receiving(part) = claim {
                crowd.0[part as usize] += 1;
            }
        }
        crowd
    }

    /// How many connections claim the same as one that is receiving a request, and what it is.
    fn rank(&self, claim: Claim) -> (Claim, usize, Claim) {
        match claim {
            Claim::Receiving(part) => {
                let count = self.0[part as usize];
                (Claim::Receiving(Part::Nothing), count, claim)
            }
            claim => (claim, 0, claim),
        }
    }
}

impl Control {
    /// How urgently, and for how long already, the connection should make room for another one; none while its request
    /// is served.
    fn claim(&self, now: Instant) -> Option<(Claim, Duration)> {
        if self.cut_reason().is_some() {
            return None;
        }
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let (claim, waited) = match (self.blocked.get(), self.phase.get()) {
            (Some((since, _)), _) => (Claim::Responding, elapsed(since)),
            (None, Phase::Idle) => {
                let waited = elapsed(self.since.get());
                let is_idle = waited >= SLOW_AFTER;
                return Some((if is_idle { Claim::Idle } else { Claim::InUse }, waited));
            }
            (None, Phase::Head) => {
                let has_head = self.has_head.get();
                let part = if has_head { Part::Head } else { Part::Nothing };
                (Claim::Receiving(part), elapsed(self.since.get()))
            }
            (None, Phase::Exchange) if self.is_delayed.get() => {
                let is_received = !self.has_undelivered();
                let claim = if is_received {
                    Claim::Ahead
                } else {
                    Claim::Responding
                };
                return Some((claim, elapsed(self.since.get())));
            }
            (None, Phase::Exchange) => {
                if !self.handle.0.is_receiving.load(Ordering::Relaxed) {
                    return None;
                }
                let waited = elapsed(self.last_read_at.get());
                (Claim::Receiving(Part::Body), waited)
            }
        };
        if waited >= SLOW_AFTER {
            return Some((Claim::Slow, waited));
        }
        Some((claim, waited))
    }

    /// Whether the process leaves unread what the client sends, until the client has taken a response or waited its turn.
    fn keeps_unread(&self) -> bool {
        self.blocked.get().is_some() || self.is_delayed.get()
    }

    /// The connection that should make room for another one; all are registered. Of those that are receiving requests,
    /// the most common kind makes room, so that a burst of one kind displaces no other.
    pub(crate) fn pick<'a>(controls: impl Iterator<Item = &'a Rc<Self>>) -> Option<&'a Rc<Self>> {
        let now = Instant::now();
        let claims = controls.filter_map(|control| Some((control.claim(now)?, control)));
        let mut claims: Vec<_> = claims.collect();
        let crowd = Crowd::count(claims.iter().map(|((claim, _), _)| *claim));
        claims.sort_by_key(|((claim, waited), _)| (crowd.rank(*claim), *waited));
        let candidates = claims.into_iter().rev().map(|(_, control)| control);
        let mut candidates = candidates.take(CANDIDATES_MAX);
        candidates.find(|control| control.keeps_unread() || !control.has_unread())
    }
}
