//! A TCP relay to a platform that drops writes of the document or the replies to them.

use std::{net, sync, sync::atomic};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as sockets,
};

/// Beginning of the requests that may be dropped.
const LOST_PREFIX: &[u8] = b"PUT /objects/config/document ";

/// The point at which a dropped request is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossPoint {
    /// The request reaches the platform; the reply is dropped.
    AfterEffect,
    /// The request is dropped before it reaches the platform.
    BeforeEffect,
}

/// A running relay.
#[derive(Debug)]
pub struct LossyRelay {
    /// The URL that it listens on.
    pub url: String,
}

impl LossyRelay {
    /// Starts a relay that drops the first `count` writes of the document.
    pub async fn start(platform: net::SocketAddr, loss_point: LossPoint, count: u32) -> Self {
        let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let losses_left = sync::Arc::new(atomic::AtomicU32::new(count));
        tokio::spawn(async move {
            while let Ok((client, _peer)) = listener.accept().await {
                tokio::spawn(relay(
                    client,
                    platform,
                    loss_point,
                    sync::Arc::clone(&losses_left),
                ));
            }
        });
        Self { url }
    }
}

async fn relay(
    mut client: sockets::TcpStream,
    platform: net::SocketAddr,
    loss_point: LossPoint,
    losses_left: sync::Arc<atomic::AtomicU32>,
) {
    let mut server = sockets::TcpStream::connect(platform).await.unwrap();
    let (mut up, mut down) = (vec![0_u8; 1 << 17], vec![0_u8; 1 << 17]);
    let mut is_losing = false;
    loop {
        tokio::select! {
            read = client.read(&mut up) => {
                let Ok(size @ 1..) = read else { return };
                is_losing |= up[..size].starts_with(LOST_PREFIX) && take_loss(&losses_left);
                if is_losing && loss_point == LossPoint::BeforeEffect {
                    return;
                }
                server.write_all(&up[..size]).await.unwrap();
            }
            read = server.read(&mut down) => {
                let Ok(size @ 1..) = read else { return };
                if is_losing || client.write_all(&down[..size]).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn take_loss(losses_left: &atomic::AtomicU32) -> bool {
    let order = atomic::Ordering::SeqCst;
    losses_left
        .fetch_update(order, order, |left| left.checked_sub(1))
        .is_ok()
}
