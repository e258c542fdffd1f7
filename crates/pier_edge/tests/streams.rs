//! Streams are forwarded event by event and resumed at another target within one answer, without
//! lost, repeated or partial events.

mod support;

use std::time;

use support::{
    GROUP_MODEL, KEY, RawCaller, Script, ScriptedTarget, TestNode, group_member, node_with,
};

const EVENTS: u32 = 12;

/// Greatest number of requests sent until a certain one of two groups has been chosen. The choice
/// is random, so that it is practically impossible that all of them miss it.
const TRIES: u32 = 40;

fn events(cut_in: Option<u32>, silent_from: Option<u32>) -> Script {
    Script::Events {
        last: EVENTS,
        pause_ms: 20,
        cut_in,
        silent_from,
    }
}

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 5000\r\ncontent-length: 6\r\n\r\nprompt"
    )
}

/// Returns the complete stream that the caller should receive.
fn all_events() -> String {
    let events = (1..=EVENTS).map(|id| format!("id: {id}\ndata: part {id}\n\n"));
    events.collect::<Vec<_>>().concat()
}

async fn ask(node: &TestNode, path: &str) -> support::RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request(path)).await;
    caller.answer().await
}

#[tokio::test]
async fn a_stream_is_forwarded_completely() {
    let (node, _targets) = node_with([events(None, None), events(None, None)]).await;
    let answer = ask(&node, "/talk/x").await;
    assert_eq!((answer.status(), answer.body), (200, all_events()));
    assert!(answer.is_complete);
}

#[tokio::test]
async fn a_stream_that_breaks_within_an_event_is_resumed_without_gap_or_repeat() {
    let (node, targets) = node_with([events(Some(5), None), events(None, None)]).await;
    // The choice between equally loaded groups is random, so this repeats until the broken one was
    // chosen.
    for _ in 0..TRIES {
        let answer = ask(&node, "/talk/x").await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, all_events());
        if !targets[0].requests().is_empty() {
            break;
        }
    }
    assert!(
        !targets[0].requests().is_empty(),
        "the broken group was never chosen"
    );
    let resumed = targets[1].requests();
    assert!(
        resumed.iter().any(|request| request.contains("x-after: 4")),
        "{resumed:?}"
    );
}

#[tokio::test]
async fn streams_of_a_silent_group_are_moved_before_the_caller_gives_up() {
    let (node, targets) = node_with([events(None, Some(6)), events(None, None)]).await;
    let mut moved = 0;
    for _ in 0..TRIES {
        if moved > 0 {
            break;
        }
        let started = time::Instant::now();
        let before = targets[0].requests().len();
        let answer = ask(&node, "/talk/x").await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, all_events());
        assert!(started.elapsed() < time::Duration::from_millis(2_500));
        moved += targets[0].requests().len() - before;
    }
    assert!(moved > 0, "the silent group was never chosen");
}

#[tokio::test]
async fn a_broken_one_time_stream_ends_without_a_proper_end_of_the_body() {
    let broken = events(Some(5), None);
    let (node, targets) = node_with([broken.clone(), broken]).await;
    let answer = ask(&node, "/once/x").await;
    assert_eq!(answer.status(), 200);
    assert!(!answer.is_complete);
    assert_eq!(targets[0].requests().len() + targets[1].requests().len(), 1);
}

#[tokio::test]
async fn a_caller_that_disconnects_ends_its_stream_at_the_target() {
    let slow = Script::Events {
        last: 200,
        pause_ms: 20,
        cut_in: None,
        silent_from: None,
    };
    let (node, targets) = node_with([slow.clone(), slow]).await;
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request("/talk/x")).await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    drop(caller);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    assert_eq!(targets[0].closed() + targets[1].closed(), 1);
}

#[tokio::test]
async fn a_group_that_lacks_a_member_gets_no_requests() {
    let target = ScriptedTarget::start(events(None, None)).await;
    let node = TestNode::start(vec![group_member("g0", 0, target.address)]).await;
    let answer = ask(&node, "/talk/x").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(target.requests().is_empty());
}

#[tokio::test]
async fn a_stream_that_may_have_run_without_beginning_is_not_reported_as_not_run() {
    let (node, targets) = node_with([Script::Close, Script::Close]).await;
    let answer = ask(&node, "/talk/x").await;
    assert_eq!(answer.status(), 502);
    assert!(answer.header("retry-after").is_some());
    assert!(targets[0].requests().len() + targets[1].requests().len() >= 1);
}
