//! Aborts a task whose result is no longer awaited.

use tokio::task;

/// Aborts a task when dropped, unless disarmed.
#[derive(Debug)]
pub(super) struct AbortGuard {
    task: Option<task::AbortHandle>,
}

impl AbortGuard {
    /// Guards a task.
    pub(super) const fn new(task: task::AbortHandle) -> Self {
        Self { task: Some(task) }
    }

    /// Drops the guard without aborting the task.
    pub(super) fn disarm(mut self) {
        self.task = None;
    }
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}
