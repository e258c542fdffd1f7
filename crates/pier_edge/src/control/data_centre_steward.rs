//! The steward of one data centre: the elected node that plans its groups.

use std::{collections, time};

use pier_fleet::{documents, formation, stewards, targets};
use pier_types::{epochs, ids, times};

use super::member_client;
use crate::{control, links, state};

/// Delay before a VM that refused an order gets the next one.
pub(super) const REFUSAL_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// How long a node that has started listens before it claims the stewardship of a data centre, so
/// that nodes which start together do not all write the record.
const LISTEN_TIME: time::Duration = time::Duration::from_millis(250);

/// Plans one data centre while this node is its steward.
#[derive(Debug)]
pub(super) struct DataCentreSteward<P> {
    pub(super) state: state::EdgeState<P>,
    pub(super) client: control::MemberClient<P>,
    pub(super) data_centre: ids::DataCentreName,
    election: stewards::StewardElection,
    planners: Option<formation::ServicePlanners>,
    /// Time of the first step.
    started_at: Option<times::BootTime>,
    pub(super) liveness: control::MemberLiveness,
    /// VMs that get no orders until the given time.
    pub(super) held_until: collections::BTreeMap<ids::VmName, times::BootTime>,
    /// When this node first saw each VM draining or without a valid registration.
    draining_since: collections::BTreeMap<ids::VmName, times::BootTime>,
}

impl<P: links::FleetPlatform> DataCentreSteward<P> {
    pub(super) fn new(
        state: state::EdgeState<P>,
        client: control::MemberClient<P>,
        data_centre: ids::DataCentreName,
    ) -> Self {
        let is_local = state.settings().data_centre == data_centre;
        Self {
            election: stewards::StewardElection::new(state.node().clone(), is_local),
            state,
            client,
            data_centre,
            planners: None,
            started_at: None,
            liveness: control::MemberLiveness::default(),
            held_until: collections::BTreeMap::new(),
            draining_since: collections::BTreeMap::new(),
        }
    }

