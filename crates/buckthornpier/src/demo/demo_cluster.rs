//! The fakes and nodes of the demonstration.

use std::time;

use anyhow::Context as _;
use pier_fakes::{engine, fault, platform, record, service};
use pier_node::{daemon, settings};
use pier_types::{epochs, vms};

use crate::demo::demo_document;

/// Time that an engine takes for one token.
const TOKEN_TIME: time::Duration = time::Duration::from_millis(10);

/// The key with which nodes seal what they send each other. It need not be secret here, because all
/// nodes run in this process and use only loopback.
const PEER_KEY: &str = "only-nodes-of-the-demonstration-know-this";

/// A platform, engines, a service and nodes, all in this process.
#[derive(Debug)]
pub(super) struct DemoCluster {
    /// The platform.
    pub(super) platform: platform::FakePlatform,
    /// The engines.
    pub(super) engines: Vec<engine::FakeEngine>,
    /// The service that is not a model.
    pub(super) ledger: service::FakeService,
    /// The nodes.
    pub(super) nodes: Vec<daemon::NodeDaemon>,
}

impl DemoCluster {
    /// Starts fakes and nodes on ports that the system chooses.
    pub(super) async fn launch() -> anyhow::Result<Self> {
        let platform = platform::FakePlatform::builder().launch().await?;
        let mut engines = Vec::new();
        for number in 1..=demo_document::GROUPS * demo_document::MEMBERS {
            engines.push(launch_engine(number).await?);
        }
        let ledger = service::FakeService::builder("ledger-1".parse()?);
        let mut cluster = Self {
            platform,
            engines,
            ledger: ledger.launch().await?,
            nodes: Vec::new(),
        };
        cluster.publish().await?;
        for _number in 0..demo_document::NODES {
            cluster.add_node().await?;
        }
        Ok(cluster)
    }

    /// Sets a fault on every engine.
    pub(super) fn inject_engine_fault(&self, spec: &fault::FaultSpec) {
        for engine in &self.engines {
            engine.set_fault(spec.clone());
        }
    }

    /// Clears the faults of the platform and of every engine.
    pub(super) fn clear_faults(&self) {
        self.platform.clear_faults();
        for engine in &self.engines {
            engine.clear_faults();
        }
    }

    /// Returns the records of a prompt's runs on all engines.
    pub(super) fn runs_of(&self, prompt: &str) -> Vec<record::RecordEntry> {
        let entries = self
            .engines
            .iter()
            .flat_map(|engine| engine.record().entries());
        let runs = entries.filter(|entry| entry.started && entry.body_prefix.contains(prompt));
        runs.collect()
    }

    /// Returns how often the service ran a charge with this idempotency key.
    pub(super) fn charges_of(&self, key: &str) -> usize {
        let entries = self.ledger.record().entries();
        let runs = entries.iter();
        runs.filter(|entry| entry.started && entry.key.as_deref() == Some(key))
            .count()
    }

    /// Drains and stops every node.
    pub(super) async fn stop(self) {
        for node in self.nodes {
            node.drain().await;
        }
    }

    /// Gives the platform the VM list and the configuration document.
    async fn publish(&self) -> anyhow::Result<()> {
        let mut entries = Vec::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let name = format!("engine-{}", index + 1);
            entries.push(vm_entry(&name, engine.address(), vms::VmPool::Accelerator)?);
        }
        let pool = vms::VmPool::Service(demo_document::SERVICE.parse()?);
        entries.push(vm_entry("ledger-1", self.ledger.address(), pool)?);
        self.platform.set_vms(entries);
        let address = self.platform.address();
        let url = format!("http://{address}/objects/config/document");
        let client = reqwest::Client::builder().no_proxy().build()?;
        let request = client.put(url).header("If-Version", 0);
        let response = request.body(demo_document::text()).send().await?;
        response
            .error_for_status()
            .context("writing the document")?;
        Ok(())
    }

    async fn add_node(&mut self) -> anyhow::Result<()> {
        let seeds = self.nodes.iter().map(daemon::NodeDaemon::peers_address);
        let seeds: Vec<_> = seeds.map(|address| address.to_string()).collect();
        let text = format!(
            "[node]\ndata-centre = {}\nregion = demo\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\nseeds = {}\npeer-key = {PEER_KEY}\n\
             drain-notice-seconds = 0\n[platform]\nurl = http://{}\n",
            demo_document::DATA_CENTRE,
            seeds.join(", "),
            self.platform.address(),
        );
        let settings = settings::NodeSettings::parse(&text)?;
        self.nodes.push(daemon::NodeDaemon::launch(settings).await?);
        Ok(())
    }
}

async fn launch_engine(number: usize) -> anyhow::Result<engine::FakeEngine> {
    let mut settings = engine::EngineSettings::new(format!("engine-{number}").parse()?);
    settings.token_time = TOKEN_TIME;
    let builder = engine::FakeEngine::builder(settings);
    let builder = builder.preload(demo_document::MODEL.parse()?);
    Ok(builder.launch().await?)
}

fn vm_entry(
    name: &str,
    address: std::net::SocketAddr,
    pool: vms::VmPool,
) -> anyhow::Result<vms::VmEntry> {
    Ok(vms::VmEntry {
        name: name.parse()?,
        incarnation: epochs::VmIncarnation::new(1),
        address,
        data_centre: demo_document::DATA_CENTRE.parse()?,
        domain: "fabric-1".parse()?,
        pool,
        state: vms::VmState::Live,
    })
}
