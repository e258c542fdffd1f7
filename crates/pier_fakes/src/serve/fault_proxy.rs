//! A TCP proxy in front of the HTTP server that can cut, freeze and refuse connections.

use std::sync::{self, atomic};
use std::{collections, io, net, time};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, tcp};
use tokio::sync::{oneshot, watch};

use crate::serve;

/// Backlog of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Delay before binding the port again after a failure.
const BIND_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// What the proxy does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Forwards everything.
    Open,
    /// Keeps connections open and forwards nothing.
    Paused,
    /// Refuses connections.
    Down,
}

/// Forwards connections to the HTTP server; clones share their state.
///
/// The HTTP library can neither drop a connection instead of replying nor refuse one, so the
/// proxy does it.
#[derive(Debug, Clone)]
pub(crate) struct FaultProxy {
    state: sync::Arc<ProxyState>,
}

#[derive(Debug)]
struct ProxyState {
    address: net::SocketAddr,
    mode: watch::Sender<(ProxyMode, u64)>,
    connections: sync::Mutex<collections::BTreeMap<net::SocketAddr, CutHandle>>,
}

/// Cuts one connection; dropping the handle ends the connection's task.
#[derive(Debug)]
struct CutHandle {
    is_cut: sync::Arc<atomic::AtomicBool>,
    _end: oneshot::Sender<()>,
}

impl FaultProxy {
    /// Binds the address for callers; returns the proxy and its listener.
    pub(crate) fn bind(listen: net::SocketAddr) -> io::Result<(Self, TcpListener)> {
        let listener = listen_on(listen)?;
        let state = ProxyState {
            address: listener.local_addr()?,
            mode: watch::Sender::new((ProxyMode::Open, 0)),
            connections: sync::Mutex::default(),
        };
        let proxy = Self {
            state: sync::Arc::new(state),
        };
        Ok((proxy, listener))
    }

    /// Returns the address that callers use.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.state.address
    }

    /// Sets the mode; returns to open after `for_time`, if given.
    pub(crate) fn set_mode(&self, mode: ProxyMode, for_time: Option<time::Duration>) {
        self.state.mode.send_modify(|(current, change)| {
            *current = mode;
            *change += 1;
        });
        if mode == ProxyMode::Down {
            self.cut_all();
        }
        let (_mode, change) = *self.state.mode.borrow();
        if let Some(time) = for_time {
            let proxy = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(time).await;
                proxy.reopen(change);
            });
        }
    }

    /// Waits while the proxy is paused.
    pub(crate) async fn wait_unpaused(&self) {
        let mut mode = self.state.mode.subscribe();
        let _stopped = mode.wait_for(|(mode, _)| *mode != ProxyMode::Paused).await;
    }

    /// Cuts the connection of a request; nothing written later is forwarded.
    pub(crate) fn cut(&self, client: Option<net::SocketAddr>) {
        let handle = client.and_then(|client| serve::lock(&self.state.connections).remove(&client));
        if let Some(handle) = handle {
            handle.is_cut.store(true, atomic::Ordering::SeqCst);
        }
    }

    /// Cuts every connection; nothing written later is forwarded.
    pub(crate) fn cut_all(&self) {
        let mut connections = serve::lock(&self.state.connections);
        for handle in connections.values() {
            handle.is_cut.store(true, atomic::Ordering::SeqCst);
        }
        connections.clear();
    }

    /// Accepts connections for a server until the task is aborted.
    pub(crate) async fn run(self, first: TcpListener, server: net::SocketAddr) {
        let mut mode = self.state.mode.subscribe();
        let mut listener = Some(first);
        loop {
            match listener.take() {
                Some(listening) => self.accept(&listening, server, &mut mode).await,
                None => match listen_on(self.state.address) {
                    Ok(bound) => listener = Some(bound),
                    Err(_error) => tokio::time::sleep(BIND_RETRY_DELAY).await,
                },
            }
            if mode.borrow_and_update().0 == ProxyMode::Down {
                drop(listener.take());
                let _bound_socket = bind_socket(self.state.address);
                let _stopped = mode.wait_for(|(mode, _)| *mode != ProxyMode::Down).await;
            }
        }
    }

    /// Accepts connections until the mode is down.
    async fn accept(
        &self,
        listener: &TcpListener,
        server: net::SocketAddr,
        mode: &mut watch::Receiver<(ProxyMode, u64)>,
    ) {
        loop {
            self.wait_unpaused().await;
            if mode.borrow_and_update().0 == ProxyMode::Down {
                return;
            }
            tokio::select! {
                accepted = listener.accept() => if let Ok((client, _address)) = accepted {
                    tokio::spawn(self.clone().forward(client, server));
                },
                _changed = mode.changed() => {}
            }
        }
    }

    /// Forwards one connection to the server until both directions end or it is cut.
    async fn forward(self, client: TcpStream, server: net::SocketAddr) {
        let Ok(upstream) = TcpStream::connect(server).await else {
            return;
        };
        let Ok(address) = upstream.local_addr() else {
            return;
        };
        let _best_effort = client.set_nodelay(true);
        let _best_effort = upstream.set_nodelay(true);
        let (sender, cut) = oneshot::channel();
        let is_cut = sync::Arc::new(atomic::AtomicBool::new(false));
        let handle = CutHandle {
            is_cut: sync::Arc::clone(&is_cut),
            _end: sender,
        };
        serve::lock(&self.state.connections).insert(address, handle);
        // The proxy may have gone down and cut all connections after this one was accepted.
        if self.state.mode.borrow().0 == ProxyMode::Down {
            serve::lock(&self.state.connections).remove(&address);
            return;
        }
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = upstream.into_split();
        let both = async {
            tokio::join!(
                self.copy(client_read, server_write, &is_cut),
                self.copy(server_read, client_write, &is_cut),
            )
        };
        tokio::select! {
            _ended = both => {}
            _cut = cut => {}
        }
        serve::lock(&self.state.connections).remove(&address);
    }

    /// Copies one direction; an error closes it like an end of stream.
    async fn copy(
        &self,
        mut reader: tcp::OwnedReadHalf,
        mut writer: tcp::OwnedWriteHalf,
        is_cut: &atomic::AtomicBool,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(size @ 1..) = reader.read(&mut buffer).await {
            self.wait_unpaused().await;
            if is_cut.load(atomic::Ordering::SeqCst) {
                break;
            }
            if writer.write_all(&buffer[..size]).await.is_err() {
                break;
            }
        }
        let _closed_already = writer.shutdown().await;
    }

    /// Sets the mode to open unless it was changed after change number `since`.
    fn reopen(&self, since: u64) {
        self.state.mode.send_if_modified(|(mode, change)| {
            let unchanged = *change == since;
            if unchanged {
                *mode = ProxyMode::Open;
            }
            unchanged
        });
    }
}

fn listen_on(address: net::SocketAddr) -> io::Result<TcpListener> {
    bind_socket(address)?.listen(BACKLOG)
}

/// Binds a port without listening, so that connections to it are refused.
fn bind_socket(address: net::SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
