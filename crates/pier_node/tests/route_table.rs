//! Which targets may receive new work: one rule a test, on a table that else has the target.

use std::{collections, time};

use pier_config::documents;
use pier_control::{health, placements};
use pier_limits::shifts;
use pier_node::{handle, requests, tables};
use pier_types::{epochs, ids, reports, routes, sizes, times, vms};

const DOCUMENT: &str = include_str!("../../../examples/laurel-north.ini");

const NOW: times::BootTime = times::BootTime::from_millis(60_000);

/// Everything a table is built from, with one service VM and one group that may be used.
struct TableScene {
    shift: handle::ShiftSnapshot,
    document: documents::ConfigDocument,
    groups: handle::GroupSnapshot,
    vms: collections::BTreeMap<ids::VmName, vms::VmEntry>,
    evidence: collections::BTreeMap<ids::VmName, health::VmEvidence>,
    shares: collections::BTreeMap<ids::TargetId, sizes::RequestCount>,
    leaving: collections::BTreeMap<requests::TargetKey, times::BootTime>,
}

impl TableScene {
    fn new() -> Self {
        let evidence = health::VmEvidence {
            report: report(),
            probed_at: NOW,
        };
        let share = sizes::RequestCount::new(3);
        let targets = [
            ids::TargetId::Vm(vm("app-1")),
            ids::TargetId::Group(group_id()),
        ];
        Self {
            shift: handle::ShiftSnapshot::default(),
            document: DOCUMENT.parse().unwrap(),
            groups: group_snapshot(),
            vms: collections::BTreeMap::from([(vm("app-1"), service_entry())]),
            evidence: collections::BTreeMap::from([(vm("app-1"), evidence)]),
            shares: targets.into_iter().map(|target| (target, share)).collect(),
            leaving: collections::BTreeMap::new(),
        }
    }

    /// Returns the usable targets of the service and of the model.
    fn counts(&self, now: times::BootTime) -> (usize, usize) {
        let builder = tables::TableBuilder {
            data_centre: &"scot-central-a".parse().unwrap(),
            shift: self.shift,
            document: &self.document,
            groups: &self.groups,
            vms: &self.vms,
            evidence: &self.evidence,
            shares: &self.shares,
            leaving: &self.leaving,
        };
        let table = builder.build(now);
        let usable = |pool| {
            let targets = table.targets(pool).iter();
            targets.filter(|target| target.share.get() > 0).count()
        };
        let service = routes::PoolKey::Service("nominations".parse().unwrap());
        let model = routes::PoolKey::Model("drafter".parse().unwrap());
        (usable(&service), usable(&model))
    }
}

fn vm(name: &str) -> ids::VmName {
    name.parse().unwrap()
}

fn group_id() -> ids::GroupId {
    "scot-central-a/1".parse().unwrap()
}

fn service_entry() -> vms::VmEntry {
    vms::VmEntry {
        name: vm("app-1"),
        incarnation: epochs::VmIncarnation::new(1),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "scot-central-a".parse().unwrap(),
        domain: "fabric-1".parse().unwrap(),
        pool: vms::VmPool::Service("nominations".parse().unwrap()),
        state: vms::VmState::Live,
    }
}

fn report() -> reports::EngineReport {
    reports::EngineReport {
        vm: vm("app-1"),
        incarnation: epochs::VmIncarnation::new(1),
        group: None,
        generation: epochs::GroupGeneration::default(),
        model: None,
        state: reports::EngineState::Warm,
        running: sizes::RequestCount::default(),
        queued: sizes::RequestCount::default(),
        is_leaving: false,
    }
}

fn group_snapshot() -> handle::GroupSnapshot {
    let json = r#"{"data_centre": "scot-central-a", "lease_term": 1,
        "counters": {"next_number": 2, "last_generation": 1},
        "groups": {"1": {"model": "drafter", "domain": "fabric-1", "generation": 1,
            "weights_from": 1, "recipe": {"version": "1", "adapters": [], "prefill": 0},
            "members": [{"vm": "gpu-1", "incarnation": 1, "address": "127.0.0.1:9"}]}}}"#;
    let serving = health::ServingGroup {
        id: group_id(),
        model: "drafter".parse().unwrap(),
        generation: epochs::GroupGeneration::new(1),
        address: "127.0.0.1:9".parse().unwrap(),
        state: reports::EngineState::Warm,
        load: routes::TargetLoad::default(),
        fresh_until: NOW,
    };
    let mut health = health::HealthView::default();
    health.serving.insert(1, serving);
    handle::GroupSnapshot {
        placement: Some(placements::DataCentrePlacement::parse(json.as_bytes()).unwrap()),
        health,
    }
}

