//! Streams are complete and in order, are resumed where allowed, and end with an end mark or an
//! error.

use std::time;

use pier_fakes::{engine, fault, platform};
use pier_node::{callers, requests};

use crate::test_node;

pub struct StreamBench {
    _platform: platform::FakePlatform,
    pub engines: Vec<engine::FakeEngine>,
    pub node: test_node::TestNode,
}

impl StreamBench {
    pub async fn launch(count: usize) -> Self {
        let platform = test_node::launch_platform().await;
        let node = test_node::TestNode::launch(platform.address());
        let mut engines = Vec::new();
        for number in 0..count {
            engines.push(test_node::launch_engine(&format!("vm-{number}")).await);
        }
        let targets = engines.iter().enumerate();
        let targets = targets
            .map(|(number, engine)| test_node::target(&format!("vm-{number}"), engine.address()));
        node.publish(targets.collect());
        Self {
            _platform: platform,
            engines,
            node,
        }
    }

    pub fn set_fault(&self, kind: &fault::FaultKind, count: u32) {
        for engine in &self.engines {
            engine.set_fault(fault::FaultSpec {
                path: Some("v1/completions".to_owned()),
                ..fault::FaultSpec::new(kind.clone()).count(count)
            });
        }
    }

    pub fn runs(&self) -> usize {
        let records = self.engines.iter().map(|engine| engine.record().entries());
        records.flatten().filter(|entry| entry.started).count()
    }

    fn tokens(&self) -> u64 {
        let records = self.engines.iter().map(|engine| engine.record().entries());
        records.flatten().map(|entry| entry.tokens).sum()
    }
}

