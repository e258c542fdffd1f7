//! Whether a node may use the slot that the lease record gives it.

use std::{collections, time};

use pier_types::{ids, times};

/// Decides whether this node may use the fixed shares of its slot.
///
/// The lease record gives a slot to another node only after the slot's node announced that it
/// stops, lost its address to another node, or was silent for the retention time. So a node that
/// is cut off keeps its slot for at least that time. A node that was paused may have been replaced
/// meanwhile and may use no slot until it has read the record again. A node that is new in a slot
/// waits until the work of the slot's previous node must have ended.
///
/// ```
/// use std::{collections, time};
/// use pier_limits::shares;
/// use pier_types::times;
///
/// let wait = time::Duration::from_secs(120);
/// let mut ownership = shares::SlotOwnership::new("n1".parse()?, wait);
/// let record = collections::BTreeMap::from([(4, "n1".parse()?)]);
/// let start = times::BootTime::from_millis(1_000);
/// ownership.tick(start);
/// ownership.observe(&record, start, start);
/// assert_eq!(ownership.slot(start), None);
/// # Ok::<(), pier_types::ids::NameError>(())
/// ```
#[derive(Debug)]
pub struct SlotOwnership {
    node: ids::NodeName,
    wait: time::Duration,
    held: Option<HeldSlot>,
    ticked_at: Option<times::BootTime>,
    resumed_at: times::BootTime,
    confirmed: bool,
}

#[derive(Debug, Clone, Copy)]
struct HeldSlot {
    slot: u32,
    since: times::BootTime,
}

/// A longer gap between two ticks counts as a pause of this node.
const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(2);

impl SlotOwnership {
    /// Creates the state of a node that has no slot yet.
    pub const fn new(node: ids::NodeName, wait: time::Duration) -> Self {
        Self {
            node,
            wait,
            held: None,
            ticked_at: None,
            resumed_at: times::BootTime::from_micros(0),
            confirmed: false,
        }
    }

    /// Records that the node is running. Returns whether it was paused before, in which case the
    /// caller has to drop all granted shares.
    pub fn tick(&mut self, now: times::BootTime) -> bool {
        let paused = self
            .ticked_at
            .is_some_and(|ticked_at| now.since(ticked_at) > PAUSE_LIMIT);
        self.ticked_at = Some(now);
        if paused {
            self.resumed_at = now;
            self.confirmed = false;
        }
        paused
    }

    /// Applies the slots of the lease record, as read by a call that was sent at `asked_at`.
    pub fn observe(
        &mut self,
        slots: &collections::BTreeMap<u32, ids::NodeName>,
        asked_at: times::BootTime,
        now: times::BootTime,
    ) {
        let found = slots
            .iter()
            .find(|(_, node)| **node == self.node)
            .map(|(slot, _)| *slot);
        let Some(slot) = found else {
            self.held = None;
            return;
        };
        if asked_at >= self.resumed_at {
            self.confirmed = true;
        }
        if self.held.is_none_or(|held| held.slot != slot) {
            self.held = Some(HeldSlot { slot, since: now });
        }
    }

    /// Returns the slot whose shares may be used now.
    ///
    /// An overdue tick already counts as a pause.
    pub fn slot(&self, now: times::BootTime) -> Option<u32> {
        let awake = self
            .ticked_at
            .is_some_and(|ticked_at| now.since(ticked_at) <= PAUSE_LIMIT);
        let held = self.held?;
        let settled = now.since(held.since) >= self.wait;
        (awake && self.confirmed && settled).then_some(held.slot)
    }
}
