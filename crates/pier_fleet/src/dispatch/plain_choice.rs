//! Which plain target takes a request.

use std::time;

use crate::dispatch;

/// What a target of another data centre must be faster by.
const REMOTE_COST: time::Duration = time::Duration::from_millis(4);

/// Time that a wholly failing target counts as slower.
const FAILURE_COST: time::Duration = time::Duration::from_millis(500);

/// Least and greatest time that a refused caller is told to wait.
const RETRY_BOUNDS: (time::Duration, time::Duration) = (
    time::Duration::from_millis(50),
    time::Duration::from_secs(2),
);

/// Chooses the target with the earliest expected answer, or refuses when none answers in time.
pub fn choose_plain(
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> dispatch::ChoiceOutcome {
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_position, load)| !load.is_used_up);
    let scored = open.map(|(position, load)| {
        let expected = expected_answer(load);
        (
            score(load, expected, request.draw, position),
            position,
            expected,
        )
    });
    let Some((_score, position, expected)) = scored.min_by_key(|(score, ..)| *score) else {
        return if candidates.is_empty() {
            dispatch::ChoiceOutcome::NoTarget
        } else {
            refuse(RETRY_BOUNDS.0, RETRY_BOUNDS.0)
        };
    };
    if expected < request.time_left {
        return dispatch::ChoiceOutcome::Send { position, expected };
    }
    refuse(expected.saturating_sub(request.time_left), expected)
}

/// Returns when an answer is expected: the target's own time, behind the rounds ahead of it.
fn expected_answer(load: &dispatch::LoadFacts) -> time::Duration {
    let rounds = load.in_flight() / load.slots.max(1) + 1;
    load.answer_time * rounds
}

fn refuse(wait: time::Duration, expected: time::Duration) -> dispatch::ChoiceOutcome {
    dispatch::ChoiceOutcome::Full {
        retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        expected,
    }
}

/// Orders candidates; a fuller target counts as a little slower even with a free place.
fn score(
    load: &dispatch::LoadFacts,
    expected: time::Duration,
    draw: u32,
    position: usize,
) -> time::Duration {
    let fullness = load.answer_time * load.in_flight() / load.slots.max(1);
    let way = if load.is_local {
        time::Duration::ZERO
    } else {
        REMOTE_COST
    };
    let spread = u32::try_from(position)
        .unwrap_or(0)
        .wrapping_mul(0x9E37_79B1);
    let jitter = time::Duration::from_micros(u64::from((draw ^ spread) % 1_000));
    let failures = FAILURE_COST.mul_f64(load.failure_rate.clamp(0.0, 1.0));
    expected + fullness + way + failures + jitter
}
