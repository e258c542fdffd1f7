//! Domains that are dedicated to one model. They matter when members are lost faster than new VMs
//! can load weights.

mod support;

use std::collections;

use pier_types::{epochs, ids, sizes};
use support::{LARGE, SMALL, TestFleet};

/// Creates two domains of 27 VMs, with models of 12 and 6 VMs that each have half of the work.
fn fleet_with_large_domains() -> TestFleet {
    let mut fleet = TestFleet::new(0);
    let models = &mut fleet.engine.models;
    (models[0].size, models[0].share) = (sizes::VmCount::new(12), 0.5);
    (models[1].size, models[1].share) = (sizes::VmCount::new(6), 0.5);
    for number in 0..54 {
        let domain = if number < 27 { "d0" } else { "d1" };
        fleet.add_vm_in(&format!("vm-{number:02}"), domain);
    }
    fleet
}

fn models_by_domain(
    fleet: &TestFleet,
) -> collections::BTreeMap<ids::DomainName, collections::BTreeSet<ids::ModelName>> {
    let mut models: collections::BTreeMap<_, collections::BTreeSet<_>> =
        collections::BTreeMap::new();
    for facts in fleet.facts.values().filter(|facts| !facts.is_lost) {
        if let Some(model) = &facts.standing.running {
            let known = models.entry(facts.domain.clone()).or_default();
            known.insert(model.clone());
        }
    }
    models
}

#[test]
fn large_domains_run_one_model_each_with_as_many_groups_as_shared_ones() {
    let mut fleet = fleet_with_large_domains();
    fleet.run(30);
    assert_eq!(fleet.heads(LARGE).len(), 2);
    assert_eq!(fleet.heads(SMALL).len(), 4);
    let models = models_by_domain(&fleet);
    assert!(
        models.values().all(|models| models.len() == 1),
        "{models:?}"
    );
}

#[test]
fn three_members_lost_in_one_domain_cost_no_group_and_a_fourth_costs_one() {
    let mut fleet = fleet_with_large_domains();
    fleet.run(30);
    for lost in 1..=4 {
        let head = fleet.heads(SMALL).remove(0);
        let member = fleet.members_of(&head)[2].clone();
        fleet.lose(&member);
        fleet.run(30);
        let groups = fleet.heads(SMALL).len();
        assert_eq!(groups, if lost <= 3 { 4 } else { 3 }, "after {lost}");
    }
    // The survivors of the broken group are standby VMs: five more losses cost no group.
    for _ in 0..5 {
        let head = fleet.heads(SMALL).remove(0);
        let member = fleet.members_of(&head)[2].clone();
        fleet.lose(&member);
        fleet.run(30);
        assert_eq!(fleet.heads(SMALL).len(), 3);
    }
}

#[test]
fn a_group_is_formed_again_once_enough_vms_run_its_model() {
    let mut fleet = fleet_with_large_domains();
    fleet.run(30);
    for _ in 0..4 {
        let head = fleet.heads(LARGE).remove(0);
        let member = fleet.members_of(&head)[5].clone();
        fleet.lose(&member);
        fleet.run(30);
    }
    assert_eq!(fleet.heads(LARGE).len(), 1);
    fleet.add_vm_in("vm-new", "d0");
    fleet.run(30);
    assert_eq!(fleet.heads(LARGE).len(), 2);
}

#[test]
fn a_planner_that_takes_over_keeps_the_domains_models() {
    let mut fleet = fleet_with_large_domains();
    fleet.run(30);
    let term = epochs::LeaseTerm::new(2);
    fleet.planner = pier_fleet::formation::FormationPlanner::new(term, fleet.now);
    fleet.planner.set_load_rate(None);
    for _ in 0..4 {
        let head = fleet.heads(LARGE).remove(0);
        let member = fleet.members_of(&head)[5].clone();
        fleet.lose(&member);
        fleet.run(30);
    }
    let models = models_by_domain(&fleet);
    assert!(
        models.values().all(|models| models.len() == 1),
        "{models:?}"
    );
}

#[test]
fn domains_that_hold_one_large_group_stay_shared() {
    let mut fleet = TestFleet::new(0);
    for number in 0..22 {
        let domain = if number < 11 { "d0" } else { "d1" };
        fleet.add_vm_in(&format!("vm-{number:02}"), domain);
    }
    fleet.run(30);
    assert_eq!(fleet.heads(LARGE).len(), 2);
    assert_eq!(fleet.heads(SMALL).len(), 2);
    let models = models_by_domain(&fleet);
    assert!(
        models.values().all(|models| models.len() == 2),
        "{models:?}"
    );
}
