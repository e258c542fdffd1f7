//! Serves what this node has read of the store to the other nodes of its data centre.

use std::{convert, sync, time};

use anyhow::Context as _;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use pier_types::times;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use super::{DOCUMENT_PATH, StoreSnapshot, TARGETS_PATH, encode};
use crate::{daemon, links, peers, serving, state};

/// Longest time for one connection, which carries one answer: more than a reader waits for it.
const CONNECTION_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Most connections at a time, which bounds the memory of the answers; a list is some hundred
/// kilobytes. Further nodes try again, or read the store.
const MAX_CONNECTIONS: usize = 16;

/// Serves the other nodes on the TCP port with the number of the one for datagrams.
///
/// # Errors
///
/// Fails when the port cannot be bound.
pub(crate) async fn spawn<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
) -> anyhow::Result<()> {
    let address = state.settings().peers;
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("binding {address}"))?;
    let (parts, listener) = (state.clone(), sync::Arc::new(listener));
    daemon::spawn_loop(&state, "snapshots", move || {
        accept(parts.clone(), sync::Arc::clone(&listener))
    });
    Ok(())
}

async fn accept<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    listener: sync::Arc<TcpListener>,
) {
    let places = sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, from) = serving::accept(&listener).await;
        if !state.with_peers(|peers| peers.knows_ip(from.ip())) {
            log::warn!(event = "snapshot-for-stranger", from:% = from; "");
            continue;
        }
        let Ok(place) = sync::Arc::clone(&places).try_acquire_owned() else {
            state.metrics().count_snapshot_refusal();
            log::debug!(event = "snapshot-refused", from:% = from, in_progress = MAX_CONNECTIONS; "");
            continue;
        };
        let serving = serve(state.clone(), stream);
        tokio::spawn(async move {
            serving.await;
            drop(place);
        });
    }
}

async fn serve<P: links::FleetPlatform>(state: state::EdgeState<P>, stream: TcpStream) {
    serving::set_socket_timeouts(&stream);
    let service = service_fn(move |request: http::Request<Incoming>| {
        let response = respond(&state, request.uri().path());
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).keep_alive(false);
    let connection = server.serve_connection(TokioIo::new(stream), service);
    match tokio::time::timeout(CONNECTION_LIMIT, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(event = "snapshot-not-sent", cause:% = error; ""),
        Err(_elapsed) => log::debug!(event = "snapshot-not-sent", cause = "time is up"; ""),
    }
}

fn respond<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    path: &str,
) -> http::Response<Full<bytes::Bytes>> {
    let now = times::clocks::boot_now();
    let own = &state.settings().data_centre;
    // A node that was paused may have been replaced, or know less than the store.
    let is_steward = state.with_peers(|peers| peers.steward(own) == Some(state.node()))
        && state.store_age(now) < peers::MAX_STORE_AGE;
    let encoded = match path {
        _ if !is_steward => None,
        TARGETS_PATH => StoreSnapshot::take(state, now).map(|snapshot| encode(&snapshot)),
        DOCUMENT_PATH => state.document().map(|document| encode(&*document)),
        _ => None,
    };
    let mut response = http::Response::new(Full::default());
    match encoded {
        Some(Ok(bytes)) => {
            state
                .metrics()
                .count_snapshot(path.trim_start_matches('/'), bytes.len());
            *response.body_mut() = Full::new(bytes);
        }
        Some(Err(error)) => {
            log::error!(event = "snapshot-not-written", path = path, cause:% = error; "");
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        None => *response.status_mut() = http::StatusCode::NOT_FOUND,
    }
    response
}
