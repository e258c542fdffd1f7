//! Copies of the document between nodes, over the connections for forwarded requests.

use std::{net, time};

use pier_config::watches;
use pier_types::{epochs, ids};
use pier_wire::frames;
use serde::{Deserialize, Serialize};

use crate::{callers, forwards, handle};

/// Time-out for fetching one copy.
const COPY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The version that a node has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PeerCopy {
    node: ids::NodeName,
    version: epochs::ConfigVersion,
    text: String,
}

/// Answers a peer's request for a version above its own.
pub(crate) fn answer_peer(
    handle: &handle::NodeHandle,
    after: epochs::ConfigVersion,
) -> callers::CallerReply {
    let kind = "application/json";
    let newer = handle.config().filter(|snapshot| snapshot.version > after);
    let Some(snapshot) = newer else {
        return callers::CallerReply::buffered(404, kind, "null".into());
    };
    let copy = PeerCopy {
        node: handle.name().clone(),
        version: snapshot.version,
        text: snapshot.text.clone(),
    };
    let body = serde_json::to_vec(&copy).unwrap_or_default();
    callers::CallerReply::buffered(200, kind, body.into())
}

/// Requests a version above `after` from the node at an address.
///
/// # Errors
///
/// Fails when the node cannot be reached in time or has no such version.
pub(super) async fn ask_peer(
    client: &forwards::ForwardClient,
    address: net::SocketAddr,
    after: epochs::ConfigVersion,
) -> anyhow::Result<watches::ConfigCopy> {
    let query = frames::PeerQuery::Config(after);
    let body = client.ask(address, query, COPY_TIMEOUT).await?;
    let copy: PeerCopy = serde_json::from_slice(&body)?;
    Ok(watches::ConfigCopy {
        version: copy.version,
        text: copy.text.into(),
        source: watches::ConfigSource::Peer(copy.node),
    })
}
