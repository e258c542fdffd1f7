//! Starts the loops of a node, and starts them again after a panic.

use std::{future, time};

use crate::{links, state};

/// Pause before a loop that has panicked starts again.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(100);

/// Starts a loop that runs as long as the process.
///
/// A panic ends one run of it, is logged and counted, and another run starts. What the loop shares
/// with others is in the node's state, which outlives it.
pub(crate) fn spawn_loop<P, F>(
    state: &state::EdgeState<P>,
    name: &'static str,
    run: impl Fn() -> F + Send + 'static,
) where
    P: links::FleetPlatform,
    F: future::Future<Output = ()> + Send + 'static,
{
    let state = state.clone();
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(run()).await {
            if !error.is_panic() {
                return;
            }
            state.metrics().count_task_failure(name);
            log::error!(event = "task-failed", task = name, cause:% = error; "");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
