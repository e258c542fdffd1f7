//! Copies of the whole VM list between nodes, over the connections for forwarded requests.

use std::{net, time};

use pier_limits::relays;
use pier_types::{times, vms};
use pier_wire::frames;
use serde::{Deserialize, Serialize};

use crate::{callers, forwards, handle};

/// Time-out for fetching one copy.
const COPY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A node's VM list and the same two ages as in `messages::ListNote`, here in microseconds.
#[derive(Debug, Serialize, Deserialize)]
struct ListCopy {
    oldest_us: u64,
    youngest_us: u64,
    entries: Vec<vms::VmEntry>,
}

/// Answers a peer's request for the VM list.
pub(crate) fn answer_list(
    handle: &handle::NodeHandle,
    now: times::BootTime,
) -> callers::CallerReply {
    let kind = "application/json";
    let Some(snapshot) = handle.list_snapshot() else {
        return callers::CallerReply::buffered(404, kind, "null".into());
    };
    let copy = ListCopy {
        oldest_us: micros(now.since(snapshot.span.from)),
        youngest_us: micros(now.since(snapshot.span.to)),
        entries: snapshot.list.values().cloned().collect(),
    };
    let body = serde_json::to_vec(&copy).unwrap_or_default();
    callers::CallerReply::buffered(200, kind, body.into())
}

/// Requests the list of the node at an address.
///
/// # Errors
///
/// Fails when the node cannot be reached in time or has no list.
pub(super) async fn ask_peer(
    handle: &handle::NodeHandle,
    address: net::SocketAddr,
) -> anyhow::Result<relays::ReadingOutcome> {
    let key = handle.settings().peer_key.clone();
    let client = forwards::ForwardClient::new(key, handle.name().clone(), handle.instance());
    let query = frames::PeerQuery::VmList;
    let body = client.ask(address, query, COPY_TIMEOUT).await?;
    let copy: ListCopy = serde_json::from_slice(&body)?;
    let entries = copy.entries.into_iter();
    Ok(relays::ReadingOutcome::Copied {
        list: entries.map(|entry| (entry.name.clone(), entry)).collect(),
        oldest: time::Duration::from_micros(copy.oldest_us),
        youngest: time::Duration::from_micros(copy.youngest_us),
    })
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
