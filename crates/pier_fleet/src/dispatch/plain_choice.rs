//! Chooses a plain (non-streaming) target.

use std::time;

use crate::{dispatch, locality};

/// Penalties for plain targets.
const PENALTIES: dispatch::ScorePenalties = dispatch::ScorePenalties {
    failing: time::Duration::from_millis(500),
    jitter: time::Duration::from_millis(1),
};

/// Shortest and longest retry time told to a refused caller.
const RETRY_BOUNDS: (time::Duration, time::Duration) = (
    time::Duration::from_millis(50),
    time::Duration::from_secs(2),
);

/// Chooses the available target with the lowest score: expected answer time plus its utilisation
/// and penalties.
///
/// Refuses the request if that target would not answer within the time left, or if no target is
/// available.
pub fn choose_plain(
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> dispatch::ChoiceOutcome {
    let available = candidates.iter().enumerate();
    let available = available.filter(|(_position, load)| !load.is_unavailable);
    let has_local = locality::has_local(candidates);
    let scored = available.map(|(position, load)| {
        let expected = expected_answer(load);
        let price = locality::price_plain(load);
        let price = if has_local {
            price
        } else {
            price.without_floor()
        };
        (
            PENALTIES.score(
                load,
                price.apply(expected + utilisation_penalty(load)),
                request.draw,
                position,
            ),
            position,
            expected,
        )
    });
    let Some((_score, position, expected)) = scored.min_by_key(|(score, ..)| *score) else {
        return if candidates.is_empty() {
            dispatch::ChoiceOutcome::NoTarget
        } else {
            dispatch::refuse(RETRY_BOUNDS.0, RETRY_BOUNDS.0, RETRY_BOUNDS)
        };
    };
    if expected < request.time_left {
        return dispatch::ChoiceOutcome::Send { position, expected };
    }
    let wait = expected.saturating_sub(request.time_left);
    dispatch::refuse(wait, expected, RETRY_BOUNDS)
}

/// Returns the expected time of an answer: the target's mean answer time for each round of
/// requests ahead, plus one for this request.
fn expected_answer(load: &dispatch::LoadFacts) -> time::Duration {
    let rounds = load.in_flight() / load.slots.max(1) + 1;
    load.answer_time * rounds
}

/// Returns a penalty in proportion to utilisation, so that a less loaded target is preferred even
/// while both have free slots.
fn utilisation_penalty(load: &dispatch::LoadFacts) -> time::Duration {
    load.answer_time * load.in_flight() / load.slots.max(1)
}
