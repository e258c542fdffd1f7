//! A link between a node and a target that can be cut.

use std::{io, net};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

/// Connections that wait to be accepted while the link is open.
const OPEN_BACKLOG: u32 = 128;

/// What a link does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes all bytes.
    Open,
    /// Resets old connections and refuses new ones.
    Refuse,
    /// Passes no byte on old connections. New ones are not answered: the queue of the listening
    /// socket is full, so that the kernel drops their first packets.
    Hang,
    /// Refuses new connections; the old ones live on.
    RefuseNew,
}

/// A TCP proxy in front of a target.
#[derive(Debug)]
pub struct CutLink {
    pub address: net::SocketAddr,
    mode: watch::Sender<LinkMode>,
    applied: watch::Receiver<LinkMode>,
}

impl CutLink {
    /// Starts an open link; needs a runtime.
    pub fn start(target: net::SocketAddr) -> Self {
        let address = super::free_address();
        let mode = watch::Sender::new(LinkMode::Open);
        let listener = listen(address, OPEN_BACKLOG);
        let (applied, reader) = watch::channel(LinkMode::Open);
        let link = Self {
            address,
            mode: mode.clone(),
            applied: reader,
        };
        tokio::spawn(run(listener, target, mode, applied));
        link
    }

    /// Changes the mode, and waits until it is in force.
    pub async fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
        let mut applied = self.applied.clone();
        applied.wait_for(|applied| *applied == mode).await.unwrap();
    }
}

fn listen(address: net::SocketAddr, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(backlog).unwrap()
}

/// Accepts connections as the mode says.
async fn run(
    mut listener: TcpListener,
    target: net::SocketAddr,
    mode: watch::Sender<LinkMode>,
    applied: watch::Sender<LinkMode>,
) {
    let address = listener.local_addr().unwrap();
    let mut changes = mode.subscribe();
    loop {
        let current = *changes.borrow_and_update();
        match current {
            LinkMode::Open => {
                applied.send_replace(current);
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _from) = accepted.unwrap();
                        tokio::spawn(pass(stream, target, mode.subscribe()));
                    }
                    outcome = changes.changed() => outcome.unwrap(),
                }
                continue;
            }
            LinkMode::Hang => {
                drop(listener);
                let full = listen(address, 0);
                let _fills_the_queue = TcpStream::connect(address).await.unwrap();
                applied.send_replace(current);
                changes.changed().await.unwrap();
                drop(full);
            }
            LinkMode::Refuse | LinkMode::RefuseNew => {
                drop(listener);
                applied.send_replace(current);
                changes.changed().await.unwrap();
            }
        }
        listener = listen(address, OPEN_BACKLOG);
    }
}

/// Makes a connection end with a reset as it is dropped.
fn reset(stream: &TcpStream) {
    stream.set_zero_linger().unwrap();
}

/// Passes bytes both ways until a side closes, or the link resets the connection.
async fn pass(near: TcpStream, target: net::SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    if wait_to_pass(&mut mode).await.is_none() {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    let (mut to_far, mut to_near) = (vec![0; 16_384], vec![0; 16_384]);
    loop {
        if wait_to_pass(&mut mode).await.is_none() {
            reset(&near);
            return reset(&far);
        }
        let is_open = tokio::select! {
            _changed = mode.changed() => true,
            _ready = near.readable() => copy(&near, &far, &mut to_far).await,
            _ready = far.readable() => copy(&far, &near, &mut to_near).await,
        };
        if !is_open {
            return;
        }
    }
}

/// Waits while the link hangs; returns `None` when it resets its connections.
async fn wait_to_pass(mode: &mut watch::Receiver<LinkMode>) -> Option<()> {
    let passes = mode.wait_for(|mode| *mode != LinkMode::Hang).await;
    let mode = passes.map(|mode| *mode).ok()?;
    (mode != LinkMode::Refuse).then_some(())
}

/// Copies what is readable; returns whether both sides are open.
async fn copy(from: &TcpStream, to: &TcpStream, buffer: &mut [u8]) -> bool {
    let length = match from.try_read(buffer) {
        Ok(0) => return false,
        Ok(length) => length,
        Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
    };
    let mut rest = &buffer[..length];
    while !rest.is_empty() {
        if to.writable().await.is_err() {
            return false;
        }
        match to.try_write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_closed) => return false,
        }
    }
    true
}
