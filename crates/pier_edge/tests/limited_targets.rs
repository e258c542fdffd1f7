//! Targets that state how many requests a second they take from all nodes together.

mod support;

use std::time;

use support::{
    FakePlatform, GROUP_MODEL, KEY, RawAnswer, RawCaller, Script, ScriptedTarget, TestNode,
    group_member, plain_entry,
};

/// The stated rate, in requests a second.
const RATE: usize = 4;

/// The header line that states it.
const RATE_LINE: &str = "x-limit: 4000\r\n";

/// Length of the windows in which requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);

/// Time from a target's first statement until its rate has to be kept.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(3);

/// Interval between two samples of the requests that a target got.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time within which a refusal counts as one at once.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(300);

/// The part of the requests a second that has to reach a limited target which is in demand.
const MIN_USE: f64 = 0.4;

/// Nodes with a limited target, and perhaps one that takes what the other does not.
struct LimitBench {
    nodes: Vec<TestNode>,
    limited: ScriptedTarget,
    free: Option<ScriptedTarget>,
    path: &'static str,
}

impl LimitBench {
    /// Starts nodes with one plain target.
    async fn start_plain(nodes: usize) -> Self {
        let limited = ScriptedTarget::start(Script::Whole("done")).await;
        let entries = vec![plain_entry("t0", limited.address)];
        Self {
            nodes: TestNode::start_fleet(nodes, FakePlatform::default(), entries).await,
            limited,
            free: None,
            path: "/read/x",
        }
    }

    /// Starts nodes with two groups whose first members answer with streams.
    async fn start_groups(nodes: usize) -> Self {
        let events = Script::Events {
            last: 3,
            pause_ms: 1,
            cut_in: None,
            silent_from: None,
        };
        let limited = ScriptedTarget::start(events.clone()).await;
        let free = ScriptedTarget::start(events).await;
        let mut entries = Vec::new();
        for (group, target) in [("g0", &limited), ("g1", &free)] {
            entries.push(group_member(group, 0, target.address));
            entries.push(group_member(group, 1, target.address));
        }
        Self {
            nodes: TestNode::start_fleet(nodes, FakePlatform::default(), entries).await,
            limited,
            free: Some(free),
            path: "/talk/x",
        }
    }

    /// Sends requests at all nodes for a time, of which none fails while a target is free. Returns how
    /// many the limited target had got at each sample.
    async fn press(&self, duration: time::Duration) -> Vec<usize> {
        let end = time::Instant::now() + duration;
        let mut callers = Vec::new();
        for node in &self.nodes {
            let (address, path, has_free) = (node.callers, self.path, self.free.is_some());
            callers.push(tokio::spawn(async move {
                while time::Instant::now() < end {
                    let status = ask(address, path).await.status();
                    assert!(status == 200 || (status == 503 && !has_free), "{status}");
                    tokio::time::sleep(time::Duration::from_millis(8)).await;
                }
            }));
        }
        let mut samples = Vec::new();
        while time::Instant::now() < end {
            samples.push(self.limited.requests().len());
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        for caller in callers {
            caller.await.unwrap();
        }
        samples
    }

    /// Presses until after the notice time, and checks the windows from then on.
    async fn assert_rate_kept(&self) {
        self.press(NOTICE_TIME).await;
        let samples = self.press(WINDOW * 2).await;
        let length = usize::try_from(WINDOW.as_millis() / SAMPLE_INTERVAL.as_millis()).unwrap();
        let windows = samples.windows(length);
        let most = windows.map(|window| window[length - 1] - window[0]).max();
        let allowed = RATE * 4 * 3 / 2 + 5;
        assert!(
            most.unwrap() <= allowed,
            "{most:?} requests, {allowed} allowed"
        );
        let total = samples[samples.len() - 1] - samples[0];
        let used = total as f64 / (RATE as f64 * 2.0 * WINDOW.as_secs_f64());
        assert!(used > MIN_USE, "{used} of the rate was used");
    }
}

async fn ask(address: std::net::SocketAddr, path: &str) -> RawAnswer {
    let mut caller = RawCaller::connect(address).await;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: {KEY}\r\n\
         x-model: {GROUP_MODEL}\r\nx-timeout-ms: 3000\r\n\r\n"
    );
    caller.send(&request).await;
    caller.answer().await
}

/// Guards against nodes of which each keeps a rate by itself, or none at all.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_the_rate_of_a_plain_target() {
    let bench = LimitBench::start_plain(3).await;
    bench.limited.set_headers(RATE_LINE);
    bench.assert_rate_kept().await;
}

/// Guards against streams that do not count against the rate of a group's first member.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_the_rate_of_a_group() {
    let bench = LimitBench::start_groups(3).await;
    bench.limited.set_headers(RATE_LINE);
    bench.assert_rate_kept().await;
}

/// Guards against a rate that outlives the target's need, at nodes that send it nothing meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_states_no_rate_any_more_is_used_again_by_all_nodes() {
    let bench = LimitBench::start_plain(3).await;
    bench.limited.set_headers(RATE_LINE);
    bench.press(NOTICE_TIME).await;
    for node in &bench.nodes {
        assert_eq!(node.metric("limited_targets").await, 1);
    }
    bench.limited.set_headers("");
    bench.press(NOTICE_TIME).await;
    for node in &bench.nodes {
        assert_eq!(node.metric("limited_targets").await, 0);
        let before = bench.limited.requests().len();
        for _ in 0..24 {
            assert_eq!(ask(node.callers, bench.path).await.status(), 200);
        }
        assert!(bench.limited.requests().len() > before);
    }
}

/// Guards against callers that wait at a target whose rate is used up, or come back too soon.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_all_targets_are_at_their_rate() {
    for bench in [
        LimitBench::start_plain(1).await,
        LimitBench::start_groups(1).await,
    ] {
        // One request every ten seconds.
        for target in bench.free.iter().chain([&bench.limited]) {
            target.set_headers("x-limit: 100\r\n");
        }
        for _ in 0..24 {
            ask(bench.nodes[0].callers, bench.path).await;
        }
        let started = time::Instant::now();
        let answer = ask(bench.nodes[0].callers, bench.path).await;
        assert_eq!(answer.status(), 503);
        assert!(started.elapsed() < REFUSAL_TIME);
        let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 1.0, "{retry_after} s until the next request");
    }
}
