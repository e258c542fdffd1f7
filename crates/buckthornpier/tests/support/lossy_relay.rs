//! A relay in front of a platform that loses writes or their replies.

use std::{net, sync, sync::atomic};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as sockets,
};

/// Beginning of the calls that may get lost.
const LOST_PREFIX: &[u8] = b"PUT /objects/config/document ";

/// What becomes of the calls that get lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossPoint {
    /// They reach the platform, their replies do not come back.
    AfterEffect,
    /// They do not reach the platform.
    BeforeEffect,
}

/// A running relay.
#[derive(Debug)]
pub struct LossyRelay {
    /// Where it listens.
    pub url: String,
}

impl LossyRelay {
    /// Starts a relay that loses the first calls.
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
