//! A planner that takes over learns from the members which model a group runs.

mod support;

use std::collections;

use pier_fleet::{formation, targets};
use pier_types::epochs;
use support::{TestFleet, model};

/// Creates a fleet with two models, of groups of three and of two.
fn fleet_with_models(names: [&str; 2], domains: &[(&str, u32)]) -> TestFleet {
    let mut fleet = TestFleet::new(0);
    fleet.engine.models = vec![model(names[0], 3, 0.4), model(names[1], 2, 0.6)];
    for (domain, count) in domains {
        for number in 0..*count {
            fleet.add_vm_in(&format!("vm-{domain}-{number}"), domain);
        }
    }
    fleet.run(20);
    fleet
}

/// Replaces the planner, and returns the orders of its first three seconds.
fn take_over(fleet: &mut TestFleet) -> Vec<formation::GroupOrder> {
    fleet.planner = formation::FormationPlanner::new(epochs::LeaseTerm::new(2), fleet.now);
    fleet.planner.set_load_rate(None);
    let before = fleet.orders.len();
    fleet.run(30);
    fleet.orders[before..].to_vec()
}

fn memberships(fleet: &TestFleet) -> Vec<Option<targets::GroupMembership>> {
    let facts = fleet.facts.values();
    facts
        .map(|facts| facts.standing.membership.clone())
        .collect()
}

#[track_caller]
fn check_take_over(names: [&str; 2], domains: &[(&str, u32)]) {
    let mut fleet = fleet_with_models(names, domains);
    for name in names {
        assert_eq!(
            fleet.heads(name).len(),
            1,
            "{name}: {:?}",
            memberships(&fleet)
        );
    }
    let before = memberships(&fleet);
    assert_eq!(take_over(&mut fleet), []);
    assert_eq!(memberships(&fleet), before);
}

#[test]
fn a_model_whose_name_begins_with_that_of_another_keeps_its_groups() {
    check_take_over(["draft", "draft-long"], &[("d0", 7)]);
    check_take_over(["draft-long", "draft"], &[("d0", 7)]);
}

#[test]
fn names_with_the_word_for_standby_vms_are_those_of_groups() {
    check_take_over(["a-standby-b", "standby"], &[("d-standby-0", 7)]);
}

#[test]
fn names_that_are_long_together_name_groups() {
    let (left, right) = ("m".repeat(120), format!("{}x", "m".repeat(120)));
    check_take_over([&left, &right], &[(&"d".repeat(40), 7)]);
}

#[test]
fn groups_whose_members_all_join_keep_their_model() {
    let mut fleet = fleet_with_models(["draft", "draft-long"], &[("d0", 7)]);
    // A member may report the model of its last group while it joins.
    for facts in fleet.facts.values_mut() {
        if let Some(membership) = &mut facts.standing.membership {
            membership.phase = targets::GroupPhase::Joining;
            facts.standing.running = None;
        }
    }
    assert_eq!(take_over(&mut fleet), []);
}

#[test]
fn the_members_report_counts_for_more_than_the_name() {
    let mut fleet = fleet_with_models(["draft", "draft-long"], &[("d0", 7)]);
    for facts in fleet.facts.values_mut() {
        if let Some(membership) = &mut facts.standing.membership
            && facts
                .standing
                .running
                .as_ref()
                .is_some_and(|name| name.as_str() == "draft-long")
        {
            membership.group = format!("draft-{}", membership.group).parse().unwrap();
        }
    }
    let before = memberships(&fleet);
    assert_eq!(take_over(&mut fleet), []);
    assert_eq!(memberships(&fleet), before);
}

#[test]
fn groups_of_different_domains_have_different_names() {
    let domains = [("c", 3), ("b-c", 3)];
    let mut fleet = fleet_with_models(["a", "a-b"], &domains);
    // The next planner forms groups of one domain while the other one's are not complete yet.
    let hidden: collections::BTreeMap<_, _> = fleet
        .facts
        .iter()
        .filter(|(vm, _facts)| vm.as_str().ends_with("-0"))
        .map(|(vm, facts)| (vm.clone(), facts.clone()))
        .collect();
    for vm in hidden.keys() {
        fleet.facts.remove(vm);
    }
    take_over(&mut fleet);
    fleet.facts.extend(hidden);
    fleet.run(60);
    let mut names: collections::BTreeMap<_, collections::BTreeSet<_>> =
        collections::BTreeMap::new();
    for facts in fleet.facts.values() {
        if let Some(membership) = &facts.standing.membership {
            let key = membership.group.clone();
            names.entry(key).or_default().insert(facts.domain.clone());
        }
    }
    assert!(
        names.values().all(|domains| domains.len() == 1),
        "{names:?}"
    );
}
