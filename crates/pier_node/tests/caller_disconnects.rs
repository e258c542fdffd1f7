//! Callers that disconnect before a complete answer: repeatable runs are cancelled at the engine,
//! others complete.

mod support;

use std::{net, time};

use pier_fakes::record;
use pier_node::callers;

/// Tokens of a run that outlasts its test unless it is cancelled.
const ENDLESS_TOKENS: u64 = 10_000;

/// Tokens of a run that lasts for several polls of the connections.
const LONG_TOKENS: u64 = 150;

/// Sends a call, and disconnects once it runs.
async fn disconnect_during_run(
    serving: &support::ServingNode,
    call: reqwest::RequestBuilder,
    prompt: &str,
) {
    let calling = tokio::spawn(call.send());
    support::wait_for("the run", || {
        serving.runs_of(prompt).iter().any(|run| run.started)
    })
    .await;
    calling.abort();
}

async fn wait_for_end(serving: &support::ServingNode, prompt: &str) -> record::RecordEntry {
    support::wait_for("the end of the run", || {
        let runs = serving.runs_of(prompt);
        runs.iter().all(|run| run.end != record::RunEnd::Active)
    })
    .await;
    let mut runs = serving.runs_of(prompt);
    // An earlier attempt may have been refused by the engine without starting.
    runs.retain(|run| run.started);
    assert_eq!(runs.len(), 1, "{runs:?}");
    runs[0].clone()
}

async fn start() -> support::ServingNode {
    let serving = support::ServingNode::start("").await;
    serving.set_engine_fault(r#"{"kind": "token-time", "ms": 20}"#);
    serving
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_run_is_cancelled_when_its_caller_disconnects() {
    let serving = start().await;
    for (prompt, is_stream) in [("whole", false), ("stream", true)] {
        let call = serving.completion(prompt, ENDLESS_TOKENS, is_stream);
        disconnect_during_run(&serving, call, prompt).await;
        let run = wait_for_end(&serving, prompt).await;
        assert_eq!(run.end, record::RunEnd::Broken);
        assert!(run.effect.contains("cancelled"), "{}", run.effect);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_one_time_run_completes_and_its_answer_is_stored_for_its_caller() {
    let serving = start().await;
    let key = support::fresh_key("lodged_once");
    let call = || {
        let call = serving.completion("one time", LONG_TOKENS, false);
        call.header("idempotency-key", key.as_str())
    };
    disconnect_during_run(&serving, call(), "one time").await;
    let run = wait_for_end(&serving, "one time").await;
    assert_eq!(
        (run.end, run.tokens),
        (record::RunEnd::Finished, LONG_TOKENS)
    );
    // The outcome is recorded after the run has ended; until then the key is refused with 409.
    let again = async {
        loop {
            let answer = call().send().await.unwrap();
            if answer.status() != 409 {
                return answer;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    assert_eq!(again.await.status(), 200);
    assert_eq!(serving.runs_of("one time").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_run_completes_after_its_caller_disconnects() {
    let serving = start().await;
    let call = serving.single_completion("not again", LONG_TOKENS);
    disconnect_during_run(&serving, call, "not again").await;
    let run = wait_for_end(&serving, "not again").await;
    assert_eq!(
        (run.end, run.tokens),
        (record::RunEnd::Finished, LONG_TOKENS)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_waits_gets_its_complete_answer() {
    let serving = start().await;
    let call = serving.completion("patience", LONG_TOKENS, false);
    assert_eq!(call.send().await.unwrap().status(), 200);
    let run = wait_for_end(&serving, "patience").await;
    assert_eq!(
        (run.end, run.tokens),
        (record::RunEnd::Finished, LONG_TOKENS)
    );
}

const LIST_HEADING: &str = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when \
    retrnsmt   uid  timeout inode\n";

const LIST_REST: &str = "00000000:00000000 00:00000000 00000000  1000        0 7 1";

/// Returns a connection list as the kernel writes it, with these addresses and states.
fn list_text(lines: &[&str]) -> String {
    let lines = lines.iter().enumerate();
    let lines = lines.map(|(number, line)| format!("{number:4}: {line} {LIST_REST}\n"));
    format!("{LIST_HEADING}{}", lines.collect::<String>())
}

#[test]
fn the_connection_table_holds_only_open_connections() {
    let caller = |port: u16| net::SocketAddr::from(([127, 0, 0, 2], port));
    let text = list_text(&[
        "0100007F:1F90 00000000:0000 0A",
        "0100007F:1F90 0200007F:C000 01",
        "0100007F:1F90 0200007F:C001 08",
        "0100007F:1F91 0200007F:C002 01",
    ]);
    let mut table = callers::ConnectionTable::default();
    table.read(text.as_bytes(), 8_080).unwrap();
    assert!(table.contains(caller(0xC000)));
    assert!(!table.contains(caller(0xC001)), "closed by its caller");
    assert!(!table.contains(caller(0xC002)), "of another port");
    let text = list_text(&[
        "0000000000000000FFFF00000100007F:1F90 0000000000000000FFFF00000200007F:C000 01",
    ]);
    let mut table = callers::ConnectionTable::default();
    table.read(text.as_bytes(), 8_080).unwrap();
    assert!(table.contains(caller(0xC000)), "an IPv4-mapped address");
    let broken = format!("{LIST_HEADING}   0: broken\n");
    assert!(table.read(broken.as_bytes(), 8_080).is_err());
}

/// Guards against missing what a connection that is being closed has yet to send.
#[test]
fn the_connection_table_shows_what_is_left_to_send() {
    let caller = |port: u16| net::SocketAddr::from(([127, 0, 0, 2], port));
    let rest = |unsent: &str| LIST_REST.replacen("00000000", unsent, 1);
    let lines = [
        ("0100007F:1F90 00000000:0000 0A", rest("00000005")),
        ("0100007F:1F90 0200007F:C000 01", rest("00000000")),
        ("0100007F:1F90 0200007F:C001 01", rest("00000100")),
        ("0100007F:1F90 0200007F:C002 04", rest("00000001")),
        ("0100007F:1F91 0200007F:C003 01", rest("00000007")),
    ];
    let lines = lines.iter().enumerate();
    let lines = lines.map(|(number, (line, rest))| format!("{number:4}: {line} {rest}\n"));
    let text = format!("{LIST_HEADING}{}", lines.collect::<String>());
    let mut table = callers::ConnectionTable::default();
    table.read(text.as_bytes(), 8_080).unwrap();
    let expected = [(caller(0xC001), 256), (caller(0xC002), 1)].into();
    assert_eq!(table.unsent(), &expected);
}
