//! Minimal VMs that answer every request with the same report.

use std::net;

use pier_types::{epochs, ids, reports, sizes, vms};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Starts VMs and returns their entries for the VM list.
///
/// # Errors
///
/// Fails when a port cannot be bound.
pub async fn start(count: u32) -> anyhow::Result<Vec<vms::VmEntry>> {
    let mut entries = Vec::new();
    for number in 0..count {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let name = format!("vm-scot-central-a-{number:04}").parse()?;
        entries.push(entry(&name, number, listener.local_addr()?)?);
        tokio::spawn(accept(listener, answer(name)?));
    }
    Ok(entries)
}

fn entry(
    name: &ids::VmName,
    number: u32,
    address: net::SocketAddr,
) -> anyhow::Result<vms::VmEntry> {
    Ok(vms::VmEntry {
        name: name.clone(),
        incarnation: epochs::VmIncarnation::new(1),
        address,
        data_centre: "scot-central-a".parse()?,
        domain: format!("fabric-{}", number / 30).parse()?,
        pool: vms::VmPool::Accelerator,
        state: vms::VmState::Live,
    })
}

fn answer(vm: ids::VmName) -> anyhow::Result<String> {
    let report = reports::EngineReport {
        vm,
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::new(0),
        model: None,
        state: reports::EngineState::Empty,
        running: sizes::RequestCount::new(0),
        queued: sizes::RequestCount::new(0),
        is_leaving: false,
    };
    let report = serde_json::to_string(&report)?;
    Ok(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{report}",
        report.len()
    ))
}

async fn accept(listener: tokio::net::TcpListener, answer: String) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, answer.clone()));
    }
}

/// Answers every read with the report until the connection ends.
///
/// Probes have no body and are short, so that each arrives in a single read on loopback.
async fn serve(mut stream: tokio::net::TcpStream, answer: String) {
    let mut request = [0; 2_048];
    while stream
        .read(&mut request)
        .await
        .is_ok_and(|length| length > 0)
    {
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
