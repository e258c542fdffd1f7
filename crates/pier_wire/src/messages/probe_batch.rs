//! A complete reply to a probe pull.

use std::time;

use pier_types::{ids, reports};
use serde::{Deserialize, Serialize};

use crate::messages;

/// Answers a pull. Names that occur in several results are stored once, in lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeBatch {
    /// The number of the pull that this answers.
    pub pull: u64,
    /// The data centres of the groups; entries refer to them by position.
    pub data_centres: Vec<ids::DataCentreName>,
    /// The models; entries refer to them by position.
    pub models: Vec<ids::ModelName>,
    /// The probe results.
    pub entries: Vec<messages::ProbeEntry>,
}

impl ProbeBatch {
    /// Packs results; drops those whose names would make a list longer than 256 entries.
    pub fn pack(pull: u64, results: &[messages::ProbeResult]) -> Self {
        let mut batch = Self {
            pull,
            data_centres: Vec::new(),
            models: Vec::new(),
            entries: Vec::with_capacity(results.len()),
        };
        for result in results {
            if let Some(entry) = batch.pack_result(result) {
                batch.entries.push(entry);
            }
        }
        batch
    }

    /// Returns the digest of the fields that do not change with each probe.
    pub fn digest(&self) -> messages::BatchDigest {
        let mut stable = Self {
            pull: 0,
            ..self.clone()
        };
        for entry in &mut stable.entries {
            messages::LoadEntry::zero().apply_to(entry);
        }
        // Encoding names and numbers cannot fail.
        let encoded = postcard::to_stdvec(&stable).unwrap_or_default();
        messages::BatchDigest::of(&encoded)
    }

    /// Returns only the fields that change with each probe, for a requester that has the others.
    pub fn loads(&self) -> messages::LoadBatch {
        messages::LoadBatch {
            pull: self.pull,
            digest: self.digest(),
            entries: self.entries.iter().map(messages::LoadEntry::of).collect(),
        }
    }

    /// Returns the reply to a requester that has a batch with the digest `known`: only the fields
    /// that change with each probe if the digest is unchanged and they fit one datagram, otherwise
    /// the whole batch.
    pub fn reply(self, known: Option<messages::BatchDigest>) -> messages::PeerMessage {
        if known == Some(self.digest()) {
            let loads = messages::PeerMessage::LoadBatch(self.loads());
            if loads.fits() {
                return loads;
            }
        }
        messages::PeerMessage::ProbeBatch(self)
    }

    /// Returns this batch with updated loads; none if the loads belong to another batch.
    pub fn with_loads(&self, loads: &messages::LoadBatch) -> Option<Self> {
        if loads.entries.len() != self.entries.len() || loads.digest != self.digest() {
            return None;
        }
        let mut batch = Self {
            pull: loads.pull,
            ..self.clone()
        };
        for (entry, load) in batch.entries.iter_mut().zip(&loads.entries) {
            load.apply_to(entry);
        }
        Some(batch)
    }

    /// Unpacks the results of the VMs whose names the receiver knows; drops the others.
    pub fn unpack(
        &self,
        name_of: impl Fn(messages::VmKey) -> Option<ids::VmName>,
    ) -> Vec<messages::ProbeResult> {
        self.entries
            .iter()
            .filter_map(|entry| self.unpack_entry(entry, name_of(entry.vm)?))
            .collect()
    }

    fn pack_result(&mut self, result: &messages::ProbeResult) -> Option<messages::ProbeEntry> {
        let outcome = match &result.outcome {
            Ok(report) => Ok(self.pack_report(report)?),
            Err(failure) => Err(*failure),
        };
        Some(messages::ProbeEntry {
            vm: messages::VmKey::of(&result.vm),
            age_ms: ceil_millis(result.age),
            latency_ms: ceil_millis(result.latency),
            outcome,
        })
    }

    fn pack_report(&mut self, report: &reports::EngineReport) -> Option<messages::PackedReport> {
        let group = match &report.group {
            Some(group) => Some((
                intern(&mut self.data_centres, &group.data_centre)?,
                group.number,
            )),
            None => None,
        };
        let model = match &report.model {
            Some(model) => Some(intern(&mut self.models, model)?),
            None => None,
        };
        Some(messages::PackedReport {
            incarnation: report.incarnation,
            group,
            generation: report.generation,
            model,
            state: report.state,
            running: report.running,
            queued: report.queued,
            is_leaving: report.is_leaving,
        })
    }

    fn unpack_entry(
        &self,
        entry: &messages::ProbeEntry,
        vm: ids::VmName,
    ) -> Option<messages::ProbeResult> {
        let outcome = match entry.outcome {
            Ok(report) => Ok(self.unpack_report(report, vm.clone())?),
            Err(failure) => Err(failure),
        };
        Some(messages::ProbeResult {
            vm,
            age: time::Duration::from_millis(entry.age_ms.into()),
            latency: time::Duration::from_millis(entry.latency_ms.into()),
            outcome,
        })
    }

    fn unpack_report(
        &self,
        report: messages::PackedReport,
        vm: ids::VmName,
    ) -> Option<reports::EngineReport> {
        let group = match report.group {
            Some((index, number)) => Some(ids::GroupId {
                data_centre: self.data_centres.get(usize::from(index))?.clone(),
                number,
            }),
            None => None,
        };
        let model = match report.model {
            Some(index) => Some(self.models.get(usize::from(index))?.clone()),
            None => None,
        };
        Some(reports::EngineReport {
            vm,
            incarnation: report.incarnation,
            group,
            generation: report.generation,
            model,
            state: report.state,
            running: report.running,
            queued: report.queued,
            is_leaving: report.is_leaving,
        })
    }
}

/// Converts to milliseconds, rounded up so that an age never looks too small.
fn ceil_millis(duration: time::Duration) -> u32 {
    let millis = duration.as_micros().div_ceil(1_000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// Returns the position of a name in the list, to which it is added if missing; none when the list
/// is full.
fn intern<T: Clone + PartialEq>(names: &mut Vec<T>, name: &T) -> Option<u8> {
    let index = names.iter().position(|known| known == name);
    let index = index.unwrap_or(names.len());
    let position = u8::try_from(index).ok()?;
    if index == names.len() {
        names.push(name.clone());
    }
    Some(position)
}
