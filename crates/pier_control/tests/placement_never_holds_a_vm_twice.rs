//! No VM belongs to two groups, whatever changes in the VMs, the VM list and the configuration.

use std::collections;

use pier_control::{placements, planning};
use pier_types::{epochs, ids, sizes, times, vms};
use proptest::prelude::*;
use proptest::test_runner;

const VMS: u64 = 40;
const RUNS: usize = 40;

/// A change of a VM or of the configuration between two planner runs.
#[derive(Debug, Clone)]
enum VmChange {
    Silent(u64),
    Healthy(u64, u64),
    Slow(u64),
    Leaving(u64),
    Moved(u64, u64),
    ListedTwice(u64, u64),
    Listed(u64, u64),
    Unlisted(u64),
    Wanted(u64, u32, u32, u64),
}

fn changes() -> impl Strategy<Value = VmChange> {
    let vm = 0..VMS;
    prop_oneof![
        3 => vm.clone().prop_map(VmChange::Silent),
        3 => (vm.clone(), 1..4_u64).prop_map(|(vm, incarnation)| VmChange::Healthy(vm, incarnation)),
        1 => vm.clone().prop_map(VmChange::Slow),
        1 => vm.clone().prop_map(VmChange::Leaving),
        1 => (vm.clone(), 0..4_u64).prop_map(|(vm, domain)| VmChange::Moved(vm, domain)),
        1 => (vm.clone(), 0..4_u64).prop_map(|(vm, domain)| VmChange::ListedTwice(vm, domain)),
        3 => (vm.clone(), 1..4_u64).prop_map(|(vm, incarnation)| VmChange::Listed(vm, incarnation)),
        1 => vm.prop_map(VmChange::Unlisted),
        1 => (0..2_u64, 0..5_u32, 1..7_u32, 1..3_u64)
            .prop_map(|(model, replicas, members, version)| VmChange::Wanted(model, replicas, members, version)),
    ]
}

/// The state of the data centre on which the planner runs.
struct Fleet {
    wanted: collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    vms: Vec<vms::VmEntry>,
    conditions: collections::BTreeMap<ids::VmName, planning::VmCondition>,
}

fn name(vm: u64) -> ids::VmName {
    format!("v{vm}").parse().unwrap()
}

fn entry(vm: u64, domain: u64, incarnation: u64) -> vms::VmEntry {
    vms::VmEntry {
        name: name(vm),
        incarnation: epochs::VmIncarnation::new(incarnation),
        address: format!("127.0.0.1:{}", 1_000 + vm).parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        domain: format!("d{domain}").parse().unwrap(),
        pool: vms::VmPool::Accelerator,
        state: vms::VmState::Live,
    }
}

impl Fleet {
    fn new() -> Self {
        let healthy = planning::VmCondition::Healthy {
            incarnation: epochs::VmIncarnation::new(1),
        };
        let mut fleet = Self {
            wanted: collections::BTreeMap::new(),
            vms: (0..VMS).map(|vm| entry(vm, vm % 4, 1)).collect(),
            conditions: (0..VMS).map(|vm| (name(vm), healthy)).collect(),
        };
        fleet.apply(&VmChange::Wanted(0, 3, 4, 1), times::BootTime::default());
        fleet.apply(&VmChange::Wanted(1, 4, 2, 1), times::BootTime::default());
        fleet
    }

    fn apply(&mut self, change: &VmChange, now: times::BootTime) {
        match *change {
            VmChange::Silent(vm) => {
                self.conditions
                    .insert(name(vm), planning::VmCondition::Unreachable { since: now });
            }
            VmChange::Healthy(vm, incarnation) => {
                let incarnation = epochs::VmIncarnation::new(incarnation);
                self.conditions
                    .insert(name(vm), planning::VmCondition::Healthy { incarnation });
            }
            VmChange::Slow(vm) => {
                let incarnation = epochs::VmIncarnation::new(1);
                let slow = planning::VmCondition::Straggling {
                    incarnation,
                    since: now,
                };
                self.conditions.insert(name(vm), slow);
            }
            VmChange::Leaving(vm) => self.edit(vm, |entry| entry.state = vms::VmState::Leaving),
            VmChange::Moved(vm, to) => self.edit(vm, |moved| *moved = entry(vm, to, 1)),
            VmChange::ListedTwice(vm, domain) => self.vms.push(entry(vm, domain, 1)),
            VmChange::Listed(vm, incarnation) => {
                self.vms.retain(|entry| entry.name != name(vm));
                self.vms.push(entry(vm, vm % 4, incarnation));
            }
            VmChange::Unlisted(vm) => self.vms.retain(|entry| entry.name != name(vm)),
            VmChange::Wanted(model, replicas, members, version) => {
                let model: ids::ModelName = format!("m{model}").parse().unwrap();
                let recipe = placements::GroupRecipe {
                    version: version.to_string().parse().unwrap(),
                    adapters: Vec::new(),
                    prefill: 0,
                };
                let weight_bytes = sizes::ByteSize::new(1);
                let wanted = planning::WantedModel {
                    model: model.clone(),
                    replicas,
                    members,
                    recipe,
                    weight_bytes,
                };
                self.wanted.insert(model, wanted);
            }
        }
    }

