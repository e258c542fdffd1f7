//! The datagram in which a steward relays the store to the nodes of its data centre.

use pier_fleet::targets;
use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::peers;

/// The steward's view of the store, with the latest changes of registrations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayBeat {
    pub node: ids::NodeName,
    pub data_centre: ids::DataCentreName,
    /// Milliseconds since the store last answered the steward.
    pub store_age_ms: u32,
    /// Data centres that are out of service.
    pub out_of_service: Vec<ids::DataCentreName>,
    /// The steward of each data centre, with the version of its record.
    pub stewards: Vec<(
        ids::DataCentreName,
        peers::StewardRecord,
        epochs::ObjectVersion,
    )>,
    /// Version of the store before the changes.
    pub from: epochs::ObjectVersion,
    /// Version of the store after the changes.
    pub to: epochs::ObjectVersion,
    pub changes: Vec<TargetChange>,
}

/// Fields of a relay message beside the store's content; each is `None` if the steward's build does not
/// send it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RelayNotes {
    /// Version of the document that the steward has in force.
    pub document: Option<epochs::ConfigVersion>,
    pub outages: Option<peers::OutageFields>,
}

/// A change of one registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TargetChange {
    Put(Box<targets::TargetEntry>),
    Gone(ids::VmName),
}
