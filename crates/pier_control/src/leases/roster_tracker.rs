//! Decides which recorded nodes keep their slots although they are silent.

use std::{collections, net, time};

use pier_types::{ids, times};

/// Time for which a node must have been silent before a live node at its address counts as its
/// replacement. By then every node has dropped the earlier process from its membership.
const REPLACEMENT_SILENCE: time::Duration = time::Duration::from_mins(1);

/// Tracks when each node of the data centre was last heard from.
///
/// A node that is cut off keeps using the fixed share of the limits that belongs to its slot. Its
/// slot is therefore given to another node only when the node has announced that it stops, when
/// another node has taken its address, or after the retention time, within which a cut-off node
/// has either stopped or been heard from again.
///
/// ```
/// use std::time;
/// use pier_control::leases;
/// use pier_types::times;
///
/// let mut tracker = leases::RosterTracker::new(time::Duration::from_mins(60));
/// let (live, recorded) = (["n1".parse()?].into(), ["n1".parse()?, "n2".parse()?].into());
/// let now = times::BootTime::from_millis(5_000);
/// let retained = tracker.retained(&live, &recorded, &Default::default(), now);
/// assert_eq!(retained.len(), 2);
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct RosterTracker {
    retention: time::Duration,
    last_heard: collections::BTreeMap<ids::NodeName, times::BootTime>,
}

impl RosterTracker {
    /// Creates a tracker with which a silent node keeps its slot for the retention time.
    pub const fn new(retention: time::Duration) -> Self {
        Self {
            retention,
            last_heard: collections::BTreeMap::new(),
        }
    }

    /// Returns the nodes that have or keep a slot, except those in `ended`.
    ///
    /// A recorded node that is unknown here counts as heard from now, since the previous lease
    /// holder may just have heard from it.
    pub fn retained(
        &mut self,
        live: &collections::BTreeSet<ids::NodeName>,
        recorded: &collections::BTreeSet<ids::NodeName>,
        ended: &collections::BTreeSet<ids::NodeName>,
        now: times::BootTime,
    ) -> collections::BTreeSet<ids::NodeName> {
        for node in live {
            self.last_heard.insert(node.clone(), now);
        }
        for node in recorded {
            self.last_heard.entry(node.clone()).or_insert(now);
        }
        let retention = self.retention;
        self.last_heard.retain(|node, heard_at| {
            let known = live.contains(node) || recorded.contains(node);
            known && now.since(*heard_at) <= retention
        });
        let retained = self.last_heard.keys().filter(|node| !ended.contains(*node));
        retained.cloned().collect()
    }

    /// Returns the recorded nodes whose address a live node with another name has taken.
    ///
    /// An address belongs to one process at a time, so the node that had it before has ended. That
    /// node must also have been silent for a while: just after a restart both nodes may be
    /// considered live, and then it is unknown which of them is the newer one.
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
        let heard_at = self.last_heard.get(node);
        heard_at.is_some_and(|heard_at| now.since(*heard_at) >= REPLACEMENT_SILENCE)
    }
}
