//! A part of a prompt that crashes targets is kept from them, whatever else a request holds; sound
//! requests that share its other parts are served.

mod support;

use std::time;

use support::{
    CRASH_PART, CrashStyle, CrashingTarget, FakePlatform, GROUP_MODEL, KEY, RawAnswer, RawCaller,
    Script, TestNode, plain_entry,
};

/// Crashes after which nodes must begin to keep a part from targets.
const MAX_CRASHES: usize = 5;

/// Time that nodes may take for that.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);

/// Sends that may follow all the same.
const MAX_LATE_SENDS: usize = 3;

/// How long callers send requests.
const SEND_TIME: time::Duration = time::Duration::from_secs(9);

/// Time between two requests of a caller.
const SEND_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Parts of sound requests and of those that crash targets: that of the route and the customer's.
const SHARED_PARTS: &str = "1001,2002";

/// Sound requests of which the share that is served can be judged.
const MIN_SOUND: usize = 20;

fn request(number: usize, parts: &str) -> String {
    let body = format!("body {number}");
    format!(
        "POST /talk/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a{number}\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\nx-parts: {parts},{number:x}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn ask(node: &TestNode, number: usize, parts: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    caller.send(&request(number, parts)).await;
    caller.answer().await
}

/// Sends a request that may run only once to a plain target.
async fn ask_plain(node: &TestNode, number: usize, parts: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(node.callers).await;
    let text = request(number, parts).replace("/talk/x", "/post/x");
    caller.send(&text).await;
    caller.answer().await
}

/// Crashes the first target that receives a request.
async fn crash_running(targets: &[CrashingTarget]) {
    let count = |target: &CrashingTarget| target.requests().len();
    let before: Vec<_> = targets.iter().map(count).collect();
    loop {
        let running = targets.iter().zip(&before);
        let mut running = running.filter(|(target, before)| count(target) > **before);
        if let Some((target, _before)) = running.next() {
            target.crash();
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}

async fn group_targets(
    platform: &FakePlatform,
    count: usize,
    style: CrashStyle,
) -> Vec<CrashingTarget> {
    let script = Script::Events {
        last: 4,
        pause_ms: 5,
        cut_in: None,
        silent_from: None,
    };
    CrashingTarget::start_groups(platform, count, script, style).await
}

/// Returns when each request with the crashing part reached a target, in order.
fn crash_times(targets: &[CrashingTarget]) -> Vec<time::Instant> {
    let arrivals = targets.iter().flat_map(CrashingTarget::arrivals);
    let crashing = arrivals.filter(|(_arrived_at, request)| request.contains(CRASH_PART));
    let mut times: Vec<_> = crashing.map(|(arrived_at, _request)| arrived_at).collect();
    times.sort();
    times
}

/// Asserts that few requests with the part were sent too long after the fifth crash.
fn assert_kept_away(targets: &[CrashingTarget]) {
    let times = crash_times(targets);
    assert!(times.len() >= 3, "{} targets crashed", times.len());
    let Some(fifth) = times.get(MAX_CRASHES - 1) else {
        return;
    };
    let late = times.iter().filter(|at| **at > *fifth + CONTACT_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATE_SENDS,
        "{late} of {} sends came too late",
        times.len()
    );
}

/// Sends a crashing and a sound request in turn, each unlike the others, to the nodes in turn.
///
/// Returns the statuses of the sound requests of the last part of the time, which lasts up to twice
/// as long on a machine that is busy with other work.
async fn send_in_turn(nodes: &[TestNode], crashing_parts: &str) -> Vec<u16> {
    let started = time::Instant::now();
    let mut sound = Vec::new();
    for (number, node) in (0x10_0001..).step_by(3).zip(nodes.iter().cycle()) {
        let elapsed = started.elapsed();
        let is_sample = sound.len() >= MIN_SOUND || elapsed > 2 * SEND_TIME;
        if elapsed > SEND_TIME && is_sample {
            break;
        }
        ask(node, number, crashing_parts).await;
        let answer = ask(node, number + 1, SHARED_PARTS).await;
        if elapsed > SEND_TIME / 2 {
            sound.push(answer.status());
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    sound
}

fn assert_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(
        statuses.len() >= MIN_SOUND && served * 2 >= statuses.len(),
        "{served} of {} sound requests were served",
        statuses.len()
    );
}

async fn play(crashing_parts: &str, style: CrashStyle, hides_nodes: bool) {
    let platform = FakePlatform::default();
    if hides_nodes {
        platform.hide_nodes();
    }
    let targets = group_targets(&platform, 10, style).await;
    let nodes = TestNode::start_fleet(3, platform, Vec::new()).await;
    let sound = send_in_turn(&nodes, crashing_parts).await;
    assert_kept_away(&targets);
    assert_served(&sound);
    let refused = ask(&nodes[0], 1, crashing_parts).await;
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
}

/// Guards against a part that crashes group after group, since no two requests with it are alike.
#[tokio::test]
async fn a_crashing_part_reaches_few_groups_and_sound_requests_are_served() {
    let parts = format!("1001,{CRASH_PART},2002");
    play(&parts, CrashStyle::default(), false).await;
}

/// Guards against a verdict that depends on the position of the part.
#[tokio::test]
async fn a_crashing_first_part_reaches_few_groups() {
    let parts = format!("{CRASH_PART},1001,2002");
    play(&parts, CrashStyle::default(), false).await;
}

/// Guards against crashes that look like the end of an answer without framing.
#[tokio::test]
async fn a_part_that_crashes_at_the_first_event_reaches_few_groups() {
    let parts = format!("1001,2002,{CRASH_PART}");
    let style = CrashStyle {
        sends_event: true,
        ..CrashStyle::default()
    };
    play(&parts, style, false).await;
}

/// Guards against a short answer, complete before its target crashes, that clears the part.
#[tokio::test]
async fn a_part_whose_short_answers_are_complete_reaches_few_groups() {
    let parts = format!("1001,{CRASH_PART},2002");
    let style = CrashStyle {
        answers_odd: true,
        ..CrashStyle::default()
    };
    play(&parts, style, false).await;
}

/// Guards against nodes that learn of crashes by part from datagrams alone.
#[tokio::test]
async fn nodes_that_only_reach_the_store_keep_a_crashing_part_away() {
    let parts = format!("1001,{CRASH_PART},2002");
    play(&parts, CrashStyle::default(), true).await;
}

/// Guards against a restart that forgets which parts are in quarantine.
#[tokio::test]
async fn a_node_that_starts_later_keeps_a_crashing_part_away() {
    let platform = FakePlatform::default();
    platform.hide_nodes();
    let targets = group_targets(&platform, 10, CrashStyle::default()).await;
    let nodes = TestNode::start_fleet(1, platform.clone(), Vec::new()).await;
    let parts = format!("1001,{CRASH_PART},2002");
    for number in 0..40 {
        ask(&nodes[0], 0x9000 + number, &parts).await;
        ask(&nodes[0], 0xa000 + number, SHARED_PARTS).await;
    }
    let before = crash_times(&targets).len();
    let started = TestNode::start_on(platform, "n9").await;
    started.settle().await;
    assert_eq!(ask(&started, 0xb000, &parts).await.status(), 503);
    assert_eq!(ask(&started, 0xb001, SHARED_PARTS).await.status(), 200);
    assert_eq!(crash_times(&targets).len(), before);
}

/// Guards against a restarted node that holds back parts which completed requests have cleared.
#[tokio::test]
async fn a_node_that_starts_later_does_not_hold_cleared_parts() {
    let platform = FakePlatform::default();
    platform.hide_nodes();
    let mut targets = Vec::new();
    for number in 0..8 {
        let entry = plain_entry(&format!("t{number}"), "127.0.0.1:9".parse().unwrap());
        let script = Script::Whole("done");
        targets.push(CrashingTarget::start(entry, platform.clone(), script).await);
    }
    let node = TestNode::start_on(platform.clone(), "n1").await;
    platform.put_document(support::document());
    node.settle().await;
    for number in 0..4 {
        let sending = ask_plain(&node, number, "7001,7002");
        let (answer, ()) = tokio::join!(sending, crash_running(&targets));
        assert_eq!(answer.status(), 502);
    }
    assert_eq!(ask_plain(&node, 10, "7001,7002").await.status(), 503);
    // Each of the parts completes without the other one, so neither crashes targets.
    let (first, second) = tokio::join!(ask_plain(&node, 11, "7001"), ask_plain(&node, 12, "7002"));
    assert_eq!((first.status(), second.status()), (200, 200));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(ask_plain(&node, 13, "7001,7002").await.status(), 200);
    let started = TestNode::start_on(platform, "n2").await;
    started.settle().await;
    assert_eq!(ask_plain(&started, 14, "7001,7002").await.status(), 200);
}

/// Guards against quarantine of the parts of sound requests on targets that are lost for other
/// reasons.
#[tokio::test]
async fn losses_for_other_reasons_hold_no_sound_part_back() {
    let platform = FakePlatform::default();
    let targets = group_targets(&platform, 8, CrashStyle::default()).await;
    let nodes = TestNode::start_fleet(2, platform, Vec::new()).await;
    let mut served = 0;
    for (number, node) in (0x5000..0x5040).zip(nodes.iter().cycle()) {
        if number % 5 == 0 {
            targets[number % targets.len()].crash();
        }
        let answer = ask(node, number, SHARED_PARTS).await;
        served += usize::from(answer.status() == 200);
    }
    assert!(served >= 60, "{served} of 64 were served");
}
