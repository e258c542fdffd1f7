//! A fake target VM.

use std::net;

use pier_fakes::{engine, fault, record, service};
use pier_types::{epochs, ids, vms};

/// The fake server that runs on the VM.
#[derive(Debug)]
enum TargetServer {
    Engine(engine::FakeEngine),
    Service(service::FakeService),
}

/// A target VM and its entry in the VM list.
#[derive(Debug)]
pub struct BenchTarget {
    server: TargetServer,
    entry: vms::VmEntry,
}

impl BenchTarget {
    /// Starts a model engine.
    ///
    /// A preloaded engine has the bench's model loaded, but is cold and belongs to no group.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid or no port can be bound.
    pub async fn engine(
        settings: engine::EngineSettings,
        data_centre: &str,
        domain: &str,
        is_preloaded: bool,
    ) -> anyhow::Result<Self> {
        let name = settings.vm.clone();
        let mut builder = engine::FakeEngine::builder(settings);
        if is_preloaded {
            builder = builder.preload("draft".parse()?);
        }
        let server = builder.launch().await?;
        if is_preloaded {
            server.set_fault(fault::FaultSpec::new(fault::FaultKind::Cold));
        }
        let address = server.address();
        let entry = vm_entry(name, address, data_centre, domain, vms::VmPool::Accelerator)?;
        let server = TargetServer::Engine(server);
        Ok(Self { server, entry })
    }

    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid or no port can be bound.
    pub async fn service(
        name: &str,
        builder: service::ServiceBuilder,
        data_centre: &str,
        domain: &str,
    ) -> anyhow::Result<Self> {
        let server = builder.launch().await?;
        let pool = vms::VmPool::Service("ledger".parse()?);
        let entry = vm_entry(name.parse()?, server.address(), data_centre, domain, pool)?;
        let server = TargetServer::Service(server);
        Ok(Self { server, entry })
    }

    /// Returns the VM's entry in the VM list.
    pub fn entry(&self) -> &vms::VmEntry {
        &self.entry
    }

    /// Marks the VM as leaving.
    pub fn leave(&mut self) {
        self.entry.state = vms::VmState::Leaving;
    }

    /// Injects a fault.
    pub fn set_fault(&self, spec: fault::FaultSpec) {
        match &self.server {
            TargetServer::Engine(server) => server.set_fault(spec),
            TargetServer::Service(server) => server.set_fault(spec),
        }
    }

    /// Returns the requests that reached the target, without orders to its group.
    pub fn record(&self) -> Vec<record::RecordEntry> {
        let record = match &self.server {
            TargetServer::Engine(server) => server.record(),
            TargetServer::Service(server) => server.record(),
        };
        let entries = record.entries().into_iter();
        entries.filter(|entry| entry.path != "orders").collect()
    }
}

fn vm_entry(
    name: ids::VmName,
    address: net::SocketAddr,
    data_centre: &str,
    domain: &str,
    pool: vms::VmPool,
) -> anyhow::Result<vms::VmEntry> {
    Ok(vms::VmEntry {
        name,
        incarnation: epochs::VmIncarnation::new(1),
        address,
        data_centre: data_centre.parse()?,
        domain: domain.parse()?,
        pool,
        state: vms::VmState::Live,
    })
}
