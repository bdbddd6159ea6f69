//! Runners that have said in their own responses that they leave.
//!
//! Such a word counts for the process that gave it, whatever older lists of runners say: it is leaving from then on.
//! VMs tell each other of it in their views.

use std::collections::HashMap;
use std::time::Duration;

use crate::allocation::hash;
use crate::pool::Instance;

/// How long a word is remembered; a process that leaves has ended by then.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of words that are remembered; the oldest gives way to a new one.
const WORDS_MAX: usize = 4096;

/// What a VM tells of a runner that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The process.
    pub instance: Instance,
    /// How long ago it first said so.
    pub age: Duration,
}

/// The word of one process.
#[derive(Debug, Clone, Copy)]
struct Word {
    /// When it was first heard.
    at: Duration,
    /// Whether the list of runners has said the same since.
    is_listed: bool,
}

/// The processes that have said that they leave.
#[derive(Debug, Default)]
pub struct Table {
    words: HashMap<Instance, Word>,
}

impl Table {
    /// Records that a process said at a time that it leaves; returns whether that is news.
    pub fn record(&mut self, instance: &Instance, at: Duration) -> bool {
        if self.words.contains_key(instance) {
            return false;
        }
        if self.words.len() >= WORDS_MAX {
            self.forget_oldest();
        }
        let word = Word {
            at,
            is_listed: false,
        };
        self.words.insert(instance.clone(), word);
        true
    }

    /// Takes over what another VM knows; returns whether it is news.
    pub fn merge(&mut self, record: &Record, now: Duration) -> bool {
        let is_old = record.age >= RETENTION;
        !is_old && self.record(&record.instance, now.saturating_sub(record.age))
    }

    /// Records what the list says of a process: an entry that has said the same and says later that the process is
    /// ready takes the word back.
    pub fn note_entry(&mut self, instance: &Instance, is_draining: bool) {
        let Some(word) = self.words.get_mut(instance) else {
            return;
        };
        if is_draining {
            word.is_listed = true;
        } else if word.is_listed {
            self.words.remove(instance);
        }
    }

    /// When a process first said that it leaves.
    pub fn said_at(&self, instance: &Instance) -> Option<Duration> {
        self.words.get(instance).map(|word| word.at)
    }

    /// What other VMs are told of a process.
    pub fn describe(&self, instance: &Instance, now: Duration) -> Option<Record> {
        let said_at = self.said_at(instance)?;
        Some(Record {
            instance: instance.clone(),
            age: now.saturating_sub(said_at),
        })
    }

    /// What other VMs are told of all processes.
    pub fn describe_all(&self, now: Duration) -> Vec<Record> {
        let instances = self.words.keys();
        instances
            .filter_map(|instance| self.describe(instance, now))
            .collect()
    }

    /// A number that differs between VMs that know different processes, 0 if there are none.
    pub fn digest(&self) -> u64 {
        let instances = self.words.keys();
        let hashes =
            instances.map(|instance| hash(instance.runner.as_bytes(), instance.started_at_ms));
        hashes.fold(0, |digest, instance| digest ^ instance)
    }

    /// Forgets what was said long ago.
    pub fn expire(&mut self, now: Duration) {
        self.words.retain(|_, word| word.at + RETENTION > now);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.words.iter().min_by_key(|(_, word)| word.at);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.words.remove(&instance);
        }
    }
}
