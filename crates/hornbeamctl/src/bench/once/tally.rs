//! Outcomes that callers saw, for comparison with the executions at the stand-ins.

use std::collections::BTreeMap;

use hornbeamtiller_standin::observed::Observed;
use serde::Serialize;

use crate::cli::FaultKind;

/// The final outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got a complete response.
    Answered,
    /// The caller got a final refusal.
    Refused {
        /// Code of the refusal, such as `not_run` or `unknown`.
        code: String,
        /// Reason of the refusal.
        reason: String,
    },
    /// The caller disconnected on purpose.
    Disconnected,
    /// The caller gave up without a response or a final refusal.
    Unresolved,
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A call that is not repeatable: it must run at most once.
    Once,
    /// A repeatable call.
    Read,
    /// A streamed completion.
    Stream,
}

/// Counts of requests and their outcomes while the benchmark runs.
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

/// Results of one run.
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
    /// Counts a request that starts.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
        self.requests += 1;
    }

    /// Returns the number of requests without a final outcome.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Records the final outcome of a request.
    pub fn record_outcome(&mut self, id: String, kind: Kind, outcome: Outcome) {
        self.in_flight -= 1;
        self.outcomes.push((id, kind, outcome));
    }

    /// Counts a repeat that contradicts the first outcome of its request.
    pub fn record_double_answer(&mut self) {
        self.double_answers += 1;
    }

    /// Counts a response that is incomplete or belongs to another request.
    pub fn record_mixed_answer(&mut self) {
        self.mixed_answers += 1;
    }

    /// Counts a stream that continued over another exchange.
    pub fn record_resumed_stream(&mut self) {
        self.resumed_streams += 1;
    }

    /// Counts a retry by a caller.
    pub fn record_retry(&mut self) {
        self.retried += 1;
    }

    /// Returns the ids of requests with an unknown outcome.
    pub fn unknown_ids(&self) -> impl Iterator<Item = &str> {
        let is_unknown = |outcome: &Outcome| matches!(outcome, Outcome::Refused { code, .. } if code == "unknown");
        self.outcomes
            .iter()
            .filter(move |(_, _, outcome)| is_unknown(outcome))
            .map(|(id, _, _)| id.as_str())
    }

    /// Compares the outcomes with the executions that the stand-ins observed.
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
        // A response without an execution belongs to another request or was made up.
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
    /// Returns the counts that must be zero.
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
