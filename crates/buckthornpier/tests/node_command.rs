//! The daemon's command: settings, log lines and the end by signal.

mod support;

#[test]
fn refused_settings_start_nothing() {
    let text =
        support::node_settings("ftp://x", "").replacen("peers = 127.0.0.1:0", "peers = here", 1);
    let path = support::file("settings", "bad.ini", &text);
    let end = support::expect(2, &["node", "--settings", &path]);
    assert!(end.err.contains("key=peers found=\"here\""), "{end:?}");
    assert!(end.err.contains("key=url found=\"ftp://x\""), "{end:?}");
    assert_eq!(end.out, "");
    support::expect(2, &["node", "--settings", "no-such-file.ini"]);
    support::expect(2, &["node"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_logs_key_value_lines_and_ends_by_signal() {
    let (_server, url) = support::platform().await;
    let node = support::LoggedNode::start("log", "node", &url, "");
    let (code, log) = node.stop();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains(" event=drain-ended "), "{log}");
    for line in log.lines() {
        assert!(line.starts_with("time=2"), "{line}");
        assert!(
            line.contains(" level=") && line.contains(" event="),
            "{line}"
        );
    }
}
