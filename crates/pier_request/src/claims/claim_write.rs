//! A conditional write of a claim.

use pier_types::epochs;

use crate::claims;

/// A write that takes effect only if the object has the expected version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The expected version; 0 means that the object must not exist.
    pub if_version: epochs::ObjectVersion,
    /// The new value.
    pub record: claims::ClaimRecord,
}
