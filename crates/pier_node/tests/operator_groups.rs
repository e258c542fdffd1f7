//! The operators' list of groups and standby VMs (`spares`).

use std::collections;

use pier_control::{health, placements};
use pier_node::{handle, operators, settings, telemetry};
use pier_types::{epochs, ids, vms};
use rocket::{http, local::blocking};
use serde_json::json;

const SETTINGS: &str = "[node]\ndata-centre = dc-a\nregion = r\ncallers = 127.0.0.1:0\n\
    operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
    peer-key = only-nodes-of-this-test-know-this-key\n[platform]\nurl = http://127.0.0.1:9\n";

const PLACEMENT: &str = r#"{"data_centre": "dc-a", "lease_term": 1,
    "counters": {"next_number": 2, "last_generation": 1},
    "groups": {"1": {"model": "draft", "domain": "fabric-1", "generation": 1,
        "weights_from": 1, "recipe": {"version": "1", "adapters": [], "prefill": 0},
        "members": [{"vm": "vm-1", "incarnation": 1, "address": "127.0.0.1:9"}]}}}"#;

fn vm(name: &str, domain: &str, state: vms::VmState) -> (ids::VmName, vms::VmEntry) {
    let name: ids::VmName = name.parse().unwrap();
    let entry = vms::VmEntry {
        name: name.clone(),
        incarnation: epochs::VmIncarnation::new(1),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        domain: domain.parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state,
    };
    (name, entry)
}

fn node() -> handle::NodeHandle {
    let settings = settings::NodeSettings::parse(SETTINGS).unwrap();
    let traces = telemetry::TraceSink::open(None).unwrap();
    let client = reqwest::Client::new();
    handle::NodeHandle::new("n1".parse().unwrap(), settings, client, traces).unwrap()
}

#[test]
fn standbys_are_the_live_vms_without_a_group() {
    let node = node();
    let mut elsewhere = vm("vm-9", "fabric-1", vms::VmState::Live);
    elsewhere.1.data_centre = "dc-b".parse().unwrap();
    let list = collections::BTreeMap::from([
        vm("vm-1", "fabric-1", vms::VmState::Live),
        vm("vm-2", "fabric-1", vms::VmState::Live),
        vm("vm-3", "fabric-1", vms::VmState::Leaving),
        vm("vm-4", "fabric-2", vms::VmState::Live),
        vm("vm-5", "fabric-2", vms::VmState::Live),
        elsewhere,
    ]);
    node.publish_vms(list);
    let mut view = health::HealthView::default();
    let member = "vm-1".parse().unwrap();
    view.stopped
        .insert(1, health::StopReason::StaleEvidence(member));
    node.publish_groups(handle::GroupSnapshot {
        placement: Some(placements::DataCentrePlacement::parse(PLACEMENT.as_bytes()).unwrap()),
        health: view,
    });
    let server = rocket::build()
        .manage(node)
        .mount("/", operators::OperatorRoutes::routes());
    let client = blocking::Client::untracked(server).unwrap();
    let answer = client.get("/operator/groups").dispatch();
    assert_eq!(answer.status(), http::Status::Ok);
    let answer: serde_json::Value = serde_json::from_str(&answer.into_string().unwrap()).unwrap();
    assert_eq!(answer["spares"], json!({"fabric-1": 1, "fabric-2": 2}));
    let state = &answer["groups"][0]["state"];
    assert_eq!(*state, json!("stopped: stale-evidence vm=vm-1"));
}
