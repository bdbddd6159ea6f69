//! Crashes of runners, and the parts of the prompts that were there.
//!
//! A part of a prompt may crash each runner that begins to respond to it. What a runner was given when it
//! crashed is suspect: the requests that it had not begun to respond to, or only just. A request whose
//! response had gone on for a moment is not.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::id;

/// How long a response has to go on after its first event before its request is not suspect any more.
pub const BEGIN_MARGIN: Duration = Duration::from_millis(250);

/// The parts that may crash a runner: all but the last, which belongs to the request alone.
pub fn shared_parts(parts: &[id::Part]) -> &[id::Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// What this VM lost at a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// When the first attempt was lost.
    pub at: Duration,
    /// Shared parts of the requests to which the runner had not begun to respond.
    pub suspects: BTreeSet<id::Part>,
}
