//! Builds placements and probe results of a small data centre for the tests.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections;

use pier_control::{health, leases, placements, planning};
use pier_types::{epochs, ids, reports, sizes, times, vms};

pub type EvidenceMap = collections::BTreeMap<ids::VmName, health::VmEvidence>;

pub fn vm(name: &str) -> ids::VmName {
    name.parse().unwrap()
}

pub fn millis(millis: u64) -> times::BootTime {
    times::BootTime::from_millis(millis)
}

pub fn slot(name: &str) -> placements::MemberSlot {
    placements::MemberSlot {
        vm: vm(name),
        incarnation: epochs::VmIncarnation::new(1),
        address: "127.0.0.1:9000".parse().unwrap(),
    }
}

pub fn group(model: &str, generation: u64, members: &[&str]) -> placements::GroupPlacement {
    placements::GroupPlacement {
        model: model.parse().unwrap(),
        recipe: placements::GroupRecipe {
            version: "v1".parse().unwrap(),
            adapters: Vec::new(),
            prefill: 0,
        },
        domain: "east".parse().unwrap(),
        generation: epochs::GroupGeneration::new(generation),
        weights_from: epochs::GroupGeneration::new(1),
        members: members.iter().map(|name| slot(name)).collect(),
        successor: None,
    }
}

pub fn placement(groups: Vec<placements::GroupPlacement>) -> placements::DataCentrePlacement {
    let counters = placements::PlacementCounters {
        next_number: groups.len() as u64,
        last_generation: epochs::GroupGeneration::new(100),
    };
    let term = epochs::LeaseTerm::new(3);
    let groups = (0..).zip(groups).collect();
    placements::DataCentrePlacement::new("dc".parse().unwrap(), term, counters, groups).unwrap()
}

pub fn evidence(
    name: &str,
    group: Option<u64>,
    generation: u64,
    probed_ms: u64,
) -> health::VmEvidence {
    let id = |number| ids::GroupId {
        data_centre: "dc".parse().unwrap(),
        number,
    };
    health::VmEvidence {
        report: reports::EngineReport {
            vm: vm(name),
            incarnation: epochs::VmIncarnation::new(1),
            group: group.map(id),
            generation: epochs::GroupGeneration::new(generation),
            model: group.map(|_group| "draft".parse().unwrap()),
            state: if group.is_some() {
                reports::EngineState::Warm
            } else {
                reports::EngineState::Empty
            },
            running: sizes::RequestCount::default(),
            queued: sizes::RequestCount::default(),
            is_leaving: false,
        },
        probed_at: millis(probed_ms),
    }
}

/// Returns a probe result for every member that matches the placement.
pub fn matching_evidence(
    placement: &placements::DataCentrePlacement,
    probed_ms: u64,
) -> EvidenceMap {
    let groups = placement.groups().iter();
    let members = groups.flat_map(|(number, group)| {
        let report = |slot: &placements::MemberSlot| {
            let found = evidence(
                slot.vm.as_str(),
                Some(*number),
                group.generation.get(),
                probed_ms,
            );
            (slot.vm.clone(), found)
        };
        group.members.iter().map(report)
    });
    members.collect()
}

pub fn entry(name: &str) -> vms::VmEntry {
    vms::VmEntry {
        name: vm(name),
        incarnation: epochs::VmIncarnation::new(1),
        address: "127.0.0.1:9001".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        domain: "east".parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state: vms::VmState::Live,
    }
}

pub fn grant(until_ms: u64) -> leases::LeaseGrant {
    leases::LeaseGrant {
        term: epochs::LeaseTerm::new(3),
        until: millis(until_ms),
    }
}

pub fn wanted(model: &str, replicas: u32) -> (ids::ModelName, planning::WantedModel) {
    let model: ids::ModelName = model.parse().unwrap();
    let recipe = placements::GroupRecipe {
        version: "v1".parse().unwrap(),
        adapters: Vec::new(),
        prefill: 0,
    };
    let weight_bytes = sizes::ByteSize::new(1_000_000_000);
    (
        model.clone(),
        planning::WantedModel {
            model,
            replicas,
            members: 2,
            recipe,
            weight_bytes,
        },
    )
}
