//! The version of a model's weights.

use std::{convert, fmt, str, sync};

use serde::{Deserialize, Serialize};

/// The version of a model's weights, as opaque text that is passed to the engines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct ModelVersion(sync::Arc<str>);

impl ModelVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for ModelVersion {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

impl From<String> for ModelVersion {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<ModelVersion> for String {
    fn from(version: ModelVersion) -> Self {
        version.0.as_ref().to_owned()
    }
}
