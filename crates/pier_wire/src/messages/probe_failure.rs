//! Failures of probes.

use serde::{Deserialize, Serialize};

/// Why a probe returned no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ProbeFailure {
    /// The VM refused the connection: no process listens on the port.
    Refused,
    /// The VM did not answer before the time-out.
    Silent,
    /// The answer cannot be parsed.
    Garbled,
}
