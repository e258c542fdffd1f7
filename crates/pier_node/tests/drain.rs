//! A drain ends although callers keep idle connections open.

use std::time;

use pier_fakes::platform;
use pier_node::{daemon, settings};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net;

/// Time-out that ends a hanging test.
const HANG_GUARD: time::Duration = time::Duration::from_mins(1);

async fn launch(platform: &platform::FakePlatform) -> daemon::NodeDaemon {
    let text = format!(
        "[node]\ndata-centre = a\nregion = r\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\npeer-key = 0123456789abcdef0123456789abcdef\n\
         drain-notice-seconds = 0\n[platform]\nurl = http://{}\n",
        platform.address()
    );
    let settings = settings::NodeSettings::parse(&text).unwrap();
    daemon::NodeDaemon::launch(settings).await.unwrap()
}

async fn ask(connection: &mut net::TcpStream) -> String {
    let head = b"GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n";
    connection.write_all(head).await.unwrap();
    let mut buffer = [0; 4_096];
    let length = connection.read(&mut buffer).await.unwrap();
    String::from_utf8_lossy(&buffer[..length]).to_lowercase()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_does_not_hold_up_a_drain() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let connecting = net::TcpStream::connect(node.callers_address());
    let mut connection = connecting.await.unwrap();
    assert!(ask(&mut connection).await.contains("200 ok"));
    let drained = tokio::time::timeout(HANG_GUARD, node.drain()).await;
    assert!(drained.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_asks_callers_to_reconnect_elsewhere() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let connecting = net::TcpStream::connect(node.callers_address());
    let mut connection = connecting.await.unwrap();
    assert!(!ask(&mut connection).await.contains("connection: close"));
    node.handle().start_drain();
    assert!(ask(&mut connection).await.contains("connection: close"));
    node.drain().await;
}
