//! The test bench: nodes, targets and a platform.

use std::{collections, net, time};

use anyhow::Context as _;
use pier_fakes::{engine, fault, platform, service};
use pier_types::{routes, vms};

use crate::{bench, links};

/// Interval at which a condition is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time within which an awaited condition must hold; generous, so that a slow machine passes.
const CONDITION_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// The nodes, targets and platform of one play, in one process.
#[derive(Debug)]
pub struct TestBench {
    platform: platform::FakePlatform,
    document: bench::BenchDocument,
    nodes: collections::BTreeMap<String, bench::BenchNode>,
    targets: collections::BTreeMap<String, bench::BenchTarget>,
    links: Option<links::LinkSet>,
    /// Key that only this bench's nodes share.
    ///
    /// A node of another bench may get the port of a killed node; the key keeps the two apart.
    peer_key: String,
    client: reqwest::Client,
}

impl TestBench {
    /// Starts a platform that holds the configuration of some data centres.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn launch(data_centres: &[&str]) -> anyhow::Result<Self> {
        let bench = Self {
            platform: platform::FakePlatform::builder().launch().await?,
            document: bench::BenchDocument::new(data_centres.iter().copied()),
            nodes: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
            links: None,
            peer_key: bench::NodePlan::unique_key(),
            client: reqwest::Client::builder().no_proxy().build()?,
        };
        bench.write_document().await?;
        Ok(bench)
    }

    /// Returns the nodes by name.
    pub fn nodes(&self) -> &collections::BTreeMap<String, bench::BenchNode> {
        &self.nodes
    }

    /// Returns a node.
    ///
    /// # Errors
    ///
    /// Fails when there is none with this name.
    pub fn node_mut(&mut self, name: &str) -> anyhow::Result<&mut bench::BenchNode> {
        self.nodes
            .get_mut(name)
            .with_context(|| format!("no node {name}"))
    }

    /// Returns the targets by name.
    pub fn targets(&self) -> &collections::BTreeMap<String, bench::BenchTarget> {
        &self.targets
    }

    /// Returns a target.
    ///
    /// # Errors
    ///
    /// Fails when there is none with this name.
    pub fn target_mut(&mut self, name: &str) -> anyhow::Result<&mut bench::BenchTarget> {
        self.targets
            .get_mut(name)
            .with_context(|| format!("no target {name}"))
    }

    /// Returns the platform.
    pub fn platform(&self) -> &platform::FakePlatform {
        &self.platform
    }

    /// Connects the nodes that start from now on by links that can be cut.
    ///
    /// # Errors
    ///
    /// Fails when a node runs already, since traffic to it would bypass the links.
    pub fn add_links(&mut self) -> anyhow::Result<()> {
        anyhow::ensure!(
            self.nodes.is_empty(),
            "links must be added before the first node"
        );
        let links = links::LinkSet::new(self.platform.address(), self.peer_key.parse()?);
        self.links = Some(links);
        Ok(())
    }

    /// Returns the links.
    ///
    /// # Errors
    ///
    /// Fails when there are none.
    pub fn links(&self) -> anyhow::Result<&links::LinkSet> {
        self.links.as_ref().context("the play did not add links")
    }

    /// Starts a node in a data centre.
    ///
    /// # Errors
    ///
    /// Fails when the node does not start.
    pub async fn add_node(&mut self, name: &str, data_centre: &str) -> anyhow::Result<()> {
        let platform = match &mut self.links {
            Some(links) => links.add_node(name).await?,
            None => self.platform.address(),
        };
        let plan = bench::NodePlan {
            data_centre: data_centre.to_owned(),
            seeds: self.seeds_of(name),
            peer_key: self.peer_key.clone(),
            platform,
        };
        let node = bench::BenchNode::launch(&plan.settings()).await?;
        if let Some(links) = &self.links {
            links.set_bound(name, node.peers());
        }
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    /// Returns the addresses at which a new node reaches the running ones.
    fn seeds_of(&self, name: &str) -> Vec<net::SocketAddr> {
        let running = self.nodes.iter().filter(|(_, node)| node.is_running());
        let address = |(other, node): (&String, &bench::BenchNode)| match &self.links {
            Some(links) => links.seen(name, other),
            None => Some(node.peers()),
        };
        running.filter_map(address).collect()
    }

    /// Starts an engine and adds its VM to the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not start.
    pub async fn add_engine(
        &mut self,
        settings: engine::EngineSettings,
        data_centre: &str,
        domain: &str,
        is_preloaded: bool,
    ) -> anyhow::Result<()> {
        let name = settings.vm.to_string();
        let launching = bench::BenchTarget::engine(settings, data_centre, domain, is_preloaded);
        let target = launching.await?;
        self.targets.insert(name, target);
        self.publish_list();
        Ok(())
    }

    /// Starts a plain service and adds its VM to the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the service does not start.
    pub async fn add_service(
        &mut self,
        name: &str,
        call_time: time::Duration,
        data_centre: &str,
    ) -> anyhow::Result<()> {
        let builder = service::FakeService::builder(name.parse()?).call_time(call_time);
        let target = bench::BenchTarget::service(name, builder, data_centre, "plain").await?;
        self.targets.insert(name.to_owned(), target);
        self.publish_list();
        Ok(())
    }

    /// Injects a fault into the platform or a target.
    ///
    /// # Errors
    ///
    /// Fails when there is no target with this name or the fault does not parse.
    pub fn set_fault(&mut self, name: &str, json: &str) -> anyhow::Result<()> {
        let spec: fault::FaultSpec = serde_json::from_str(json)?;
        if name == "platform" {
            self.platform.set_fault(spec);
            return Ok(());
        }
        self.target_mut(name)?.set_fault(spec);
        Ok(())
    }

    /// Publishes the current state of all targets as the VM list.
    pub fn publish_list(&self) {
        let targets = self.targets.values();
        let entries: Vec<vms::VmEntry> = targets.map(|target| target.entry().clone()).collect();
        self.platform.set_vms(entries);
    }

    /// Replaces a part of the configuration, as an operator would.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not accept the document.
    pub async fn edit_document(&mut self, from: &str, to: &str) -> anyhow::Result<()> {
        self.document.replace(from, to);
        self.write_document().await
    }

    /// Waits until every running node has a target with a share above 0 in a pool.
    ///
    /// # Errors
    ///
    /// Fails when that does not happen in time.
    pub async fn wait_for_routes(&self, pool: &routes::PoolKey) -> anyhow::Result<()> {
        self.wait(&format!("routes to {pool}"), || {
            let nodes = self.nodes.values().filter(|node| node.is_running());
            let mut tables = nodes.map(|node| node.handle().routes());
            tables.all(|table| {
                table
                    .targets(pool)
                    .iter()
                    .any(|target| target.share.get() > 0)
            })
        })
        .await
    }

    /// Waits for a condition.
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

    /// Returns the addresses of all targets.
    pub fn target_addresses(&self) -> Vec<net::SocketAddr> {
        let targets = self.targets.values();
        targets.map(|target| target.entry().address).collect()
    }

    /// Overwrites the stored document, whatever its version.
    ///
    /// Uses the platform's control address, which injected faults do not affect.
    async fn write_document(&self) -> anyhow::Result<()> {
        let address = self.platform.control_address();
        let url = format!("http://{address}/objects/config/document");
        let current = self.client.get(&url).send().await?;
        let version = current.headers().get("x-object-version");
        let version = version.and_then(|value| value.to_str().ok()).unwrap_or("0");
        let writing = self.client.put(&url).header("if-version", version);
        let text = self.document.text().to_owned();
        writing.body(text).send().await?.error_for_status()?;
        Ok(())
    }
}
