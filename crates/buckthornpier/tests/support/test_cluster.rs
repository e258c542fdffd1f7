//! A platform, engines, a service and nodes, each as a process.

use std::{net, process, sync::atomic};

use pier_fakes::{engine, record};
use serde_json::{Value, json};

use crate::support;

/// The size of a cluster and the speed of its fakes.
#[derive(Debug, Clone, Copy)]
pub struct ClusterPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Members of each replica group.
    pub members: usize,
    /// Number of VMs of the service.
    pub services: usize,
    /// Time for each token, in milliseconds.
    pub token_ms: u64,
    /// Time for each call of the service, in milliseconds.
    pub call_ms: u64,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 4,
            members: 2,
            services: 2,
            token_ms: 5,
            call_ms: 0,
        }
    }
}

/// The processes of one test.
#[derive(Debug)]
pub struct TestCluster {
    /// The platform.
    pub platform: support::FakeProcess,
    /// The engines.
    pub engines: Vec<support::FakeProcess>,
    /// The VMs of the service.
    pub services: Vec<support::FakeProcess>,
    /// The nodes.
    pub nodes: Vec<support::NodeProcess>,
}

impl TestCluster {
    /// Starts all processes and waits until every node serves the model and the service.
    pub async fn start(plan: ClusterPlan) -> Self {
        let ip = unique_address();
        let platform = support::FakeProcess::start("platform", ip, &[]).await;
        let token_ms = plan.token_ms.to_string();
        let call_ms = plan.call_ms.to_string();
        let mut engines = Vec::new();
        for number in 1..=plan.engines {
            let vm = format!("engine-{number}");
            let arguments = [
                "--vm",
                &vm,
                "--model",
                support::MODEL,
                "--token-ms",
                &token_ms,
            ];
            engines.push(support::FakeProcess::start("engine", ip, &arguments).await);
        }
        let mut services = Vec::new();
        for number in 1..=plan.services {
            let vm = format!("{}-{number}", support::SERVICE);
            let arguments = ["--vm", &vm, "--call-ms", &call_ms];
            services.push(support::FakeProcess::start("service", ip, &arguments).await);
        }
        let mut cluster = Self {
            platform,
            engines,
            services,
            nodes: Vec::new(),
        };
        cluster.publish(plan).await;
        let platform = cluster.platform.address;
        for _number in 0..plan.nodes {
            let node = support::NodeProcess::start(ip, &cluster.nodes, platform);
            cluster.nodes.push(node);
        }
        cluster.wait_until_served(plan.engines / plan.members).await;
        cluster
    }

    /// Returns the runs of all engines whose prompt contains a text.
    pub async fn runs_of(&self, text: &str) -> Vec<record::RecordEntry> {
        runs(&self.engines, text).await
    }

    /// Returns the calls that took effect on the service and whose body contains a text.
    pub async fn charges_of(&self, text: &str) -> Vec<record::RecordEntry> {
        runs(&self.services, text).await
    }

    /// Waits until an engine has produced tokens for a prompt and returns its index.
    pub async fn engine_running(&self, text: &str) -> usize {
        support::wait_for("engine that runs the prompt", async || {
            for (index, engine) in self.engines.iter().enumerate() {
                let runs = engine.runs_of(text).await;
                let active = |run: &record::RecordEntry| run.end == record::RunEnd::Active;
                if runs.iter().any(|run| active(run) && run.tokens > 0) {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    async fn publish(&self, plan: ClusterPlan) {
        let entry = |name: String, address: net::SocketAddr, pool: Value| {
            json!({
                "name": name, "incarnation": 1, "address": address, "data_centre": "mvd-a",
                "domain": "fabric-1", "pool": pool, "state": "live",
            })
        };
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            let name = format!("engine-{}", index + 1);
            entry(name, engine.address, json!("accelerator"))
        });
        let services = self.services.iter().enumerate().map(|(index, service)| {
            let name = format!("{}-{}", support::SERVICE, index + 1);
            entry(name, service.address, json!({"service": support::SERVICE}))
        });
        let entries: Vec<_> = engines.chain(services).collect();
        self.platform.set_vms(&entries).await;
        let groups = plan.engines / plan.members;
        let text = support::document_text(plan.nodes, groups, plan.members);
        let url = format!("http://{}/objects/config/document", self.platform.address);
        let write = support::client().put(url).header("If-Version", 0);
        let written = write.body(text).send().await.unwrap();
        assert_eq!(written.status(), 200);
    }

    /// Waits until each node is ready and has a share of every group and every service VM.
    async fn wait_until_served(&self, groups: usize) {
        let services = self.services.len();
        for node in &self.nodes {
            support::wait_for("node with a share of every target", async || {
                let shares = node.count_shared_targets().await;
                let all = shares == groups + services;
                (all && node.is_ready().await).then_some(())
            })
            .await;
        }
    }
}

/// Returns the complete answer that an engine gives to a prompt.
pub fn complete_answer(prompt: &str, tokens: u64) -> String {
    engine::AnswerText::new(prompt, tokens).whole()
}

async fn runs(fakes: &[support::FakeProcess], text: &str) -> Vec<record::RecordEntry> {
    let mut found = Vec::new();
    for fake in fakes {
        found.extend(fake.runs_of(text).await);
    }
    found
}

/// Returns a loopback address that no other test uses, so that fixed ports do not collide.
fn unique_address() -> net::Ipv4Addr {
    static COUNT: atomic::AtomicU8 = atomic::AtomicU8::new(1);
    let count = COUNT.fetch_add(1, atomic::Ordering::SeqCst);
    let [_, _, high, low] = process::id().to_be_bytes();
    net::Ipv4Addr::new(127, high | 1, low, count)
}
