//! What the stand-ins saw, for comparison with what callers were told.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What one runner saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Runner {
    /// Its name.
    pub id: String,
    /// Its endpoint.
    pub endpoint: String,
    /// Streams that generate or wait to be fetched.
    pub streams_open: u64,
    /// Memory pieces held.
    pub pieces_held: u64,
    /// Prompt tokens computed.
    pub prefill_tokens_done: u64,
    /// Prompt tokens found in the prefix cache.
    pub prefill_tokens_cached: u64,
    /// Prompt tokens computed for results that were never imported.
    pub prefill_tokens_wasted: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests refused for lack of room.
    pub refused: u64,
    /// Cancels taken.
    pub cancels: u64,
    /// Orders taken, with their fencing numbers, in order.
    pub orders: Vec<u64>,
    /// Requests begun after its ticket said that it was leaving are counted by callers of this.
    pub requests: u64,
}

/// What all stand-ins saw.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Observed {
    /// Executions at plain services by request id.
    pub executions: BTreeMap<String, u64>,
    /// Sum over engines.
    pub streams_open: u64,
    /// Sum over engines.
    pub pieces_held: u64,
    /// Sum over engines.
    pub prefill_tokens_done: u64,
    /// Sum over engines.
    pub prefill_tokens_cached: u64,
    /// Sum over engines.
    pub prefill_tokens_wasted: u64,
    /// Sum over engines.
    pub tokens: u64,
    /// Calls to the platform's service, each wait counted as one.
    pub platform_calls: u64,
    /// Each runner.
    pub runners: Vec<Runner>,
}

impl Observed {
    /// Adds an engine.
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
