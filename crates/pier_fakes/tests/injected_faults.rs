//! Injected faults as a caller sees them, compared with the record of what really ran.

use std::time;

use pier_fakes::{engine, fault, platform, record, service};
use pier_types::reports;
use serde_json::json;

const MARKED: &str = "a marked prompt";

fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy();
    builder.retry(reqwest::retry::never()).build().unwrap()
}

async fn preloaded() -> engine::FakeEngine {
    let mut settings = engine::EngineSettings::new("vm-1".parse().unwrap());
    settings.token_time = time::Duration::from_millis(2);
    let builder = engine::FakeEngine::builder(settings).preload("draft".parse().unwrap());
    builder.launch().await.unwrap()
}

fn completion(
    server: &engine::FakeEngine,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}/v1/completions", server.address());
    let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": stream});
    client().post(url).json(&body)
}

/// Waits until an entry of a record has ended.
async fn ended(record: &record::RunRecord, index: usize) -> record::RecordEntry {
    loop {
        if let Some(entry) = record.entries().get(index)
            && entry.end != record::RunEnd::Active
        {
            return entry.clone();
        }
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn a_write_takes_effect_although_its_reply_is_lost() {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let spec = fault::FaultSpec::new(fault::FaultKind::EffectWithoutReply);
    server.set_fault(spec.count(1).method("PUT").path("objects/claim"));
    let url = format!("http://{}/objects/claim/a/1", server.address());
    let write = || client().put(&url).header("If-Version", 0).body("a").send();
    assert!(write().await.is_err());
    assert_eq!(write().await.unwrap().status(), 409);
    assert_eq!(
        client()
            .get(&url)
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap(),
        "a"
    );
    assert_eq!(
        server.record().entries()[0].effect,
        "version 1, fault: reply lost"
    );
}

#[tokio::test]
async fn a_server_that_is_down_refuses_connections_until_it_is_up() {
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let url = format!("http://{}/vms", server.address());
    let control = format!("http://{}/control/fault", server.control_address());
    let put = |body: serde_json::Value| client().put(&control).json(&body).send();
    assert_eq!(client().get(&url).send().await.unwrap().status(), 200);
    assert_eq!(put(json!({"kind": "down"})).await.unwrap().status(), 200);
    while !client()
        .get(&url)
        .send()
        .await
        .is_err_and(|error| error.is_connect())
    {
        tokio::task::yield_now().await;
    }
    assert_eq!(put(json!([{"kind": "up"}])).await.unwrap().status(), 200);
    while client().get(&url).send().await.is_err() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_is_down_answers_no_call_right_after_the_fault() {
    const ROUNDS: usize = 300;
    let server = platform::FakePlatform::builder().launch().await.unwrap();
    let url = format!("http://{}/vms", server.address());
    for round in 0..ROUNDS {
        server.set_fault(fault::FaultSpec::new(fault::FaultKind::Down {
            for_ms: None,
        }));
        let answer = client().get(&url).send().await;
        assert!(answer.is_err(), "round {round}: {answer:?}");
        server.clear_faults();
        while client().get(&url).send().await.is_err() {}
    }
}

#[tokio::test]
async fn a_paused_engine_continues_after_resume() {
    let server = preloaded().await;
    let answer = tokio::spawn(completion(&server, "A", 50, false).send());
    while server
        .record()
        .entries()
        .first()
        .is_none_or(|entry| entry.tokens == 0)
    {
        tokio::task::yield_now().await;
    }
    server.set_fault(fault::FaultSpec::new(fault::FaultKind::Pause {
        for_ms: None,
    }));
    let paused = server.record().entries()[0].tokens;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(server.record().entries()[0].tokens <= paused + 1);
    assert!(!answer.is_finished());
    server.set_fault(fault::FaultSpec::new(fault::FaultKind::Resume));
    assert_eq!(answer.await.unwrap().unwrap().status(), 200);
    assert_eq!(server.record().entries()[0].tokens, 50);
}

#[tokio::test]
async fn a_half_answer_has_no_done_event() {
    for clean_end in [false, true] {
        let server = preloaded().await;
        let half = fault::FaultKind::HalfAnswer {
            tokens: 3,
            clean_end,
        };
        server.set_fault(fault::FaultSpec::new(half).count(1));
        let broken = completion(&server, "A", 9, true)
            .send()
            .await
            .unwrap()
            .text()
            .await;
        assert_eq!(broken.is_ok(), clean_end);
        assert!(!broken.unwrap_or_default().contains("[DONE]"));
        let entry = ended(server.record(), 0).await;
        assert_eq!((entry.end, entry.tokens), (record::RunEnd::Broken, 3));
        let whole = completion(&server, "A", 9, true)
            .send()
            .await
            .unwrap()
            .text()
            .await;
        assert!(whole.unwrap().ends_with("data: [DONE]\n\n"));
    }
}

#[tokio::test]
async fn a_marked_prompt_restarts_the_engine_that_runs_it() {
    let server = preloaded().await;
    let marker = MARKED.to_owned();
    let crash = fault::FaultKind::CrashOnPrompt {
        marker,
        for_ms: 10,
        exit: false,
    };
    server.set_fault(fault::FaultSpec::new(crash));
    assert_eq!(
        completion(&server, "A", 1, false)
            .send()
            .await
            .unwrap()
            .status(),
        200
    );
    assert!(completion(&server, MARKED, 1, false).send().await.is_err());
    let report = server.report();
    assert_eq!(report.state, reports::EngineState::Empty);
    assert_eq!(report.incarnation.get(), 2);
    let entry = ended(server.record(), 1).await;
    assert_eq!((entry.end, entry.started), (record::RunEnd::Broken, true));
}

#[tokio::test]
async fn a_lost_order_is_answered_but_not_applied() {
    let settings = engine::EngineSettings::new("vm-1".parse().unwrap());
    let server = engine::FakeEngine::builder(settings)
        .launch()
        .await
        .unwrap();
    server.set_fault(fault::FaultSpec::new(fault::FaultKind::LoseOrder).count(1));
    let order = json!({"kind": "load", "group": "mvd-a/1", "generation": 1, "model": "draft"});
    let url = format!("http://{}/orders", server.address());
    for state in [reports::EngineState::Empty, reports::EngineState::Cold] {
        let answered = client().post(&url).json(&order).send().await.unwrap();
        assert_eq!(answered.status(), 200);
        assert_eq!(server.report().state, state);
    }
}

#[tokio::test]
async fn a_cancelled_attempt_ends_early() {
    let server = preloaded().await;
    let attempt = completion(&server, "A", 100_000, true).header("X-Attempt-Id", "a1");
    let stream = attempt.send().await.unwrap();
    let url = format!("http://{}/attempts/a1/cancel", server.address());
    assert_eq!(client().post(&url).send().await.unwrap().status(), 200);
    assert!(!stream.text().await.unwrap_or_default().contains("[DONE]"));
    assert_eq!(
        ended(server.record(), 0).await.effect,
        "broken off: cancelled"
    );
}

#[tokio::test]
async fn a_charge_is_recorded_although_its_receipt_is_lost() {
    let vm = "ledger-1".parse().unwrap();
    let server = service::FakeService::builder(vm).launch().await.unwrap();
    let url = format!("http://{}/charges", server.address());
    let post = || {
        client()
            .post(&url)
            .header("Idempotency-Key", "k1")
            .body("12")
            .send()
    };
    let lost = fault::FaultSpec::new(fault::FaultKind::EffectWithoutReply).count(1);
    server.set_fault(lost);
    assert!(post().await.is_err());
    server.set_fault(fault::FaultSpec::new(fault::FaultKind::LoseRequest).count(1));
    assert!(post().await.is_err());
    let receipt: serde_json::Value = post().await.unwrap().json().await.unwrap();
    assert_eq!(receipt["receipt"], 2);
    let started: Vec<_> = server
        .record()
        .entries()
        .iter()
        .map(|entry| entry.started)
        .collect();
    assert_eq!(started, [true, false, true]);
}
