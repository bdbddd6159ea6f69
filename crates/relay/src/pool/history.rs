//! What a process knows of runners that were listed before it read the list.

use std::time::Duration;

/// Whether the history of the list was read from the configuration service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum History {
    /// It was not needed so far.
    #[default]
    Unread,
    /// It is being read.
    Awaited {
        /// Since when.
        since: Duration,
    },
    /// It was read.
    Read {
        /// When.
        at: Duration,
    },
    /// The configuration service was not reached, or has no history.
    Unavailable,
}

impl History {
    /// Whether it is to be read, by a process that has known the list since a time: for the first time, or again, as the
    /// list was unknown for a while.
    pub fn is_due(self, list_known_since: Option<Duration>) -> bool {
        match self {
            Self::Unread | Self::Unavailable => true,
            Self::Awaited { .. } => false,
            Self::Read { at } => list_known_since.is_none_or(|since| since > at),
        }
    }

    /// Whether it may still arrive in time.
    pub fn is_pending(self, now: Duration, timeout: Duration) -> bool {
        matches!(self, Self::Awaited { since } if since + timeout > now)
    }
}
