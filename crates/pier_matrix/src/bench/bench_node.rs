//! A node that can be killed.

use std::net;

use anyhow::Context as _;
use pier_node::{daemon, handle, settings};
use tokio::{runtime, task};

/// A node on its own runtime; shutting the runtime down closes the sockets as a kill does.
#[derive(Debug)]
pub struct BenchNode {
    handle: handle::NodeHandle,
    daemon: Option<daemon::NodeDaemon>,
    runtime: Option<runtime::Runtime>,
    callers: net::SocketAddr,
    peers: net::SocketAddr,
}

impl BenchNode {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails when the settings are invalid or the node does not start.
    pub async fn launch(settings: &str) -> anyhow::Result<Self> {
        let settings = settings::NodeSettings::parse(settings)?;
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let launching = runtime.spawn(daemon::NodeDaemon::launch(settings));
        let daemon = launching.await.context("starting a node")??;
        Ok(Self {
            handle: daemon.handle().clone(),
            callers: daemon.callers_address(),
            peers: daemon.peers_address(),
            daemon: Some(daemon),
            runtime: Some(runtime),
        })
    }

    /// Returns the node's handle.
    pub fn handle(&self) -> &handle::NodeHandle {
        &self.handle
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Returns the address for other nodes.
    pub fn peers(&self) -> net::SocketAddr {
        self.peers
    }

    /// Returns whether the node was neither killed nor drained.
    pub fn is_running(&self) -> bool {
        self.daemon.is_some()
    }

    /// Stops the node at once, without a graceful shutdown.
    pub fn kill(&mut self) {
        self.daemon = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts a graceful shutdown and returns the task that completes with it.
    ///
    /// Returns `None` when the node no longer runs.
    pub fn drain(&mut self) -> Option<task::JoinHandle<()>> {
        let daemon = self.daemon.take()?;
        let runtime = self.runtime.as_ref()?;
        Some(runtime.spawn(daemon.drain()))
    }
}

impl Drop for BenchNode {
    fn drop(&mut self) {
        self.kill();
    }
}
