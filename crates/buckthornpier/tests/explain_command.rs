//! `explain` shows the lines of a request from the logs of several nodes.

mod support;

const EDGE_ONE: &str = "\
time=2026-12-04T03:35:17.600Z level=info event=request-sent attempt=555a target_vm=vm-1 generation=7 expected_ms=343
time=2026-12-04T03:35:17.700Z level=info event=request-sent attempt=other target_vm=vm-9 generation=7 expected_ms=343
time=2026-12-04T03:35:17.832Z level=info event=request-answered attempt=555a status=200 taken_ms=232
a line of something else
time=2026-12-04T03:35:20.026Z level=info event=stream-lost attempt=555a target_vm=vm-1 cause=\"the target is \\\"stuck\\\"\" events=15
time=2026-12-04T03:35:21.060Z level=info event=stream-ended attempt=555a target_vm=vm-1 outcome=cut events=15 resumed=0
";

const EDGE_TWO: &str = "\
 19.2531 edge-2 time=2026-12-04T03:35:19.900Z level=warn event=target-stuck target_vm=vm-1 silent_ms=969
 19.3000 edge-2 time=2026-12-04T03:35:20.300Z level=warn event=member-lost target_vm=vm-1 cause=\"no answer\"
 19.3000 edge-2 time=2026-12-04T03:35:20.300Z level=warn event=member-lost target_vm=vm-9 cause=\"no answer\"
";

#[test]
fn lines_of_an_attempt_and_its_targets_are_shown_in_order() {
    let one = support::file("explain", "edge-1.log", EDGE_ONE);
    let two = support::file("explain", "edge-2.log", EDGE_TWO);
    let output = support::expect(0, &["explain", "555a", &two, &one]);
    let lines: Vec<_> = output.out.lines().collect();
    assert_eq!(lines[0], "request 555a");
    assert!(
        lines[1].contains("edge-1 request-sent target_vm=vm-1"),
        "{output:?}"
    );
    assert!(
        lines[3].contains("cause=\"the target is \\\"stuck\\\"\""),
        "{output:?}"
    );
    assert_eq!(
        lines[5],
        "=> the stream ended: cut, 15 events, resumed 0 times"
    );
    assert_eq!(lines[6], "target vm-1: 2 events");
    assert!(lines[7].contains("edge-2 target-stuck"), "{output:?}");
    assert!(lines[8].contains("edge-2 member-lost"), "{output:?}");
    assert_eq!(lines[9], "9 lines read, 1 of them not understood");
    assert_eq!(lines.len(), 10, "{output:?}");
}

#[test]
fn unknown_attempt_and_missing_log_file_are_reported() {
    let one = support::file("explain-none", "edge-1.log", EDGE_ONE);
    let output = support::expect(1, &["explain", "nobody", &one]);
    assert!(
        output.err.contains("no line names attempt nobody"),
        "{output:?}"
    );
    let output = support::expect(2, &["explain", "555a", "no-such-file.log"]);
    assert!(
        output.err.contains("no-such-file.log can not be read"),
        "{output:?}"
    );
    support::expect(2, &["explain"]);
}
