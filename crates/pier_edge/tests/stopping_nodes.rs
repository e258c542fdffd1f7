//! A node that is told to stop ends once its callers have their answers.
//!
//! The signal reaches every node of the process, so that this file has a single test.

mod support;

use std::{net, time};

use rustix::process;
use support::{KEY, RawCaller, Script, ScriptedTarget, TestNode, plain_entry};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
};

/// Size of an answer in bytes, more than the system buffers for a connection.
const ANSWER_BYTES: usize = 3_000_000;

/// Receive buffer of a caller with a slow link, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// Bytes at the end of the answer that the caller's system may hold unread: Linux doubles the size
/// that is asked for. They are with the caller, so that the node may end before they are read.
const DELIVERED_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES as usize;

/// Segment size of a network link, which is smaller than that of the loopback device, in bytes.
const SEGMENT_BYTES: u32 = 1_460;

/// Bytes that the caller reads between two pauses.
const PIECE_BYTES: usize = 10_000;

/// Pause that makes the answer take 5 s: longer than the node accepts requests once it stops, and
/// shorter than its grace.
const PIECE_PAUSE: time::Duration = time::Duration::from_micros(16_600);

/// Time in which a node ends that has no further answers to write.
const END_TIME: time::Duration = time::Duration::from_secs(1);

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-timeout-ms: 6000\r\ncontent-length: 0\r\n\r\n"
    )
}

async fn connect_slowly(address: net::SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Reads as much as a slow link lets through, up to the head and `size` bytes of the body; returns
/// what was read of the body.
async fn read_slowly(stream: &mut TcpStream, size: usize) -> usize {
    let mut read = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    let mut pause = tokio::time::interval(PIECE_PAUSE);
    loop {
        pause.tick().await;
        let count = stream.read_exact(&mut piece).await.unwrap_or(0);
        read.extend_from_slice(&piece[..count]);
        let end = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let body = end.map_or(0, |end| read.len() - end - 4);
        if count == 0 || body >= size {
            return body;
        }
    }
}

/// Guards against a node that ends while it still writes an answer to a caller with a slow link, and
/// against one that waits for callers that have their answers.
#[tokio::test]
async fn a_node_ends_once_its_slow_callers_have_their_answers() {
    let body: &'static str = "e".repeat(ANSWER_BYTES).leak();
    let target = ScriptedTarget::start(Script::Whole(body)).await;
    let node = TestNode::start(vec![plain_entry("vm-1", target.address)]).await;
    let mut idle = RawCaller::connect(node.callers).await;
    idle.send(&request("/post/idle")).await;
    assert_eq!(idle.answer().await.body.len(), ANSWER_BYTES);
    let mut slow = connect_slowly(node.callers).await;
    let text = request("/post/slow");
    slow.write_all(text.as_bytes()).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    process::kill_process(process::getpid(), process::Signal::TERM).unwrap();
    let read = read_slowly(&mut slow, ANSWER_BYTES - DELIVERED_BYTES).await;
    assert!(
        !node.has_ended(),
        "the node ended before its caller's system had the answer"
    );
    let mut rest = vec![0; ANSWER_BYTES - read];
    slow.read_exact(&mut rest).await.unwrap();
    tokio::time::sleep(END_TIME).await;
    assert!(node.has_ended());
    drop(idle);
}
