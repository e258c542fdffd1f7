//! The HTTP servers for callers and for other nodes.

use std::{convert, net, pin::pin, sync, time};

use anyhow::Context as _;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch};

use super::{connection_pool, request_entry};
use crate::{links, serving, state};

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// How long another node's connection may be idle: longer than any node keeps an idle connection, so
/// that none is closed as a request is sent on it.
const NODE_IDLE_TIME: time::Duration = time::Duration::from_secs(15);

/// Bytes by which the head of a request that a node passes on may exceed the limit for callers: the
/// node's note.
const NOTE_BYTES: usize = 1_024;

/// Most headers of one request on the port for other nodes, which add one to the caller's.
const MAX_NODE_HEADERS: usize = 128;

/// Who may use a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerAudience {
    Callers,
    /// Other nodes, which pass their callers' requests on.
    Nodes,
}

/// Serves callers, or other nodes, on one port.
#[derive(Debug)]
pub(crate) struct CallerServer<P> {
    state: state::EdgeState<P>,
    listener: TcpListener,
    audience: ServerAudience,
    closing: watch::Sender<bool>,
    answers: serving::OpenAnswers,
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
        audience: ServerAudience,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await;
        Ok(Self {
            state,
            listener: listener.with_context(|| format!("binding {address}"))?,
            audience,
            closing: watch::Sender::new(false),
            answers: serving::OpenAnswers::default(),
        })
    }

    /// Returns the sender that stops the server and closes idle connections once it is set to
    /// true.
    pub(crate) fn closing(&self) -> watch::Sender<bool> {
        self.closing.clone()
    }

    /// Returns the count of the answers that are not written yet.
    pub(crate) fn answers(&self) -> serving::OpenAnswers {
        self.answers.clone()
    }

    /// Accepts connections until `closing` is set, then closes the port once the server is dropped, so
    /// that no request is accepted that could not be finished before the process ends.
    pub(crate) async fn run(self: sync::Arc<Self>) {
        let mut closing = self.closing.subscribe();
        loop {
            let (stream, from) = tokio::select! {
                accepted = serving::accept(&self.listener) => accepted,
                () = wait_for_close(&mut closing) => return,
            };
            let Some(origin) = self.origin(from) else {
                continue;
            };
            let mut guard = None;
            if origin == serving::RequestOrigin::Caller {
                guard = self.state.bodies().connect().await;
                if guard.is_none() {
                    self.state.metrics().bodies().count_refused_connection();
                    continue;
                }
            }
            connection_pool::set_socket_timeouts(&stream);
            connection_pool::limit_unsent(&stream);
            let subscription = self.closing.subscribe();
            let writes = serving::AnswerWrites::new(self.answers());
            let stream = serving::CallerStream::new(stream, writes.clone(), subscription.clone());
            let serving =
                serve_connection(self.state.clone(), stream, writes, origin, subscription);
            tokio::spawn(async move {
                serving.await;
                drop(guard);
            });
        }
    }

    /// Returns who has opened a connection; `None` if it is nobody for whom the port is.
    fn origin(&self, from: net::SocketAddr) -> Option<serving::RequestOrigin> {
        if self.audience == ServerAudience::Callers {
            return Some(serving::RequestOrigin::Caller);
        }
        let ip = from.ip();
        if self.state.with_peers(|peers| peers.knows_ip(ip)) {
            return Some(serving::RequestOrigin::Node(ip));
        }
        self.state.metrics().count_forward_received("stranger");
        log::warn!(event = "forward-from-stranger", from:% = from; "");
        None
    }
}

async fn serve_connection<P: links::FleetPlatform>(
    state: state::EdgeState<P>,
    stream: serving::CallerStream,
    writes: serving::AnswerWrites,
    origin: serving::RequestOrigin,
    mut closing: watch::Receiver<bool>,
) {
    let limits = state
        .document()
        .map(|document| document.limits())
        .unwrap_or_default();
    let mut idle_time = limits.idle_time;
    let mut builder = http1::Builder::new();
    let mut head_size = usize::try_from(limits.head_size.get()).unwrap_or(usize::MAX);
    if origin != serving::RequestOrigin::Caller {
        head_size = head_size.saturating_add(NOTE_BYTES);
        builder.max_headers(MAX_NODE_HEADERS);
        idle_time = NODE_IDLE_TIME;
    }
    let reset = stream.reset_switch();
    let ending = reset.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let (state, reset, mark) = (state.clone(), reset.clone(), writes.begin());
        async move {
            let response = request_entry::serve(state, request, reset, origin).await;
            let response = response.map(|body| serving::MarkedBody::new(body, mark));
            Ok::<_, convert::Infallible>(response)
        }
    });
    let connection = builder
        .timer(TokioTimer::new())
        // Hyper's time-out for a request's head also covers the idle time before the request.
        .header_read_timeout(idle_time + limits.head_time)
        .max_buf_size(head_size.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = async {
        tokio::select! {
            ended = &mut connection => return ended,
            () = wait_for_close(&mut closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    let ended = tokio::select! {
        ended = served => ended,
        // Dropping the connection resets it.
        () = ending.wait_for_end() => return,
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
