//! Groups are formed from free VMs, repaired in place, and never share a VM.

mod support;

use std::collections;

use pier_fleet::formation;
use support::{LARGE, SMALL, TestFleet};

/// Panics if an order to join lists a VM twice, or a number of members other than the model's size
/// or one.
fn check_lists(fleet: &TestFleet) {
    for order in &fleet.orders {
        if let formation::OrderKind::Join { model, members, .. } = &order.kind {
            let distinct: collections::BTreeSet<_> = members.iter().collect();
            assert_eq!(distinct.len(), members.len(), "{order:?}");
            let spec = fleet.engine.model(model).unwrap();
            let size = usize::try_from(spec.size.get()).unwrap();
            assert!(members.len() == size || members.len() == 1, "{order:?}");
        }
    }
}

#[test]
fn eleven_vms_form_one_group_of_each_model_and_two_standby_vms() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    assert_eq!(fleet.heads(LARGE).len(), 1);
    assert_eq!(fleet.heads(SMALL).len(), 1);
    let standby = fleet.facts.values().filter(|facts| {
        let membership = facts.standing.membership.as_ref().unwrap();
        membership.group.as_str().contains("standby")
    });
    assert_eq!(standby.count(), 2);
    check_lists(&fleet);
}

#[test]
fn vms_that_register_one_after_the_other_are_not_all_given_to_the_smallest_model() {
    let mut fleet = TestFleet::new(0);
    for number in 0..11 {
        fleet.add_vm(&format!("vm-{number:02}"));
        fleet.run(1);
    }
    fleet.run(20);
    assert_eq!(fleet.heads(LARGE).len(), 1);
    assert_eq!(fleet.heads(SMALL).len(), 1);
}

#[test]
fn a_lost_member_is_replaced_by_a_standby_vm_under_the_same_name() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    let head = fleet.heads(LARGE).remove(0);
    let before = fleet.facts[&head].standing.membership.clone().unwrap();
    let lost = fleet.members_of(&head)[3].clone();
    fleet.lose(&lost);
    fleet.run(3);
    let head = fleet.heads(LARGE).remove(0);
    let after = fleet.facts[&head].standing.membership.clone().unwrap();
    assert_eq!(before.group, after.group);
    assert!(after.generation > before.generation);
    assert_eq!(fleet.members_of(&head).len(), 6);
    check_lists(&fleet);
}

#[test]
fn a_lost_first_member_is_replaced() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    let head = fleet.heads(SMALL).remove(0);
    fleet.lose(&head);
    fleet.run(3);
    let heads = fleet.heads(SMALL);
    assert_eq!(heads.len(), 1);
    assert_eq!(fleet.members_of(&heads[0]).len(), 3);
    check_lists(&fleet);
}

#[test]
fn losing_members_one_by_one_never_lists_a_vm_twice() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    for number in [4, 0, 7, 2, 9, 1] {
        let vm = format!("vm-{number:02}").parse().unwrap();
        fleet.lose(&vm);
        fleet.run(30);
        check_lists(&fleet);
    }
}

#[test]
fn a_group_opens_only_when_every_member_was_seen_ready() {
    let mut fleet = TestFleet::new(11);
    fleet.advance(1_000);
    fleet.run(1);
    fleet.advance(1_000);
    let orders = fleet.plan();
    let (last, others) = orders.split_last().unwrap();
    for order in others {
        fleet.carry_out(order);
    }
    let opened = fleet.plan();
    let names: collections::BTreeSet<_> = opened
        .iter()
        .filter(|order| order.kind == formation::OrderKind::Open)
        .map(|order| order.group.clone())
        .collect();
    assert!(!names.contains(&last.group), "{opened:?}");
}

#[test]
fn a_vm_of_another_group_leaves_it_before_it_joins() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    let head = fleet.heads(SMALL).remove(0);
    let members = fleet.members_of(&head);
    // Without standby VMs the group stays incomplete, and its survivor is used for the other
    // model.
    let standby: Vec<_> = fleet
        .facts
        .values()
        .filter(|facts| {
            !facts
                .standing
                .membership
                .as_ref()
                .unwrap()
                .group
                .as_str()
                .contains("d0")
        })
        .map(|facts| facts.vm.clone())
        .collect();
    for vm in standby.iter().chain(&members[..2]) {
        fleet.lose(vm);
    }
    fleet.run(250);
    let left = fleet
        .orders
        .iter()
        .filter(|order| order.kind == formation::OrderKind::Leave);
    assert!(left.count() > 0);
    check_lists(&fleet);
}

#[test]
fn a_planner_that_takes_over_keeps_the_reported_groups() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    let (large, small) = (fleet.heads(LARGE), fleet.heads(SMALL));
    let term = pier_types::epochs::LeaseTerm::new(2);
    fleet.planner = formation::FormationPlanner::new(term, fleet.now);
    fleet.planner.set_load_rate(None);
    let before = fleet.orders.len();
    fleet.run(30);
    assert_eq!(fleet.orders.len(), before, "{:?}", &fleet.orders[before..]);
    assert_eq!((fleet.heads(LARGE), fleet.heads(SMALL)), (large, small));
}

#[test]
fn a_partly_reported_group_is_kept_until_the_rest_registers() {
    let mut fleet = TestFleet::new(11);
    fleet.run(20);
    let all = fleet.facts.clone();
    let head = fleet.heads(LARGE).remove(0);
    let term = pier_types::epochs::LeaseTerm::new(2);
    fleet.planner = formation::FormationPlanner::new(term, fleet.now);
    fleet.facts.remove(&head);
    let before = fleet.orders.len();
    fleet.run(10);
    fleet.facts = all;
    fleet.run(20);
    assert_eq!(fleet.orders.len(), before, "{:?}", &fleet.orders[before..]);
}
