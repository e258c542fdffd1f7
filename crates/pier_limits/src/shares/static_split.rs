//! The split that needs no communication.

use std::time;

use pier_types::{sizes, times};
use pier_wire::messages;

use crate::hashing;

/// Splits the fixed part of each limit over a fixed number of slots.
///
/// A share depends only on the slot's number and the number of slots, not on which nodes are
/// alive or which version of the lease record a node has seen. The price is that the shares of
/// dead nodes' slots stay unused.
///
/// After a change of the number of slots, each share is the smaller of the old and the new one
/// until every node must have heard of the change.
///
/// ```
/// use std::time;
/// use pier_limits::shares;
/// use pier_types::{ids, sizes, times};
/// use pier_wire::messages;
///
/// let split = shares::StaticSplit::new(6, time::Duration::from_secs(10));
/// let target = ids::TargetId::Vm("ledger-1".parse()?);
/// let key = messages::ShareKey::of(&target, 1);
/// let now = times::BootTime::default();
/// let fixed = sizes::RequestCount::new(16);
/// let sum = (0..6).map(|slot| split.share(key, slot, fixed, now).get()).sum::<u32>();
/// assert_eq!(sum, 16);
/// # Ok::<(), ids::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct StaticSplit {
    slots: u32,
    settle_time: time::Duration,
    earlier: Option<(u32, times::BootTime)>,
}

impl StaticSplit {
    /// Creates a split over a number of slots. For `settle_time` after a change of that number,
    /// shares take the old one into account as well.
    pub const fn new(slots: u32, settle_time: time::Duration) -> Self {
        Self {
            slots,
            settle_time,
            earlier: None,
        }
    }

    /// Changes the number of slots to that of the configuration.
    pub fn resize(&mut self, slots: u32, now: times::BootTime) {
        if slots == self.slots {
            return;
        }
        let smaller = match self.earlier_slots(now) {
            Some(earlier) => earlier.min(self.slots),
            None => self.slots,
        };
        self.earlier = Some((smaller, now));
        self.slots = slots;
    }

    /// Returns the number of slots.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of requests, out of the fixed part, that the node of a slot may have in
    /// flight at a target.
    pub fn share(
        &self,
        key: messages::ShareKey,
        slot: u32,
        fixed: sizes::RequestCount,
        now: times::BootTime,
    ) -> sizes::RequestCount {
        let share = slot_share(key, slot, self.slots, fixed.get());
        let share = match self.earlier_slots(now) {
            Some(earlier) => share.min(slot_share(key, slot, earlier, fixed.get())),
            None => share,
        };
        sizes::RequestCount::new(share)
    }

    fn earlier_slots(&self, now: times::BootTime) -> Option<u32> {
        let (slots, changed_at) = self.earlier?;
        (now.since(changed_at) < self.settle_time).then_some(slots)
    }
}

/// Divides the amount evenly; the remainder goes to slots in an order that differs by target.
fn slot_share(key: messages::ShareKey, slot: u32, slots: u32, amount: u32) -> u32 {
    if slot >= slots {
        return 0;
    }
    let remainder = amount % slots;
    let extra = remainder > 0 && rank(key, slot, slots) < remainder;
    amount / slots + u32::from(extra)
}

fn rank(key: messages::ShareKey, slot: u32, slots: u32) -> u32 {
    let score = |slot: u32| {
        (
            hashing::score(&key.get().to_le_bytes(), &slot.to_le_bytes()),
            slot,
        )
    };
    let own_score = score(slot);
    let ahead = (0..slots).filter(|&other| score(other) > own_score).count();
    u32::try_from(ahead).unwrap_or(u32::MAX)
}