#[test]
fn a_target_with_fresh_evidence_and_a_share_is_used() {
    assert_eq!(TableScene::new().counts(NOW), (1, 1));
}

#[test]
fn a_leaving_vm_gets_no_new_work() {
    let mut scene = TableScene::new();
    let entry = scene.vms.get_mut(&vm("app-1")).unwrap();
    entry.state = vms::VmState::Leaving;
    assert_eq!(scene.counts(NOW), (0, 1));
}

#[test]
fn a_group_with_a_leaving_member_gets_no_new_work() {
    let mut scene = TableScene::new();
    let mut entry = service_entry();
    entry.name = vm("gpu-1");
    entry.pool = vms::VmPool::Accelerator;
    entry.state = vms::VmState::Leaving;
    scene.vms.insert(vm("gpu-1"), entry);
    assert_eq!(scene.counts(NOW), (1, 0));
}

#[test]
fn a_vm_that_says_it_leaves_gets_no_new_work_though_the_list_has_it_live() {
    let mut scene = TableScene::new();
    let evidence = scene.evidence.get_mut(&vm("app-1")).unwrap();
    evidence.report.is_leaving = true;
    assert_eq!(scene.counts(NOW), (0, 1));
}

#[test]
fn a_group_whose_member_says_it_leaves_gets_no_new_work() {
    let mut scene = TableScene::new();
    let mut report = report();
    (report.vm, report.is_leaving) = (vm("gpu-1"), true);
    let evidence = health::VmEvidence {
        report,
        probed_at: NOW,
    };
    scene.evidence.insert(vm("gpu-1"), evidence);
    assert_eq!(scene.counts(NOW), (1, 0));
}

/// Guards against requests to a target that states in its answers alone that it leaves, and against
/// a notice that outlives its start.
#[test]
fn a_target_whose_answers_say_it_leaves_gets_no_new_work() {
    let app = ids::TargetId::Vm(vm("app-1"));
    let group = ids::TargetId::Group(group_id());
    for (target, left) in [(app, (0, 1)), (group, (1, 0))] {
        let mut scene = TableScene::new();
        let former = epochs::GroupGeneration::new(0);
        scene.leaving.insert((target.clone(), former), NOW);
        assert_eq!(scene.counts(NOW), (1, 1));
        let current = epochs::GroupGeneration::new(1);
        scene.leaving.insert((target, current), NOW);
        assert_eq!(scene.counts(NOW), left);
    }
}

#[test]
fn a_drained_target_gets_no_new_work() {
    for (name, left) in [("app-1", (0, 1)), ("gpu-1", (1, 0))] {
        let mut scene = TableScene::new();
        let drained = &mut scene.document.drained;
        drained.insert(vm(name), "repair".to_owned());
        assert_eq!(scene.counts(NOW), left);
    }
}

#[test]
fn an_out_of_service_data_centre_gets_no_new_work_once_its_part_is_nothing() {
    let mut scene = TableScene::new();
    scene.shift.in_service = false;
    assert_eq!(scene.counts(NOW), (1, 1));
    scene.shift.weight = shifts::ShiftWeight::NONE;
    assert_eq!(scene.counts(NOW), (0, 0));
}

#[test]
fn a_returning_data_centre_may_take_what_no_other_takes() {
    let mut scene = TableScene::new();
    scene.shift.weight = shifts::ShiftWeight::NONE;
    assert_eq!(scene.counts(NOW), (1, 1));
}

#[test]
fn stale_evidence_counts_as_none() {
    let scene = TableScene::new();
    let later = NOW.after(time::Duration::from_secs(10));
    assert_eq!(scene.counts(later), (0, 0));
}

#[test]
fn a_target_without_a_share_gets_no_new_work() {
    let mut scene = TableScene::new();
    scene.shares.clear();
    assert_eq!(scene.counts(NOW), (0, 0));
}

#[test]
fn a_group_that_the_placement_lacks_gets_no_new_work() {
    let mut scene = TableScene::new();
    scene.groups.placement = None;
    assert_eq!(scene.counts(NOW), (1, 0));
}
