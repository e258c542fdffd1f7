//! What an election looks at.

use std::collections;

use pier_types::{epochs, ids};

/// The recorded steward of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StewardWord {
    /// The node that plans.
    pub holder: ids::NodeName,
    /// Rises with each change of the holder.
    pub term: epochs::LeaseTerm,
    /// Version of the record.
    pub version: epochs::ObjectVersion,
}

/// The record and the nodes, as one node sees them.
#[derive(Debug, Clone, Default)]
pub struct StewardView {
    /// The record; none while there is none.
    pub word: Option<StewardWord>,
    /// Nodes of the data centre that are heard of and not leaving.
    pub local: collections::BTreeSet<ids::NodeName>,
    /// Nodes of other data centres that are heard of and not leaving.
    pub remote: collections::BTreeSet<ids::NodeName>,
}

impl StewardView {
    /// Returns the view with only those local nodes that reach the store.
    ///
    /// For a steward that lives and does not reach it: its nodes would each read the store by
    /// themselves for as long as that lasts, so one that does reach it takes over.
    #[must_use]
    pub fn among_reaching(mut self, reaching: &collections::BTreeSet<ids::NodeName>) -> Self {
        self.local.retain(|node| reaching.contains(node));
        self
    }
}
