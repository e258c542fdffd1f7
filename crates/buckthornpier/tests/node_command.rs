//! `node`: invalid settings, the format of the log, and signals.

mod support;

use std::{
    io::{self, BufRead as _},
    process, thread, time,
};

#[test]
fn refused_settings_start_nothing() {
    let text =
        support::node_settings("ftp://x", "").replacen("peers = 127.0.0.1:0", "peers = here", 1);
    let path = support::file("settings", "bad.ini", &text);
    let output = support::expect(2, &["node", "--settings", &path]);
    assert!(
        output.err.contains("key=peers found=\"here\""),
        "{output:?}"
    );
    assert!(
        output.err.contains("key=url found=\"ftp://x\""),
        "{output:?}"
    );
    assert_eq!(output.out, "");
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

/// Starts a node and sends it a signal as soon as it has logged `node-started`.
async fn signalled_at_start(name: &str, signal: rustix::process::Signal) -> process::Child {
    let (_server, url) = support::platform().await;
    let path = support::file(name, "node.ini", &support::node_settings(&url, ""));
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_buckthornpier"))
        .args(["node", "--settings", &path])
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = io::BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("event=node-started") {
        line.clear();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the node ended before it logged node-started"
        );
    }
    rustix::process::kill_process(rustix::process::Pid::from_child(&child), signal).unwrap();
    // Reads the rest of the log, so that the node never blocks on a full pipe.
    thread::spawn(move || io::copy(&mut log, &mut io::sink()));
    child
}

#[tokio::test(flavor = "multi_thread")]
async fn a_signal_right_after_the_start_event_drains_the_node() {
    for signal in [rustix::process::Signal::TERM, rustix::process::Signal::INT] {
        let mut child = signalled_at_start("early-stop", signal).await;
        assert_eq!(child.wait().unwrap().code(), Some(0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sighup_does_not_end_the_node() {
    let mut child = signalled_at_start("reload", rustix::process::Signal::HUP).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert_eq!(child.try_wait().unwrap(), None);
    let id = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(id, rustix::process::Signal::TERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
