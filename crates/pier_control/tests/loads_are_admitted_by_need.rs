//! Groups load weights a few at a time, the most needed ones first.

mod common;

use pier_control::{health, loads, placements};
use pier_types::{rates, reports};

/// Returns a queue for a store that can serve four VMs, which is two groups of two, at full rate.
fn queue() -> loads::LoadQueue {
    loads::LoadQueue::new(loads::LoadSettings {
        store_rate: rates::ByteRate::new(4_000),
        vm_rate: rates::ByteRate::new(1_000),
        ..loads::LoadSettings::default()
    })
}

fn fleet() -> placements::DataCentrePlacement {
    common::placement(vec![
        common::group("draft", 1, &["a", "b"]),
        common::group("draft", 2, &["c", "d"]),
        common::group("sum", 3, &["e", "f"]),
        common::group("sum", 4, &["g", "h"]),
    ])
}

fn admit(
    queue: &mut loads::LoadQueue,
    placement: &placements::DataCentrePlacement,
    evidence: &common::EvidenceMap,
    now_ms: u64,
) -> Vec<u64> {
    let now = common::millis(now_ms);
    let view = health::HealthMonitor::new(health::HealthSettings::default())
        .observe(placement, evidence, now);
    let wanted = [common::wanted("draft", 2), common::wanted("sum", 2)].into();
    let input = loads::LoadInput {
        placement,
        wanted: &wanted,
        evidence,
        view: &view,
        now,
    };
    queue.admit(&input).into_iter().collect()
}

#[test]
fn model_furthest_below_its_replicas_loads_first_and_never_all_at_once() {
    let placement = fleet();
    let mut evidence = common::EvidenceMap::new();
    for (name, group) in [("a", 0), ("b", 0)] {
        evidence.insert(
            common::vm(name),
            common::evidence(name, Some(group), 1, 10_000),
        );
    }
    let mut queue = queue();
    assert_eq!(
        admit(&mut queue, &placement, &evidence, 10_000),
        [2, 3],
        "no group of sum serves yet"
    );
    assert_eq!(
        admit(&mut queue, &placement, &evidence, 11_000),
        [2, 3],
        "no more while these load"
    );
    for name in ["e", "f"] {
        let mut found = common::evidence(name, Some(2), 3, 12_000);
        found.report.model = Some("sum".parse().unwrap());
        evidence.insert(common::vm(name), found);
    }
    assert_eq!(
        admit(&mut queue, &placement, &evidence, 12_000),
        [1, 3],
        "one load ended, so the next one starts"
    );
}

#[test]
fn new_holder_counts_loads_under_way_and_a_stuck_load_makes_room() {
    let placement = fleet();
    let mut evidence = common::EvidenceMap::new();
    for (name, group, generation) in [("c", 1, 2), ("d", 1, 2), ("g", 3, 4), ("h", 3, 4)] {
        let mut found = common::evidence(name, Some(group), generation, 10_000);
        found.report.state = reports::EngineState::Loading;
        evidence.insert(common::vm(name), found);
    }
    let mut queue = queue();
    assert_eq!(admit(&mut queue, &placement, &evidence, 10_000), [1, 3]);
    let after_timeout = 10_000 + 10 * 60 * 1_000;
    assert_eq!(
        admit(&mut queue, &placement, &evidence, after_timeout),
        [0, 2]
    );
}
