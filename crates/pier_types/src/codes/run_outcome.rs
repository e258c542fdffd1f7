//! Whether a failed request ran.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// What is known about whether a request without an answer ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It did not reach a target, or the target reported that it did not start it.
    NotRun,
    /// It may have run, completely or in part.
    Unknown,
    /// It ran, and the target answered with a failure.
    RanFailed,
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::RanFailed => "ran-failed",
        })
    }
}

impl str::FromStr for RunOutcome {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "ran-failed" => Ok(Self::RanFailed),
            other => Err(format!(
                "{other:?} is not one of not-run, unknown, ran-failed"
            )),
        }
    }
}
