//! A second copy of an answer, on a connection that is in use again, is not taken for the answer of
//! the request there.

mod support;

use std::sync::{Arc, atomic};

use support::{
    GROUP_MODEL, KEY, RawAnswer, RawCaller, TestNode, document, free_address, plain_entry,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// A target that answers the first request of each connection in a way of the test's, and begins its
/// answer to the second one with a copy of that.
struct CopyingTarget {
    address: std::net::SocketAddr,
    requests: Arc<atomic::AtomicUsize>,
}

/// What a copy says about whose answer it is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CopyNaming {
    FirstAttempt,
    Nobody,
}

impl CopyingTarget {
    async fn start(first_head: &'static str, naming: CopyNaming) -> Self {
        let listener = TcpListener::bind(free_address()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(atomic::AtomicUsize::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let (stream, _from) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, first_head, naming, Arc::clone(&counted)));
            }
        });
        Self { address, requests }
    }
}

async fn serve(
    mut stream: TcpStream,
    first_head: &str,
    naming: CopyNaming,
    requests: Arc<atomic::AtomicUsize>,
) {
    let mut copy = Vec::new();
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_closed) => return,
            }
        }
        requests.fetch_add(1, atomic::Ordering::SeqCst);
        let head = String::from_utf8(head).unwrap();
        let attempt = support::header(&head, "x-attempt").unwrap();
        let answer = if copy.is_empty() {
            let named = format!("x-attempt: {attempt}\r\n");
            let first = |name: &str| {
                format!("HTTP/1.1 {first_head}\r\n{name}content-length: 5\r\n\r\nfirst")
            };
            copy = match naming {
                CopyNaming::FirstAttempt => first(&named),
                CopyNaming::Nobody => first(""),
            }
            .into_bytes();
            first(&named).into_bytes()
        } else {
            let own =
                format!("HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\ncontent-length: 3\r\n\r\nown");
            [copy.clone(), own.into_bytes()].concat()
        };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

async fn ask(node: &TestNode, path: &str, attempt: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: {attempt}\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 2000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await
}

async fn start(first_head: &'static str, naming: CopyNaming) -> (TestNode, CopyingTarget) {
    let node = TestNode::start_bare().await;
    let target = CopyingTarget::start(first_head, naming).await;
    node.platform.put_target(plain_entry("t0", target.address));
    node.platform.put_document(document());
    node.settle().await;
    (node, target)
}

// Guards against a copy of an earlier refusal that makes a one-time request look as if it had not
// run, so that it is refused with 503 or sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_refusal_does_not_promise_that_a_one_time_request_has_not_run() {
    let (node, target) = start("503 Full\r\nx-not-run: 1", CopyNaming::FirstAttempt).await;
    let refused = ask(&node, "/post/x", "a1").await;
    assert_eq!(refused.status(), 503);
    let before = target.requests.load(atomic::Ordering::SeqCst);
    let answer = ask(&node, "/post/x", "a2").await;
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert_eq!(target.requests.load(atomic::Ordering::SeqCst), before + 1);
    assert_eq!(node.metric("foreign_answers_total").await, 1);
}

/// Guards against a refusal on a kept connection that names no attempt, may be a copy, and makes a
/// one-time request look as if it had not run, so that it is refused with 503 or sent again.
#[tokio::test(flavor = "multi_thread")]
async fn an_unnamed_refusal_on_a_kept_connection_promises_nothing() {
    let (node, target) = start("503 Full\r\nx-not-run: 1", CopyNaming::Nobody).await;
    let refused = ask(&node, "/post/x", "a1").await;
    assert_eq!(refused.status(), 503);
    let before = target.requests.load(atomic::Ordering::SeqCst);
    let answer = ask(&node, "/post/x", "a2").await;
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert_eq!(target.requests.load(atomic::Ordering::SeqCst), before + 1);
    assert_eq!(node.metric("foreign_answers_total").await, 1);
}

/// Guards against a connection that is kept after a refused stream, on which a copy of the refusal
/// could follow.
#[tokio::test(flavor = "multi_thread")]
async fn the_connection_of_a_refused_stream_is_not_used_again() {
    let node = TestNode::start_bare().await;
    let target = CopyingTarget::start("503 Full\r\nx-not-run: 1", CopyNaming::Nobody).await;
    for rank in [0, 1] {
        let entry = support::group_member("g0", rank, target.address);
        node.platform.put_target(entry);
    }
    node.platform.put_document(document());
    node.settle().await;
    for attempt in ["a1", "a2", "a3"] {
        assert_eq!(ask(&node, "/once/x", attempt).await.status(), 503);
    }
    assert_eq!(target.requests.load(atomic::Ordering::SeqCst), 3);
    assert_eq!(node.metric("foreign_answers_total").await, 0);
}

/// Checks that the second request on a connection does not get a copy of the first one's answer.
async fn assert_own_answer(first_head: &'static str, first_path: &str) {
    let (node, _target) = start(first_head, CopyNaming::FirstAttempt).await;
    assert_eq!(ask(&node, first_path, "a1").await.body, "first");
    let answer = ask(&node, "/post/x", "a2").await;
    assert_eq!(answer.status(), 502, "{answer:?}");
    assert_ne!(answer.body, "first");
}

// Guards against a copy of an earlier failure that reaches the next caller as the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_failure_does_not_reach_the_next_caller() {
    assert_own_answer("500 Failed", "/post/x").await;
}

// Guards against a copy of an earlier success that reaches the next caller as the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_copied_success_does_not_reach_the_next_caller() {
    assert_own_answer("200 OK", "/read/x").await;
}
