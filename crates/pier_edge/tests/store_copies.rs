//! A store that comes back from an older copy of itself: what the operator and the VMs write again
//! comes late, and nothing goes backwards meanwhile.

mod support;

use std::time;

use support::{
    CRASH_MARKER, CrashingTarget, FakePlatform, KEY, RawAnswer, RawCaller, Script, ScriptedTarget,
    TestNode, plain_entry,
};

/// Time after which the operator and the VMs have written again what the copy lacks.
const REWRITE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time after which a registration that is missing right after the store's return has ended.
const REMOVAL_TIME: time::Duration = time::Duration::from_secs(3);

async fn ask(node: &TestNode, path: &str, body: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller
        .send(&format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
             x-timeout-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ))
        .await;
    caller.answer().await
}

/// Asserts that the node serves requests for as long as the rewriting takes.
async fn assert_served_meanwhile(node: &TestNode) {
    let started = time::Instant::now();
    while started.elapsed() < REWRITE_TIME {
        assert_eq!(ask(node, "/read/x", "").await.status(), 200);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against nodes that follow revisions which the store gives out again.
#[tokio::test]
async fn changes_with_lower_revisions_than_before_are_seen() {
    let former = ScriptedTarget::start(Script::Whole("done")).await;
    let platform = FakePlatform::default();
    let entries = vec![plain_entry("t0", former.address)];
    let nodes = TestNode::start_fleet(2, platform.clone(), entries).await;
    let copy = platform.copy();
    for _ in 0..20 {
        platform.put_target(plain_entry("t0", former.address));
    }
    nodes[0].settle().await;
    platform.restore(copy);
    nodes[0].settle().await;
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    platform.put_target(plain_entry("t1", target.address));
    platform.remove_target("t0");
    tokio::time::sleep(REMOVAL_TIME).await;
    for node in &nodes {
        assert_eq!(ask(node, "/read/x", "").await.status(), 200);
    }
    assert_eq!(target.requests().len(), 2);
}

/// Guards against requests to a target that is leaving, which the copy lists as ready.
#[tokio::test]
async fn a_leaving_target_stays_out_of_use() {
    let leaving = ScriptedTarget::start(Script::Whole("done")).await;
    let staying = ScriptedTarget::start(Script::Whole("done")).await;
    let platform = FakePlatform::default();
    let entries = vec![
        plain_entry("t0", leaving.address),
        plain_entry("t1", staying.address),
    ];
    let nodes = TestNode::start_fleet(1, platform.clone(), entries).await;
    let copy = platform.copy();
    let mut entry = plain_entry("t0", leaving.address);
    entry.is_draining = true;
    platform.put_target(entry);
    nodes[0].settle().await;
    platform.restore(copy);
    nodes[0].settle().await;
    platform.remove_target("t1");
    tokio::time::sleep(REMOVAL_TIME).await;
    let status = ask(&nodes[0], "/read/x", "").await.status();
    assert!(leaving.requests().is_empty());
    assert_eq!(status, 503);
}

/// Guards against a target that is given up because it has registered since the copy was made.
#[tokio::test]
async fn a_target_that_the_copy_lacks_is_used_until_it_registers_again() {
    let platform = FakePlatform::default();
    let nodes = TestNode::start_fleet(1, platform.clone(), Vec::new()).await;
    let copy = platform.copy();
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    platform.put_target(plain_entry("t0", target.address));
    nodes[0].settle().await;
    platform.restore(copy);
    assert_served_meanwhile(&nodes[0]).await;
    platform.put_target(plain_entry("t0", target.address));
    assert_served_meanwhile(&nodes[0]).await;
}

/// Starts a node whose data centre was taken out of service, on a store that then came back from a
/// copy without that mark.
async fn node_out_of_service() -> (TestNode, ScriptedTarget) {
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    let platform = FakePlatform::default();
    let entries = vec![plain_entry("t0", target.address)];
    let mut nodes = TestNode::start_fleet(1, platform.clone(), entries).await;
    let copy = platform.copy();
    platform.take_out_of_service("dc-a");
    nodes[0].settle().await;
    platform.restore(copy);
    (nodes.remove(0), target)
}

/// Guards against requests to a data centre whose mark the copy lacks.
#[tokio::test]
async fn a_data_centre_out_of_service_stays_so() {
    let (node, target) = node_out_of_service().await;
    let started = time::Instant::now();
    while started.elapsed() < REWRITE_TIME {
        assert_eq!(ask(&node, "/read/x", "").await.status(), 503);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    node.platform.take_out_of_service("dc-a");
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    assert_eq!(ask(&node, "/read/x", "").await.status(), 503);
    assert!(target.requests().is_empty());
}

/// Guards against a mark that stays in force although the operator does not write it again.
#[tokio::test]
async fn a_mark_that_is_not_written_again_ends() {
    let (node, _target) = node_out_of_service().await;
    tokio::time::sleep(time::Duration::from_secs(7)).await;
    assert_eq!(ask(&node, "/read/x", "").await.status(), 200);
}

/// Guards against records of nodes, and a record of crashes, that are lost with the copy.
#[tokio::test]
async fn what_the_nodes_wrote_is_written_again() {
    let platform = FakePlatform::default();
    platform.put_document(support::document());
    let copy = platform.copy();
    let mut targets = Vec::new();
    for number in 0..8 {
        let entry = plain_entry(&format!("t{number}"), "127.0.0.1:9".parse().unwrap());
        let script = Script::Whole("done");
        targets.push(CrashingTarget::start(entry, platform.clone(), script).await);
    }
    let node = TestNode::start_on(platform.clone(), "n1").await;
    node.settle().await;
    for _ in 0..16 {
        ask(&node, "/post/x", CRASH_MARKER).await;
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
    platform.restore(copy);
    for target in &targets {
        target.register();
    }
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let records = platform.node_records();
    assert!(records.contains(&"node.n1".to_owned()), "{records:?}");
    let sends = || {
        let requests = targets.iter().flat_map(CrashingTarget::requests);
        requests
            .filter(|request| request.contains(CRASH_MARKER))
            .count()
    };
    let before = sends();
    let started = TestNode::start_on(platform, "n2").await;
    started.settle().await;
    let refused = ask(&started, "/post/x", CRASH_MARKER).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(sends(), before);
}
