//! Applies the records of the store.

use std::{collections, sync, time};

use pier_fleet::{documents, targets};
use pier_types::{epochs, ids, times};

use crate::{crashes, links, peers, records, state};

/// Applies records of all kinds to the state of the node.
#[derive(Debug, Clone)]
pub(crate) struct RecordApplier<P> {
    state: state::EdgeState<P>,
}

impl<P: links::FleetPlatform> RecordApplier<P> {
    pub(crate) const fn new(state: state::EdgeState<P>) -> Self {
        Self { state }
    }

    /// Applies a complete list.
    pub(crate) fn apply_list(
        &self,
        kind: links::RecordKind,
        list: links::RecordList,
        now: times::BootTime,
    ) {
        match kind {
            links::RecordKind::Targets => {
                let entries = list
                    .records
                    .into_iter()
                    .filter_map(|record| match record.content {
                        links::RecordContent::Target(entry) => Some(*entry),
                        other => {
                            log_unreadable(kind, &record.name, &other);
                            None
                        }
                    });
                let entries = entries.collect();
                self.state
                    .with_registry(|registry| registry.replace(entries, list.at, now));
                self.state.start_up().set_listed();
                self.targets_changed(now);
            }
            links::RecordKind::OutOfService => {
                let listed = list.records.into_iter().filter_map(out_of_service_centre);
                self.replace_out_of_service(listed.collect(), now);
            }
            links::RecordKind::Document | links::RecordKind::Nodes => {
                for record in list.records {
                    self.apply_record(kind, record, list.at, now);
                }
                if kind == links::RecordKind::Nodes {
                    self.state.start_up().set_nodes_read(now);
                }
            }
        }
    }

    /// Applies what the steward has read of the store.
    pub(crate) fn apply_snapshot(&self, snapshot: peers::StoreSnapshot, now: times::BootTime) {
        self.replace_out_of_service(snapshot.out_of_service, now);
        self.state
            .with_registry(|registry| registry.replace(snapshot.targets, snapshot.at, now));
        self.state
            .with_follower(|follower| follower.set_version(snapshot.at));
        self.state.start_up().set_listed();
        self.targets_changed(now);
    }

    /// Puts a document into force unless the current one is as new or newer.
    pub(crate) fn apply_document(
        &self,
        document: sync::Arc<documents::FleetDocument>,
        now: times::BootTime,
    ) {
        let version = document.version();
        if self.state.set_document(document) {
            log::info!(event = "document-in-force", version:% = version; "");
            self.state.metrics().set_document_version(version.get());
            self.state.rebuild(now);
        }
    }

    /// Applies changes in order.
    pub(crate) fn apply_changes(
        &self,
        kind: links::RecordKind,
        changes: links::RecordChanges,
        now: times::BootTime,
    ) {
        let (count, read_at) = (changes.changes.len(), changes.at);
        for change in changes.changes {
            match change {
                links::RecordChange::Put(record) => self.apply_record(kind, record, read_at, now),
                links::RecordChange::Gone(name) => self.apply_removal(kind, &name, read_at, now),
            }
        }
        if kind == links::RecordKind::Targets && count > 0 {
            self.targets_changed(now);
        }
    }

