//! When engines are killed, close streams early, crash on a prompt or freeze, callers receive a
//! complete answer or an explicit error.

mod support;

use std::{sync::atomic, time};

use pier_types::codes;
use serde_json::json;

const TOKENS: u64 = 200;

/// Starts a stream and waits until an engine has produced some of its tokens.
async fn stream_in_progress(
    cluster: &support::TestCluster,
    prompt: &str,
    bearer: &'static str,
) -> (tokio::task::JoinHandle<support::CallerOutcome>, usize) {
    let call = cluster.nodes[0].complete(prompt).tokens(TOKENS).stream();
    let call = tokio::spawn(call.bearer(bearer).send());
    let engine = cluster.engine_running(prompt).await;
    (call, engine)
}

#[tokio::test]
async fn a_repeatable_stream_continues_on_another_engine_when_its_engine_is_killed() {
    let mut cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let prompt = "killed under a repeatable stream";
    let (call, engine) = stream_in_progress(&cluster, prompt, support::REPEAT_KEY).await;
    cluster.engines[engine].process.kill();
    cluster.engines.remove(engine);
    let outcome = call.await.unwrap();
    let expected = support::complete_answer(prompt, TOKENS);
    assert_eq!(outcome.answer(), Some(expected.as_str()), "{outcome:?}");
    assert_eq!(cluster.runs_of(prompt).await.len(), 1);
}

#[tokio::test]
async fn a_stream_that_may_not_be_repeated_ends_in_an_error_when_its_engine_is_killed() {
    let mut cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let prompt = "killed under a single stream";
    let (call, engine) = stream_in_progress(&cluster, prompt, support::NO_REPEAT_KEY).await;
    cluster.engines[engine].process.kill();
    cluster.engines.remove(engine);
    let outcome = call.await.unwrap();
    let failure = outcome.failure().unwrap_or_else(|| panic!("{outcome:?}"));
    assert_eq!(failure.outcome, codes::RunOutcome::Unknown);
    assert_eq!(cluster.runs_of(prompt).await, []);
}

#[tokio::test]
async fn a_stream_that_breaks_off_is_resumed_without_a_gap() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    for clean_end in [false, true] {
        let half = json!({"kind": "half-answer", "tokens": 5, "clean_end": clean_end, "count": 1,
            "path": "v1"});
        for engine in &cluster.engines {
            engine.set_fault(half.clone()).await;
        }
        let prompt = format!("broken off, clean end {clean_end}");
        let call = cluster.nodes[0].complete(&prompt).tokens(9).stream();
        let outcome = call.send().await;
        for engine in &cluster.engines {
            engine.clear_faults().await;
        }
        let expected = support::complete_answer(&prompt, 9);
        assert_eq!(outcome.answer(), Some(expected.as_str()), "{outcome:?}");
    }
}

#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined_and_others_are_served() {
    let plan = support::ClusterPlan {
        engines: 6,
        members: 1,
        ..support::ClusterPlan::default()
    };
    let cluster = support::TestCluster::start(plan).await;
    let crash = json!({"kind": "crash-on-prompt", "marker": "poisonous", "for_ms": 100});
    for engine in &cluster.engines {
        engine.set_fault(crash.clone()).await;
    }
    let turn = atomic::AtomicUsize::new(0);
    support::wait_for("quarantine", async || {
        let turn = turn.fetch_add(1, atomic::Ordering::Relaxed);
        let node = &cluster.nodes[turn % cluster.nodes.len()];
        let outcome = node.complete("a poisonous prompt").tokens(4).send().await;
        assert!(outcome.answer().is_none(), "{outcome:?}");
        let code = outcome.failure().map(|failure| failure.code);
        (code == Some(codes::ResultCode::RequestQuarantined)).then_some(())
    })
    .await;
    let crashes = cluster.runs_of("poisonous").await.len();
    assert!(crashes < cluster.engines.len(), "{crashes} engines crashed");
    let harmless = cluster.nodes[1].complete("a harmless prompt").tokens(4);
    let outcome = harmless.send_until_run().await;
    assert!(outcome.answer().is_some(), "{outcome:?}");
}

/// Guards against crash marks that wait for the next round of gossip, while the caller sends the
/// request to one node after another.
#[tokio::test]
async fn the_other_nodes_hold_a_crashing_request_back_soon_after_the_first() {
    let plan = support::ClusterPlan {
        engines: 6,
        members: 1,
        ..support::ClusterPlan::default()
    };
    let cluster = support::TestCluster::start(plan).await;
    let crash = json!({"kind": "crash-on-prompt", "marker": "poisonous", "for_ms": 100});
    for engine in &cluster.engines {
        engine.set_fault(crash.clone()).await;
    }
    let prompt = "a poisonous prompt";
    let first = cluster.nodes[0].complete(prompt).tokens(4).send().await;
    assert!(first.answer().is_none(), "{first:?}");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for node in &cluster.nodes[1..] {
        let outcome = node.complete(prompt).tokens(4).send().await;
        let code = outcome.failure().map(|failure| failure.code);
        assert_eq!(code, Some(codes::ResultCode::RequestQuarantined));
    }
}

#[tokio::test]
async fn a_frozen_engine_never_adds_to_an_answer_that_was_resumed_elsewhere() {
    let cluster = support::TestCluster::start(support::ClusterPlan::default()).await;
    let prompt = "frozen under a stream";
    let call = cluster.nodes[0].complete(prompt).tokens(TOKENS).stream();
    let call = tokio::spawn(call.deadline(45_000).send());
    let engine = cluster.engine_running(prompt).await;
    cluster.engines[engine].process.freeze();
    let outcome = call.await.unwrap();
    cluster.engines[engine].process.thaw();
    let expected = support::complete_answer(prompt, TOKENS);
    assert_eq!(outcome.answer(), Some(expected.as_str()), "{outcome:?}");
}
