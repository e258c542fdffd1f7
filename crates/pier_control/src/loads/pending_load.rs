//! The weights that a group still has to load.

use std::collections;

use pier_types::{epochs, ids, reports, sizes};

use crate::{health, loads, placements};

/// The weights that a group still has to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingLoad {
    /// The group.
    pub group: u64,
    /// Number of members that lack weights.
    pub members: u64,
    /// Total size of the weights that these members load.
    pub bytes: sizes::ByteSize,
    /// Whether the group has a successor, so that its current members may still be serving.
    pub is_successor: bool,
    /// Whether some of these members are already loading.
    pub is_loading: bool,
}

impl PendingLoad {
    /// Returns what a group still has to load, or `None` if all its members have the weights.
    pub fn of(input: &loads::LoadInput<'_>, group: u64) -> Option<Self> {
        let placement = input.placement.groups().get(&group)?;
        let id = input.placement.group_id(group);
        let new_members = placement
            .new_members()
            .into_iter()
            .map(|(_rank, slot)| slot);
        let is_successor = placement.successor.is_some();
        let slots: Vec<_> = placement.members.iter().chain(new_members).collect();
        let lacking = slots
            .into_iter()
            .filter(|slot| !holds_weights(placement, &id, slot, input.evidence));
        let lacking: Vec<_> = lacking.collect();
        if lacking.is_empty() {
            return None;
        }
        let members = lacking.len() as u64;
        let weights = input
            .wanted
            .get(&placement.model)
            .map(|wanted| wanted.weight_bytes);
        let bytes = weights.unwrap_or_default().get().saturating_mul(members);
        let is_loading = lacking
            .iter()
            .any(|slot| is_loading(placement, &id, slot, input.evidence));
        Some(Self {
            group,
            members,
            bytes: sizes::ByteSize::new(bytes),
            is_successor,
            is_loading,
        })
    }
}

/// Returns whether a member has loaded the weights of its group.
pub(crate) fn holds_weights(
    placement: &placements::GroupPlacement,
    id: &ids::GroupId,
    slot: &placements::MemberSlot,
    evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
) -> bool {
    let report = evidence.get(&slot.vm).map(|evidence| &evidence.report);
    report.is_some_and(|report| {
        is_of_group(report, placement.weights_from, id, slot)
            && report.model.as_ref() == Some(&placement.model)
            && report.state >= reports::EngineState::Cold
    })
}

/// Returns whether a member is loading its weights.
fn is_loading(
    placement: &placements::GroupPlacement,
    id: &ids::GroupId,
    slot: &placements::MemberSlot,
    evidence: &collections::BTreeMap<ids::VmName, health::VmEvidence>,
) -> bool {
    let report = evidence.get(&slot.vm).map(|evidence| &evidence.report);
    report.is_some_and(|report| {
        is_of_group(report, placement.weights_from, id, slot)
            && report.state == reports::EngineState::Loading
    })
}

/// Returns whether a report is from the member's incarnation and shows that it applied an order of
/// its group for the current weights.
fn is_of_group(
    report: &reports::EngineReport,
    weights_from: epochs::GroupGeneration,
    id: &ids::GroupId,
    slot: &placements::MemberSlot,
) -> bool {
    report.incarnation == slot.incarnation
        && report.group.as_ref() == Some(id)
        && report.generation >= weights_from
}
