//! How a platform is set up.

use std::{net, sync, time};

use crate::{platform, serve};

/// Sets up a platform.
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
    /// Sets where it listens; port 0 lets the system choose.
    #[must_use]
    pub fn listen(mut self, listen: net::SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets how late the VM list shows a change.
    #[must_use]
    pub fn list_lag(mut self, lag: time::Duration) -> Self {
        self.list.lag = lag;
        self
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can not be bound.
    pub async fn launch(self) -> Result<platform::FakePlatform, serve::FakeError> {
        let list = self.list;
        let make_app = |core| sync::Arc::new(platform::PlatformApp::new(list, core));
        let server = serve::FakeServer::launch(self.listen, make_app).await?;
        Ok(platform::FakePlatform::new(server))
    }
}
