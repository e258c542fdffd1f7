//! Records of the store.

use std::sync;

use pier_fleet::{documents, targets};
use pier_types::{epochs, ids};

/// One record.
#[derive(Debug, Clone)]
pub struct StoreRecord {
    /// Its name.
    pub name: String,
    /// Version of its last change.
    pub version: epochs::ObjectVersion,
    /// What it holds.
    pub content: RecordContent,
}

/// What a record holds.
#[derive(Debug, Clone)]
pub enum RecordContent {
    /// A target's registration.
    Target(Box<targets::TargetEntry>),
    /// The document.
    Document(sync::Arc<documents::FleetDocument>),
    /// A data centre is out of service.
    OutOfService(ids::DataCentreName),
    /// A node's own record, as text.
    Node(String),
    /// The record is not understood, for the reason given.
    Unreadable(String),
}

/// All records of a kind.
#[derive(Debug, Clone)]
pub struct RecordList {
    /// The records.
    pub records: Vec<StoreRecord>,
    /// Version of the store that they show.
    pub at: epochs::ObjectVersion,
}
