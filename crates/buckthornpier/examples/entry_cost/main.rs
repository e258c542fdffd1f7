//! Measures the latency that a node adds to a call and the CPU time that a call takes there.
//!
//! Starts fakes and one node as processes, then sends the same calls directly to an engine and
//! through the node:
//! `cargo build --release && cargo run --release -p buckthornpier --example entry_cost`

mod load_client;
mod process_set;

use std::time;

use anyhow::Context as _;

/// Calls of each latency measurement.
const LATENCY_CALLS: usize = 2_000;

/// Calls in flight at once in the throughput measurement.
const THROUGHPUT_CLIENTS: usize = 8;

/// Calls that each client of the throughput measurement sends; the first reach an idle node.
const CALLS_PER_CLIENT: usize = 500;

/// Streams in flight at once in the token measurement.
const STREAM_CLIENTS: usize = 8;

/// Streams that each client of the token measurement reads.
const STREAMS_PER_CLIENT: usize = 6;

/// Tokens of each stream.
const STREAM_TOKENS: usize = 1_000;

/// Duration of the idle measurement, and of the rest before the others.
const IDLE_TIME: time::Duration = time::Duration::from_secs(10);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let processes = process_set::ProcessSet::launch().await?;
    let direct = load_client::LoadClient::new(processes.engine_address());
    let (group, generation) = processes.engine_group();
    let direct = direct.group(group, generation);
    let routed = load_client::LoadClient::new(processes.node_address());
    print_latency(&direct, &routed).await?;
    print_throughput(&processes, &routed).await?;
    print_tokens(&processes, &routed).await?;
    print_idle(&processes).await
}

async fn print_latency(
    direct: &load_client::LoadClient,
    routed: &load_client::LoadClient,
) -> anyhow::Result<()> {
    direct.calls(LATENCY_CALLS / 10, 1).await?;
    routed.calls(LATENCY_CALLS / 10, 1).await?;
    let direct = direct.calls(LATENCY_CALLS, 1).await?;
    let routed = routed.calls(LATENCY_CALLS, 1).await?;
    for quantile in [0.5, 0.95] {
        let (base, through) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "latency quantile={quantile} direct_us={base} node_us={through} ratio={:.2} added_us={}",
            ratio(through, base),
            through.saturating_sub(base),
        );
    }
    Ok(())
}

async fn print_throughput(
    processes: &process_set::ProcessSet,
    routed: &load_client::LoadClient,
) -> anyhow::Result<()> {
    tokio::time::sleep(IDLE_TIME).await;
    let before = processes.node_cpu()?;
    let started = time::Instant::now();
    let clients = (0..THROUGHPUT_CLIENTS).map(|_client| routed.calls(CALLS_PER_CLIENT, 1));
    for client in futures_util::future::join_all(clients).await {
        client?;
    }
    let cpu = processes.node_cpu()?.saturating_sub(before);
    let calls = THROUGHPUT_CLIENTS * CALLS_PER_CLIENT;
    println!(
        "calls calls={calls} refused={} seconds={:.2} cpu_us_a_call={:.0} calls_a_second_a_core={:.0}",
        routed.take_refusals(),
        started.elapsed().as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / calls as f64,
        calls as f64 / cpu.as_secs_f64(),
    );
    Ok(())
}

async fn print_tokens(
    processes: &process_set::ProcessSet,
    routed: &load_client::LoadClient,
) -> anyhow::Result<()> {
    tokio::time::sleep(IDLE_TIME).await;
    let before = processes.node_cpu()?;
    let started = time::Instant::now();
    let clients =
        (0..STREAM_CLIENTS).map(|_client| routed.streams(STREAMS_PER_CLIENT, STREAM_TOKENS));
    for client in futures_util::future::join_all(clients).await {
        client?;
    }
    let cpu = processes.node_cpu()?.saturating_sub(before);
    let tokens = STREAM_CLIENTS * STREAMS_PER_CLIENT * STREAM_TOKENS;
    println!(
        "tokens tokens={tokens} refused={} seconds={:.2} cpu_us_a_token={:.2} tokens_a_second_a_core={:.0}",
        routed.take_refusals(),
        started.elapsed().as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / tokens as f64,
        tokens as f64 / cpu.as_secs_f64(),
    );
    Ok(())
}

async fn print_idle(processes: &process_set::ProcessSet) -> anyhow::Result<()> {
    let before = processes.node_cpu()?;
    tokio::time::sleep(IDLE_TIME).await;
    let cpu = processes.node_cpu()?.saturating_sub(before);
    println!(
        "idle core_percent={:.2} resident_kb={}",
        100.0 * cpu.as_secs_f64() / IDLE_TIME.as_secs_f64(),
        processes.node_memory_kb().context("reading memory")?,
    );
    Ok(())
}

fn ratio(value: u64, base: u64) -> f64 {
    value as f64 / base.max(1) as f64
}
