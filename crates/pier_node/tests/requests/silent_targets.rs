//! A target that is silent for a while and goes on loses no request; a request that may be repeated
//! is sent to another target meanwhile.

use std::{sync, time};

use pier_config::documents;
use pier_control::health;
use pier_fakes::{engine, fault, platform, record, service};
use pier_node::{callers, handle};
use pier_types::{epochs, ids, reports, routes, times::clocks};
use tokio::task;

use crate::{forwards, streams, test_node};

/// Longer than the time after which another target is looked for.
const SILENCE: time::Duration = time::Duration::from_millis(1_600);

/// Time from the arrival of a request until its target falls silent.
const START_TIME: time::Duration = time::Duration::from_millis(400);

/// Time per token, so that an answer takes over a second.
const TOKEN_MILLIS: u64 = 120;

/// Tests whose requests do not end fail after this time.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// A node with two groups of one engine each.
struct GroupBench {
    _platform: platform::FakePlatform,
    node: test_node::TestNode,
    engines: [engine::FakeEngine; 2],
    publisher: sync::Mutex<Option<task::JoinHandle<()>>>,
}

impl GroupBench {
    /// Starts a node that only uses the first group.
    async fn launch(sample: &str) -> Self {
        let platform = test_node::launch_platform().await;
        let node = test_node::TestNode::with_sample(platform.address(), sample);
        let engines = [
            test_node::launch_engine("vm-0").await,
            test_node::launch_engine("vm-1").await,
        ];
        for engine in &engines {
            engine.set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime {
                ms: TOKEN_MILLIS,
            }));
        }
        let bench = Self {
            _platform: platform,
            node,
            engines,
            publisher: sync::Mutex::default(),
        };
        bench.publish(&[(0, 1)], &[0]);
        bench
    }

    /// Publishes the groups that serve, with their generations, and those that get new requests.
    fn publish(&self, serving: &[(u64, u64)], listed: &[u64]) {
        let mut snapshot = handle::GroupSnapshot::default();
        for (number, generation) in serving {
            let group = self.serving_group(*number, *generation);
            snapshot.health.serving.insert(*number, group);
        }
        self.node.handle.publish_groups(snapshot);
        let targets: Vec<_> = listed.iter().map(|number| self.target(*number)).collect();
        let handle = self.node.handle.clone();
        handle.publish_routes(test_node::table_of(&targets));
        let publisher = tokio::spawn(async move {
            loop {
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                handle.publish_routes(test_node::table_of(&targets));
            }
        });
        self.stop_publishing();
        *self.publisher.lock().unwrap() = Some(publisher);
    }

    /// Leaves the targets as they are, until the table is stale.
    fn stop_publishing(&self) {
        if let Some(publisher) = self.publisher.lock().unwrap().take() {
            publisher.abort();
        }
    }

    fn serving_group(&self, number: u64, generation: u64) -> health::ServingGroup {
        health::ServingGroup {
            id: group_id(number),
            model: "redactor".parse().unwrap(),
            generation: epochs::GroupGeneration::new(generation),
            address: self.engine(number).address(),
            state: reports::EngineState::Warm,
            load: routes::TargetLoad::default(),
            fresh_until: clocks::boot_now().after(TEST_TIMEOUT),
        }
    }

    fn target(&self, number: u64) -> routes::RouteTarget {
        routes::RouteTarget {
            target: ids::TargetId::Group(group_id(number)),
            generation: epochs::GroupGeneration::new(1),
            ..test_node::target("vm", self.engine(number).address())
        }
    }

    fn engine(&self, number: u64) -> &engine::FakeEngine {
        &self.engines[usize::try_from(number).unwrap()]
    }

    fn fall_silent(&self, for_ms: Option<u64>) {
        let pause = fault::FaultKind::Pause { for_ms };
        self.engines[0].set_fault(fault::FaultSpec::new(pause));
        self.publish(&[(1, 1)], &[1]);
    }

    fn refuse_connections(&self) {
        let down = fault::FaultKind::Down { for_ms: None };
        self.engines[1].set_fault(fault::FaultSpec::new(down));
    }

    /// Sends a request; its group falls silent after a while and goes on.
    async fn send_into_silence(&self, key: &str, stream: bool) -> test_node::TestAnswer {
        let millis = u64::try_from(SILENCE.as_millis()).unwrap();
        let silence = async {
            tokio::time::sleep(START_TIME).await;
            self.fall_silent(Some(millis));
            tokio::time::sleep(SILENCE).await;
            self.publish(&[(0, 1), (1, 1)], &[0, 1]);
        };
        let request = test_node::completion(key, "draft", stream);
        let sending = tokio::time::timeout(TEST_TIMEOUT, self.node.send(request));
        let (answer, ()) = tokio::join!(sending, silence);
        answer.unwrap()
    }

    /// Sends a request whose group never answers again.
    async fn send_into_loss(&self, stream: bool) -> test_node::TestAnswer {
        let silence = async {
            tokio::time::sleep(START_TIME).await;
            self.fall_silent(None);
        };
        let request = test_node::completion(test_node::LARGE_KEY, "draft", stream);
        let sending = tokio::time::timeout(TEST_TIMEOUT, self.node.send(request));
        let (answer, ()) = tokio::join!(sending, silence);
        answer.unwrap()
    }

    /// Returns how many requests an engine ran.
    fn runs(&self, number: u64) -> usize {
        let entries = self.engine(number).record().entries();
        entries.iter().filter(|entry| entry.started).count()
    }

    /// Asserts how many requests each engine ran.
    #[track_caller]
    fn assert_runs(&self, expected: [usize; 2]) {
        let records = self.engines.each_ref().map(engine::FakeEngine::record);
        assert_eq!([self.runs(0), self.runs(1)], expected, "{records:?}");
    }
}

