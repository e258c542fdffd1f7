//! Requests with complete answers are forwarded unchanged, run at most once, and refused with a
//! status that says whether they may have run.

mod support;

use std::time;

use support::{KEY, RawCaller, Script, ScriptedTarget, TestNode, plain_entry};

fn request(method: &str, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-timeout-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn ask(node: &TestNode, text: &str) -> support::RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(text).await;
    caller.answer().await
}

async fn node_with(script: Script) -> (TestNode, ScriptedTarget) {
    let target = ScriptedTarget::start(script).await;
    let node = TestNode::start(vec![plain_entry("vm-1", target.address)]).await;
    (node, target)
}

#[tokio::test]
async fn a_request_is_forwarded_unchanged_without_its_key() {
    let (node, target) = node_with(Script::Whole("answer")).await;
    let answer = ask(&node, &request("POST", "/post/a%20b?x=%2F&y", "the body")).await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "answer"));
    let seen = target.requests().remove(0);
    assert!(
        seen.starts_with("POST /post/a%20b?x=%2F&y HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nthe body"), "{seen}");
    assert!(!seen.contains(KEY), "{seen}");
    assert!(seen.contains("x-customer: college"), "{seen}");
    assert!(seen.contains("x-vm: vm-1"), "{seen}");
}

#[tokio::test]
async fn a_chunked_body_arrives_completely() {
    let (node, target) = node_with(Script::Whole("ok")).await;
    let text = format!(
        "POST /post/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n"
    );
    assert_eq!(ask(&node, &text).await.status(), 200);
    assert!(target.requests()[0].ends_with("\r\n\r\nfirst second"));
}

#[tokio::test]
async fn a_node_without_a_document_refuses_with_503_and_never_with_401_or_404() {
    let node = TestNode::start_bare().await;
    let answer = ask(&node, &request("GET", "/read/x", "")).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn an_unknown_key_is_401_and_an_unknown_path_404() {
    let (node, target) = node_with(Script::Whole("ok")).await;
    let text = request("GET", "/read/x", "").replace(KEY, "other");
    assert_eq!(ask(&node, &text).await.status(), 401);
    assert_eq!(
        ask(&node, &request("GET", "/none/x", "")).await.status(),
        404
    );
    assert!(target.requests().is_empty());
}

#[tokio::test]
async fn a_one_time_request_whose_answer_is_lost_is_502_and_sent_once() {
    for script in [Script::Close, Script::Truncated] {
        let (node, target) = node_with(script).await;
        let answer = ask(&node, &request("POST", "/post/x", "charge")).await;
        assert_eq!(answer.status(), 502);
        assert_eq!(target.requests().len(), 1);
    }
}

#[tokio::test]
async fn an_idempotent_request_whose_answer_is_lost_is_sent_to_another_target() {
    let broken = ScriptedTarget::start(Script::Close).await;
    let healthy = ScriptedTarget::start(Script::Whole("ok")).await;
    let entries = vec![
        plain_entry("vm-1", broken.address),
        plain_entry("vm-2", healthy.address),
    ];
    let node = TestNode::start(entries).await;
    for _ in 0..4 {
        assert_eq!(
            ask(&node, &request("GET", "/read/x", "")).await.status(),
            200
        );
    }
    assert_eq!(healthy.requests().len(), 4);
}

#[tokio::test]
async fn a_request_that_no_target_has_run_is_refused_with_retry_after() {
    let (node, _target) = node_with(Script::NotRun).await;
    let answer = ask(&node, &request("POST", "/post/x", "charge")).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn bytes_after_an_answer_reach_no_other_caller() {
    let (node, target) = node_with(Script::WholeAndExtra("mine")).await;
    for _ in 0..3 {
        let answer = ask(&node, &request("GET", "/read/x", "")).await;
        assert_eq!((answer.status(), answer.body.as_str()), (200, "mine"));
    }
    assert_eq!(target.requests().len(), 3);
}

#[tokio::test]
async fn a_caller_that_disconnects_ends_its_request_at_the_target() {
    let (node, target) = node_with(Script::Silent).await;
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request("POST", "/post/x", "charge")).await;
    while target.requests().is_empty() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    drop(caller);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    assert_eq!(target.closed(), 1);
}

#[tokio::test]
async fn an_unanswered_request_is_refused_when_its_deadline_passes() {
    let (node, _target) = node_with(Script::Silent).await;
    let started = time::Instant::now();
    let text = request("POST", "/post/x", "charge").replace("3000", "700");
    assert_eq!(ask(&node, &text).await.status(), 502);
    assert!(started.elapsed() < time::Duration::from_secs(1));
}

#[tokio::test]
async fn a_leaving_target_and_an_out_of_service_data_centre_get_no_new_requests() {
    let (node, target) = node_with(Script::Whole("ok")).await;
    let mut entry = plain_entry("vm-1", target.address);
    entry.is_draining = true;
    node.platform.put_target(entry);
    node.settle().await;
    assert_eq!(
        ask(&node, &request("GET", "/read/x", "")).await.status(),
        503
    );
    node.platform
        .put_target(plain_entry("vm-1", target.address));
    node.settle().await;
    assert_eq!(
        ask(&node, &request("GET", "/read/x", "")).await.status(),
        200
    );
    node.platform.take_out_of_service("dc-a");
    node.settle().await;
    assert_eq!(
        ask(&node, &request("GET", "/read/x", "")).await.status(),
        503
    );
}

#[tokio::test]
async fn an_outage_of_the_store_removes_no_target() {
    let (node, _target) = node_with(Script::Whole("ok")).await;
    node.platform.set_away(true);
    node.settle().await;
    assert_eq!(
        ask(&node, &request("GET", "/read/x", "")).await.status(),
        200
    );
}

#[tokio::test]
async fn a_connection_serves_several_requests_in_sequence() {
    let (node, _target) = node_with(Script::Whole("ok")).await;
    let mut caller = RawCaller::connect(node.callers).await;
    for _ in 0..3 {
        caller.send(&request("GET", "/read/x", "")).await;
        assert_eq!(caller.answer().await.status(), 200);
    }
}

#[tokio::test]
async fn an_idempotent_request_that_may_have_run_is_not_reported_as_not_run() {
    for script in [Script::Close, Script::Truncated] {
        let (node, target) = node_with(script).await;
        let answer = ask(&node, &request("GET", "/read/x", "")).await;
        assert_eq!(answer.status(), 502);
        assert!(answer.header("retry-after").is_some());
        assert!(!target.requests().is_empty());
    }
}

/// Guards against a stated idle time that is too long to calculate with.
#[tokio::test]
async fn any_stated_idle_time_is_accepted() {
    for stated in ["0", "5", "9223372036854775807", "18446744073709551615"] {
        let headers = format!("x-idle: {stated}\r\n");
        let (node, target) = node_with(Script::Whole("answer")).await;
        target.set_headers(&headers);
        for _ in 0..2 {
            let answer = ask(&node, &request("POST", "/post/x", "")).await;
            assert_eq!((answer.status(), answer.body.as_str()), (200, "answer"));
        }
    }
}
