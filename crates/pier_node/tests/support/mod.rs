//! One node in this process that serves one engine and one plain service.

#![allow(dead_code, reason = "each file of tests uses another part")]

use std::{net, time};

use pier_config::documents;
use pier_fakes::{engine, fault, platform, record, service};
use pier_node::{daemon, settings};
use pier_types::{epochs, routes, sizes, vms};
use serde_json::json;

/// Bearer key of a customer whose completions may be repeated.
pub const REPEAT_KEY: &str = "key-of-a-customer-that-repeats";

/// Bearer key of a customer that lets nothing be repeated.
pub const ONCE_KEY: &str = "key-of-a-customer-that-does-not";

/// Requests that the engine and the service bear while cold.
pub const COLD_LIMIT: u32 = 8;

/// Requests that they bear while warm.
pub const WARM_LIMIT: u32 = 48;

/// Tokens of a stream that outlasts its test.
const HELD_TOKENS: u64 = 10_000;

/// Longest wait for a condition; reached only when something is broken.
const WAIT_LIMIT: time::Duration = time::Duration::from_mins(1);

/// Time between two looks at a condition.
const WAIT_STEP: time::Duration = time::Duration::from_millis(10);

/// The node and what it needs.
pub struct ServingNode {
    /// The platform.
    pub platform: platform::FakePlatform,
    /// The engine, a group of one.
    pub engine: engine::FakeEngine,
    /// The VM of the plain service.
    pub service: service::FakeService,
    /// The node.
    pub node: daemon::NodeDaemon,
    /// A client that does nothing by itself.
    pub client: reqwest::Client,
}

impl ServingNode {
    /// Starts everything with more lines of settings, and waits until the node routes to both.
    pub async fn start(more_settings: &str) -> Self {
        let platform = platform::FakePlatform::builder().launch().await.unwrap();
        let mut engine_settings = engine::EngineSettings::new("engine-1".parse().unwrap());
        engine_settings.cold_limit = sizes::RequestCount::new(COLD_LIMIT);
        engine_settings.warm_after = sizes::RequestCount::new(1);
        let engine = engine::FakeEngine::builder(engine_settings);
        let engine = engine.launch().await.unwrap();
        let service = service::FakeService::builder("ledger-1".parse().unwrap());
        let service = service.launch().await.unwrap();
        let pool = vms::VmPool::Service("ledger".parse().unwrap());
        platform.set_vms(vec![
            entry("engine-1", engine.address(), vms::VmPool::Accelerator),
            entry("ledger-1", service.address(), pool),
        ]);
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        publish_document(&client, platform.control_address()).await;
        let settings = format!(
            "[node]\ndata-centre = a\nregion = r\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             peer-key = 0123456789abcdef0123456789abcdef\ndrain-notice-seconds = 0\n\
             {more_settings}\n[platform]\nurl = http://{}\n",
            platform.address()
        );
        let settings = settings::NodeSettings::parse(&settings).unwrap();
        let node = daemon::NodeDaemon::launch(settings).await.unwrap();
        let serving = Self {
            platform,
            engine,
            service,
            node,
            client,
        };
        for pool in [model_pool(), service_pool()] {
            wait_for("a share", || serving.share(&pool) > 0).await;
        }
        serving
    }

    /// Returns how many requests the node may have in flight in a pool.
    pub fn share(&self, pool: &routes::PoolKey) -> u32 {
        let table = self.node.handle().routes();
        let targets = table.targets(pool).iter();
        targets.map(|target| target.share.get()).sum()
    }

    /// Prepares a completion.
    pub fn completion(
        &self,
        prompt: &str,
        tokens: u64,
        is_stream: bool,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/completions", self.node.callers_address());
        let body = json!({
            "model": "draft", "prompt": prompt, "max_tokens": tokens, "stream": is_stream,
        });
        self.client.post(url).bearer_auth(REPEAT_KEY).json(&body)
    }

