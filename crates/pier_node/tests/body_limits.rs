//! Limits on the bodies that a node holds: their settings, and what callers are told.

mod support;

use std::time;

use pier_node::settings;
use pier_types::sizes;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// A machine that leaves the limits of the settings room.
const MACHINE: settings::MachineSize = settings::MachineSize {
    memory: sizes::ByteSize::new(160 << 20),
    descriptors: 1_024,
};

/// Ends a hanging test.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn parse(limits: &str) -> anyhow::Result<settings::NodeSettings> {
    settings::NodeSettings::parse(&format!(
        "[node]\ndata-centre = a\nregion = r\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         peers = 127.0.0.1:0\npeer-key = 0123456789abcdef0123456789abcdef\n\
         [platform]\nurl = http://127.0.0.1:9\n[limits]\n{limits}\n"
    ))
}

#[test]
fn limits_follow_from_the_machine_and_can_be_set() {
    let limits = parse("").unwrap().limits;
    let bounds = limits.body_bounds(MACHINE);
    assert_eq!(bounds.budget, sizes::ByteSize::new(32 << 20));
    assert_eq!(bounds.least_rate, sizes::ByteSize::new(16_384));
    assert_eq!(limits.max_descriptors(MACHINE), 896);
    // Of 1,280 for the memory, what the descriptors allow.
    assert_eq!(bounds.connections, 672);
    let text = "memory-mib = 112\nleast-body-rate = 1000\nbodies = 64\ndescriptors = 300";
    let limits = parse(text).unwrap().limits;
    let bounds = limits.body_bounds(MACHINE);
    assert_eq!(bounds.budget, sizes::ByteSize::new(16 << 20));
    assert_eq!(bounds.least_rate, sizes::ByteSize::new(1_000));
    assert_eq!(bounds.connections, 64);
    assert_eq!(limits.max_descriptors(MACHINE), 300);
    let limits = parse("memory-mib = 32").unwrap().limits;
    let least = limits.body_bounds(MACHINE).budget;
    assert_eq!(least, sizes::ByteSize::new(8 << 20), "the largest body");
    let limits = parse("body-budget-mib = 5").unwrap().limits;
    let stated = limits.body_bounds(MACHINE).budget;
    assert_eq!(stated, sizes::ByteSize::new(5 << 20));
    for key in [
        "memory-mib",
        "body-budget-mib",
        "least-body-rate",
        "bodies",
        "descriptors",
    ] {
        let error = parse(&format!("{key} = 0")).unwrap_err();
        assert!(error.to_string().contains(key), "{error:#}");
    }
}

#[test]
fn the_size_of_this_machine_is_read() {
    let machine = settings::MachineSize::load();
    assert!(machine.memory.get() > 64 << 20, "{machine:?}");
    assert!(machine.descriptors >= 64, "{machine:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_given_up_for_another_is_refused_as_not_run() {
    let serving = support::ServingNode::start("[limits]\nbodies = 1").await;
    let head = format!(
        "POST /services/ledger/x HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\nthe beginning of a body",
        support::REPEAT_KEY,
    );
    let mut stream = TcpStream::connect(serving.node.callers_address())
        .await
        .unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let handle = serving.node.handle();
    support::wait_for("the body", || handle.bodies().total().get() > 0).await;
    let answer = serving.charge("served").send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let mut refusal = String::new();
    let reading = stream.read_to_string(&mut refusal);
    let read = tokio::time::timeout(TEST_TIMEOUT, reading).await.unwrap();
    read.unwrap();
    let refusal = refusal.to_lowercase();
    // Quiet for half a second by then, or not.
    let is_told = refusal.contains("\"code\":2008") || refusal.contains("\"code\":1011");
    assert!(is_told, "{refusal}");
    assert!(refusal.contains("\"outcome\":\"not-run\""), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    assert!(refusal.contains("connection: close"), "{refusal}");
    support::wait_for("the memory of both bodies", || {
        handle.bodies().total().get() == 0
    })
    .await;
    let metrics = handle.metrics_text().unwrap();
    assert!(metrics.contains("ended_bodies_total{cause="), "{metrics}");
}
