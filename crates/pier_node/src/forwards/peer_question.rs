//! Questions of nodes to one another, over the connection of forwarded requests.

use std::time;

use pier_types::{ids, routes};
use pier_wire::frames;

/// Name that stands where a forwarded request names its customer and pool.
const PEER_NAME: &str = "peer";

/// Returns the request that asks a node for what it keeps under a path.
///
/// # Errors
///
/// Never in practice: the name that stands for the customer is a valid one.
pub(crate) fn peer_question(
    path: String,
    timeout: time::Duration,
) -> anyhow::Result<frames::ForwardBegin> {
    Ok(frames::ForwardBegin {
        pool: routes::PoolKey::Service(PEER_NAME.parse()?),
        customer: PEER_NAME.parse()?,
        attempt: ids::AttemptId::new(rand::random()),
        method: "GET".to_owned(),
        path,
        headers: Vec::new(),
        trace_parent: None,
        deadline_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
        hops: 1,
    })
}
