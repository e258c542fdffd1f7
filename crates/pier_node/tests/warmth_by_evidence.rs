//! An engine that turns cold while its reports hang is sent no more than a cold one bears, by what
//! the requests themselves saw.

mod support;

use std::time;

use pier_fakes::record;

/// Requests of the crowd that follows the evidence.
const CROWD: usize = 20;

/// Tokens of each answer of the crowd; long enough for all of them to be there at once.
const LONG_ANSWER: u64 = 20;

/// Reports hang from now on, so that no probe tells of the change.
const REPORTS_HANG: &str = r#"{"kind": "slow", "ms": 60000, "path": "report"}"#;

/// Streams that run all the time, within what a cold engine bears.
const HELD: usize = support::COLD_LIMIT as usize - 1;

/// Time in which the evidence takes effect; a probe or a new table takes longer.
const EFFECT_TIME: time::Duration = time::Duration::from_millis(50);

/// Sends a crowd at once and returns the greatest number that ran at the engine together.
async fn crowd(serving: &support::ServingNode) -> usize {
    tokio::time::sleep(EFFECT_TIME).await;
    serving.set_engine_fault(r#"{"kind": "token-time", "ms": 20}"#);
    let calls = (0..CROWD).map(|_number| {
        let call = serving.completion("one of a crowd", LONG_ANSWER, true);
        tokio::spawn(async move { call.send().await.unwrap().text().await })
    });
    let calls: Vec<_> = calls.collect();
    let mut greatest = 0;
    while calls.iter().any(|call| !call.is_finished()) {
        let runs = serving.engine.record().entries().into_iter();
        let active = runs.filter(|run| run.started && run.end == record::RunEnd::Active);
        greatest = greatest.max(active.count());
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    greatest
}

/// Checks that the engine went on, and never had more than it bears while cold.
fn assert_borne(serving: &support::ServingNode, greatest: usize) {
    let entries = serving.engine.record().entries().into_iter();
    let fallen = entries.filter(|run| run.effect.contains("engine down"));
    assert_eq!(fallen.count(), 0, "runs of an engine that fell over");
    let limit = support::COLD_LIMIT as usize;
    assert!(
        greatest <= limit,
        "{greatest} at an engine that bears {limit}"
    );
    assert!(greatest >= HELD);
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_cut_the_load_at_once_while_reports_hang() {
    let serving = support::ServingNode::start("").await;
    let _held = serving.hold_streams(HELD).await;
    serving.set_engine_fault(REPORTS_HANG);
    serving.set_engine_fault(r#"{"kind": "error", "status": 500, "path": "v1", "count": 3}"#);
    // Each of its three attempts meets the fault.
    let call = serving.completion("evidence", 1, true).send();
    assert_eq!(call.await.unwrap().status(), 502);
    serving.set_engine_fault(r#"{"kind": "cold"}"#);
    let greatest = crowd(&serving).await;
    assert_borne(&serving, greatest);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_jump_of_the_latency_cuts_the_load_at_once_while_reports_hang() {
    let serving = support::ServingNode::start("").await;
    let _held = serving.hold_streams(HELD).await;
    serving.set_engine_fault(r#"{"kind": "token-time", "ms": 1}"#);
    answer_in_turn(&serving, 8).await;
    serving.set_engine_fault(REPORTS_HANG);
    serving.set_engine_fault(r#"{"kind": "token-time", "ms": 250}"#);
    answer_in_turn(&serving, 4).await;
    serving.set_engine_fault(r#"{"kind": "cold"}"#);
    let greatest = crowd(&serving).await;
    assert_borne(&serving, greatest);
}

/// Sends streams of one token, one after the other.
async fn answer_in_turn(serving: &support::ServingNode, count: usize) {
    for _answer in 0..count {
        let answer = serving.completion("in turn", 1, true).send().await.unwrap();
        assert_eq!(answer.status(), 200);
        answer.text().await.unwrap();
    }
}
