//! The steps of the demonstration.

use std::{net, time};

use anyhow::Context as _;
use pier_fakes::{fault, record};
use pier_types::times::clocks;

use crate::{
    demo::{self, demo_document},
    output,
};

/// Longest wait until a node serves.
const READY_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Time between two tries while a node does not serve yet.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Tokens after which the faulty engine closes its stream.
const TOKENS_BEFORE_BREAK: u64 = 5;

/// Sends requests in normal operation and under some faults, and prints the outcomes.
#[derive(Debug)]
pub(super) struct DemoScenario {
    cluster: demo::DemoCluster,
    caller: demo::DemoCaller,
    nodes: Vec<net::SocketAddr>,
}

impl DemoScenario {
    /// Creates a scenario for a running cluster.
    pub(super) fn new(cluster: demo::DemoCluster) -> anyhow::Result<Self> {
        let nodes = cluster.nodes.iter();
        let nodes = nodes.map(pier_node::daemon::NodeDaemon::callers_address);
        Ok(Self {
            nodes: nodes.collect(),
            caller: demo::DemoCaller::new()?,
            cluster,
        })
    }

    /// Runs every step, then stops the nodes.
    pub(super) async fn run(self) -> anyhow::Result<()> {
        self.wait_until_served().await?;
        self.show_draft().await?;
        self.show_stream().await?;
        self.show_broken_engine().await?;
        self.show_one_time().await?;
        self.show_outage().await?;
        self.show_refusal().await?;
        output::line("\nStopping the nodes: each finishes what it began.");
        // The caller's idle connections would keep the nodes' servers from closing.
        drop(self.caller);
        self.cluster.stop().await;
        output::line("Done.");
        Ok(())
    }

    async fn wait_until_served(&self) -> anyhow::Result<()> {
        output::line(format_args!(
            "Started a platform, {} engines, a ledger and {} nodes in this process.",
            self.cluster.engines.len(),
            self.nodes.len()
        ));
        for node in &self.nodes {
            output::line(format_args!("  node for callers: http://{node}"));
            let serving = tokio::time::timeout(READY_TIMEOUT, self.poll(*node)).await;
            serving.with_context(|| format!("node {node} serves nothing"))?;
        }
        Ok(())
    }

    async fn poll(&self, node: net::SocketAddr) {
        let model = demo_document::MODEL;
        loop {
            let answer = self.caller.chat(node, model, "Are you there?", false).await;
            if answer.is_ok_and(|answer| answer.is_complete) {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    async fn show_draft(&self) -> anyhow::Result<()> {
        output::line("\n1. A draft, answered whole, through the first node.");
        self.chat(0, "Draft a letter for a nominee.", false).await
    }

    async fn show_stream(&self) -> anyhow::Result<()> {
        output::line("\n2. A streamed answer through the second node.");
        self.chat(1, "Summarise the meter log of cabinet 7.", true)
            .await
    }

    async fn show_broken_engine(&self) -> anyhow::Result<()> {
        output::line(format_args!(
            "\n3. A streamed answer whose engine breaks off after {TOKENS_BEFORE_BREAK} tokens."
        ));
        let broken_stream = fault::FaultKind::HalfAnswer {
            tokens: TOKENS_BEFORE_BREAK,
            clean_end: false,
        };
        let spec = fault::FaultSpec::new(broken_stream).count(1).path("v1/");
        self.cluster.inject_engine_fault(&spec);
        let shown = self.chat(0, "Check the wording of rule 12.", true).await;
        self.cluster.clear_faults();
        shown
    }

    async fn show_one_time(&self) -> anyhow::Result<()> {
        output::line("\n4. A charge that may run only once, sent twice, through both nodes.");
        let key = unique_key("charge");
        for node in &self.nodes {
            let answer = self.caller.charge(*node, &key).await?;
            output::line(format_args!("  caller: {answer}"));
        }
        self.show_charges(&key);
        Ok(())
    }

    async fn show_outage(&self) -> anyhow::Result<()> {
        output::line("\n5. The platform is away: a new charge, and a draft.");
        let down = fault::FaultKind::Down { for_ms: None };
        self.cluster.platform.set_fault(fault::FaultSpec::new(down));
        let key = unique_key("outage");
        let answer = self.caller.charge(self.nodes[0], &key).await?;
        output::line(format_args!("  caller: {answer}"));
        self.show_charges(&key);
        let shown = self.chat(1, "Draft an answer to a dispute.", false).await;
        self.cluster.clear_faults();
        shown
    }

    async fn show_refusal(&self) -> anyhow::Result<()> {
        output::line("\n6. A model that nobody configured.");
        let prompt = "Is anyone there?";
        let answer = self.caller.chat(self.nodes[0], "nobody", prompt, false);
        output::line(format_args!("  caller: {}", answer.await?));
        Ok(())
    }

    async fn chat(&self, node: usize, prompt: &str, stream: bool) -> anyhow::Result<()> {
        let address = self.nodes[node];
        let model = demo_document::MODEL;
        let answer = self.caller.chat(address, model, prompt, stream).await?;
        output::line(format_args!("  caller: {answer}"));
        for run in self.cluster.runs_of(prompt) {
            show_run(&run);
        }
        Ok(())
    }

    fn show_charges(&self, key: &str) {
        let runs = self.cluster.charges_of(key);
        output::line(format_args!("  ledger: ran it {runs} times"));
    }
}

fn show_run(run: &record::RecordEntry) {
    let tokens = run.tokens;
    let effect = if run.effect.is_empty() {
        "running"
    } else {
        &run.effect
    };
    output::line(format_args!("  engine: {tokens} tokens, {effect}"));
}

fn unique_key(name: &str) -> String {
    format!("{}-demo_{name}", clocks::wall_now())
}
