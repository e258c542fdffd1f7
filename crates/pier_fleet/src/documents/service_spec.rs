//! A service that routes send requests to.

use std::{sync, time};

use pier_types::{ids, sizes};
use serde::{Deserialize, Serialize};

use crate::documents;

/// What is published about one service's targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Connections that one target accepts from all nodes together.
    pub connections: u32,
    /// How long a target stays cold after its start.
    pub cold_time: time::Duration,
    /// Requests per second that a cold target can handle; 0 for no limit.
    pub cold_per_second: f64,
    /// The service's engine; `None` for a plain service.
    pub engine: Option<sync::Arc<documents::EngineSpec>>,
    /// Requests that a plain target processes concurrently, if published.
    pub slots: Option<sizes::RequestCount>,
}
