//! Which recorded nodes keep their slots although they are silent.

use std::{collections, net, time};

use pier_types::{ids, times};

/// Silence after which another node at the same address counts as the successor; every node has
/// forgotten a former process at that address by then.
const SUCCESSION_TIME: time::Duration = time::Duration::from_mins(1);

/// Remembers when each node of the data centre was last heard of.
///
/// A node that is cut off goes on under the fixed part of its slot, which needs nobody to ask. So
/// its slot is given to another node only when it said that it stops, when another node has taken
/// its address, or after a time within which a cut-off node has stopped by itself or was heard of
/// again.
///
/// ```
/// use std::time;
/// use pier_control::leases;
/// use pier_types::times;
///
/// let mut memory = leases::RosterMemory::new(time::Duration::from_mins(60));
/// let (live, recorded) = (["n1".parse()?].into(), ["n1".parse()?, "n2".parse()?].into());
/// let now = times::BootTime::from_millis(5_000);
/// let staying = memory.staying(&live, &recorded, &Default::default(), now);
/// assert_eq!(staying.len(), 2);
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct RosterMemory {
    retention: time::Duration,
    heard: collections::BTreeMap<ids::NodeName, times::BootTime>,
}

impl RosterMemory {
    /// Makes a memory; a silent node keeps its slot for the retention.
    pub const fn new(retention: time::Duration) -> Self {
        Self {
            retention,
            heard: collections::BTreeMap::new(),
        }
    }

    /// Returns the nodes that have or keep a slot; those that `ended` names have none.
    ///
    /// A recorded node that this memory never heard of counts as heard of now, since the holder
    /// before may have heard of it a moment ago.
    pub fn staying(
        &mut self,
        live: &collections::BTreeSet<ids::NodeName>,
        recorded: &collections::BTreeSet<ids::NodeName>,
        ended: &collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        for node in live {
            self.heard.insert(node.clone(), now);
        }
        for node in recorded {
            self.heard.entry(node.clone()).or_insert(now);
        }
        let retention = self.retention;
        self.heard.retain(|node, heard_at| {
            let known = live.contains(node) || recorded.contains(node);
            known && now.since(*heard_at) <= retention
        });
        let staying = self.heard.keys().filter(|node| !ended.contains(*node));
        staying.cloned().collect()
    }
    /// Returns the recorded nodes whose address a live node of another name has taken.
    ///
    /// An address belongs to one process at a time, so the node that had it before has ended. It
    /// must have been silent for a while: just after a restart both may be thought alive, and
    /// nothing tells then which of them came first.
    pub fn replaced(
        &self,
        live: &collections::BTreeMap<ids::NodeName, net::SocketAddr>,
        recorded: &collections::BTreeMap<ids::NodeName, net::SocketAddr>,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        let taken: collections::BTreeSet<_> = live.values().collect();
        let is_replaced = |node: &ids::NodeName, address: &net::SocketAddr| {
            !live.contains_key(node) && taken.contains(address) && self.is_silent(node, now)
        };
        let nodes = recorded.iter();
        nodes
            .filter(|(node, address)| is_replaced(node, address))
            .map(|(node, _address)| node.clone())
            .collect()
    }

    fn is_silent(&self, node: &ids::NodeName, now: times::BootTime) -> bool {
        let heard_at = self.heard.get(node);
        heard_at.is_some_and(|heard_at| now.since(*heard_at) >= SUCCESSION_TIME)
    }
}
