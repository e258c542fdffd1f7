//! A running fleet under test.

use std::time;

use anyhow::Context as _;
use futures_util::future;
use pier_config::{documents, edits};
use pier_fakes::platform;
use pier_limits::shifts;
use pier_node::{daemon, handle, settings};
use pier_platform::objects;
use pier_types::{epochs, routes, sizes, times, times::clocks};

use crate::{calls, fleets};

/// Interval at which a condition is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time within which an awaited condition must hold; generous, so that a slow machine passes.
const CONDITION_TIMEOUT: time::Duration = time::Duration::from_mins(2);

/// A platform, and the nodes and engines of each data centre; dropping the fleet stops them.
#[derive(Debug)]
pub struct LoadFleet {
    plan: fleets::FleetPlan,
    platform: platform::FakePlatform,
    objects: objects::ObjectClient,
    nodes: Vec<daemon::NodeDaemon>,
    engines: fleets::EngineSet,
}

impl LoadFleet {
    /// Starts all parts; does not wait until they serve.
    ///
    /// # Errors
    ///
    /// Fails when a part does not start.
    pub async fn launch(plan: fleets::FleetPlan) -> anyhow::Result<Self> {
        let platform = platform::FakePlatform::builder().launch().await?;
        let objects = objects::ObjectClient::new(&format!("http://{}", platform.address()))?;
        let (engines, list) = fleets::EngineSet::launch(&plan).await?;
        platform.set_vms(list);
        let mut fleet = Self {
            plan,
            platform,
            objects,
            nodes: Vec::new(),
            engines,
        };
        let text = fleets::FleetDocument::text(&fleet.plan);
        let _document: documents::ConfigDocument = text.parse()?;
        fleet.write(epochs::ObjectVersion::new(0), text).await?;
        fleet.start_nodes().await?;
        Ok(fleet)
    }

    /// Returns the engines.
    pub const fn engines(&self) -> &fleets::EngineSet {
        &self.engines
    }

    /// Returns a sender that distributes calls over all nodes.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be created.
    pub fn sender(&self) -> anyhow::Result<calls::CallSender> {
        let nodes = self.nodes.iter();
        let entries = nodes.map(daemon::NodeDaemon::callers_address).collect();
        calls::CallSender::new(entries, fleets::BEARER_KEY, fleets::MODEL_NAME)
    }

    /// Waits until every node may send to every engine of its data centre.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen in time.
    pub async fn wait_for_shares(&self) -> anyhow::Result<()> {
        let pool = routes::PoolKey::Model(fleets::MODEL_NAME.parse()?);
        let engines = self.plan.engines as usize;
        self.wait("shares", || {
            self.nodes.iter().all(|node| {
                let table = node.handle().routes();
                let targets = table.targets(&pool).iter();
                let usable = targets.filter(|target| target.share > sizes::RequestCount::new(0));
                usable.count() == engines
            })
        })
        .await
    }

    /// Takes a data centre out of service or back, and returns when the platform accepted it.
    ///
    /// Does what the operators' command does: edits the current document and writes it on condition
    /// that its version has not changed.
    ///
    /// # Errors
    ///
    /// Fails when the edit is invalid or the platform does not accept it.
    pub async fn set_state(
        &self,
        data_centre: &str,
        state: documents::DataCentreState,
    ) -> anyhow::Result<times::BootTime> {
        let read = self.objects.read(documents::DOCUMENT_KEY).await;
        let objects::ReadResult::Found { version, bytes } = read else {
            anyhow::bail!("no document: {read:?}");
        };
        let edit = edits::DocumentEdit::DataCentre {
            name: data_centre.parse()?,
            state,
            even_last: false,
        };
        let text = edit.apply(std::str::from_utf8(&bytes)?)?;
        self.write(version, text).await?;
        Ok(clocks::boot_now())
    }

    /// Waits until no node of a data centre starts new work there; returns when that was observed.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen in time.
    pub async fn wait_until_closed(&self, data_centre: &str) -> anyhow::Result<times::BootTime> {
        let pool = routes::PoolKey::Model(fleets::MODEL_NAME.parse()?);
        self.wait("the end of new work", || {
            let mut local_nodes = self.local_nodes(data_centre);
            local_nodes
                .all(|node| !node.shift().is_open() && node.routes().targets(&pool).is_empty())
        })
        .await?;
        Ok(clocks::boot_now())
    }

    /// Returns whether any node of a data centre has a target.
    ///
    /// # Errors
    ///
    /// Fails when the model name is invalid.
    pub fn has_targets(&self, data_centre: &str) -> anyhow::Result<bool> {
        let pool = routes::PoolKey::Model(fleets::MODEL_NAME.parse()?);
        let mut local_nodes = self.local_nodes(data_centre);
        Ok(local_nodes.any(|node| !node.routes().targets(&pool).is_empty()))
    }

    /// Returns whether every node of a data centre still starts new work there.
    pub fn is_open(&self, data_centre: &str) -> bool {
        self.local_nodes(data_centre)
            .all(|node| node.shift().is_open())
    }

    /// Returns whether every node of a data centre sends some of its new work elsewhere.
    pub fn is_shifting(&self, data_centre: &str) -> bool {
        let mut local_nodes = self.local_nodes(data_centre);
        local_nodes.all(|node| node.shift().weight < shifts::ShiftWeight::WHOLE)
    }

    /// Shuts down all nodes gracefully.
    pub async fn stop(self) {
        let stopping = self.nodes.into_iter().map(daemon::NodeDaemon::drain);
        future::join_all(stopping).await;
    }

    /// Returns the nodes of a data centre.
    fn local_nodes(&self, data_centre: &str) -> impl Iterator<Item = &handle::NodeHandle> {
        let handles = self.nodes.iter().map(daemon::NodeDaemon::handle);
        handles.filter(move |node| node.settings().data_centre.as_str() == data_centre)
    }

    async fn start_nodes(&mut self) -> anyhow::Result<()> {
        for data_centre in self.plan.data_centres.clone() {
            for _number in 0..self.plan.nodes {
                let settings = settings::NodeSettings::parse(&self.settings_text(&data_centre))?;
                let builder = daemon::NodeBuilder::new(settings).shift(self.plan.shift);
                self.nodes.push(builder.launch().await?);
            }
        }
        Ok(())
    }

    fn settings_text(&self, data_centre: &str) -> String {
        let seeds = self.nodes.iter();
        let seeds: Vec<String> = seeds.map(|node| node.peers_address().to_string()).collect();
        format!(
            "[node]\ndata-centre = {data_centre}\nregion = load\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\nseeds = {}\n\
             peer-key = 0123456789abcdef0123456789abcdef\ndrain-notice-seconds = 0\n\
             [platform]\nurl = http://{}\n",
            seeds.join(", "),
            self.platform.address(),
        )
    }

    async fn write(&self, version: epochs::ObjectVersion, text: String) -> anyhow::Result<()> {
        let key = documents::DOCUMENT_KEY;
        let written = self.objects.write(key, version, text.into()).await;
        let accepted = matches!(written, objects::WriteResult::Written(_));
        anyhow::ensure!(accepted, "the document was not written: {written:?}");
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold in time.
    pub async fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) -> anyhow::Result<()> {
        let waiting = async {
            while !holds() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(CONDITION_TIMEOUT, waiting).await;
        waited.with_context(|| format!("timed out waiting for {what}"))
    }
}
