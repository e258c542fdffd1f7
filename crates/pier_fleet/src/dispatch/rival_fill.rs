//! Parts requests that choose at the same moment on the same view.

use std::time;

use crate::{dispatch, documents};

/// Most requests that are taken to choose at the same moment, which bounds the work of a choice.
const RIVAL_LIMIT: u32 = 48;

/// Waiting requests from which on their prompts tell the model's mean.
const TELLING_REQUESTS: u32 = 4;

/// Factor of the hash of a draw, which parts draws that differ little or by a pattern.
const DRAW_FACTOR: u32 = 0x045D_9F3B;

/// Estimates how many requests are sent to these candidates before their load is known here.
///
/// Running requests leave at the rate at which new ones come, so their number and the usual time of
/// an answer tell the arrivals.
pub(super) fn count_rivals(
    engine: &documents::EngineSpec,
    pace: f64,
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> u32 {
    let running: u32 = candidates.iter().map(|load| load.running).sum();
    let groups = candidates.len().max(1) as f64;
    let token_ms = engine.step_time_ms(f64::from(running) / groups) * pace;
    let answer_ms = (engine.usual_answer * token_ms).max(1.0);
    let age_ms = request.view_age.as_secs_f64() * 1_000.0;
    let unseen = f64::from(running) * age_ms / answer_ms;
    let unseen = time::Duration::from_secs_f64(unseen.round()).as_secs();
    let unseen = u32::try_from(unseen).unwrap_or(RIVAL_LIMIT);
    unseen.max(request.displaced).clamp(1, RIVAL_LIMIT)
}

/// Returns the mean prompt of the requests that wait at the candidates, which are all of one model;
/// the published mean over all models while too few wait to tell.
pub(super) fn mean_prompt(
    engine: &documents::EngineSpec,
    candidates: &[dispatch::LoadFacts],
) -> f64 {
    let waiting: u32 = candidates.iter().map(|load| load.waiting).sum();
    let prompts: u64 = candidates.iter().map(|load| load.waiting_prompt).sum();
    if waiting < TELLING_REQUESTS {
        return engine.usual_prompt;
    }
    prompts as f64 / f64::from(waiting)
}

/// One place of a fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FillPlace {
    /// The candidate.
    pub position: usize,
    /// Time that the rivals filled in before it add there.
    pub ahead: time::Duration,
}

/// Fills so many requests onto the candidates, each where it is served first, and returns the
/// place of one of them by the draw.
///
/// Nodes with the same view and different draws so end up with the spread that one node which saw
/// every request would have made. `scored` holds each candidate's score and position; `cost` is the
/// time that one more request adds at a candidate.
pub(super) fn draw_place(
    scored: &[(time::Duration, usize)],
    cost: impl Fn(usize) -> time::Duration,
    rivals: u32,
    draw: u32,
) -> Option<FillPlace> {
    let mixed = (draw ^ (draw >> 16)).wrapping_mul(DRAW_FACTOR);
    let drawn = (mixed ^ (mixed >> 16)) % rivals.max(1);
    let filled = scored
        .iter()
        .map(|(score, position)| (*score, *position, *score));
    let mut filled: Vec<_> = filled.collect();
    let mut chosen = None;
    for _step in 0..=drawn {
        let least = filled.iter_mut().min_by_key(|(score, ..)| *score)?;
        chosen = Some(FillPlace {
            position: least.1,
            ahead: least.0.saturating_sub(least.2),
        });
        least.0 += cost(least.1);
    }
    chosen
}
