//! VM lists that nodes give one another, for one that is cut off from the platform.

use std::{net, time};

use pier_types::{times, times::clocks, vms};
use serde::{Deserialize, Serialize};

use crate::{callers, forwards, handle};

/// Path that asks for a list; callers can not reach it.
const LIST_PATH: &str = "/peer/vms";

/// Beginning of the query that names the age of the list that the asker has, in milliseconds.
const AGE_FIELD: &str = "age-ms=";

/// A list has to be younger by this much to be passed on, so that nodes that all miss the platform
/// do not pass the same list to and fro.
const AGE_MARGIN: time::Duration = time::Duration::from_millis(500);

/// The VM list of a data centre and its age.
#[derive(Debug, Serialize, Deserialize)]
struct PeerList {
    age_ms: u64,
    entries: Vec<vms::VmEntry>,
}

/// A list that a peer read and when it did so at the latest.
#[derive(Debug)]
pub(super) struct HeardList {
    /// The VMs.
    pub(super) entries: Vec<vms::VmEntry>,
    /// A moment before which the peer did not read it later than it says.
    pub(super) listed_at: times::BootTime,
}

/// Answers a peer's question for a younger list; none if the request asks for something else.
///
/// Only what this node read from the platform itself is passed on.
pub(crate) fn answer_peer(
    handle: &handle::NodeHandle,
    request: &callers::CallerRequest,
) -> Option<callers::CallerReply> {
    if request.path != LIST_PATH {
        return None;
    }
    let kind = "application/json";
    let age = request.query.strip_prefix(AGE_FIELD);
    let age = age.and_then(|age| age.parse().ok());
    let theirs = time::Duration::from_millis(age.unwrap_or(0));
    let own = handle
        .platform_at()
        .map(|listed_at| clocks::boot_now().since(listed_at));
    let Some(own) = own.filter(|own| *own + AGE_MARGIN < theirs) else {
        return Some(callers::CallerReply::whole(404, kind, "null".into()));
    };
    let list = PeerList {
        // Rounded up: a list may look too old, never too young.
        age_ms: u64::try_from(own.as_millis()).unwrap_or(u64::MAX) + 1,
        entries: handle.vms().values().cloned().collect(),
    };
    let body = serde_json::to_vec(&list).unwrap_or_default();
    Some(callers::CallerReply::whole(200, kind, body.into()))
}

/// Asks the node at an address for a list younger than one of the given age.
///
/// # Errors
///
/// Fails when the node can not be reached in time or has no younger list.
pub(super) async fn ask_peer(
    client: &forwards::ForwardClient,
    address: net::SocketAddr,
    age: time::Duration,
) -> anyhow::Result<HeardList> {
    let asked_at = clocks::boot_now();
    let path = format!("{LIST_PATH}?{AGE_FIELD}{}", age.as_millis());
    let body = forwards::ask(client, address, path).await?;
    let list: PeerList = serde_json::from_slice(&body)?;
    Ok(HeardList {
        entries: list.entries,
        listed_at: asked_at.before(time::Duration::from_millis(list.age_ms)),
    })
}
