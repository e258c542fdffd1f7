//! The life of a node.

use std::{path, time};

use anyhow::Context as _;
use pier_types::{ids, times};

use crate::{control, links, peers, records, serving, settings, state, telemetry};

/// How long a stopping node takes new requests as before: the balancer asks each second and takes
/// a node out after two misses. What is taken later could be cut off at the end.
const NOTICE_TIME: time::Duration = time::Duration::from_millis(2_800);

/// Time before the process would be killed at which a stopping node ends by itself.
const END_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Time between two looks at the requests in progress.
const DRAIN_POLL: time::Duration = time::Duration::from_millis(25);

/// Time between two looks for idle connections and lapsed registrations.
const TIDY_TIME: time::Duration = time::Duration::from_millis(500);

/// Runs a node until SIGTERM or SIGINT, then lets it finish what is in progress.
///
/// # Errors
///
/// Fails when a port can not be bound or signals can not be listened to.
pub async fn run<P: links::FleetPlatform>(
    path: &path::Path,
    settings: settings::EdgeSettings,
    platform: P,
) -> anyhow::Result<()> {
    let mut signals = pier_signals::StopSignals::listen()?;
    let node = draw_name(&settings)?;
    let state = state::EdgeState::new(settings, node, platform);
    peers::spawn(state.clone()).await?;
    for kind in [
        links::RecordKind::Document,
        links::RecordKind::Targets,
        links::RecordKind::OutOfService,
        links::RecordKind::Nodes,
    ] {
        records::spawn(state.clone(), kind);
    }
    records::spawn_own(state.clone());
    control::spawn(state.clone());
    telemetry::spawn(state.clone(), state.settings().readiness).await?;
    telemetry::spawn(state.clone(), state.settings().metrics).await?;
    let server = serving::CallerServer::bind(state.clone(), state.settings().callers).await?;
    let closing = server.closing();
    tokio::spawn(server.run());
    tokio::spawn(tidy(state.clone()));
    log::info!(
        event = "node-started",
        node:% = state.node(),
        callers:% = state.settings().callers,
        readiness:% = state.settings().readiness,
        peers:% = state.settings().peers;
        ""
    );
    while signals.next().await == pier_signals::SignalAction::Reload {
        reload(path, state.settings());
    }
    drain(&state, &closing).await;
    Ok(())
}

/// Says which settings differ from those in force; all of them need a restart.
fn reload(path: &path::Path, present: &settings::EdgeSettings) {
    match settings::EdgeSettings::load(path) {
        Ok(read) if read == *present => log::info!(event = "settings-unchanged"; ""),
        Ok(read) => {
            if read.log_level != present.log_level {
                log::set_max_level(read.log_level);
            }
            log::info!(event = "settings-changed", needs_restart = true, settings:? = read; "");
        }
        Err(error) => log::warn!(event = "settings-refused", cause:% = error; ""),
    }
}

async fn drain<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    closing: &tokio::sync::watch::Sender<bool>,
) {
    let started = times::clocks::boot_now();
    state.start_drain();
    log::info!(event = "drain-started", in_progress = state.in_progress(); "");
    let limit = state.settings().bounds.grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(NOTICE_TIME.min(limit)).await;
    closing.send_replace(true);
    // Connections that are just being answered say so before they close.
    tokio::time::sleep(DRAIN_POLL * 4).await;
    while state.in_progress() > 0 {
        if times::clocks::boot_now().since(started) >= limit {
            log::warn!(event = "drain-limit-reached", in_progress = state.in_progress(); "");
            break;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
    // The last answers leave the sockets.
    tokio::time::sleep(DRAIN_POLL * 2).await;
    log::info!(event = "drain-ended", node:% = state.node(); "");
}

async fn tidy<P: links::FleetPlatform>(state: state::EdgeState<P>) {
    loop {
        tokio::time::sleep(TIDY_TIME).await;
        let now = times::clocks::boot_now();
        for slot in state.slots() {
            slot.connections.expire(now);
        }
        if state.with_book(|book| book.expire(now)) {
            state.rebuild(now);
        }
    }
}

/// Draws a name that no earlier start of the VM had.
fn draw_name(settings: &settings::EdgeSettings) -> anyhow::Result<ids::NodeName> {
    let unique: u32 = rand::random();
    let name = format!("{}-{unique:08x}", settings.name);
    name.parse().context("naming the node")
}
