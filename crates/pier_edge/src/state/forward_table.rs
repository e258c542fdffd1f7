//! The requests that this node passes on to other nodes, and those that it takes from them.

use std::{collections, net, sync};

use pier_types::ids;

use crate::{peers, state};

/// Greatest number of requests in progress that one node takes from another one, and of connections
/// that it opens to another one.
pub(crate) const MAX_FORWARDS_PER_NODE: u32 = 256;

/// The nodes to which requests are passed on, and the count of requests from each node.
#[derive(Debug, Default)]
pub(crate) struct ForwardTable {
    slots: sync::Mutex<collections::BTreeMap<ids::NodeName, NodeSlot>>,
    received: sync::Mutex<collections::BTreeMap<net::IpAddr, u32>>,
}

#[derive(Debug)]
struct NodeSlot {
    slot: sync::Arc<state::TargetSlot>,
    is_live: bool,
}

impl ForwardTable {
    /// Returns the slot of a node; `source` is the IP address from which to connect to it.
    pub(crate) fn slot(
        &self,
        forwarder: &peers::Forwarder,
        source: net::IpAddr,
    ) -> Option<sync::Arc<state::TargetSlot>> {
        let mut slots = state::lock(&self.slots);
        let known = slots.get(&forwarder.node);
        if let Some(known) =
            known.filter(|known| known.slot.connections.address() == forwarder.address)
        {
            return Some(sync::Arc::clone(&known.slot));
        }
        let vm = match forwarder.node.as_str().parse() {
            Ok(vm) => vm,
            Err(error) => {
                log::warn!(event = "forward-not-possible", node:% = forwarder.node, cause:% = error; "");
                return None;
            }
        };
        let slot = state::TargetSlot::of_node(vm, forwarder.address, source, forwarder.is_local);
        let slot = sync::Arc::new(slot);
        let entry = NodeSlot {
            slot: sync::Arc::clone(&slot),
            is_live: true,
        };
        slots.insert(forwarder.node.clone(), entry);
        Some(slot)
    }

    /// Notifies the requests at nodes that fell silent, and forgets nodes that are gone.
    pub(crate) fn update(
        &self,
        live: &collections::BTreeSet<ids::NodeName>,
        known: &collections::BTreeSet<ids::NodeName>,
    ) {
        state::lock(&self.slots).retain(|node, entry| {
            let is_live = live.contains(node);
            if entry.is_live && !is_live {
                entry.slot.report_stuck();
            }
            entry.is_live = is_live;
            known.contains(node)
        });
    }

    /// Returns the slots of all nodes.
    pub(crate) fn slots(&self) -> Vec<sync::Arc<state::TargetSlot>> {
        let slots = state::lock(&self.slots);
        slots
            .values()
            .map(|entry| sync::Arc::clone(&entry.slot))
            .collect()
    }

    /// Counts a request from another node; returns false if too many of its requests are in
    /// progress.
    pub(crate) fn begin_received(&self, from: net::IpAddr) -> bool {
        let mut received = state::lock(&self.received);
        let count = received.entry(from).or_default();
        if *count >= MAX_FORWARDS_PER_NODE {
            return false;
        }
        *count += 1;
        true
    }

    /// Ends the count of a request.
    pub(crate) fn end_received(&self, from: net::IpAddr) {
        let mut received = state::lock(&self.received);
        if let Some(count) = received.get_mut(&from) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                received.remove(&from);
            }
        }
    }
}
