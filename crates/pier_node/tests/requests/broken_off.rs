//! Answers without framing are passed on when their target's process outlived them, and fail when it
//! may have ended them or when they have no end.

use std::time;

use pier_node::callers;

use crate::ending_target::{BodyEnd, EndingTarget};
use crate::test_node;

/// Time in which a body without end has exceeded its limit; the deadline of the requests is far
/// longer.
const CUT_TIME: time::Duration = time::Duration::from_secs(10);

/// Time within which a sound answer is passed on; shorter than the wait for a sign of life that does
/// not come.
const DELIVERY_TIME: time::Duration = time::Duration::from_millis(500);

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
    let sound = EndingTarget::launch("ledger-1", "all of it", BodyEnd::Close).await;
    let node = node_with(&[("ledger-1", &sound)]).await;
    for request in [read(), post()] {
        let answer = node.send(request).await;
        assert_eq!((answer.status, answer.text.as_str()), (200, "all of it"));
    }
}

/// Guards against an answer that its target's crash ended and that is passed on as complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_framing_that_a_crash_ends_is_unknown() {
    let crashing = EndingTarget::launch("ledger-1", "half of it", BodyEnd::Crash).await;
    let node = node_with(&[("ledger-1", &crashing)]).await;
    let answer = node.send(post()).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert_eq!(crashing.received(), 1);
}

/// Guards against sound answers that wait longer than for one sign of life.
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_answer_without_framing_waits_for_one_sign_of_life() {
    let sound = EndingTarget::launch("ledger-1", "all of it", BodyEnd::Close).await;
    let node = node_with(&[("ledger-1", &sound)]).await;
    for (request, reports) in [(read(), 1), (post(), 2), (read(), 3)] {
        let started = time::Instant::now();
        let answer = node.send(request).await;
        assert_eq!((answer.status, answer.text.as_str()), (200, "all of it"));
        assert!(started.elapsed() < DELIVERY_TIME);
        assert_eq!(sound.reports(), reports);
    }
}

/// Guards against a part of an answer that passes as the whole one because the port of the ended
/// process still accepts connections.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_framing_is_not_whole_while_only_the_port_is_open() {
    let ending = EndingTarget::launch("ledger-1", "half of it", BodyEnd::CrashBeforePort).await;
    let node = node_with(&[("ledger-1", &ending)]).await;
    let answer = node.send(post()).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert_eq!(ending.received(), 1);
}

/// Guards against a part of an answer that passes as the whole one because the VM's next process
/// answers.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_framing_that_a_restart_ends_is_unknown() {
    let restarting = EndingTarget::launch("ledger-1", "half of it", BodyEnd::Restart).await;
    let node = node_with(&[("ledger-1", &restarting)]).await;
    let answer = node.send(post()).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert_eq!(restarting.received(), 1);
}

/// Sends a request to a target that leaves the route table before its answer begins.
async fn send_while_leaving(target: &EndingTarget) -> test_node::TestAnswer {
    let node = node_with(&[("ledger-1", target)]).await;
    let (answer, ()) = tokio::join!(node.send(post()), async {
        while target.received() == 0 {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        node.publish(Vec::new());
    });
    answer
}

/// Guards against cutting the sound answer of a target that has left the route table.
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_answer_without_framing_of_a_leaving_target_is_passed_on() {
    let leaving = EndingTarget::launch("ledger-1", "all of it", BodyEnd::CloseLate).await;
    let answer = send_while_leaving(&leaving).await;
    assert_eq!((answer.status, answer.text.as_str()), (200, "all of it"));
}

/// Guards against a part of an answer that passes as the whole one because its target is out of use.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_framing_that_the_end_of_a_leaving_target_ends_is_unknown() {
    let leaving = EndingTarget::launch("ledger-1", "half of it", BodyEnd::CrashLate).await;
    let answer = send_while_leaving(&leaving).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert_eq!(leaving.received(), 1);
}

/// Guards against a repeatable request that is not sent to another target after such an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_whose_answer_a_crash_ends_goes_to_another_target() {
    let crashing = EndingTarget::launch("ledger-1", "half of it", BodyEnd::Crash).await;
    let sound = EndingTarget::launch("ledger-2", "all of it", BodyEnd::Close).await;
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
    let endless = EndingTarget::launch("ledger-1", "", BodyEnd::Never).await;
    let node = node_with(&[("ledger-1", &endless)]).await;
    let started = time::Instant::now();
    let answer = node.send(post()).await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text);
    assert!(started.elapsed() < CUT_TIME);
}
