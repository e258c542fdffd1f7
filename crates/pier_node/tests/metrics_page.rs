//! The operators' metrics page lists exactly the metrics that a node exports, and a node counts what
//! the page describes.

mod support;

use std::collections;

use pier_node::telemetry;

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

/// Prefix of the lines with a metric's name and type.
const TYPE_PREFIX: &str = "# TYPE ";

/// Returns the type of each metric on the page.
fn page_metrics() -> collections::BTreeMap<String, String> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| {
        let cells = row.split('|').map(str::trim).collect::<Vec<_>>();
        (cells[1].trim_matches('`').to_owned(), cells[2].to_owned())
    });
    cells.collect()
}

/// Returns the type of each metric in a node's exported text.
fn shown_metrics(text: &str) -> collections::BTreeMap<String, String> {
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix(TYPE_PREFIX));
    let metrics = lines.filter_map(|line| line.split_once(' '));
    metrics
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect()
}

/// Returns the value of the first line that starts with `line`.
fn value(text: &str, line: &str) -> f64 {
    let mut lines = text.lines();
    let found = lines.find_map(|shown| shown.strip_prefix(line)?.trim().parse().ok());
    found.unwrap_or_else(|| panic!("no {line} in {text}"))
}

#[test]
fn page_and_registry_name_the_same_metrics() {
    let metrics = telemetry::NodeMetrics::new(&telemetry::SpanCounts::default());
    // These have no labels, and so no lines, before the first event.
    metrics.count_answer(None);
    let forged = pier_wire::seals::SealRefusal::Forged;
    metrics.requests().count_refused_datagram(forged);
    metrics
        .bodies()
        .count_ended(pier_fleet::budgets::BodyEnd::Quiet);
    assert_eq!(shown_metrics(&metrics.encode().unwrap()), page_metrics());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_counts_the_outcomes_of_its_requests() {
    let serving = support::ServingNode::start("").await;
    let answer = serving.completion("counted", 3, true).send().await.unwrap();
    answer.text().await.unwrap();
    let fault =
        r#"{"kind": "error", "status": 503, "not_started": true, "path": "v1", "count": 1}"#;
    serving.set_engine_fault(fault);
    let answer = serving.completion("again", 1, false).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let key = support::fresh_key("counted_once");
    for _same in 0..2 {
        let call = serving.charge("counted").header("idempotency-key", &key);
        assert_eq!(call.send().await.unwrap().status(), 200);
    }
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    datagrams
        .send_to(&[1; 100], serving.node.peers_address())
        .unwrap();
    let handle = serving.node.handle();
    support::wait_for("the count of the datagram", || {
        handle
            .metrics_text()
            .unwrap()
            .contains("datagrams_refused_total{")
    })
    .await;
    let running = handle.begin_request();
    let text = handle.metrics_text().unwrap();
    drop(running);
    let name = |rest: &str| format!("buckthornpier_{rest}");
    for (line, expected) in [
        ("attempts_total{outcome=\"Whole\"}", 3.0),
        ("attempts_total{outcome=\"NotStarted\"}", 1.0),
        ("retries_total{outcome=\"Granted\"}", 1.0),
        ("claims_total{outcome=\"Claimed\"}", 1.0),
        ("claims_total{outcome=\"Finished\"}", 1.0),
        ("claims_total{outcome=\"Replayed\"}", 1.0),
        ("first_token_seconds_count", 1.0),
        ("token_gap_seconds_count", 2.0),
        ("quarantined_requests", 0.0),
    ] {
        let shown = value(&text, &name(line));
        assert!((shown - expected).abs() < f64::EPSILON, "{line} is {shown}");
    }
    assert!(value(&text, &name("requests_in_progress")) >= 1.0);
}
