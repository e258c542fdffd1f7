//! `buckthornpier demo`: everything in one process on loopback, for a first look.
//!
//! Stand-ins and nodes are the ordinary ones; only their settings are embedded. Nothing is judged
//! here: each step prints what its caller was told beside what the stand-ins recorded.

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
/// Fails when a port can not be bound or nothing serves in time.
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
