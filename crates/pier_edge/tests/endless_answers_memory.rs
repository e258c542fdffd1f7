//! Answers without end at the same time stay within the node's memory. A file of its own, since the
//! peak of memory is that of the whole process.

mod support;

use std::{fs, time};

use support::{
    GROUP_MODEL, KEY, RawCaller, Script, ScriptedTarget, TestNode, group_member, plain_entry,
};

/// Requests with answers without end that run at the same time.
const ENDLESS_REQUESTS: usize = 60;

/// Targets that answer without end.
const TARGETS: usize = 15;

/// The memory that the node's settings allow it, in KiB.
const NODE_MEMORY_KIB: u64 = 200 << 10;

/// Time in which a short answer comes beside the others.
const ANSWER_TIME: time::Duration = time::Duration::from_secs(2);

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 6000\r\ncontent-length: 6\r\n\r\nprompt"
    )
}

/// Returns the greatest memory that the process has used, in KiB.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against answers without end that take the memory or the time of other requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_answers_without_end_leave_others_unharmed() {
    let script = Script::Endless {
        start: "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\n\r\n",
        piece: "aaaaaaaa",
    };
    let sound = ScriptedTarget::start(Script::Whole("ok")).await;
    let mut entries = vec![
        group_member("g0", 0, sound.address),
        group_member("g0", 1, sound.address),
    ];
    for number in 0..TARGETS {
        let target = ScriptedTarget::start(script.clone()).await;
        entries.push(plain_entry(&format!("vm-{number}"), target.address));
    }
    let node = TestNode::start(entries).await;
    let address = node.callers;
    let endless: Vec<_> = (0..ENDLESS_REQUESTS)
        .map(|_| {
            tokio::spawn(async move {
                let mut caller = RawCaller::connect(address).await;
                caller.send(&request("/post/x")).await;
                caller.answer().await.status()
            })
        })
        .collect();
    for _ in 0..20 {
        let started = time::Instant::now();
        let mut caller = RawCaller::connect(node.callers).await;
        caller.send(&request("/once/x")).await;
        assert_eq!(caller.answer().await.status(), 200);
        assert!(started.elapsed() < ANSWER_TIME);
    }
    for request in endless {
        assert!([502, 503].contains(&request.await.unwrap()));
    }
    let peak = peak_memory();
    assert!(peak < NODE_MEMORY_KIB, "{peak} KiB");
}
