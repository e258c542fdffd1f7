//! A target that states in its answers that it leaves gets no further request.

mod support;

use std::time;

use pier_types::epochs;
use support::{
    FakePlatform, GROUP_MODEL, KEY, RawAnswer, RawCaller, Script, ScriptedTarget, TestNode,
    group_member, node_with, plain_entry,
};

/// Requests that would reach a target in use.
const MANY_REQUESTS: usize = 24;

/// Time within which a refusal counts as one at once.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(300);

fn request(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\n\r\n"
    )
}

async fn ask(node: &TestNode, path: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request(path)).await;
    caller.answer().await
}

/// Starts nodes of which the first passes on an answer of a leaving target; then another target is
/// registered. Returns the leaving one.
async fn fleet_that_learned(count: usize) -> (Vec<TestNode>, ScriptedTarget) {
    let leaving = ScriptedTarget::start(Script::Whole("done")).await;
    leaving.leave();
    let entries = vec![plain_entry("t0", leaving.address)];
    let nodes = TestNode::start_fleet(count, FakePlatform::default(), entries).await;
    assert_eq!(ask(&nodes[0], "/read/x").await.status(), 200);
    assert_eq!(leaving.requests().len(), 1);
    let staying = ScriptedTarget::start(Script::Whole("done")).await;
    let entry = plain_entry("t1", staying.address);
    nodes[0].platform.put_target(entry);
    nodes[0].settle().await;
    (nodes, leaving)
}

async fn assert_unused(node: &TestNode, target: &ScriptedTarget, path: &str) {
    let before = target.requests().len();
    for _ in 0..MANY_REQUESTS {
        assert_eq!(ask(node, path).await.status(), 200);
    }
    assert_eq!(target.requests().len(), before);
}

/// Guards against requests to a target that announced only in its answers that it leaves, including
/// while the store is unavailable.
#[tokio::test]
async fn a_target_gets_nothing_after_an_answer_that_says_it_leaves() {
    let (nodes, leaving) = fleet_that_learned(1).await;
    assert_unused(&nodes[0], &leaving, "/read/x").await;
    assert_unused(&nodes[0], &leaving, "/post/x").await;
    nodes[0].platform.set_away(true);
    nodes[0].settle().await;
    assert_unused(&nodes[0], &leaving, "/read/x").await;
}

/// Guards against a repeated registration without the leaving state that puts the target back into
/// use.
#[tokio::test]
async fn a_renewed_registration_does_not_take_the_notice_back() {
    let (nodes, leaving) = fleet_that_learned(1).await;
    let mut entry = plain_entry("t0", leaving.address);
    entry.standing.orders = 5;
    nodes[0].platform.put_target(entry.clone());
    nodes[0].settle().await;
    assert_unused(&nodes[0], &leaving, "/read/x").await;
    nodes[0].platform.remove_target("t0");
    nodes[0].settle().await;
    nodes[0].platform.put_target(entry);
    nodes[0].settle().await;
    assert_unused(&nodes[0], &leaving, "/read/x").await;
}

/// Guards against an announcement that also applies to the VM's next incarnation.
#[tokio::test]
async fn the_next_start_of_the_vm_is_used_again() {
    let (nodes, leaving) = fleet_that_learned(1).await;
    let restarted = ScriptedTarget::start(Script::Whole("done")).await;
    let mut entry = plain_entry("t0", restarted.address);
    entry.standing.born = epochs::VmIncarnation::new(2);
    nodes[0].platform.put_target(entry);
    nodes[0].platform.remove_target("t1");
    nodes[0].settle().await;
    assert_eq!(ask(&nodes[0], "/read/x").await.status(), 200);
    assert_eq!(restarted.requests().len(), 1);
    assert_eq!(leaving.requests().len(), 1);
}

/// Guards against other nodes that go on sending until they get such an answer themselves.
#[tokio::test]
async fn other_nodes_are_told_of_the_notice() {
    let (nodes, leaving) = fleet_that_learned(2).await;
    nodes[1].platform.remove_target("t1");
    nodes[1].settle().await;
    assert_eq!(ask(&nodes[1], "/read/x").await.status(), 503);
    assert_eq!(leaving.requests().len(), 1);
}

/// Guards against callers that wait, or are sent to the target, when the only one leaves.
#[tokio::test]
async fn requests_are_refused_at_once_when_the_only_target_leaves() {
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    target.leave();
    let node = TestNode::start(vec![plain_entry("t0", target.address)]).await;
    assert_eq!(ask(&node, "/read/x").await.status(), 200);
    let started = time::Instant::now();
    let answer = ask(&node, "/read/x").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(started.elapsed() < REFUSAL_TIME);
    assert_eq!(target.requests().len(), 1);
}

/// Guards against streams that begin or resume at a first member which leaves, and against the loss
/// of its running stream.
#[tokio::test]
async fn a_leaving_group_finishes_its_stream_and_gets_no_other() {
    let script = Script::Events {
        last: 10,
        pause_ms: 60,
        cut_in: None,
        silent_from: None,
    };
    let (node, targets) = node_with([script.clone(), script]).await;
    targets[0].leave();
    let mut running = Vec::new();
    while targets[0].requests().is_empty() {
        let address = node.callers;
        running.push(tokio::spawn(async move {
            let mut caller = RawCaller::connect(address).await;
            caller.send(&request("/talk/x")).await;
            caller.answer().await
        }));
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(time::Duration::from_millis(20)).await;
    let before = targets[0].requests().len();
    for _ in 0..6 {
        let answer = ask(&node, "/talk/x").await;
        assert_eq!((answer.status(), answer.is_complete), (200, true));
    }
    assert_eq!(targets[0].requests().len(), before);
    for stream in running {
        let answer = stream.await.unwrap();
        assert_eq!((answer.status(), answer.is_complete), (200, true));
    }
}

/// Guards against resuming a stream at a target that announced in another answer that it leaves.
#[tokio::test]
async fn a_stream_is_not_resumed_at_a_leaving_group() {
    let events = |cut_in| Script::Events {
        last: 10,
        pause_ms: 1,
        cut_in,
        silent_from: None,
    };
    let leaving = ScriptedTarget::start(events(None)).await;
    leaving.leave();
    let entries = vec![
        group_member("g0", 0, leaving.address),
        group_member("g0", 1, leaving.address),
    ];
    let node = TestNode::start(entries).await;
    assert!(ask(&node, "/talk/x").await.is_complete);
    let broken = ScriptedTarget::start(events(Some(5))).await;
    for rank in [0, 1] {
        node.platform
            .put_target(group_member("g1", rank, broken.address));
    }
    node.settle().await;
    let answer = ask(&node, "/talk/x").await;
    assert_eq!((answer.status(), answer.is_complete), (200, false));
    assert_eq!(leaving.requests().len(), 1);
}
