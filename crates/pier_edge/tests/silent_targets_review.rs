//! Silent targets beside other faults: sound answers that are given up, and sends that nobody needs.

mod support;

use std::{net, time};

use pier_fleet::{documents, formation, targets};
use support::{
    FakePlatform, GROUP_MODEL, KEY, RawAnswer, RawCaller, Script, ScriptedTarget, TestNode,
    document, group_member, plain_entry, route,
};
use tokio::task;

const EVENTS: u32 = 30;

/// How long a sound target is silent.
const SILENCE: time::Duration = time::Duration::from_millis(1_300);

/// Time after which a request has begun to be answered.
const START_TIME: time::Duration = time::Duration::from_millis(200);

const fn events() -> Script {
    Script::Events {
        last: EVENTS,
        pause_ms: 20,
        cut_in: None,
        silent_from: None,
    }
}

/// Returns the complete stream that the caller should receive.
fn all_events() -> String {
    let events = (1..=EVENTS).map(|id| format!("id: {id}\ndata: part {id}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// Starts a node with routes that allow more sends, and with this burst of retries.
async fn start(burst: u32, entries: Vec<targets::TargetEntry>) -> TestNode {
    let platform = FakePlatform::default();
    let node = TestNode::start_with_burst(platform, "n1", burst).await;
    for entry in entries {
        node.platform.put_target(entry);
    }
    let resumable = documents::RepeatRule::ResumableStream;
    let idempotent = documents::RepeatRule::Idempotent;
    let document = document()
        .with_route("a.example", route("/long/", resumable, "engines", 4))
        .with_route("a.example", route("/reads/", idempotent, "plain", 3));
    node.platform.put_document(document);
    node.settle().await;
    node
}

/// Starts a target and returns the registrations of a group of two there. A group of the node's own
/// data centre is chosen before others.
async fn group(
    name: &str,
    data_centre: &str,
    script: Script,
) -> (ScriptedTarget, Vec<targets::TargetEntry>) {
    let target = ScriptedTarget::start(script).await;
    let entries = (0..2).map(|rank| {
        let mut entry = group_member(name, rank, target.address);
        entry.data_centre = data_centre.parse().unwrap();
        entry
    });
    let entries = entries.collect();
    (target, entries)
}

/// Starts a node with these groups, the first one in its own data centre.
async fn start_groups<const N: usize>(
    burst: u32,
    scripts: [Script; N],
) -> (TestNode, Vec<ScriptedTarget>) {
    let mut targets = Vec::new();
    let mut entries = Vec::new();
    for (number, script) in scripts.into_iter().enumerate() {
        let data_centre = if number == 0 { "dc-a" } else { "dc-b" };
        let (target, members) = group(&format!("g{number}"), data_centre, script).await;
        targets.push(target);
        entries.extend(members);
    }
    (start(burst, entries).await, targets)
}

/// Returns the number of requests that targets were sent.
fn count_requests(targets: &[ScriptedTarget]) -> usize {
    targets.iter().map(|target| target.requests().len()).sum()
}

fn ask(callers: net::SocketAddr, path: &str, timeout_ms: u64) -> task::JoinHandle<RawAnswer> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: {timeout_ms}\r\ncontent-length: 6\r\n\r\nprompt"
    );
    tokio::spawn(async move {
        let mut caller = RawCaller::connect(callers).await;
        caller.send(&request).await;
        caller.answer().await
    })
}

fn assert_complete(answer: &RawAnswer) {
    assert_eq!(answer.status(), 200, "{}", answer.body);
    assert_eq!(answer.body, all_events());
    assert!(answer.is_complete);
}

/// Returns the orders that end or replace a group.
fn ends(node: &TestNode) -> Vec<formation::GroupOrder> {
    let mut orders = node.platform.orders();
    orders.retain(|order| order.kind != formation::OrderKind::Open);
    orders
}

/// Guards against a group that is dissolved since its first member is silent for a while.
#[tokio::test]
async fn a_group_outlasts_the_silence_of_its_first_member() {
    let (node, targets) = start_groups(100, [events()]).await;
    let answers: Vec<_> = (0..6)
        .map(|_| ask(node.callers, "/once/x", 6_000))
        .collect();
    tokio::time::sleep(START_TIME).await;
    targets[0].fall_silent(SILENCE);
    node.platform.silence_vm("g0-0", SILENCE);
    // A group that can take the place of the first one.
    let (_other, members) = group("g1", "dc-a", events()).await;
    for member in members {
        node.platform.put_target(member);
    }
    for answer in answers {
        assert_complete(&answer.await.unwrap());
    }
    assert_eq!(ends(&node), []);
}

/// Guards against a group that is formed again, with its streams, after its silence.
#[tokio::test]
async fn the_only_group_is_not_formed_again_after_its_silence() {
    let (node, targets) = start_groups(100, [events()]).await;
    let answer = ask(node.callers, "/once/x", 6_000);
    tokio::time::sleep(START_TIME).await;
    targets[0].fall_silent(SILENCE);
    node.platform.silence_vm("g0-0", SILENCE);
    assert_complete(&answer.await.unwrap());
    // The steward asks a lost member again after 1.5 s.
    tokio::time::sleep(SILENCE).await;
    assert_eq!(ends(&node), []);
}

/// Guards against a stream that is lost since the sound target that was to take it on is left when
/// it is silent as well.
#[tokio::test]
async fn a_stream_keeps_the_second_target_that_is_silent_for_a_while() {
    let broken = Script::Breaks {
        events: 5,
        silent_ms: 10_000,
    };
    let (node, targets) = start_groups(100, [broken, events()]).await;
    targets[1].fall_silent(SILENCE + START_TIME);
    let answer = ask(node.callers, "/long/x", 2_500).await.unwrap();
    assert!(count_requests(&targets[1..]) > 0);
    assert_complete(&answer);
}

/// Guards against a send to a sound target that is given up when the silent one breaks off.
#[tokio::test]
async fn a_stream_keeps_the_target_that_was_asked_when_the_silent_one_breaks_off() {
    let broken = Script::Breaks {
        events: 5,
        silent_ms: 900,
    };
    let (node, targets) = start_groups(100, [broken, events()]).await;
    targets[1].fall_silent(SILENCE);
    let answer = ask(node.callers, "/talk/x", 6_000).await.unwrap();
    assert_eq!(count_requests(&targets[1..]), 1);
    assert_complete(&answer);
}

/// Guards against another target's failure that is forwarded although the silent one would answer.
#[tokio::test]
async fn a_failure_of_another_target_does_not_end_the_answer_of_a_silent_one() {
    let (node, targets) = start_groups(100, [events(), Script::Failure]).await;
    targets[0].fall_silent(SILENCE);
    let answer = ask(node.callers, "/talk/x", 6_000).await.unwrap();
    assert_eq!(count_requests(&targets[1..]), 1);
    assert_complete(&answer);
}

/// Guards against a stream that gets no answer at all when another target fails as well.
#[tokio::test]
async fn a_failure_is_forwarded_when_no_target_has_a_better_answer() {
    let scripts = [Script::Silent, Script::Failure];
    let (node, _targets) = start_groups(100, scripts).await;
    let answer = ask(node.callers, "/talk/x", 2_000).await.unwrap();
    assert_eq!(answer.status(), 500);
}

/// Guards against a send to a third target while the second one works as it should.
#[tokio::test]
async fn the_end_of_a_silent_send_brings_no_further_one_while_another_is_open() {
    // Its head alone is no whole answer.
    let broken = Script::Breaks {
        events: 0,
        silent_ms: 500,
    };
    let first = ScriptedTarget::start(broken).await;
    let mut entries = vec![plain_entry("t0", first.address)];
    let mut others = Vec::new();
    for vm in ["t1", "t2"] {
        let target = ScriptedTarget::start(Script::Whole("done")).await;
        let mut entry = plain_entry(vm, target.address);
        entry.data_centre = "dc-b".parse().unwrap();
        entries.push(entry);
        others.push(target);
    }
    let node = start(100, entries).await;
    for target in &others {
        target.fall_silent(time::Duration::from_millis(620));
    }
    let answer = ask(node.callers, "/reads/x", 6_000).await.unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "done"));
    assert_eq!((first.requests().len(), count_requests(&others)), (1, 1));
}

