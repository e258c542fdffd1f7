//! A write is reported as not applied only when that is certain, and each call is sent once.

use std::{sync, time};

use pier_platform::objects;
use pier_types::epochs;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends the same reply on each connection; closes connections without a reply if it is empty.
async fn serve(reply: &'static str) -> (String, sync::Arc<sync::atomic::AtomicU32>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let calls = sync::Arc::new(sync::atomic::AtomicU32::new(0));
    let counter = sync::Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let mut buffer = [0_u8; 4096];
            let read = stream.read(&mut buffer).await.unwrap_or(0);
            if read > 0 {
                counter.fetch_add(1, sync::atomic::Ordering::SeqCst);
            }
            let _sent = stream.write_all(reply.as_bytes()).await;
        }
    });
    (base, calls)
}

async fn write(base: &str) -> objects::WriteResult {
    let client = objects::ObjectClient::new(base).unwrap();
    let client = client.with_call_timeout(time::Duration::from_secs(20));
    let version = epochs::ObjectVersion::new(4);
    client
        .write("config/document", version, "text".into())
        .await
}

#[tokio::test]
async fn accepted_write_returns_its_version() {
    let reply = "HTTP/1.1 200 OK\r\nX-Object-Version: 5\r\nContent-Length: 0\r\n\r\n";
    let (base, _calls) = serve(reply).await;
    let version = epochs::ObjectVersion::new(5);
    assert_eq!(write(&base).await, objects::WriteResult::Written(version));
}

#[tokio::test]
async fn conflict_returns_the_current_version() {
    let reply = "HTTP/1.1 409 Conflict\r\nX-Object-Version: 9\r\nContent-Length: 0\r\n\r\n";
    let (base, _calls) = serve(reply).await;
    let version = epochs::ObjectVersion::new(9);
    assert_eq!(write(&base).await, objects::WriteResult::Conflict(version));
}

#[tokio::test]
async fn write_without_reply_is_unknown_and_sent_once() {
    let (base, calls) = serve("").await;
    let result = write(&base).await;
    assert!(
        matches!(result, objects::WriteResult::Unsettled { .. }),
        "{result:?}"
    );
    assert_eq!(calls.load(sync::atomic::Ordering::SeqCst), 1);
}

#[tokio::test]
async fn write_on_a_closed_connection_is_sent_once() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let calls = sync::Arc::new(sync::atomic::AtomicU32::new(0));
    let counter = sync::Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let mut buffer = [0_u8; 4096];
            // Answers the first call and keeps the connection open; closes it on the second call.
            while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                if counter.fetch_add(1, sync::atomic::Ordering::SeqCst) > 0 {
                    break;
                }
                let reply = b"HTTP/1.1 200 OK\r\nX-Object-Version: 4\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(reply).await.unwrap();
            }
        }
    });
    let client = objects::ObjectClient::new(&base).unwrap();
    let mut results = Vec::new();
    for version in [3, 4] {
        let condition = epochs::ObjectVersion::new(version);
        results.push(
            client
                .write("config/document", condition, "text".into())
                .await,
        );
    }
    let written = epochs::ObjectVersion::new(4);
    assert_eq!(results[0], objects::WriteResult::Written(written));
    assert!(
        matches!(results[1], objects::WriteResult::Unsettled { .. }),
        "{results:?}"
    );
    assert_eq!(calls.load(sync::atomic::Ordering::SeqCst), 2);
}

#[tokio::test]
async fn server_error_redirect_and_success_without_version_are_unknown() {
    for reply in [
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 307 Moved\r\nLocation: /objects/other\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ] {
        let (base, calls) = serve(reply).await;
        let result = write(&base).await;
        assert!(
            matches!(result, objects::WriteResult::Unsettled { .. }),
            "{result:?}"
        );
        assert_eq!(calls.load(sync::atomic::Ordering::SeqCst), 1);
    }
}

#[tokio::test]
async fn write_to_a_closed_port_is_not_applied() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let result = write(&base).await;
    assert!(
        matches!(result, objects::WriteResult::Unreached { .. }),
        "{result:?}"
    );
}

#[tokio::test]
async fn read_tells_absent_from_unavailable() {
    let (base, _calls) = serve("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n").await;
    let client = objects::ObjectClient::new(&base).unwrap();
    assert_eq!(client.read("lease/a").await, objects::ReadResult::Absent);
    let (base, _calls) = serve("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n").await;
    let client = objects::ObjectClient::new(&base).unwrap();
    let result = client.read("lease/a").await;
    assert!(
        matches!(result, objects::ReadResult::Unavailable { .. }),
        "{result:?}"
    );
}
