//! Simulated fabric domains whose VMs carry out orders, for tests of the planner.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod simulated_fleet;
pub mod simulated_group;

use std::{collections, time};

use pier_fleet::{documents, formation, targets};
use pier_types::{epochs, ids, sizes, times};

pub const LARGE: &str = "large";
pub const SMALL: &str = "small";

pub fn model(name: &str, size: u32, share: f64) -> documents::ModelSpec {
    documents::ModelSpec {
        name: name.parse().unwrap(),
        size: sizes::VmCount::new(size),
        share,
        pace: 1.0,
        load_time: time::Duration::from_secs(16),
        warm_time: time::Duration::from_millis(1_600),
    }
}

pub fn engine() -> documents::EngineSpec {
    documents::EngineSpec {
        batch: sizes::RequestCount::new(26),
        kv_cache_size: sizes::TokenCount::new(2_470_000),
        steps_per_pass: 6,
        step_ms: 6.45,
        request_ms: 0.0967,
        context_ms: 0.00293,
        prefill_tokens_per_ms: 56.1,
        chunk: sizes::TokenCount::new(2_048),
        mean_prompt_tokens: 1_115.0,
        mean_answer_tokens: 152.0,
        loads_per_second: 5.5,
        loads_at_once: 8,
        open_time: time::Duration::from_millis(300),
        models: vec![model(LARGE, 6, 0.67), model(SMALL, 3, 0.33)],
    }
}

/// The VMs of one or more domains, the planner and a simulated clock.
pub struct TestFleet {
    pub facts: collections::BTreeMap<ids::VmName, formation::MemberFacts>,
    pub planner: formation::FormationPlanner,
    pub engine: documents::EngineSpec,
    pub in_flight: collections::BTreeMap<ids::VmName, u32>,
    pub now: times::BootTime,
    /// All orders that the planner issued.
    pub orders: Vec<formation::GroupOrder>,
    pub born: u64,
}

impl TestFleet {
    pub fn new(count: u32) -> Self {
        let now = times::BootTime::from_millis(1_000);
        let mut fleet = Self {
            facts: collections::BTreeMap::new(),
            planner: formation::FormationPlanner::new(epochs::LeaseTerm::new(1), now),
            engine: engine(),
            in_flight: collections::BTreeMap::new(),
            now,
            orders: Vec::new(),
            born: 1,
        };
        fleet.planner.set_load_rate(None);
        for number in 0..count {
            fleet.add_vm(&format!("vm-{number:02}"));
        }
        fleet
    }

    pub fn add_vm(&mut self, name: &str) {
        self.add_vm_in(name, "d0");
    }

    pub fn add_vm_in(&mut self, name: &str, domain: &str) {
        let vm: ids::VmName = name.parse().unwrap();
        self.born += 1;
        let facts = formation::MemberFacts {
            vm: vm.clone(),
            domain: domain.parse().unwrap(),
            standing: targets::TargetStanding {
                born: epochs::VmIncarnation::new(self.born),
                ..targets::TargetStanding::default()
            },
            draining_since: None,
            is_unlisted: false,
            is_lost: false,
            is_held: false,
        };
        self.facts.insert(vm, facts);
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.after(time::Duration::from_millis(millis));
    }

    /// Runs one planning pass and returns its orders without carrying them out.
    pub fn plan(&mut self) -> Vec<formation::GroupOrder> {
        let input = formation::FormationInput {
            facts: &self.facts,
            engine: &self.engine,
            in_flight: &self.in_flight,
        };
        let orders = self.planner.plan(&input, self.now);
        self.orders.extend(orders.iter().cloned());
        orders
    }

    /// Carries out an order as a VM does, without delay.
    pub fn carry_out(&mut self, order: &formation::GroupOrder) {
        let Some(facts) = self.facts.get_mut(&order.vm) else {
            return;
        };
        let standing = &mut facts.standing;
        if facts.is_lost || standing.born != order.born || standing.orders != order.expected_orders
        {
            return;
        }
        standing.orders += 1;
        match &order.kind {
            formation::OrderKind::Join { model, members, .. } => {
                let before = standing.membership.as_ref();
                let skips_leave = before.is_some_and(|before| {
                    before.group != order.group && !before.group.as_str().contains("standby")
                });
                assert!(
                    !skips_leave,
                    "joins another group without leaving the current one: {order:?}"
                );
                let rank = members.iter().position(|vm| *vm == order.vm).unwrap();
                standing.membership = Some(targets::GroupMembership {
                    group: order.group.clone(),
                    generation: order.generation,
                    rank: u32::try_from(rank).unwrap(),
                    phase: targets::GroupPhase::Ready,
                });
                standing.running = Some(model.clone());
                standing.staged = vec![model.clone()];
            }
            formation::OrderKind::Open => {
                if let Some(membership) = &mut standing.membership {
                    membership.phase = targets::GroupPhase::Open;
                }
            }
            formation::OrderKind::Leave => standing.membership = None,
        }
    }

    /// Runs planning passes 100 ms apart and carries out their orders.
    pub fn run(&mut self, steps: u32) {
        for _step in 0..steps {
            for order in self.plan() {
                self.carry_out(&order);
            }
            self.advance(100);
        }
    }

    pub fn lose(&mut self, vm: &ids::VmName) {
        self.facts.get_mut(vm).unwrap().is_lost = true;
    }

    /// Returns the first members of a model's open groups.
    pub fn heads(&self, model: &str) -> Vec<ids::VmName> {
        let open = self.facts.values().filter(|facts| {
            let membership = facts.standing.membership.as_ref();
            let is_open =
                membership.is_some_and(|membership| membership.phase == targets::GroupPhase::Open);
            let runs = facts
                .standing
                .running
                .as_ref()
                .is_some_and(|name| name.as_str() == model);
            is_open && runs && !facts.is_lost
        });
        open.map(|facts| facts.vm.clone()).collect()
    }

    /// Returns the members of a VM's group that are not lost, by rank.
    pub fn members_of(&self, vm: &ids::VmName) -> Vec<ids::VmName> {
        let membership = self.facts[vm].standing.membership.clone().unwrap();
        let mut members: Vec<_> = self
            .facts
            .values()
            .filter(|facts| !facts.is_lost)
            .filter_map(|facts| {
                let other = facts.standing.membership.as_ref()?;
                let same =
                    other.group == membership.group && other.generation == membership.generation;
                same.then(|| (other.rank, facts.vm.clone()))
            })
            .collect();
        members.sort();
        members.into_iter().map(|(_rank, vm)| vm).collect()
    }
}
