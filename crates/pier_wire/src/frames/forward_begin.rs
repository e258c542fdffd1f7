//! The start of a forwarded request.

use pier_types::{ids, routes};
use serde::{Deserialize, Serialize};

/// A request's head, as it passes from node to node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardBegin {
    /// The targets that it may go to.
    pub pool: routes::PoolKey,
    /// The customer, whom the first node has identified.
    pub customer: ids::CustomerName,
    /// The attempt that this forward belongs to.
    pub attempt: ids::AttemptId,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that matter to the target or the receiving node.
    pub headers: Vec<ForwardHeader>,
    /// The W3C trace parent.
    pub trace_parent: Option<String>,
    /// Time left to the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// How often it was forwarded, this time included; a second forward is refused.
    pub hops: u8,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// Its name in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}
