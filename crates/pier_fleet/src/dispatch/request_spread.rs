//! Spreads requests that are dispatched concurrently on the same stale view of the load.

use std::{cmp, collections, time};

use crate::{dispatch, documents, urgency};

/// Upper bound of the estimate of concurrent requests, which bounds the work of a choice.
const MAX_CONCURRENT: u32 = 128;

/// Fewest waiting requests from which the mean prompt of a model is computed.
const MIN_SAMPLE_REQUESTS: u32 = 4;

/// Multiplier of the hash that decorrelates draws which are close together or follow a pattern.
const HASH_MULTIPLIER: u32 = 0x045D_9F3B;

/// Estimates how many requests all nodes send to these candidates before this node sees the
/// resulting load.
///
/// In steady state requests arrive at the rate at which running ones finish, so the arrival rate
/// follows from the number of running requests and the mean time of an answer. Nodes start with
/// the groups of their own data centre, so only those count where it has any.
pub(super) fn estimate_concurrent(
    engine: &documents::EngineSpec,
    pace: f64,
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> u32 {
    let has_local = candidates.iter().any(|load| load.is_local);
    let own = candidates.iter().filter(|load| load.is_local || !has_local);
    let running: Vec<_> = own.map(|load| load.running).collect();
    let groups = running.len().max(1) as f64;
    let running: u32 = running.iter().sum();
    let decode_ms = engine.decode_step_ms(f64::from(running) / groups) * pace;
    let answer_ms = (engine.mean_answer_tokens * decode_ms).max(1.0);
    let age_ms = request.view_age.as_secs_f64() * 1_000.0;
    let ended = f64::from(running) * age_ms / answer_ms;
    let class = urgency::UrgencyClass::of_rank(request.rank);
    let unseen = ended * request.demand.competing_per_send(class);
    let unseen = time::Duration::from_secs_f64(unseen.round()).as_secs();
    let unseen = u32::try_from(unseen).unwrap_or(MAX_CONCURRENT);
    unseen.max(request.displaced).clamp(1, MAX_CONCURRENT)
}

/// Returns the mean prompt tokens of the requests that wait at the candidates, which all run one
/// model. While too few requests wait, it is the mean of those that arrived here for the model, or else
/// the published mean over all models.
pub(super) fn mean_prompt_tokens(
    engine: &documents::EngineSpec,
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> f64 {
    let waiting: u32 = candidates.iter().map(|load| load.waiting).sum();
    let prompts: u64 = candidates.iter().map(|load| load.waiting_prompt).sum();
    if waiting < MIN_SAMPLE_REQUESTS {
        let arrived = request.demand.mean_prompt();
        return arrived.unwrap_or(engine.mean_prompt_tokens);
    }
    prompts as f64 / f64::from(waiting)
}

/// One simulated assignment of a request to a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SpreadSlot {
    /// Index of the candidate.
    pub position: usize,
    /// Delay that the requests assigned to this candidate before it add.
    pub added_delay: time::Duration,
}

/// Simulates the assignment of `concurrent` requests, each to the candidate that serves it first at
/// that point, and returns the assignment of the one that `draw` selects.
///
/// Nodes with the same view and different draws thereby approximate the distribution that one node
/// which saw every request would produce. `scored` holds each candidate's score and index; `cost`
/// returns the time that one more request adds at a candidate.
pub(super) fn draw_slot(
    scored: &[(time::Duration, usize)],
    cost: impl Fn(usize, u32) -> time::Duration,
    concurrent: u32,
    draw: u32,
) -> Option<SpreadSlot> {
    let hashed = (draw ^ (draw >> 16)).wrapping_mul(HASH_MULTIPLIER);
    let selected = (hashed ^ (hashed >> 16)) % concurrent.max(1);
    let simulated = scored
        .iter()
        .map(|(score, position)| cmp::Reverse((*score, *position, *score, 0)));
    let mut simulated: collections::BinaryHeap<_> = simulated.collect();
    let mut chosen = None;
    for _step in 0..=selected {
        let mut best = simulated.peek_mut()?;
        let (score, position, first, assigned) = best.0;
        chosen = Some(SpreadSlot {
            position,
            added_delay: score.saturating_sub(first),
        });
        best.0 = (
            score + cost(position, assigned),
            position,
            first,
            assigned + 1,
        );
    }
    chosen
}
