//! A drain waits for the answers to callers with slow links, and not for callers that take nothing.

mod support;

use std::{net, time};

use pier_node::callers;
use pier_types::{epochs, reports, sizes, times, vms};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

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

/// Pause that makes the answer take 5 s: longer than the server gives connections to close.
const PIECE_PAUSE: time::Duration = time::Duration::from_micros(16_600);

/// Time in which a drain ends that has no further answers to write, or none that callers take; the
/// limit of the drain is far longer.
const END_TIME: time::Duration = time::Duration::from_secs(30);

/// A plain service whose answers are large.
async fn launch_target() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _peer) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let body = if head.starts_with(b"GET /report ") {
        report()
    } else {
        "e".repeat(ANSWER_BYTES)
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    // The node may have left.
    let _written = stream.write_all(answer.as_bytes()).await;
}

fn report() -> String {
    let report = reports::EngineReport {
        vm: "ledger-2".parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::default(),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::default(),
        queued: sizes::RequestCount::default(),
        is_leaving: false,
    };
    serde_json::to_string(&report).unwrap()
}

/// Starts a node whose only service is the one with large answers.
async fn start() -> support::ServingNode {
    let serving = support::ServingNode::start("").await;
    let address = launch_target().await;
    let pool = vms::VmPool::Service("ledger".parse().unwrap());
    let entry = support::entry("ledger-2", address, pool);
    serving.platform.set_vms(vec![entry]);
    support::wait_for("the large service alone", || {
        let table = serving.node.handle().routes();
        let targets = table.targets(&support::service_pool());
        targets.len() == 1 && targets[0].address == address && targets[0].share.get() > 0
    })
    .await;
    serving
}

/// Sends a request over a slow link and waits until its answer begins.
async fn begin_answer(node: net::SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_mss(SEGMENT_BYTES).unwrap();
    let mut stream = socket.connect(node).await.unwrap();
    let key = support::REPEAT_KEY;
    let request = format!(
        "GET /services/ledger/balance HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.readable().await.unwrap();
    stream
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

/// Guards against waiting for callers that take nothing, and against not waiting for others.
#[test]
fn a_caller_is_waited_for_while_it_takes_its_answer() {
    let at = |seconds: u64| times::BootTime::from_micros(seconds * 1_000_000);
    let caller = |port: u16| net::SocketAddr::from(([127, 0, 0, 2], port));
    let mut unsent = callers::UnsentAnswers::default();
    assert!(!unsent.is_any_taken(at(1)));
    for (second, slow) in [(1, 900), (4, 700), (7, 500)] {
        let left = [(caller(1), slow), (caller(2), 60)].into();
        unsent.record(&left, 2, at(second));
        assert!(unsent.is_any_taken(at(second)));
    }
    // Only the second caller is left, which has taken nothing since the first look.
    unsent.record(&[(caller(2), 60)].into(), 1, at(8));
    assert!(!unsent.is_any_taken(at(8)));
    // An answer has not reached its connection yet.
    unsent.record(&[(caller(2), 60)].into(), 2, at(9));
    assert!(unsent.is_any_taken(at(9)));
    unsent.record(&[].into(), 0, at(10));
    assert_eq!(unsent.count(), 0);
}

/// Guards against a drain that cuts an answer which its caller is still reading.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_for_answers_that_slow_callers_read() {
    let serving = start().await;
    let mut slow = begin_answer(serving.node.callers_address()).await;
    let draining = tokio::spawn(serving.node.drain());
    let read = read_slowly(&mut slow, ANSWER_BYTES - DELIVERED_BYTES).await;
    assert!(
        !draining.is_finished(),
        "the drain ended before the caller's system had the answer: {read} bytes"
    );
    let mut rest = vec![0; ANSWER_BYTES - read];
    slow.read_exact(&mut rest).await.unwrap();
    tokio::time::timeout(END_TIME, draining)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a drain that a caller holds up by taking nothing of its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_takes_nothing_does_not_hold_up_a_drain() {
    let serving = start().await;
    let _stalled = begin_answer(serving.node.callers_address()).await;
    let drained = tokio::time::timeout(END_TIME, serving.node.drain()).await;
    assert!(drained.is_ok());
}