impl Drop for GroupBench {
    fn drop(&mut self) {
        self.stop_publishing();
    }
}

fn group_id(number: u64) -> ids::GroupId {
    ids::GroupId {
        data_centre: "mvd-a".parse().unwrap(),
        number,
    }
}

/// Returns a configuration in which no customer has a retry budget.
fn without_retries() -> String {
    let sample = test_node::SAMPLE.replace("retry-percent = 10", "retry-percent = 0");
    assert_ne!(sample, test_node::SAMPLE);
    sample
}

/// Returns a request for a stream of a number of tokens.
fn stream_of(tokens: u64) -> callers::CallerRequest {
    let body = serde_json::json!({
        "model": "redactor", "prompt": "draft", "stream": true, "max_tokens": tokens,
    });
    let path = "/v1/completions";
    test_node::request(test_node::LARGE_KEY, "POST", path, &body.to_string())
}

#[track_caller]
fn assert_whole_stream(answer: &test_node::TestAnswer) {
    assert_eq!(answer.indexes(), streams::in_order(), "{}", answer.text);
    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
}

/// Guards against a stream that is cut because its group is silent and no other one can be reached.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_waits_for_its_silent_group_while_no_other_takes_it() {
    let bench = GroupBench::launch(test_node::SAMPLE).await;
    bench.refuse_connections();
    let answer = bench.send_into_silence(test_node::LARGE_KEY, true).await;
    assert_whole_stream(&answer);
    bench.assert_runs([1, 0]);
}

/// Guards against a stream that is cut because its group is silent and the retry budget is empty.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_waits_for_its_silent_group_without_a_retry_budget() {
    let bench = GroupBench::launch(&without_retries()).await;
    let answer = bench.send_into_silence(test_node::LARGE_KEY, true).await;
    assert_whole_stream(&answer);
    bench.assert_runs([1, 0]);
}

/// Guards against a whole answer that is lost because its group is silent and no other one can be
/// reached.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_waits_for_its_silent_group_while_no_other_takes_it() {
    let bench = GroupBench::launch(test_node::SAMPLE).await;
    bench.refuse_connections();
    let answer = bench.send_into_silence(test_node::LARGE_KEY, false).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    bench.assert_runs([1, 0]);
}

/// Guards against a whole answer that is lost because its group is silent and the retry budget is
/// empty.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_waits_for_its_silent_group_without_a_retry_budget() {
    let bench = GroupBench::launch(&without_retries()).await;
    let answer = bench.send_into_silence(test_node::LARGE_KEY, false).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    bench.assert_runs([1, 0]);
}

/// Guards against a stream that is cut in the middle because its group has a newer generation.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlives_the_generation_of_its_group() {
    let bench = GroupBench::launch(&without_retries()).await;
    let regrouping = async {
        tokio::time::sleep(time::Duration::from_millis(TOKEN_MILLIS)).await;
        bench.publish(&[(0, 2), (1, 1)], &[1]);
    };
    let (answer, ()) = tokio::join!(bench.node.send(stream_of(20)), regrouping);
    assert_eq!(answer.indexes(), (0..20).collect::<Vec<_>>());
    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
    bench.assert_runs([1, 0]);
}

/// Guards against a request that may run once and leaves its silent target.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_stays_with_its_silent_group() {
    for stream in [false, true] {
        let bench = GroupBench::launch(test_node::SAMPLE).await;
        let answer = bench.send_into_silence(test_node::SMALL_KEY, stream).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert!(!stream || answer.indexes() == streams::in_order());
        bench.assert_runs([1, 0]);
    }
}

/// Guards against a request that waits for a group that is lost although another one is free.
#[tokio::test(flavor = "multi_thread")]
async fn another_group_takes_the_requests_of_a_lost_one() {
    for stream in [false, true] {
        let bench = GroupBench::launch(test_node::SAMPLE).await;
        let answer = bench.send_into_loss(stream).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        if stream {
            assert_whole_stream(&answer);
        }
        bench.assert_runs([1, 1]);
    }
}

