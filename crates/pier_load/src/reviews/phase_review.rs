//! Service quality in one phase.

use std::{collections, time};

use pier_types::priorities;

use crate::{calls, reviews};

/// Greatest time that the histograms record, in microseconds; longer ones count as this.
const MAX_RECORDED_MICROS: u64 = 120_000_000;

/// What callers experienced in one phase.
#[derive(Debug)]
pub struct PhaseReview {
    /// Calls that were sent in the phase.
    pub calls: usize,
    /// Calls with a complete answer.
    pub complete: usize,
    /// Explicit refusals and failures by result code.
    pub refused: collections::BTreeMap<u64, usize>,
    /// Explicit refusals and failures by the call's priority.
    pub refused_by_priority: collections::BTreeMap<priorities::RequestPriority, usize>,
    /// Calls with a wrong, incomplete or missing answer.
    pub broken: usize,
    /// Arrivals of calls at engines after their first arrival.
    pub retries: usize,
    /// Times to first token, in microseconds.
    pub time_to_first_token: hdrhistogram::Histogram<u64>,
    /// Times between consecutive tokens, in microseconds.
    pub token_gap: hdrhistogram::Histogram<u64>,
}

impl PhaseReview {
    /// Evaluates the calls of a phase.
    ///
    /// # Errors
    ///
    /// Fails when a histogram cannot be created.
    pub fn new<'a>(
        records: impl IntoIterator<Item = &'a calls::CallRecord>,
        review: &reviews::CallReview,
    ) -> anyhow::Result<Self> {
        let histogram = || hdrhistogram::Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 3);
        let mut phase = Self {
            calls: 0,
            complete: 0,
            refused: collections::BTreeMap::new(),
            refused_by_priority: collections::BTreeMap::new(),
            broken: 0,
            retries: 0,
            time_to_first_token: histogram()?,
            token_gap: histogram()?,
        };
        for record in records {
            phase.add(record, review);
        }
        Ok(phase)
    }

    /// Returns how many calls were refused or failed explicitly.
    pub fn refusals(&self) -> usize {
        self.refused.values().sum()
    }

    fn add(&mut self, record: &calls::CallRecord, review: &reviews::CallReview) {
        self.calls += 1;
        self.retries += review.retries(record);
        match &record.outcome {
            calls::CallOutcome::Complete => self.complete += 1,
            calls::CallOutcome::Refused { code, .. } => {
                let priority = record.plan.priority;
                *self.refused.entry(*code).or_default() += 1;
                *self.refused_by_priority.entry(priority).or_default() += 1;
            }
            calls::CallOutcome::Wrong { .. } | calls::CallOutcome::Broken { .. } => {
                self.broken += 1;
            }
        }
        if let Some(first) = record.time_to_first_token {
            self.time_to_first_token.saturating_record(micros(first));
        }
        for gap in &record.token_gaps {
            self.token_gap.saturating_record(micros(*gap));
        }
    }
}

fn micros(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
