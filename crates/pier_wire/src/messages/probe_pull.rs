//! A request for probe results.

use serde::{Deserialize, Serialize};

use crate::messages;

/// Requests the results of a node that probes VMs.
///
/// The requester computes when a result was obtained by subtracting its age from the time at which
/// it sent the pull. The reply is created later than that, so a result can look older than it is,
/// but never newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbePull {
    /// A number chosen by the requester; the reply repeats it.
    pub pull: u64,
    /// The digest of the last batch that the receiver sent; if the new batch has the same digest,
    /// the reply contains only the fields that change with each probe.
    pub known: Option<messages::BatchDigest>,
    /// The results that are requested.
    pub scope: PullScope,
}

/// The VMs that a pull asks about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullScope {
    /// The VMs whose first prober is the receiver.
    First,
    /// The VMs of this list that the receiver probes.
    Named(Vec<messages::VmKey>),
}
