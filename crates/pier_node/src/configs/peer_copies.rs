//! Copies of the document that nodes give one another, over the connection of forwarded requests.

use std::{net, time};

use anyhow::Context as _;
use pier_config::watches;
use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

use crate::{callers, forwards, handle};

/// Path that asks for a copy; callers can not reach it.
const COPY_PATH: &str = "/peer/config";
/// Beginning of the query that names the version the asker has in force.
const AFTER_FIELD: &str = "after=";
/// Bound on one copy's way.
const COPY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A node's version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PeerCopy {
    node: ids::NodeName,
    version: epochs::ConfigVersion,
    text: String,
}

/// Answers a peer's question for a version above its own; none if the request asks for something else.
pub(crate) fn answer_peer(
    handle: &handle::NodeHandle,
    request: &callers::CallerRequest,
) -> Option<callers::CallerReply> {
    if request.path != COPY_PATH {
        return None;
    }
    let kind = "application/json";
    let after = request.query.strip_prefix(AFTER_FIELD);
    let after = after
        .and_then(|after| after.parse().ok())
        .unwrap_or_default();
    let newer = handle.config().filter(|snapshot| snapshot.version > after);
    let Some(snapshot) = newer else {
        return Some(callers::CallerReply::whole(404, kind, "null".into()));
    };
    let copy = PeerCopy {
        node: handle.name().clone(),
        version: snapshot.version,
        text: snapshot.text.clone(),
    };
    let body = serde_json::to_vec(&copy).unwrap_or_default();
    Some(callers::CallerReply::whole(200, kind, body.into()))
}

/// Asks the node at an address for a version above the one named.
///
/// # Errors
///
/// Fails when the node can not be reached in time or has no such version.
pub(super) async fn ask_peer(
    client: &forwards::ForwardClient,
    address: net::SocketAddr,
    after: epochs::ConfigVersion,
) -> anyhow::Result<watches::ConfigCopy> {
    let path = format!("{COPY_PATH}?{AFTER_FIELD}{after}");
    let question = forwards::peer_question(path, COPY_TIMEOUT)?;
    let asking = client.send(address, question, &[]);
    let reply = tokio::time::timeout(COPY_TIMEOUT, asking).await;
    let reply = reply.context("no copy in time")?;
    let reply = reply.map_err(|error| anyhow::anyhow!("{error:?}"))?;
    anyhow::ensure!(reply.status == 200, "the peer has no version above {after}");
    let callers::ReplyBody::Whole(body) = reply.body else {
        anyhow::bail!("the copy is no whole answer");
    };
    let copy: PeerCopy = serde_json::from_slice(&body)?;
    Ok(watches::ConfigCopy {
        version: copy.version,
        text: copy.text.into(),
        source: watches::ConfigSource::Peer(copy.node),
    })
}
