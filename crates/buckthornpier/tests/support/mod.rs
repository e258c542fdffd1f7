//! Runs fakes, nodes and commands as processes, and sends requests as callers do.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the items"
)]

mod body_crowd;
mod caller_call;
mod caller_outcome;
mod child_process;
mod command_output;
mod crowded_node;
mod fake_process;
mod logged_node;
mod lossy_relay;
mod node_process;
mod test_cluster;
mod test_document;

pub use body_crowd::{CrowdBodies, CrowdPlan};
pub use caller_call::CallerCall;
pub use caller_outcome::{CallerFailure, CallerOutcome};
pub use child_process::ChildProcess;
pub use command_output::{
    CommandOutput, SAMPLE, command, effective_writes, expect, file, platform, platform_with_sample,
    run,
};
pub use crowded_node::{CrowdedNode, free_address};
pub use fake_process::FakeProcess;
pub use logged_node::{LoggedNode, node_settings};
pub use lossy_relay::{LossPoint, LossyRelay};
pub use node_process::NodeProcess;
pub use test_cluster::{ClusterPlan, TestCluster, complete_answer};
pub use test_document::{MODEL, NO_REPEAT_KEY, REPEAT_KEY, SERVICE, document_text};

use std::{future, sync::atomic, time};

/// Longest wait for a condition, far above the time it takes in a working system.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Polls until a value is there; panics with the description of what was awaited on time-out.
pub async fn wait_for<T, F>(awaited: &str, mut poll: impl FnMut() -> F) -> T
where
    F: future::Future<Output = Option<T>>,
{
    let waiting = async {
        loop {
            if let Some(value) = poll().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_elapsed| panic!("no {awaited} within {WAIT_TIMEOUT:?}"))
}

/// Returns an HTTP client without proxy, redirects and retries.
pub fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never());
    builder.build().unwrap()
}

/// Returns a new idempotency key, unique within this process.
pub fn fresh_key() -> String {
    static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(1);
    let count = COUNT.fetch_add(1, atomic::Ordering::SeqCst);
    let issued = pier_types::times::clocks::wall_now().as_millis();
    format!("{issued}-call_{count:08}")
}
