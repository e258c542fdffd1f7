//! Crowds of callers that fill a node's memory with the bodies of their requests. The node is the
//! real program; nothing limits its memory but its own settings, so the tests read what it uses.
//!
//! The checks do not depend on the machine's speed. One test runs at a time.

mod crowds;
#[path = "../../../platform/tests/standins/mod.rs"]
mod standins;
mod support;

use std::{fmt::Write as _, time};

use crowds::{CrowdedNode, MAX_DESCRIPTORS};
use standins::BODY_SIZE;
use tokio::{io::AsyncWriteExt as _, net::TcpStream};

/// Callers of a crowd. Their bodies together are one and a half times the node's memory.
const CROWD: usize = 42;

/// One of this many callers sends its body to the end.
const WHOLE_EVERY: usize = 8;

/// What the other callers leave out of their bodies, in bytes.
const MISSING_BYTES: usize = 1 << 10;

/// Callers of the crowd that is large in number.
const LARGE_CROWD: usize = 400;

/// What each caller of the large crowd sends of its body, in bytes.
const LARGE_CROWD_BYTES: usize = 20 << 10;

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn start(name: &str) -> CrowdedNode {
    CrowdedNode::start(name, standins::start().await, MAX_DESCRIPTORS).await
}

/// Sends bytes in pieces; ends at the first that the node does not take.
async fn send_pieces(stream: &mut TcpStream, bytes: &[u8], piece: usize, pause: time::Duration) {
    for part in bytes.chunks(piece) {
        if stream.write_all(part).await.is_err() {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Returns what a caller sends of its body; most stop short of the end.
fn sent_size(number: usize) -> usize {
    if number.is_multiple_of(WHOLE_EVERY) {
        BODY_SIZE
    } else {
        BODY_SIZE - MISSING_BYTES
    }
}

/// Returns a request whose body has a length, up to where a caller stops.
fn sized_request(number: usize) -> Vec<u8> {
    let head = standins::request_head(&format!("content-length: {BODY_SIZE}\r\n"));
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + sent_size(number), b'a');
    bytes
}

/// Returns the chunks of a body.
fn chunks(size: usize, chunk: usize) -> String {
    let mut text = String::new();
    let mut left = size;
    while left > 0 {
        let length = chunk.min(left);
        left -= length;
        let data = "a".repeat(length);
        write!(text, "{length:x}\r\n{data}\r\n").unwrap();
    }
    text
}

/// Returns a request whose body comes in chunks, up to where a caller stops.
fn chunked_request(number: usize, chunk: usize) -> Vec<u8> {
    let mut text = standins::request_head("transfer-encoding: chunked\r\n");
    text += &chunks(sent_size(number), chunk);
    if number.is_multiple_of(WHOLE_EVERY) {
        text += "0\r\n\r\n";
    }
    text.into_bytes()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_whole_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("whole").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = sized_request(number);
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_come_in_pieces_and_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("pieces").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = sized_request(number);
        send_pieces(stream, &bytes, 16 << 10, time::Duration::from_millis(2)).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("large-chunks").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = chunked_request(number, 1 << 20);
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_very_small_chunks_that_stop_short() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("small-chunks").await;
    node.bear(CROWD, async |number, stream: &mut TcpStream| {
        let bytes = chunked_request(number, 64);
        send_pieces(stream, &bytes, 64 << 10, time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_announced() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("announced").await;
    node.bear(CROWD, async |_number, stream: &mut TcpStream| {
        let lines = format!("content-length: {}\r\n", 16 * BODY_SIZE);
        let mut bytes = standins::request_head(&lines).into_bytes();
        bytes.resize(bytes.len() + 2 * BODY_SIZE, b'a');
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_that_are_just_sent() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("just-sent").await;
    node.bear(CROWD, async |_number, stream: &mut TcpStream| {
        let mut text = standins::request_head("transfer-encoding: chunked\r\n");
        text += &chunks(2 * BODY_SIZE, 256 << 10);
        let bytes = text.into_bytes();
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn more_bodies_than_connections_that_are_allowed() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let node = start("many").await;
    node.bear(LARGE_CROWD, async |_number, stream: &mut TcpStream| {
        let mut text = standins::request_head("transfer-encoding: chunked\r\n");
        text += &chunks(LARGE_CROWD_BYTES, 1 << 10);
        let bytes = text.into_bytes();
        send_pieces(stream, &bytes, bytes.len(), time::Duration::ZERO).await;
    })
    .await;
}
