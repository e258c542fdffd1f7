//! Reads the VM list once, from a peer or the platform.

use std::net;

use pier_limits::relays;
use pier_platform::lists;
use pier_types::ids;
use tokio::sync::mpsc;

use crate::{handle, peers::list_copy};

/// The result of one read.
#[derive(Debug)]
pub(super) enum ListOutcome {
    /// The platform answered.
    Read(relays::ReadingOutcome),
    /// Another node answered instead.
    Copied(relays::ReadingOutcome),
    /// The platform did not answer; the cause is for the log.
    PlatformUnavailable(anyhow::Error),
}

/// Where to read the list.
#[derive(Debug)]
pub(super) struct ListSource {
    /// A node with a newer list, which is asked first.
    pub(super) peer: Option<net::SocketAddr>,
    /// The platform's entity tag of the list in force.
    pub(super) known_tag: Option<String>,
}

/// Reads the list in a new task and sends the outcome.
pub(super) fn start_read(
    handle: &handle::NodeHandle,
    outcomes: &mpsc::UnboundedSender<ListOutcome>,
    source: ListSource,
) {
    let (handle, outcomes) = (handle.clone(), outcomes.clone());
    tokio::spawn(async move {
        let outcome = read(&handle, source).await;
        // Sending fails only when the node is shutting down and the loop has ended.
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

/// Keeps only the VMs of this node's data centre.
fn local_entries(listing: lists::VmListing, local: &ids::DataCentreName) -> relays::ReadingOutcome {
    for name in &listing.duplicates {
        log::warn!(event = "vm-listed-twice", vm:% = name; "");
    }
    let entries = listing.entries.into_iter();
    let entries = entries.filter(|entry| entry.data_centre == *local);
    relays::ReadingOutcome::Listed {
        list: entries.map(|entry| (entry.name.clone(), entry)).collect(),
        tag: listing.tag,
    }
}
