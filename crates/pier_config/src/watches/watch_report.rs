//! What operators should hear of.

use std::fmt;

use pier_types::epochs;

use crate::{faults, watches};

/// Something that is wrong with the documents that reach a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReport {
    /// A copy does not parse; the last good version stays in force.
    CopyRefused {
        /// Its version.
        version: epochs::ConfigVersion,
        /// Who told it.
        source: watches::ConfigSource,
        /// Why.
        error: faults::DocumentError,
    },
    /// Two copies of the version in force differ; the one in force stays.
    CopiesDiffer {
        /// Their version.
        version: epochs::ConfigVersion,
        /// Who told the other copy.
        source: watches::ConfigSource,
    },
    /// The platform has no document any more; the last version stays in force.
    DocumentAbsent,
    /// A version that a peer holds could not be had in time; a lower one came into force, higher
    /// than the one before.
    HintTimedOut {
        /// The version that could not be had.
        hinted: epochs::ConfigVersion,
    },
}

impl fmt::Display for WatchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CopyRefused {
                version,
                source,
                error,
            } => write!(f, "version {version} from {source} is refused: {error}"),
            Self::CopiesDiffer { version, source } => {
                write!(f, "version {version} from {source} differs from ours")
            }
            Self::DocumentAbsent => f.write_str("the platform has no document"),
            Self::HintTimedOut { hinted } => {
                write!(f, "version {hinted}, which a peer holds, can not be had")
            }
        }
    }
}
