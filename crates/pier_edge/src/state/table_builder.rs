//! Builds the table of targets from the registrations.

use std::{collections, sync};

use pier_fleet::{documents, targets};
use pier_types::{epochs, ids, times};

use crate::{settings, state};

/// Connections that a node may always use at a target, even if its share of the service's limit is
/// smaller.
const MIN_CONNECTIONS: usize = 4;

/// The inputs of a table.
#[derive(Debug)]
pub(super) struct TableBuilder<'a> {
    pub settings: &'a settings::EdgeSettings,
    pub document: &'a documents::FleetDocument,
    pub registry: &'a targets::TargetRegistry,
    pub out_of_service: &'a collections::BTreeSet<ids::DataCentreName>,
    /// First members whose groups are about to be formed again.
    pub retiring: &'a collections::BTreeSet<ids::VmName>,
    pub pauses: &'a state::PauseTable,
    pub centre_links: &'a state::CentreLinks,
    pub limits: &'a state::LimitTable,
    pub nodes: u32,
    pub now: times::BootTime,
}

impl TableBuilder<'_> {
    /// Builds the table from the targets that accept requests; known slots keep their load counts.
    pub(super) fn build(
        &self,
        slots: &mut collections::BTreeMap<state::SlotKey, sync::Arc<state::TargetSlot>>,
    ) -> state::ServingTable {
        let mut table = state::ServingTable::default();
        let mut current = collections::BTreeSet::new();
        for record in self.registry.records().values() {
            let Some(service) = self.document.services().get(&record.entry.service) else {
                continue;
            };
            let membership = match &service.engine {
                Some(engine) if !engine.models.is_empty() => {
                    match self.group_membership(record, engine) {
                        Some(membership) => Some(membership),
                        None => continue,
                    }
                }
                _ => None,
            };
            let slot = self.slot(record, service, membership.as_ref(), slots);
            current.insert(slot.key());
            if !self.accepts_requests(record) {
                continue;
            }
            let pool = table.services.entry(service.name.clone()).or_default();
            match membership {
                Some((model, _generation)) => pool.groups.entry(model).or_default().push(slot),
                None => pool.plain.push(slot),
            }
        }
        slots.retain(|key, slot| {
            let is_current = current.contains(key);
            // A plain target that is no longer registered still finishes its requests; a group
            // that was formed again or lost a member may not.
            if !is_current && slot.model.is_some() {
                slot.report_stuck();
            }
            is_current
        });
        table
    }

    fn accepts_requests(&self, record: &targets::TargetRecord) -> bool {
        record.accepts_requests(self.now)
            && !self.out_of_service.contains(&record.entry.data_centre)
            && !self.retiring.contains(&record.entry.vm)
    }

    /// Returns the model and generation of the group whose open first member this VM is, if every
    /// member of the group can serve it.
    fn group_membership(
        &self,
        record: &targets::TargetRecord,
        engine: &documents::EngineSpec,
    ) -> Option<(ids::ModelName, epochs::GroupGeneration)> {
        let membership = record.entry.standing.membership.as_ref()?;
        let is_open = membership.rank == 0 && membership.phase == targets::GroupPhase::Open;
        let model = record.entry.standing.running.as_ref()?;
        let spec = engine.model(model).filter(|_spec| is_open)?;
        let members = self.registry.records().values().filter(|other| {
            let other_membership = other.entry.standing.membership.as_ref();
            // Groups of other data centres and services may have the same name and generation.
            let is_near = other.entry.data_centre == record.entry.data_centre
                && other.entry.service == record.entry.service;
            let same = other_membership.is_some_and(|other| {
                other.group == membership.group
                    && other.generation == membership.generation
                    && matches!(
                        other.phase,
                        targets::GroupPhase::Ready | targets::GroupPhase::Open
                    )
            });
            is_near && same && other.may_serve_group(self.now)
        });
        let size = usize::try_from(spec.size.get()).unwrap_or(usize::MAX);
        (members.count() == size).then(|| (model.clone(), membership.generation))
    }

    fn slot(
        &self,
        record: &targets::TargetRecord,
        service: &documents::ServiceSpec,
        membership: Option<&(ids::ModelName, epochs::GroupGeneration)>,
        slots: &mut collections::BTreeMap<state::SlotKey, sync::Arc<state::TargetSlot>>,
    ) -> sync::Arc<state::TargetSlot> {
        let entry = &record.entry;
        let generation = membership
            .map(|(_model, generation)| *generation)
            .unwrap_or_default();
        let key = (entry.vm.clone(), entry.standing.born, generation);
        let nodes = usize::try_from(self.nodes.max(1)).unwrap_or(1);
        let share = usize::try_from(service.connections).unwrap_or(usize::MAX) / nodes;
        let batch = service.engine.as_ref().map(|engine| engine.batch.get());
        let slot = slots.entry(key.clone()).or_insert_with(|| {
            let mut slot = state::TargetSlot::new(
                key,
                entry.address,
                membership.map(|(model, _generation)| model.clone()),
                batch.unwrap_or_else(|| entry.slots.get()).max(1),
                entry.data_centre == self.settings.data_centre,
                share.max(MIN_CONNECTIONS),
                self.limits.limit(&entry.vm, entry.standing.born),
            );
            if !slot.is_local {
                slot.centre_link = Some(self.centre_links.link(&entry.data_centre));
            }
            slot.set_pause(self.pauses.end(&entry.vm, entry.standing.born));
            sync::Arc::new(slot)
        });
        slot.set_end(record.ends_at);
        let mut cold = state::target_slot::lock(&slot.cold);
        cold.until = record.cold_until;
        cold.per_second = service.cold_per_second / f64::from(self.nodes.max(1));
        drop(cold);
        sync::Arc::clone(slot)
    }
}
