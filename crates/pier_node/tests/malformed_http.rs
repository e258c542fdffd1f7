//! The node keeps serving other callers when senders violate HTTP or stop in the middle.

mod support;

use std::{net as addresses, time};

use pier_fakes::platform;
use pier_node::{daemon, settings};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net;

/// Ends a hanging test; far shorter than the default time-out for sending a body.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Number of headers in the flood.
const FLOOD_HEADER_COUNT: usize = 20_000;

/// Size of a body that is over every limit.
const LARGE_BODY_BYTES: usize = 24 * 1024 * 1024;

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

/// Sends bytes and returns the answer; empty when the connection is closed without one.
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
async fn a_truncated_body_is_dropped_and_others_are_served() {
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
    for number in 0..FLOOD_HEADER_COUNT {
        flood.extend_from_slice(format!("x-flood-{number}: 1\r\n").as_bytes());
    }
    flood.extend_from_slice(b"\r\n");
    let answer = exchange(node.callers_address(), &flood).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_alive(node.callers_address()).await;
    node.drain().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_body_is_refused_as_not_run() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let node = launch(&platform).await;
    let head = "POST /v1/completions HTTP/1.1\r\nHost: node\r\nContent-Length: ";
    let mut request = format!("{head}{LARGE_BODY_BYTES}\r\n\r\n").into_bytes();
    request.resize(request.len() + LARGE_BODY_BYTES, b'x');
    let connecting = net::TcpStream::connect(node.callers_address());
    let mut connection = connecting.await.unwrap();
    // Many senders read the answer only after they have sent everything.
    connection.write_all(&request).await.unwrap();
    let mut received = Vec::new();
    let reading = async {
        // The head and the body of the answer may arrive in separate segments.
        while !String::from_utf8_lossy(&received).contains("not-run") {
            match connection.read_buf(&mut received).await {
                Ok(0) => break,
                Ok(_) => {}
                // The node closes with unread bytes, so a reset may follow what it sent.
                Err(failure) => {
                    assert!(!received.is_empty(), "{failure}");
                    break;
                }
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reading).await.unwrap();
    let answer = String::from_utf8_lossy(&received);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
    assert!(answer.contains("not-run"), "{answer}");
    assert_alive(node.callers_address()).await;
    node.drain().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_sender_is_refused_as_not_run_when_its_time_is_up() {
    let serving = support::ServingNode::start("body-timeout-seconds = 1").await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {}\r\n\
         Content-Length: 100\r\n\r\n{{\"model\": \"draft\", ",
        support::REPEAT_KEY,
    );
    let asking = exchange(serving.node.callers_address(), head.as_bytes());
    let answer = tokio::time::timeout(TEST_TIMEOUT, asking).await.unwrap();
    let answer = answer.to_lowercase();
    assert!(answer.starts_with("http/1.1 408"), "{answer}");
    assert!(answer.contains("\"code\":1011"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert_eq!(serving.runs_of("draft"), []);
    let metrics = serving.node.handle().metrics_text().unwrap();
    let counted = "buckthornpier_answers_total{code=\"1011\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    assert_alive(serving.node.callers_address()).await;
}

#[test]
fn the_time_to_send_a_body_is_a_checked_setting() {
    for seconds in ["0", "601", "soon"] {
        let text = format!(
            "[node]\ndata-centre = a\nregion = r\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             peer-key = 0123456789abcdef0123456789abcdef\nbody-timeout-seconds = {seconds}\n\
             [platform]\nurl = http://127.0.0.1:9\n"
        );
        let refused = settings::NodeSettings::parse(&text).unwrap_err();
        assert!(
            refused.to_string().contains("body-timeout-seconds"),
            "{refused:#}"
        );
    }
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
