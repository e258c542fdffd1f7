//! The question for probe results.

use serde::{Deserialize, Serialize};

use crate::messages;

/// Asks a prober for its results.
///
/// The asker remembers when it sent the pull and counts each result's age back from then. The
/// reply is made later than that, so evidence can only look too old, never too fresh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbePull {
    /// Chosen by the asker; the reply repeats it.
    pub pull: u64,
    /// The digest of the last batch that the receiver sent; if it is still the same, the asker
    /// needs only what changes with each probe.
    pub known: Option<messages::BatchDigest>,
    /// Which results are asked for.
    pub scope: PullScope,
}

/// The VMs that a pull asks about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullScope {
    /// Those whose first prober the receiver is.
    First,
    /// Those of the list that the receiver probes.
    Named(Vec<messages::VmKey>),
}
