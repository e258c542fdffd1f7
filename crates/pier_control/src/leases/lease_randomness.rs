//! Random values for one step of the keeper.

use pier_types::ids;

/// Random values that the caller generates for one step of the keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRandomness {
    /// Identifies the write that this step may request; never used twice.
    pub nonce: ids::WriteNonce,
    /// This node's delay within the takeover spread, in thousandths of the spread (0 to 1000).
    pub jitter_permille: u16,
}
