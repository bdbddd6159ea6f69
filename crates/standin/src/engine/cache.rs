//! The prefix cache: digests of prompt prefixes that end on a block boundary, with eviction of the
//! least recently used.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 256;
/// Bytes of prompt text in one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Digest of a prefix.
pub type Digest = u64;

/// Returns the digests of a prompt's prefixes that end on a block boundary, shortest first.
pub fn prefix_digests(prompt: &str) -> Vec<Digest> {
    let block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
    let mut digest: Digest = 0xcbf2_9ce4_8422_2325;
    let blocks = prompt.as_bytes().chunks_exact(block_bytes);
    blocks
        .map(|chunk| {
            for byte in chunk {
                digest = (digest ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
            digest
        })
        .collect()
}

/// Maximum number of events kept.
const EVENTS_MAX: usize = 4_096;
/// One event in this many is never published, so that whoever reads the events must handle gaps in
/// the numbers.
const EVENT_LOSS_INTERVAL: u64 = 7;

/// A published change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number; some are missing.
    pub number: u64,
    /// Digest of the prefix.
    pub prefix: Digest,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// An LRU cache of prefix digests.
#[derive(Debug)]
pub struct Cache {
    events: VecDeque<(Instant, Event)>,
    last_event_number: u64,
    capacity_blocks: usize,
    /// Logical clock of uses.
    tick: u64,
    last_used: HashMap<Digest, u64>,
    /// Digests by the tick of their last use.
    by_use: BTreeMap<u64, Digest>,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(capacity_blocks: usize) -> Self {
        Self {
            events: VecDeque::new(),
            last_event_number: 0,
            capacity_blocks,
            tick: 0,
            last_used: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of cached tokens at the start of a prompt and marks them as used.
    pub fn lookup(&mut self, prefixes: &[Digest]) -> u64 {
        let cached: Vec<Digest> = prefixes
            .iter()
            .copied()
            .take_while(|digest| self.last_used.contains_key(digest))
            .collect();
        cached.iter().for_each(|digest| self.touch(*digest));
        (cached.len() * BLOCK_TOKENS) as u64
    }

    /// Adds a prompt's prefixes and evicts the least recently used ones above the capacity.
    pub fn insert(&mut self, prefixes: &[Digest]) {
        prefixes.iter().for_each(|digest| self.touch(*digest));
        while self.last_used.len() > self.capacity_blocks {
            let Some((_, digest)) = self.by_use.pop_first() else {
                return;
            };
            self.last_used.remove(&digest);
            self.record_event(digest, false);
        }
    }

    /// Removes all prefixes without publishing events, as a crash does.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_use.clear();
    }

    fn record_event(&mut self, prefix: Digest, stored: bool) {
        self.last_event_number += 1;
        if self.last_event_number % EVENT_LOSS_INTERVAL == 0 {
            return;
        }
        let event = Event {
            number: self.last_event_number,
            prefix,
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the events after `number` that are at least `min_age` old.
    pub fn events_after(&self, number: u64, min_age: Duration) -> Vec<Event> {
        let due = self
            .events
            .iter()
            .filter(|(at, event)| event.number > number && at.elapsed() >= min_age);
        due.map(|(_, event)| *event).collect()
    }

    fn touch(&mut self, digest: Digest) {
        self.tick += 1;
        match self.last_used.insert(digest, self.tick) {
            Some(previous_tick) => _ = self.by_use.remove(&previous_tick),
            None => self.record_event(digest, true),
        }
        self.by_use.insert(self.tick, digest);
    }
}
