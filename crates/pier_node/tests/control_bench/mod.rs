//! A data centre with a fake platform and fake engines, and nodes that run only their control loops.

use std::{collections, sync, time};

use pier_config::documents;
use pier_control::{health, leases, planning};
use pier_fakes::{engine, platform};
use pier_node::{control, handle, settings, telemetry};
use pier_types::{epochs, ids, reports, times::clocks, vms};

/// How long a test waits for a condition before it fails.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

const DOCUMENT: &str = "[document]
name = bench

[model draft]
version = 1
members = 2
roles = unified
warm-limit = 12
cold-limit = 3
context-tokens = 32768
max-tokens = 4096
weight-bytes = 1000000

[data-centre dc]
region = bench
state = in-service
entry-slots = 3
replicas.draft = 1

[customer bench]
key-sha256 = e1113f8a399ec3360ea446cc177256198e3dd3454b095edd96e8ffe33f72df17
weight = 1
max-priority = normal
models = draft
repeat = completions
retry-percent = 10

[limits]
weight-store-bytes-per-second = 2000000000
claim-retention-hours = 72
freshness-ms = 1500
deadline-default-ms = 120000
max-body-bytes = 8388608
";

/// The fake platform and engines, with the runtime that they run on.
pub struct ControlBench {
    pub runtime: tokio::runtime::Runtime,
    pub platform: platform::FakePlatform,
    pub engines: collections::BTreeMap<ids::VmName, engine::FakeEngine>,
}

/// A node that can be killed.
pub struct TestNode {
    pub handle: handle::NodeHandle,
    runtime: Option<tokio::runtime::Runtime>,
}

impl ControlBench {
    /// Starts the platform and one engine per name, all in one fabric domain.
    pub fn new(names: &[&str], fencing: bool) -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let platform = runtime
            .block_on(platform::FakePlatform::builder().launch())
            .unwrap();
        let mut engines = collections::BTreeMap::new();
        for name in names {
            let mut settings = engine::EngineSettings::new(name.parse().unwrap());
            settings.fencing = fencing;
            let launch = engine::FakeEngine::builder(settings).launch();
            engines.insert(name.parse().unwrap(), runtime.block_on(launch).unwrap());
        }
        let entries = engines.iter().map(|(name, engine)| vms::VmEntry {
            name: ids::VmName::clone(name),
            incarnation: epochs::VmIncarnation::new(1),
            address: engine.address(),
            data_centre: "dc".parse().unwrap(),
            domain: "east".parse().unwrap(),
            pool: vms::VmPool::Accelerator,
            state: vms::VmState::Live,
        });
        platform.set_vms(entries.collect());
        Self {
            runtime,
            platform,
            engines,
        }
    }

    /// Starts a node with its control loops and a simple prober.
    pub fn start_node(&self, name: &str) -> TestNode {
        let text = format!(
            "[node]\ndata-centre = dc\nregion = bench\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
             peers = 127.0.0.1:0\npeer-key = 0123456789abcdef0123456789abcdef\n\
             [platform]\nurl = http://{}\n",
            self.platform.address()
        );
        let settings = settings::NodeSettings::parse(&text).unwrap();
        let traces = telemetry::TraceSink::open(None).unwrap();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let handle =
            handle::NodeHandle::new(name.parse().unwrap(), settings, client, traces).unwrap();
        handle.publish_config(handle::ConfigSnapshot {
            version: epochs::ConfigVersion::new(1),
            document: DOCUMENT.parse::<documents::ConfigDocument>().unwrap(),
            text: DOCUMENT.to_owned(),
        });
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let _context = runtime.enter();
        control::spawn(handle.clone(), &control_settings());
        runtime.spawn(probe(handle.clone()));
        TestNode {
            handle,
            runtime: Some(runtime),
        }
    }

    /// Returns an object's version and value.
    pub fn object(&self, key: &str) -> (epochs::ObjectVersion, Option<bytes::Bytes>) {
        let objects = self.platform.objects();
        let value = objects.get(key).and_then(|object| object.value.clone());
        (objects.current_version(key), value)
    }
}

impl TestNode {
    /// Ends the node without a shutdown, as `kill -9` does.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Returns the only group if it serves now.
    pub fn serving(&self) -> Option<health::ServingGroup> {
        let groups = self.handle.groups();
        let group = groups.health.serving.values().next()?;
        (group.fresh_until >= clocks::boot_now()).then(|| group.clone())
    }

    /// Returns the VMs of the only group.
    pub fn members(&self) -> Vec<ids::VmName> {
        let groups = self.handle.groups();
        let placement = groups.placement.as_ref().unwrap();
        let group = placement.groups().values().next().unwrap();
        group.members.iter().map(|slot| slot.vm.clone()).collect()
    }

    /// Returns whether the node holds the lease.
    pub fn holds_lease(&self) -> bool {
        let until = self.handle.lease().and_then(|lease| lease.held_until);
        until.is_some_and(|until| until > clocks::boot_now())
    }

    /// Returns the term of the newest lease record.
    pub fn term(&self) -> u64 {
        self.handle
            .lease()
            .map_or(0, |lease| lease.record.term.get())
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Polls until `look` returns a value; panics with `what` after [`TIMEOUT`].
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = time::Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < TIMEOUT, "not reached in time: {what}");
        std::thread::sleep(time::Duration::from_millis(20));
    }
}

/// Returns settings with short times, so that tests end soon.
fn control_settings() -> control::ControlSettings {
    control::ControlSettings {
        lease: leases::LeaseSettings {
            duration: time::Duration::from_secs(2),
            margin: time::Duration::from_millis(300),
            takeover_spread: time::Duration::from_millis(200),
            retry_delay: time::Duration::from_millis(100),
            call_timeout: time::Duration::from_millis(500),
            read_interval: time::Duration::from_secs(1),
        },
        planner: planning::PlannerSettings {
            repair_delay: time::Duration::from_millis(1_500),
            straggler_delay: time::Duration::from_secs(1),
            ..planning::PlannerSettings::default()
        },
        health: health::HealthSettings {
            silent_after: time::Duration::from_secs(1),
            ..health::HealthSettings::default()
        },
        ..control::ControlSettings::default()
    }
}

/// Polls the VM list and the reports of all engines.
async fn probe(handle: handle::NodeHandle) {
    let evidence: sync::Arc<sync::Mutex<collections::BTreeMap<_, _>>> = sync::Arc::default();
    loop {
        if let Ok(listing) = handle.lists().fetch().await {
            let entries = listing.entries.into_iter();
            handle.publish_vms(entries.map(|entry| (entry.name.clone(), entry)).collect());
        }
        let vms = handle.vms();
        let probes = vms.values().map(|entry| {
            let (handle, evidence, entry) =
                (handle.clone(), sync::Arc::clone(&evidence), entry.clone());
            tokio::spawn(async move {
                let probed_at = clocks::boot_now();
                let url = format!("http://{}/report", entry.address);
                let call = handle.client().get(url).timeout(REPORT_TIMEOUT).send();
                let Ok(reply) = call.await else { return };
                let Ok(report) = reply.json::<reports::EngineReport>().await else {
                    return;
                };
                evidence
                    .lock()
                    .unwrap()
                    .insert(entry.name, health::VmEvidence { report, probed_at });
            })
        });
        let probes: Vec<_> = probes.collect();
        for probe in probes {
            let _ended = probe.await;
        }
        handle.publish_evidence(evidence.lock().unwrap().clone());
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
