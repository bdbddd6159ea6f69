//! The prefix cache: digests of whole prefixes, a block at a time, the least used going first.

use std::collections::{BTreeMap, HashMap};

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

/// The cache.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<Digest, u64>,
    by_use: BTreeMap<u64, Digest>,
}

impl Cache {
    /// An empty cache for this many blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
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
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.used.clear();
        self.by_use.clear();
    }

    fn touch(&mut self, digest: Digest) {
        self.clock += 1;
        if let Some(before) = self.used.insert(digest, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, digest);
    }
}