/// Guards against sends that take nothing from the retry budget.
#[tokio::test]
async fn each_further_send_of_a_stream_takes_from_the_retry_budget() {
    let broken = |events, silent_ms| Script::Breaks { events, silent_ms };
    let scripts = [broken(5, 10_000), broken(0, 50), broken(0, 50)];
    // With one request, a burst of two allows one repeat.
    let (node, targets) = start_groups(2, scripts).await;
    let _cut = ask(node.callers, "/long/x", 1_800).await.unwrap();
    assert_eq!(count_requests(&targets[1..]), 1);
}

/// Guards against a request that waits for a silent target to its deadline, since the retry budget
/// was empty for a moment.
#[tokio::test]
async fn a_request_looks_again_when_the_retry_budget_has_room() {
    let silent = ScriptedTarget::start(Script::Silent).await;
    let sound = ScriptedTarget::start(Script::Whole("done")).await;
    let mut remote = plain_entry("t1", sound.address);
    remote.data_centre = "dc-b".parse().unwrap();
    let node = start(0, vec![plain_entry("t0", silent.address), remote]).await;
    let answer = ask(node.callers, "/reads/x", 3_000);
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    // Ten more requests allow a second repeat: a fifth of all, of which three quarters are used.
    for _ in 0..10 {
        let other = ask(node.callers, "/post/x", 3_000).await.unwrap();
        assert_eq!(other.status(), 200);
    }
    let answer = answer.await.unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "done"));
}

