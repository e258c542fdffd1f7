//! A service's share of a route.

use pier_types::ids;
use serde::{Deserialize, Serialize};

/// A service and its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitShare {
    /// The service.
    pub service: ids::ServiceName,
    /// Weight relative to the route's other services.
    pub weight: u32,
}