pub fn in_order() -> Vec<u64> {
    (0..12).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_relayed_whole_with_its_end_mark() {
    let bench = StreamBench::launch(1).await;
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let answer = bench.node.send(request).await;
    assert_eq!(answer.indexes(), in_order());
    assert!(answer.text.ends_with("data: [DONE]\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_where_the_customer_allows_it() {
    for clean_end in [false, true] {
        let bench = StreamBench::launch(2).await;
        let broken = fault::FaultKind::HalfAnswer {
            tokens: 5,
            clean_end,
        };
        bench.set_fault(&broken, 1);
        let complete = StreamBench::launch(1).await;
        let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
        let expected = complete.node.send(request.clone()).await;
        let answer = bench.node.send(request).await;
        assert_eq!(answer.indexes(), in_order(), "{}", answer.text);
        assert!(answer.text.ends_with("data: [DONE]\n\n"));
        let texts = |answer: &test_node::TestAnswer| {
            let parts = answer.text.split("\"text\":").skip(1);
            parts
                .map(|part| part.split('}').next().unwrap().to_owned())
                .collect::<Vec<_>>()
        };
        assert_eq!(texts(&answer), texts(&expected));
        // The second engine generated only the missing tokens.
        assert_eq!(bench.tokens(), 12);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_that_may_not_be_repeated_ends_in_an_error() {
    let bench = StreamBench::launch(2).await;
    let broken = fault::FaultKind::HalfAnswer {
        tokens: 5,
        clean_end: true,
    };
    bench.set_fault(&broken, 1);
    let request = test_node::completion(test_node::SMALL_KEY, "draft", true);
    let answer = bench.node.send(request).await;
    assert_eq!(answer.indexes(), (0..5).collect::<Vec<_>>());
    assert_eq!(
        (answer.code(), answer.outcome().as_str()),
        (4004, "unknown")
    );
    assert!(answer.text.contains("event: error\n") && !answer.text.contains("[DONE]"));
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_buffered_request_is_retried_only_where_that_is_allowed() {
    let lost = fault::FaultKind::LoseRequest;
    for (key, status) in [(test_node::LARGE_KEY, 200), (test_node::SMALL_KEY, 502)] {
        // Both engines drop their first request, but neither crashes, so nothing is quarantined.
        let bench = StreamBench::launch(2).await;
        bench.set_fault(&lost, 1);
        let answer = bench
            .node
            .send(test_node::completion(key, "draft", false))
            .await;
        assert_eq!(answer.status, status, "{}", answer.text);
        let again = bench
            .node
            .send(test_node::completion(key, "draft", false))
            .await;
        assert!(again.code() != 2006, "{}", again.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_did_not_start_is_retried_for_every_customer() {
    let bench = StreamBench::launch(2).await;
    let refusing = fault::FaultKind::Error {
        status: 503,
        not_started: true,
    };
    bench.engines[0].set_fault(fault::FaultSpec::new(refusing));
    for number in 0..6 {
        let prompt = format!("draft {number}");
        let request = test_node::completion(test_node::SMALL_KEY, &prompt, number % 2 == 0);
        let answer = bench.node.send(request).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!(bench.runs(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_the_run_in_the_engine() {
    let bench = StreamBench::launch(1).await;
    bench.engines[0].set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime {
        ms: 100,
    }));
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let path = requests::RequestPath::new(bench.node.handle.clone());
    let reply = path.serve(request).await;
    let callers::ReplyBody::Stream(mut parts) = reply.body else {
        panic!("no stream");
    };
    parts.recv().await.unwrap();
    drop(parts);
    bench.node.wait_until_idle().await;
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let entries = bench.engines[0].record().entries();
    let run = entries
        .iter()
        .find(|entry| entry.path == "v1/completions")
        .unwrap();
    assert!(run.tokens < 6, "{run:?}");
    assert_eq!(run.end, pier_fakes::record::RunEnd::Broken);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missed_deadline_ends_the_answer() {
    let bench = StreamBench::launch(1).await;
    bench.engines[0].set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime {
        ms: 100,
    }));
    for stream in [true, false] {
        let mut request = test_node::completion(test_node::LARGE_KEY, "draft", stream);
        request
            .headers
            .insert("x-deadline-ms".to_owned(), "250".to_owned());
        let answer = bench.node.send(request).await;
        assert_eq!(
            (answer.code(), answer.outcome().as_str()),
            (4005, "unknown")
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_from_a_silent_engine_frees_its_slot() {
    let bench = StreamBench::launch(1).await;
    bench.engines[0].set_fault(fault::FaultSpec::new(fault::FaultKind::TokenTime {
        ms: 50,
    }));
    let request = test_node::completion(test_node::LARGE_KEY, "draft", true);
    let path = requests::RequestPath::new(bench.node.handle.clone());
    let reply = path.serve(request).await;
    let callers::ReplyBody::Stream(mut parts) = reply.body else {
        panic!("no stream");
    };
    parts.recv().await.unwrap();
    bench.engines[0].set_fault(fault::FaultSpec::new(fault::FaultKind::Pause {
        for_ms: None,
    }));
    drop(parts);
    bench.node.wait_until_idle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_late_gets_the_deadline_error() {
    let bench = StreamBench::launch(1).await;
    let body = serde_json::json!({
        "model": "redactor", "prompt": "draft", "stream": true, "max_tokens": 100,
    });
    let path = "/v1/completions";
    let mut request = test_node::request(test_node::LARGE_KEY, "POST", path, &body.to_string());
    request
        .headers
        .insert("x-deadline-ms".to_owned(), "600".to_owned());
    let path = requests::RequestPath::new(bench.node.handle.clone());
    let reply = path.serve(request).await;
    let callers::ReplyBody::Stream(mut parts) = reply.body else {
        panic!("no stream");
    };
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    let mut text = String::new();
    while let Some(part) = parts.recv().await {
        text.push_str(std::str::from_utf8(&part).unwrap());
    }
    assert!(
        text.contains("event: error") && text.contains("4005"),
        "{text}"
    );
    assert!(!text.contains("[DONE]"));
}
