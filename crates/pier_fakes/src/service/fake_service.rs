//! A running plain service.

use std::{net, sync};

use pier_types::ids;

use crate::{record, serve, service};

/// A plain service that serves until it is dropped.
#[derive(Debug)]
pub struct FakeService {
    app: sync::Arc<service::ServiceApp>,
    server: serve::RocketServer,
}

impl FakeService {
    /// Returns a builder for the service of one VM.
    pub fn builder(vm: ids::VmName) -> service::ServiceBuilder {
        service::ServiceBuilder::new(vm)
    }

    pub(crate) fn new(app: sync::Arc<service::ServiceApp>, server: serve::RocketServer) -> Self {
        Self { app, server }
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns the record of every call.
    pub fn record(&self) -> &record::RunRecord {
        &self.app.record
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.server.stop();
    }
}
