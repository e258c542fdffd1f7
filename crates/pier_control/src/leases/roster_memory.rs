//! Which recorded nodes keep their slots although they are silent.

use std::{collections, time};

use pier_types::{ids, times};

/// Remembers when each node of the data centre was last heard of.
///
/// A node that is cut off goes on under the fixed part of its slot, which needs nobody to ask. So
/// its slot is given to another node only when it said that it stops, or after a time within which
/// a cut-off node has stopped by itself or was heard of again.
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

    /// Returns the nodes that have or keep a slot.
    ///
    /// A recorded node that this memory never heard of counts as heard of now, since the holder
    /// before may have heard of it a moment ago.
    pub fn staying(
        &mut self,
        live: &collections::BTreeSet<ids::NodeName>,
        recorded: &collections::BTreeSet<ids::NodeName>,
        stopping: &collections::BTreeSet<ids::NodeName>,
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
        let staying = self.heard.keys().filter(|node| !stopping.contains(*node));
        staying.cloned().collect()
    }
}
