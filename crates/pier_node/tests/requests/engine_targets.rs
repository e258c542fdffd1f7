//! Quarantine of requests that crash engines, the limit of a share, and prefix affinity.

use std::time;

use pier_fakes::{engine, fault};
use pier_types::sizes;

use crate::test_node;

async fn launch_engines(node: &test_node::TestNode, count: usize) -> Vec<engine::FakeEngine> {
    let mut engines = Vec::new();
    for number in 0..count {
        engines.push(test_node::launch_engine(&format!("vm-{number}")).await);
    }
    let targets = engines.iter().enumerate();
    let targets = targets
        .map(|(number, engine)| test_node::target(&format!("vm-{number}"), engine.address()));
    node.publish(targets.collect());
    engines
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_is_quarantined_and_others_are_served() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let engines = launch_engines(&node, 6).await;
    for engine in &engines {
        engine.set_fault(fault::FaultSpec::new(fault::FaultKind::CrashOnPrompt {
            marker: "poison".to_owned(),
            for_ms: 0,
            exit: false,
        }));
    }
    let mut codes = Vec::new();
    for _ in 0..4 {
        let poison = test_node::completion(test_node::LARGE_KEY, "poison", false);
        let answer = node.send(poison).await;
        codes.push((answer.code(), answer.outcome()));
        node.wait_for_crashes(2).await;
    }
    let crashed = engines
        .iter()
        .filter(|engine| engine.report().incarnation.get() > 1)
        .count();
    assert!(
        (2..=3).contains(&crashed),
        "{crashed} engines crashed: {codes:?}"
    );
    assert_eq!(codes[0].1, "unknown");
    assert_eq!(codes[3], (2006, "not-run".to_owned()));
    let other = test_node::completion(test_node::LARGE_KEY, "draft", false);
    let served = node.send(other).await;
    assert!(
        served.status == 200 || served.outcome() == "not-run",
        "{}",
        served.text
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_request_is_refused_by_nodes_that_merged_the_crashes() {
    let platform = test_node::launch_platform().await;
    let [first, second] = [(); 2].map(|()| test_node::TestNode::launch(platform.address()));
    let engines = launch_engines(&first, 4).await;
    for engine in &engines {
        let crash = fault::FaultKind::CrashOnPrompt {
            marker: "poison".to_owned(),
            for_ms: 0,
            exit: false,
        };
        engine.set_fault(fault::FaultSpec::new(crash));
    }
    let poison = test_node::completion(test_node::LARGE_KEY, "poison", false);
    assert_eq!(first.send(poison.clone()).await.outcome(), "unknown");
    first.wait_for_crashes(2).await;
    let delta = first.handle.requests().crash_delta(10);
    second.handle.requests().merge_crashes(&delta);
    let refused = second.send(poison).await;
    assert_eq!(
        (refused.code(), refused.outcome().as_str()),
        (2006, "not-run")
    );
}

/// Guards against crashes that are not counted because the restarted target is slow to answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_counts_although_the_restarted_target_answers_late() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let engines = launch_engines(&node, 2).await;
    for engine in &engines {
        engine.set_fault(fault::FaultSpec::new(fault::FaultKind::CrashOnPrompt {
            marker: "poison".to_owned(),
            for_ms: 0,
            exit: false,
        }));
        let slow = fault::FaultKind::Slow { ms: 300 };
        engine.set_fault(fault::FaultSpec::new(slow).path("report"));
    }
    let poison = test_node::completion(test_node::LARGE_KEY, "poison", false);
    assert_eq!(node.send(poison).await.status, 502);
    node.wait_for_crashes(1).await;
}

/// Guards against crashes that are taken for a cut link because no other target is left.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_of_all_targets_count() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let engines = launch_engines(&node, 2).await;
    for engine in &engines {
        engine.set_fault(fault::FaultSpec::new(fault::FaultKind::CrashOnPrompt {
            marker: "poison".to_owned(),
            for_ms: 5_000,
            exit: false,
        }));
    }
    let poison = test_node::completion(test_node::LARGE_KEY, "poison", false);
    assert_eq!(node.send(poison).await.outcome(), "unknown");
    node.wait_for_crashes(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_connections_of_running_targets_quarantine_nothing() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    for number in 0..3 {
        let name = format!("vm-{number}");
        let engine = test_node::launch_engine(&name).await;
        engine.set_fault(fault::FaultSpec {
            path: Some("v1/completions".to_owned()),
            ..fault::FaultSpec::new(fault::FaultKind::LoseRequest).count(1)
        });
        node.publish_once(&[test_node::target(&name, engine.address())]);
        let request = test_node::completion(test_node::SMALL_KEY, "draft", false);
        let answer = node.send(request).await;
        assert_eq!(answer.status, 502, "{}", answer.text);
        // Leaves time for the node to ask the engine whether it is still the same process.
        tokio::time::sleep(time::Duration::from_millis(250)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_share_is_never_exceeded_and_the_rest_is_refused_at_once() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let engine = test_node::launch_engine("vm-0").await;
    engine.set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime {
        ms: 20,
    }));
    let mut target = test_node::target("vm-0", engine.address());
    target.share = sizes::RequestCount::new(3);
    node.publish(vec![target]);
    let sends = (0..20).map(|number| {
        let prompt = format!("draft {number}");
        node.send(test_node::completion(test_node::LARGE_KEY, &prompt, false))
    });
    let answers = futures_util::future::join_all(sends).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, 3);
    for refused in answers.iter().filter(|answer| answer.status != 200) {
        assert!([2001, 2002].contains(&refused.code()), "{}", refused.text);
        assert_eq!(refused.outcome(), "not-run");
        assert!(refused.retry_after_ms.is_some());
    }
    let entries = engine.record().entries();
    assert_eq!(entries.iter().filter(|entry| entry.started).count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_table_serves_no_request() {
    let platform = test_node::launch_platform().await;
    let sample = include_str!("../../../../examples/tarifas.ini");
    let sample = sample.replace("freshness-ms = 2500", "freshness-ms = 500");
    let node = test_node::TestNode::with_sample(platform.address(), &sample);
    let engine = test_node::launch_engine("vm-0").await;
    let table = test_node::table_of(&[test_node::target("vm-0", engine.address())]);
    node.handle.publish_routes(table.clone());
    let request = test_node::completion(test_node::LARGE_KEY, "draft", false);
    assert_eq!(node.send(request.clone()).await.status, 200);
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    let refused = node.send(request).await;
    assert_eq!(
        (refused.code(), refused.outcome().as_str()),
        (2003, "not-run")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_is_routed_to_the_target_with_its_prefix() {
    let platform = test_node::launch_platform().await;
    let node = test_node::TestNode::launch(platform.address());
    let engines = launch_engines(&node, 6).await;
    let served = || {
        let served = engines.iter().map(|engine| {
            let entries = engine.record().entries();
            entries.iter().filter(|entry| entry.started).count()
        });
        served.collect::<Vec<_>>()
    };
    let request = test_node::completion(test_node::LARGE_KEY, "a long shared preface", false);
    assert_eq!(node.send(request.clone()).await.status, 200);
    let first = served();
    node.wait_for_prefix().await;
    for _ in 0..6 {
        assert_eq!(node.send(request.clone()).await.status, 200);
    }
    let expected: Vec<usize> = first.iter().map(|count| count * 7).collect();
    assert_eq!(served(), expected);
}
