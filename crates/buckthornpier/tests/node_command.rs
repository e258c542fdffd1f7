//! The daemon's command: settings, log lines and the end by signal.

mod common;

use std::{
    io::{BufRead, BufReader},
    process,
};

fn settings(platform: &str) -> String {
    format!(
        "[node]\ndata-centre = scot-central-a\nregion = scot-central\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         peer-key = 0123456789abcdef0123456789abcdef\ndrain-notice-seconds = 0\n\
         [platform]\nurl = {platform}\n"
    )
}

#[test]
fn refused_settings_start_nothing() {
    let text = settings("ftp://x").replacen("peers = 127.0.0.1:0", "peers = here", 1);
    let path = common::file("settings", "bad.ini", &text);
    let end = common::expect(2, &["node", "--settings", &path]);
    assert!(end.err.contains("key=peers found=\"here\""), "{end:?}");
    assert!(end.err.contains("key=url found=\"ftp://x\""), "{end:?}");
    assert_eq!(end.out, "");
    common::expect(2, &["node", "--settings", "no-such-file.ini"]);
    common::expect(2, &["node"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_logs_key_value_lines_and_ends_by_signal() {
    let (_server, url) = common::platform().await;
    let path = common::file("node", "node.ini", &settings(&url));
    let mut command = common::command(&["node", "--settings", &path]);
    command.stdout(process::Stdio::piped());
    let mut child = command.stderr(process::Stdio::piped()).spawn().unwrap();
    let mut ports = String::new();
    let mut stdout = BufReader::new(child.stdout.take().unwrap());
    stdout.read_line(&mut ports).unwrap();
    assert!(ports.starts_with("callers=127.0.0.1:"), "{ports}");
    let signal = process::Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(signal.unwrap().success());
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let seen = lines.map(Result::unwrap).collect::<Vec<_>>();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{seen:#?}");
    assert!(
        seen.iter().any(|line| line.contains(" event=drain-ended ")),
        "{seen:#?}"
    );
    for line in &seen {
        assert!(line.starts_with("time=2"), "{line}");
        assert!(
            line.contains(" level=") && line.contains(" event="),
            "{line}"
        );
    }
}
