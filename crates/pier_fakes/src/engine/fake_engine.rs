//! A running engine.

use std::{net, sync};

use pier_types::{reports, times::clocks};

use crate::{engine, record, serve};

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
    app: sync::Arc<engine::EngineApp>,
    server: serve::RocketServer,
}

impl FakeEngine {
    /// Returns a builder for an engine with the given properties.
    pub fn builder(settings: engine::EngineSettings) -> engine::EngineBuilder {
        engine::EngineBuilder::new(settings)
    }

    pub(crate) fn new(app: sync::Arc<engine::EngineApp>, server: serve::RocketServer) -> Self {
        Self { app, server }
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns its report as a node would read it now.
    pub fn report(&self) -> reports::EngineReport {
        serve::lock(&self.app.model).report(clocks::boot_now())
    }

    /// Returns the record of every call but reports.
    pub fn record(&self) -> &record::RunRecord {
        &self.app.record
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.server.stop();
    }
}