/// Guards against a request that leaves the target that was asked besides when its first one is
/// lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_beside_a_silent_one_outlives_its_end() {
    let bench = GroupBench::launch(test_node::SAMPLE).await;
    for (engine, ms) in bench.engines.iter().zip([300, 600]) {
        engine.set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime { ms }));
    }
    let losing = async {
        tokio::time::sleep(START_TIME).await;
        bench.fall_silent(None);
        while bench.runs(1) == 0 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        // The other group runs the request but has not answered yet.
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        let down = fault::FaultKind::Down { for_ms: None };
        bench.engines[0].set_fault(fault::FaultSpec::new(down));
    };
    let (answer, ()) = tokio::join!(bench.node.send(stream_of(4)), losing);
    assert_eq!(answer.indexes(), [0, 1, 2, 3], "{}", answer.text);
    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
    bench.assert_runs([1, 1]);
}

/// Guards against a run that goes on at the target that was slower.
#[tokio::test(flavor = "multi_thread")]
async fn the_slower_of_two_targets_is_cancelled() {
    let bench = GroupBench::launch(test_node::SAMPLE).await;
    // The other group answers only after the silence of the first one.
    let slow = fault::FaultKind::TokenTime { ms: 3_000 };
    bench.engines[1].set_fault(fault::FaultSpec::new(slow));
    let answer = bench.send_into_silence(test_node::LARGE_KEY, true).await;
    assert_whole_stream(&answer);
    bench.assert_runs([1, 1]);
    bench.node.wait_until_idle().await;
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let entries = bench.engine(1).record().entries();
    let run = entries.iter().find(|entry| entry.started).unwrap();
    assert_eq!(run.end, record::RunEnd::Broken, "{run:?}");
}

/// Returns a configuration that no longer has the model and the service.
fn without_pools() -> documents::ConfigDocument {
    let sections = test_node::SAMPLE.split("\n[");
    let kept = sections.filter(|section| {
        !section.starts_with("model redactor]") && !section.starts_with("service libro]")
    });
    let text = kept.collect::<Vec<_>>().join("\n[");
    let lines = text.lines().filter(|line| {
        let names = ["replicas.redactor", "models =", "services ="];
        !names.iter().any(|name| line.starts_with(name))
    });
    let text = lines.collect::<Vec<_>>().join("\n");
    text.parse().unwrap()
}

/// Guards against answers that are cut because a new document no longer has their model or service
/// while their targets are silent.
#[tokio::test(flavor = "multi_thread")]
async fn answers_outlive_the_removal_of_their_pools_from_the_document() {
    let bench = GroupBench::launch(test_node::SAMPLE).await;
    let ledger = service::FakeService::builder("ledger-1".parse().unwrap());
    let ledger = ledger.call_time(START_TIME * 2).launch().await.unwrap();
    bench.stop_publishing();
    let targets = [
        bench.target(0),
        test_node::target("ledger-1", ledger.address()),
    ];
    let table = test_node::table_of(&targets);
    bench.node.handle.publish_routes(table);
    let change = async {
        tokio::time::sleep(START_TIME).await;
        let for_ms = Some(u64::try_from(SILENCE.as_millis()).unwrap());
        let pause = fault::FaultKind::Pause { for_ms };
        ledger.set_fault(fault::FaultSpec::new(pause.clone()));
        bench.engine(0).set_fault(fault::FaultSpec::new(pause));
        bench.publish(&[], &[]);
        let document = without_pools();
        bench.node.handle.publish_config(handle::ConfigSnapshot {
            version: epochs::ConfigVersion::new(2),
            document,
            text: String::new(),
        });
    };
    let stream = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let whole = test_node::completion(test_node::SMALL_KEY, "draft", false);
    let post = test_node::request(test_node::LARGE_KEY, "POST", "/services/libro/charges", "1");
    let sends = futures_util::future::join3(
        bench.node.send(stream),
        bench.node.send(whole),
        bench.node.send(post),
    );
    let ((stream, whole, post), ()) = tokio::join!(sends, change);
    assert_whole_stream(&stream);
    assert_eq!(whole.status, 200, "{}", whole.text);
    assert_eq!(post.status, 200, "{}", post.text);
}

/// Guards against a forwarded request that is lost because its target is silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_waits_for_its_silent_target() {
    let bench = GroupBench::launch(test_node::SAMPLE).await;
    bench.refuse_connections();
    let platform = test_node::launch_platform().await;
    let entry = test_node::TestNode::launch(platform.address());
    entry.publish(Vec::new());
    let peers = vec![forwards::listen(&bench.node, "mvd-b").await];
    entry.handle.publish_peers(peers);
    for stream in [false, true] {
        bench.publish(&[(0, 1)], &[0]);
        let silence = async {
            tokio::time::sleep(START_TIME).await;
            bench.fall_silent(Some(u64::try_from(SILENCE.as_millis()).unwrap()));
        };
        let request = test_node::completion(test_node::LARGE_KEY, "draft", stream);
        let (answer, ()) = tokio::join!(entry.send(request), silence);
        assert_eq!(answer.status, 200, "{}", answer.text);
        if stream {
            assert_whole_stream(&answer);
        }
    }
    bench.assert_runs([2, 0]);
}
