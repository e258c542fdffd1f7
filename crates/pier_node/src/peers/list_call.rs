//! One reading of the VM list.

use std::net;

use pier_limits::relays;
use pier_platform::lists;
use pier_types::ids;
use tokio::sync::mpsc;

use crate::{handle, peers::list_copy};

/// The end of one reading.
#[derive(Debug)]
pub(super) enum ListOutcome {
    /// The platform answered.
    Read(relays::ReadingOutcome),
    /// Another node did, in its place.
    Copied(relays::ReadingOutcome),
    /// It did not; the cause is for the log.
    PlatformUnavailable(anyhow::Error),
}

/// Where a list is read.
#[derive(Debug)]
pub(super) struct ListSource {
    /// A node that has a newer list and is asked first.
    pub(super) peer: Option<net::SocketAddr>,
    /// The platform's tag of the list in force.
    pub(super) known_tag: Option<String>,
}

/// Reads the list in a task of its own and reports how it ended.
pub(super) fn start_read(
    handle: &handle::NodeHandle,
    outcomes: &mpsc::UnboundedSender<ListOutcome>,
    source: ListSource,
) {
    let (handle, outcomes) = (handle.clone(), outcomes.clone());
    tokio::spawn(async move {
        let outcome = read(&handle, source).await;
        // The loop is gone only when the node ends.
        let _ended = outcomes.send(outcome);
    });
}

async fn read(handle: &handle::NodeHandle, source: ListSource) -> ListOutcome {
    if let Some(peer) = source.peer
        && let Ok(copied) = list_copy::ask_peer(handle, peer).await
    {
        return ListOutcome::Copied(copied);
    }
    let known_tag = source.known_tag.as_deref();
    match handle.lists().fetch_changed(known_tag).await {
        Ok(None) => ListOutcome::Read(relays::ReadingOutcome::Unchanged),
        Ok(Some(listing)) => {
            let local = &handle.settings().data_centre;
            ListOutcome::Read(local_entries(listing, local))
        }
        Err(error) => ListOutcome::PlatformUnavailable(error),
    }
}

/// Keeps the VMs of this node's data centre; no other node's are any concern of it.
fn local_entries(listing: lists::VmListing, local: &ids::DataCentreName) -> relays::ReadingOutcome {
    for name in &listing.repeated {
        log::warn!(event = "vm-listed-twice", vm:% = name; "");
    }
    let entries = listing.entries.into_iter();
    let entries = entries.filter(|entry| entry.data_centre == *local);
    relays::ReadingOutcome::Listed {
        list: entries.map(|entry| (entry.name.clone(), entry)).collect(),
        tag: listing.tag,
    }
}