    /// Claims the stewardship if it is due and, while this node holds it, plans and sends orders.
    /// Returns the first members that take no new requests.
    pub(super) async fn step(
        &mut self,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::VmName> {
        if self.state.is_draining() || self.state.is_isolated(now) {
            self.planners = None;
            return collections::BTreeSet::new();
        }
        let local_data_centre = &self.state.settings().data_centre;
        let started_at = *self.started_at.get_or_insert(now);
        if now.since(started_at) < LISTEN_TIME {
            return collections::BTreeSet::new();
        }
        let mut view = self
            .state
            .with_peers(|peers| peers.steward_view(&self.data_centre, local_data_centre, now));
        if *local_data_centre == self.data_centre && self.state.is_steward_cut_off(now) {
            let mut reaching = self
                .state
                .with_peers(|peers| peers.nodes_reaching_store(now));
            reaching.insert(self.state.node().clone());
            if let Some(recorded) = &view.recorded {
                reaching.remove(&recorded.holder);
            }
            view = view.with_store_access(&reaching);
        }
        if self.election.should_claim(&view, now) {
            self.claim(&view).await;
            return collections::BTreeSet::new();
        }
        if !self.election.holds(&view) {
            self.planners = None;
            return collections::BTreeSet::new();
        }
        let term = view
            .recorded
            .map(|recorded| recorded.term)
            .unwrap_or_default();
        self.plan(term, now)
    }

    /// Returns whether a group is being formed.
    pub(super) fn is_forming(&self, now: times::BootTime) -> bool {
        let planners = self.planners.as_ref();
        planners.is_some_and(|planners| planners.is_forming(now))
    }

    /// Handles the end of an order to, or of a query of, one of this data centre's VMs.
    pub(super) fn handle_event(
        &mut self,
        event: &member_client::MemberEvent,
        now: times::BootTime,
    ) {
        match event {
            member_client::MemberEvent::OrderEnded { order, outcome } => {
                self.handle_outcome(order, outcome, now);
            }
            member_client::MemberEvent::QueryEnded { vm, born, report } => match report {
                Ok(report) => {
                    let standing = &report.standing;
                    if self
                        .state
                        .with_registry(|registry| registry.apply_answer(vm, standing, now))
                    {
                        self.liveness.record_answer(vm);
                    } else {
                        self.mark_lost(vm, *born, "another start answers at its address");
                    }
                }
                Err(links::QueryFault::Silent) => {
                    if self.liveness.record_silence(vm, *born, now) {
                        self.mark_lost(vm, *born, "no answer for a while");
                    }
                }
                Err(links::QueryFault::Failed(cause)) => self.mark_lost(vm, *born, cause),
            },
        }
    }

    fn handle_outcome(
        &mut self,
        order: &formation::GroupOrder,
        outcome: &links::OrderOutcome,
        now: times::BootTime,
    ) {
        self.held_until.remove(&order.vm);
        match outcome {
            links::OrderOutcome::Begun | links::OrderOutcome::Done => {
                self.liveness.record_answer(&order.vm);
                let has_begun = *outcome == links::OrderOutcome::Begun;
                self.state.with_registry(|registry| {
                    let record = registry.records().get(&order.vm);
                    let before = record.map(|record| record.entry.standing.clone());
                    let before = before.filter(|standing| {
                        standing.born == order.born && standing.orders == order.expected_orders
                    });
                    if let Some(before) = before {
                        let after = member_client::standing_after(order, &before, has_begun);
                        let _same_start = registry.apply_answer(&order.vm, &after, now);
                    }
                });
            }
            links::OrderOutcome::Unfit => {
                self.state
                    .with_registry(|registry| registry.reset_orders(&order.vm));
                self.query(&order.vm, now);
            }
            links::OrderOutcome::WrongVm => {
                self.mark_lost(&order.vm, order.born, "another VM has its address");
            }
            links::OrderOutcome::Outdated => {
                let service = self.state.with_registry(|registry| {
                    let record = registry.records().get(&order.vm)?;
                    Some(record.entry.service.clone())
                });
                if let (Some(service), Some(planners)) = (service, &mut self.planners) {
                    planners.renew_generation(&service, &order.group, order.generation);
                }
                self.query(&order.vm, now);
            }
            links::OrderOutcome::Unknown(_) => {
                self.held_until
                    .insert(order.vm.clone(), now.after(REFUSAL_BACKOFF));
            }
            links::OrderOutcome::Unreached(cause) | links::OrderOutcome::Lost(cause) => {
                if self.liveness.record_failed_order(&order.vm, order.born) {
                    log::warn!(
                        event = "member-lost",
                        target_vm:% = order.vm,
                        cause = cause.as_str();
                        ""
                    );
                }
            }
        }
    }

    /// Plans all services and sends the orders that are due.
    fn plan(
        &mut self,
        term: epochs::LeaseTerm,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::VmName> {
        let Some(document) = self.state.document() else {
            return collections::BTreeSet::new();
        };
        let engines = document.services().values().filter_map(|service| {
            let engine = service
                .engine
                .clone()
                .filter(|engine| !engine.models.is_empty())?;
            let records = self.service_records(&service.name, now);
            Some((service.name.clone(), (engine, records)))
        });
        let services: collections::BTreeMap<_, _> = engines.collect();
        let is_planned = |vm: &ids::VmName| {
            let mut services = services.values();
            services.any(|(_engine, records)| records.contains_key(vm))
        };
        self.liveness.retain(is_planned);
        self.draining_since.retain(|vm, _since| is_planned(vm));
        self.held_until.retain(|_vm, until| *until > now);
        let mut planners = self
            .planners
            .take()
            .unwrap_or_else(|| formation::ServicePlanners::new(term, now));
        planners.retain(|service| services.contains_key(service));
        let engines = services.values().map(|(engine, _records)| engine.as_ref());
        planners.set_load_rate(self.load_rate(engines, now));
        for (service, (engine, records)) in &services {
            self.query_stuck(records, now);
            self.query_forming(records, now);
            self.query_unlisted(records, now);
            self.plan_service(&mut planners, service, engine, records, now);
        }
        for vm in self.liveness.due(now) {
            let mut services = services.values();
            let record = services.find_map(|(_engine, records)| records.get(&vm));
            if let Some(record) = record {
                self.client
                    .query(vm, record.entry.standing.born, record.entry.address);
            }
        }
        let retiring = planners.retiring();
        self.planners = Some(planners);
        retiring
    }

    fn plan_service(
        &mut self,
        planners: &mut formation::ServicePlanners,
        service: &ids::ServiceName,
        engine: &documents::EngineSpec,
        records: &collections::BTreeMap<ids::VmName, targets::TargetRecord>,
        now: times::BootTime,
    ) {
        let facts = self.facts(records, now);
        let in_flight = self.in_flight();
        let input = formation::FormationInput {
            facts: &facts,
            engine,
            in_flight: &in_flight,
        };
        for order in planners.plan(service, &input, now) {
            let Some(record) = records.get(&order.vm) else {
                continue;
            };
            // Holds further orders until this one ends, or for 5 s if its end is not reported.
            self.held_until
                .insert(order.vm.clone(), now.after(time::Duration::from_secs(5)));
            self.client.order(order, record.entry.address);
        }
    }

    /// Returns this data centre's registrations of a service, including lapsed ones of VMs that
    /// may still serve in a group.
    fn service_records(
        &self,
        service: &ids::ServiceName,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, targets::TargetRecord> {
        self.state.with_registry(|registry| {
            let records = registry.records().iter();
            let selected = records.filter(|(_vm, record)| {
                record.entry.service == *service
                    && record.entry.data_centre == self.data_centre
                    && (record.is_valid(now) || is_grouped_unlisted(record, now))
            });
            selected
                .map(|(vm, record)| (vm.clone(), record.clone()))
                .collect()
        })
    }

    fn facts(
        &mut self,
        records: &collections::BTreeMap<ids::VmName, targets::TargetRecord>,
        now: times::BootTime,
    ) -> collections::BTreeMap<ids::VmName, formation::MemberFacts> {
        let mut facts = collections::BTreeMap::new();
        for (vm, record) in records {
            let Some(domain) = &record.entry.standing.domain else {
                continue;
            };
            let is_unlisted = !record.is_valid(now);
            let is_leaving = record.entry.is_draining || is_unlisted;
            let draining_since =
                is_leaving.then(|| *self.draining_since.entry(vm.clone()).or_insert(now));
            if !is_leaving {
                self.draining_since.remove(vm);
            }
            let member = formation::MemberFacts {
                vm: vm.clone(),
                domain: domain.clone(),
                standing: record.entry.standing.clone(),
                draining_since,
                is_unlisted,
                is_lost: self.liveness.is_lost(vm, record.entry.standing.born),
                is_held: self.held_until.contains_key(vm),
            };
            facts.insert(vm.clone(), member);
        }
        facts
    }

    fn in_flight(&self) -> collections::BTreeMap<ids::VmName, u32> {
        let slots = self.state.slots();
        let counts = slots.iter().map(|slot| {
            let count = slot.gauge.running() + slot.gauge.waiting();
            (slot.vm.clone(), count)
        });
        counts.collect()
    }

    /// Returns this data centre's rate and burst of weight loads; `None`, for no limit, before any
    /// request was served. The services load from one store, so that the lowest of their rates holds
    /// for all of them together.
    fn load_rate<'a>(
        &self,
        engines: impl Iterator<Item = &'a documents::EngineSpec>,
        now: times::BootTime,
    ) -> Option<(f64, f64)> {
        let has_served =
            self.state.has_served() || self.state.with_peers(|peers| peers.has_served(now));
        if !has_served {
            return None;
        }
        let centres = self.state.settings().data_centres.len().max(1) as f64;
        let rates = engines.map(|engine| engine.loads_per_second);
        let per_second = rates.reduce(f64::min)? / centres;
        Some((per_second, per_second.max(1.0)))
    }
}

/// Returns whether a VM may still serve in its group although its registration has ended.
fn is_grouped_unlisted(record: &targets::TargetRecord, now: times::BootTime) -> bool {
    let membership = record.entry.standing.membership.as_ref();
    let is_ready = membership.is_some_and(|membership| {
        matches!(
            membership.phase,
            targets::GroupPhase::Ready | targets::GroupPhase::Open
        )
    });
    is_ready && record.may_serve_group(now)
}
