//! Accepts connections.

use std::{net, time};

use tokio::net::{TcpListener, TcpStream};

/// Delay before accepting again after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts the next connection; tries again after an error, such as too many open files.
pub(crate) async fn accept(listener: &TcpListener) -> (TcpStream, net::SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::warn!(event = "accept-failed", cause:% = error; "");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
