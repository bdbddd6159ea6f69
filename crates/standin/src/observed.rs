//! Counters of the stand-ins, to be compared with the responses that callers received.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters of one runner.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Runner {
    /// ID of the runner.
    pub id: String,
    /// Endpoint that it serves.
    pub endpoint: String,
    /// Streams in the decode batch.
    pub streams_open: u64,
    /// Allocated memory pieces.
    pub pieces_held: u64,
    /// Prompt tokens computed.
    pub prefill_tokens_done: u64,
    /// Prompt tokens found in the prefix cache.
    pub prefill_tokens_cached: u64,
    /// Prompt tokens computed for results that were never imported.
    pub prefill_tokens_wasted: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests refused for lack of memory or a batch slot.
    pub refused: u64,
    /// Cancellations received.
    pub cancels: u64,
    /// Fencing tokens of the orders applied, in order.
    pub orders: Vec<u64>,
    /// Requests received: completions at an engine, calls at a service. The difference of two
    /// readings shows whether a leaving runner still receives requests.
    pub requests: u64,
}

/// Counters of all stand-ins.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Observed {
    /// Executions at plain services by request ID.
    pub executions: BTreeMap<String, u64>,
    /// Sum over all runners.
    pub streams_open: u64,
    /// Sum over all runners.
    pub pieces_held: u64,
    /// Sum over all runners.
    pub prefill_tokens_done: u64,
    /// Sum over all runners.
    pub prefill_tokens_cached: u64,
    /// Sum over all runners.
    pub prefill_tokens_wasted: u64,
    /// Sum over all runners.
    pub tokens: u64,
    /// Calls to the platform's configuration service; a long poll counts as one.
    pub platform_calls: u64,
    /// Counters of each runner.
    pub runners: Vec<Runner>,
}

impl Observed {
    /// Adds a runner and its counters to the sums.
    pub fn add(&mut self, runner: Runner) {
        self.streams_open += runner.streams_open;
        self.pieces_held += runner.pieces_held;
        self.prefill_tokens_done += runner.prefill_tokens_done;
        self.prefill_tokens_cached += runner.prefill_tokens_cached;
        self.prefill_tokens_wasted += runner.prefill_tokens_wasted;
        self.tokens += runner.tokens;
        self.runners.push(runner);
    }
}