    /// Applies a relay message. Its records of stewards always count; the rest is dropped unless
    /// the sender is the current steward of this data centre.
    pub(crate) fn apply_relay(
        &self,
        beat: peers::RelayBeat,
        notes: peers::RelayNotes,
        now: times::BootTime,
    ) {
        let local_data_centre = &self.state.settings().data_centre;
        for (data_centre, record, version) in &beat.stewards {
            self.set_steward(data_centre.clone(), record.clone(), *version, now);
        }
        let steward = self
            .state
            .with_peers(|peers| peers.steward(local_data_centre).cloned());
        if beat.data_centre != *local_data_centre || steward.as_ref() != Some(&beat.node) {
            return;
        }
        let out_of_service = beat.out_of_service.iter().cloned().collect();
        let was_following = self.state.is_following(now);
        if let Some(returned_at) = self.relayed_return(&beat, notes.outages, now) {
            self.record_store_return(links::RecordKind::Targets, returned_at);
        }
        let (document, read_at) = (notes.document, beat.to);
        let changes = self
            .state
            .with_follower(|follower| follower.apply_beat(beat, document, now));
        if was_following {
            self.set_out_of_service(out_of_service, now);
        }
        let has_changes = !changes.is_empty();
        for change in changes {
            match change {
                peers::TargetChange::Put(entry) => self.put_target(*entry, read_at, now),
                peers::TargetChange::Gone(vm) => {
                    self.apply_removal(links::RecordKind::Targets, vm.as_str(), read_at, now);
                }
            }
        }
        if has_changes {
            self.targets_changed(now);
        }
        let is_behind = self.state.with_follower(|follower| follower.is_behind());
        let local = self.state.document().map(|document| document.version());
        let is_newer = document.is_some_and(|version| Some(version) > local);
        if is_behind || is_newer {
            self.state.notify_relay_gap();
        }
    }

    /// Returns when the store came back after an outage according to a steward, whose answers of the
    /// store may also be late without one.
    fn relayed_return(
        &self,
        beat: &peers::RelayBeat,
        outages: Option<peers::OutageFields>,
        now: times::BootTime,
    ) -> Option<times::BootTime> {
        let Some(outages) = outages else {
            let is_shown = self
                .state
                .with_follower(|follower| follower.shows_return(beat));
            return is_shown.then_some(now);
        };
        let age_ms = outages.store_return_age_ms?;
        Some(now.before(time::Duration::from_millis(age_ms)))
    }

    /// Records that the store answers again after an outage.
    pub(crate) fn record_store_return(
        &self,
        kind: links::RecordKind,
        returned_at: times::BootTime,
    ) {
        if kind == links::RecordKind::Targets {
            self.state
                .with_registry(|registry| registry.note_store_return(returned_at));
        }
    }

    fn targets_changed(&self, now: times::BootTime) {
        self.state.with_registry(|registry| {
            self.state.crashes().confirm_losses(registry, now);
        });
        self.state.rebuild(now);
        self.state.notify_registry_change();
    }

    fn apply_record(
        &self,
        kind: links::RecordKind,
        record: links::StoreRecord,
        read_at: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        match record.content {
            links::RecordContent::Target(entry) => {
                self.put_target(*entry, read_at, now);
            }
            links::RecordContent::Document(document) => {
                self.apply_document(document, now);
            }
            links::RecordContent::OutOfService(data_centre) => {
                let mut out_of_service = (*self.state.out_of_service()).clone();
                out_of_service.insert(data_centre);
                self.set_out_of_service(out_of_service, now);
            }
            links::RecordContent::Node(text) => {
                self.apply_node(&record.name, record.version, &text, now);
            }
            other @ links::RecordContent::Unreadable(_) => {
                log_unreadable(kind, &record.name, &other);
                if kind == links::RecordKind::Targets {
                    self.apply_removal(kind, &record.name, read_at, now);
                }
            }
        }
    }

    fn put_target(
        &self,
        entry: targets::TargetEntry,
        read_at: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        if entry.is_draining {
            log::info!(event = "target-leaving", target_vm:% = entry.vm; "");
        }
        log::debug!(
            event = "target-registered",
            target_vm:% = entry.vm,
            born:% = entry.standing.born,
            membership:? = entry.standing.membership,
            cold_ms = u64::try_from(entry.cold_left.as_millis()).unwrap_or(u64::MAX);
            ""
        );
        self.state
            .with_registry(|registry| registry.put(entry, read_at, now));
    }

    fn apply_removal(
        &self,
        kind: links::RecordKind,
        name: &str,
        read_at: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        match kind {
            links::RecordKind::Targets => {
                if let Ok(vm) = name.parse::<ids::VmName>() {
                    log::info!(event = "target-gone", target_vm:% = vm; "");
                    self.state
                        .with_registry(|registry| registry.remove(&vm, read_at, now));
                }
            }
            links::RecordKind::OutOfService => {
                let mut out_of_service = (*self.state.out_of_service()).clone();
                out_of_service.retain(|data_centre| data_centre.as_str() != name);
                self.set_out_of_service(out_of_service, now);
            }
            links::RecordKind::Document | links::RecordKind::Nodes => {}
        }
    }

