//! Prices a group for a stream.

use std::time;

use crate::{dispatch, documents, locality};

/// Percentage of the time within which a request must begin, below which an earlier first event is
/// no gain. The rest is for what the estimate misses.
const FLOOR_PERCENT: u32 = 60;

/// Tokens sent between data centres that are worth a millisecond: traffic costs money.
const TOKENS_PER_MILLI: f64 = 256.0;

/// Returns the price of a group for a request that must begin within `allowance`.
///
/// The callers of the other data centre lose the room that the request takes: the wait that
/// requests add which were sent there since its load was told.
pub fn price_stream(
    engine: &documents::EngineSpec,
    pace: f64,
    prompt: u64,
    allowance: time::Duration,
    load: &dispatch::LoadFacts,
) -> locality::RemotePrice {
    if load.is_local {
        return locality::RemotePrice::NONE;
    }
    if !load.centre.is_usable() {
        return locality::RemotePrice::CLOSED;
    }
    let model = dispatch::PassModel::new(engine, pace);
    let batch = engine.batch.get();
    let in_flight = load.centre.assumed_in_flight(load.in_flight(), batch);
    let running = in_flight.min(f64::from(batch));
    let answer_ms = (engine.mean_answer_tokens * engine.decode_step_ms(running) * pace).max(1.0);
    let age_ms = load.centre.load_age.as_secs_f64() * 1_000.0;
    let unseen = in_flight * age_ms / answer_ms;
    let others = model
        .added_wait(load, 0, engine.mean_prompt_tokens)
        .mul_f64(unseen);
    let tokens = prompt as f64 + engine.mean_answer_tokens;
    let bytes = time::Duration::from_secs_f64(tokens / TOKENS_PER_MILLI / 1_000.0);
    locality::RemotePrice {
        floor: allowance * FLOOR_PERCENT / 100,
        penalty: load.centre.distance + bytes + others,
    }
}
