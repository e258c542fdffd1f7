//! Notices callers that leave before their answer.
//!
//! The HTTP library runs each handler in a task of its own that outlives the connection and gives no
//! sign when the caller hangs up, so the kernel's list of connections is asked.

use std::{future, net, time};

use tokio::sync::{mpsc, oneshot};

use crate::callers;

/// Time between two looks at the connections.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Looks in a row that have to miss a connection; one look may skip a line while the list changes.
const MAX_MISSES: u32 = 3;

/// Callers that may wait to be watched; more are not watched.
const MAX_QUEUED_CALLERS: usize = 1_024;

/// Watches the connections of callers that wait for their answers.
#[derive(Debug, Clone)]
pub(super) struct DisconnectMonitor {
    entries: mpsc::Sender<WatchEntry>,
}

/// A caller that waits.
#[derive(Debug)]
struct WatchEntry {
    port: u16,
    caller: net::SocketAddr,
    misses: u32,
    disconnected: oneshot::Sender<()>,
}

impl DisconnectMonitor {
    /// Starts the task that looks; it ends with the last watch.
    pub(super) fn spawn() -> Self {
        let (entries, waiting) = mpsc::channel(MAX_QUEUED_CALLERS);
        tokio::spawn(poll_connections(waiting));
        Self { entries }
    }

    /// Waits until a caller of the port has closed its connection; for ever where that can not be seen.
    pub(super) async fn disconnected(&self, port: u16, caller: Option<net::SocketAddr>) {
        let Some(caller) = caller else {
            return future::pending().await;
        };
        let (disconnected, noticed) = oneshot::channel();
        let entry = WatchEntry {
            port,
            caller,
            misses: 0,
            disconnected,
        };
        if self.entries.try_send(entry).is_err() || noticed.await.is_err() {
            future::pending::<()>().await;
        }
    }
}

async fn poll_connections(mut waiting: mpsc::Receiver<WatchEntry>) {
    let mut entries: Vec<WatchEntry> = Vec::new();
    let checking = tokio::task::spawn_blocking(callers::ConnectionTable::check);
    if !matches!(checking.await, Ok(Ok(true))) {
        // A list that does not show the node's connections says nothing of them.
        log::warn!(event = "callers-not-watched"; "");
        return;
    }
    loop {
        if entries.is_empty() {
            let Some(entry) = waiting.recv().await else {
                return;
            };
            entries.push(entry);
        }
        tokio::time::sleep(POLL_PERIOD).await;
        while let Ok(entry) = waiting.try_recv() {
            entries.push(entry);
        }
        entries.retain(|entry| !entry.disconnected.is_closed());
        let Some(port) = entries.first().map(|entry| entry.port) else {
            continue;
        };
        let loading = move || callers::ConnectionTable::load(port);
        let Ok(Ok(table)) = tokio::task::spawn_blocking(loading).await else {
            continue;
        };
        entries = notify_disconnected(entries, &table);
    }
}

/// Tells of those who left; returns the others.
fn notify_disconnected(
    entries: Vec<WatchEntry>,
    table: &callers::ConnectionTable,
) -> Vec<WatchEntry> {
    let mut connected = Vec::new();
    for mut entry in entries {
        entry.misses = if table.contains(entry.caller) {
            0
        } else {
            entry.misses + 1
        };
        if entry.misses < MAX_MISSES {
            connected.push(entry);
        } else {
            // The answer may have come at this very moment.
            let _answered = entry.disconnected.send(());
        }
    }
    connected
}
