//! Simulates a data centre under one policy.

use std::{collections, time};

use pier_control::{health, leases, loads, orders, placements, planning};
use pier_types::{epochs, ids, times, vms};

use crate::{
    fleet_event, placement_policy, sim_vm, study_bound, study_models, study_rates, study_totals,
};

/// An action that is due at a later second.
#[derive(Debug, Clone)]
enum ScheduledAction {
    Unlist(ids::VmName),
    Add(usize),
    Restart(Vec<ids::VmName>),
    Replan,
}

/// A simulated data centre.
pub struct StudyFleet {
    policy: placement_policy::PlacementPolicy,
    small_groups: u32,
    vms: collections::BTreeMap<ids::VmName, sim_vm::SimVm>,
    scheduled: collections::BTreeMap<u64, Vec<ScheduledAction>>,
    next_vm: u64,
    wanted: collections::BTreeMap<ids::ModelName, planning::WantedModel>,
    placement: placements::DataCentrePlacement,
    health: health::HealthMonitor,
    queue: loads::LoadQueue,
    orders: orders::OrderPlanner,
    /// The statistics of the run.
    pub totals: study_totals::StudyTotals,
}

impl StudyFleet {
    /// Creates a data centre with the given number of wanted small groups, whose VMs are all up and
    /// have empty engines.
    pub fn new(policy: placement_policy::PlacementPolicy, small_groups: u32) -> Self {
        let models = [
            (
                "large",
                study_rates::LARGE_GROUPS,
                study_rates::LARGE_MEMBERS,
            ),
            ("small", small_groups, study_rates::SMALL_MEMBERS),
        ];
        let mut fleet = Self {
            policy,
            small_groups,
            vms: collections::BTreeMap::new(),
            scheduled: collections::BTreeMap::new(),
            next_vm: 0,
            wanted: models.into_iter().map(study_models::wanted_model).collect(),
            placement: placements::DataCentrePlacement::empty("dc".parse().unwrap()),
            health: health::HealthMonitor::new(health::HealthSettings::default()),
            queue: loads::LoadQueue::new(loads::LoadSettings::default()),
            orders: orders::OrderPlanner::new(orders::OrderSettings::default()),
            totals: study_totals::StudyTotals::default(),
        };
        for (domain, size) in study_rates::DOMAIN_SIZES.into_iter().enumerate() {
            (0..size).for_each(|_vm| fleet.add_vm(domain));
        }
        fleet
    }

    /// Runs the simulation until `end`, in seconds. The first hour, in which all groups form, has
    /// no events and is not counted.
    pub fn run(
        &mut self,
        events: &collections::BTreeMap<u64, Vec<fleet_event::FleetEvent>>,
        end: u64,
    ) {
        let mut now = 0;
        let mut changed_at = 0;
        while now < end {
            let due: Vec<_> = events
                .range(now.saturating_sub(study_rates::STEP_SECONDS - 1)..=now)
                .collect();
            let has_events = !due.is_empty() && now >= study_totals::WARM_UP_SECONDS;
            if has_events {
                due.into_iter()
                    .flat_map(|(_second, events)| events)
                    .for_each(|event| self.apply(*event, now));
            }
            let has_run = self.run_scheduled(now);
            if self.step(now) || has_events || has_run {
                changed_at = now;
            }
            let mut next = now + study_rates::STEP_SECONDS;
            if now - changed_at > study_rates::QUIET_SECONDS {
                let event = events
                    .range(now + 1..)
                    .next()
                    .map(|(second, _events)| *second);
                let action = self.scheduled.keys().next().copied();
                let wake = event
                    .into_iter()
                    .chain(action)
                    .min()
                    .unwrap_or(end)
                    .min(end);
                next = wake.next_multiple_of(study_rates::STEP_SECONDS).max(next);
            }
            self.count(now, next);
            now = next;
        }
    }

    fn add_vm(&mut self, domain: usize) {
        let vm = sim_vm::SimVm::new(self.next_vm, domain);
        self.next_vm += 1;
        self.vms.insert(vm.entry.name.clone(), vm);
    }

    fn schedule(&mut self, second: u64, action: ScheduledAction) {
        let second = second.next_multiple_of(study_rates::STEP_SECONDS);
        self.scheduled.entry(second).or_default().push(action);
    }

