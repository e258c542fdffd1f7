//! Starts the platform's node for crowds of callers, one crowd at a time.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{fs, net, path, process};

use crate::{standins, support};

/// The memory that the node's settings allow it, in MiB.
const MEMORY_MIB: u64 = 112;

/// The connections of callers that the node's settings allow.
const CONNECTIONS: usize = 256;

/// Descriptors that the node may have open while nothing is passed on: those of its callers and of its
/// own work.
pub const MAX_DESCRIPTORS: usize = CONNECTIONS + 64;

/// Descriptors that the node may have open while each caller's request is at a target.
pub const MAX_SERVING_DESCRIPTORS: usize = 2 * CONNECTIONS + 64;

/// Starts the program beside a store, and waits until it serves requests.
pub async fn start(
    name: &str,
    store: net::SocketAddr,
    max_descriptors: usize,
) -> support::CrowdedNode {
    let addresses: Vec<_> = (0..5).map(|_| support::free_address()).collect();
    let [callers, readiness, peers, forwards, metrics] = addresses[..] else {
        unreachable!("five addresses");
    };
    let text = format!(
        "[node]\nname = node-1\ndata_centre = zone-a\ndata_centres = zone-a\n\
         first_start = true\n[listen]\ncallers = {callers}\nreadiness = {readiness}\n\
         peers = {peers}\nforwards = {forwards}\nmetrics = {metrics}\n\
         [platform]\nstore = {store}\n\
         [limits]\nmemory_mib = {MEMORY_MIB}\ncores = 1\ncaller_connections = {CONNECTIONS}\n\
         [bounds]\ngrace_seconds = 5\nleaving_ms = 2000\nretry_ratio = 0.2\n\
         retry_burst = 100\nretry_window_seconds = 10\n[log]\nlevel = info\n"
    );
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("crowd-{name}.ini"));
    fs::write(&file, text).unwrap();
    let log = fs::File::create(folder.join(format!("crowd-{name}.log"))).unwrap();
    let child = process::Command::new(env!("CARGO_BIN_EXE_buckthornpier"))
        .args(["edge", "--settings"])
        .arg(file)
        .stdin(process::Stdio::null())
        .stdout(log)
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap();
    let plan = support::CrowdPlan {
        request_head: standins::request_head,
        body_size: standins::BODY_SIZE,
        memory_mib: MEMORY_MIB,
        max_descriptors,
    };
    support::CrowdedNode::watch(child, callers, plan).await
}
