//! Guards against nodes that go back to a lower version or stay on different versions after
//! restarts, stale reads and lost messages.

use std::{collections, sync};

use pier_config::watches;
use pier_types::{epochs, ids, times};
use proptest::{prelude::*, test_runner};

const SAMPLE: &str = include_str!("../../../examples/tarifas.ini");
const SEED: [u8; 32] = [23; 32];
const CASES: u32 = 60;
const NODES: usize = 4;
const DELIVERY_ROUNDS: u32 = 60;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// An operator writes a new version.
    Change,
    /// A node reads from the platform a version that is `lag` versions old.
    Read { node: usize, lag: u64 },
    /// One node announces its version to another; the copy that this one requests may be lost.
    Beat { from: usize, to: usize, lost: bool },
    /// A node restarts without state and asks a seed node; the copy may be lost.
    Restart {
        node: usize,
        seed: usize,
        lost: bool,
    },
}

/// A node and the highest version that it has had in force since its start.
struct Node {
    watcher: watches::ConfigWatcher,
    in_force: u64,
    /// The highest version received since its start; no lower version may be applied.
    highest_received: u64,
}

struct Cluster {
    now: times::BootTime,
    latest: u64,
    texts: collections::BTreeMap<u64, sync::Arc<str>>,
    nodes: Vec<Node>,
}

impl Cluster {
    fn new() -> Self {
        let now = times::BootTime::default();
        let nodes = (0..NODES).map(|_index| Node::new(now));
        let mut cluster = Self {
            now,
            latest: 0,
            texts: collections::BTreeMap::new(),
            nodes: nodes.collect(),
        };
        cluster.change();
        cluster
    }

    fn change(&mut self) {
        self.latest += 1;
        let name = format!("tarifas-{}", self.latest);
        let text = SAMPLE.replacen("tarifas", &name, 1);
        self.texts.insert(self.latest, text.into());
    }

    fn copy(&self, version: u64, source: watches::ConfigSource) -> watches::ConfigCopy {
        watches::ConfigCopy {
            version: epochs::ConfigVersion::new(version),
            text: sync::Arc::clone(&self.texts[&version]),
            source,
        }
    }

    fn read(&mut self, node: usize, lag: u64) -> Result<(), TestCaseError> {
        let version = self.latest.saturating_sub(lag).max(1);
        let copy = self.copy(version, watches::ConfigSource::Platform);
        let now = self.now;
        self.nodes[node].offer(&copy, now)
    }

    fn beat(&mut self, from: usize, to: usize, lost: bool) -> Result<(), TestCaseError> {
        let version = self.nodes[from].watcher.version();
        let (name, now) = (node_name(from), self.now);
        let actions = self.nodes[to].watcher.hint(&name, version, now);
        let asked = actions.contains(&watches::WatchAction::AskPeer(name));
        if asked && !lost {
            return self.send_copy(from, to);
        }
        Ok(())
    }

    fn send_copy(&mut self, from: usize, to: usize) -> Result<(), TestCaseError> {
        let version = self.nodes[from].watcher.version().get();
        if version == 0 {
            return Ok(());
        }
        let copy = self.copy(version, watches::ConfigSource::Peer(node_name(from)));
        let now = self.now;
        self.nodes[to].offer(&copy, now)
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Change => self.change(),
            Step::Read { node, lag } => self.read(node, lag)?,
            Step::Beat { from, to, lost } => self.beat(from, to, lost)?,
            Step::Restart { node, seed, lost } => {
                self.nodes[node] = Node::new(self.now);
                if !lost && seed != node {
                    self.send_copy(seed, node)?;
                }
            }
        }
        self.tick()
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        self.nodes.iter_mut().try_for_each(|node| {
            let actions = node.watcher.tick(now);
            node.check(&actions)
        })
    }

    /// Runs rounds without faults: reads are current, and each announcement reaches the next node.
    fn deliver_all(&mut self) -> Result<(), TestCaseError> {
        for _round in 0..DELIVERY_ROUNDS {
            self.now = times::BootTime::from_millis(self.now.as_micros() / 1_000 + 100);
            for node in 0..NODES {
                self.read(node, 0)?;
                self.beat(node, (node + 1) % NODES, false)?;
            }
            self.tick()?;
        }
        Ok(())
    }
}

impl Node {
    fn new(now: times::BootTime) -> Self {
        Self {
            watcher: watches::ConfigWatcher::new(now),
            in_force: 0,
            highest_received: 0,
        }
    }

    fn offer(
        &mut self,
        copy: &watches::ConfigCopy,
        now: times::BootTime,
    ) -> Result<(), TestCaseError> {
        self.highest_received = self.highest_received.max(copy.version.get());
        let actions = self.watcher.offer(copy, now);
        self.check(&actions)
    }

    fn check(&mut self, actions: &[watches::WatchAction]) -> Result<(), TestCaseError> {
        for action in actions {
            if let watches::WatchAction::Apply(record) = action {
                let version = record.version.get();
                prop_assert!(version > self.in_force, "{} then {version}", self.in_force);
                prop_assert!(
                    version >= self.highest_received,
                    "{version} under {}",
                    self.highest_received
                );
                self.in_force = version;
            }
        }
        Ok(())
    }
}

fn node_name(index: usize) -> ids::NodeName {
    format!("node-{index}").parse().unwrap()
}

fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let node = 0..NODES;
    let step = prop_oneof![
        2 => Just(Step::Change),
        4 => (node.clone(), 0_u64..4).prop_map(|(node, lag)| Step::Read { node, lag }),
        4 => (node.clone(), node.clone(), any::<bool>())
            .prop_map(|(from, to, lost)| Step::Beat { from, to, lost }),
        1 => (node.clone(), node, any::<bool>())
            .prop_map(|(node, seed, lost)| Step::Restart { node, seed, lost }),
    ];
    prop::collection::vec((step, 0_u64..600), 1..80)
}

#[test]
fn no_node_reverts_and_all_nodes_converge() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps(), |steps| {
        let mut cluster = Cluster::new();
        for (step, gap) in steps {
            cluster.now = times::BootTime::from_millis(cluster.now.as_micros() / 1_000 + gap);
            cluster.step(step)?;
        }
        cluster.deliver_all()?;
        for node in &cluster.nodes {
            prop_assert_eq!(node.watcher.version().get(), cluster.latest);
        }
        Ok(())
    });
    outcome.unwrap();
}
