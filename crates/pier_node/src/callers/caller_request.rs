//! A caller's request, read whole.

use std::collections;

use pier_types::times;
use serde::{Deserialize, Serialize};

/// Headers that concern the system or its targets; all others stay behind.
const KEPT_HEADERS: &[&str] = &[
    "accept",
    "authorization",
    "content-type",
    "idempotency-key",
    "traceparent",
    "x-deadline-ms",
    "x-priority",
];

/// A caller's request as every node sees it, also after it was forwarded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The method, in capitals.
    pub method: String,
    /// The path, decoded, without the query.
    pub path: String,
    /// The query without the question mark; empty when there is none.
    pub query: String,
    /// The headers that the system reads, names in small letters.
    pub headers: collections::BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When the head arrived at this node.
    pub arrived_at: times::BootTime,
    /// How many nodes passed it on; at most one may.
    pub hops: u8,
}

impl CallerRequest {
    /// Returns a header by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Tells whether a header is kept.
    pub fn keeps_header(name: &str) -> bool {
        KEPT_HEADERS.contains(&name)
    }
}