/// Guards against targets that work on for a caller that left while several of them were asked.
#[tokio::test]
async fn a_caller_that_leaves_ends_all_open_sends() {
    for path in ["/reads/x", "/talk/x"] {
        let mut entries = Vec::new();
        let mut targets = Vec::new();
        for number in 0..2 {
            let (target, members) = group(&format!("g{number}"), "dc-a", Script::Silent).await;
            entries.push(plain_entry(&format!("t{number}"), target.address));
            entries.extend(members);
            targets.push(target);
        }
        let node = start(100, entries).await;
        let mut caller = RawCaller::connect(node.callers).await;
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
             x-model: {GROUP_MODEL}\r\nx-timeout-ms: 6000\r\ncontent-length: 6\r\n\r\nprompt"
        );
        caller.send(&request).await;
        tokio::time::sleep(SILENCE).await;
        assert_eq!(count_requests(&targets), 2, "{path}");
        drop(caller);
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        let closed: u32 = targets.iter().map(ScriptedTarget::closed).sum();
        assert_eq!(closed, 2, "{path}");
    }
}

/// Guards against requests that end later than their deadline since several targets are silent.
#[tokio::test]
async fn a_request_to_silent_targets_ends_at_its_deadline() {
    // A request that may run once is 502 when it may have run.
    for (path, status) in [
        ("/reads/x", 504),
        ("/talk/x", 504),
        ("/post/x", 502),
        ("/once/x", 502),
    ] {
        let mut entries = Vec::new();
        for number in 0..2 {
            let (target, members) = group(&format!("g{number}"), "dc-a", Script::Silent).await;
            entries.push(plain_entry(&format!("t{number}"), target.address));
            entries.extend(members);
        }
        let node = start(100, entries).await;
        let asked_at = time::Instant::now();
        let answer = ask(node.callers, path, 1_500).await.unwrap();
        let taken = asked_at.elapsed().as_millis();
        assert_eq!(answer.status(), status, "{path}");
        assert!((1_400..1_650).contains(&taken), "{path}: {taken} ms");
    }
}

/// Guards against a target that is taken for stuck since a caller does not read.
#[tokio::test]
async fn a_caller_that_does_not_read_does_not_make_its_target_stuck() {
    let script = Script::Endless {
        start: "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\ncontent-type: text/event-stream\r\n\r\n",
        piece: "data: some part of an answer that is long\n\n",
    };
    let (node, _targets) = start_groups(100, [script]).await;
    let request = |path: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
             x-model: {GROUP_MODEL}\r\ncontent-length: 6\r\n\r\nprompt"
        )
    };
    let mut slow = RawCaller::connect(node.callers).await;
    slow.send(&request("/once/x")).await;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let mut other = RawCaller::connect(node.callers).await;
    other.send(&request("/once/y")).await;
    let head = other.head().await;
    assert!(head.contains(" 200 "), "{head}");
}
