//! Invalid requests and missing targets get a specific result code, and nothing runs.

use pier_node::callers;
use pier_types::times::clocks;

use crate::test_node;

async fn refused(request: callers::CallerRequest) -> (u64, String) {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    let ledger = test_node::launch_ledger("ledger-1").await;
    node.publish(vec![
        test_node::target("vm-0", engine.address()),
        test_node::target("ledger-1", ledger.address()),
    ]);
    let answer = node.send(request).await;
    let ran = engine.record().entries().len() + ledger.record().entries().len();
    assert_eq!(ran, 0, "{}", answer.text);
    (answer.code(), answer.outcome())
}

fn with_header(name: &str, value: &str) -> callers::CallerRequest {
    let mut request = test_node::completion(test_node::LARGE_KEY, "draft", false);
    request.headers.insert(name.to_owned(), value.to_owned());
    request
}

fn post(path: &str, body: &str) -> callers::CallerRequest {
    test_node::request(test_node::LARGE_KEY, "POST", path, body)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_invalid_request_has_its_result_code() {
    let old = clocks::wall_now().as_millis() - 169 * 3_600_000;
    let ahead = clocks::wall_now().as_millis() + 120_000;
    let cases = [
        (post("/v1/completions", "{"), 1001),
        (post("/v1/completions", "{\"model\":\"redactor\"}"), 1001),
        (
            post(
                "/v1/chat/completions",
                "{\"model\":\"redactor\",\"prompt\":\"a\"}",
            ),
            1001,
        ),
        (
            post("/v1/completions", "{\"model\":\"none\",\"prompt\":\"a\"}"),
            1002,
        ),
        (test_node::completion("wrong", "draft", false), 1003),
        (post("/services/libro/charges", &"a".repeat(65_537)), 1004),
        (with_header("idempotency-key", "abc"), 1005),
        (
            with_header("idempotency-key", &format!("{ahead}-abcdefgh")),
            1005,
        ),
        (
            with_header("idempotency-key", &format!("{old}-abcdefgh")),
            1006,
        ),
        (with_header("x-deadline-ms", "soon"), 1007),
        (with_header("x-deadline-ms", "0"), 1007),
        (post("/services/none/charges", ""), 1008),
        (post("/v2/completions", "{}"), 1012),
        (with_header("x-priority", "urgent"), 1001),
    ];
    for (request, code) in cases {
        let line = format!("{} {:?}", request.path, request.headers);
        assert_eq!(
            refused(request).await,
            (code, "not-run".to_owned()),
            "{line}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_targets_refuses_with_a_retry_hint() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let answer = node.send(request).await;
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (2003, "not-run")
    );
    assert!(answer.retry_after_ms.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_target_has_the_outcome_not_run() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    // The port stays bound, without listening, so that no other process can listen on it.
    let held_port = tokio::net::TcpSocket::new_v4().unwrap();
    held_port.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = held_port.local_addr().unwrap();
    node.publish(vec![test_node::target("vm-0", address)]);
    for key in [test_node::LARGE_KEY, test_node::SMALL_KEY] {
        let answer = node.send(test_node::completion(key, "draft", false)).await;
        assert_eq!(
            (answer.code(), answer.outcome().as_str()),
            (2003, "not-run"),
            "{}",
            answer.text
        );
    }
}
