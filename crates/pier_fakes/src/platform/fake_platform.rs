//! A running platform.

use std::{net, sync};

use pier_types::{times::clocks, vms};

use crate::{platform, record, serve};

/// A platform that serves until it is dropped.
///
/// ```
/// use pier_fakes::platform;
///
/// # async fn example() -> Result<(), pier_fakes::serve::FakeError> {
/// let server = platform::FakePlatform::builder().launch().await?;
/// server.set_vms(Vec::new());
/// assert!(server.record().entries().is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct FakePlatform {
    app: sync::Arc<platform::PlatformApp>,
    server: serve::RocketServer,
}

impl FakePlatform {
    /// Returns a builder with an unhurried list and a port that the system chooses.
    pub fn builder() -> platform::PlatformBuilder {
        platform::PlatformBuilder::default()
    }

    pub(crate) fn new(app: sync::Arc<platform::PlatformApp>, server: serve::RocketServer) -> Self {
        Self { app, server }
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Replaces the VM list; readers see it after the lag.
    pub fn set_vms(&self, entries: Vec<vms::VmEntry>) {
        serve::lock(&self.app.list).replace(entries, clocks::boot_now());
    }

    /// Returns a copy of the objects.
    pub fn objects(&self) -> platform::ObjectStore {
        serve::lock(&self.app.store).clone()
    }

    /// Returns the record of every call.
    pub fn record(&self) -> &record::RunRecord {
        &self.app.record
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.server.stop();
    }
}
