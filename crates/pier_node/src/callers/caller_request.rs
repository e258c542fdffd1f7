//! A caller's complete request.

use std::collections;

use pier_types::times;

/// Headers that the node or its targets use; all others are dropped.
const KEPT_HEADERS: &[&str] = &[
    "accept",
    "authorization",
    "content-type",
    "idempotency-key",
    "traceparent",
    "x-deadline-ms",
    "x-priority",
];

/// A caller's request, in the same form at the entry node and after it was forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path, decoded, without the query.
    pub path: String,
    /// The query without the question mark; empty when there is none.
    pub query: String,
    /// The headers that are kept, with lower-case names.
    pub headers: collections::BTreeMap<String, String>,
    /// The body, with its share of the node's budget for bodies.
    pub body: bytes::Bytes,
    /// When the head arrived at this node.
    pub arrived_at: times::BootTime,
    /// How many times it was forwarded; at most once.
    pub hops: u8,
}

impl CallerRequest {
    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns whether a header is kept.
    pub fn keeps_header(name: &str) -> bool {
        KEPT_HEADERS.contains(&name)
    }
}
