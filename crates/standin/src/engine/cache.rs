//! The prefix cache: digests of whole prefixes, a block at a time, the least used going first.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 256;
/// Bytes of prompt text in one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Digest of a prefix.
pub type Digest = u64;

/// Digests of all whole-block prefixes of a prompt.
pub fn prefixes(prompt: &str) -> Vec<Digest> {
    let block = BLOCK_TOKENS * BYTES_PER_TOKEN;
    let mut digest: Digest = 0xcbf2_9ce4_8422_2325;
    let whole = prompt.as_bytes().chunks_exact(block);
    whole
        .map(|chunk| {
            for byte in chunk {
                digest = (digest ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
            digest
        })
        .collect()
}

/// Published events kept.
const EVENTS_MAX: usize = 4_096;
/// One event in this many is never published.
const GAP: u64 = 7;

/// A change of the cache, as published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Order of the event; some numbers are missing.
    pub number: u64,
    /// The prefix.
    pub prefix: Digest,
    /// Whether it came in; else it went.
    pub stored: bool,
}

/// The cache.
#[derive(Debug)]
pub struct Cache {
    events: VecDeque<(Instant, Event)>,
    last_event: u64,
    capacity: usize,
    clock: u64,
    used: HashMap<Digest, u64>,
    by_use: BTreeMap<u64, Digest>,
}

impl Cache {
    /// An empty cache for this many blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            last_event: 0,
            capacity,
            clock: 0,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Number of tokens at the start of a prompt that are cached.
    pub fn lookup(&mut self, prefixes: &[Digest]) -> u64 {
        let cached: Vec<Digest> = prefixes
            .iter()
            .copied()
            .take_while(|digest| self.used.contains_key(digest))
            .collect();
        cached.iter().for_each(|digest| self.touch(*digest));
        (cached.len() * BLOCK_TOKENS) as u64
    }

    /// Adds a prompt's prefixes.
    pub fn insert(&mut self, prefixes: &[Digest]) {
        prefixes.iter().for_each(|digest| self.touch(*digest));
        while self.used.len() > self.capacity {
            let Some((_, digest)) = self.by_use.pop_first() else {
                return;
            };
            self.used.remove(&digest);
            self.publish(digest, false);
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.used.clear();
        self.by_use.clear();
    }

    fn publish(&mut self, prefix: Digest, stored: bool) {
        self.last_event += 1;
        if self.last_event % GAP == 0 {
            return;
        }
        let event = Event {
            number: self.last_event,
            prefix,
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Events after a number that are old enough to be published.
    pub fn events_after(&self, number: u64, lag: Duration) -> Vec<Event> {
        let due = self
            .events
            .iter()
            .filter(|(at, event)| event.number > number && at.elapsed() >= lag);
        due.map(|(_, event)| *event).collect()
    }

    fn touch(&mut self, digest: Digest) {
        self.clock += 1;
        match self.used.insert(digest, self.clock) {
            Some(before) => _ = self.by_use.remove(&before),
            None => self.publish(digest, true),
        }
        self.by_use.insert(self.clock, digest);
    }
}
