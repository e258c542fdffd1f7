//! A link from one node to one target that can be cut in the ways of a network partition.

use std::sync::{self, atomic};
use std::{net, time};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections that wait to be accepted; few, so that a hanging link can fill the queue.
const BACKLOG: u32 = 8;

/// Time after which a connection that should be queued counts as dropped.
const FILL_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// Time until a released address is tried again.
const BIND_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Number of links launched.
static LAUNCHED: atomic::AtomicU32 = atomic::AtomicU32::new(1);

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes everything.
    Open,
    /// Passes nothing: connections stay open, and new ones are never made.
    Hang,
    /// Resets connections and refuses new ones.
    Refuse,
    /// Resets connections, new ones as soon as they are made.
    Reset,
    /// Passes what connections carry that were made before, and refuses new ones.
    RefuseNew,
}

/// A link; it ends with the runtime.
pub struct CutLink {
    /// The address at which the node sees the target.
    pub address: net::SocketAddr,
    mode: sync::Arc<watch::Sender<LinkMode>>,
}

impl CutLink {
    /// Starts a link to a target.
    pub async fn launch(target: net::SocketAddr) -> Self {
        // No other server binds this address, so that nobody takes the port while it is refused.
        let [_, _, high, low] = LAUNCHED
            .fetch_add(1, atomic::Ordering::SeqCst)
            .to_be_bytes();
        let host = net::Ipv4Addr::new(127, 77, high, low);
        let listener = listen((host, 0).into()).await;
        let address = listener.local_addr().unwrap();
        let mode = sync::Arc::new(watch::Sender::new(LinkMode::Open));
        tokio::spawn(run(listener, target, sync::Arc::clone(&mode)));
        Self { address, mode }
    }

    /// Sets what the link does from now on.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn run(
    first: TcpListener,
    target: net::SocketAddr,
    switch: sync::Arc<watch::Sender<LinkMode>>,
) {
    let mut mode = switch.subscribe();
    let address = first.local_addr().unwrap();
    let mut listener = Some(first);
    loop {
        let current = *mode.borrow_and_update();
        match current {
            LinkMode::Open | LinkMode::Reset => {
                if listener.is_none() {
                    listener = Some(listen(address).await);
                }
                let accepting = listener.as_ref().unwrap().accept();
                tokio::select! {
                    accepted = accepting => {
                        let (client, _source) = accepted.unwrap();
                        if current == LinkMode::Reset {
                            client.set_zero_linger().unwrap();
                            continue;
                        }
                        tokio::spawn(pass(client, target, switch.subscribe()));
                    }
                    _changed = mode.changed() => {}
                }
            }
            LinkMode::Hang => {
                let hanging = match listener.take() {
                    Some(listening) => listening,
                    None => listen(address).await,
                };
                let _queued = fill(address).await;
                let _changed = mode.changed().await;
                drop(hanging);
            }
            LinkMode::Refuse | LinkMode::RefuseNew => {
                drop(listener.take());
                let _changed = mode.changed().await;
            }
        }
    }
}

/// Fills the queue of connections that wait to be accepted; the kernel drops further ones.
async fn fill(address: net::SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(connected) = tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(address)).await
    {
        queued.push(connected.unwrap());
    }
    queued
}

/// Passes the bytes of one connection while the link allows it.
async fn pass(mut client: TcpStream, target: net::SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let mut server = TcpStream::connect(target).await.unwrap();
    client.set_nodelay(true).unwrap();
    server.set_nodelay(true).unwrap();
    loop {
        let current = *mode.borrow_and_update();
        match current {
            LinkMode::Open | LinkMode::RefuseNew => {
                tokio::select! {
                    _ended = tokio::io::copy_bidirectional(&mut client, &mut server) => return,
                    _changed = mode.changed() => {}
                }
            }
            LinkMode::Hang => {
                let _changed = mode.changed().await;
            }
            LinkMode::Refuse | LinkMode::Reset => {
                client.set_zero_linger().unwrap();
                return;
            }
        }
    }
}

async fn listen(address: net::SocketAddr) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        if socket.bind(address).is_ok() {
            return socket.listen(BACKLOG).unwrap();
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}
