//! An answer that is broken off is never passed on as a complete one, whatever marks the end of
//! its body; an answer whose end is marked by its connection alone is passed on when it is sound.

mod support;

use std::time;

use support::{
    CRASH_AFTER_MARKER, CrashStyle, CrashingTarget, FakePlatform, GROUP_MODEL, KEY, RawAnswer,
    RawCaller, Script, ScriptedTarget, TestNode, group_member, node_with, plain_entry,
};
use tokio::{io::AsyncReadExt as _, net::TcpStream};

const EVENTS: u32 = 12;

/// Greatest number of requests sent until a certain one of two groups has been chosen. The choice
/// is random, so that it is practically impossible that all of them miss it.
const TRIES: u32 = 40;

/// How much later than its last byte a sound answer may reach its caller.
const DELIVERY_TIME: time::Duration = time::Duration::from_millis(150);

/// Requests that are sent one after another to count connections.
const REQUESTS: u32 = 100;

/// How long the caller of a crashing request sends it again and again.
const RESEND_TIME: time::Duration = time::Duration::from_secs(4);

const STREAM_HEADERS: &str = "content-type: text/event-stream\r\n";

fn request_in(version: &str, path: &str, body: &str) -> String {
    format!(
        "POST {path} {version}\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 5000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn ask(node: &TestNode, path: &str, body: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request_in("HTTP/1.1", path, body)).await;
    caller.answer().await
}

/// Returns the events up to a certain one with the given line end.
fn events_to(last: u32, line_end: &str) -> String {
    let event = |id| format!("id: {id}{line_end}data: part {id}{line_end}{line_end}");
    (1..=last).map(event).collect()
}

fn whole_stream() -> Script {
    Script::Events {
        last: EVENTS,
        pause_ms: 1,
        cut_in: None,
        silent_from: None,
    }
}

fn until_close(body: String) -> Script {
    Script::UntilClose {
        headers: STREAM_HEADERS,
        body,
    }
}

/// Returns a chunked body that ends properly.
fn chunked(body: &str) -> Script {
    Script::UntilClose {
        headers: "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        body: format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
    }
}

/// Starts a node with a group whose first member can crash, and a second group that streams every
/// event.
async fn node_with_crashing_group(script: Script) -> (TestNode, CrashingTarget, ScriptedTarget) {
    let platform = FakePlatform::default();
    let entry = group_member("g0", 0, support::free_address());
    platform.put_target(group_member("g0", 1, entry.address));
    let crashing = CrashingTarget::start(entry, platform.clone(), script).await;
    let sound = ScriptedTarget::start(whole_stream()).await;
    let entries = vec![
        group_member("g1", 0, sound.address),
        group_member("g1", 1, sound.address),
    ];
    let mut nodes = TestNode::start_fleet(1, platform, entries).await;
    (nodes.remove(0), crashing, sound)
}

/// Asks for streams until the first target has broken one off; each must arrive whole, as LF
/// events.
async fn assert_resumed(node: &TestNode, broken: &ScriptedTarget) {
    for _ in 0..TRIES {
        let answer = ask(node, "/talk/x", "prompt").await;
        assert!(answer.is_complete);
        assert_eq!(answer.body.replace('\r', ""), events_to(EVENTS, "\n"));
        if !broken.requests().is_empty() {
            return;
        }
    }
    panic!("the broken group was never chosen");
}

/// Guards against a stream without framing that ends inside an event and is passed on as complete.
#[tokio::test]
async fn a_stream_without_framing_that_ends_inside_an_event_is_resumed() {
    for line_end in ["\n", "\r\n", "\r"] {
        let whole = events_to(4, line_end);
        for cut in [
            "id: 5",
            "id: 5\ndata: par",
            "id: 5\r\ndata: part 5\r\n",
            "data",
        ] {
            let script = until_close(format!("{whole}{cut}"));
            let (node, targets) = node_with([script, whole_stream()]).await;
            for _ in 0..TRIES {
                let answer = ask(&node, "/talk/x", "prompt").await;
                assert!(answer.is_complete);
                let body = answer.body.replace("\r\n", "\n").replace('\r', "\n");
                assert_eq!(body, events_to(EVENTS, "\n"), "{line_end:?} {cut:?}");
                if !targets[0].requests().is_empty() {
                    break;
                }
            }
            let resumed = targets[1].requests();
            let is_resumed = |request: &String| request.contains("x-after: 4");
            assert!(resumed.iter().any(is_resumed), "{line_end:?} {cut:?}");
        }
    }
}

/// Guards against a framed stream that ends inside an event and is passed on as complete.
#[tokio::test]
async fn a_chunked_stream_that_ends_inside_an_event_is_resumed() {
    let script = chunked(&format!("{}id: 5\ndata: par", events_to(4, "\n")));
    let (node, targets) = node_with([script, whole_stream()]).await;
    assert_resumed(&node, &targets[0]).await;
}

/// Guards against a stream without framing that ends before its first event and is passed on as
/// complete.
#[tokio::test]
async fn a_stream_without_framing_that_ends_before_its_first_event_is_resumed() {
    let (node, targets) = node_with([until_close(String::new()), whole_stream()]).await;
    assert_resumed(&node, &targets[0]).await;
}

/// Guards against a one-time stream that is broken off inside an event and looks complete to its
/// caller.
#[tokio::test]
async fn a_one_time_stream_that_ends_inside_an_event_ends_without_a_proper_end_of_the_body() {
    let broken = format!("{}id: 5\ndata: par", events_to(4, "\n"));
    for script in [until_close(broken.clone()), chunked(&broken)] {
        let (node, targets) = node_with([script.clone(), script]).await;
        let answer = ask(&node, "/once/x", "prompt").await;
        assert_eq!(answer.status(), 200);
        assert!(!answer.is_complete);
        assert_eq!(answer.body, events_to(4, "\n"));
        assert_eq!(targets[0].requests().len() + targets[1].requests().len(), 1);
    }
}

/// Guards against a stream that its target's crash ends between two events and that is passed on
/// as complete.
#[tokio::test]
async fn a_stream_without_framing_that_a_crash_ends_between_events_is_resumed() {
    let script = until_close(events_to(4, "\n"));
    let (node, crashing, sound) = node_with_crashing_group(script).await;
    for _ in 0..TRIES {
        let answer = ask(&node, "/talk/x", CRASH_AFTER_MARKER).await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, events_to(EVENTS, "\n"));
        if crashing.crashes() > 0 {
            break;
        }
    }
    assert!(crashing.crashes() > 0, "the group was never chosen");
    let resumed = sound.requests();
    assert!(resumed.iter().any(|text| text.contains("x-after: 4")));
}

