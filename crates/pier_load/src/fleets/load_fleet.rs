//! A running fleet.

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

/// Time between two looks at a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Generous bound on a condition that has to come true.
const CONDITION_TIMEOUT: time::Duration = time::Duration::from_mins(2);

/// A platform, and the nodes and engines of each data centre; all end with the value.
#[derive(Debug)]
pub struct LoadFleet {
    plan: fleets::FleetPlan,
    platform: platform::FakePlatform,
    objects: objects::ObjectClient,
    nodes: Vec<daemon::NodeDaemon>,
    engines: fleets::EngineSet,
}

impl LoadFleet {
    /// Starts everything; nothing is served yet.
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

    /// Returns a sender of calls that any node may get.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client can not be made.
    pub fn sender(&self) -> anyhow::Result<calls::CallSender> {
        let nodes = self.nodes.iter();
        let entries = nodes.map(daemon::NodeDaemon::callers_address).collect();
        calls::CallSender::new(entries, fleets::BEARER_KEY, fleets::MODEL_NAME)
    }

    /// Waits until every node may send to every engine of its data centre.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen.
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

    /// Takes a data centre out of service or back, as the operators' command does: an edit of the
    /// present document, written on condition that it is still present. Returns when it was accepted.
    ///
    /// # Errors
    ///
    /// Fails when the edit is refused or the platform does not take it.
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

    /// Waits until no node of a data centre starts new work there; returns when that was seen.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen.
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

    /// Tells whether a node of a data centre may send to an engine.
    ///
    /// # Errors
    ///
    /// Fails when the model's name breaks the rules.
    pub fn has_targets(&self, data_centre: &str) -> anyhow::Result<bool> {
        let pool = routes::PoolKey::Model(fleets::MODEL_NAME.parse()?);
        let mut local_nodes = self.local_nodes(data_centre);
        Ok(local_nodes.any(|node| !node.routes().targets(&pool).is_empty()))
    }

    /// Tells whether every node of a data centre still starts new work there.
    pub fn is_open(&self, data_centre: &str) -> bool {
        self.local_nodes(data_centre)
            .all(|node| node.shift().is_open())
    }

    /// Tells whether every node of a data centre sends a part of new work elsewhere.
    pub fn is_shifting(&self, data_centre: &str) -> bool {
        let mut local_nodes = self.local_nodes(data_centre);
        local_nodes.all(|node| node.shift().weight < shifts::ShiftWeight::WHOLE)
    }

    /// Stops every node gracefully.
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
    /// Fails when it does not come true.
    pub async fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) -> anyhow::Result<()> {
        let waiting = async {
            while !holds() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(CONDITION_TIMEOUT, waiting).await;
        waited.with_context(|| format!("waited in vain for {what}"))
    }
}
