//! Callers that read their answers slowly harm neither the targets' standing nor other callers, and no
//! part of an answer passes as the whole.

mod support;

use std::time;

use support::{
    GROUP_MODEL, KEY, LongStream, RawAnswer, RawCaller, Script, ScriptedTarget, TestNode,
    group_member, node_with, plain_entry,
};

/// Time for which a target keeps an answer that is not read.
const PATIENCE: time::Duration = time::Duration::from_millis(1_500);

/// Time for which a slow caller reads nothing.
const SLOW_TIME: time::Duration = time::Duration::from_secs(3);

/// Size of an event in bytes.
const EVENT_BYTES: usize = 4 << 10;

/// Events of a stream that is longer than all buffers between target and caller.
const EVENTS: u32 = 3_000;

/// Size of an answer of which the node holds one and no second, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Memory for answers of that node, in MiB.
const ANSWER_BUDGET_MIB: u32 = 2;

/// Streams that an engine runs at once.
const STREAMS: usize = 8;

const EVENT_STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 6000\r\ncontent-length: 6\r\n\r\nprompt"
    )
}

const fn long(headers: &'static str) -> Script {
    Script::Long(LongStream {
        headers,
        last: EVENTS,
        event_bytes: EVENT_BYTES,
        patience: PATIENCE,
    })
}

/// Asks for an answer and begins to read it late.
async fn ask_slowly(node: &TestNode, path: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request(path)).await;
    tokio::time::sleep(SLOW_TIME).await;
    caller.answer().await
}

/// Checks that a target's end of an unread answer is counted as that and as nothing else.
async fn assert_only_unread(node: &TestNode, count: u64) {
    assert_eq!(
        node.metric("target_losses_total{cause=\"unread\"").await,
        count
    );
    assert_eq!(node.metric("target_losses_total").await, count);
}

fn has_all_events(answer: &RawAnswer) -> bool {
    let lines = answer.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse::<u32>().unwrap()).eq(1..=EVENTS)
}

/// Guards against a target that counts as failed because it cut off what a slow caller left, and
/// against a stream that ends there although it may be resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_was_cut_off_unread_goes_on_and_its_target_is_not_at_fault() {
    let (node, _targets) = node_with([long(EVENT_STREAM), long(EVENT_STREAM)]).await;
    let answer = ask_slowly(&node, "/talk/x").await;
    assert!(answer.is_complete);
    assert!(has_all_events(&answer));
    assert_only_unread(&node, 1).await;
}

/// Guards against a target that counts as failed where the stream cannot be resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_time_stream_that_was_cut_off_unread_is_cut_for_its_caller() {
    let (node, targets) = node_with([long(EVENT_STREAM), long(EVENT_STREAM)]).await;
    let answer = ask_slowly(&node, "/once/x").await;
    assert!(!answer.is_complete);
    assert_only_unread(&node, 1).await;
    let sent: usize = targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(sent, 1);
}

/// Guards against a part that passes as the whole, as a process that cuts it off lives on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_framing_that_was_cut_off_unread_is_not_whole() {
    let unframed = "content-type: text/plain\r\nconnection: close\r\n";
    let (node, _targets) = node_with([long(unframed), long(unframed)]).await;
    let answer = ask_slowly(&node, "/once/x").await;
    assert!(answer.body.len() < usize::try_from(EVENTS).unwrap() * EVENT_BYTES);
    assert!(!answer.is_complete);
    assert_only_unread(&node, 1).await;
}

/// Guards against answers that nobody reads, and that keep others from being read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_answer_that_is_unread_longest_ends_visibly_for_another() {
    let body: &'static str = Box::leak("a".repeat(ANSWER_BYTES).into_boxed_str());
    let target = ScriptedTarget::start(Script::Whole(body)).await;
    let entries = vec![plain_entry("vm-1", target.address)];
    let node = TestNode::start_with_answers(ANSWER_BUDGET_MIB, entries).await;
    let mut slow = RawCaller::connect(node.callers).await;
    slow.send(&request("/post/slow")).await;
    tokio::time::sleep(SLOW_TIME / 2).await;
    for _ in 0..5 {
        let mut caller = RawCaller::connect(node.callers).await;
        caller.send(&request("/post/x")).await;
        let answer = caller.answer().await;
        assert_eq!(answer.status(), 200);
        assert_eq!(
            (answer.body.len(), answer.is_complete),
            (ANSWER_BYTES, true)
        );
    }
    let cut = slow.answer().await;
    assert!(!cut.is_complete);
    assert_eq!(node.metric("ended_answers_total{cause=\"unread\"").await, 1);
    assert_eq!(node.metric("target_losses_total").await, 0);
}

/// Guards against streams that nobody reads, and that keep ordinary answers from being read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_nobody_reads_leave_room_for_ordinary_answers() {
    let engine = ScriptedTarget::start(long(EVENT_STREAM)).await;
    let plain = ScriptedTarget::start(Script::Whole("ok")).await;
    let entries = vec![
        group_member("g0", 0, engine.address),
        group_member("g0", 1, engine.address),
        plain_entry("vm-1", plain.address),
    ];
    let node = TestNode::start_with_answers(1, entries).await;
    let mut slow = Vec::new();
    for _ in 0..STREAMS {
        let mut caller = RawCaller::connect(node.callers).await;
        caller.send(&request("/once/x")).await;
        slow.push(caller);
    }
    tokio::time::sleep(SLOW_TIME / 2).await;
    for _ in 0..20 {
        let mut caller = RawCaller::connect(node.callers).await;
        caller.send(&request("/post/x")).await;
        let answer = caller.answer().await;
        assert_eq!((answer.status(), answer.body.as_str()), (200, "ok"));
    }
    for mut caller in slow {
        let answer = caller.answer().await;
        assert_eq!(answer.status(), 200);
        assert!(!answer.is_complete || has_all_events(&answer));
    }
}
