//! What callers were told, to be held against what ran.

use std::collections::BTreeMap;

use hornbeamtiller_standin::observed::Observed;
use serde::Serialize;

use crate::cli::FaultKind;

/// The last outcome on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
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
    Disconnected,
    /// None.
    Unresolved,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
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
    in_flight: u64,
    requests: u64,
    outcomes: Vec<(String, Kind, Outcome)>,
    double_answers: u64,
    mixed_answers: u64,
    resumed_streams: u64,
    retried: u64,
}

/// Summary of one run.
#[derive(Debug, Serialize)]
pub struct Summary {
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
    pub fn record_start(&mut self) {
        self.in_flight += 1;
        self.requests += 1;
    }

    /// Requests without a last word.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Takes the last outcome on a request.
    pub fn record_outcome(&mut self, id: String, kind: Kind, outcome: Outcome) {
        self.in_flight -= 1;
        self.outcomes.push((id, kind, outcome));
    }

    /// Counts two different answers to one request.
    pub fn record_double_answer(&mut self) {
        self.double_answers += 1;
    }

    /// Counts a part of an answer, or another's.
    pub fn record_mixed_answer(&mut self) {
        self.mixed_answers += 1;
    }

    /// Counts a stream that went on elsewhere.
    pub fn record_resumed_stream(&mut self) {
        self.resumed_streams += 1;
    }

    /// Counts a caller's repeat.
    pub fn record_retry(&mut self) {
        self.retried += 1;
    }

    /// Ids of requests that ended unknown.
    pub fn unknown_ids(&self) -> impl Iterator<Item = &str> {
        let is_unknown = |outcome: &Outcome| matches!(outcome, Outcome::Refused { code, .. } if code == "unknown");
        self.outcomes
            .iter()
            .filter(move |(_, _, outcome)| is_unknown(outcome))
            .map(|(id, _, _)| id.as_str())
    }

    /// Holds the outcomes against what ran.
    pub fn summarize(&self, seed: u64, faults: FaultKind, observed: &Observed) -> Summary {
        let executions = |id: &String| observed.executions.get(id).copied().unwrap_or(0);
        let non_repeatable = || {
            self.outcomes
                .iter()
                .filter(|(_, kind, _)| *kind == Kind::Once)
        };
        let count_refused = |wanted_code: &str| {
            let matches_code = |outcome: &&(String, Kind, Outcome)| matches!(&outcome.2, Outcome::Refused { code, .. } if code == wanted_code);
            self.outcomes.iter().filter(matches_code).count() as u64
        };
        let count = |wanted: &Outcome| {
            self.outcomes
                .iter()
                .filter(|(_, _, outcome)| outcome == wanted)
                .count() as u64
        };
        let false_not_run = non_repeatable()
            .filter(|(id, _, outcome)| {
                matches!(outcome, Outcome::Refused { code, .. } if code == "not_run")
                    && executions(id) > 0
            })
            .count() as u64;
        // An answer without an execution is another's, or made up.
        let answers_without_execution = non_repeatable()
            .filter(|(id, _, outcome)| *outcome == Outcome::Answered && executions(id) == 0)
            .count() as u64;
        let mut refusals = BTreeMap::new();
        for (_, kind, outcome) in &self.outcomes {
            if let Outcome::Refused { code, reason } = outcome {
                *refusals
                    .entry(format!("{kind} {code} {reason}"))
                    .or_default() += 1;
            }
        }
        let (unknown, prefilled_tokens) = (
            count_refused("unknown"),
            observed.prefill_tokens_done.max(1),
        );
        Summary {
            bench: "once",
            seed,
            faults,
            requests: self.requests,
            answered: count(&Outcome::Answered),
            duplicates: non_repeatable()
                .filter(|(id, _, _)| executions(id) > 1)
                .count() as u64,
            false_not_run,
            double_answers: self.double_answers,
            mixed_answers: self.mixed_answers + answers_without_execution,
            held_pieces_after_bound: observed.pieces_held,
            lost: count(&Outcome::Unresolved) + self.in_flight,
            unknown,
            not_run: count_refused("not_run"),
            in_progress: count_refused("in_progress"),
            left: count(&Outcome::Disconnected),
            retried: self.retried,
            resumed_streams: self.resumed_streams,
            unknown_share: unknown as f64 / self.requests.max(1) as f64,
            prefill_wasted_share: observed.prefill_tokens_wasted as f64 / prefilled_tokens as f64,
            refusals,
        }
    }
}

impl Summary {
    /// What has to be zero.
    pub fn zero_bounds(&self) -> [(&'static str, u64); 6] {
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
