//! What crashes are tied together by: what the requests that runners had when they ended have in common.

use std::fmt;

use crate::allocation::hash;
use crate::id;

/// Seed that keeps the keys of requests apart from those of parts.
const REQUEST_SEED: u64 = 1;

/// What of a request may crash a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feature {
    /// A part that its prompt shares with others.
    Part(id::Part),
    /// The request as a whole; it has the same fingerprint each time that it comes.
    Request(id::Fingerprint),
}

impl From<id::Part> for Feature {
    fn from(part: id::Part) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "{part:x}"),
            Self::Request(fingerprint) => write!(f, "{fingerprint:016x}"),
        }
    }
}

impl Feature {
    /// The features of a request with these parts in its prompt: the shared ones in order, and the request.
    pub fn of(parts: &[id::Part], fingerprint: id::Fingerprint) -> impl Iterator<Item = Self> + '_ {
        let shared = shared_parts(parts).iter().copied();
        let whole = std::iter::once(Self::Request(fingerprint));
        shared.map(Self::Part).chain(whole)
    }

    /// Whether it is a whole request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// A number for it that is the same on all VMs.
    pub fn key(self) -> u64 {
        match self {
            Self::Part(part) => part,
            Self::Request(fingerprint) => hash(&fingerprint.to_le_bytes(), REQUEST_SEED),
        }
    }
}

/// The parts of a prompt that others may share: all but the last, which belongs to the request alone.
pub fn shared_parts(parts: &[id::Part]) -> &[id::Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}
