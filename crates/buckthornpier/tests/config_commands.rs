//! The `config` commands, run as processes against a fake platform.

mod support;

use std::net;

#[test]
fn check_names_every_fault() {
    let good = support::file("check", "good.ini", support::SAMPLE);
    let output = support::expect(0, &["config", "check", &good]);
    assert!(
        output.out.starts_with("ok: document laurel-north"),
        "{output:?}"
    );
    let text = support::SAMPLE
        .replacen("members = 4", "members = 0", 1)
        .replacen("freshness-ms", "fresh-ms", 1);
    let bad = support::file("check", "bad.ini", &text);
    let output = support::expect(2, &["config", "check", &bad]);
    assert!(
        output
            .err
            .contains("[model drafter] members: found \"0\"; allowed:")
    );
    assert!(
        output
            .err
            .contains("[limits] fresh-ms: found an unknown key; allowed:")
    );
    support::expect(2, &["config", "check", "no-such-file.ini"]);
}

#[test]
fn help_is_given_for_every_command() {
    let commands: [&[&str]; 13] = [
        &[],
        &["node"],
        &["config"],
        &["config", "check"],
        &["config", "show"],
        &["config", "diff"],
        &["config", "apply"],
        &["drain", "data-centre"],
        &["undrain", "target"],
        &["status"],
        &["groups"],
        &["explain"],
        &["demo"],
    ];
    for command in commands {
        let arguments = [command, &["--help"]].concat();
        let output = support::expect(0, &arguments);
        assert!(output.out.contains("Usage: buckthornpier"), "{output:?}");
    }
    support::expect(2, &["config", "aply"]);
    support::expect(2, &["drain"]);
    support::expect(2, &["status"]);
    support::expect(2, &["groups"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn shown_document_is_edited_and_applied() {
    let (_server, url) = support::platform_with_sample("edit").await;
    let shown = support::expect(0, &["config", "show", "--platform", &url]).out;
    assert!(shown.starts_with("# shown-version = 1\n"));
    assert!(shown.contains("# Lodging a nomination runs at most once."));
    let mine = support::file(
        "edit",
        "mine.ini",
        &shown.replacen("members = 4", "members = 8", 1),
    );
    let output = support::expect(0, &["config", "diff", &mine, "--platform", &url]);
    assert_eq!(output.out, "[model drafter] members: 4 -> 8\n");
    let output = support::expect(0, &["config", "apply", &mine, "--platform", &url]);
    assert_eq!(output.out, "accepted: version 2\n");
    let shown = support::expect(0, &["config", "show", "--platform", &url]).out;
    assert_eq!(shown.matches("shown-version").count(), 1);
    assert!(shown.starts_with("# shown-version = 2\n"));
    let canonical = support::expect(0, &["config", "show", "--canonical", "--platform", &url]).out;
    let file = support::file("edit", "canonical.ini", &canonical);
    support::expect(0, &["config", "check", &file]);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_conflict_shows_the_other_operators_changes() {
    let (server, url) = support::platform_with_sample("conflict").await;
    let shown = support::expect(0, &["config", "show", "--platform", &url]).out;
    let first = shown.replacen("warm-limit = 24", "warm-limit = 20", 1);
    let first = support::file("conflict", "first.ini", &first);
    let second = support::file("conflict", "second.ini", &shown.replacen("= 72", "= 48", 1));
    support::expect(0, &["config", "apply", &first, "--platform", &url]);
    let output = support::expect(3, &["config", "apply", &second, "--platform", &url]);
    let expected = "Changes from version 1 to 2:\n  [model drafter] warm-limit: 24 -> 20\n";
    assert!(output.err.contains(expected), "{output:?}");
    assert!(output.err.starts_with("code 5001:"), "{output:?}");
    assert_eq!(support::effective_writes(&server), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_six_racing_operators_wins() {
    let (server, url) = support::platform_with_sample("race").await;
    let shown = support::expect(0, &["config", "show", "--platform", &url]).out;
    let children = (0..6).map(|number| {
        let text = shown.replacen("laurel-north", &format!("race-{number}"), 1);
        let path = support::file("race", &format!("{number}.ini"), &text);
        let arguments = ["config", "apply", &path, "--platform", &url];
        let mut command = support::command(&arguments);
        let command = command.stdout(std::process::Stdio::null());
        command.stderr(std::process::Stdio::null()).spawn().unwrap()
    });
    let children = children.collect::<Vec<_>>();
    let codes = children
        .into_iter()
        .map(|mut child| child.wait().unwrap().code());
    let mut codes = codes.collect::<Vec<_>>();
    codes.sort_unstable();
    let lost = Some(3);
    assert_eq!(codes, vec![Some(0), lost, lost, lost, lost, lost]);
    assert_eq!(support::effective_writes(&server), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_with_lost_replies_are_found_applied() {
    for count in [1, 1_000] {
        let test = format!("lost-{count}");
        let (server, url) = support::platform_with_sample(&test).await;
        let lost = support::LossPoint::AfterEffect;
        let relay = support::LossyRelay::start(server.address(), lost, count).await;
        let shown = support::expect(0, &["config", "show", "--platform", &url]).out;
        let mine = support::file(&test, "mine.ini", &shown.replacen("= 72", "= 48", 1));
        let output = support::expect(0, &["config", "apply", &mine, "--platform", &relay.url]);
        assert_eq!(output.out, "accepted: version 2\n");
        assert_eq!(support::effective_writes(&server), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_that_never_arrive_end_as_unknown() {
    let (server, _url) = support::platform_with_sample("never").await;
    let lost = support::LossPoint::BeforeEffect;
    let relay = support::LossyRelay::start(server.address(), lost, 1_000).await;
    let drain = [
        "drain",
        "data-centre",
        "scot-central-a",
        "--platform",
        &relay.url,
    ];
    let output = support::expect(5, &drain);
    assert!(output.err.contains("code 5003:"), "{output:?}");
    assert_eq!(support::effective_writes(&server), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_platform_changes_nothing() {
    let closed = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", closed.local_addr().unwrap());
    drop(closed);
    let mine = support::file("away", "mine.ini", support::SAMPLE);
    let apply = ["config", "apply", &mine, "--base", "0", "--platform", &url];
    let output = support::expect(4, &apply);
    assert!(output.err.contains("nothing was changed"), "{output:?}");
    support::expect(4, &["config", "show", "--platform", &url]);
    support::expect(4, &["drain", "target", "vm-1", "--platform", &url]);
    support::expect(4, &["status", "--platform", &url]);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_sends_nothing() {
    let (server, url) = support::platform().await;
    let bad = support::file("bad", "bad.ini", "[document]\nname = x\n");
    let good = support::file("bad", "good.ini", support::SAMPLE);
    support::expect(
        2,
        &["config", "apply", &bad, "--base", "0", "--platform", &url],
    );
    support::expect(2, &["config", "apply", &good, "--platform", &url]);
    support::expect(
        2,
        &[
            "config",
            "apply",
            &good,
            "--base",
            "0",
            "--platform",
            "ftp://x",
        ],
    );
    support::expect(2, &["config", "apply", &good, "--base", "0"]);
    assert!(server.record().entries().is_empty());
}