/// Guards against a one-time stream that a crash ends between two events and that looks complete
/// to its caller.
#[tokio::test]
async fn a_one_time_stream_that_a_crash_ends_between_events_ends_without_a_proper_end() {
    let script = until_close(events_to(4, "\n"));
    let (node, crashing, _sound) = node_with_crashing_group(script).await;
    for _ in 0..TRIES {
        let answer = ask(&node, "/once/x", CRASH_AFTER_MARKER).await;
        if crashing.crashes() > 0 {
            assert_eq!(answer.status(), 200);
            assert!(!answer.is_complete);
            return;
        }
    }
    panic!("the group was never chosen");
}

/// Guards against rejecting or delaying sound streams whose only end is that of the connection.
#[tokio::test]
async fn a_sound_stream_without_framing_is_passed_on_whole_and_at_once() {
    for line_end in ["\n", "\r\n", "\r"] {
        let comment = format!(": done{line_end}");
        for body in [
            events_to(EVENTS, line_end),
            events_to(EVENTS, line_end) + &comment,
        ] {
            let script = until_close(body.clone());
            let (node, targets) = node_with([script.clone(), script]).await;
            for path in ["/talk/x", "/once/x"] {
                let started = time::Instant::now();
                let answer = ask(&node, path, "prompt").await;
                assert!(answer.is_complete, "{line_end:?}");
                assert_eq!(answer.body, body);
                assert!(started.elapsed() < DELIVERY_TIME);
            }
            assert_eq!(targets[0].requests().len() + targets[1].requests().len(), 2);
        }
    }
}

/// Guards against cutting a sound answer of another type to a request for a stream.
#[tokio::test]
async fn an_answer_that_is_no_stream_of_events_is_passed_on_whole() {
    let script = Script::UntilClose {
        headers: "content-type: application/json\r\n",
        body: "{\"done\": true}".to_owned(),
    };
    let (node, _targets) = node_with([script.clone(), script]).await;
    let answer = ask(&node, "/once/x", "prompt").await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, "{\"done\": true}");
}