    /// Applies an event and schedules what follows from it.
    fn apply(&mut self, event: fleet_event::FleetEvent, now: u64) {
        let staying = self
            .vms
            .values()
            .filter(|vm| vm.is_up && vm.entry.state == vms::VmState::Live);
        let names: Vec<_> = staying.map(|vm| vm.entry.name.clone()).collect();
        let chosen =
            |number: u64| names[usize::try_from(number % names.len() as u64).unwrap()].clone();
        match event {
            fleet_event::FleetEvent::Failure(number) => {
                let name = chosen(number);
                let vm = self.vms.get_mut(&name).unwrap();
                vm.is_up = false;
                let domain = domain_of(vm);
                self.schedule(
                    now + study_rates::LIST_LAG_SECONDS,
                    ScheduledAction::Unlist(name),
                );
                self.schedule(
                    now + study_rates::FAILED_VM_GAP_SECONDS,
                    ScheduledAction::Add(domain),
                );
            }
            fleet_event::FleetEvent::Replacement(number) => {
                let name = chosen(number);
                let vm = self.vms.get_mut(&name).unwrap();
                vm.entry.state = vms::VmState::Leaving;
                let domain = domain_of(vm);
                self.schedule(
                    now + study_rates::NOTICE_SECONDS,
                    ScheduledAction::Unlist(name),
                );
                self.schedule(
                    now + study_rates::NOTICE_SECONDS + study_rates::REPLACED_VM_GAP_SECONDS,
                    ScheduledAction::Add(domain),
                );
            }
            fleet_event::FleetEvent::Outage(number) => {
                let domain =
                    usize::try_from(number % study_rates::DOMAIN_SIZES.len() as u64).unwrap();
                let failed = self
                    .vms
                    .values_mut()
                    .filter(|vm| vm.is_up && domain_of(vm) == domain);
                let names = failed.map(|vm| {
                    vm.is_up = false;
                    vm.entry.name.clone()
                });
                let names = names.collect();
                self.schedule(now + study_rates::REPLAN_SECONDS, ScheduledAction::Replan);
                self.schedule(
                    now + study_rates::OUTAGE_SECONDS,
                    ScheduledAction::Restart(names),
                );
            }
        }
    }

    /// Performs the scheduled actions that are due, and returns whether there were any.
    fn run_scheduled(&mut self, now: u64) -> bool {
        let Some(due) = self.scheduled.remove(&now) else {
            return false;
        };
        for action in due {
            match action {
                ScheduledAction::Unlist(name) => drop(self.vms.remove(&name)),
                ScheduledAction::Add(domain) => self.add_vm(domain),
                ScheduledAction::Replan => {}
                ScheduledAction::Restart(names) => {
                    for name in names {
                        self.vms
                            .get_mut(&name)
                            .into_iter()
                            .for_each(sim_vm::SimVm::restart);
                    }
                }
            }
        }
        true
    }

    /// Runs one step of loads, probes, the planner and orders, and returns whether anything
    /// changed.
    fn step(&mut self, second: u64) -> bool {
        let now = times::BootTime::from_millis((1_000 + second) * 1_000);
        let is_loading = self.read_weights();
        self.vms.values_mut().for_each(|vm| vm.probe(now));
        let evidence = self
            .vms
            .iter()
            .map(|(name, vm)| (name.clone(), vm.evidence.clone()))
            .collect();
        let entries: Vec<_> = self.vms.values().map(|vm| vm.entry.clone()).collect();
        let settings = health::HealthSettings::default();
        let conditions =
            health::vm_conditions(&evidence, &collections::BTreeMap::new(), now, &settings);
        let view = self.health.observe(&self.placement, &evidence, now);
        let placement = self.policy.plan(&planning::PlanInput {
            wanted: &self.wanted,
            vms: &entries,
            conditions: &conditions,
            serving: &view.loads(),
            mismatched: &view.mismatched,
            ready: &view.ready,
            seen_generation: self.orders.seen_generation(),
            present: &self.placement,
            term: epochs::LeaseTerm::new(1),
            now,
        });
        let is_changed = placement.groups() != self.placement.groups();
        self.placement = placement;
        let view = self.health.observe(&self.placement, &evidence, now);
        let wanted = &self.wanted;
        let admitted = self.queue.admit(&loads::LoadInput {
            placement: &self.placement,
            wanted,
            evidence: &evidence,
            view: &view,
            now,
        });
        let term = epochs::LeaseTerm::new(1);
        let grant = leases::LeaseGrant {
            term,
            until: now.after(time::Duration::from_secs(5)),
        };
        let input = orders::OrderInput {
            placement: &self.placement,
            vms: &entries,
            evidence: &evidence,
            admitted: &admitted,
            grant: Some(grant),
            now,
        };
        let due = self.orders.due(&input);
        for order in &due {
            let body = order
                .body(Some(grant), now, self.orders.settings())
                .unwrap();
            self.vms
                .get_mut(&order.vm)
                .unwrap()
                .obey(body, study_rates::WEIGHT_BYTES);
        }
        self.totals
            .update(&self.wanted, &self.placement, &view, &self.vms);
        let unavoidable = study_bound::missing_groups(&self.vms, self.small_groups);
        self.totals.set_unavoidable(unavoidable);
        is_loading || is_changed || !due.is_empty()
    }

    /// Advances the engines' weight loads by one step, and returns whether any engine is loading.
    fn read_weights(&mut self) -> bool {
        let rates = loads::LoadSettings::default();
        let loading: Vec<_> = self
            .vms
            .values_mut()
            .filter(|vm| vm.is_up && vm.bytes_left > 0)
            .collect();
        let share = rates.store_rate.get() / (loading.len() as u64).max(1);
        let read = share.min(rates.vm_rate.get()) * study_rates::STEP_SECONDS;
        let is_loading = !loading.is_empty();
        for vm in loading {
            self.totals.bytes_read += read.min(vm.bytes_left);
            vm.bytes_left = vm.bytes_left.saturating_sub(read);
        }
        is_loading
    }

    fn count(&mut self, now: u64, next: u64) {
        if now >= study_totals::WARM_UP_SECONDS {
            self.totals.add(next - now);
        }
    }
}

fn domain_of(vm: &sim_vm::SimVm) -> usize {
    vm.entry
        .domain
        .as_str()
        .trim_start_matches("domain")
        .parse()
        .unwrap()
}
