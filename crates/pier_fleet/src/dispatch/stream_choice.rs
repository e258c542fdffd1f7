//! Chooses the group for a stream.

use std::time;

use crate::{dispatch, dispatch::request_spread, documents, locality};

/// Penalties for groups.
const PENALTIES: dispatch::ScorePenalties = dispatch::ScorePenalties {
    failing: time::Duration::from_secs(1),
    jitter: time::Duration::from_millis(8),
};

/// Percentage of the objective within which a new request must be expected to start, by its rank.
/// Less urgent requests leave headroom for more urgent ones.
const OBJECTIVE_PERCENT: [u32; 4] = [100, 92, 84, 76];

/// Shortest and longest retry time told to a refused caller.
const RETRY_BOUNDS: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_secs(2),
);

/// Streams are resumed at a group while its requests in flight are below this multiple of its
/// batch.
const RESUME_BATCH_MULTIPLE: u32 = 2;

/// The learned delay is capped at the objective divided by this. Otherwise a delay learned in a
/// bad moment could refuse all requests, and with them the observations that would correct it.
const LEARNED_DIVISOR: u32 = 2;

/// Chooses the group with the earliest expected first event, or refuses the request.
///
/// `pace` is the model's factor on the engine's published times; above 1 is slower. `learned` is
/// the recently observed delay of first events beyond what the engine's published times predict.
///
/// Under sustained overload each group is kept at a load at which it still meets the objective,
/// and excess requests are refused before they queue anywhere. When many nodes see the same idle
/// group, or many streams lose their group at once, each request takes one slot of a simulated
/// spread over all candidates.
pub fn choose_stream(
    engine: &documents::EngineSpec,
    pace: f64,
    learned: time::Duration,
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> dispatch::ChoiceOutcome {
    let model = dispatch::PassModel::new(engine, pace);
    let room = dispatch::UrgencyRoom::new(engine, pace, learned, request, candidates);
    let learned = learned.min(request.objective / LEARNED_DIVISOR);
    let available = candidates.iter().enumerate();
    let available = available.filter(|(_position, load)| !load.is_unavailable);
    let expected = |position: usize| {
        let load = &candidates[position];
        let first_event = if request.is_resumed {
            model.first_event(load, request.prompt)
        } else {
            room.first_event(load)
        };
        first_event + learned
    };
    let has_local = locality::has_local(candidates);
    let scored = available.map(|(position, load)| {
        let price = locality::price_stream(engine, pace, request.prompt, allowance(request), load);
        let price = if has_local {
            price
        } else {
            price.without_floor()
        };
        let priced = price.apply(expected(position));
        let score = PENALTIES.score(load, priced, request.draw, position);
        (score, position)
    });
    let mut scored: Vec<_> = scored.collect();
    if !request.is_resumed && room.is_kept() {
        let best = scored.iter().min().copied();
        scored.retain(|(_score, position)| room.admits(&candidates[*position]));
        if let Some((_score, position)) = best
            && scored.is_empty()
        {
            return refuse_reserved(expected(position));
        }
    }
    let concurrent = request_spread::estimate_concurrent(engine, pace, request, candidates);
    let prompt = request_spread::mean_prompt_tokens(engine, request, candidates);
    let cost =
        |position: usize, assigned: u32| model.added_wait(&candidates[position], assigned, prompt);
    let slot = request_spread::draw_slot(&scored, cost, concurrent, request.draw);
    let Some(slot) = slot else {
        return if candidates.is_empty() {
            dispatch::ChoiceOutcome::NoTarget
        } else {
            dispatch::refuse(RETRY_BOUNDS.0, RETRY_BOUNDS.0, RETRY_BOUNDS)
        };
    };
    let position = slot.position;
    let expected = expected(position);
    let fits = if request.is_resumed {
        let max_in_flight = engine.batch.get().saturating_mul(RESUME_BATCH_MULTIPLE);
        candidates[position].in_flight() < max_in_flight && expected < request.time_left
    } else {
        expected + slot.added_delay <= allowance(request)
    };
    if fits {
        return dispatch::ChoiceOutcome::Send { position, expected };
    }
    let wait = (expected + slot.added_delay).saturating_sub(allowance(request));
    dispatch::refuse(wait, expected, RETRY_BOUNDS)
}

/// Returns the refusal of a request that finds room only where it is kept for more urgent ones.
fn refuse_reserved(expected: time::Duration) -> dispatch::ChoiceOutcome {
    dispatch::ChoiceOutcome::Full {
        retry_after: expected.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        expected,
        is_reserved: true,
    }
}

/// Returns the time within which a new request must be expected to start.
fn allowance(request: &dispatch::RequestFacts) -> time::Duration {
    let last = OBJECTIVE_PERCENT.len() - 1;
    let percent = OBJECTIVE_PERCENT[usize::from(request.rank).min(last)];
    (request.objective * percent / 100).min(request.time_left)
}
