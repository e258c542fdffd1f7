//! Answers without framing are passed on when they are sound, and fail when their target's crash
//! ended them or when they have no end.

use std::time;

use pier_node::callers;

use crate::ending_target::{BodyEnd, EndingTarget};
use crate::test_node;

/// Time in which a body without end has exceeded its limit; the deadline of the requests is far
/// longer.
const CUT_TIME: time::Duration = time::Duration::from_secs(10);

/// Greatest number of requests sent until a certain one of two targets has been chosen.
const TRIES: u32 = 40;

async fn node_with(targets: &[(&str, &EndingTarget)]) -> test_node::TestNode {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let target = |(name, target): &(&str, &EndingTarget)| test_node::target(name, target.address);
    node.publish(targets.iter().map(target).collect());
    node
}

fn read() -> callers::CallerRequest {
    test_node::request(test_node::LARGE_KEY, "GET", "/services/libro/balance", "")
}

fn post() -> callers::CallerRequest {
    test_node::request(test_node::LARGE_KEY, "POST", "/services/libro/charges", "1")
}

/// Guards against rejecting sound answers whose only end is that of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_answer_without_framing_is_passed_on() {
    let sound = EndingTarget::launch("all of it", BodyEnd::Close).await;
    let node = node_with(&[("ledger-1", &sound)]).await;
    for request in [read(), post()] {
        let answer = node.send(request).await;
        assert_eq!((answer.status, answer.text.as_str()), (200, "all of it"));
    }
}

/// Guards against an answer that its target's crash ended and that is passed on as complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_framing_that_a_crash_ends_is_unknown() {
    let crashing = EndingTarget::launch("half of it", BodyEnd::Crash).await;
    let node = node_with(&[("ledger-1", &crashing)]).await;
    let answer = node.send(post()).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert_eq!(crashing.received(), 1);
}

/// Guards against a last answer without framing that is taken for broken off, although its target
/// left the route table before it stopped.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_answer_of_a_leaving_target_is_passed_on() {
    let leaving = EndingTarget::launch("all of it", BodyEnd::Stop).await;
    let node = node_with(&[("ledger-1", &leaving)]).await;
    let (answer, ()) = tokio::join!(node.send(post()), async {
        while leaving.received() == 0 {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        node.publish(Vec::new());
    });
    assert_eq!((answer.status, answer.text.as_str()), (200, "all of it"));
}

/// Guards against a repeatable request that is not sent to another target after such an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_whose_answer_a_crash_ends_goes_to_another_target() {
    let crashing = EndingTarget::launch("half of it", BodyEnd::Crash).await;
    let sound = EndingTarget::launch("all of it", BodyEnd::Close).await;
    let node = node_with(&[("ledger-1", &crashing), ("ledger-2", &sound)]).await;
    for _ in 0..TRIES {
        let answer = node.send(read()).await;
        assert_eq!((answer.status, answer.text.as_str()), (200, "all of it"));
        if crashing.received() > 0 {
            return;
        }
    }
    panic!("the crashing target was never chosen");
}

/// Guards against a body without end that takes memory until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_given_up() {
    let endless = EndingTarget::launch("", BodyEnd::Never).await;
    let node = node_with(&[("ledger-1", &endless)]).await;
    let started = time::Instant::now();
    let answer = node.send(post()).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert!(started.elapsed() < CUT_TIME);
}
