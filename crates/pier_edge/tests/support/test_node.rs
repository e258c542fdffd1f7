//! A node that runs in the test's process.

use std::{
    collections, net, path, process,
    sync::{Arc, atomic},
    time,
};

use pier_edge::settings;
use pier_fleet::{documents, targets};
use pier_types::{epochs, ids, sizes};
use tokio::task;

use super::{FakePlatform, RawCaller, Script, ScriptedTarget};

/// A key that the document knows.
pub const KEY: &str = "key-1";

/// The model of the groups.
pub const GROUP_MODEL: &str = "m0";

/// Longest time that a node takes to be ready, on a machine that is busy with other work.
const READY_TIME: time::Duration = time::Duration::from_secs(15);

/// Interval between two looks at whether a node is ready.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// A running node, which ends with the runtime of the test.
pub struct TestNode {
    pub callers: net::SocketAddr,
    pub readiness: net::SocketAddr,
    /// Port for requests that other nodes pass on.
    pub forwards: net::SocketAddr,
    /// Port for other nodes' datagrams.
    pub peers: net::SocketAddr,
    pub metrics: net::SocketAddr,
    pub platform: FakePlatform,
    running: task::JoinHandle<()>,
}

/// Returns an unused address on a loopback IP address of its own, so that no other test or
/// outgoing connection can take the port before it is bound.
pub fn free_address() -> net::SocketAddr {
    static COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let count = COUNT.fetch_add(1, atomic::Ordering::Relaxed) & 0x3ff;
    let number = (process::id() & 0x1fff) << 10 | count;
    let ip = net::Ipv4Addr::from(0x7f80_0000 | number);
    let listener = net::TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

impl TestNode {
    /// Starts a node with an empty store.
    pub async fn start_bare() -> Self {
        Self::start_on(FakePlatform::default(), "n1").await
    }

    /// Starts a node of this name on a platform that other nodes may share.
    pub async fn start_on(platform: FakePlatform, name: &str) -> Self {
        Self::start_with(platform, name, "dc-a", 100, false).await
    }

    /// Starts a node with a document and targets that holds this much of answers, in MiB.
    pub async fn start_with_answers(mebibytes: u32, entries: Vec<targets::TargetEntry>) -> Self {
        let limits = format!("memory_mib = 200\nanswer_budget_mib = {mebibytes}");
        let platform = FakePlatform::default();
        for entry in entries {
            platform.put_target(entry);
        }
        platform.put_document(document());
        let node = Self::start_limited(platform, "n1", "dc-a", 100, false, &limits).await;
        node.settle().await;
        node
    }

    /// Starts a node of this name in a data centre.
    pub async fn start_in(platform: FakePlatform, name: &str, data_centre: &str) -> Self {
        Self::start_with(platform, name, data_centre, 100, false).await
    }

    /// Starts a node of a fleet that starts for the first time.
    pub async fn start_first(platform: FakePlatform, name: &str, data_centre: &str) -> Self {
        Self::start_with(platform, name, data_centre, 100, true).await
    }

    /// Starts a node whose retry budget has this burst.
    pub async fn start_with_burst(platform: FakePlatform, name: &str, burst: u32) -> Self {
        Self::start_with(platform, name, "dc-a", burst, false).await
    }

    async fn start_with(
        platform: FakePlatform,
        name: &str,
        data_centre: &str,
        burst: u32,
        is_first: bool,
    ) -> Self {
        let limits = "memory_mib = 200";
        Self::start_limited(platform, name, data_centre, burst, is_first, limits).await
    }

    async fn start_limited(
        platform: FakePlatform,
        name: &str,
        data_centre: &str,
        burst: u32,
        is_first: bool,
        limits: &str,
    ) -> Self {
        let (callers, readiness) = (free_address(), free_address());
        let (forwards, peers, metrics) = (free_address(), free_address(), free_address());
        let text = format!(
            "[node]\nname = {name}\ndata_centre = {data_centre}\ndata_centres = dc-a,dc-b\n\
             first_start = {is_first}\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\n\
             forwards = {forwards}\nmetrics = {metrics}\n\
             [platform]\nstore = 127.0.0.1:9\n[limits]\n{limits}\n\
             [bounds]\ngrace_seconds = 8\nretry_ratio = 0.2\nretry_burst = {burst}\n\
             retry_window_seconds = 10\n[log]\nlevel = info\n",
        );
        let settings = settings::EdgeSettings::parse(&text).unwrap();
        let running = pier_edge::run(path::Path::new("/nowhere"), settings, platform.clone());
        let running = tokio::spawn(async move { running.await.unwrap() });
        let node = Self {
            callers,
            readiness,
            forwards,
            peers,
            metrics,
            platform,
            running,
        };
        while tokio::net::TcpStream::connect(callers).await.is_err() {
            assert!(!node.has_ended(), "the node did not start");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        node
    }

    /// Starts some nodes on one platform with a document and targets, and waits until they serve and
    /// know each other.
    pub async fn start_fleet(
        count: usize,
        platform: FakePlatform,
        entries: Vec<targets::TargetEntry>,
    ) -> Vec<Self> {
        for entry in entries {
            platform.put_target(entry);
        }
        platform.put_document(document());
        let mut nodes = Vec::new();
        for number in 1..=count {
            nodes.push(Self::start_on(platform.clone(), &format!("n{number}")).await);
        }
        let others = if platform.hides_nodes() { 0 } else { count - 1 };
        for node in &nodes {
            node.wait_until_ready(others).await;
        }
        nodes
    }

    /// Starts a node with a document and targets, and waits until it serves.
    pub async fn start(entries: Vec<targets::TargetEntry>) -> Self {
        let mut nodes = Self::start_fleet(1, FakePlatform::default(), entries).await;
        nodes.remove(0)
    }

    /// Waits until the node says that it is ready, and knows this many other nodes.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than [`READY_TIME`].
    async fn wait_until_ready(&self, others: usize) {
        let started = time::Instant::now();
        while !self.is_ready().await || self.metric("live_nodes").await != others as u64 {
            assert!(started.elapsed() < READY_TIME, "the node is not ready");
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the node says that it is ready: it has read the document and the targets.
    async fn is_ready(&self) -> bool {
        let mut caller = RawCaller::connect(self.readiness).await;
        caller.send("GET /readyz HTTP/1.1\r\nhost: n\r\n\r\n").await;
        caller.answer().await.status() == 200
    }

    /// Returns whether the node has ended.
    pub fn has_ended(&self) -> bool {
        self.running.is_finished()
    }

    /// Returns the sum of a metric over its labels, of which the first may be given.
    pub async fn metric(&self, name: &str) -> u64 {
        let mut caller = RawCaller::connect(self.metrics).await;
        caller
            .send("GET /metrics HTTP/1.1\r\nhost: m\r\n\r\n")
            .await;
        let answer = caller.answer().await;
        let name = format!("buckthornpier_{name}");
        let lines = answer.body.lines().filter(|line| {
            let rest = line.strip_prefix(&name);
            rest.is_some_and(|rest| rest.starts_with([' ', '{', ',', '}']))
        });
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        values.sum()
    }

    /// Waits long enough for the node to apply changes of records.
    pub async fn settle(&self) {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
}

/// Starts a node with two groups, whose first members answer by the given scripts.
pub async fn node_with(scripts: [Script; 2]) -> (TestNode, Vec<ScriptedTarget>) {
    let mut entries = Vec::new();
    let mut targets = Vec::new();
    for (group, script) in ["g0", "g1"].into_iter().zip(scripts) {
        let target = ScriptedTarget::start(script).await;
        entries.push(group_member(group, 0, target.address));
        entries.push(group_member(group, 1, target.address));
        targets.push(target);
    }
    (TestNode::start(entries).await, targets)
}

/// Returns a registration of the plain service.
pub fn plain_entry(vm: &str, address: net::SocketAddr) -> targets::TargetEntry {
    targets::TargetEntry {
        vm: vm.parse().unwrap(),
        service: "plain".parse().unwrap(),
        address,
        data_centre: "dc-a".parse().unwrap(),
        slots: sizes::RequestCount::new(4),
        is_draining: false,
        cold_left: time::Duration::ZERO,
        standing: targets::TargetStanding {
            born: epochs::VmIncarnation::new(1),
            ..targets::TargetStanding::default()
        },
    }
}

/// Returns a registration of a member of a group of two. Rank 0 is the open first member.
pub fn group_member(group: &str, rank: u32, address: net::SocketAddr) -> targets::TargetEntry {
    let mut entry = plain_entry(&format!("{group}-{rank}"), address);
    entry.service = "engines".parse().unwrap();
    entry.standing.domain = Some("d0".parse().unwrap());
    entry.standing.running = Some(GROUP_MODEL.parse().unwrap());
    entry.standing.membership = Some(targets::GroupMembership {
        group: format!("{GROUP_MODEL}-{group}").parse().unwrap(),
        generation: epochs::GroupGeneration::new(7),
        rank,
        phase: if rank == 0 {
            targets::GroupPhase::Open
        } else {
            targets::GroupPhase::Ready
        },
    });
    entry
}

pub fn route(
    prefix: &str,
    repeat: documents::RepeatRule,
    service: &str,
    max_sends: u32,
) -> documents::RouteRule {
    documents::RouteRule {
        name: prefix.to_owned(),
        prefix: prefix.to_owned(),
        repeat,
        timeout: time::Duration::from_secs(6),
        objective: time::Duration::from_millis(400),
        gap_objective: time::Duration::from_millis(250),
        rank: 1,
        split: vec![documents::SplitShare {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        max_sends,
        is_public: false,
    }
}

pub fn document() -> documents::FleetDocument {
    document_at(3)
}

/// Returns the document in this version.
pub fn document_at(version: u64) -> documents::FleetDocument {
    let engine = documents::EngineSpec {
        batch: sizes::RequestCount::new(8),
        kv_cache_size: sizes::TokenCount::new(1_000_000),
        steps_per_pass: 4,
        step_ms: 5.0,
        request_ms: 0.1,
        context_ms: 0.0,
        prefill_tokens_per_ms: 50.0,
        chunk: sizes::TokenCount::new(2_048),
        mean_prompt_tokens: 100.0,
        mean_answer_tokens: 100.0,
        loads_per_second: 1.0,
        loads_at_once: 1,
        open_time: time::Duration::from_millis(100),
        models: vec![documents::ModelSpec {
            name: GROUP_MODEL.parse().unwrap(),
            size: sizes::VmCount::new(2),
            share: 1.0,
            pace: 1.0,
            load_time: time::Duration::from_secs(5),
            warm_time: time::Duration::from_secs(1),
        }],
    };
    let service = |name: &str, engine: Option<documents::EngineSpec>| documents::ServiceSpec {
        name: name.parse().unwrap(),
        connections: 64,
        cold_time: time::Duration::ZERO,
        cold_per_second: 0.0,
        engine: engine.map(Arc::new),
        slots: None,
    };
    let grant = documents::CustomerGrant {
        customer: "college".parse::<ids::CustomerName>().unwrap(),
        rank: Some(0),
    };
    let keys = collections::BTreeMap::from([(KEY.to_owned(), grant)]);
    documents::FleetDocument::new(epochs::ConfigVersion::new(version))
        .with_service(service("plain", None))
        .with_service(service("engines", Some(engine)))
        .with_route(
            "a.example",
            route("/read/", documents::RepeatRule::Idempotent, "plain", 2),
        )
        .with_route(
            "a.example",
            route("/post/", documents::RepeatRule::OneTime, "plain", 1),
        )
        .with_route(
            "a.example",
            route(
                "/talk/",
                documents::RepeatRule::ResumableStream,
                "engines",
                2,
            ),
        )
        .with_route(
            "a.example",
            route("/once/", documents::RepeatRule::OneTimeStream, "engines", 2),
        )
        .with_keys(keys)
}
