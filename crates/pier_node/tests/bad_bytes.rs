//! Senders that break HTTP's rules or stop half-way leave the node serving others.

use std::net as addresses;

use pier_fakes::platform;
use pier_node::{daemon, settings};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net;

/// Headers of the flood.
const FLOOD_HEADERS: usize = 20_000;

/// Bytes of a body that is over every limit.
const LARGE_BODY: usize = 9 * 1024 * 1024;

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

/// Sends bytes and returns what comes back; a connection that is cut brings nothing.
async fn exchange(address: addresses::SocketAddr, bytes: &[u8]) -> String {
    let mut connection = net::TcpStream::connect(address).await.unwrap();
    // The node may stop reading before everything is written.
    let _cut = connection.write_all(bytes).await;
    let mut buffer = vec![0; 4_096];
    let length = connection.read(&mut buffer).await.unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

async fn assert_alive(address: addresses::SocketAddr) {
    let answer = exchange(address, b"GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_sent_body_is_dropped_and_others_are_served() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let head = b"POST /v1/completions HTTP/1.1\r\nHost: node\r\nContent-Length: 100\r\n\r\n{\"mod";
    let mut connection = net::TcpStream::connect(node.callers_address())
        .await
        .unwrap();
    connection.write_all(head).await.unwrap();
    drop(connection);
    assert_alive(node.callers_address()).await;
    node.drain().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_headers_is_refused_and_others_are_served() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let mut flood = b"GET /healthz HTTP/1.1\r\nHost: node\r\n".to_vec();
    for number in 0..FLOOD_HEADERS {
        flood.extend_from_slice(format!("x-flood-{number}: 1\r\n").as_bytes());
    }
    flood.extend_from_slice(b"\r\n");
    let answer = exchange(node.callers_address(), &flood).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_alive(node.callers_address()).await;
    node.drain().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_over_long_body_is_refused_as_not_run() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/v1/completions", node.callers_address());
    let sending = client.post(url).body(vec![b'x'; LARGE_BODY]).send();
    // The refusal may overtake the body, and the rest of it then finds the connection closed.
    if let Ok(answer) = sending.await {
        assert_eq!(answer.status(), 413);
        assert!(answer.text().await.unwrap().contains("not-run"));
    }
    assert_alive(node.callers_address()).await;
    node.drain().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_http_are_refused_and_others_are_served() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let answer = exchange(node.callers_address(), b"\x16\x03\x01 what is this\r\n\r\n").await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_alive(node.callers_address()).await;
    node.drain().await;
}
