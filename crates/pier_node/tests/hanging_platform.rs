//! A platform that hangs: a one-time request is refused as not run, before its caller's deadline.

mod support;

use std::time;

use serde_json::Value;

/// The caller's deadline, in milliseconds; above the time in which a claim is given up.
const DEADLINE_MILLIS: u64 = 20_000;

async fn refused_charge(serving: &support::ServingNode, key: &str) -> Value {
    let call = serving.charge("while the platform hangs");
    let call = call.header("idempotency-key", support::fresh_key(key));
    let call = call.header("x-deadline-ms", DEADLINE_MILLIS);
    let deadline = time::Duration::from_millis(DEADLINE_MILLIS);
    let answer = tokio::time::timeout(deadline, call.send()).await;
    let answer = answer
        .expect("the refusal comes before the deadline")
        .unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    answer.json().await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_one_time_request_is_refused_as_not_run_before_its_deadline() {
    let serving = support::ServingNode::start("").await;
    // Neither refuses nor answers; calls that wait may take effect later.
    let hang = r#"{"kind": "slow", "ms": 60000, "path": "objects/claim"}"#;
    serving.platform.set_fault(support::parse_fault(hang));
    let told = refused_charge(&serving, "calls_wait").await;
    assert_eq!(told["error"]["outcome"], "not-run", "{told}");
    assert_eq!(charges(&serving), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_platform_is_as_good_as_a_slow_one() {
    let serving = support::ServingNode::start("").await;
    let freeze = r#"{"kind": "pause"}"#;
    serving.platform.set_fault(support::parse_fault(freeze));
    let told = refused_charge(&serving, "frozen_whole").await;
    assert_eq!(told["error"]["outcome"], "not-run", "{told}");
    assert_eq!(charges(&serving), 0);
}

fn charges(serving: &support::ServingNode) -> usize {
    let entries = serving.service.record().entries().into_iter();
    entries.filter(|entry| entry.path == "charges").count()
}
