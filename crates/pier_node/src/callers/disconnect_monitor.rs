//! Detects callers that disconnect before their answer.
//!
//! The HTTP library runs each handler in its own task, which outlives the connection and is not
//! notified when the caller disconnects. The kernel's list of connections is therefore polled.

use std::{future, net, time};

use tokio::sync::{mpsc, oneshot};

use crate::callers;

/// Time between two reads of the kernel's list.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Number of reads in a row without a connection after which its caller counts as disconnected; one
/// read may skip a line while the list changes.
const MAX_MISSES: u32 = 3;

/// Number of callers that are queued for the monitor; further ones are not monitored.
const MAX_QUEUED_CALLERS: usize = 1_024;

/// Monitors the connections of callers that wait for their answers.
#[derive(Debug, Clone)]
pub(super) struct DisconnectMonitor {
    entries: mpsc::Sender<WatchEntry>,
}

/// A caller that waits for its answer.
#[derive(Debug)]
struct WatchEntry {
    port: u16,
    caller: net::SocketAddr,
    misses: u32,
    disconnected: oneshot::Sender<()>,
}

impl DisconnectMonitor {
    /// Starts the polling task; it ends after the last clone of the monitor is dropped.
    pub(super) fn spawn() -> Self {
        let (entries, waiting) = mpsc::channel(MAX_QUEUED_CALLERS);
        tokio::spawn(poll_connections(waiting));
        Self { entries }
    }

    /// Waits until a caller of the port has closed its connection; never returns where that cannot
    /// be detected.
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
        // A list that does not show the node's own connections cannot show a disconnect.
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

/// Notifies the waiters whose callers have disconnected, and returns the other entries.
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
            // The waiter is gone if the answer arrived just now.
            let _answered = entry.disconnected.send(());
        }
    }
    connected
}
