//! The calls of a play, on their way and ended.

use std::{collections, sync};

use anyhow::Context as _;
use tokio::task;

use crate::plays;

/// What was sent, what is on its way and what came back, by label.
#[derive(Debug, Default)]
pub(super) struct CallTracker {
    calls: collections::BTreeMap<String, sync::Arc<plays::CallRequest>>,
    running: collections::BTreeMap<String, task::JoinHandle<plays::CallOutcome>>,
    outcomes: collections::BTreeMap<String, plays::CallOutcome>,
}

impl CallTracker {
    /// Returns what was sent.
    pub(super) fn calls(&self) -> &collections::BTreeMap<String, sync::Arc<plays::CallRequest>> {
        &self.calls
    }

    /// Returns what came back.
    pub(super) fn outcomes(&self) -> &collections::BTreeMap<String, plays::CallOutcome> {
        &self.outcomes
    }

    /// Notes a call that was sent.
    pub(super) fn add(
        &mut self,
        label: String,
        call: sync::Arc<plays::CallRequest>,
        running: task::JoinHandle<plays::CallOutcome>,
    ) {
        self.calls.insert(label.clone(), call);
        self.running.insert(label, running);
    }

    /// Waits until a call ends.
    ///
    /// # Errors
    ///
    /// Fails when the call is not on its way.
    pub(super) async fn wait_for(&mut self, label: &str) -> anyhow::Result<()> {
        let outcome = self.remove_running(label)?.await?;
        self.outcomes.insert(label.to_owned(), outcome);
        Ok(())
    }

    /// Waits until every call ends.
    ///
    /// # Errors
    ///
    /// Fails when a call panics.
    pub(super) async fn wait_for_all(&mut self) -> anyhow::Result<()> {
        let labels: Vec<String> = self.running.keys().cloned().collect();
        for label in labels {
            self.wait_for(&label).await?;
        }
        Ok(())
    }

    /// Ends a call as a caller does that leaves without waiting for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the call is not on its way.
    pub(super) fn abandon(&mut self, label: &str) -> anyhow::Result<()> {
        self.remove_running(label)?.abort();
        Ok(())
    }

    /// Tells whether every call with this mark has brought its answer.
    ///
    /// An abandoned call counts as on its way: a target may still start it.
    pub(super) fn all_answered(&self, mark: &str) -> bool {
        let mut labels = self.labels_of(mark).peekable();
        let ended = |label| {
            let running = self.running.get(label);
            let finished = running.is_some_and(task::JoinHandle::is_finished);
            finished || self.outcomes.contains_key(label)
        };
        labels.peek().is_some() && labels.all(ended)
    }

    /// Returns what came back for the calls with this mark, as text for a report.
    pub(super) async fn describe(&mut self, mark: &str) -> anyhow::Result<String> {
        let labels: Vec<String> = self.labels_of(mark).cloned().collect();
        let mut texts = Vec::new();
        for label in labels {
            let finished = self.running.get(&label).map(task::JoinHandle::is_finished);
            if finished == Some(true) {
                self.wait_for(&label).await?;
            }
            texts.push(match self.outcomes.get(&label) {
                Some(outcome) => format!("{label} ended: {outcome:?}"),
                None => format!("{label} has no answer yet"),
            });
        }
        Ok(texts.join("; "))
    }

    fn labels_of(&self, mark: &str) -> impl Iterator<Item = &String> {
        let calls = self.calls.iter();
        calls
            .filter(move |(_label, call)| call.mark == mark)
            .map(|(label, _call)| label)
    }

    fn remove_running(
        &mut self,
        label: &str,
    ) -> anyhow::Result<task::JoinHandle<plays::CallOutcome>> {
        let running = self.running.remove(label);
        running.with_context(|| format!("{label} is not on its way"))
    }
}
