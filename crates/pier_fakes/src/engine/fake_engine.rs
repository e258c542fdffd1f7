//! A running fake engine.

use std::net;

use pier_types::{reports, times::clocks};

use crate::{engine, fault, record, serve, serve::FakeApp as _};

/// A fake engine that serves until it is dropped.
///
/// ```
/// use pier_fakes::engine;
///
/// # async fn example() -> Result<(), Box<dyn std::error::Error>> {
/// let settings = engine::EngineSettings::new("vm-1".parse()?);
/// let server = engine::FakeEngine::builder(settings).launch().await?;
/// assert_eq!(server.report().vm.as_str(), "vm-1");
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct FakeEngine {
    server: serve::FakeServer<engine::EngineApp>,
}

impl FakeEngine {
    /// Returns a builder for an engine with the given settings.
    pub fn builder(settings: engine::EngineSettings) -> engine::EngineBuilder {
        engine::EngineBuilder::new(settings)
    }

    pub(crate) fn new(server: serve::FakeServer<engine::EngineApp>) -> Self {
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

    /// Returns the current report, without the `leaving` fault.
    pub fn report(&self) -> reports::EngineReport {
        serve::lock(&self.server.app.simulator).report(clocks::boot_now())
    }

    /// Returns the record of every call except reads of reports and cache events.
    pub fn record(&self) -> &record::RunRecord {
        &self.server.app.core().record
    }
}
