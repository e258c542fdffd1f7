//! Builds and starts a fake platform.

use std::{net, sync, time};

use crate::{platform, serve};

/// Builder of a [`platform::FakePlatform`].
#[derive(Debug, Clone)]
pub struct PlatformBuilder {
    listen: net::SocketAddr,
    list: platform::VmList,
}

impl Default for PlatformBuilder {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            list: platform::VmList::default(),
        }
    }
}

impl PlatformBuilder {
    /// Sets the listen address; with port 0 the system chooses the port.
    #[must_use]
    pub fn listen(mut self, listen: net::SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the delay before readers see a change of the VM list.
    #[must_use]
    pub fn list_lag(mut self, lag: time::Duration) -> Self {
        self.list.lag = lag;
        self
    }

    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(self) -> Result<platform::FakePlatform, serve::FakeError> {
        let list = self.list;
        let make_app = |core| sync::Arc::new(platform::PlatformApp::new(list, core));
        let server = serve::FakeServer::launch(self.listen, make_app).await?;
        Ok(platform::FakePlatform::new(server))
    }
}
