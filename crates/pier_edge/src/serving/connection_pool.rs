//! A pool of connections to one target.

use std::{
    fmt, io, net,
    sync::{self, atomic},
    time,
};

use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pier_types::times;
use tokio::{
    net::{TcpSocket, TcpStream},
    task,
};

use super::target_stream;
use crate::{serving, state};

/// Time-out for opening a connection to a target: several network delays between data centres.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// A connection ends when sent bytes stay unacknowledged, or the peer's window stays closed, for
/// this long. It also decides after how many unanswered keep-alive probes a connection ends.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Interval between TCP keep-alive probes; the kernel takes whole seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Longest time that a connection is kept idle, and the default when the target states none.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Bytes that the system may hold of an answer that the node does not read on, and its own records of
/// them as much again. It is also the most that a target sends within one network delay.
const MAX_UNREAD_BYTES: u32 = 64 << 10;

/// Unsent bytes above which the system takes no more for a connection.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Share of the target's stated idle time for which a connection is reused, so that no request is
/// sent just as the target closes the connection.
const IDLE_PERCENT: u32 = 60;

/// Why no connection to a target could be opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ConnectFault {
    /// The VM answered that no process listens at the address.
    NoListener,
    /// The VM did not answer, or the connection failed otherwise.
    Failed(String),
}

impl fmt::Display for ConnectFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoListener => f.write_str("no process listens at the target's address"),
            Self::Failed(reason) => f.write_str(reason),
        }
    }
}

/// Keeps connections to one target open between requests and limits how many are in use.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: net::SocketAddr,
    /// IP address from which connections are opened; `None` leaves the choice to the system.
    source: Option<net::IpAddr>,
    max_in_use: usize,
    /// Number of open connections, idle ones included.
    open: sync::Arc<atomic::AtomicUsize>,
    idle: sync::Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: times::BootTime,
    until: times::BootTime,
}

/// A connection in use by one request; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub sender: http1::SendRequest<Full<bytes::Bytes>>,
    /// Limits the bytes before an answer.
    pub(super) preface: serving::PrefaceLimit,
    driver: task::AbortHandle,
    open: sync::Arc<atomic::AtomicUsize>,
}

impl PooledConnection {
    /// Closes the connection, so that the target stops sending.
    pub(super) fn close(&self) {
        self.driver.abort();
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.close();
        self.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl ConnectionPool {
    pub(crate) fn new(address: net::SocketAddr, max_in_use: usize) -> Self {
        Self {
            address,
            source: None,
            max_in_use,
            open: sync::Arc::default(),
            idle: sync::Mutex::default(),
        }
    }

    /// Opens connections from this IP address, unless it is unspecified.
    pub(crate) fn connect_from(&mut self, source: net::IpAddr) {
        self.source = (!source.is_unspecified()).then_some(source);
    }

    pub(crate) const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns whether as many connections are in use as this node may use at once.
    pub(crate) fn is_full(&self) -> bool {
        let idle = state::lock(&self.idle).len();
        self.open.load(atomic::Ordering::Relaxed) >= self.max_in_use + idle
    }

    /// Takes an idle connection that was last used at most `age` ago.
    pub(crate) fn take_idle(
        &self,
        age: time::Duration,
        now: times::BootTime,
    ) -> Option<PooledConnection> {
        let mut idle = state::lock(&self.idle);
        idle.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
        let fresh = |entry: &IdleConnection| {
            entry.connection.sender.is_ready() && now.since(entry.since) <= age
        };
        let at = idle.iter().rposition(fresh)?;
        Some(idle.swap_remove(at).connection)
    }

    /// Returns whether an idle connection is still open.
    pub(crate) fn has_open_idle(&self) -> bool {
        let idle = state::lock(&self.idle);
        idle.iter()
            .any(|entry| !entry.connection.sender.is_closed())
    }

    /// Closes idle connections whose idle time has ended.
    pub(crate) fn expire(&self, now: times::BootTime) {
        let mut idle = state::lock(&self.idle);
        idle.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
    }

    /// Returns a connection to the pool after a complete answer.
    pub(crate) fn give_back(
        &self,
        connection: PooledConnection,
        idle_time: Option<time::Duration>,
        now: times::BootTime,
    ) {
        let until = now.after(reuse_time(idle_time));
        let mut idle = state::lock(&self.idle);
        idle.push(IdleConnection {
            connection,
            since: now,
            until,
        });
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the target refuses it or does not answer in time.
    pub(crate) async fn connect(&self) -> Result<PooledConnection, ConnectFault> {
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, open_stream(self.address, self.source));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectFault::NoListener);
            }
            Ok(Err(error)) => return Err(ConnectFault::Failed(error.to_string())),
            Err(_elapsed) => {
                let reason = "connecting to the target timed out".to_owned();
                return Err(ConnectFault::Failed(reason));
            }
        };
        set_socket_timeouts(&stream);
        limit_unsent(&stream);
        let preface = serving::PrefaceLimit::default();
        let stream = target_stream::limit_reads(stream, preface.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(serving::MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) =
            handshake.map_err(|error| ConnectFault::Failed(error.to_string()))?;
        // The request that uses the connection gets the error too.
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!(event = "target-connection-ended", cause:% = error; "");
            }
        });
        self.open.fetch_add(1, atomic::Ordering::Relaxed);
        Ok(PooledConnection {
            sender,
            preface,
            driver: driver.abort_handle(),
            open: sync::Arc::clone(&self.open),
        })
    }
}

/// Returns how long an idle connection is reused to a target that states this idle time.
fn reuse_time(stated: Option<time::Duration>) -> time::Duration {
    let stated = stated.map(|stated| stated.saturating_mul(IDLE_PERCENT) / 100);
    stated.map_or(MAX_IDLE_TIME, |stated| stated.min(MAX_IDLE_TIME))
}

/// Opens a connection, from this IP address if there is one.
///
/// # Errors
///
/// Fails when the address cannot be connected to.
pub(crate) async fn open_stream(
    address: net::SocketAddr,
    source: Option<net::IpAddr>,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Err(error) = socket.set_recv_buffer_size(MAX_UNREAD_BYTES) {
        log::debug!(event = "socket-option-refused", cause:% = error; "");
    }
    if let Some(source) = source {
        socket.bind(net::SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

/// Limits what the system takes for a peer that reads slowly. What a fast one has not acknowledged yet
/// does not count.
pub(super) fn limit_unsent(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!(event = "socket-option-refused", cause:% = error; "");
    }
}

/// Sets socket options so that the kernel detects a silent peer; also disables Nagle's algorithm.
pub(crate) fn set_socket_timeouts(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
        socket.set_tcp_keepalive(&keep_alive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!(event = "socket-option-refused", cause:% = error; "");
    }
}
