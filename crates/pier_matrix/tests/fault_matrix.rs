//! Runs every case: the promise must hold with the nodes and break with the protection off.

use std::{fs, path};

use pier_matrix::{cases, plays};

/// List of the cases that are known to fail.
const KNOWN_RED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");

fn play_case(path: &path::Path) -> datatest_stable::Result<()> {
    let case = cases::FaultCase::load(path)?;
    if is_known_red(path) {
        println!("known red: {}", path.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(run_both(&case))
}

/// Runs a case with the nodes and with the protection off, concurrently.
async fn run_both(case: &cases::FaultCase) -> datatest_stable::Result<()> {
    let off = if case.kills_on_drain {
        plays::TestedSystem::KillOnDrain
    } else {
        plays::TestedSystem::BlindRetrier
    };
    let protected = plays::CasePlayer::play(case, plays::TestedSystem::Nodes);
    if case.blind_holds.is_some() {
        return protected.await.map_err(|error| format!("{error:#}").into());
    }
    let (protected, off) = tokio::join!(protected, plays::CasePlayer::play(case, off));
    protected.map_err(|error| format!("{error:#}"))?;
    match off {
        Ok(()) => {
            Err("the promise also holds with the protection off: the case proves nothing".into())
        }
        Err(_broken) => Ok(()),
    }
}

fn is_known_red(path: &path::Path) -> bool {
    let list = fs::read_to_string(KNOWN_RED).unwrap_or_default();
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    list.contains(name.as_ref())
}

datatest_stable::harness! {
    { test = play_case, root = "cases", pattern = r"^.*\.ini$" },
}
