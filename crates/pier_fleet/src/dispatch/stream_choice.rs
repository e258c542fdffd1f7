//! Which group takes a stream.

use std::time;

use crate::{dispatch, dispatch::rival_fill, documents};

/// How groups are ordered: bytes between data centres are dear, and take their way.
const TERMS: dispatch::ScoreTerms = dispatch::ScoreTerms {
    remote: time::Duration::from_millis(40),
    failing: time::Duration::from_secs(1),
    spread: time::Duration::from_millis(8),
};

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
/// the objective, and what is over is refused before it waits anywhere. Answers the pattern of many
/// nodes that see the same group empty, and of streams that lose their group together: each takes
/// one place of the spread that all of them should have.
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
    let expected = |position: usize| {
        let load = &candidates[position];
        model.first_event(load, request.prompt) + learned
    };
    let scored = open.map(|(position, load)| {
        let score = TERMS.score(load, expected(position), request.draw, position);
        (score, position)
    });
    let scored: Vec<_> = scored.collect();
    let rivals = rival_fill::count_rivals(engine, pace, request, candidates);
    let prompt = rival_fill::mean_prompt(engine, candidates);
    let cost = |position: usize| model.added_wait(&candidates[position], prompt);
    let drawn = rival_fill::draw_place(&scored, cost, rivals, request.draw);
    let Some(drawn) = drawn else {
        return if candidates.is_empty() {
            dispatch::ChoiceOutcome::NoTarget
        } else {
            dispatch::refuse(RETRY_BOUNDS.0, RETRY_BOUNDS.0, RETRY_BOUNDS)
        };
    };
    let position = drawn.position;
    let expected = expected(position);
    let fits = if request.is_resumed {
        let most = engine.batch.get().saturating_mul(RESUME_DEPTH);
        candidates[position].in_flight() < most && expected < request.time_left
    } else {
        expected + drawn.ahead <= allowance(request)
    };
    if fits {
        return dispatch::ChoiceOutcome::Send { position, expected };
    }
    let wait = (expected + drawn.ahead).saturating_sub(allowance(request));
    dispatch::refuse(wait, expected, RETRY_BOUNDS)
}

fn allowance(request: &dispatch::RequestFacts) -> time::Duration {
    let last = OBJECTIVE_PERCENT.len() - 1;
    let percent = OBJECTIVE_PERCENT[usize::from(request.rank).min(last)];
    (request.objective * percent / 100).min(request.time_left)
}
