//! A request that crashes its targets is kept from the others, at every node; innocent requests are
//! not.

mod support;

use std::time;

use support::{
    CRASH_MARKER, CrashStyle, CrashingTarget, FakePlatform, GROUP_MODEL, KEY, RawAnswer, RawCaller,
    Script, ScriptedTarget, TestNode, plain_entry,
};

/// Sends that a crashing request may reach in all: three that crash their targets, and three more.
const MAX_SENDS: usize = 6;

/// How long the caller of a crashing request sends it again and again.
const RESEND_TIME: time::Duration = time::Duration::from_secs(4);

/// Time between two of its sends.
const RESEND_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How long the port of a crashed target outlives its connections.
const LATE_LISTENER_DELAY: time::Duration = time::Duration::from_millis(20);

/// Time for which a port stays open, so that every check of a crashed target succeeds.
const OPEN_PORT_TIME: time::Duration = time::Duration::from_secs(1);

/// Time in which a node is ready after the store serves it again.
const READY_TIME: time::Duration = time::Duration::from_secs(5);

const EVENTS: u32 = 12;

fn request(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn ask(node: &TestNode, path: &str, body: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request(path, body)).await;
    caller.answer().await
}

async fn plain_targets(platform: &FakePlatform, count: usize) -> Vec<CrashingTarget> {
    styled_targets(platform, count, CrashStyle::default()).await
}

async fn styled_targets(
    platform: &FakePlatform,
    count: usize,
    style: CrashStyle,
) -> Vec<CrashingTarget> {
    let mut targets = Vec::new();
    for number in 0..count {
        let entry = plain_entry(&format!("t{number}"), "127.0.0.1:9".parse().unwrap());
        let script = Script::Whole("done");
        let starting = CrashingTarget::start_styled(entry, platform.clone(), script, style);
        targets.push(starting.await);
    }
    targets
}

async fn group_targets(platform: &FakePlatform, count: usize) -> Vec<CrashingTarget> {
    let script = Script::Events {
        last: EVENTS,
        pause_ms: 20,
        cut_in: None,
        silent_from: None,
    };
    CrashingTarget::start_groups(platform, count, script, CrashStyle::default()).await
}

fn sends_of(targets: &[CrashingTarget], marker: &str) -> usize {
    let requests = targets.iter().flat_map(CrashingTarget::requests);
    requests.filter(|request| request.contains(marker)).count()
}

/// Sends a crashing request to the nodes in turn for a while; returns the last answer.
async fn resend_crashing(nodes: &[TestNode], path: &str) -> RawAnswer {
    let end = time::Instant::now() + RESEND_TIME;
    for node in nodes.iter().cycle() {
        let answer = ask(node, path, CRASH_MARKER).await;
        if time::Instant::now() >= end {
            return answer;
        }
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
    unreachable!("there is at least one node");
}

fn assert_refused(answer: &RawAnswer) {
    assert_eq!(answer.status(), 503);
    let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 60.0, "{wait}");
}

/// Guards against a request that goes on crashing targets because each node counts crashes alone.
#[tokio::test]
async fn a_crashing_request_reaches_few_targets_however_often_it_is_sent() {
    let platform = FakePlatform::default();
    let targets = plain_targets(&platform, 8).await;
    let nodes = TestNode::start_fleet(3, platform, Vec::new()).await;
    let last = resend_crashing(&nodes, "/read/x").await;
    let sends = sends_of(&targets, CRASH_MARKER);
    assert!((3..=MAX_SENDS).contains(&sends), "{sends} targets crashed");
    assert_refused(&last);
    assert_eq!(ask(&nodes[1], "/read/x", "innocent").await.status(), 200);
}

/// Guards against crashes that go unnoticed because the VM starts again under another name, and
/// its port closes a moment after its connections.
#[tokio::test]
async fn crashes_of_targets_that_come_back_under_another_name_count() {
    let platform = FakePlatform::default();
    let style = CrashStyle {
        is_renamed: true,
        listener_delay: LATE_LISTENER_DELAY,
        ..CrashStyle::default()
    };
    let targets = styled_targets(&platform, 8, style).await;
    let nodes = TestNode::start_fleet(3, platform, Vec::new()).await;
    resend_crashing(&nodes, "/post/x").await;
    let sends = sends_of(&targets, CRASH_MARKER);
    assert!((3..=MAX_SENDS).contains(&sends), "{sends} targets crashed");
    assert_eq!(ask(&nodes[1], "/read/x", "innocent").await.status(), 200);
}

