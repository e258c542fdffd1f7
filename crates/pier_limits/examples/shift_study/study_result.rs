//! The counts of a run.

use std::{fmt, time};

/// The counts of one or more runs.
#[derive(Debug, Default)]
pub struct StudyResult {
    pub arrivals: u64,
    pub refused: u64,
    /// Requests that were refused within ten seconds of a change.
    pub refused_moving: u64,
    /// Further tries within ten seconds of a change.
    pub retries: u64,
    /// Requests that were refused while the data centres in service had free capacity.
    pub refused_with_room: u64,
    /// Maximum number of requests above a target's limit at any time.
    pub over_limit: u32,
    /// Time of the data centre's last new request after it was taken out of service.
    pub last_new_work: time::Duration,
    /// The times to first token.
    pub first_tokens: Vec<time::Duration>,
}

impl StudyResult {
    /// Adds another run's counts.
    pub fn add(&mut self, other: Self) {
        self.arrivals += other.arrivals;
        self.refused += other.refused;
        self.refused_moving += other.refused_moving;
        self.retries += other.retries;
        self.refused_with_room += other.refused_with_room;
        self.over_limit = self.over_limit.max(other.over_limit);
        self.last_new_work = self.last_new_work.max(other.last_new_work);
        self.first_tokens.extend(other.first_tokens);
    }

    fn percentile_95(&self) -> time::Duration {
        let mut sorted = self.first_tokens.clone();
        sorted.sort_unstable();
        sorted
            .get(sorted.len() * 95 / 100)
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for StudyResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>8} {:>8} {:>7} {:>8} {:>10} {:>7} {:>15} {:>17}",
            self.arrivals,
            self.refused,
            self.refused_moving,
            self.retries,
            self.refused_with_room,
            self.percentile_95().as_millis(),
            self.over_limit,
            self.last_new_work.as_millis()
        )
    }
}
