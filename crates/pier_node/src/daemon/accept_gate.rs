//! Limits how many connections a server accepts.

use std::{fs, future, pin, task, time};

use procfs::process;
use tokio::task::coop;

use crate::handle;

/// The open descriptors of this process.
const DESCRIPTORS: &str = "/proc/self/fd";

/// Time between two looks at the open descriptors while there are too many.
const PAUSE: time::Duration = time::Duration::from_millis(20);

/// More units than the budget of a task has.
const MAX_BUDGET: usize = 1_024;

/// Polls a server only while descriptors are left.
///
/// Rocket accepts connections by itself and tells nobody of them, but it does so within the future that
/// runs the server. That future is polled with one unit of the task's cooperative budget, which one
/// accepted connection uses up.
#[derive(Debug, Clone)]
pub(super) struct AcceptGate {
    handle: handle::NodeHandle,
    max_descriptors: u64,
}

impl AcceptGate {
    /// Creates a gate that closes at a number of open descriptors.
    pub(super) const fn new(handle: handle::NodeHandle, max_descriptors: u64) -> Self {
        Self {
            handle,
            max_descriptors,
        }
    }

    /// Runs a server to its end; it is no longer limited once it shuts down.
    pub(super) async fn run<F: Future>(self, server: F, shutdown: rocket::Shutdown) -> F::Output {
        let mut server = pin::pin!(server);
        tokio::select! {
            biased;
            () = shutdown => {}
            output = self.run_limited(server.as_mut()) => return output,
        }
        server.await
    }

    async fn run_limited<F: Future>(&self, mut server: pin::Pin<&mut F>) -> F::Output {
        loop {
            self.wait_for_descriptors().await;
            let mut is_polled = false;
            let step = future::poll_fn(|context| {
                if is_polled {
                    // Woken: the descriptors are counted again first.
                    return task::Poll::Ready(None);
                }
                is_polled = true;
                spend_budget_but_one(context);
                server.as_mut().poll(context).map(Some)
            });
            if let Some(output) = step.await {
                return output;
            }
        }
    }

    async fn wait_for_descriptors(&self) {
        if count_descriptors() < self.max_descriptors {
            return;
        }
        self.handle.metrics().bodies().count_accept_pause();
        while count_descriptors() >= self.max_descriptors {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Uses up the cooperative budget of the running task except for one unit.
fn spend_budget_but_one(context: &mut task::Context<'_>) {
    // A task without a budget would never use it up.
    for _unit in 0..MAX_BUDGET {
        let task::Poll::Ready(unit) = coop::poll_proceed(context) else {
            return;
        };
        if !coop::has_budget_remaining() {
            // Dropped without progress, the last unit is given back.
            return;
        }
        unit.made_progress();
    }
}

/// Returns the number of open descriptors; 0 where the system does not tell.
fn count_descriptors() -> u64 {
    // Kernels before 6.2 state no size for the folder.
    let stated = fs::metadata(DESCRIPTORS).map_or(0, |folder| folder.len());
    if stated > 0 {
        return stated;
    }
    let counted = process::Process::myself().and_then(|process| process.fd_count());
    counted.map_or(0, |count| u64::try_from(count).unwrap_or(u64::MAX))
}
