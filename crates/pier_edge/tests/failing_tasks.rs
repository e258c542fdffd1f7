//! An unexpected error in one part of a node leaves the others at work.

mod support;

use std::time;

use pier_edge::links;
use support::{
    KEY, RawCaller, Script, ScriptedTarget, TestNode, document, document_at, plain_entry,
};

async fn status(node: &TestNode) -> u16 {
    let mut caller = RawCaller::connect(node.callers).await;
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-timeout-ms: 2000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await.status()
}

// Guards against a node that goes on without one of its loops after an unexpected error in it.
#[tokio::test(flavor = "multi_thread")]
async fn a_loop_that_panics_is_started_again() {
    let node = TestNode::start_bare().await;
    let target = ScriptedTarget::start(Script::Whole("done")).await;
    node.platform.put_target(plain_entry("t0", target.address));
    node.platform.put_document(document());
    node.settle().await;
    for kind in [
        links::RecordKind::Document,
        links::RecordKind::Targets,
        links::RecordKind::OutOfService,
        links::RecordKind::Nodes,
    ] {
        node.platform.panic_at(kind);
    }
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert!(node.metric("task_failures_total").await >= 4);
    node.platform.put_document(document_at(9));
    node.platform.remove_target("t0");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(node.metric("document_version").await, 9);
    assert_eq!(status(&node).await, 503);
}
