//! Randomness for one step.

use pier_types::ids;

/// Random values that the caller draws for one step of the keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseDraw {
    /// Marks the write that this step may ask for; never used twice.
    pub nonce: ids::WriteNonce,
    /// Where in the takeover spread this node stands, 0 to 1000.
    pub jitter_permille: u16,
}
