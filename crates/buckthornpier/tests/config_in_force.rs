//! Every node applies an accepted document, and no node applies an invalid one.

mod support;

use pier_platform::objects;
use pier_types::epochs;

/// Upper bound on the watches that one node may send while the document changes five times.
const WATCH_CALLS: usize = 15;

#[tokio::test(flavor = "multi_thread")]
async fn accepted_versions_reach_every_node() {
    let (_server, url) = support::platform_with_sample("reach").await;
    let nodes = ["a", "b", "c"].map(|name| support::LoggedNode::start("reach", name, &url, ""));
    for node in &nodes {
        node.wait_for("config.version = 1");
    }
    let drain = ["drain", "data-centre", "scot-central-b", "--platform", &url];
    support::expect(0, &drain);
    for node in &nodes {
        let status = node.wait_for("config.version = 2");
        assert!(status.contains("config.data_centres.scot-central-b = out-of-service\n"));
    }
    for node in nodes {
        let (code, log) = node.stop();
        assert_eq!(code, Some(0));
        let change = "change=\"[data-centre scot-central-b] state: in-service -> out-of-service\"";
        assert!(log.contains(change), "{log}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_document_changes_nothing() {
    let (server, url) = support::platform_with_sample("bad").await;
    let node = support::LoggedNode::start("bad", "a", &url, "");
    node.wait_for("config.version = 1");
    let client = objects::ObjectClient::new(&url).unwrap();
    let write = |version, text: String| {
        let client = client.clone();
        async move {
            let condition = epochs::ObjectVersion::new(version);
            client
                .write("config/document", condition, text.into())
                .await
        }
    };
    let bad = support::SAMPLE.replacen("members = 4", "members = 0", 1);
    let _written = write(1, bad).await;
    let status = node.wait_for("config.refused = 2");
    assert!(status.contains("config.version = 1\n"), "{status}");
    let platform = support::expect(0, &["status", "--platform", &url]).out;
    assert!(
        platform.contains("document = refused, 1 fault(s)"),
        "{platform}"
    );
    support::expect(2, &["drain", "target", "vm-1", "--platform", &url]);
    let _written = write(2, support::SAMPLE.replacen("= 72", "= 48", 1)).await;
    let status = node.wait_for("config.version = 3");
    assert!(status.contains("config.refused = null\n"), "{status}");
    let deleted = epochs::ObjectVersion::new(3);
    let _deleted = client.delete("config/document", deleted).await;
    let apply = support::file("bad", "again.ini", support::SAMPLE);
    support::expect(
        0,
        &["config", "apply", &apply, "--base", "0", "--platform", &url],
    );
    node.wait_for("config.version = 5");
    let calls = server.record().entries();
    let watches = calls.iter().filter(|call| call.effect == "watched").count();
    assert!(watches < WATCH_CALLS, "{watches} watches of one node");
    let (_code, log) = node.stop();
    assert!(
        log.contains("event=config-refused version=2 source=platform fault="),
        "{log}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_node_cut_off_from_the_platform_asks_its_peers() {
    let (_server, url) = support::platform_with_sample("peers").await;
    let first = support::LoggedNode::start("peers", "a", &url, "");
    first.wait_for("config.version = 1");
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let away = format!("http://{}", closed.local_addr().unwrap());
    drop(closed);
    let seeds = first.peers.to_string();
    let second = support::LoggedNode::start("peers", "b", &away, &seeds);
    second.wait_for("config.version = 1");
    let groups = ["groups", "--node", &second.operators.to_string()];
    support::expect(0, &groups);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_loses_the_platform_learns_from_its_peers() {
    let (_server, url) = support::platform_with_sample("loses").await;
    let (lost_server, lost_url) = support::platform_with_sample("loses").await;
    let first = support::LoggedNode::start("loses", "a", &url, "");
    let seeds = first.peers.to_string();
    let second = support::LoggedNode::start("loses", "b", &lost_url, &seeds);
    second.wait_for("config.version = 1");
    drop(lost_server);
    let drain = ["drain", "data-centre", "scot-central-a", "--platform", &url];
    support::expect(0, &drain);
    let status = second.wait_for("config.version = 2");
    assert!(
        status.contains("config.data_centres.scot-central-a = out-of-service\n"),
        "{status}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_node_is_reported() {
    let (_server, url) = support::platform().await;
    let node = support::LoggedNode::start("reachless", "a", &url, "");
    let operators = node.operators.to_string();
    let (code, _log) = node.stop();
    assert_eq!(code, Some(0));
    support::expect(4, &["status", "--node", &operators]);
    support::expect(4, &["groups", "--node", &operators]);
}
