//! The holder of an API key.

use pier_types::ids;
use serde::{Deserialize, Serialize};

/// The customer that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerGrant {
    /// Customer name that is passed to targets.
    pub customer: ids::CustomerName,
    /// Priority rank of the customer's requests, 0 first; overrides the route's.
    pub rank: Option<u8>,
}
