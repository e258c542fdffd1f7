//! Builds and starts a fake service.

use std::{net, sync, sync::atomic, time};

use pier_types::ids;

use crate::{serve, service};

/// Builder of a [`service::FakeService`].
#[derive(Debug, Clone)]
pub struct ServiceBuilder {
    listen: net::SocketAddr,
    vm: ids::VmName,
    call_time: time::Duration,
}

impl ServiceBuilder {
    /// Creates a builder with a port chosen by the system and calls that take no time.
    pub fn new(vm: ids::VmName) -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            vm,
            call_time: time::Duration::ZERO,
        }
    }

    /// Sets the listen address; with port 0 the system chooses the port.
    #[must_use]
    pub fn listen(mut self, listen: net::SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets how long each call takes.
    #[must_use]
    pub fn call_time(mut self, time: time::Duration) -> Self {
        self.call_time = time;
        self
    }

    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(self) -> Result<service::FakeService, serve::FakeError> {
        let make_app = |core| {
            sync::Arc::new(service::ServiceApp {
                vm: self.vm,
                incarnation: atomic::AtomicU64::new(1),
                call_time: self.call_time,
                receipts: atomic::AtomicU64::new(0),
                running: atomic::AtomicU32::new(0),
                core,
            })
        };
        let server = serve::FakeServer::launch(self.listen, make_app).await?;
        Ok(service::FakeService::new(server))
    }
}
