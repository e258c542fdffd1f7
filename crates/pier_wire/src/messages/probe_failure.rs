//! How a probe failed.

use serde::{Deserialize, Serialize};

/// Why a probe brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ProbeFailure {
    /// The VM answered that nothing listens there.
    Refused,
    /// No answer in time.
    Silent,
    /// An answer that does not parse.
    Garbled,
}
