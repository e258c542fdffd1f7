//! A running fake platform.

use std::net;

use pier_types::{times::clocks, vms};

use crate::{fault, platform, record, serve, serve::FakeApp as _};

/// A fake platform that serves until it is dropped.
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
    server: serve::FakeServer<platform::PlatformApp>,
}

impl FakePlatform {
    /// Returns a builder with no VM list lag and a port chosen by the system.
    pub fn builder() -> platform::PlatformBuilder {
        platform::PlatformBuilder::default()
    }

    pub(crate) fn new(server: serve::FakeServer<platform::PlatformApp>) -> Self {
        Self { server }
    }

    /// Returns the address that callers use.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns the address of the control endpoints, which no fault affects.
    pub fn control_address(&self) -> net::SocketAddr {
        self.server.control
    }

    /// Sets a fault.
    pub fn set_fault(&self, spec: fault::FaultSpec) {
        self.server.app.set_fault(spec);
    }

    /// Clears call faults, connection faults and the leaving flag; changed times and lags stay.
    pub fn clear_faults(&self) {
        self.server.app.core().clear();
    }

    /// Replaces the VM list; readers see the change after the list lag.
    pub fn set_vms(&self, entries: Vec<vms::VmEntry>) {
        serve::lock(&self.server.app.list).replace(entries, clocks::boot_now());
    }

    /// Returns a copy of the objects.
    pub fn objects(&self) -> platform::ObjectStore {
        serve::lock(&self.server.app.store).clone()
    }

    /// Returns the record of every call.
    pub fn record(&self) -> &record::RunRecord {
        &self.server.app.core().record
    }
}
