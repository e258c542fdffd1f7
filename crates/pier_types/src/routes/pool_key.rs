//! What a request asks to be served by.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids;

/// The targets that can stand in for one another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PoolKey {
    /// Groups that serve a model.
    Model(ids::ModelName),
    /// VMs that run a plain service.
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
