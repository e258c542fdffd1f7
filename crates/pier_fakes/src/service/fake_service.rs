//! A running fake service.

use std::net;

use pier_types::ids;

use crate::{fault, record, serve, serve::FakeApp as _, service};

/// A fake plain service that serves until it is dropped.
#[derive(Debug)]
pub struct FakeService {
    server: serve::FakeServer<service::ServiceApp>,
}

impl FakeService {
    /// Returns a builder for the service of one VM.
    pub fn builder(vm: ids::VmName) -> service::ServiceBuilder {
        service::ServiceBuilder::new(vm)
    }

    pub(crate) fn new(server: serve::FakeServer<service::ServiceApp>) -> Self {
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

    /// Returns the record of every call except reads of reports.
    pub fn record(&self) -> &record::RunRecord {
        &self.server.app.core().record
    }
}
