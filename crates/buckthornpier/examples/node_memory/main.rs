//! Prints the parts of a node's resident memory, without and with VMs to probe.
//!
//! Runs a fake platform and minimal VMs in this process, and one node as a process of its own:
//! `cargo build --release && cargo run --release -p buckthornpier --example node_memory`

mod memory_parts;
mod node_process;
mod vm_reporters;

use std::{io, io::Write, time};

use pier_fakes::platform;

/// Numbers of VMs to measure with: none, a node's part of 450 VMs in a data centre of 45 nodes, and
/// all 450, which the last remaining node of the largest data centre has to probe.
const LISTED_VMS: [u32; 3] = [0, 30, 450];

/// Time after a change of the VM list until the node's memory is read.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(12);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}", memory_parts::HEADING)?;
    let reporters = vm_reporters::start(LISTED_VMS[2]).await?;
    let server = platform::FakePlatform::builder().launch().await?;
    let mut node = node_process::NodeProcess::start(server.address())?;
    for listed in LISTED_VMS {
        server.set_vms(reporters[..usize::try_from(listed)?].to_vec());
        tokio::time::sleep(SETTLE_TIME).await;
        let parts = memory_parts::MemoryParts::read(node.id())?;
        writeln!(out, "{listed:>4} {parts}")?;
    }
    node.stop()
}
