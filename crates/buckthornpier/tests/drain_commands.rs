//! `drain` and `undrain` take data centres and targets out of service and back.

mod support;

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_is_drained_and_undrained() {
    let (_server, url) = support::platform_with_sample("data-centre").await;
    let drain = |name| support::run(&["drain", "data-centre", name, "--platform", &url]);
    assert_eq!(drain("scot-central-a").out, "accepted: version 2\n");
    assert_eq!(drain("scot-central-b").out, "accepted: version 3\n");
    let output = drain("scot-central-c");
    assert_eq!(output.code, 2, "{output:?}");
    assert!(
        output.err.contains("is the last one in service"),
        "{output:?}"
    );
    let output = drain("scot-central-x");
    assert_eq!(output.code, 2, "{output:?}");
    assert!(
        output
            .err
            .contains("allowed: scot-central-a, scot-central-b"),
        "{output:?}"
    );
    let status = support::expect(0, &["status", "--platform", &url]).out;
    assert!(status.contains("data-centre.scot-central-a = out-of-service\n"));
    assert!(status.contains("data-centre.scot-central-c = in-service\n"));
    let undrain = [
        "undrain",
        "data-centre",
        "scot-central-a",
        "--platform",
        &url,
    ];
    assert_eq!(support::expect(0, &undrain).out, "accepted: version 4\n");
    let shown = support::expect(0, &["config", "show", "--platform", &url]).out;
    assert!(shown.contains("# Lodging a nomination runs at most once."));
    assert_eq!(shown.matches("state = out-of-service").count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn target_is_drained_and_undrained() {
    let (_server, url) = support::platform_with_sample("target").await;
    let drain = [
        "drain",
        "target",
        "vm-7",
        "--reason",
        "fan is loud",
        "--platform",
        &url,
    ];
    support::expect(0, &drain);
    let status = support::expect(0, &["status", "--platform", &url]).out;
    assert!(status.contains("drained.vm-7 = fan is loud\n"), "{status}");
    support::expect(0, &["undrain", "target", "vm-7", "--platform", &url]);
    let output = support::expect(2, &["undrain", "target", "vm-7", "--platform", &url]);
    assert!(output.err.contains("vm-7 is not drained"), "{output:?}");
    support::expect(2, &["drain", "target", "no name", "--platform", &url]);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_drains_all_take_effect() {
    let (_server, url) = support::platform_with_sample("many").await;
    let children = (0..4).map(|number| {
        let name = format!("vm-{number}");
        let mut command = support::command(&["drain", "target", &name, "--platform", &url]);
        command.stdout(std::process::Stdio::null()).spawn().unwrap()
    });
    for mut child in children.collect::<Vec<_>>() {
        assert_eq!(child.wait().unwrap().code(), Some(0));
    }
    let status = support::expect(0, &["status", "--platform", &url]).out;
    assert_eq!(status.matches("drained.vm-").count(), 4, "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_needs_a_document() {
    let (_server, url) = support::platform().await;
    let output = support::expect(2, &["drain", "target", "vm-1", "--platform", &url]);
    assert!(
        output.err.contains("there is no document yet"),
        "{output:?}"
    );
}
