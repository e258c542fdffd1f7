//! Builds and starts a fake engine.

use std::net;

use pier_types::ids;

use crate::{engine, serve};

/// Builder of a [`engine::FakeEngine`].
#[derive(Debug, Clone)]
pub struct EngineBuilder {
    listen: net::SocketAddr,
    settings: engine::EngineSettings,
    model: Option<ids::ModelName>,
}

impl EngineBuilder {
    /// Creates a builder that listens on a loopback port chosen by the system.
    pub fn new(settings: engine::EngineSettings) -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            settings,
            model: None,
        }
    }

    /// Sets the listen address; with port 0 the system chooses the port.
    #[must_use]
    pub fn listen(mut self, listen: net::SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Starts the engine warm with a model, without a group.
    #[must_use]
    pub fn preload(mut self, model: ids::ModelName) -> Self {
        self.model = Some(model);
        self
    }

    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(self) -> Result<engine::FakeEngine, serve::FakeError> {
        let mut simulator = engine::EngineSimulator::new(self.settings);
        if let Some(name) = self.model {
            simulator.preload(name);
        }
        let make_app = |core| engine::EngineApp::new(simulator, core);
        let server = serve::FakeServer::launch(self.listen, make_app).await?;
        Ok(engine::FakeEngine::new(server))
    }
}
