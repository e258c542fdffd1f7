//! The input of an election.

use std::collections;

use pier_types::{epochs, ids};

/// The stored record of a data centre's steward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedSteward {
    /// The node that holds the role.
    pub holder: ids::NodeName,
    /// Rises with each change of the holder.
    pub term: epochs::LeaseTerm,
    /// Version of the record.
    pub version: epochs::ObjectVersion,
}

/// The record and the live nodes, as one node sees them.
#[derive(Debug, Clone, Default)]
pub struct StewardView {
    /// The record, if one exists.
    pub recorded: Option<RecordedSteward>,
    /// Nodes of the data centre that send heartbeats and are not leaving.
    pub local: collections::BTreeSet<ids::NodeName>,
    /// Nodes of other data centres that send heartbeats and are not leaving.
    pub remote: collections::BTreeSet<ids::NodeName>,
    /// Whether the record was written just now, so that its holder is alive even if no heartbeat of
    /// it has come yet.
    pub is_claimed: bool,
    /// Whether the holder's process is known to have ended: its VM has started a new one.
    pub has_ended: bool,
    /// Local nodes with more means than the others, which go first.
    pub preferred: collections::BTreeSet<ids::NodeName>,
}

impl StewardView {
    /// Returns the view without the local nodes that cannot reach the store; `reaching` holds those
    /// that can.
    ///
    /// Used when the steward is alive but cannot reach the store. Without another steward every
    /// node of the data centre would poll the store by itself for as long as that lasts.
    #[must_use]
    pub fn with_store_access(mut self, reaching: &collections::BTreeSet<ids::NodeName>) -> Self {
        self.local.retain(|node| reaching.contains(node));
        self.is_claimed = false;
        self
    }
}
