//! An answer that never ends is cut off at a limit: its connection is closed, its target gets no
//! requests for a moment, its caller is answered at once, and other requests are unharmed.

mod support;

use std::time;

use support::{
    GROUP_MODEL, KEY, RawAnswer, RawCaller, Script, ScriptedTarget, TestNode, group_member,
    plain_entry,
};

/// Time in which an answer without end has exceeded every limit, and its caller has
/// been answered; the deadline of the requests is far longer.
const CUT_TIME: time::Duration = time::Duration::from_secs(2);

/// Most bytes that a target can send of an answer without end: those that the longest sound answer
/// may have, and those that fit into the buffers of the kernel (4 MiB to send, 6 MiB to receive).
const MAX_SENT_BYTES: usize = 14 << 20;

const EVENTS: u32 = 3;

/// Greatest number of requests sent until a certain one of two groups has been chosen.
const TRIES: u32 = 40;

/// A length that a model's longest answer can have.
const LONG_ANSWER_BYTES: usize = 3 << 20;

/// A length that one event can have when it holds many tokens.
const LONG_EVENT_BYTES: usize = 100 << 10;

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 6000\r\ncontent-length: 6\r\n\r\nprompt"
    )
}

async fn ask(node: &TestNode, path: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request(path)).await;
    caller.answer().await
}

fn endless(start: &'static str, piece: &'static str) -> Script {
    Script::Endless { start, piece }
}

/// Answers that go on for ever after the beginning of a head or a body.
fn endless_whole_answers() -> Vec<(&'static str, Script)> {
    vec![
        ("head", endless("HTTP/1.1 200 OK\r\nx-filler: ", "aaaaaaaa")),
        ("headers", endless("HTTP/1.1 200 OK\r\n", "x-filler: a\r\n")),
        (
            "interim heads",
            endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ),
        (
            "body without framing",
            endless(
                "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\n\r\n",
                "aaaaaaaa",
            ),
        ),
        (
            "chunks",
            endless(
                "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n",
                "40\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
            ),
        ),
        (
            "trailers",
            endless(
                "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                "x-filler: a\r\n",
            ),
        ),
    ]
}

/// Streams whose first event never ends.
fn endless_events() -> Vec<Script> {
    let start = "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\n\
                 content-type: text/event-stream\r\n\r\ndata: ";
    vec![
        endless(start, "aaaaaaaa"),
        endless(start, "a\n: a comment\n"),
    ]
}

/// Guards against answers without end that take memory and time until the deadline.
#[tokio::test]
async fn a_one_time_answer_without_end_is_502_at_once_and_closes_its_connection() {
    for (name, script) in endless_whole_answers() {
        let target = ScriptedTarget::start(script).await;
        let node = TestNode::start(vec![plain_entry("vm-1", target.address)]).await;
        let started = time::Instant::now();
        let answer = ask(&node, "/post/x").await;
        assert_eq!(answer.status(), 502, "{name}");
        assert!(started.elapsed() < CUT_TIME, "{name}");
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert_eq!(target.closed(), 1, "{name}");
        assert!(target.sent() < MAX_SENT_BYTES, "{name}: {}", target.sent());
    }
}

/// Guards against answers without end that fail a request which another target can serve, and
/// against more requests to their target right after.
#[tokio::test]
async fn a_target_that_answers_without_end_rests_and_another_one_serves() {
    for (name, script) in endless_whole_answers() {
        let broken = ScriptedTarget::start(script).await;
        let sound = ScriptedTarget::start(Script::Whole("ok")).await;
        let entries = vec![
            plain_entry("vm-1", broken.address),
            plain_entry("vm-2", sound.address),
        ];
        let node = TestNode::start(entries).await;
        for _ in 0..20 {
            let answer = ask(&node, "/read/x").await;
            assert_eq!(
                (answer.status(), answer.body.as_str()),
                (200, "ok"),
                "{name}"
            );
        }
        assert!(broken.requests().len() <= 1, "{name}");
    }
}

/// Guards against an event without end that takes all memory.
#[tokio::test]
async fn a_stream_with_an_event_without_end_is_resumed() {
    for script in endless_events() {
        let broken = ScriptedTarget::start(script).await;
        let sound = ScriptedTarget::start(Script::Events {
            last: EVENTS,
            pause_ms: 1,
            cut_in: None,
            silent_from: None,
        })
        .await;
        let node = TestNode::start(vec![
            group_member("g0", 0, broken.address),
            group_member("g0", 1, broken.address),
            group_member("g1", 0, sound.address),
            group_member("g1", 1, sound.address),
        ])
        .await;
        for _ in 0..TRIES {
            let started = time::Instant::now();
            let answer = ask(&node, "/talk/x").await;
            assert!(started.elapsed() < CUT_TIME);
            assert!(answer.is_complete);
            assert!(answer.body.ends_with("id: 3\ndata: part 3\n\n"));
            assert!(broken.sent() < MAX_SENT_BYTES, "{}", broken.sent());
            if !broken.requests().is_empty() {
                break;
            }
        }
        assert_eq!(broken.requests().len(), 1);
        assert_eq!(broken.closed(), 1);
    }
}

/// Guards against a one-time stream whose event without end keeps its caller waiting.
#[tokio::test]
async fn a_one_time_stream_with_an_event_without_end_is_cut_at_once() {
    for script in endless_events() {
        let target = ScriptedTarget::start(script).await;
        let node = TestNode::start(vec![
            group_member("g0", 0, target.address),
            group_member("g0", 1, target.address),
        ])
        .await;
        let started = time::Instant::now();
        let answer = ask(&node, "/once/x").await;
        assert!(!answer.is_complete);
        assert!(started.elapsed() < CUT_TIME);
        assert!(answer.body.is_empty());
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert_eq!(target.closed(), 1);
        assert!(target.sent() < MAX_SENT_BYTES, "{}", target.sent());
    }
}

/// Guards against limits that keep long sound answers from their callers.
#[tokio::test]
async fn a_long_sound_answer_is_passed_on_whole() {
    let body: &'static str = "a".repeat(LONG_ANSWER_BYTES).leak();
    let target = ScriptedTarget::start(Script::Whole(body)).await;
    let node = TestNode::start(vec![plain_entry("vm-1", target.address)]).await;
    let answer = ask(&node, "/post/x").await;
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
}

/// Guards against limits that keep long sound events from their callers.
#[tokio::test]
async fn a_long_sound_event_is_passed_on_whole() {
    let body = format!("id: 1\ndata: {}\n\n", "a".repeat(LONG_EVENT_BYTES));
    let script = Script::UntilClose {
        headers: "content-type: text/event-stream\r\n",
        body: body.clone(),
    };
    let target = ScriptedTarget::start(script).await;
    let node = TestNode::start(vec![
        group_member("g0", 0, target.address),
        group_member("g0", 1, target.address),
    ])
    .await;
    let answer = ask(&node, "/once/x").await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, body);
}
