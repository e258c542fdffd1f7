//! Whether a data centre takes new work.

use std::{fmt, str};

/// Service state of a data centre, as set by operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DataCentreState {
    /// Takes new work.
    #[default]
    InService,
    /// Takes no new work; running requests may finish.
    OutOfService,
}

impl fmt::Display for DataCentreState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InService => "in-service",
            Self::OutOfService => "out-of-service",
        })
    }
}

impl str::FromStr for DataCentreState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "in-service" => Ok(Self::InService),
            "out-of-service" => Ok(Self::OutOfService),
            other => Err(format!(
                "{other:?} is not one of in-service, out-of-service"
            )),
        }
    }
}
