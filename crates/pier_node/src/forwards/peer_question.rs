//! Questions that nodes ask one another over the connection of forwarded requests.

use std::{net, time};

use anyhow::Context as _;
use bytes::Bytes;
use pier_types::{ids, routes};
use pier_wire::frames;

use crate::{callers, forwards};

/// Bound on one question and its answer.
const QUESTION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Name that stands where a forwarded request names its customer and pool.
const PEER_NAME: &str = "peer";

/// Asks the node at an address for what a path names; callers can not reach such a path.
///
/// # Errors
///
/// Fails when the node can not be reached in time or answers with anything but a whole success.
pub(crate) async fn ask(
    client: &forwards::ForwardClient,
    address: net::SocketAddr,
    path: String,
) -> anyhow::Result<Bytes> {
    let asking = client.send(address, question(path)?, &[]);
    let reply = tokio::time::timeout(QUESTION_TIMEOUT, asking).await;
    let reply = reply.context("no answer in time")?;
    let reply = reply.map_err(|error| anyhow::anyhow!("{error:?}"))?;
    anyhow::ensure!(reply.status == 200, "the peer has nothing newer");
    match reply.body {
        callers::ReplyBody::Whole(body) => Ok(body),
        callers::ReplyBody::Stream(_) => anyhow::bail!("the answer is no whole one"),
    }
}

fn question(path: String) -> anyhow::Result<frames::ForwardBegin> {
    Ok(frames::ForwardBegin {
        pool: routes::PoolKey::Service(PEER_NAME.parse()?),
        customer: PEER_NAME.parse()?,
        attempt: ids::AttemptId::new(rand::random()),
        method: "GET".to_owned(),
        path,
        headers: Vec::new(),
        trace_parent: None,
        deadline_ms: u32::try_from(QUESTION_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
        hops: 1,
    })
}
