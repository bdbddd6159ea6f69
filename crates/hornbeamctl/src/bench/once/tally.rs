//! What callers were told, to be held against what ran.

use std::collections::BTreeMap;

use hornbeamtiller_standin::observed::Observed;
use serde::Serialize;

use crate::cli::FaultKind;

/// The last word on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// Its answer.
    Answered,
    /// A refusal.
    Refused {
        /// What it claimed.
        code: String,
        /// Why.
        reason: String,
    },
    /// The caller went away by itself.
    Left,
    /// None.
    Lost,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Sort {
    /// A call that may run only once.
    Once,
    /// A read.
    Read,
    /// A stream.
    Stream,
}

/// What is counted while requests run.
#[derive(Debug, Default)]
pub struct Tally {
    open: u64,
    requests: u64,
    words: Vec<(String, Sort, Word)>,
    double_answers: u64,
    mixed_answers: u64,
    resumed: u64,
    retried: u64,
}

/// Figures of one run.
#[derive(Debug, Serialize)]
pub struct Figures {
    bench: &'static str,
    seed: u64,
    faults: FaultKind,
    requests: u64,
    answered: u64,
    duplicates: u64,
    false_not_run: u64,
    double_answers: u64,
    mixed_answers: u64,
    held_pieces_after_bound: u64,
    lost: u64,
    unknown: u64,
    not_run: u64,
    in_progress: u64,
    left: u64,
    retried: u64,
    resumed_streams: u64,
    unknown_share: f64,
    prefill_wasted_share: f64,
    refusals: BTreeMap<String, u64>,
}

impl Tally {
    /// Counts a request that begins.
    pub fn begun(&mut self) {
        self.open += 1;
        self.requests += 1;
    }

    /// Requests without a last word.
    pub fn open(&self) -> u64 {
        self.open
    }

    /// Takes the last word on a request.
    pub fn end(&mut self, id: String, sort: Sort, word: Word) {
        self.open -= 1;
        self.words.push((id, sort, word));
    }

    /// Counts two different answers to one request.
    pub fn double_answer(&mut self) {
        self.double_answers += 1;
    }

    /// Counts a part of an answer, or another's.
    pub fn mixed_answer(&mut self) {
        self.mixed_answers += 1;
    }

    /// Counts a stream that went on elsewhere.
    pub fn resumed(&mut self) {
        self.resumed += 1;
    }

    /// Counts a caller's repeat.
    pub fn retried(&mut self) {
        self.retried += 1;
    }

    /// Ids of requests that ended unknown.
    pub fn unknown_ids(&self) -> impl Iterator<Item = &str> {
        let unknown = |word: &Word| matches!(word, Word::Refused { code, .. } if code == "unknown");
        self.words
            .iter()
            .filter(move |(_, _, word)| unknown(word))
            .map(|(id, _, _)| id.as_str())
    }

    /// Holds the words against what ran.
    pub fn figures(&self, seed: u64, faults: FaultKind, observed: &Observed) -> Figures {
        let ran = |id: &String| observed.executions.get(id).copied().unwrap_or(0);
        let once = || self.words.iter().filter(|(_, sort, _)| *sort == Sort::Once);
        let refused = |wanted: &str| {
            let with = |word: &&(String, Sort, Word)| matches!(&word.2, Word::Refused { code, .. } if code == wanted);
            self.words.iter().filter(with).count() as u64
        };
        let count = |wanted: &Word| {
            self.words
                .iter()
                .filter(|(_, _, word)| word == wanted)
                .count() as u64
        };
        let false_not_run = once()
            .filter(|(id, _, word)| {
                matches!(word, Word::Refused { code, .. } if code == "not_run") && ran(id) > 0
            })
            .count() as u64;
        // An answer without an execution is another's, or made up.
        let unfounded = once()
            .filter(|(id, _, word)| *word == Word::Answered && ran(id) == 0)
            .count() as u64;
        let mut refusals = BTreeMap::new();
        for (_, sort, word) in &self.words {
            if let Word::Refused { code, reason } = word {
                *refusals
                    .entry(format!("{sort} {code} {reason}"))
                    .or_default() += 1;
            }
        }
        let (unknown, computed) = (refused("unknown"), observed.prefill_tokens_done.max(1));
        Figures {
            bench: "once",
            seed,
            faults,
            requests: self.requests,
            answered: count(&Word::Answered),
            duplicates: once().filter(|(id, _, _)| ran(id) > 1).count() as u64,
            false_not_run,
            double_answers: self.double_answers,
            mixed_answers: self.mixed_answers + unfounded,
            held_pieces_after_bound: observed.pieces_held,
            lost: count(&Word::Lost) + self.open,
            unknown,
            not_run: refused("not_run"),
            in_progress: refused("in_progress"),
            left: count(&Word::Left),
            retried: self.retried,
            resumed_streams: self.resumed,
            unknown_share: unknown as f64 / self.requests.max(1) as f64,
            prefill_wasted_share: observed.prefill_tokens_wasted as f64 / computed as f64,
            refusals,
        }
    }
}

impl Figures {
    /// What has to be zero.
    pub fn zeroes(&self) -> [(&'static str, u64); 6] {
        [
            ("duplicates", self.duplicates),
            ("false_not_run", self.false_not_run),
            ("double_answers", self.double_answers),
            ("mixed_answers", self.mixed_answers),
            ("held_pieces_after_bound", self.held_pieces_after_bound),
            ("lost", self.lost),
        ]
    }
}