/// Guards against crashes that only the next registration shows, since every check of the target
/// still finds its port open.
#[tokio::test]
async fn crashes_that_only_a_new_name_shows_hold_a_request_back() {
    let platform = FakePlatform::default();
    let style = CrashStyle {
        is_renamed: true,
        listener_delay: OPEN_PORT_TIME,
        ..CrashStyle::default()
    };
    let targets = styled_targets(&platform, 8, style).await;
    let nodes = TestNode::start_fleet(1, platform, Vec::new()).await;
    resend_crashing(&nodes, "/post/x").await;
    // Longer than the port stays open and the target is down.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = sends_of(&targets, CRASH_MARKER);
    assert_refused(&ask(&nodes[0], "/post/x", CRASH_MARKER).await);
    assert_eq!(sends_of(&targets, CRASH_MARKER), before);
}

/// Guards against a one-time request that crashes targets each time its caller sends it anew.
#[tokio::test]
async fn a_crashing_one_time_request_reaches_few_targets() {
    let platform = FakePlatform::default();
    let targets = plain_targets(&platform, 8).await;
    let nodes = TestNode::start_fleet(3, platform, Vec::new()).await;
    let last = resend_crashing(&nodes, "/post/x").await;
    let sends = sends_of(&targets, CRASH_MARKER);
    assert!((3..=MAX_SENDS).contains(&sends), "{sends} targets crashed");
    assert_refused(&last);
}

/// Guards against a stream that crashes group after group, and against quarantine of the streams
/// that ran beside it.
#[tokio::test]
async fn a_crashing_stream_reaches_few_groups_and_others_are_served() {
    let platform = FakePlatform::default();
    let targets = group_targets(&platform, 8).await;
    let nodes = TestNode::start_fleet(3, platform, Vec::new()).await;
    let others = (0..12).map(|number| {
        let address = nodes[number % nodes.len()].callers;
        tokio::spawn(async move {
            let body = format!("innocent {number}");
            let mut statuses = Vec::new();
            for _ in 0..6 {
                let mut caller = RawCaller::connect(address).await;
                caller.send(&request("/talk/x", &body)).await;
                let answer = caller.answer().await;
                statuses.push((answer.status(), answer.is_complete));
                let wait = answer
                    .header("retry-after")
                    .map(|wait| wait.parse().unwrap());
                let wait = time::Duration::from_secs_f64(wait.unwrap_or_default());
                assert!(wait <= time::Duration::from_secs(1), "{wait:?}");
                tokio::time::sleep(wait + RESEND_INTERVAL).await;
            }
            statuses
        })
    });
    let others: Vec<_> = others.collect();
    let last = resend_crashing(&nodes, "/talk/x").await;
    let sends = sends_of(&targets, CRASH_MARKER);
    assert!((3..=MAX_SENDS).contains(&sends), "{sends} groups crashed");
    assert_refused(&last);
    for other in others {
        let statuses = other.await.unwrap();
        assert_eq!(statuses.last(), Some(&(200, true)), "{statuses:?}");
    }
}

