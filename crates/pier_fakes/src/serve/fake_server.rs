//! A running fake: app, HTTP server and proxy.

use std::{net, sync};

use tokio::task;

use crate::serve;

/// One running fake server; it stops when dropped.
#[derive(Debug)]
pub(crate) struct FakeServer<A> {
    /// The state and routes.
    pub app: sync::Arc<A>,
    /// The address for callers, behind the proxy.
    pub address: net::SocketAddr,
    /// The address for control calls, which bypasses the proxy.
    pub control: net::SocketAddr,
    server: serve::RocketServer,
    proxy_task: task::JoinHandle<()>,
}

impl<A: serve::FakeApp> FakeServer<A> {
    /// Starts a server for the app that `make_app` creates.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
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
