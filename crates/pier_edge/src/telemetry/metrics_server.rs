//! The server for readiness checks and metrics.

use std::{convert, net, sync};

use anyhow::Context as _;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::{daemon, links, serving, state};

/// Serves `/readyz` and `/metrics` on an address.
///
/// # Errors
///
/// Fails when the port cannot be bound.
pub(crate) async fn spawn<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    address: net::SocketAddr,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("binding {address}"))?;
    let (parts, listener) = (state.clone(), sync::Arc::new(listener));
    daemon::spawn_loop(&state, "pages", move || {
        serve(parts.clone(), sync::Arc::clone(&listener))
    });
    Ok(())
}

async fn serve<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    listener: sync::Arc<TcpListener>,
) {
    loop {
        let (stream, _from) = serving::accept(&listener).await;
        let state = state.clone();
        let service = service_fn(move |request: http::Request<Incoming>| {
            let response = page(&state, request.uri().path());
            async move { Ok::<_, convert::Infallible>(response) }
        });
        let mut server = http1::Builder::new();
        server.timer(TokioTimer::new());
        let connection = server.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "page-connection-ended", cause:% = error; "");
            }
        });
    }
}

fn page<P: links::FleetPlatform>(
    state: &state::EdgeState<P>,
    path: &str,
) -> http::Response<Full<bytes::Bytes>> {
    let (status, text) = match path {
        "/readyz" if state.is_ready() => (http::StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => (
            http::StatusCode::SERVICE_UNAVAILABLE,
            "not ready\n".to_owned(),
        ),
        "/metrics" => state.metrics().page().map_or_else(
            |error| {
                (
                    http::StatusCode::INTERNAL_SERVER_ERROR,
                    format!("{error}\n"),
                )
            },
            |page| (http::StatusCode::OK, page),
        ),
        _ => (http::StatusCode::NOT_FOUND, "no such page\n".to_owned()),
    };
    let mut response = http::Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
