//! A node's request path with fake targets and a fake platform on loopback ports.

use std::{net, sync, time};

use pier_config::documents;
use pier_control::health;
use pier_fakes::{engine, platform, service};
use pier_node::{callers, handle, requests, settings, telemetry};
use pier_types::{epochs, ids, reports, routes, sizes, times::clocks};
use serde_json::Value;
use tokio::task;

/// Bearer key of the customer that may repeat completions.
pub const LARGE_KEY: &str = "sample-key-facturacion";

/// Bearer key of the customer that may not repeat them.
pub const SMALL_KEY: &str = "sample-key-inquilinos";

/// The sample configuration.
pub const SAMPLE: &str = include_str!("../../../../examples/tarifas.ini");

/// Requests that the node may have in flight at each target.
const SHARE: u32 = 8;

/// The request path of one node, without the daemon around it.
pub struct TestNode {
    /// The handle of the node.
    pub handle: handle::NodeHandle,
    publisher: sync::Mutex<Option<task::JoinHandle<()>>>,
}

/// The answer to a caller.
#[derive(Debug)]
pub struct TestAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The complete body.
    pub text: String,
    /// The retry-after hint in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl TestAnswer {
    /// Returns the number of the result code, or 0 if there is none.
    pub fn code(&self) -> u64 {
        self.error()["code"].as_u64().unwrap_or(0)
    }

    /// Returns the outcome in the error body.
    pub fn outcome(&self) -> String {
        self.error()["outcome"].as_str().unwrap_or("").to_owned()
    }

    /// Returns the receipt of a plain service.
    pub fn receipt(&self) -> u64 {
        let body: Value = serde_json::from_str(&self.text).unwrap();
        body["receipt"].as_u64().unwrap()
    }

    /// Returns the positions of the streamed tokens.
    pub fn indexes(&self) -> Vec<u64> {
        let events = self.text.split("\n\n");
        let data = events.filter_map(|event| event.strip_prefix("data: "));
        let tokens = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        tokens.filter_map(|token| token["index"].as_u64()).collect()
    }

    fn error(&self) -> Value {
        let last = self.text.trim_end().rsplit("data: ").next().unwrap();
        let body: Value = serde_json::from_str(last).unwrap_or_default();
        body["error"].clone()
    }
}

impl TestNode {
    /// Creates a node that uses a platform.
    pub fn launch(platform: net::SocketAddr) -> Self {
        Self::with_sample(platform, SAMPLE)
    }

    /// Creates a node with another configuration.
    pub fn with_sample(platform: net::SocketAddr, sample: &str) -> Self {
        let text = format!(
            "[node]\ndata-centre = mvd-a\nregion = mvd\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             peer-key = 0123456789abcdef0123456789abcdef\n[platform]\nurl = http://{platform}\n"
        );
        let settings = settings::NodeSettings::parse(&text).unwrap();
        let traces = telemetry::TraceSink::open(None).unwrap();
        let client = requests::target_client::pooled().unwrap();
        let name = "node-1".parse().unwrap();
        let handle = handle::NodeHandle::new(name, settings, client, traces).unwrap();
        requests::spawn(&handle);
        handle.publish_config(handle::ConfigSnapshot {
            version: epochs::ConfigVersion::new(1),
            document: sample.parse::<documents::ConfigDocument>().unwrap(),
            text: sample.to_owned(),
        });
        Self {
            handle,
            publisher: sync::Mutex::default(),
        }
    }

    /// Publishes the targets repeatedly, so that the table stays fresh, until others are published.
    pub fn publish(&self, targets: Vec<routes::RouteTarget>) {
        if let Some(previous) = self.publisher.lock().unwrap().take() {
            previous.abort();
        }
        self.publish_once(&targets);
        let handle = self.handle.clone();
        let publisher = tokio::spawn(async move {
            loop {
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                handle.publish_routes(table_of(&targets));
            }
        });
        *self.publisher.lock().unwrap() = Some(publisher);
    }

    /// Publishes the targets once.
    pub fn publish_once(&self, targets: &[routes::RouteTarget]) {
        let evidence = targets.iter().map(evidence_of);
        self.handle.publish_evidence(evidence.collect());
        self.handle.publish_routes(table_of(targets));
    }

