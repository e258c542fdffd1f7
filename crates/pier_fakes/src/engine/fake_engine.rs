//! A running engine.

use std::net;

use pier_types::{reports, times::clocks};

use crate::{engine, fault, record, serve, serve::FakeApp as _};

/// An engine that serves until it is dropped.
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
    /// Returns a builder for an engine with the given properties.
    pub fn builder(settings: engine::EngineSettings) -> engine::EngineBuilder {
        engine::EngineBuilder::new(settings)
    }

    pub(crate) fn new(server: serve::FakeServer<engine::EngineApp>) -> Self {
        Self { server }
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns where its control endpoints answer, whatever fault is set.
    pub fn control_address(&self) -> net::SocketAddr {
        self.server.control
    }

    /// Sets a fault.
    pub fn set_fault(&self, spec: fault::FaultSpec) {
        self.server.app.set_fault(spec);
    }

    /// Ends every fault.
    pub fn clear_faults(&self) {
        self.server.app.core().clear();
    }

    /// Returns its report as a node would read it now.
    pub fn report(&self) -> reports::EngineReport {
        serve::lock(&self.server.app.simulator).report(clocks::boot_now())
    }

    /// Returns the record of every call but reports.
    pub fn record(&self) -> &record::RunRecord {
        &self.server.app.core().record
    }
}
