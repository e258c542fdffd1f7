//! How an engine is set up.

use std::net;

use pier_types::ids;

use crate::{engine, serve};

/// Sets up an engine.
#[derive(Debug, Clone)]
pub struct EngineBuilder {
    listen: net::SocketAddr,
    settings: engine::EngineSettings,
    model: Option<ids::ModelName>,
}

impl EngineBuilder {
    /// Starts with a port that the system chooses.
    pub fn new(settings: engine::EngineSettings) -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            settings,
            model: None,
        }
    }

    /// Sets where it listens; port 0 lets the system choose.
    #[must_use]
    pub fn listen(mut self, listen: net::SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Makes it warm with a model from the start, in no group.
    #[must_use]
    pub fn preload(mut self, model: ids::ModelName) -> Self {
        self.model = Some(model);
        self
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can not be bound.
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