    /// Sends a request and reads the complete answer.
    pub async fn send(&self, request: callers::CallerRequest) -> TestAnswer {
        let path = requests::RequestPath::new(self.handle.clone());
        let reply = path.serve(request).await;
        let mut bytes = Vec::new();
        match reply.body {
            callers::ReplyBody::Buffered(body) => bytes.extend_from_slice(&body),
            callers::ReplyBody::Stream(mut parts) => {
                while let Some(part) = parts.recv().await {
                    bytes.extend_from_slice(&part);
                }
            }
        }
        TestAnswer {
            status: reply.status,
            text: String::from_utf8(bytes).unwrap(),
            retry_after_ms: reply.retry_after_ms,
        }
    }

    /// Waits until the node knows of at least `count` crashes.
    pub async fn wait_for_crashes(&self, count: usize) {
        wait_until(|| self.handle.requests().crash_delta(100).marks.len() >= count).await;
    }

    /// Waits until the node knows where a prefix is cached.
    pub async fn wait_for_prefix(&self) {
        wait_until(|| self.handle.requests().prefix_count() > 0).await;
    }

    /// Waits until no request is in progress, so that every outcome is recorded.
    pub async fn wait_until_idle(&self) {
        wait_until(|| self.handle.requests_in_progress() == 0).await;
    }
}

/// Polls a condition until it holds; panics after 2,000 polls, about 10 s.
async fn wait_until(holds: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    panic!("the condition did not hold in time");
}

/// Returns the table of the targets; those named `ledger` serve the service, others the model.
pub fn table_of(targets: &[routes::RouteTarget]) -> routes::RouteTable {
    let mut table = routes::RouteTable::default();
    for target in targets {
        let pool = if target.target.to_string().starts_with("vm:ledger") {
            routes::PoolKey::Service("libro".parse().unwrap())
        } else {
            routes::PoolKey::Model("redactor".parse().unwrap())
        };
        let mut target = target.clone();
        target.load.probed_at = clocks::boot_now();
        let targets = table.pools.entry(pool).or_default();
        targets.push(sync::Arc::new(target));
    }
    table
}

/// Returns the evidence of a target that has not restarted.
fn evidence_of(target: &routes::RouteTarget) -> (ids::VmName, health::VmEvidence) {
    let ids::TargetId::Vm(vm) = &target.target else {
        panic!("not a VM");
    };
    let report = reports::EngineReport {
        vm: vm.clone(),
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::default(),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::default(),
        queued: sizes::RequestCount::default(),
        is_leaving: false,
    };
    let probed_at = clocks::boot_now();
    (vm.clone(), health::VmEvidence { report, probed_at })
}

/// Returns a target with a share.
pub fn target(name: &str, address: net::SocketAddr) -> routes::RouteTarget {
    routes::RouteTarget {
        target: ids::TargetId::Vm(name.parse().unwrap()),
        address,
        data_centre: "mvd-a".parse().unwrap(),
        generation: epochs::GroupGeneration::default(),
        share: sizes::RequestCount::new(SHARE),
        load: routes::TargetLoad::default(),
    }
}

/// Starts a platform.
pub async fn launch_platform() -> platform::FakePlatform {
    platform::FakePlatform::builder().launch().await.unwrap()
}

/// Starts an engine that has the model loaded.
pub async fn launch_engine(name: &str) -> engine::FakeEngine {
    let settings = engine::EngineSettings::new(name.parse().unwrap());
    let builder = engine::FakeEngine::builder(settings).preload("redactor".parse().unwrap());
    builder.launch().await.unwrap()
}

/// Starts a ledger service.
pub async fn launch_ledger(name: &str) -> service::FakeService {
    let builder = service::FakeService::builder(name.parse().unwrap());
    builder.launch().await.unwrap()
}

/// Returns a request.
pub fn request(key: &str, method: &str, path: &str, body: &str) -> callers::CallerRequest {
    callers::CallerRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: String::new(),
        headers: [("authorization".to_owned(), format!("Bearer {key}"))].into(),
        body: bytes::Bytes::copy_from_slice(body.as_bytes()),
        arrived_at: clocks::boot_now(),
        hops: 0,
    }
}

/// Returns a completion request.
pub fn completion(key: &str, prompt: &str, stream: bool) -> callers::CallerRequest {
    let body = serde_json::json!({
        "model": "redactor", "prompt": prompt, "stream": stream, "max_tokens": 12,
    });
    request(key, "POST", "/v1/completions", &body.to_string())
}

/// Returns a request for a charge with an idempotency key issued now.
pub fn charge(unique: &str) -> callers::CallerRequest {
    let issued = clocks::wall_now();
    let mut charge = request(
        LARGE_KEY,
        "POST",
        "/services/libro/charges",
        "{\"cabinet\":7}",
    );
    let key = format!("{issued}-{unique}");
    charge.headers.insert("idempotency-key".to_owned(), key);
    charge
}
