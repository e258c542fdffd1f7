//! Which group takes a stream.

use std::time;

use crate::{dispatch, documents};

/// What a group of another data centre must be faster by: the price of its bytes, and the way.
const REMOTE_COST: time::Duration = time::Duration::from_millis(40);

/// Spread of the random part that keeps nodes with the same view from choosing the same group.
const JITTER_MICROS: u32 = 8_000;

/// Part of the objective that a new request may be expected to take, in percent, by its rank;
/// less urgent requests leave room for more urgent ones.
const OBJECTIVE_PERCENT: [u32; 4] = [100, 92, 84, 76];

/// Least and greatest time that a refused caller is told to wait.
const RETRY_BOUNDS: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_secs(2),
);

/// Requests in flight over a group's batch, as a multiple of it, up to which streams are resumed.
const RESUME_DEPTH: u32 = 2;

/// Part of the objective up to which the learned time counts, so that a time learned from a bad
/// moment never refuses all requests, from which alone a better one can be learned.
const LEARNED_DIVISOR: u32 = 2;

/// Chooses the group with the earliest expected first event, or refuses.
///
/// `learned` is what first events took of late beyond what the engine's published times predict.
///
/// Answers the pattern of sustained overload: each group stays at the load at which it still keeps
/// the objective, and what is over is refused before it waits anywhere.
pub fn choose_stream(
    engine: &documents::EngineSpec,
    pace: f64,
    learned: time::Duration,
    request: &dispatch::RequestFacts,
    candidates: &[dispatch::LoadFacts],
) -> dispatch::ChoiceOutcome {
    let model = dispatch::PassModel::new(engine, pace);
    let learned = learned.min(request.objective / LEARNED_DIVISOR);
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_position, load)| !load.is_used_up);
    let scored = open.map(|(position, load)| {
        let expected = model.first_event(load, request.prompt) + learned;
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
    let fits = if request.is_resumed {
        let most = engine.batch.get().saturating_mul(RESUME_DEPTH);
        candidates[position].in_flight() < most && expected < request.time_left
    } else {
        expected <= allowance(request)
    };
    if fits {
        return dispatch::ChoiceOutcome::Send { position, expected };
    }
    refuse(expected.saturating_sub(allowance(request)), expected)
}

fn allowance(request: &dispatch::RequestFacts) -> time::Duration {
    let last = OBJECTIVE_PERCENT.len() - 1;
    let percent = OBJECTIVE_PERCENT[usize::from(request.rank).min(last)];
    (request.objective * percent / 100).min(request.time_left)
}

fn refuse(wait: time::Duration, expected: time::Duration) -> dispatch::ChoiceOutcome {
    dispatch::ChoiceOutcome::Full {
        retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        expected,
    }
}

/// Orders candidates by the expected time, with the cost of the way and of failures on top.
fn score(
    load: &dispatch::LoadFacts,
    expected: time::Duration,
    draw: u32,
    position: usize,
) -> time::Duration {
    let spread = u32::try_from(position)
        .unwrap_or(0)
        .wrapping_mul(0x9E37_79B1);
    let jitter = (draw ^ spread).wrapping_mul(0x85EB_CA6B) >> 8;
    let jitter = time::Duration::from_micros(u64::from(jitter % JITTER_MICROS));
    let way = if load.is_local {
        time::Duration::ZERO
    } else {
        REMOTE_COST
    };
    let failures = time::Duration::from_secs_f64(load.failure_rate.clamp(0.0, 1.0));
    expected + way + jitter + failures
}
