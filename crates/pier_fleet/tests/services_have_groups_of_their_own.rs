//! Each service has groups of its own.

mod support;

use std::{collections, time};

use pier_fleet::formation;
use pier_types::{epochs, ids, times};
use support::{TestFleet, model};

/// Two services whose VMs share the clock and the planners.
struct TwoServices {
    planners: formation::ServicePlanners,
    services: collections::BTreeMap<ids::ServiceName, TestFleet>,
    now: times::BootTime,
    /// Orders to join that load weights.
    loads: usize,
}

impl TwoServices {
    fn new() -> Self {
        let now = times::BootTime::from_millis(1_000);
        Self {
            planners: formation::ServicePlanners::new(epochs::LeaseTerm::new(1), now),
            services: collections::BTreeMap::new(),
            now,
            loads: 0,
        }
    }

    /// Adds a service with VMs of its own in the same domain and a model of groups of two.
    fn add_service(&mut self, name: &str, vms: u32) {
        let mut fleet = TestFleet::new(0);
        fleet.engine.models = vec![model("m0", 2, 1.0)];
        for number in 0..vms {
            fleet.add_vm(&format!("{name}-{number}"));
        }
        self.services.insert(name.parse().unwrap(), fleet);
    }

    fn run(&mut self, steps: u32) {
        for _step in 0..steps {
            self.planners
                .retain(|service| self.services.contains_key(service));
            for (service, fleet) in &mut self.services {
                let input = formation::FormationInput {
                    facts: &fleet.facts,
                    engine: &fleet.engine,
                    in_flight: &fleet.in_flight,
                };
                for order in self.planners.plan(service, &input, self.now) {
                    let loads = matches!(
                        order.kind,
                        formation::OrderKind::Join {
                            needs_load: true,
                            ..
                        }
                    );
                    self.loads += usize::from(loads);
                    fleet.carry_out(&order);
                }
            }
            self.now = self.now.after(time::Duration::from_millis(100));
        }
    }

    fn heads(&self, service: &str) -> usize {
        let service: ids::ServiceName = service.parse().unwrap();
        self.services[&service].heads("m0").len()
    }
}

#[test]
fn services_that_are_added_and_removed_leave_the_others_alone() {
    let mut services = TwoServices::new();
    services.add_service("letters", 5);
    services.run(20);
    assert_eq!(services.heads("letters"), 2);
    services.add_service("notes", 5);
    services.run(20);
    assert_eq!((services.heads("letters"), services.heads("notes")), (2, 2));
    services.add_service("words", 3);
    services.run(20);
    let notes = services
        .services
        .remove("notes".parse::<ids::ServiceName>().as_ref().unwrap());
    services.run(20);
    assert_eq!((services.heads("letters"), services.heads("words")), (2, 1));
    // The VMs of a service that comes back keep their groups.
    services
        .services
        .insert("notes".parse().unwrap(), notes.unwrap());
    services.run(40);
    assert_eq!(services.heads("notes"), 2);
}

#[test]
fn vms_that_restart_in_one_service_are_replaced_while_another_changes() {
    let mut services = TwoServices::new();
    services.add_service("letters", 5);
    services.add_service("notes", 5);
    services.run(20);
    let letters: ids::ServiceName = "letters".parse().unwrap();
    let fleet = services.services.get_mut(&letters).unwrap();
    let head = fleet.heads("m0").remove(0);
    fleet.lose(&head);
    services.run(40);
    assert_eq!((services.heads("letters"), services.heads("notes")), (2, 2));
}

#[test]
fn weight_loads_are_limited_for_all_services_together() {
    let mut services = TwoServices::new();
    services.planners.set_load_rate(Some((1.0, 1.0)));
    services.add_service("letters", 6);
    services.add_service("notes", 6);
    services.run(50);
    assert!((3..=6).contains(&services.loads), "{}", services.loads);
}
