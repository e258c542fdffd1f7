//! One reading of the platform's VM list.

use pier_limits::relays;
use pier_platform::lists;
use pier_types::ids;
use tokio::sync::mpsc;

use crate::handle;

/// The end of one reading.
#[derive(Debug)]
pub(super) enum ListOutcome {
    /// The platform answered.
    Read(relays::ReadingOutcome),
    /// It did not; the cause is for the log.
    Away(anyhow::Error),
}

/// Reads the list in a task of its own and reports how it ended.
pub(super) fn make(
    handle: &handle::NodeHandle,
    outcomes: &mpsc::UnboundedSender<ListOutcome>,
    known_tag: Option<String>,
) {
    let (handle, outcomes) = (handle.clone(), outcomes.clone());
    tokio::spawn(async move {
        let fetched = handle.lists().fetch_changed(known_tag.as_deref()).await;
        let outcome = match fetched {
            Ok(None) => ListOutcome::Read(relays::ReadingOutcome::Unchanged),
            Ok(Some(listing)) => {
                let own = &handle.settings().data_centre;
                ListOutcome::Read(own_part(listing, own))
            }
            Err(error) => ListOutcome::Away(error),
        };
        // The loop is gone only when the node ends.
        let _ended = outcomes.send(outcome);
    });
}

/// Keeps the VMs of this node's data centre; no other node's are any concern of it.
fn own_part(listing: lists::VmListing, own: &ids::DataCentreName) -> relays::ReadingOutcome {
    for name in &listing.repeated {
        log::warn!(event = "vm-listed-twice", vm:% = name; "");
    }
    let entries = listing.entries.into_iter();
    let entries = entries.filter(|entry| entry.data_centre == *own);
    relays::ReadingOutcome::Listed {
        list: entries.map(|entry| (entry.name.clone(), entry)).collect(),
        tag: listing.tag,
    }
}
