//! The node daemon: connects the decision logic of the other crates to callers, targets, peers and
//! the platform.
//!
//! The path of a request: [`callers`] reads it, [`requests`] selects a target and dispatches it, and
//! the target's answer returns the same way. [`tables`] publishes the data that requests read, so
//! nothing on this path waits for a control loop.

pub mod callers;
pub mod configs;
pub mod control;
pub mod daemon;
pub mod forwards;
pub mod handle;
pub mod operators;
pub mod peers;
pub mod probes;
pub mod requests;
pub mod settings;
pub mod tables;
pub mod telemetry;

use std::{num, path, thread};

use anyhow::Context as _;

/// Maximum number of worker threads; each keeps about a megabyte of heap resident.
const MAX_THREADS: usize = 4;

/// Memory of the node for each worker thread, in bytes. What one thread allocates and another frees stays
/// resident until the first allocates again, so that a small node is kept within its memory by few threads.
const THREAD_MEMORY_BYTES: u64 = 64 << 20;

/// Runs a node with the settings from a file until it was told to stop and has drained.
///
/// # Errors
///
/// Fails when the settings are refused or a port cannot be bound; nothing was started then.
pub fn run(path: &path::Path) -> anyhow::Result<()> {
    let settings = settings::NodeSettings::load(path)?;
    let cores = thread::available_parallelism().map_or(1, num::NonZero::get);
    let memory = settings.limits.memory(settings::MachineSize::load());
    let for_memory = usize::try_from(memory.get() / THREAD_MEMORY_BYTES).unwrap_or(MAX_THREADS);
    let runtime = rocket::tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cores.min(MAX_THREADS).min(for_memory).max(1))
        .enable_all()
        .build()
        .context("starting the threads")?;
    runtime.block_on(daemon::NodeDaemon::run_until_signal(path, settings))
}
