//! `buckthornpier demo`: nodes, a fake platform and fake targets in one process on loopback.
//!
//! Nodes run the same code as in operation, and fakes the same as in tests; only their settings are
//! embedded. The demonstration checks nothing itself: each step prints the caller's answer and what
//! the fakes recorded.

mod demo_answer;
mod demo_caller;
mod demo_cluster;
mod demo_document;
mod demo_scenario;

use anyhow::Context as _;
use demo_answer::DemoAnswer;
use demo_caller::DemoCaller;
use demo_cluster::DemoCluster;
use demo_scenario::DemoScenario;

use crate::logs;

/// Runs the demonstration.
///
/// # Errors
///
/// Fails when a port cannot be bound or a node does not serve within the time limit.
pub(crate) fn run() -> anyhow::Result<()> {
    logs::start(log::LevelFilter::Error)?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.enable_all().build();
    let runtime = runtime.context("starting the threads")?;
    runtime.block_on(async {
        let cluster = DemoCluster::launch().await?;
        let scenario = DemoScenario::new(cluster)?;
        scenario.run().await
    })
}
