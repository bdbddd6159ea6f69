//! The prefill queue: one prompt at a time, by priority.

use std::time::Duration;

use super::model::Model;
use crate::fault::Fault;

/// Interval at which results past their life are dropped and the load is noted.
const HOUSEKEEPING: Duration = Duration::from_millis(50);

/// Computes prompts as long as the engine lives.
pub async fn run_queue(model: Model) {
    monoio::spawn(keep_house(model.clone()));
    loop {
        let prefill = model.next_prefill().await;
        let epoch = model.epoch();
        model.switch().wait_out(Fault::Stall).await;
        let cached = model.cache().lookup(&prefill.prefixes).min(prefill.tokens);
        let computed = prefill.tokens - cached;
        let settings = model.settings();
        monoio::time::sleep(settings.prefill_base + settings.prefill_per_token * computed as u32)
            .await;
        if model.epoch() != epoch {
            continue;
        }
        model.cache().insert(&prefill.prefixes);
        model.count(|counts| {
            counts.prefill_tokens_done += computed;
            counts.prefill_tokens_cached += cached;
        });
        if model.is_cancelled(&prefill.request) {
            model.count(|counts| counts.prefill_tokens_wasted += computed);
            model.free_pieces(Model::pieces_for(prefill.tokens));
            continue;
        }
        model.hold(prefill.request, prefill.tokens, computed);
        _ = prefill.done.send(());
    }
}

async fn keep_house(model: Model) {
    loop {
        monoio::time::sleep(HOUSEKEEPING).await;
        model.drop_old_results();
        model.note_load();
    }
}
