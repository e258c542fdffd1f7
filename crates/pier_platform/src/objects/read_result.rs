//! What is known after a read, a watch or a listing.

use pier_types::epochs;

use crate::objects;

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The object exists; reads may lag behind writes.
    Found {
        /// The version of the value.
        version: epochs::ObjectVersion,
        /// The value.
        bytes: bytes::Bytes,
    },
    /// The platform has no such object.
    Absent,
    /// The platform gave no usable answer.
    Unavailable {
        /// What went wrong, for people.
        reason: String,
    },
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult {
    /// The object has a version over the one named.
    Changed {
        /// The version of the value.
        version: epochs::ObjectVersion,
        /// The value.
        bytes: bytes::Bytes,
    },
    /// The wait passed without a change.
    Unchanged,
    /// The platform has no such object.
    Absent,
    /// The platform gave no usable answer.
    Unavailable {
        /// What went wrong, for people.
        reason: String,
    },
}

/// The result of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListResult {
    /// The keys that exist under the prefix.
    Listed(Vec<objects::ObjectEntry>),
    /// The platform gave no usable answer.
    Unavailable {
        /// What went wrong, for people.
        reason: String,
    },
}
