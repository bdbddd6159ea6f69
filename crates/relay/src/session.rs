//! Which software version has the prompts of a session.
//!
//! The last part of a prompt belongs to the request or to its session. While engines of several software versions serve, a
//! session stays at the version that began its last stream: after the loss of all VMs, what engines hold of its prompts
//! is all that tells which version began a stream (see [`crate::cache_index`]), and it tells that only if one version
//! holds them. The VM that forwards the first event records the session, and tells it to others with the
//! origin of the stream (see [`crate::origin`]): to all VMs of a small fleet. In a larger one, while several versions
//! serve, those that rank highest for the session (rendezvous hashing) are told too, and a VM that does not know a session asks
//! two of them. Nothing is agreed upon.
//!
//! A session leaves its version when no engine there has room for it, or none grants it room in a fraction of the target
//! latency: a caller is not kept waiting for the sake of a loss that may not come. The version counts as full for a
//! moment then, in which other sessions leave it without waiting.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::expiry;
use crate::id;
use crate::origin::Origin;

/// How long a session is remembered after its last request. Engines drop the prompts of idle sessions when they
/// need the memory.
const LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of sessions that are remembered.
const SESSIONS_MAX: usize = 1 << 14;
/// Most sessions that are told at a time.
const HANDED_OVER_MAX: usize = 1 << 11;
/// How long a request waits for an engine of its session's version, as a fraction of its target latency.
pub const PATIENCE_FRACTION: f64 = 0.25;
/// Number of VMs that are asked for a session.
pub const ASKED: usize = 2;
/// How long they have to answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a version counts as full after it had no room for a request.
const FULL_TIME: Duration = Duration::from_millis(500);

/// Why a session stays at a software version, or does not.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Its request is for engines of the version alone.
    Stays,
    /// No engine of the version has room.
    Full,
    /// No engine of the version granted room in time.
    TooLate,
}

/// What is known of a session.
#[derive(Debug)]
struct Session {
    /// Where its last request ran.
    origin: Origin,
    /// Whether this VM sent it there.
    is_own: bool,
}

/// The sessions that a VM knows, by the last part of their prompts.
#[derive(Debug)]
pub struct Table {
    sessions: expiry::Map<Session>,
    /// Until when software versions of endpoints count as full.
    full_until: BTreeMap<Origin, Duration>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            sessions: expiry::Map::new(SESSIONS_MAX),
            full_until: BTreeMap::new(),
        }
    }
}

impl Table {
    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session is known.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Where the last request of a session ran, if that is known.
    pub fn get(&self, session: id::Part, now: Duration) -> Option<&Origin> {
        let known = self.sessions.get(session, now)?;
        Some(&known.origin)
    }

    /// Records where a request of a session runs that this VM has sent there.
    pub fn insert_own(&mut self, session: id::Part, origin: Origin, now: Duration) {
        let is_own = true;
        let known = Session { origin, is_own };
        self.sessions.insert(session, known, now + LIFETIME);
    }

    /// Records where a request of a session runs, as told by another VM or an engine.
    pub fn insert(&mut self, session: id::Part, origin: Origin, now: Duration) {
        let known = self.sessions.get(session, now);
        let is_own = known.is_some_and(|known| known.is_own && known.origin == origin);
        let known = Session { origin, is_own };
        self.sessions.insert(session, known, now + LIFETIME);
    }

    /// The sessions whose last requests this VM sent to an endpoint, the latest first, as far as they are told at a time.
    pub fn own<'a>(
        &'a self,
        endpoint: &'a id::Endpoint,
        now: Duration,
    ) -> impl Iterator<Item = (id::Part, &'a Origin)> {
        let sessions = self.sessions.iter(now);
        let own =
            sessions.filter(|(_, known, _)| known.is_own && known.origin.endpoint == *endpoint);
        own.map(|(session, known, _)| (session, &known.origin))
            .take(HANDED_OVER_MAX)
    }

    /// The sessions that are handed over when this VM leaves, those of the latest requests first.
    pub fn latest(&self, now: Duration) -> impl Iterator<Item = (id::Part, &Origin)> {
        let latest = self.sessions.iter(now).take(HANDED_OVER_MAX);
        latest.map(|(session, known, _)| (session, &known.origin))
    }

    /// Records that a software version has no room.
    pub fn mark_full(&mut self, origin: Origin, now: Duration) {
        self.full_until.insert(origin, now + FULL_TIME);
    }

    /// Whether a software version had no room a moment ago.
    pub fn is_full(&self, origin: &Origin, now: Duration) -> bool {
        let until = self.full_until.get(origin);
        until.is_some_and(|until| *until > now)
    }

    /// Drops the sessions that have expired.
    pub fn evict(&mut self, now: Duration) {
        self.sessions.evict(now);
        self.full_until.retain(|_, until| *until > now);
    }
}
