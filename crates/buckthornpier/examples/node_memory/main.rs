//! Prints what a node process's resident memory consists of, without and with VMs to watch.
//!
//! Starts a stand-in of the platform and small reporters of VMs in this process, and one node as a
//! process of its own: `cargo build --release && cargo run --release -p buckthornpier --example
//! node_memory`

mod memory_parts;
mod node_process;
mod vm_reporters;

use std::{io, io::Write, time};

use pier_fakes::platform;

/// VMs listed: none, those that a node of 45 probes of 450, and all, as the last node of the
/// largest data centre probes them.
const LISTED_VMS: [u32; 3] = [0, 30, 450];

/// Time until the memory of a node is taken as settled.
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