/// Guards against an answer of another type that a crash ends and that looks complete.
#[tokio::test]
async fn an_answer_that_is_no_stream_of_events_and_that_a_crash_ends_is_cut() {
    let script = Script::UntilClose {
        headers: "content-type: application/json\r\n",
        body: "{\"done\": ".to_owned(),
    };
    let (node, crashing, _sound) = node_with_crashing_group(script).await;
    for _ in 0..TRIES {
        let answer = ask(&node, "/once/x", CRASH_AFTER_MARKER).await;
        if crashing.crashes() > 0 {
            assert!(!answer.is_complete);
            return;
        }
    }
    panic!("the group was never chosen");
}

/// Guards against events that wait for the next one because their line ends are not recognised.
#[tokio::test]
async fn events_are_passed_on_as_they_arrive_whatever_their_line_ends() {
    for line_end in ["\n", "\r\n", "\r"] {
        let (node, _targets) = node_with([silent_after(line_end), silent_after(line_end)]).await;
        let mut stream = TcpStream::connect(node.callers).await.unwrap();
        let text = request_in("HTTP/1.1", "/once/x", "prompt");
        tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes())
            .await
            .unwrap();
        let mut read = Vec::new();
        let reading = async {
            while !String::from_utf8_lossy(&read).contains("part 3") {
                assert!(stream.read_buf(&mut read).await.unwrap() > 0);
            }
        };
        let in_time = tokio::time::timeout(DELIVERY_TIME, reading).await;
        assert!(in_time.is_ok(), "{line_end:?}");
    }
}

/// Returns a script that keeps the connection open after three events.
fn silent_after(line_end: &str) -> Script {
    Script::Stalled {
        headers: STREAM_HEADERS,
        body: events_to(3, line_end),
    }
}

/// Guards against an answer without framing that is passed on as complete though its target
/// crashed.
#[tokio::test]
async fn a_one_time_answer_without_framing_that_a_crash_ends_is_502() {
    let platform = FakePlatform::default();
    let script = Script::UntilClose {
        headers: "",
        body: "half of it".to_owned(),
    };
    let entry = plain_entry("vm-1", support::free_address());
    let target = CrashingTarget::start(entry, platform.clone(), script).await;
    let nodes = TestNode::start_fleet(1, platform, Vec::new()).await;
    let answer = ask(&nodes[0], "/post/x", CRASH_AFTER_MARKER).await;
    assert_eq!((answer.status(), target.crashes()), (502, 1));
}

/// Guards against an answer that a crash ends and that is not asked for again where that is safe.
#[tokio::test]
async fn an_idempotent_request_whose_answer_a_crash_ends_is_sent_to_another_target() {
    let platform = FakePlatform::default();
    let script = Script::UntilClose {
        headers: "",
        body: "half of it".to_owned(),
    };
    let entry = plain_entry("vm-1", support::free_address());
    let crashing = CrashingTarget::start(entry, platform.clone(), script).await;
    let entry = plain_entry("vm-2", support::free_address());
    let script = Script::Whole("all of it");
    let _sound = CrashingTarget::start(entry, platform.clone(), script).await;
    let nodes = TestNode::start_fleet(1, platform, Vec::new()).await;
    for _ in 0..TRIES {
        let answer = ask(&nodes[0], "/read/x", CRASH_AFTER_MARKER).await;
        assert_eq!((answer.status(), answer.body.as_str()), (200, "all of it"));
        if crashing.crashes() > 0 {
            return;
        }
    }
    panic!("the crashing target was never chosen");
}

/// Guards against rejecting or delaying sound answers whose only end is that of the connection.
#[tokio::test]
async fn a_sound_answer_without_framing_is_passed_on_whole_and_at_once() {
    let script = Script::UntilClose {
        headers: "",
        body: "all of it".to_owned(),
    };
    let target = ScriptedTarget::start(script).await;
    let node = TestNode::start(vec![plain_entry("vm-1", target.address)]).await;
    for path in ["/read/x", "/post/x", "/read/y"] {
        let started = time::Instant::now();
        let answer = ask(&node, path, "prompt").await;
        assert_eq!((answer.status(), answer.body.as_str()), (200, "all of it"));
        assert!(started.elapsed() < DELIVERY_TIME);
    }
    assert_eq!(target.requests().len(), 3);
}

/// Guards against a check of each answer without framing that opens connections for nothing.
#[tokio::test]
async fn answers_without_framing_take_one_connection_each() {
    let script = Script::UntilClose {
        headers: "",
        body: "all of it".to_owned(),
    };
    let target = ScriptedTarget::start(script).await;
    let node = TestNode::start(vec![plain_entry("vm-1", target.address)]).await;
    for _ in 0..REQUESTS {
        assert_eq!(ask(&node, "/read/x", "prompt").await.status(), 200);
    }
    assert_eq!(target.requests().len(), REQUESTS as usize);
    assert!(target.accepted() <= REQUESTS + 1, "{}", target.accepted());
}

