//! The ledger's account of one target.

use std::collections;

use pier_types::{ids, sizes, times};
use pier_wire::messages;

use crate::shares;

/// The shares of one target's pool that were granted to nodes.
#[derive(Debug, Default)]
pub(crate) struct TargetAccount {
    pub(crate) limit: sizes::RequestCount,
    charges: collections::BTreeMap<ids::NodeName, shares::LedgerCharge>,
}

impl TargetAccount {
    /// Records what a node keeps and has running; returns false if this round or a later one was
    /// already recorded.
    pub(crate) fn charge(
        &mut self,
        node: &ids::NodeName,
        round: u64,
        entry: &messages::AskEntry,
        ends_at: times::BootTime,
    ) -> bool {
        if self
            .charges
            .get(node)
            .is_some_and(|charge| charge.round >= round)
        {
            return false;
        }
        let charge = shares::LedgerCharge {
            amount: entry.keep.max(entry.running),
            wanted: entry.wanted,
            round,
            ends_at,
        };
        self.charges.insert(node.clone(), charge);
        true
    }

    /// Grants a share to a node whose ask was just recorded.
    pub(crate) fn grant(
        &mut self,
        node: &ids::NodeName,
        bounds: &shares::GrantBounds,
    ) -> sizes::RequestCount {
        let pool = shares::LimitSplit::of(self.limit).pool.get();
        let others = self.sum(|other, charge| {
            if other == node {
                0
            } else {
                charge.amount.get()
            }
        });
        let used = others.saturating_add(bounds.unreported.get());
        let room = pool.saturating_sub(used);
        // A wanted number above the maximum of one node must not reduce the shares of the others.
        let capped_want = |charge: &shares::LedgerCharge| charge.wanted.min(bounds.cap).get();
        let total_wanted = self.sum(|_, charge| capped_want(charge));
        let Some(charge) = self.charges.get_mut(node) else {
            return sizes::RequestCount::new(0);
        };
        let fair = fair_share(pool, capped_want(charge), total_wanted, bounds.nodes);
        let amount = fair.min(room).min(bounds.cap.get());
        let amount = sizes::RequestCount::new(amount);
        charge.amount = charge.amount.max(amount);
        amount
    }

    /// Drops a node's charge if the node no longer names the target in its complete ask of this
    /// round.
    pub(crate) fn remove_unnamed(&mut self, node: &ids::NodeName, round: u64) {
        if self
            .charges
            .get(node)
            .is_some_and(|charge| charge.round < round)
        {
            self.charges.remove(node);
        }
    }

    pub(crate) fn expire(&mut self, now: times::BootTime) {
        self.charges.retain(|_, charge| now < charge.ends_at);
    }

    /// Returns the sum of the upper bounds of all nodes.
    pub(crate) fn charged(&self) -> sizes::RequestCount {
        sizes::RequestCount::new(self.sum(|_, charge| charge.amount.get()))
    }

    fn sum(&self, amount: impl Fn(&ids::NodeName, &shares::LedgerCharge) -> u32) -> u32 {
        self.charges
            .iter()
            .map(|(node, charge)| amount(node, charge))
            .fold(0, u32::saturating_add)
    }
}

/// Returns the wanted number plus an equal part of what all wanted numbers leave of the pool. If
/// they exceed the pool, returns the part of the pool that is proportional to the wanted number,
/// rounded up so that no capacity is left unused.
///
/// A node that wants nothing gets nothing. The caller also limits the result by what the other
/// nodes hold.
fn fair_share(pool: u32, wanted: u32, total_wanted: u32, nodes: u32) -> u32 {
    if wanted == 0 {
        return 0;
    }
    if total_wanted <= pool {
        return wanted + (pool - total_wanted).div_ceil(nodes.max(1));
    }
    let part = u64::from(pool) * u64::from(wanted);
    u32::try_from(part.div_ceil(u64::from(total_wanted))).unwrap_or(pool)
}
