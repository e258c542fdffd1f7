//! Changes of records in the store.

use pier_types::epochs;

use crate::links;

/// A change of one record.
#[derive(Debug, Clone)]
pub enum RecordChange {
    /// The record was created or changed.
    Put(links::StoreRecord),
    /// The record of this name was removed.
    Gone(String),
}

/// Changes in the order in which they were made.
#[derive(Debug, Clone)]
pub struct RecordChanges {
    /// The changes.
    pub changes: Vec<RecordChange>,
    /// Version of the store after the last change.
    pub at: epochs::ObjectVersion,
}
