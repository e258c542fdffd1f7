//! Changes of records.

use pier_types::epochs;

use crate::links;

/// One change.
#[derive(Debug, Clone)]
pub enum RecordChange {
    /// The record is there, or has changed.
    Put(links::StoreRecord),
    /// The record of this name is gone.
    Gone(String),
}

/// Changes in their order.
#[derive(Debug, Clone)]
pub struct RecordChanges {
    /// The changes.
    pub changes: Vec<RecordChange>,
    /// Version of the store behind the last one.
    pub at: epochs::ObjectVersion,
}
