//! A bounded map whose entries expire.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A map from numbers to values that count until a time of their own. When it is full, the entry that expires first goes.
#[derive(Debug)]
pub struct Map<T> {
    entries: HashMap<u64, Entry<T>>,
    expiries: BTreeSet<(Duration, u64)>,
    /// Maximum number of entries.
    capacity: usize,
}

#[derive(Debug)]
struct Entry<T> {
    value: T,
    expires_at: Duration,
}

impl<T> Map<T> {
    /// Creates a map of at most this many entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            capacity,
        }
    }

    /// Number of entries, with those that have expired and were not dropped yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The value of a key, unless it has expired.
    pub fn get(&self, key: u64, now: Duration) -> Option<&T> {
        let entry = self.entries.get(&key)?;
        (entry.expires_at > now).then_some(&entry.value)
    }

    /// Sets the value of a key, and until when it counts.
    pub fn insert(&mut self, key: u64, value: T, expires_at: Duration) {
        self.remove(key);
        self.expiries.insert((expires_at, key));
        self.entries.insert(key, Entry { value, expires_at });
        if self.entries.len() > self.capacity {
            self.remove_first();
        }
    }

    /// Removes the value of a key, and returns it with the time until which it counts.
    pub fn remove(&mut self, key: u64) -> Option<(T, Duration)> {
        let Entry { value, expires_at } = self.entries.remove(&key)?;
        self.expiries.remove(&(expires_at, key));
        Some((value, expires_at))
    }

    /// The entries that have not expired, each with its key and until when it counts; those that expire last first.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (u64, &T, Duration)> {
        let latest = self.expiries.iter().rev();
        let current = latest.take_while(move |(expires_at, _)| *expires_at > now);
        current.filter_map(|(expires_at, key)| {
            let entry = self.entries.get(key)?;
            Some((*key, &entry.value, *expires_at))
        })
    }

    /// Drops the entries that have expired.
    pub fn evict(&mut self, now: Duration) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.expiries.pop_first() {
            self.entries.remove(&key);
        }
    }
}
