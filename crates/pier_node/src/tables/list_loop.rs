//! The loop that reads the platform's VM list.

use std::{collections, time};

use pier_platform::lists;
use pier_types::{ids, times::clocks, vms};

use crate::handle;

/// Time between two readings.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Starts the loop; it ends with the runtime. While the platform is away the last list stays.
pub fn spawn(handle: handle::NodeHandle) {
    tokio::spawn(async move {
        let mut tag = None;
        let mut away = false;
        loop {
            let asked_at = clocks::boot_now();
            let fetched = handle.lists().fetch_changed(tag.as_deref()).await;
            report_change(&fetched, &mut away);
            if fetched.is_ok() {
                handle.note_platform(asked_at);
            }
            if let Ok(Some(mut listing)) = fetched {
                tag = listing.tag.take();
                publish(&handle, listing);
            }
            tokio::time::sleep(LIST_PERIOD).await;
        }
    });
}

fn report_change(fetched: &anyhow::Result<Option<lists::VmListing>>, away: &mut bool) {
    match fetched {
        Ok(_) if *away => {
            log::info!(event = "vm-list-back"; "");
            *away = false;
        }
        Err(error) if !*away => {
            log::warn!(event = "vm-list-away", cause:% = error; "");
            *away = true;
        }
        _ => {}
    }
}

/// Publishes the VMs of this node's data centre; no other node's are any concern of it.
fn publish(handle: &handle::NodeHandle, listing: lists::VmListing) {
    for name in &listing.repeated {
        log::warn!(event = "vm-listed-twice", vm:% = name; "");
    }
    let own = &handle.settings().data_centre;
    let entries = listing.entries.into_iter();
    let entries = entries.filter(|entry| entry.data_centre == *own);
    let list: collections::BTreeMap<ids::VmName, vms::VmEntry> =
        entries.map(|entry| (entry.name.clone(), entry)).collect();
    if *handle.vms() != list {
        log::info!(event = "vm-list-changed", vms = list.len(); "");
        handle.publish_vms(list);
    }
}
