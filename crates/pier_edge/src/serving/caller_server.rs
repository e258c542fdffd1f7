//! The HTTP server for callers.

use std::{convert, net, pin::pin, time};

use anyhow::Context as _;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{connection_pool, request_entry};
use crate::{links, serving, state};

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Delay before accepting again after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Serves callers on one port.
#[derive(Debug)]
pub(crate) struct CallerServer<P> {
    state: state::EdgeState<P>,
    listener: TcpListener,
    closing: watch::Sender<bool>,
}

impl<P: links::FleetPlatform> CallerServer<P> {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Fails when the port cannot be bound.
    pub(crate) async fn bind(
        state: state::EdgeState<P>,
        address: net::SocketAddr,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await;
        Ok(Self {
            state,
            listener: listener.with_context(|| format!("binding {address}"))?,
            closing: watch::Sender::new(false),
        })
    }

    /// Returns the sender that stops the server and closes idle connections once it is set to
    /// true.
    pub(crate) fn closing(&self) -> watch::Sender<bool> {
        self.closing.clone()
    }

    /// Accepts connections until `closing` is set, then closes the port, so that no request is
    /// accepted that could not be finished before the process ends.
    pub(crate) async fn run(self) {
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = wait_for_close(&mut closing) => return,
            };
            match accepted {
                Ok((stream, _from)) => {
                    let subscription = self.closing.subscribe();
                    let serving = serve_connection(self.state.clone(), stream, subscription);
                    tokio::spawn(serving);
                }
                Err(error) => {
                    log::warn!(event = "accept-failed", cause:% = error; "");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn serve_connection<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    connection_pool::set_socket_timeouts(&stream);
    let limits = state
        .document()
        .map(|document| document.limits())
        .unwrap_or_default();
    let head_size = usize::try_from(limits.head_size.get()).unwrap_or(usize::MAX);
    let reset = serving::ResetSwitch::default();
    let stream = serving::CallerStream::new(stream, reset.clone());
    let service = service_fn(move |request: http::Request<Incoming>| {
        let (state, reset) = (state.clone(), reset.clone());
        async move { Ok::<_, convert::Infallible>(request_entry::serve(state, request, reset).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Hyper's time-out for a request's head also covers the idle time before the request.
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(head_size.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = wait_for_close(&mut closing) => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = ended {
        log::debug!(event = "caller-connection-ended", cause:% = error; "");
    }
}

/// Waits until `closing` is set.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // The sender is dropped only when the process ends.
        std::future::pending::<()>().await;
    }
}
