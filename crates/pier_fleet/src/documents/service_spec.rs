//! A service that routes lead to.

use std::{sync, time};

use pier_types::{ids, sizes};

use crate::documents;

/// What is published about one service's targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Connections that one target takes from all nodes together.
    pub connections: u32,
    /// How long a target stays cold after its start.
    pub cold_time: time::Duration,
    /// Requests a second that a cold target bears; 0 without a limit.
    pub cold_per_second: f64,
    /// The engines behind it; none for a plain service.
    pub engine: Option<sync::Arc<documents::EngineSpec>>,
    /// Requests that a plain target works on at once, when published.
    pub slots: Option<sizes::RequestCount>,
}
