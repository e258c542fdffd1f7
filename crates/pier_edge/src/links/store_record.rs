//! Records in the store.

use std::sync;

use pier_fleet::{documents, targets};
use pier_types::{epochs, ids};

/// A record in the store.
#[derive(Debug, Clone)]
pub struct StoreRecord {
    /// The record's name.
    pub name: String,
    /// Version of its last change.
    pub version: epochs::ObjectVersion,
    /// The record's content.
    pub content: RecordContent,
}

/// The content of a record.
#[derive(Debug, Clone)]
pub enum RecordContent {
    /// A target's registration.
    Target(Box<targets::TargetEntry>),
    /// The configuration document.
    Document(sync::Arc<documents::FleetDocument>),
    /// A mark that takes this data centre out of service.
    OutOfService(ids::DataCentreName),
    /// The record of a node or steward, as text.
    Node(String),
    /// The record cannot be read, for this reason.
    Unreadable(String),
}

/// All records of a kind.
#[derive(Debug, Clone)]
pub struct RecordList {
    /// The records.
    pub records: Vec<StoreRecord>,
    /// Version of the store at which the list was read.
    pub at: epochs::ObjectVersion,
}
