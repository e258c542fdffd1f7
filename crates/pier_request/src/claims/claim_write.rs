//! A conditional write of a claim.

use pier_types::epochs;

use crate::claims;

/// A write that takes effect only at one version of the object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The version that must be present; 0 stands for an absent object.
    pub if_version: epochs::ObjectVersion,
    /// The new value.
    pub record: claims::ClaimRecord,
}