/// Guards against quarantine of an innocent request that was on three targets which were lost for
/// other reasons.
#[tokio::test]
async fn an_innocent_request_that_ran_on_three_lost_targets_is_served() {
    let platform = FakePlatform::default();
    let targets = plain_targets(&platform, 6).await;
    let nodes = TestNode::start_fleet(2, platform, Vec::new()).await;
    let address = nodes[0].callers;
    for lost in 1..=3 {
        let mut caller = RawCaller::connect(address).await;
        caller.send(&request("/post/x", "innocent")).await;
        let started = time::Instant::now();
        while sends_of(&targets, "innocent") < lost {
            assert!(started.elapsed() < RESEND_TIME, "the request was not sent");
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        let ran = |target: &&CrashingTarget| {
            let count = target.requests().len();
            count > usize::try_from(target.crashes()).unwrap()
        };
        targets.iter().find(ran).unwrap().crash();
        assert_eq!(caller.answer().await.status(), 502);
        // A request that lost several targets may come back after a second.
        tokio::time::sleep(time::Duration::from_millis(1_100)).await;
    }
    for node in &nodes {
        assert_eq!(ask(node, "/post/x", "innocent").await.status(), 200);
    }
}

/// Guards against quarantine of requests whose targets lose answers but live on.
#[tokio::test]
async fn a_request_whose_answers_are_lost_is_never_held_back() {
    let platform = FakePlatform::default();
    let mut entries = Vec::new();
    for number in 0..4 {
        let target = ScriptedTarget::start(Script::Close).await;
        entries.push(plain_entry(&format!("t{number}"), target.address));
    }
    let nodes = TestNode::start_fleet(2, platform, entries).await;
    for number in 0..12 {
        let answer = ask(&nodes[number % nodes.len()], "/post/x", "innocent").await;
        assert_eq!(answer.status(), 502);
    }
}

/// Guards against quarantine of requests that ran on targets which left after their notice.
#[tokio::test]
async fn the_end_of_leaving_targets_holds_no_request_back() {
    let platform = FakePlatform::default();
    let targets = plain_targets(&platform, 6).await;
    let nodes = TestNode::start_fleet(1, platform.clone(), Vec::new()).await;
    for target in &targets[..4] {
        // Only this target is left, and it says that it leaves while it runs the request.
        for other in targets.iter().filter(|other| other.vm() != target.vm()) {
            platform.remove_target(other.vm());
        }
        target.register();
        nodes[0].settle().await;
        let mut caller = RawCaller::connect(nodes[0].callers).await;
        caller.send(&request("/post/x", "innocent")).await;
        let started = time::Instant::now();
        while target.requests().is_empty() {
            assert!(started.elapsed() < RESEND_TIME, "the request was not sent");
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        target.announce_leaving();
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        target.crash();
        assert_eq!(caller.answer().await.status(), 502);
        // Until the target has started again, and registered.
        nodes[0].settle().await;
    }
    targets[5].register();
    nodes[0].settle().await;
    assert_eq!(ask(&nodes[0], "/post/x", "innocent").await.status(), 200);
}

/// Guards against nodes that know of crashes only through datagrams: a node that reaches no other
/// node, but the store, would go on sending the request.
#[tokio::test]
async fn nodes_that_only_reach_the_store_keep_a_crashing_request_away() {
    let platform = FakePlatform::default();
    platform.hide_nodes();
    let targets = plain_targets(&platform, 10).await;
    let nodes = TestNode::start_fleet(3, platform, Vec::new()).await;
    let last = resend_crashing(&nodes, "/post/x").await;
    let sends = sends_of(&targets, CRASH_MARKER);
    assert!((3..=MAX_SENDS).contains(&sends), "{sends} targets crashed");
    assert_refused(&last);
}

/// Guards against a restart that forgets which requests are in quarantine.
#[tokio::test]
async fn a_node_that_starts_later_keeps_a_crashing_request_away() {
    let platform = FakePlatform::default();
    platform.hide_nodes();
    let targets = plain_targets(&platform, 8).await;
    let nodes = TestNode::start_fleet(1, platform.clone(), Vec::new()).await;
    resend_crashing(&nodes, "/post/x").await;
    let before = sends_of(&targets, CRASH_MARKER);
    let started = TestNode::start_on(platform, "n9").await;
    started.settle().await;
    assert_refused(&ask(&started, "/post/x", CRASH_MARKER).await);
    assert_eq!(sends_of(&targets, CRASH_MARKER), before);
}

/// Guards against a node that is ready before it knows which requests are held back.
#[tokio::test]
async fn a_node_that_has_not_read_the_record_of_crashes_is_not_ready() {
    let platform = FakePlatform::default();
    let nodes = TestNode::start_fleet(1, platform.clone(), Vec::new()).await;
    assert_eq!(readiness(&nodes[0]).await, 200);
    platform.refuse_nodes(true);
    let started = TestNode::start_on(platform.clone(), "n9").await;
    started.settle().await;
    assert_eq!(readiness(&started).await, 503);
    platform.refuse_nodes(false);
    let end = time::Instant::now() + READY_TIME;
    while readiness(&started).await != 200 {
        assert!(time::Instant::now() < end, "the node is not ready");
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
}

async fn readiness(node: &TestNode) -> u16 {
    let mut caller = RawCaller::connect(node.readiness).await;
    caller
        .send("GET /readyz HTTP/1.1\r\nhost: a.example\r\n\r\n")
        .await;
    caller.answer().await.status()
}
