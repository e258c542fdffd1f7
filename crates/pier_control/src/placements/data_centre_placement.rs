//! All replica groups of a data centre.

use std::collections;

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::placements;

/// The groups of one data centre, stored as JSON at `placement/DC`.
///
/// A placement is always valid: no VM belongs to two groups or twice to one, each group has
/// members, and all group numbers and generations were issued by the counters.
///
/// ```
/// use pier_control::placements;
///
/// let placement = placements::DataCentrePlacement::empty("dc-a".parse()?);
/// let read = placements::DataCentrePlacement::parse(&placement.encode());
/// assert_eq!(read, Ok(placement));
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    try_from = "placements::RawPlacement",
    into = "placements::RawPlacement"
)]
pub struct DataCentrePlacement {
    data_centre: ids::DataCentreName,
    lease_term: epochs::LeaseTerm,
    counters: placements::PlacementCounters,
    groups: collections::BTreeMap<u64, placements::GroupPlacement>,
}

impl DataCentrePlacement {
    /// Creates the placement of a data centre that has no groups yet.
    pub fn empty(data_centre: ids::DataCentreName) -> Self {
        Self {
            data_centre,
            lease_term: epochs::LeaseTerm::default(),
            counters: placements::PlacementCounters::default(),
            groups: collections::BTreeMap::new(),
        }
    }

    /// Creates a placement and validates it.
    ///
    /// # Errors
    ///
    /// Fails when a VM is assigned twice, a group has no members, or a group number or generation
    /// was not issued by the counters.
    pub fn new(
        data_centre: ids::DataCentreName,
        lease_term: epochs::LeaseTerm,
        counters: placements::PlacementCounters,
        groups: collections::BTreeMap<u64, placements::GroupPlacement>,
    ) -> Result<Self, placements::PlacementError> {
        let mut placed = collections::BTreeSet::new();
        for (number, group) in &groups {
            check_group(*number, group, &counters)?;
            check_members(*number, group, &mut placed)?;
        }
        Ok(Self {
            data_centre,
            lease_term,
            counters,
            groups,
        })
    }

    /// Reads a placement from JSON.
    ///
    /// # Errors
    ///
    /// Fails when the value does not parse or is not a valid placement.
    pub fn parse(value: &[u8]) -> Result<Self, placements::PlacementError> {
        serde_json::from_slice(value)
            .map_err(|error| placements::PlacementError::Malformed(error.to_string()))
    }

    /// Writes the placement as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the data centre.
    pub fn data_centre(&self) -> &ids::DataCentreName {
        &self.data_centre
    }

    /// Returns the term of the lease under which the placement was written.
    pub fn lease_term(&self) -> epochs::LeaseTerm {
        self.lease_term
    }

    /// Returns the counters for group numbers and generations.
    pub fn counters(&self) -> placements::PlacementCounters {
        self.counters
    }

    /// Returns the groups by number.
    pub fn groups(&self) -> &collections::BTreeMap<u64, placements::GroupPlacement> {
        &self.groups
    }

    /// Returns the full identifier of a group.
    pub fn group_id(&self, number: u64) -> ids::GroupId {
        ids::GroupId {
            data_centre: self.data_centre.clone(),
            number,
        }
    }
}

impl TryFrom<placements::RawPlacement> for DataCentrePlacement {
    type Error = placements::PlacementError;

    fn try_from(raw: placements::RawPlacement) -> Result<Self, Self::Error> {
        Self::new(raw.data_centre, raw.lease_term, raw.counters, raw.groups)
    }
}

impl From<DataCentrePlacement> for placements::RawPlacement {
    fn from(placement: DataCentrePlacement) -> Self {
        Self {
            data_centre: placement.data_centre,
            lease_term: placement.lease_term,
            counters: placement.counters,
            groups: placement.groups,
        }
    }
}

/// Checks that a group has members and that the counters issued its number and generations.
fn check_group(
    group: u64,
    placement: &placements::GroupPlacement,
    counters: &placements::PlacementCounters,
) -> Result<(), placements::PlacementError> {
    let next = placement.successor.as_ref();
    let newest = next.map_or(placement.generation, |next| next.generation);
    let newest = newest.max(placement.generation);
    if group >= counters.next_number || newest > counters.last_generation {
        return Err(placements::PlacementError::UnissuedNumber { group });
    }
    let lacks_members = next.is_some_and(|next| next.members.is_empty());
    if placement.members.is_empty() || lacks_members {
        return Err(placements::PlacementError::NoMembers { group });
    }
    Ok(())
}

/// Checks that no VM of a group is in `placed` or listed twice, and adds the group's VMs to
/// `placed`.
fn check_members<'a>(
    group: u64,
    placement: &'a placements::GroupPlacement,
    placed: &mut collections::BTreeSet<&'a ids::VmName>,
) -> Result<(), placements::PlacementError> {
    let next = placement.successor.iter().flat_map(|next| &next.members);
    for members in [placement.members.iter().collect(), next.collect::<Vec<_>>()] {
        let mut seen = collections::BTreeSet::new();
        for slot in members {
            if placed.contains(&slot.vm) || !seen.insert(&slot.vm) {
                let vm = slot.vm.clone();
                return Err(placements::PlacementError::DuplicateVm { vm, group });
            }
        }
    }
    placed.extend(placement.vms());
    Ok(())
}