    /// Prepares a completion of the customer that lets nothing be repeated.
    pub fn single_completion(&self, prompt: &str, tokens: u64) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/completions", self.node.callers_address());
        let body = json!({"model": "draft", "prompt": prompt, "max_tokens": tokens});
        self.client.post(url).bearer_auth(ONCE_KEY).json(&body)
    }

    /// Prepares a charge.
    pub fn charge(&self, text: &str) -> reqwest::RequestBuilder {
        let address = self.node.callers_address();
        let url = format!("http://{address}/services/ledger/charges");
        let request = self.client.post(url).bearer_auth(REPEAT_KEY);
        request.json(&json!({"charge": text}))
    }

    /// Holds so many streams open at a warm engine; the node then may send some more.
    pub async fn hold_streams(&self, count: usize) -> Vec<reqwest::Response> {
        let answer = self.completion("warm up", 1, true).send().await.unwrap();
        answer.text().await.unwrap();
        self.set_engine_fault(r#"{"kind": "token-time", "ms": 20}"#);
        let mut held = Vec::new();
        let holding = async {
            while held.len() < count {
                let call = self.completion("held", HELD_TOKENS, true);
                let answer = call.send().await.unwrap();
                if answer.status() == 200 {
                    held.push(answer);
                } else {
                    tokio::time::sleep(WAIT_STEP).await;
                }
            }
        };
        let holding = tokio::time::timeout(WAIT_LIMIT, holding).await;
        assert!(holding.is_ok(), "the streams do not begin");
        wait_for("more than the share of a cold engine", || {
            self.share(&model_pool()) > COLD_LIMIT + 1
        })
        .await;
        held
    }

    /// Returns the runs whose prompt holds a text.
    pub fn runs_of(&self, text: &str) -> Vec<record::RecordEntry> {
        let entries = self.engine.record().entries().into_iter();
        let holds = |entry: &record::RecordEntry| {
            entry.path.starts_with("v1/") && entry.body_prefix.contains(text)
        };
        entries.filter(holds).collect()
    }

    /// Sets a fault on the engine.
    pub fn set_engine_fault(&self, fault: &str) {
        self.engine.set_fault(parse_fault(fault));
    }
}

/// Reads a fault.
pub fn parse_fault(text: &str) -> fault::FaultSpec {
    serde_json::from_str(text).unwrap()
}

/// Returns the pool of the engine.
pub fn model_pool() -> routes::PoolKey {
    routes::PoolKey::Model("draft".parse().unwrap())
}

/// Returns the pool of the plain service.
pub fn service_pool() -> routes::PoolKey {
    routes::PoolKey::Service("ledger".parse().unwrap())
}

/// Returns an idempotency key of now.
pub fn fresh_key(unique: &str) -> String {
    let issued = pier_types::times::clocks::wall_now().as_millis();
    format!("{issued}-{unique}")
}

/// Waits for a condition.
pub async fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(WAIT_STEP).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_LIMIT, waiting).await;
    assert!(waited.is_ok(), "waited in vain for {what}");
}

/// Returns the entry of a VM in the list.
pub fn entry(name: &str, address: net::SocketAddr, pool: vms::VmPool) -> vms::VmEntry {
    vms::VmEntry {
        name: name.parse().unwrap(),
        incarnation: epochs::VmIncarnation::new(1),
        address,
        data_centre: "a".parse().unwrap(),
        domain: "d".parse().unwrap(),
        pool,
        state: vms::VmState::Live,
    }
}

async fn publish_document(client: &reqwest::Client, platform: net::SocketAddr) {
    let repeat = documents::KeyHash::of(REPEAT_KEY);
    let once = documents::KeyHash::of(ONCE_KEY);
    let text = format!(
        "[document]\nname = tests\n\
         [model draft]\nversion = 1\nmembers = 1\nwarm-limit = {WARM_LIMIT}\n\
         cold-limit = {COLD_LIMIT}\ncontext-tokens = 1000000\nmax-tokens = 100000\n\
         weight-bytes = 1000\n\
         [service ledger]\nwarm-limit = {WARM_LIMIT}\ncold-limit = {COLD_LIMIT}\n\
         repeatable-methods = GET\none-time-paths = /charges\n\
         [data-centre a]\nregion = r\nstate = in-service\nentry-slots = 1\nreplicas.draft = 1\n\
         [customer repeats]\nkey-sha256 = {repeat}\nweight = 1\nmax-priority = normal\n\
         models = draft\nservices = ledger\nrepeat = completions, GET\nretry-percent = 100\n\
         [customer does-not]\nkey-sha256 = {once}\nweight = 1\nmax-priority = normal\n\
         models = draft\nservices = ledger\nrepeat = none\nretry-percent = 0\n\
         [limits]\nweight-store-bytes-per-second = 1000000000\nfreshness-ms = 60000\n"
    );
    text.parse::<documents::ConfigDocument>().unwrap();
    let url = format!("http://{platform}/objects/config/document");
    let writing = client.put(url).header("if-version", 0).body(text);
    let written = writing.send().await.unwrap();
    assert_eq!(written.status(), 200);
}
