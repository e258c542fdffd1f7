//! Checks each call against the promises made to callers.

use std::collections;

use pier_fakes::record;

use crate::calls;

/// Compares the answers of callers with the requests that engines ran.
#[derive(Debug)]
pub struct CallReview {
    runs: collections::BTreeMap<String, usize>,
    arrivals: collections::BTreeMap<String, usize>,
}

impl CallReview {
    /// Creates a review from the completions that reached any engine.
    pub fn new<'a>(entries: impl IntoIterator<Item = &'a record::RecordEntry>) -> Self {
        let mut review = Self {
            runs: collections::BTreeMap::new(),
            arrivals: collections::BTreeMap::new(),
        };
        for entry in entries {
            let Some(mark) = mark_of(&entry.body_prefix) else {
                continue;
            };
            *review.arrivals.entry(mark.to_owned()).or_default() += 1;
            if entry.started {
                *review.runs.entry(mark.to_owned()).or_default() += 1;
            }
        }
        review
    }

    /// Returns how often a call arrived at an engine after its first arrival.
    pub fn retries(&self, call: &calls::CallRecord) -> usize {
        let arrivals = self.arrivals.get(&call.plan.mark());
        arrivals.map_or(0, |count| count.saturating_sub(1))
    }

    /// Returns whether a call arrived at one of the engines.
    pub fn reached(&self, call: &calls::CallRecord) -> bool {
        self.arrivals.contains_key(&call.plan.mark())
    }

    /// Checks one call.
    ///
    /// # Errors
    ///
    /// Fails when it got neither its complete answer nor an explicit error. An error that says not
    /// run must be true and say when to retry.
    pub fn check(&self, call: &calls::CallRecord) -> anyhow::Result<()> {
        let mark = call.plan.mark();
        let runs = self.runs.get(&mark).copied().unwrap_or_default();
        match &call.outcome {
            calls::CallOutcome::Complete => {
                anyhow::ensure!(runs > 0, "{mark} has an answer but never ran");
            }
            calls::CallOutcome::Refused {
                code,
                is_not_run,
                has_retry_after,
            } => {
                let truthful = runs == 0 || !is_not_run;
                anyhow::ensure!(
                    truthful,
                    "{mark} ran, but error {code} says that it did not"
                );
                let helpful = *has_retry_after || !is_not_run;
                anyhow::ensure!(helpful, "{mark}: error {code} does not say when to retry");
            }
            calls::CallOutcome::Wrong { text } => {
                anyhow::bail!("{mark} got another answer: {text}");
            }
            calls::CallOutcome::Broken { cause } => {
                anyhow::bail!("{mark} got a broken answer: {cause}")
            }
        }
        Ok(())
    }
}

/// Returns the mark of a call, given the start of its body.
fn mark_of(body: &str) -> Option<&str> {
    let start = body.find("call-")?;
    let end = body[start..].find('.')?;
    Some(&body[start..=start + end])
}
