//! Results of reads, watches and listings.

use pier_types::epochs;

use crate::objects;

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The object exists. Reads may lag behind writes, so this may be an older version.
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
        /// What failed, as text for operators.
        reason: String,
    },
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult {
    /// The object has a higher version than the watch named.
    Changed {
        /// The version of the value.
        version: epochs::ObjectVersion,
        /// The value.
        bytes: bytes::Bytes,
    },
    /// The object did not change during the waiting time.
    Unchanged,
    /// The platform has no such object.
    Absent,
    /// The platform gave no usable answer.
    Unavailable {
        /// What failed, as text for operators.
        reason: String,
    },
}

/// The result of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListResult {
    /// The existing objects whose keys have the prefix.
    Listed(Vec<objects::ObjectEntry>),
    /// The platform gave no usable answer.
    Unavailable {
        /// What failed, as text for operators.
        reason: String,
    },
}
