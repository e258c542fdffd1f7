//! A random schedule of calls.

use std::time;

use pier_types::priorities;
use rand::{Rng as _, SeedableRng as _, rngs};

use crate::calls;

/// Calls with Poisson arrivals, in the order in which they are sent; the same seed gives the same
/// calls.
///
/// ```
/// use std::time;
/// use pier_load::calls;
/// use pier_types::rates;
///
/// let mix = calls::LoadMix {
///     rate: rates::RequestRate::new(50),
///     min_tokens: 4,
///     max_tokens: 8,
///     streamed_percent: 70,
///     unusual_percent: 10,
///     shared_prefixes: 3,
///     deadline: time::Duration::from_secs(10),
/// };
/// let draw = || calls::CallSchedule::draw(&mix, time::Duration::from_secs(2), 7);
/// assert_eq!(draw(), draw());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSchedule {
    /// The calls.
    pub calls: Vec<calls::CallPlan>,
}

impl CallSchedule {
    /// Draws the calls of a time span of `length`.
    pub fn draw(mix: &calls::LoadMix, length: time::Duration, seed: u64) -> Self {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let mut calls = Vec::new();
        let mut at = gap(mix, &mut random);
        while at < length {
            calls.push(draw_call(mix, calls.len(), at, &mut random));
            at += gap(mix, &mut random);
        }
        Self { calls }
    }

    /// Returns the same calls with `first` added to their numbers.
    #[must_use]
    pub fn number_from(mut self, first: usize) -> Self {
        for call in &mut self.calls {
            call.number += first;
        }
        self
    }
}

/// Draws the time to the next arrival: exponentially distributed, as with many independent callers.
fn gap(mix: &calls::LoadMix, random: &mut rngs::StdRng) -> time::Duration {
    let rate = f64::from(mix.rate.get().max(1));
    let uniform: f64 = random.random();
    time::Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn draw_call(
    mix: &calls::LoadMix,
    number: usize,
    at: time::Duration,
    random: &mut rngs::StdRng,
) -> calls::CallPlan {
    calls::CallPlan {
        number,
        at,
        node_index: random.random_range(0..usize::from(u16::MAX)),
        prefix: random.random_range(0..mix.shared_prefixes.max(1)),
        tokens: random.random_range(mix.min_tokens..=mix.max_tokens),
        is_streamed: random.random_range(0..100) < mix.streamed_percent,
        priority: draw_priority(mix, random.random_range(0..100)),
        deadline: mix.deadline,
    }
}

fn draw_priority(mix: &calls::LoadMix, percent: u32) -> priorities::RequestPriority {
    if percent < mix.unusual_percent {
        priorities::RequestPriority::High
    } else if percent < 2 * mix.unusual_percent {
        priorities::RequestPriority::Low
    } else {
        priorities::RequestPriority::Normal
    }
}