    /// Applies a complete list of the data centres out of service. While marks may be missing from it,
    /// the known ones stay.
    fn replace_out_of_service(
        &self,
        mut out_of_service: collections::BTreeSet<ids::DataCentreName>,
        now: times::BootTime,
    ) {
        if self.state.is_catching_up(now) {
            out_of_service.extend(self.state.out_of_service().iter().cloned());
        }
        self.set_out_of_service(out_of_service, now);
    }

    fn set_out_of_service(
        &self,
        out_of_service: collections::BTreeSet<ids::DataCentreName>,
        now: times::BootTime,
    ) {
        if *self.state.out_of_service() != out_of_service {
            log::info!(event = "data-centres-out-of-service", centres:? = out_of_service; "");
            self.state.set_out_of_service(out_of_service);
            self.state.rebuild(now);
        }
    }

    fn apply_node(
        &self,
        name: &str,
        version: epochs::ObjectVersion,
        text: &str,
        now: times::BootTime,
    ) {
        let failure = if name == records::CRASH_RECORD {
            let record = crashes::CrashRecord::parse(text);
            let wall_now = times::clocks::wall_now();
            let ledger = self.state.crashes();
            let should_forward = self.state.is_first_reader(now);
            ledger.apply_record(version, record, now, wall_now, should_forward);
            None
        } else if let Some(centre) = name.strip_prefix(records::STEWARD_PREFIX) {
            self.apply_steward(centre, version, text, now).err()
        } else {
            let record = serde_json::from_str::<peers::NodeRecord>(text);
            let applied = record.map(|record| {
                self.state
                    .with_peers(|peers| peers.apply_record(record, now));
            });
            applied.err().map(anyhow::Error::from)
        };
        if let Some(failure) = failure {
            log::warn!(event = "node-record-unreadable", record = name, cause:% = failure; "");
        }
    }

    fn apply_steward(
        &self,
        centre: &str,
        version: epochs::ObjectVersion,
        text: &str,
        now: times::BootTime,
    ) -> anyhow::Result<()> {
        let data_centre: ids::DataCentreName = centre.parse()?;
        let record: peers::StewardRecord = serde_json::from_str(text)?;
        self.set_steward(data_centre, record, version, now);
        Ok(())
    }

    fn set_steward(
        &self,
        data_centre: ids::DataCentreName,
        record: peers::StewardRecord,
        version: epochs::ObjectVersion,
        now: times::BootTime,
    ) {
        let (centre, holder, term) = (data_centre.clone(), record.holder.clone(), record.term);
        let is_newer = self
            .state
            .with_peers(|peers| peers.set_steward(data_centre.clone(), record, version));
        if is_newer {
            // The first list may hold the record of a steward that has ended since.
            if self.state.start_up().has_read_nodes() {
                self.state
                    .with_peers(|peers| peers.note_claim(data_centre, now));
            }
            log::info!(
                event = "steward-known",
                data_centre:% = centre,
                holder:% = holder,
                term:% = term;
                ""
            );
            self.state.notify_registry_change();
        }
    }
}

fn out_of_service_centre(record: links::StoreRecord) -> Option<ids::DataCentreName> {
    match record.content {
        links::RecordContent::OutOfService(data_centre) => Some(data_centre),
        other => {
            log_unreadable(links::RecordKind::OutOfService, &record.name, &other);
            None
        }
    }
}

fn log_unreadable(kind: links::RecordKind, name: &str, content: &links::RecordContent) {
    if let links::RecordContent::Unreadable(reason) = content {
        log::warn!(
            event = "record-unreadable",
            kind = kind.label(),
            record = name,
            cause = reason.as_str();
            ""
        );
    }
}
