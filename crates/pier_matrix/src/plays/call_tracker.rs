//! The running and completed calls of a play.

use std::{collections, sync};

use anyhow::Context as _;
use tokio::task;

use crate::plays;

/// The calls of a play by label: requests, running tasks and outcomes.
#[derive(Debug, Default)]
pub(super) struct CallTracker {
    calls: collections::BTreeMap<String, sync::Arc<plays::CallRequest>>,
    running: collections::BTreeMap<String, task::JoinHandle<plays::CallOutcome>>,
    outcomes: collections::BTreeMap<String, plays::CallOutcome>,
}

impl CallTracker {
    /// Returns the requests of all calls.
    pub(super) fn calls(&self) -> &collections::BTreeMap<String, sync::Arc<plays::CallRequest>> {
        &self.calls
    }

    /// Returns the outcomes of the completed calls.
    pub(super) fn outcomes(&self) -> &collections::BTreeMap<String, plays::CallOutcome> {
        &self.outcomes
    }

    /// Adds a call that was sent.
    pub(super) fn add(
        &mut self,
        label: String,
        call: sync::Arc<plays::CallRequest>,
        running: task::JoinHandle<plays::CallOutcome>,
    ) {
        self.calls.insert(label.clone(), call);
        self.running.insert(label, running);
    }

    /// Waits until a call completes.
    ///
    /// # Errors
    ///
    /// Fails when no such call is running.
    pub(super) async fn wait_for(&mut self, label: &str) -> anyhow::Result<()> {
        let outcome = self.remove_running(label)?.await?;
        self.outcomes.insert(label.to_owned(), outcome);
        Ok(())
    }

    /// Waits until every call completes.
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

    /// Aborts a call, as a caller does that disconnects before its answer.
    ///
    /// # Errors
    ///
    /// Fails when no such call is running.
    pub(super) fn abandon(&mut self, label: &str) -> anyhow::Result<()> {
        self.remove_running(label)?.abort();
        Ok(())
    }

    /// Returns whether there are calls with this mark and all have completed.
    ///
    /// An abandoned call counts as running: a target may still start it.
    pub(super) fn all_answered(&self, mark: &str) -> bool {
        let mut labels = self.labels_of(mark).peekable();
        let ended = |label| {
            let running = self.running.get(label);
            let finished = running.is_some_and(task::JoinHandle::is_finished);
            finished || self.outcomes.contains_key(label)
        };
        labels.peek().is_some() && labels.all(ended)
    }

    /// Describes the outcomes of the calls with this mark, for failure messages.
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
        running.with_context(|| format!("{label} is not running"))
    }
}
