//! Results of watches and listings distinguish "no change", "no object" and "no answer"; keys reach
//! the platform unchanged.

use std::time;

use pier_fakes::platform;
use pier_platform::{lists, objects};
use pier_types::epochs;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SHORT_WAIT: time::Duration = time::Duration::from_millis(30);
const LONG_WAIT: time::Duration = time::Duration::from_secs(20);

fn version(number: u64) -> epochs::ObjectVersion {
    epochs::ObjectVersion::new(number)
}

async fn platform() -> (platform::FakePlatform, objects::ObjectClient) {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let client = objects::ObjectClient::new(&format!("http://{}/", server.address())).unwrap();
    (server, client)
}

#[tokio::test]
async fn watch_waits_for_a_version_above_the_one_named() {
    let (_server, client) = platform().await;
    let absent = client.watch("lease/a", version(0), SHORT_WAIT).await;
    assert_eq!(absent, objects::WatchResult::Unchanged);
    let written = client.write("lease/a", version(0), "one".into()).await;
    assert_eq!(written, objects::WriteResult::Written(version(1)));
    let unchanged = client.watch("lease/a", version(1), SHORT_WAIT).await;
    assert_eq!(unchanged, objects::WatchResult::Unchanged);
    let watching = client.watch("lease/a", version(1), LONG_WAIT);
    let writing = client.write("lease/a", version(1), "two".into());
    let (changed, _written) = tokio::join!(watching, writing);
    let expected = objects::WatchResult::Changed {
        version: version(2),
        bytes: "two".into(),
    };
    assert_eq!(changed, expected);
}

#[tokio::test]
async fn keys_with_special_characters_stay_distinct() {
    let (_server, client) = platform().await;
    let keys = [
        "claim/a/x y",
        "claim/a/x?y=1",
        "claim/a/x%20y",
        "claim/a/ü#",
    ];
    for key in keys {
        let written = client.write(key, version(0), key.to_owned().into()).await;
        assert_eq!(written, objects::WriteResult::Written(version(1)), "{key}");
    }
    for key in keys {
        let expected = objects::ReadResult::Found {
            version: version(1),
            bytes: key.into(),
        };
        assert_eq!(client.read(key).await, expected);
    }
    let objects::ListResult::Listed(entries) = client.list("claim/a/").await else {
        panic!("no listing");
    };
    assert_eq!(entries.len(), keys.len());
    let deleted = client.delete(keys[0], version(1)).await;
    assert_eq!(deleted, objects::WriteResult::Written(version(2)));
    assert_eq!(client.read(keys[0]).await, objects::ReadResult::Absent);
}

#[tokio::test]
async fn list_that_does_not_parse_is_an_error() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let mut buffer = [0_u8; 4096];
            let _read = stream.read(&mut buffer).await;
            let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[{\"name\":";
            let _sent = stream.write_all(reply).await;
        }
    });
    let client = lists::VmListClient::new(&base).unwrap();
    assert!(client.fetch().await.is_err());
    let client = objects::ObjectClient::new(&base).unwrap();
    let listing = client.list("claim/").await;
    assert!(matches!(listing, objects::ListResult::Unavailable { .. }));
}

#[tokio::test]
async fn unchanged_list_is_not_returned_again() {
    let platform = platform::FakePlatform::builder().launch().await.unwrap();
    let base = format!("http://{}", platform.address());
    let client = lists::VmListClient::new(&base).unwrap();
    let listing = client.fetch().await.unwrap();
    assert!(listing.tag.is_some());
    let again = client.fetch_changed(listing.tag.as_deref()).await.unwrap();
    assert_eq!(again, None);
    let other = client.fetch_changed(Some("\"other\"")).await.unwrap();
    assert_eq!(other, Some(listing));
}

/// Guards against an object whose body was broken off and that is taken for the whole value.
#[tokio::test]
async fn an_object_without_framing_is_not_taken_for_whole() {
    let address = serve_bytes("HTTP/1.1 200 OK\r\nX-Object-Version: 3\r\n\r\n[customer a]\n").await;
    let client = objects::ObjectClient::new(&format!("http://{address}")).unwrap();
    let result = client.read("config/document").await;
    assert!(
        matches!(result, objects::ReadResult::Unavailable { .. }),
        "{result:?}"
    );
}

/// Guards against an object without end that takes memory until the time-out.
#[tokio::test]
async fn an_object_over_the_limit_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\nX-Object-Version: 3\r\ncontent-length: 8000000\r\n\r\n";
    let value = "a".repeat(8_000_000);
    let address = serve_bytes(format!("{head}{value}").leak()).await;
    let client = objects::ObjectClient::new(&format!("http://{address}")).unwrap();
    let result = client.read("config/document").await;
    assert!(matches!(result, objects::ReadResult::Unavailable { .. }));
}

/// Answers one request with these bytes, then closes the connection.
async fn serve_bytes(bytes: &'static str) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _length = stream.read(&mut request).await.unwrap();
        // The client may close the connection before it has read everything.
        let _unread = stream.write_all(bytes.as_bytes()).await;
    });
    address
}
