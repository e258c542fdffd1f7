//! The nodes of a data centre, in numbered slots.

use std::{collections, net};

use pier_types::ids;
use serde::{Deserialize, Serialize};

/// The recorded nodes of a data centre. Nodes that cannot communicate divide limits by its slots.
///
/// ```
/// use pier_control::leases;
///
/// let present = ["n2".parse()?, "n1".parse()?].into();
/// let roster = leases::NodeRoster::default().updated(&present);
/// assert_eq!(roster.slots[&0].as_str(), "n1");
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRoster {
    /// The node in each slot; a slot that is missing is free.
    pub slots: collections::BTreeMap<u32, ids::NodeName>,
    /// The last known addresses on which recorded nodes receive datagrams.
    #[serde(default)]
    pub addresses: collections::BTreeMap<ids::NodeName, net::SocketAddr>,
}

impl NodeRoster {
    /// Returns the roster for the nodes in `present`: recorded nodes keep their slots, and new
    /// nodes take the lowest free slots in the order of their names.
    #[must_use]
    pub fn updated(&self, present: &collections::BTreeSet<ids::NodeName>) -> Self {
        let mut slots = self.slots.clone();
        slots.retain(|_slot, node| present.contains(node));
        let known: collections::BTreeSet<_> = slots.values().cloned().collect();
        let mut free = (0_u32..).filter(|slot| !self.is_slot_retained(*slot, &known));
        for node in present.difference(&known) {
            if let Some(slot) = free.next() {
                slots.insert(slot, node.clone());
            }
        }
        let addresses = self.addresses.clone();
        Self { slots, addresses }
    }

    /// Returns the roster with the addresses of its nodes updated; a node that is not in `known`
    /// keeps its recorded address.
    #[must_use]
    pub fn with_addresses(
        mut self,
        known: &collections::BTreeMap<ids::NodeName, net::SocketAddr>,
    ) -> Self {
        self.addresses
            .extend(known.iter().map(|(node, address)| (node.clone(), *address)));
        let slots = &self.slots;
        self.addresses
            .retain(|node, _address| slots.values().any(|recorded| recorded == node));
        self
    }

    /// Returns whether a slot is taken by one of the nodes in `retained`.
    fn is_slot_retained(&self, slot: u32, retained: &collections::BTreeSet<ids::NodeName>) -> bool {
        self.slots
            .get(&slot)
            .is_some_and(|node| retained.contains(node))
    }
}
