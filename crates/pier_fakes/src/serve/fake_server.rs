//! A stand-in that runs: app, HTTP server and gate.

use std::{net, sync};

use tokio::task;

use crate::serve;

/// One running stand-in; it ends when dropped.
#[derive(Debug)]
pub(crate) struct FakeServer<A> {
    /// What it answers.
    pub app: sync::Arc<A>,
    /// Where callers reach it.
    pub address: net::SocketAddr,
    /// Where tests reach it, whatever fault is set.
    pub control: net::SocketAddr,
    server: serve::RocketServer,
    proxy_task: task::JoinHandle<()>,
}

impl<A: serve::FakeApp> FakeServer<A> {
    /// Starts an app that is made around its core.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can not be bound.
    pub(crate) async fn launch(
        listen: net::SocketAddr,
        make_app: impl FnOnce(serve::FakeCore) -> sync::Arc<A>,
    ) -> Result<Self, serve::FakeError> {
        let (proxy, listener) = serve::FaultProxy::bind(listen).map_err(serve::FakeError::Bind)?;
        let address = proxy.address();
        let app = make_app(serve::FakeCore::new(proxy.clone()));
        let inner = net::SocketAddr::new(address.ip(), 0);
        let server = serve::RocketServer::launch(inner, sync::Arc::clone(&app)).await?;
        let proxy_task = tokio::spawn(proxy.run(listener, server.address));
        Ok(Self {
            app,
            address,
            control: server.address,
            server,
            proxy_task,
        })
    }
}

impl<A> Drop for FakeServer<A> {
    fn drop(&mut self) {
        self.proxy_task.abort();
        self.server.stop();
    }
}