    fn edit(&mut self, vm: u64, change: impl Fn(&mut vms::VmEntry)) {
        self.vms
            .iter_mut()
            .filter(|entry| entry.name == name(vm))
            .for_each(change);
    }

    fn plan(
        &self,
        present: &placements::DataCentrePlacement,
        now: times::BootTime,
    ) -> planning::PlacementPlan {
        let numbers = present.groups().keys();
        let serving = numbers.clone().filter(|group| *group % 3 != 0);
        let serving = serving
            .map(|group| (*group, sizes::RequestCount::new(1)))
            .collect();
        let some = numbers.filter(|group| *group % 5 == 0).copied().collect();
        let input = planning::PlanInput {
            wanted: &self.wanted,
            vms: &self.vms,
            conditions: &self.conditions,
            serving: &serving,
            mismatched: &collections::BTreeSet::new(),
            ready: &some,
            seen_generation: epochs::GroupGeneration::default(),
            present,
            term: epochs::LeaseTerm::new(1),
            now,
        };
        planning::PlacementPlan::make(&input, &planning::PlannerSettings::default()).unwrap()
    }
}

/// Checks the rules of a plan that the placement's constructor does not check: a group that changes
/// gets a higher generation, and a new member is listed in the group's domain.
fn check(
    before: &placements::DataCentrePlacement,
    plan: &planning::PlacementPlan,
    fleet: &Fleet,
) -> Result<(), TestCaseError> {
    for (number, group) in plan.placement.groups() {
        let old = before.groups().get(number);
        let is_same =
            old.is_some_and(|old| (&old.members, &old.recipe) == (&group.members, &group.recipe));
        let rose = old.is_none_or(|old| group.generation > old.generation);
        prop_assert!(
            is_same || rose,
            "group {number} changed without a new generation"
        );
        for slot in &group.members {
            let is_new = old.is_none_or(|old| !old.members.contains(slot));
            let was_prepared = old
                .and_then(|old| old.successor.as_ref())
                .is_some_and(|next| next.members.contains(slot));
            let entries: Vec<_> = fleet
                .vms
                .iter()
                .filter(|entry| entry.name == slot.vm)
                .collect();
            let is_in_domain = entries.iter().any(|entry| entry.domain == group.domain);
            prop_assert!(
                !is_new || was_prepared || is_in_domain,
                "VM {} is not in domain {}",
                slot.vm,
                group.domain
            );
        }
    }
    Ok(())
}

#[test]
fn no_vm_in_two_groups_and_no_change_under_the_same_generation() {
    let config = ProptestConfig {
        cases: 60,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(prop::collection::vec(changes(), 0..6), RUNS);
    runner
        .run(&steps, |steps| {
            let mut fleet = Fleet::new();
            let mut present = placements::DataCentrePlacement::empty("dc".parse().unwrap());
            for (step, changes) in steps.iter().enumerate() {
                let now = times::BootTime::from_millis(1_000_000 + 15_000 * step as u64);
                for change in changes {
                    fleet.apply(change, now);
                }
                let plan = fleet.plan(&present, now);
                check(&present, &plan, &fleet)?;
                present = plan.placement;
                // The stored form parses to the same placement, so the constructor's checks also
                // hold for what is stored.
                let read = placements::DataCentrePlacement::parse(&present.encode());
                prop_assert_eq!(read.as_ref(), Ok(&present));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn value_that_names_a_vm_twice_is_refused() {
    let fleet = Fleet::new();
    let empty = placements::DataCentrePlacement::empty("dc".parse().unwrap());
    let plan = fleet.plan(&empty, times::BootTime::default());
    let text = String::from_utf8(plan.placement.encode()).unwrap();
    let members: Vec<_> = plan
        .placement
        .groups()
        .values()
        .flat_map(|group| &group.members)
        .collect();
    let (first, last) = (
        members[0].vm.to_string(),
        members[members.len() - 1].vm.to_string(),
    );
    let doubled = text.replace(&format!("\"{last}\""), &format!("\"{first}\""));
    let error = placements::DataCentrePlacement::parse(doubled.as_bytes()).unwrap_err();
    assert!(error.to_string().contains("already has a place"), "{error}");
}
