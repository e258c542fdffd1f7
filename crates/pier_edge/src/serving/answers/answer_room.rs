//! The answers of all requests of a node.

use std::{collections, sync, time};

use pier_fleet::budgets;
use pier_types::{sizes, times};
use tokio::sync::{Notify, oneshot};

use super::{AnswerOwner, AnswerShare};
use crate::{settings, state, telemetry};

/// Interval at which an answer that waits for memory looks again which others read too slowly.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The memory that answers take until their callers have taken them; cloning it is cheap.
#[derive(Debug, Clone)]
pub(crate) struct AnswerRoom {
    shared: sync::Arc<SharedRoom>,
}

#[derive(Debug)]
struct SharedRoom {
    answers: sync::Mutex<RoomAnswers>,
    /// Notified when memory is released.
    released: Notify,
    metrics: telemetry::AnswerMetrics,
}

#[derive(Debug)]
struct RoomAnswers {
    budget: budgets::AnswerBudget,
    owners: collections::BTreeMap<budgets::AnswerId, AnswerOwner>,
}

impl AnswerRoom {
    /// Creates the room of a node.
    pub(crate) fn new(bounds: settings::AnswerBounds, metrics: telemetry::AnswerMetrics) -> Self {
        let answers = RoomAnswers {
            budget: budgets::AnswerBudget::new(bounds.budget, bounds.least_rate),
            owners: collections::BTreeMap::new(),
        };
        Self {
            shared: sync::Arc::new(SharedRoom {
                answers: sync::Mutex::new(answers),
                released: Notify::new(),
                metrics,
            }),
        }
    }

    /// Returns the bytes that all answers hold.
    pub(crate) fn total(&self) -> sizes::ByteSize {
        state::lock(&self.shared.answers).budget.total()
    }

    /// Adds an answer that is passed on as it comes.
    pub(in crate::serving) fn begin_stream(&self, owner: AnswerOwner) -> AnswerShare {
        let mut answers = state::lock(&self.shared.answers);
        let id = answers.budget.begin();
        answers.owners.insert(id, owner);
        drop(answers);
        AnswerShare::new(self.clone(), id)
    }

    /// Adds an answer that is read to its end first; also returns a receiver that completes if the
    /// answer has to end before.
    pub(super) fn begin_whole(
        &self,
        mut owner: AnswerOwner,
    ) -> (AnswerShare, oneshot::Receiver<budgets::AnswerEnd>) {
        let told = owner.tell_reader();
        (self.begin_stream(owner), told)
    }

    /// Reserves memory for a part of an answer, once callers have taken enough of others or slow ones
    /// were ended.
    ///
    /// # Errors
    ///
    /// Fails when the answer is the one to be given up.
    pub(super) async fn reserve(
        &self,
        id: budgets::AnswerId,
        bytes: u64,
    ) -> Result<(), budgets::AnswerEnd> {
        loop {
            let released = self.shared.released.notified();
            if let Some(reserved) = self.try_reserve(id, bytes) {
                return reserved;
            }
            // Callers that take nothing release nothing either.
            let _waited = tokio::time::timeout(LOOK_INTERVAL, released).await;
        }
    }

    /// Reserves memory at once; `None` if it becomes free later.
    ///
    /// # Errors
    ///
    /// Fails when the answer is the one to be given up.
    pub(super) fn try_reserve(
        &self,
        id: budgets::AnswerId,
        bytes: u64,
    ) -> Option<Result<(), budgets::AnswerEnd>> {
        let now = times::clocks::boot_now();
        let mut answers = state::lock(&self.shared.answers);
        match answers.budget.reserve(id, bytes, now) {
            budgets::AnswerGrant::Granted => Some(Ok(())),
            budgets::AnswerGrant::Refused(end) => {
                self.end(&mut answers, id, end);
                Some(Err(end))
            }
            budgets::AnswerGrant::Waits(ends) => {
                for (victim, end) in ends {
                    self.end(&mut answers, victim, end);
                }
                None
            }
        }
    }

    fn end(&self, answers: &mut RoomAnswers, id: budgets::AnswerId, end: budgets::AnswerEnd) {
        let held = answers.budget.total();
        let Some(owner) = answers.owners.get_mut(&id) else {
            return;
        };
        log::info!(
            event = "answer-ended",
            attempt = owner.attempt(),
            cause = end.label(),
            held_bytes = held.get();
            ""
        );
        self.shared.metrics.count_ended(end);
        owner.end(end);
    }

    pub(super) fn is_ended(&self, id: budgets::AnswerId) -> bool {
        let answers = state::lock(&self.shared.answers);
        answers.owners.get(&id).is_some_and(AnswerOwner::is_ended)
    }

    pub(super) fn begin_delivery(&self, id: budgets::AnswerId) {
        if let Some(owner) = state::lock(&self.shared.answers).owners.get_mut(&id) {
            owner.begin_delivery();
        }
    }

    pub(super) fn hand_over(&self, id: budgets::AnswerId, bytes: u64) {
        let now = times::clocks::boot_now();
        state::lock(&self.shared.answers)
            .budget
            .hand_over(id, bytes, now);
    }

    pub(super) fn take(&self, id: budgets::AnswerId, bytes: u64) {
        let now = times::clocks::boot_now();
        state::lock(&self.shared.answers)
            .budget
            .take(id, bytes, now);
        self.shared.released.notify_waiters();
    }

    pub(super) fn discard(&self, id: budgets::AnswerId, bytes: u64) {
        state::lock(&self.shared.answers).budget.discard(id, bytes);
        self.shared.released.notify_waiters();
    }

    pub(super) fn release(&self, id: budgets::AnswerId) {
        let mut answers = state::lock(&self.shared.answers);
        answers.budget.release(id);
        answers.owners.remove(&id);
        drop(answers);
        self.shared.released.notify_waiters();
    }
}
