//! The planners of the services of one data centre.

use std::collections;

use pier_types::{epochs, ids, times};

use crate::{budgets, formation};

/// Plans the groups of each service by a planner of its own, so that the VMs of one service mean
/// nothing to the groups of another.
///
/// What is one for all services is kept here: the budget of weight loads, as the weights come from one
/// store, and the last generation, so that a service that is removed and added again in one term does
/// not begin with generations that its VMs have seen.
#[derive(Debug, Clone)]
pub struct ServicePlanners {
    term: epochs::LeaseTerm,
    planners: collections::BTreeMap<ids::ServiceName, formation::FormationPlanner>,
    load_rate: Option<(f64, f64)>,
    load_budget: budgets::LoadBudget,
    last_generation: u64,
}

impl ServicePlanners {
    /// Creates the planners of a term.
    pub const fn new(term: epochs::LeaseTerm, now: times::BootTime) -> Self {
        Self {
            term,
            planners: collections::BTreeMap::new(),
            load_rate: None,
            load_budget: budgets::LoadBudget::new(now),
            last_generation: 0,
        }
    }

    /// Sets the rate per second and burst of the weight loads of all services together. `None` means
    /// that loads are not limited yet.
    pub const fn set_load_rate(&mut self, rate: Option<(f64, f64)>) {
        self.load_rate = rate;
    }

    /// Drops the planners of services that form no groups any more.
    pub fn retain(&mut self, is_planned: impl Fn(&ids::ServiceName) -> bool) {
        self.planners
            .retain(|service, _planner| is_planned(service));
    }

    /// Returns the orders that are due to the VMs of a service.
    pub fn plan(
        &mut self,
        service: &ids::ServiceName,
        input: &formation::FormationInput<'_>,
        now: times::BootTime,
    ) -> Vec<formation::GroupOrder> {
        let planner = self
            .planners
            .entry(service.clone())
            .or_insert_with(|| formation::FormationPlanner::new(self.term, now));
        planner.load_budget = self.load_budget;
        planner.last_generation = planner.last_generation.max(self.last_generation);
        planner.set_load_rate(self.load_rate);
        let orders = planner.plan(input, now);
        self.load_budget = planner.load_budget;
        self.last_generation = planner.last_generation;
        orders
    }

    /// Returns the first members of groups that are about to be re-formed and accept no new
    /// requests.
    pub fn retiring(&self) -> collections::BTreeSet<ids::VmName> {
        let planners = self.planners.values();
        planners
            .flat_map(formation::FormationPlanner::retiring)
            .collect()
    }

    /// Returns whether a group was formed recently and not yet ordered to open.
    pub fn is_forming(&self, now: times::BootTime) -> bool {
        let mut planners = self.planners.values();
        planners.any(|planner| planner.is_forming(now))
    }

    /// Assigns a new generation to a group of a service, after a VM refused an order of generation
    /// `refused` because it has seen a later one.
    pub fn renew_generation(
        &mut self,
        service: &ids::ServiceName,
        group: &ids::GroupName,
        refused: epochs::GroupGeneration,
    ) {
        let Some(planner) = self.planners.get_mut(service) else {
            return;
        };
        planner.last_generation = planner.last_generation.max(self.last_generation);
        planner.raise_generation(refused);
        planner.renew_generation(group);
        self.last_generation = planner.last_generation;
    }
}
