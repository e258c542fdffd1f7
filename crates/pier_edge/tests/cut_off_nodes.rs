//! A node whose links to all targets are cut draws no wrong conclusions about targets and requests.

mod support;

use std::time;

use support::{
    CutLink, FakePlatform, GROUP_MODEL, KEY, LinkMode, RawAnswer, RawCaller, Script,
    ScriptedTarget, TestNode, document, group_member,
};

/// Groups that all run the same request when the links are cut.
const GROUPS: usize = 4;

/// Time after which all requests have begun to be answered.
const START_TIME: time::Duration = time::Duration::from_millis(300);

/// How long the links are cut.
const CUT_TIME: time::Duration = time::Duration::from_millis(700);

fn request(attempt: usize) -> String {
    format!(
        "POST /talk/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a{attempt}\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\ncontent-length: 6\r\n\r\nprompt"
    )
}

async fn ask(callers: std::net::SocketAddr, attempt: usize) -> RawAnswer {
    let mut caller = RawCaller::connect(callers).await;
    caller.send(&request(attempt)).await;
    caller.answer().await
}

/// Guards against innocent requests that are held back since a node whose links are cut takes its
/// targets for crashed.
#[tokio::test]
async fn targets_behind_a_cut_link_do_not_count_as_crashed() {
    let mut entries = Vec::new();
    let mut targets = Vec::new();
    for number in 0..GROUPS {
        let script = Script::Events {
            last: 40,
            pause_ms: 20,
            cut_in: None,
            silent_from: None,
        };
        let target = ScriptedTarget::start(script).await;
        for rank in 0..2 {
            entries.push(group_member(&format!("g{number}"), rank, target.address));
        }
        targets.push(target);
    }
    let node = TestNode::start(entries).await;
    let callers = node.callers;
    let running = (0..GROUPS * 6).map(|attempt| tokio::spawn(ask(callers, attempt)));
    let running: Vec<_> = running.collect();
    tokio::time::sleep(START_TIME).await;
    assert!(targets.iter().all(|target| !target.requests().is_empty()));
    for target in &targets {
        target.set_cut(true);
    }
    tokio::time::sleep(CUT_TIME).await;
    for target in &targets {
        target.set_cut(false);
    }
    for answer in running {
        let answer = answer.await.unwrap();
        assert_eq!(answer.status(), 200, "{}", answer.body);
        assert!(answer.is_complete, "{}", answer.body);
    }
    node.settle().await;
    let answer = ask(callers, 99).await;
    assert_eq!(answer.status(), 200, "{}", answer.body);
    assert!(answer.is_complete);
}

/// Guards against refusals at a node that opens no new connection to any target, while streams on
/// open ones go on and other nodes reach the targets.
#[tokio::test]
async fn requests_are_passed_on_when_no_target_that_is_left_was_reached() {
    let platform = FakePlatform::default();
    let mut cut = platform.clone();
    let mut links = Vec::new();
    for number in 0..2 {
        let script = Script::Events {
            last: 10,
            pause_ms: 20,
            cut_in: None,
            silent_from: None,
        };
        let target = ScriptedTarget::start(script).await;
        let link = CutLink::start(target.address);
        for rank in 0..2 {
            let group = format!("g{number}");
            platform.put_target(group_member(&group, rank, target.address));
            cut = cut.with_link(&format!("{group}-{rank}"), link.address);
        }
        links.push(link);
    }
    platform.put_document(document());
    let first = TestNode::start_on(cut, "n1").await;
    let second = TestNode::start_on(platform, "n2").await;
    first.settle().await;
    second.settle().await;
    // Open connections, one of which succeeds while the others are refused.
    let _opened = ask(first.callers, 0).await;
    for link in &links {
        link.set_mode(LinkMode::RefuseNew).await;
    }
    let mut running = Vec::new();
    for attempt in 1..40 {
        running.push(tokio::spawn(ask(first.callers, attempt)));
        tokio::time::sleep(time::Duration::from_millis(25)).await;
    }
    let mut refused = 0;
    for answer in running {
        refused += usize::from(answer.await.unwrap().status() != 200);
    }
    assert_eq!(
        refused, 0,
        "all requests of 40 could be served by the other node"
    );
}