/// Guards against a request that crashes its targets in the middle of their streams and is taken
/// for one that completed.
#[tokio::test]
async fn a_request_whose_streams_crashes_end_is_held_back() {
    let platform = FakePlatform::default();
    let mut targets = Vec::new();
    for number in 0..8 {
        let group = format!("g{number}");
        let entry = group_member(&group, 0, support::free_address());
        platform.put_target(group_member(&group, 1, entry.address));
        let script = until_close(format!("{}id: 5\ndata", events_to(4, "\n")));
        targets.push(CrashingTarget::start(entry, platform.clone(), script).await);
    }
    let nodes = TestNode::start_fleet(1, platform, Vec::new()).await;
    let end = time::Instant::now() + RESEND_TIME;
    while time::Instant::now() < end {
        let answer = ask(&nodes[0], "/once/x", CRASH_AFTER_MARKER).await;
        assert!(answer.status() == 503 || !answer.is_complete);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let crashes: u32 = targets.iter().map(CrashingTarget::crashes).sum();
    assert!((3..=6).contains(&crashes), "{crashes} targets crashed");
}

/// Guards against a broken stream that looks complete to a caller without chunks.
#[tokio::test]
async fn a_broken_stream_is_reset_for_a_caller_of_http_1_0() {
    let script = until_close(format!("{}id: 5\ndata: par", events_to(4, "\n")));
    let (node, _targets) = node_with([script.clone(), script]).await;
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    let text = request_in("HTTP/1.0", "/once/x", "prompt");
    tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes())
        .await
        .unwrap();
    let mut read = Vec::new();
    let end = stream.read_to_end(&mut read).await;
    assert!(read.starts_with(b"HTTP/1.0 200"));
    assert!(end.is_err(), "{:?}", String::from_utf8_lossy(&read));
}

/// How long the port of a process that ends is open longer than its connections.
const LATE_PORT: time::Duration = time::Duration::from_millis(60);

/// When a target that answers after 80 ms announces its leaving.
const NOTICE_DELAY: time::Duration = time::Duration::from_millis(30);

/// Starts a node with one target that answers without framing.
async fn node_with_lone_target(style: CrashStyle) -> (TestNode, CrashingTarget) {
    let platform = FakePlatform::default();
    let script = Script::UntilClose {
        headers: "",
        body: "half of it".to_owned(),
    };
    let entry = plain_entry("vm-1", support::free_address());
    let target = CrashingTarget::start_styled(entry, platform.clone(), script, style).await;
    let mut nodes = TestNode::start_fleet(1, platform, Vec::new()).await;
    (nodes.remove(0), target)
}

/// Guards against a part of an answer that passes as the whole one because the port of the process
/// that ends is still open.
#[tokio::test]
async fn an_answer_without_framing_is_not_whole_while_only_the_port_is_open() {
    let style = CrashStyle {
        listener_delay: LATE_PORT,
        ..CrashStyle::default()
    };
    let (node, target) = node_with_lone_target(style).await;
    let answer = ask(&node, "/post/x", CRASH_AFTER_MARKER).await;
    assert_eq!((answer.status(), target.crashes()), (502, 1));
}

/// Guards against a part of an answer that passes as the whole one because its target is leaving.
#[tokio::test]
async fn an_answer_without_framing_that_the_end_of_a_leaving_target_ends_is_502() {
    let (node, target) = node_with_lone_target(CrashStyle::default()).await;
    let notice = async {
        tokio::time::sleep(NOTICE_DELAY).await;
        target.announce_leaving();
    };
    let (answer, ()) = tokio::join!(ask(&node, "/post/x", CRASH_AFTER_MARKER), notice);
    assert_eq!((answer.status(), target.crashes()), (502, 1));
}

/// Guards against cutting the sound answer of a leaving target.
#[tokio::test]
async fn a_sound_answer_without_framing_of_a_leaving_target_is_passed_on() {
    let (node, target) = node_with_lone_target(CrashStyle::default()).await;
    let notice = async {
        tokio::time::sleep(NOTICE_DELAY).await;
        target.announce_leaving();
    };
    let (answer, ()) = tokio::join!(ask(&node, "/post/x", "prompt"), notice);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "half of it"));
}
