//! The loop that keeps the VM list.

use std::{collections, future, pin, time};

use pier_platform::lists;
use pier_types::{ids, times, times::clocks, vms};

use crate::{forwards, handle, tables::peer_lists};

/// Time between two readings.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time between two looks at the age of the list.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Age from which peers are asked for a younger list.
const PEER_AGE: time::Duration = time::Duration::from_millis(1_200);

/// Reads the platform's list, and asks peers for theirs while the platform does not answer.
#[derive(Debug)]
pub struct ListLoop {
    handle: handle::NodeHandle,
    client: forwards::ForwardClient,
    /// The platform's mark of the list in force, if that came from the platform.
    tag: Option<String>,
    /// When the list in force was read, by whichever node.
    listed_at: Option<times::BootTime>,
    /// Whether the last reading failed.
    away: bool,
    /// Questions to peers so far; each goes to another one.
    turn: usize,
}

impl ListLoop {
    /// Starts the loop; it ends with the runtime. The last list stays while no other is to be had.
    pub fn spawn(handle: handle::NodeHandle, client: forwards::ForwardClient) {
        let list_loop = Self {
            handle,
            client,
            tag: None,
            listed_at: None,
            away: false,
            turn: 0,
        };
        tokio::spawn(list_loop.run());
    }

    async fn run(mut self) {
        loop {
            let asked_at = clocks::boot_now();
            let (lists, tag) = (self.handle.lists().clone(), self.tag.clone());
            let fetching = lists.fetch_changed(tag.as_deref());
            let fetched = self.asking_peers(fetching).await;
            self.take(fetched, asked_at);
            self.asking_peers(tokio::time::sleep(LIST_PERIOD)).await;
        }
    }

    /// Waits for something, and asks peers meanwhile whenever the list has grown old.
    async fn asking_peers<F: future::Future>(&mut self, waiting: F) -> F::Output {
        let mut waiting = pin::pin!(waiting);
        loop {
            match tokio::time::timeout(LOOK_PERIOD, &mut waiting).await {
                Ok(output) => return output,
                Err(_elapsed) => self.ask_peer().await,
            }
        }
    }

    /// Takes in a reading, unless a peer's list is younger than its question.
    fn take(
        &mut self,
        fetched: anyhow::Result<Option<lists::VmListing>>,
        asked_at: times::BootTime,
    ) {
        self.report_change(&fetched);
        let Ok(listing) = fetched else {
            return;
        };
        self.handle.note_platform(asked_at);
        if self.listed_at.is_some_and(|listed_at| listed_at > asked_at) {
            return;
        }
        self.listed_at = Some(asked_at);
        if let Some(mut listing) = listing {
            self.tag = listing.tag.take();
            self.publish(listing);
        }
    }

    /// Asks one peer of the data centre if the list is old; a peer without a younger one is no news.
    async fn ask_peer(&mut self) {
        let Some(listed_at) = self.listed_at else {
            return;
        };
        let age = clocks::boot_now().since(listed_at);
        if age < PEER_AGE {
            return;
        }
        let Some(peer) = self.next_peer() else {
            return;
        };
        let Ok(heard) = peer_lists::ask_peer(&self.client, peer.address, age).await else {
            return;
        };
        if heard.listed_at > listed_at {
            self.listed_at = Some(heard.listed_at);
            self.tag = None;
            self.publish(lists::VmListing::new(heard.entries));
        }
    }

    fn next_peer(&mut self) -> Option<handle::PeerEntry> {
        let own = &self.handle.settings().data_centre;
        let peers = self.handle.peers();
        let peers = peers.iter().filter(|peer| peer.data_centre == *own);
        let peers: Vec<_> = peers.collect();
        self.turn = self.turn.wrapping_add(1);
        let place = self.turn.checked_rem(peers.len())?;
        peers.get(place).map(|peer| (*peer).clone())
    }

    fn report_change(&mut self, fetched: &anyhow::Result<Option<lists::VmListing>>) {
        match fetched {
            Ok(_) if self.away => {
                log::info!(event = "vm-list-back"; "");
                self.away = false;
            }
            Err(error) if !self.away => {
                log::warn!(event = "vm-list-away", cause:% = error; "");
                self.away = true;
            }
            _ => {}
        }
    }

    /// Publishes the VMs of this node's data centre; no other node's are any concern of it.
    fn publish(&self, listing: lists::VmListing) {
        for name in &listing.repeated {
            log::warn!(event = "vm-listed-twice", vm:% = name; "");
        }
        let own = &self.handle.settings().data_centre;
        let entries = listing.entries.into_iter();
        let entries = entries.filter(|entry| entry.data_centre == *own);
        let list: collections::BTreeMap<ids::VmName, vms::VmEntry> =
            entries.map(|entry| (entry.name.clone(), entry)).collect();
        if *self.handle.vms() != list {
            log::info!(event = "vm-list-changed", vms = list.len(); "");
            self.handle.publish_vms(list);
        }
    }
}
