//! Ends a task whose result nobody waits for any more.

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

    /// Lets the task go on by itself.
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
