//! Starts, reloads and drains a node.

use std::{path, sync, time};

use anyhow::Context as _;
use pier_types::{ids, times};

use crate::{
    contacts, control, crashes, links, peers, records, serving, settings, state, telemetry,
};

/// How long a stopping node still accepts new requests. The load balancer checks readiness every
/// second and removes a node after two failed checks; requests accepted later than that might not
/// finish before the process ends.
const DRAIN_NOTICE: time::Duration = time::Duration::from_millis(2_800);

/// Margin by which a stopping node exits before the process would be killed.
const END_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Interval between two checks for requests in progress while draining.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Checks in a row without a request in progress after which draining ends.
const IDLE_DRAIN_POLLS: u32 = 2;

/// Interval at which expired idle connections and registrations are removed.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Runs a node until SIGTERM or SIGINT, then finishes the requests in progress.
///
/// # Errors
///
/// Fails when a port cannot be bound or the signal handlers cannot be installed.
pub async fn run<P: links::FleetPlatform>(
    path: &path::Path,
    settings: settings::EdgeSettings,
    platform: P,
) -> anyhow::Result<()> {
    let mut signals = pier_signals::StopSignals::listen()?;
    let node = random_name(&settings)?;
    let state = state::EdgeState::new(settings, node, platform);
    peers::spawn(state.clone()).await?;
    for kind in [
        links::RecordKind::Document,
        links::RecordKind::Targets,
        links::RecordKind::OutOfService,
        links::RecordKind::Nodes,
    ] {
        records::spawn(&state, kind);
    }
    records::spawn_node_record(&state);
    crashes::RecordWriter::spawn(&state);
    control::spawn(&state);
    contacts::spawn(&state);
    telemetry::spawn(state.clone(), state.settings().readiness).await?;
    telemetry::spawn(state.clone(), state.settings().metrics).await?;
    let callers = state.settings().callers;
    let audience = serving::ServerAudience::Callers;
    let server = serving::CallerServer::bind(state.clone(), callers, audience).await?;
    let forwards = state.settings().forwards;
    let audience = serving::ServerAudience::Nodes;
    let node_server = serving::CallerServer::bind(state.clone(), forwards, audience).await?;
    let closing = [server.closing(), node_server.closing()];
    let answers = [server.answers(), node_server.answers()];
    for (name, server) in [("callers", server), ("forwards", node_server)] {
        let server = sync::Arc::new(server);
        super::spawn_loop(&state, name, move || sync::Arc::clone(&server).run());
    }
    let cleaned = state.clone();
    super::spawn_loop(&state, "clean-up", move || clean_up(cleaned.clone()));
    log::info!(
        event = "node-started",
        node:% = state.node(),
        callers:% = state.settings().callers,
        readiness:% = state.settings().readiness,
        peers:% = state.settings().peers,
        forwards:% = state.settings().forwards;
        ""
    );
    while signals.next().await == pier_signals::SignalAction::Reload {
        reload(path, state.settings());
    }
    drain(&state, &closing, &answers).await;
    Ok(())
}

/// Reads the settings file again and logs whether it differs from the current settings. Only the
/// log level takes effect at once; everything else needs a restart.
fn reload(path: &path::Path, current: &settings::EdgeSettings) {
    match settings::EdgeSettings::load(path) {
        Ok(read) if read == *current => log::info!(event = "settings-unchanged"; ""),
        Ok(read) => {
            if read.log_level != current.log_level {
                log::set_max_level(read.log_level);
            }
            log::info!(event = "settings-changed", needs_restart = true, settings:? = read; "");
        }
        Err(error) => log::warn!(event = "settings-refused", cause:% = error; ""),
    }
}

/// Stops accepting requests, and waits within the grace until the answers to all others are with
/// their callers.
async fn drain<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    closing: &[tokio::sync::watch::Sender<bool>],
    answers: &[serving::OpenAnswers],
) {
    let in_progress = || -> usize { answers.iter().map(serving::OpenAnswers::count).sum() };
    let started = times::clocks::boot_now();
    state.start_drain();
    log::info!(event = "drain-started", in_progress = in_progress(); "");
    let limit = state.settings().bounds.grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(DRAIN_NOTICE.min(limit)).await;
    for closing in closing {
        closing.send_replace(true);
    }
    // A request that is just being read needs this time to count as in progress.
    tokio::time::sleep(DRAIN_POLL_INTERVAL * 4).await;
    // An answer that was written counts again as its connection begins to close.
    let mut idle_polls = 0;
    while idle_polls < IDLE_DRAIN_POLLS {
        if times::clocks::boot_now().since(started) >= limit {
            log::warn!(event = "drain-limit-reached", in_progress = in_progress(); "");
            break;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        idle_polls = if in_progress() == 0 {
            idle_polls + 1
        } else {
            0
        };
    }
    log::info!(event = "drain-ended", node:% = state.node(); "");
}

async fn clean_up<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now = times::clocks::boot_now();
        for slot in state.slots().into_iter().chain(state.forwards().slots()) {
            slot.connections.expire(now);
        }
        state.limits().expire(now);
        state.crashes().expire(now);
        state.metrics().bodies().set_held(state.bodies().total());
        state.metrics().answers().set_held(state.answers().total());
        state
            .metrics()
            .set_held_requests(state.crashes().held_count());
        state
            .metrics()
            .set_held_parts(state.crashes().held_part_count());
        if state.with_registry(|registry| registry.expire(now)) {
            state.rebuild(now);
        }
    }
}

/// Returns the VM's name with a random suffix, so that every start of the node has its own name.
fn random_name(settings: &settings::EdgeSettings) -> anyhow::Result<ids::NodeName> {
    let unique: u32 = rand::random();
    let name = format!("{}-{unique:08x}", settings.name);
    name.parse().context("naming the node")
}
