//! Configuration problems that are reported to operators.

use std::fmt;

use pier_types::epochs;

use crate::{faults, watches};

/// A problem with the documents that a node receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReport {
    /// A copy is invalid; the last valid version stays in force.
    CopyRefused {
        /// Its version.
        version: epochs::ConfigVersion,
        /// Where it came from.
        source: watches::ConfigSource,
        /// Its faults.
        error: faults::DocumentError,
    },
    /// Two copies of the version in force differ; the one in force stays.
    CopiesDiffer {
        /// Their version.
        version: epochs::ConfigVersion,
        /// Where the other copy came from.
        source: watches::ConfigSource,
    },
    /// The document is gone from the platform; the last version stays in force.
    DocumentAbsent,
    /// A version that a peer announced did not arrive in time. A lower one came into force, which
    /// is still higher than the one before.
    HintTimedOut {
        /// The version that did not arrive.
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
                write!(
                    f,
                    "version {version} from {source} differs from the text in force"
                )
            }
            Self::DocumentAbsent => f.write_str("the platform has no document"),
            Self::HintTimedOut { hinted } => {
                write!(
                    f,
                    "version {hinted}, announced by a peer, did not arrive in time"
                )
            }
        }
    }
}
