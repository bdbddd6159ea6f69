//! The prefill loop: one prompt at a time, by priority.

use std::time::Duration;

use super::state::State;
use crate::fault::Fault;

/// Interval at which expired results are discarded and the load is recorded.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(50);

/// Runs queued prefills forever.
pub async fn run_queue(state: State) {
    monoio::spawn(run_housekeeping(state.clone()));
    loop {
        let prefill = state.next_prefill().await;
        let epoch = state.epoch();
        state.fault_switch().wait_while(Fault::Stall).await;
        let cached_tokens = state.cache().lookup(&prefill.prefixes).min(prefill.tokens);
        let computed_tokens = prefill.tokens - cached_tokens;
        let settings = state.settings();
        monoio::time::sleep(
            settings.prefill_base + settings.prefill_per_token * computed_tokens as u32,
        )
        .await;
        if state.epoch() != epoch {
            continue;
        }
        state.cache().insert(&prefill.prefixes);
        state.update_counters(|counters| {
            counters.prefill_tokens_done += computed_tokens;
            counters.prefill_tokens_cached += cached_tokens;
        });
        if state.is_cancelled(&prefill.request_id) {
            state.update_counters(|counters| counters.prefill_tokens_wasted += computed_tokens);
            state.free_pieces(State::pieces_needed(prefill.tokens));
            continue;
        }
        state.store_result(prefill.request_id, prefill.tokens, computed_tokens);
        _ = prefill.done.send(());
    }
}

async fn run_housekeeping(state: State) {
    loop {
        monoio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        state.drop_expired_results();
        state.record_load();
    }
}
