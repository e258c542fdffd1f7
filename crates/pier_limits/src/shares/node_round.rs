//! How much of a node's question has arrived.

/// Counts the entries of a node's latest round, which may come in several datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NodeRound {
    round: u64,
    arrived: u32,
    /// Whether some round arrived whole since this node holds the lease.
    pub(crate) heard: bool,
}

impl NodeRound {
    /// Takes in a number of new entries; true when the round is whole.
    pub(crate) const fn arrive(&mut self, round: u64, entries: u32, total: u32) -> bool {
        if round < self.round {
            return false;
        }
        if round > self.round {
            self.round = round;
            self.arrived = 0;
        }
        self.arrived = self.arrived.saturating_add(entries);
        let whole = self.arrived >= total;
        self.heard |= whole;
        whole
    }
}
