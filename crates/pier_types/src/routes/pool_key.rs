//! The key of a pool of targets.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Identifies a pool: the interchangeable targets of a model or plain service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PoolKey {
    /// The groups that serve a model.
    Model(ids::ModelName),
    /// The VMs that run a plain service.
    Service(ids::ServiceName),
}

impl fmt::Display for PoolKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "model:{model}"),
            Self::Service(service) => write!(f, "service:{service}"),
        }
    }
}
