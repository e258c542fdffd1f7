//! The first frame of a forwarded request.

use pier_types::{ids, routes};
use serde::{Deserialize, Serialize};

/// The head of a request that one node forwards to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardBegin {
    /// The pool of targets that may serve it.
    pub pool: routes::PoolKey,
    /// The customer, as identified by the node that received the request.
    pub customer: ids::CustomerName,
    /// The attempt that this forward belongs to.
    pub attempt: ids::AttemptId,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers that the target or the receiving node needs.
    pub headers: Vec<ForwardHeader>,
    /// The W3C `traceparent` header.
    pub trace_parent: Option<String>,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Number of times the request was forwarded, including this one; more than one is refused.
    pub hops: u8,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: String,
}
